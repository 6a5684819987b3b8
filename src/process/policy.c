#include "process/policy.h"

#include <math.h>

#define PRIOR_ENDS 1.0      /* weight of the report against own attempts */
#define UNKNOWN_US 1000.0   /* service time that nobody has seen yet */
#define FULL_FRESH_US 50000 /* a report of a full queue holds this long */
#define FAILURE_US 100000.0 /* price of an attempt that fails */
#define FAILURE_PRIOR 2.0   /* weight of trust against failures seen */
#define FAILURES_DEAR 0.1   /* from which a row may be too dear */
#define TRIAL_PERIOD Span_MS(200)

/* One attempt in LOOK_ONE_IN looks at a row that gets none. */
enum { REMOTE_SAMPLE = 2, SAMPLE_ALL_MAX = 2, LOOK_ONE_IN = 200 };

/* A word of slowness holds so long; an older one fades. */
#define PACE_HOLDS Span_MS(100)
#define PACE_FADES_US 250000.0

static bool
was_tried(const PlcAsk *ask, Addr node)
{
    for (size_t i = 0; i < ask->tried_count; i++) {
        if (ask->tried[i] == node) {
            return true;
        }
    }
    return false;
}

static bool
is_here(const PlcRow *row, const PlcAsk *ask)
{
    return row->load.slots > 0 && !row->load.draining &&
           !was_tried(ask, row->place.node);
}

static bool
is_home(const Plc *plc, const PlcRow *row)
{
    return row->place.region == plc->settings.region;
}

static bool
is_full(const Plc *plc, const PlcRow *row, const PlcAsk *ask, Instant now)
{
    uint32_t bound = ask->interactive ? plc->settings.queue_max
                                      : plc->settings.patient_queue_max;

    return bound && now - row->load_at < FULL_FRESH_US &&
           row->load.queued + row->since >= bound;
}

bool
Pol_IsSlow(const PlcRow *row, Instant now)
{
    return row->load.slow && now - row->load_at < PACE_HOLDS;
}

/* How much longer than usual work takes there, as far as known. */
static double
pace_of(const PlcRow *row, Instant now)
{
    double keep = exp(-(double)(now - row->load_at) / PACE_FADES_US);

    if (!row->load.pace) {
        return 1;
    }
    return 1 + ((double)row->load.pace / Load_USUAL - 1) * keep;
}

static bool
is_candidate(const Plc *plc, const PlcRow *row, const PlcAsk *ask, Instant now)
{
    return is_here(row, ask) && !row->on_trial && now >= row->full_until &&
           !(ask->avoid_slow && Pol_IsSlow(row, now)) &&
           !is_full(plc, row, ask, now);
}

static double
distance(const Plc *plc, const PlcRow *row)
{
    if (!is_home(plc, row)) {
        return (double)plc->settings.region_price;
    }
    return row->place.domain != plc->settings.domain
               ? (double)plc->settings.domain_price
               : 0;
}

/* What is usual in a service. */
typedef struct {
    double load;          /* mean work for each slot, as last reported */
    double service_us;    /* the least that one at home reports */
    uint32_t least_slots; /* the fewest that one at home announces */
} Usual;

/* Slots beyond what others announce are believed as long as its requests take
 * no longer than theirs: what was observed counts more. */
static double
slots_of(const PlcRow *row, const Usual *usual, double service)
{
    double slower = usual->service_us > 0 ? service / usual->service_us : 1;
    double slots = row->load.slots / (slower * slower);

    if (row->load.slots <= usual->least_slots || slower <= 1) {
        return row->load.slots;
    }
    return slots > usual->least_slots ? slots : usual->least_slots;
}

/* Work for each slot: what the report said counts less as it ages. */
static double
load_of(const PlcRow *row, const Usual *usual, double service, Instant now)
{
    double slots = slots_of(row, usual, service);
    double keep = exp(-(double)(now - row->load_at) / service);
    double reported = row->load.running + row->load.queued;
    double others = reported * keep + usual->load * slots * (1 - keep);

    return (others + row->since + row->mine + 1) / slots;
}

/* How crowded a server is beside others of its region: steep, so that nobody
 * queues while slots are free elsewhere. */
static double
crowding_of(double load)
{
    return load * load * load * load;
}

/* Expected wait in service times: a queue is short until nearly all slots are
 * taken, and from then on each further request adds its own share. */
static double
wait_of(double load)
{
    return load < 1 ? crowding_of(load) : load;
}

/* How many times longer than expected this node's attempts take, those not
 * answered yet counted with the time they have waited. */
static double
slowness_of(const PlcRow *row, double expected)
{
    return (PRIOR_ENDS * expected + row->waited_us) /
           ((PRIOR_ENDS + row->ends) * expected);
}

/* Expected time to a good answer, microseconds; WAIT gives the wait in
 * service times from the work for each slot. */
static double
price(const Plc *plc, PlcRow *row, const Usual *usual, double (*wait)(double),
      Instant now)
{
    double service = row->load.service_us ? row->load.service_us : UNKNOWN_US;
    double way = distance(plc, row);
    double load = load_of(row, usual, service, now);
    double failing;

    Plc_Weigh(row, now);
    failing = row->failures / (row->outcomes + FAILURE_PRIOR);
    return service * pace_of(row, now) * (1 + wait(load)) *
               slowness_of(row, service + way) +
           way + failing * FAILURE_US;
}

static PlcRow *
choose_random(Plc *plc, const PlcAsk *ask)
{
    PlcRow *chosen = NULL;
    uint32_t seen = 0;

    for (size_t i = 0; i < plc->count; i++) {
        if (is_here(&plc->rows[i], ask) && Rng_Below(plc->rng, ++seen) == 0) {
            chosen = &plc->rows[i];
        }
    }
    return chosen;
}

static PlcRow *
choose_round_robin(Plc *plc, const PlcAsk *ask)
{
    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[plc->round++ % plc->count];
        if (is_here(row, ask)) {
            return row;
        }
    }
    return NULL;
}

static PlcRow *
choose_least_mine(Plc *plc, const PlcAsk *ask)
{
    size_t start = Rng_Below(plc->rng, (uint32_t)plc->count);
    PlcRow *best = NULL;

    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[(start + i) % plc->count];
        if (is_here(row, ask) && (!best || row->mine < best->mine)) {
            best = row;
        }
    }
    return best;
}

static PlcRow *
choose_two(Plc *plc, const PlcAsk *ask)
{
    PlcRow *a = choose_random(plc, ask);
    PlcRow *b = choose_random(plc, ask);

    return a && b->mine < a->mine ? b : a;
}

static void
take_least(Usual *usual, const LoadReport *load)
{
    if (load->service_us &&
        (usual->service_us <= 0 || load->service_us < usual->service_us)) {
        usual->service_us = load->service_us;
    }
    if (load->slots &&
        (!usual->least_slots || load->slots < usual->least_slots)) {
        usual->least_slots = load->slots;
    }
}

static Usual
usual_of(const Plc *plc)
{
    Usual usual = {0};
    double work = 0;
    double slots = 0;

    for (size_t i = 0; i < plc->count; i++) {
        const LoadReport *load = &plc->rows[i].load;
        work += load->running + load->queued;
        slots += load->slots;
        if (is_home(plc, &plc->rows[i])) {
            take_least(&usual, load);
        }
    }
    usual.load = slots > 0 ? work / slots : 0;
    return usual;
}

typedef struct {
    Plc *plc;
    const PlcAsk *ask;
    Instant now;
    const Usual *usual;
    PlcRow *best;
    double best_price;
} Comparison;

static bool
is_met(const Comparison *c, const PlcRow *row, bool home)
{
    return is_home(c->plc, row) == home && (home || !c->ask->home_only) &&
           is_candidate(c->plc, row, c->ask, c->now);
}

static uint32_t
count_met(const Comparison *c, bool home)
{
    uint32_t count = 0;

    for (size_t i = 0; i < c->plc->count; i++) {
        count += is_met(c, &c->plc->rows[i], home);
    }
    return count;
}

/* Compare COUNT rows of this region, or of the others, met by chance; one at
 * least is left out, so that nodes do not all run to the same one. */
static void
compare(Comparison *c, bool home, uint32_t count)
{
    uint32_t left = count_met(c, home);

    if (left > SAMPLE_ALL_MAX && count >= left) {
        count = left - 1;
    }
    for (size_t i = 0; i < c->plc->count && count && left; i++) {
        PlcRow *row = &c->plc->rows[i];
        double cost;
        if (!is_met(c, row, home) || Rng_Below(c->plc->rng, left--) >= count) {
            continue;
        }
        count--;
        cost = price(c->plc, row, c->usual, crowding_of, c->now);
        if (!c->best || cost < c->best_price) {
            c->best = row;
            c->best_price = cost;
        }
    }
}

static bool
needs_trial(const PlcRow *row, Instant now)
{
    return (row->on_trial || row->failures >= FAILURES_DEAR) &&
           row->mine == 0 && now >= row->eject_until &&
           now >= row->started_at + TRIAL_PERIOD;
}

/* A row that gets nothing otherwise and whose next trial is due. */
static PlcRow *
find_trial(Plc *plc, const PlcAsk *ask, Instant now)
{
    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[i];
        if (is_here(row, ask) && (is_home(plc, row) || !ask->home_only) &&
            needs_trial(row, now)) {
            row->trying = true;
            return row;
        }
    }
    return NULL;
}

/* The row at home that got nothing for longest: what is told of it may be old
 * and is not told anew unless somebody looks.  A share of the attempts, so
 * that it is as much from many nodes as from few. */
static PlcRow *
find_forgotten(Plc *plc, const PlcAsk *ask, Instant now)
{
    PlcRow *oldest = NULL;

    if (Rng_Below(plc->rng, LOOK_ONE_IN)) {
        return NULL;
    }
    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[i];
        if (is_home(plc, row) && is_candidate(plc, row, ask, now) &&
            row->mine == 0 && now >= row->started_at + TRIAL_PERIOD &&
            (!oldest || row->started_at < oldest->started_at)) {
            oldest = row;
        }
    }
    return oldest;
}

static PlcRow *
choose_least_wait(Plc *plc, const PlcAsk *ask, Instant now)
{
    Usual usual = usual_of(plc);
    Comparison home = {.plc = plc, .ask = ask, .now = now, .usual = &usual};
    Comparison away = home;
    /* A first attempt only: a retry has failed once already. */
    PlcRow *trial = ask->tried_count ? NULL : find_trial(plc, ask, now);

    if (!trial && ask->tried_count == 0) {
        trial = find_forgotten(plc, ask, now);
    }
    if (trial) {
        return trial;
    }
    compare(&home, true, plc->settings.sample);
    compare(&away, false, REMOTE_SAMPLE);
    if (!home.best || !away.best) {
        return home.best ? home.best : away.best;
    }
    return price(plc, away.best, &usual, wait_of, now) <
                   price(plc, home.best, &usual, wait_of, now)
               ? away.best
               : home.best;
}

PlcRow *
Pol_Choose(Plc *plc, const PlcAsk *ask, Instant now, bool *full)
{
    PlcRow *row = NULL;

    *full = false;
    switch (plc->settings.policy) {
    case Plc_RANDOM:
        return choose_random(plc, ask);
    case Plc_ROUND_ROBIN:
        return choose_round_robin(plc, ask);
    case Plc_LEAST_MINE:
        return choose_least_mine(plc, ask);
    case Plc_TWO_CHOICES:
        return choose_two(plc, ask);
    case Plc_LEAST_WAIT:
        row = choose_least_wait(plc, ask, now);
        break;
    }
    for (size_t i = 0; !row && i < plc->count; i++) {
        const PlcRow *seen = &plc->rows[i];
        *full = *full || (is_here(seen, ask) &&
                          (is_full(plc, seen, ask, now) ||
                           (ask->home_only && !is_home(plc, seen))));
    }
    return row;
}
