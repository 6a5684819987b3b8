#include "process/placement.h"

#include <math.h>

#include "process/placementpolicy.h"
#include "value/mem.h"

#define WINDOW_US 20000.0           /* decay of what attempts told of speed */
#define FAILURE_WINDOW_US 2000000.0 /* decay of what they told of failure */
#define FAILURES_MIN 4.0            /* before an ejection */
#define FAILURE_SHARE 0.5      /* of outcomes, from which one is ejected */
#define OUTCOMES_MAX 20.0      /* remembered */
#define TRIAL_FORGIVES 0.5     /* what a good trial leaves of failures */
#define EJECT_TIME Span_S(1)   /* doubled with each ejection in a row */
#define RECORD_FRESH Span_S(1) /* a report counts before a record */

enum { EJECT_DOUBLINGS_MAX = 5, TRIALS_GOOD = 3 };

void
Plc_Init(PlacementTable *plc, const PlacementSettings *settings, Rng *rng)
{
    *plc = (PlacementTable){.settings = *settings, .rng = rng};
}

void
Plc_Finish(PlacementTable *plc)
{
    Mem_Free(plc->rows);
    *plc = (PlacementTable){0};
}

void
Plc_SetSettings(PlacementTable *plc, const PlacementSettings *settings)
{
    plc->settings = *settings;
}

static BackendRow *
find_row(PlacementTable *plc, Addr node)
{
    for (size_t i = 0; i < plc->row_count; i++) {
        if (plc->rows[i].location.node == node) {
            return &plc->rows[i];
        }
    }
    return NULL;
}

/* Rendezvous weight of NODE for this node. */
static uint64_t
weight_of(const PlacementTable *plc, Addr node)
{
    Addr pair[2] = {plc->settings.self, node};

    return Str_Hash(Str_From((const char *)pair, sizeof pair));
}

static size_t
count_domain(const PlacementTable *plc, uint16_t domain)
{
    size_t count = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
        count += plc->rows[i].location.domain == domain;
    }
    return count;
}

/* The row to give up when there is one too many: of the failure domain with
 * most rows, the one of least weight. */
static BackendRow *
find_excess(PlacementTable *plc)
{
    BackendRow *excess = NULL;
    size_t most = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
        BackendRow *row = &plc->rows[i];
        size_t size = count_domain(plc, row->location.domain);
        if (size > most || (size == most && excess &&
                            weight_of(plc, row->location.node) <
                                weight_of(plc, excess->location.node))) {
            excess = row;
            most = size;
        }
    }
    return excess;
}

static BackendRow *
add_row(PlacementTable *plc)
{
    if (plc->row_count == plc->row_capacity) {
        plc->row_capacity = plc->row_capacity ? plc->row_capacity * 2 : 8;
        plc->rows =
            Mem_Resize(plc->rows, plc->row_capacity, sizeof *plc->rows);
    }
    plc->rows[plc->row_count] = (BackendRow){0};
    return &plc->rows[plc->row_count++];
}

static void
start_row(BackendRow *row, const BackendLocation *place,
          const LoadReport *load, Instant now)
{
    *row = (BackendRow){
        .location = *place,
        .load = *load,
        .load_received_at = now,
        .decayed_at = now,
    };
}

static void
take_record(BackendRow *row, const BackendLocation *place,
            const LoadReport *load, Instant now)
{
    row->location = *place;
    if (now - row->load_received_at < RECORD_FRESH) {
        row->load.draining = row->load.draining || load->draining;
        return;
    }
    row->load = *load;
    row->load_received_at = now;
    row->sent_since_report = 0;
}

void
Plc_SetBackend(PlacementTable *plc, const BackendLocation *place,
               const LoadReport *load, Instant now)
{
    BackendRow *row = find_row(plc, place->node);

    if (row && row->location.incarnation == place->incarnation) {
        take_record(row, place, load, now);
        return;
    }
    start_row(row ? row : add_row(plc), place, load, now);
    if (plc->settings.rows_max && plc->row_count > plc->settings.rows_max) {
        *find_excess(plc) = plc->rows[plc->row_count - 1];
        plc->row_count--;
    }
}

void
Plc_RemoveBackend(PlacementTable *plc, Addr node)
{
    BackendRow *row = find_row(plc, node);

    if (row) {
        *row = plc->rows[--plc->row_count];
    }
}

void
Plc_DecayRow(BackendRow *row, Instant now)
{
    double age = (double)(now - row->decayed_at);
    double keep = exp(-age / WINDOW_US);
    double keep_failure = exp(-age / FAILURE_WINDOW_US);

    row->answered *= keep;
    row->unanswered_us =
        row->unanswered_us * keep + row->in_flight * WINDOW_US * (1 - keep);
    row->outcomes *= keep_failure;
    row->failures *= keep_failure;
    row->decayed_at = now;
}

void
Plc_OnLoadReport(PlacementTable *plc, Addr node, const LoadReport *load,
                 Instant now)
{
    BackendRow *row = find_row(plc, node);

    if (row) {
        row->load = *load;
        row->load_received_at = now;
        row->sent_since_report = 0;
    }
}

void
Plc_OnAttemptStart(PlacementTable *plc, Addr node, Instant now)
{
    BackendRow *row = find_row(plc, node);

    if (row) {
        Plc_DecayRow(row, now);
        row->in_flight++;
        row->sent_since_report++;
        row->last_attempt_at = now;
    }
}

static bool
may_eject(const PlacementTable *plc)
{
    size_t ejected = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
        ejected += plc->rows[i].ejected;
    }
    return 2 * (ejected + 1) <= plc->row_count;
}

static void
eject(BackendRow *row, Instant now)
{
    row->ejected = true;
    row->trials_passed = 0;
    row->ejected_until = now + (EJECT_TIME << row->ejections);
    if (row->ejections < EJECT_DOUBLINGS_MAX) {
        row->ejections++;
    }
}

static void
end_ejection(BackendRow *row)
{
    row->ejected = false;
    row->ejected_until = 0;
    row->ejections = 0;
    row->failures = 0;
}

/* Recent outcomes only: a long failure is not held against it for long. */
static void
add_outcome(BackendRow *row, bool bad)
{
    row->outcomes += 1;
    row->failures += bad;
    if (row->outcomes > OUTCOMES_MAX) {
        row->failures *= OUTCOMES_MAX / row->outcomes;
        row->outcomes = OUTCOMES_MAX;
    }
}

static void
on_good(BackendRow *row)
{
    add_outcome(row, false);
    if (row->trial_in_flight) {
        row->failures *= TRIAL_FORGIVES;
    }
    if (row->ejected && ++row->trials_passed >= TRIALS_GOOD) {
        end_ejection(row);
    }
}

static void
on_bad(const PlacementTable *plc, BackendRow *row, Instant now)
{
    add_outcome(row, true);
    if (row->ejected) {
        if (now >= row->ejected_until) {
            eject(row, now);
        }
    }
    else if (row->failures >= FAILURES_MIN &&
             row->failures >= FAILURE_SHARE * row->outcomes &&
             may_eject(plc)) {
        eject(row, now);
    }
}

void
Plc_OnAttemptEnd(PlacementTable *plc, Addr node, AttemptResult end, Span took,
                 Instant now)
{
    BackendRow *row = find_row(plc, node);

    (void)took;
    if (!row) {
        return;
    }
    Plc_DecayRow(row, now);
    if (row->in_flight) {
        row->in_flight--;
    }
    if (row->sent_since_report > row->in_flight) {
        row->sent_since_report = row->in_flight;
    }
    row->answered += end == Plc_ANSWERED || end == Plc_FAILED;
    if (end == Plc_ANSWERED) {
        on_good(row);
    }
    else if (end == Plc_FAILED || end == Plc_NO_ANSWER) {
        on_bad(plc, row, now);
    }
    row->trial_in_flight = row->trial_in_flight && row->in_flight;
}

/* Room that was not there is there again after about so long. */
#define FULL_HOLDS Span_MS(25)

void
Plc_OnQueueFull(PlacementTable *plc, Addr node, Instant now)
{
    BackendRow *row = find_row(plc, node);

    if (row) {
        row->full_until = now + FULL_HOLDS;
    }
}

bool
Plc_HasSlowLocalBackend(const PlacementTable *plc, Instant now)
{
    for (size_t i = 0; i < plc->row_count; i++) {
        const BackendRow *row = &plc->rows[i];
        if (row->location.region == plc->settings.region &&
            Pol_IsRowSlow(row, now)) {
            return true;
        }
    }
    return false;
}

bool
Plc_HasLocalBackend(const PlacementTable *plc)
{
    for (size_t i = 0; i < plc->row_count; i++) {
        const BackendRow *row = &plc->rows[i];
        if (row->location.region == plc->settings.region && row->load.slots &&
            !row->load.draining) {
            return true;
        }
    }
    return false;
}

PlacementVerdict
Plc_Choose(PlacementTable *plc, const PlacementRequest *ask, Instant now,
           const BackendRow **row)
{
    bool full = false;

    *row = Pol_ChooseRow(plc, ask, now, &full);
    if (*row) {
        return Plc_CHOSEN;
    }
    return full ? Plc_ALL_FULL : Plc_NO_BACKEND;
}
