#include "process/placement/placement.h"

#include <math.h>

#include "process/placement/placementpolicy.h"
#include "value/mem.h"

/* Time constants of the decay: the first one of answered and unanswered_us,
 * the second one of outcomes and failures. */
#define ANSWER_WINDOW_US 20000.0
#define FAILURE_WINDOW_US 2000000.0

#define EJECT_FAILURES_MIN 4.0   /* weight needed for an ejection */
#define EJECT_FAILURE_SHARE 0.5  /* of outcomes, needed as well */
#define OUTCOMES_MAX 20.0        /* weight of all outcomes at most */
#define TRIAL_FAILURE_FACTOR 0.5 /* of the failures, after a good trial */
#define EJECT_TIME Span_S(1)     /* doubles with each ejection in a row */

/* A report younger than this is preferred to a membership record. */
#define REPORT_FRESH Span_S(1)

enum { EJECT_DOUBLINGS_MAX = 5, TRIALS_PASSED_MIN = 3 };

void
Plc_Init(PlacementTable *table, const PlacementSettings *settings, Rng *rng)
{
    *table = (PlacementTable){.settings = *settings, .rng = rng};
}

void
Plc_Finish(PlacementTable *table)
{
    Mem_Free(table->rows);
    *table = (PlacementTable){0};
}

void
Plc_SetSettings(PlacementTable *table, const PlacementSettings *settings)
{
    table->settings = *settings;
}

static BackendRow *
find_row(const PlacementTable *table, Addr node)
{
    for (size_t i = 0; i < table->row_count; i++) {
        if (table->rows[i].location.node == node) {
            return &table->rows[i];
        }
    }
    return NULL;
}

static BackendRow *
add_row(PlacementTable *table)
{
    if (table->row_count == table->row_capacity) {
        table->row_capacity =
            table->row_capacity ? table->row_capacity * 2 : 8;
        table->rows =
            Mem_Resize(table->rows, table->row_capacity, sizeof *table->rows);
    }
    table->rows[table->row_count] = (BackendRow){0};
    return &table->rows[table->row_count++];
}

static void
init_row(BackendRow *row, const BackendLocation *location,
         const LoadReport *load, Instant now)
{
    *row = (BackendRow){
        .location = *location,
        .load = *load,
        .load_received_at = now,
        .decayed_at = now,
    };
}

static void
update_row(BackendRow *row, const BackendLocation *location,
           const LoadReport *load, Instant now)
{
    row->location = *location;
    if (now - row->load_received_at < REPORT_FRESH) {
        row->load.draining = row->load.draining || load->draining;
        return;
    }
    row->load = *load;
    row->load_received_at = now;
    row->sent_since_report = 0;
}

void
Plc_SetBackend(PlacementTable *table, const BackendLocation *location,
               const LoadReport *load, Instant now)
{
    BackendRow *row = find_row(table, location->node);

    if (row && row->location.incarnation == location->incarnation) {
        update_row(row, location, load, now);
        return;
    }
    init_row(row ? row : add_row(table), location, load, now);
}

bool
Plc_RemoveBackend(PlacementTable *table, Addr node)
{
    BackendRow *row = find_row(table, node);

    if (row) {
        *row = table->rows[--table->row_count];
    }
    return row != NULL;
}

bool
Plc_HasBackend(const PlacementTable *table, Addr node)
{
    return find_row(table, node) != NULL;
}

void
Plc_DecayRow(BackendRow *row, Instant now)
{
    double age = (double)(now - row->decayed_at);
    double keep = exp(-age / ANSWER_WINDOW_US);
    double keep_failure = exp(-age / FAILURE_WINDOW_US);

    row->answered *= keep;
    row->unanswered_us = row->unanswered_us * keep +
                         row->in_flight * ANSWER_WINDOW_US * (1 - keep);
    row->outcomes *= keep_failure;
    row->failures *= keep_failure;
    row->decayed_at = now;
}

void
Plc_OnLoadReport(PlacementTable *table, Addr node, const LoadReport *load,
                 Instant now)
{
    BackendRow *row = find_row(table, node);

    if (row) {
        row->load = *load;
        row->load_received_at = now;
        row->sent_since_report = 0;
    }
}

void
Plc_OnAttemptStart(PlacementTable *table, Addr node, Instant now)
{
    BackendRow *row = find_row(table, node);

    if (row) {
        Plc_DecayRow(row, now);
        row->in_flight++;
        row->sent_since_report++;
        row->last_attempt_at = now;
    }
}

static bool
can_eject(const PlacementTable *table)
{
    size_t ejected = 0;

    for (size_t i = 0; i < table->row_count; i++) {
        ejected += table->rows[i].ejected;
    }
    return 2 * (ejected + 1) <= table->row_count;
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

/* Bounds the weight of past outcomes, so that a long series of failures does
 * not count against the backend server for long. */
static void
add_outcome(BackendRow *row, bool failed)
{
    row->outcomes += 1;
    row->failures += failed;
    if (row->outcomes > OUTCOMES_MAX) {
        row->failures *= OUTCOMES_MAX / row->outcomes;
        row->outcomes = OUTCOMES_MAX;
    }
}

static void
on_success(BackendRow *row)
{
    add_outcome(row, false);
    if (row->trial_in_flight) {
        row->failures *= TRIAL_FAILURE_FACTOR;
    }
    if (row->ejected && ++row->trials_passed >= TRIALS_PASSED_MIN) {
        end_ejection(row);
    }
}

static void
on_failure(const PlacementTable *table, BackendRow *row, Instant now)
{
    add_outcome(row, true);
    if (row->ejected) {
        if (now >= row->ejected_until) {
            eject(row, now);
        }
    }
    else if (row->failures >= EJECT_FAILURES_MIN &&
             row->failures >= EJECT_FAILURE_SHARE * row->outcomes &&
             can_eject(table)) {
        eject(row, now);
    }
}

void
Plc_OnAttemptEnd(PlacementTable *table, Addr node, AttemptResult result,
                 Span duration, Instant now)
{
    BackendRow *row = find_row(table, node);

    (void)duration;
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
    row->answered += result == Plc_ANSWERED || result == Plc_FAILED;
    if (result == Plc_ANSWERED) {
        on_success(row);
    }
    else if (result == Plc_FAILED || result == Plc_NO_ANSWER) {
        on_failure(table, row, now);
    }
    row->trial_in_flight = row->trial_in_flight && row->in_flight;
}

/* A full backend server has room again after about this time. */
#define FULL_BACKOFF Span_MS(25)

void
Plc_OnQueueFull(PlacementTable *table, Addr node, Instant now)
{
    BackendRow *row = find_row(table, node);

    if (row) {
        row->full_until = now + FULL_BACKOFF;
    }
}

bool
Plc_HasSlowLocalBackend(const PlacementTable *table, Instant now)
{
    for (size_t i = 0; i < table->row_count; i++) {
        const BackendRow *row = &table->rows[i];
        if (row->location.region == table->settings.region &&
            Pol_IsRowSlow(row, now)) {
            return true;
        }
    }
    return false;
}

bool
Plc_HasAllowedBackend(const PlacementTable *table, RegionMask barred)
{
    for (size_t i = 0; i < table->row_count; i++) {
        const BackendRow *row = &table->rows[i];
        if (!Rgm_Has(barred, row->location.region) && row->load.slots &&
            !row->load.draining) {
            return true;
        }
    }
    return false;
}

bool
Plc_HasLocalBackend(const PlacementTable *table)
{
    for (size_t i = 0; i < table->row_count; i++) {
        const BackendRow *row = &table->rows[i];
        if (row->location.region == table->settings.region &&
            row->load.slots && !row->load.draining) {
            return true;
        }
    }
    return false;
}

/* Slots of a region that are kept free of attempts that aren't needed. */
#define SPARE_SHARE 0.25

static uint32_t
count_taken(const BackendRow *row)
{
    return row->load.running + row->load.queued + row->sent_since_report;
}

static bool
has_spare_region(const PlacementTable *table, uint16_t region)
{
    uint32_t taken = 0;
    uint32_t slots = 0;

    for (size_t i = 0; i < table->row_count; i++) {
        const BackendRow *row = &table->rows[i];
        if (row->location.region == region && !row->load.draining) {
            taken += count_taken(row);
            slots += row->load.slots;
        }
    }
    return taken <= (1 - SPARE_SHARE) * slots;
}

bool
Plc_HasSpareRoom(const PlacementTable *table, Addr node)
{
    const BackendRow *row = find_row(table, node);

    return row && !row->load.slow && !row->load.queued &&
           count_taken(row) < row->load.slots &&
           has_spare_region(table, row->location.region);
}

PlacementVerdict
Plc_Choose(PlacementTable *table, const PlacementRequest *request, Instant now,
           const BackendRow **row)
{
    bool full = false;

    *row = Pol_ChooseRow(table, request, now, &full);
    if (*row) {
        return Plc_CHOSEN;
    }
    return full ? Plc_ALL_FULL : Plc_NO_BACKEND;
}
