#include "process/placementpolicy.h"

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
was_tried(const PlacementRequest *ask, Addr node)
{
    for (size_t i = 0; i < ask->excluded_count; i++) {
        if (ask->excluded[i] == node) {
            return true;
        }
    }
    return false;
}

static bool
is_here(const BackendRow *row, const PlacementRequest *ask)
{
    return row->load.slots > 0 && !row->load.draining &&
           !was_tried(ask, row->location.node);
}

static bool
is_home(const PlacementTable *plc, const BackendRow *row)
{
    return row->location.region == plc->settings.region;
}

static bool
is_full(const PlacementTable *plc, const BackendRow *row,
        const PlacementRequest *ask, Instant now)
{
    uint32_t bound = ask->interactive ? plc->settings.queue_max
                                      : plc->settings.patient_queue_max;

    return bound && now - row->load_received_at < FULL_FRESH_US &&
           row->load.queued + row->sent_since_report >= bound;
}

bool
Pol_IsRowSlow(const BackendRow *row, Instant now)
{
    return row->load.slow && now - row->load_received_at < PACE_HOLDS;
}

/* How much longer than usual work takes there, as far as known. */
static double
pace_of(const BackendRow *row, Instant now)
{
    double keep = exp(-(double)(now - row->load_received_at) / PACE_FADES_US);

    if (!row->load.pace) {
        return 1;
    }
    return 1 + ((double)row->load.pace / Load_USUAL - 1) * keep;
}

static bool
is_candidate(const PlacementTable *plc, const BackendRow *row,
             const PlacementRequest *ask, Instant now)
{
    return is_here(row, ask) && !row->ejected && now >= row->full_until &&
           !(ask->avoid_slow && Pol_IsRowSlow(row, now)) &&
           !is_full(plc, row, ask, now);
}

static double
distance(const PlacementTable *plc, const BackendRow *row)
{
    if (!is_home(plc, row)) {
        return (double)plc->settings.region_penalty;
    }
    return row->location.domain != plc->settings.domain
               ? (double)plc->settings.domain_penalty
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
slots_of(const BackendRow *row, const Usual *usual, double service)
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
load_of(const BackendRow *row, const Usual *usual, double service, Instant now)
{
    double slots = slots_of(row, usual, service);
    double keep = exp(-(double)(now - row->load_received_at) / service);
    double reported = row->load.running + row->load.queued;
    double others = reported * keep + usual->load * slots * (1 - keep);

    return (others + row->sent_since_report + row->in_flight + 1) / slots;
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
slowness_of(const BackendRow *row, double expected)
{
    return (PRIOR_ENDS * expected + row->unanswered_us) /
           ((PRIOR_ENDS + row->answered) * expected);
}

/* Expected time to a good answer, microseconds; WAIT gives the wait in
 * service times from the work for each slot. */
static double
price(const PlacementTable *plc, BackendRow *row, const Usual *usual,
      double (*wait)(double), Instant now)
{
    double service = row->load.service_us ? row->load.service_us : UNKNOWN_US;
    double way = distance(plc, row);
    double load = load_of(row, usual, service, now);
    double failing;

    Plc_DecayRow(row, now);
    failing = row->failures / (row->outcomes + FAILURE_PRIOR);
    return service * pace_of(row, now) * (1 + wait(load)) *
               slowness_of(row, service + way) +
           way + failing * FAILURE_US;
}

static BackendRow *
choose_random(PlacementTable *plc, const PlacementRequest *ask)
{
    BackendRow *chosen = NULL;
    uint32_t seen = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
        if (is_here(&plc->rows[i], ask) && Rng_Below(plc->rng, ++seen) == 0) {
            chosen = &plc->rows[i];
        }
    }
    return chosen;
}

static BackendRow *
choose_round_robin(PlacementTable *plc, const PlacementRequest *ask)
{
    for (size_t i = 0; i < plc->row_count; i++) {
        BackendRow *row = &plc->rows[plc->next_round_robin++ % plc->row_count];
        if (is_here(row, ask)) {
            return row;
        }
    }
    return NULL;
}

static BackendRow *
choose_least_mine(PlacementTable *plc, const PlacementRequest *ask)
{
    size_t start = Rng_Below(plc->rng, (uint32_t)plc->row_count);
    BackendRow *best = NULL;

    for (size_t i = 0; i < plc->row_count; i++) {
        BackendRow *row = &plc->rows[(start + i) % plc->row_count];
        if (is_here(row, ask) && (!best || row->in_flight < best->in_flight)) {
            best = row;
        }
    }
    return best;
}

static BackendRow *
choose_two(PlacementTable *plc, const PlacementRequest *ask)
{
    BackendRow *a = choose_random(plc, ask);
    BackendRow *b = choose_random(plc, ask);

    return a && b->in_flight < a->in_flight ? b : a;
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
usual_of(const PlacementTable *plc)
{
    Usual usual = {0};
    double work = 0;
    double slots = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
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
    PlacementTable *plc;
    const PlacementRequest *ask;
    Instant now;
    const Usual *usual;
    BackendRow *best;
    double best_price;
} Comparison;

static bool
is_met(const Comparison *c, const BackendRow *row, bool home)
{
    return is_home(c->plc, row) == home && (home || !c->ask->local_only) &&
           is_candidate(c->plc, row, c->ask, c->now);
}

static uint32_t
count_met(const Comparison *c, bool home)
{
    uint32_t count = 0;

    for (size_t i = 0; i < c->plc->row_count; i++) {
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
    for (size_t i = 0; i < c->plc->row_count && count && left; i++) {
        BackendRow *row = &c->plc->rows[i];
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
needs_trial(const BackendRow *row, Instant now)
{
    return (row->ejected || row->failures >= FAILURES_DEAR) &&
           row->in_flight == 0 && now >= row->ejected_until &&
           now >= row->last_attempt_at + TRIAL_PERIOD;
}

/* A row that gets nothing otherwise and whose next trial is due. */
static BackendRow *
find_trial(PlacementTable *plc, const PlacementRequest *ask, Instant now)
{
    for (size_t i = 0; i < plc->row_count; i++) {
        BackendRow *row = &plc->rows[i];
        if (is_here(row, ask) && (is_home(plc, row) || !ask->local_only) &&
            needs_trial(row, now)) {
            row->trial_in_flight = true;
            return row;
        }
    }
    return NULL;
}

/* The row at home that got nothing for longest: what is told of it may be old
 * and is not told anew unless somebody looks.  A share of the attempts, so
 * that it is as much from many nodes as from few. */
static BackendRow *
find_forgotten(PlacementTable *plc, const PlacementRequest *ask, Instant now)
{
    BackendRow *oldest = NULL;

    if (Rng_Below(plc->rng, LOOK_ONE_IN)) {
        return NULL;
    }
    for (size_t i = 0; i < plc->row_count; i++) {
        BackendRow *row = &plc->rows[i];
        if (is_home(plc, row) && is_candidate(plc, row, ask, now) &&
            row->in_flight == 0 &&
            now >= row->last_attempt_at + TRIAL_PERIOD &&
            (!oldest || row->last_attempt_at < oldest->last_attempt_at)) {
            oldest = row;
        }
    }
    return oldest;
}

static BackendRow *
choose_least_wait(PlacementTable *plc, const PlacementRequest *ask,
                  Instant now)
{
    Usual usual = usual_of(plc);
    Comparison home = {.plc = plc, .ask = ask, .now = now, .usual = &usual};
    Comparison away = home;
    /* A first attempt only: a retry has failed once already. */
    BackendRow *trial = ask->excluded_count ? NULL : find_trial(plc, ask, now);

    if (!trial && ask->excluded_count == 0) {
        trial = find_forgotten(plc, ask, now);
    }
    if (trial) {
        return trial;
    }
    compare(&home, true, plc->settings.sample_size);
    compare(&away, false, REMOTE_SAMPLE);
    if (!home.best || !away.best) {
        return home.best ? home.best : away.best;
    }
    return price(plc, away.best, &usual, wait_of, now) <
                   price(plc, home.best, &usual, wait_of, now)
               ? away.best
               : home.best;
}

BackendRow *
Pol_ChooseRow(PlacementTable *plc, const PlacementRequest *ask, Instant now,
              bool *full)
{
    BackendRow *row = NULL;

    *full = false;
    switch (plc->settings.policy) {
    case Plc_RANDOM:
        return choose_random(plc, ask);
    case Plc_ROUND_ROBIN:
        return choose_round_robin(plc, ask);
    case Plc_LEAST_IN_FLIGHT:
        return choose_least_mine(plc, ask);
    case Plc_TWO_CHOICES:
        return choose_two(plc, ask);
    case Plc_LEAST_WAIT:
        row = choose_least_wait(plc, ask, now);
        break;
    }
    for (size_t i = 0; !row && i < plc->row_count; i++) {
        const BackendRow *seen = &plc->rows[i];
        *full = *full || (is_here(seen, ask) &&
                          (is_full(plc, seen, ask, now) ||
                           (ask->local_only && !is_home(plc, seen))));
    }
    return row;
}
