#include "process/placement/placementpolicy.h"

#include <math.h>

#define PRIOR_ANSWERS 1.0         /* weight of the expected time */
#define DEFAULT_SERVICE_US 1000.0 /* when no service time is known */
#define FULL_FRESH_US 50000 /* a report of a full queue is used this long */
#define FAILURE_COST_US 100000.0 /* cost of an attempt that fails */
#define PRIOR_SUCCESSES 2.0      /* assumed before any outcome */
#define TRIAL_FAILURES_MIN 0.1   /* from here a row may cost too much */
#define TRIAL_INTERVAL Span_MS(200)

/* One attempt in REFRESH_ONE_IN goes to the local row that has had none for
 * the longest time. */
enum { REMOTE_SAMPLE_SIZE = 2, SAMPLE_ALL_ROWS_MAX = 2, REFRESH_ONE_IN = 200 };

/* A report that the server is slow is used this long; the weight of the
 * reported pace decays with the time constant. */
#define SLOW_REPORT_FRESH Span_MS(100)
#define PACE_DECAY_US 250000.0

static bool
is_excluded(const PlacementRequest *request, Addr node)
{
    for (size_t i = 0; i < request->excluded_count; i++) {
        if (request->excluded[i] == node) {
            return true;
        }
    }
    return false;
}

static bool
takes_work(const BackendRow *row, const PlacementRequest *request)
{
    return row->load.slots > 0 && !row->load.draining &&
           !Rgm_Has(request->barred, row->location.region) &&
           !is_excluded(request, row->location.node);
}

static bool
is_local(const PlacementTable *table, const BackendRow *row)
{
    return row->location.region == table->settings.region;
}

static bool
is_queue_full(const PlacementTable *table, const BackendRow *row,
              const PlacementRequest *request, Instant now)
{
    uint32_t bound = request->interactive ? table->settings.queue_max
                                          : table->settings.patient_queue_max;

    return bound && now - row->load_received_at < FULL_FRESH_US &&
           row->load.queued + row->sent_since_report >= bound;
}

bool
Pol_IsRowSlow(const BackendRow *row, Instant now)
{
    return row->load.slow && now - row->load_received_at < SLOW_REPORT_FRESH;
}

/* Expected duration of work at the row's server, as a multiple of the usual; 1
 * when the pace is not known. */
static double
expected_pace(const BackendRow *row, Instant now)
{
    double keep = exp(-(double)(now - row->load_received_at) / PACE_DECAY_US);

    if (!row->load.pace) {
        return 1;
    }
    return 1 + ((double)row->load.pace / Load_USUAL_PACE_PERCENT - 1) * keep;
}

static bool
is_candidate(const PlacementTable *table, const BackendRow *row,
             const PlacementRequest *request, Instant now)
{
    return takes_work(row, request) && !row->ejected &&
           now >= row->full_until &&
           !(request->avoid_slow && Pol_IsRowSlow(row, now)) &&
           !is_queue_full(table, row, request, now);
}

static double
distance_penalty(const PlacementTable *table, const BackendRow *row)
{
    if (!is_local(table, row)) {
        return (double)table->settings.region_penalty;
    }
    return row->location.domain != table->settings.domain
               ? (double)table->settings.domain_penalty
               : 0;
}

/* Figures of the whole service, to compare one row with. */
typedef struct {
    double mean_load;     /* running and queued requests for each slot, by the
                             last reports */
    double service_us;    /* least that a local row reports; 0: unknown */
    uint32_t least_slots; /* fewest that a local row announces; 0: unknown */
} ServiceBaseline;

/* Slots beyond the fewest that a local row announces count fully only while
 * requests of this row take no longer than those of the fastest one: the
 * observed service time is trusted more than the announced slots. */
static double
effective_slots(const BackendRow *row, const ServiceBaseline *baseline,
                double service_us)
{
    double slower =
        baseline->service_us > 0 ? service_us / baseline->service_us : 1;
    double slots = row->load.slots / (slower * slower);

    if (row->load.slots <= baseline->least_slots || slower <= 1) {
        return row->load.slots;
    }
    return slots > baseline->least_slots ? slots : baseline->least_slots;
}

/* Expected requests for each slot, the new one included.  As the report ages,
 * the reported load is replaced by the service's mean. */
static double
expected_load(const BackendRow *row, const ServiceBaseline *baseline,
              double service_us, Instant now)
{
    double slots = effective_slots(row, baseline, service_us);
    double keep = exp(-(double)(now - row->load_received_at) / service_us);
    double reported = row->load.running + row->load.queued;
    double others = reported * keep + baseline->mean_load * slots * (1 - keep);

    return (others + row->sent_since_report + row->in_flight + 1) / slots;
}

/* Expected wait in service times, to compare rows of one region.  The curve is
 * steep so that requests do not queue at one server while another has free
 * slots. */
static double
crowding(double load)
{
    return load * load * load * load;
}

/* Expected wait in service times, to compare a local row with a remote one.  A
 * queue is short until nearly all slots are taken; from then on each further
 * request adds its own share. */
static double
expected_wait(double load)
{
    return load < 1 ? crowding(load) : load;
}

/* Ratio of the observed time of this node's attempts to the EXPECTED time.
 * Unanswered attempts count with the time they have waited so far. */
static double
observed_slowdown(const BackendRow *row, double expected)
{
    return (PRIOR_ANSWERS * expected + row->unanswered_us) /
           ((PRIOR_ANSWERS + row->answered) * expected);
}

/* Expected time to a good answer, microseconds.  WAIT converts the requests
 * for each slot to a wait in service times. */
static double
expected_cost(const PlacementTable *table, BackendRow *row,
              const ServiceBaseline *baseline, double (*wait)(double),
              Instant now)
{
    double service_us =
        row->load.service_us ? row->load.service_us : DEFAULT_SERVICE_US;
    double penalty = distance_penalty(table, row);
    double load = expected_load(row, baseline, service_us, now);
    double failure_rate;

    Plc_DecayRow(row, now);
    failure_rate = row->failures / (row->outcomes + PRIOR_SUCCESSES);
    return service_us * expected_pace(row, now) * (1 + wait(load)) *
               observed_slowdown(row, service_us + penalty) +
           penalty + failure_rate * FAILURE_COST_US;
}

static BackendRow *
choose_random(PlacementTable *table, const PlacementRequest *request)
{
    BackendRow *chosen = NULL;
    uint32_t seen = 0;

    for (size_t i = 0; i < table->row_count; i++) {
        if (takes_work(&table->rows[i], request) &&
            Rng_Below(table->rng, ++seen) == 0) {
            chosen = &table->rows[i];
        }
    }
    return chosen;
}

static BackendRow *
choose_round_robin(PlacementTable *table, const PlacementRequest *request)
{
    for (size_t i = 0; i < table->row_count; i++) {
        BackendRow *row =
            &table->rows[table->next_round_robin++ % table->row_count];
        if (takes_work(row, request)) {
            return row;
        }
    }
    return NULL;
}

static BackendRow *
choose_least_in_flight(PlacementTable *table, const PlacementRequest *request)
{
    size_t start = Rng_Below(table->rng, (uint32_t)table->row_count);
    BackendRow *best = NULL;

    for (size_t i = 0; i < table->row_count; i++) {
        BackendRow *row = &table->rows[(start + i) % table->row_count];
        if (takes_work(row, request) &&
            (!best || row->in_flight < best->in_flight)) {
            best = row;
        }
    }
    return best;
}

static BackendRow *
choose_of_two(PlacementTable *table, const PlacementRequest *request)
{
    BackendRow *a = choose_random(table, request);
    BackendRow *b = choose_random(table, request);

    return a && b->in_flight < a->in_flight ? b : a;
}

static void
update_least(ServiceBaseline *baseline, const LoadReport *load)
{
    if (load->service_us && (baseline->service_us <= 0 ||
                             load->service_us < baseline->service_us)) {
        baseline->service_us = load->service_us;
    }
    if (load->slots &&
        (!baseline->least_slots || load->slots < baseline->least_slots)) {
        baseline->least_slots = load->slots;
    }
}

static ServiceBaseline
compute_baseline(const PlacementTable *table)
{
    ServiceBaseline baseline = {0};
    double work = 0;
    double slots = 0;

    for (size_t i = 0; i < table->row_count; i++) {
        const LoadReport *load = &table->rows[i].load;
        work += load->running + load->queued;
        slots += load->slots;
        if (is_local(table, &table->rows[i])) {
            update_least(&baseline, load);
        }
    }
    baseline.mean_load = slots > 0 ? work / slots : 0;
    return baseline;
}

typedef struct {
    PlacementTable *table;
    const PlacementRequest *request;
    Instant now;
    const ServiceBaseline *baseline;
    BackendRow *best;
    double best_cost;
} Comparison;

static bool
is_eligible(const Comparison *c, const BackendRow *row, bool local)
{
    return is_local(c->table, row) == local &&
           (local || !c->request->local_only) &&
           is_candidate(c->table, row, c->request, c->now);
}

static uint32_t
count_eligible(const Comparison *c, bool local)
{
    uint32_t count = 0;

    for (size_t i = 0; i < c->table->row_count; i++) {
        count += is_eligible(c, &c->table->rows[i], local);
    }
    return count;
}

/* Compares COUNT random eligible rows, of this region or of the others.  With
 * more than SAMPLE_ALL_ROWS_MAX at least one is left out, so that not all
 * nodes choose the same row. */
static void
compare_sample(Comparison *c, bool local, uint32_t count)
{
    uint32_t left = count_eligible(c, local);

    if (left > SAMPLE_ALL_ROWS_MAX && count >= left) {
        count = left - 1;
    }
    for (size_t i = 0; i < c->table->row_count && count && left; i++) {
        BackendRow *row = &c->table->rows[i];
        double cost;
        if (!is_eligible(c, row, local) ||
            Rng_Below(c->table->rng, left--) >= count) {
            continue;
        }
        count--;
        cost = expected_cost(c->table, row, c->baseline, crowding, c->now);
        if (!c->best || cost < c->best_cost) {
            c->best = row;
            c->best_cost = cost;
        }
    }
}

static bool
needs_trial(const BackendRow *row, Instant now)
{
    return (row->ejected || row->failures >= TRIAL_FAILURES_MIN) &&
           row->in_flight == 0 && now >= row->ejected_until &&
           now >= row->last_attempt_at + TRIAL_INTERVAL;
}

/* A row that is ejected or has failures, and whose next trial is due; NULL
 * when there is none. */
static BackendRow *
find_trial(PlacementTable *table, const PlacementRequest *request, Instant now)
{
    for (size_t i = 0; i < table->row_count; i++) {
        BackendRow *row = &table->rows[i];
        if (takes_work(row, request) &&
            (is_local(table, row) || !request->local_only) &&
            needs_trial(row, now)) {
            row->trial_in_flight = true;
            return row;
        }
    }
    return NULL;
}

/* Whether ROW is among those that REQUEST usually goes to: the local ones, or
 * all that it may use when it may not run in this region. */
static bool
is_usual(const PlacementTable *table, const PlacementRequest *request,
         const BackendRow *row)
{
    return is_local(table, row) ||
           Rgm_Has(request->barred, table->settings.region);
}

/* For one attempt in REFRESH_ONE_IN, the usual row that has had none for the
 * longest time: its last report may be outdated, and only an attempt brings a
 * new one.  The share of attempts makes the total independent of the number of
 * nodes. */
static BackendRow *
find_least_recent(PlacementTable *table, const PlacementRequest *request,
                  Instant now)
{
    BackendRow *oldest = NULL;

    if (Rng_Below(table->rng, REFRESH_ONE_IN)) {
        return NULL;
    }
    for (size_t i = 0; i < table->row_count; i++) {
        BackendRow *row = &table->rows[i];
        if (is_usual(table, request, row) &&
            is_candidate(table, row, request, now) && row->in_flight == 0 &&
            now >= row->last_attempt_at + TRIAL_INTERVAL &&
            (!oldest || row->last_attempt_at < oldest->last_attempt_at)) {
            oldest = row;
        }
    }
    return oldest;
}

static BackendRow *
choose_least_wait(PlacementTable *table, const PlacementRequest *request,
                  Instant now)
{
    ServiceBaseline baseline = compute_baseline(table);
    Comparison local = {
        .table = table, .request = request, .now = now, .baseline = &baseline};
    Comparison remote = local;
    /* Only first attempts are used as trials: a retry has failed once
     * already. */
    BackendRow *trial =
        request->excluded_count ? NULL : find_trial(table, request, now);

    if (!trial && request->excluded_count == 0) {
        trial = find_least_recent(table, request, now);
    }
    if (trial) {
        return trial;
    }
    compare_sample(&local, true, table->settings.sample_size);
    compare_sample(&remote, false,
                   Rgm_Has(request->barred, table->settings.region)
                       ? table->settings.sample_size
                       : REMOTE_SAMPLE_SIZE);
    if (!local.best || !remote.best) {
        return local.best ? local.best : remote.best;
    }
    return expected_cost(table, remote.best, &baseline, expected_wait, now) <
                   expected_cost(table, local.best, &baseline, expected_wait,
                                 now)
               ? remote.best
               : local.best;
}

BackendRow *
Pol_ChooseRow(PlacementTable *table, const PlacementRequest *request,
              Instant now, bool *full)
{
    BackendRow *row = NULL;

    *full = false;
    switch (table->settings.policy) {
    case Plc_RANDOM:
        return choose_random(table, request);
    case Plc_ROUND_ROBIN:
        return choose_round_robin(table, request);
    case Plc_LEAST_IN_FLIGHT:
        return choose_least_in_flight(table, request);
    case Plc_TWO_CHOICES:
        return choose_of_two(table, request);
    case Plc_LEAST_WAIT:
        row = choose_least_wait(table, request, now);
        break;
    }
    for (size_t i = 0; !row && i < table->row_count; i++) {
        const BackendRow *seen = &table->rows[i];
        *full = *full || (takes_work(seen, request) &&
                          (is_queue_full(table, seen, request, now) ||
                           (request->local_only && !is_local(table, seen))));
    }
    return row;
}
