#include "process/placement.h"

#include <math.h>

#include "process/policy.h"
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
Plc_Init(Plc *plc, const PlcSettings *settings, Rng *rng)
{
    *plc = (Plc){.settings = *settings, .rng = rng};
}

void
Plc_Finish(Plc *plc)
{
    Mem_Free(plc->rows);
    *plc = (Plc){0};
}

void
Plc_SetSettings(Plc *plc, const PlcSettings *settings)
{
    plc->settings = *settings;
}

static PlcRow *
find_row(Plc *plc, Addr node)
{
    for (size_t i = 0; i < plc->count; i++) {
        if (plc->rows[i].place.node == node) {
            return &plc->rows[i];
        }
    }
    return NULL;
}

/* Rendezvous weight of NODE for this node. */
static uint64_t
weight_of(const Plc *plc, Addr node)
{
    Addr pair[2] = {plc->settings.self, node};

    return Str_Hash(Str_From((const char *)pair, sizeof pair));
}

static size_t
count_domain(const Plc *plc, uint16_t domain)
{
    size_t count = 0;

    for (size_t i = 0; i < plc->count; i++) {
        count += plc->rows[i].place.domain == domain;
    }
    return count;
}

/* The row to give up when there is one too many: of the failure domain with
 * most rows, the one of least weight. */
static PlcRow *
find_excess(Plc *plc)
{
    PlcRow *excess = NULL;
    size_t most = 0;

    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[i];
        size_t size = count_domain(plc, row->place.domain);
        if (size > most || (size == most && excess &&
                            weight_of(plc, row->place.node) <
                                weight_of(plc, excess->place.node))) {
            excess = row;
            most = size;
        }
    }
    return excess;
}

static PlcRow *
add_row(Plc *plc)
{
    if (plc->count == plc->cap) {
        plc->cap = plc->cap ? plc->cap * 2 : 8;
        plc->rows = Mem_Resize(plc->rows, plc->cap, sizeof *plc->rows);
    }
    plc->rows[plc->count] = (PlcRow){0};
    return &plc->rows[plc->count++];
}

static void
start_row(PlcRow *row, const PlcPlace *place, const LoadReport *load,
          Instant now)
{
    *row = (PlcRow){
        .place = *place,
        .load = *load,
        .load_at = now,
        .weighed_at = now,
    };
}

static void
take_record(PlcRow *row, const PlcPlace *place, const LoadReport *load,
            Instant now)
{
    row->place = *place;
    if (now - row->load_at < RECORD_FRESH) {
        row->load.draining = row->load.draining || load->draining;
        return;
    }
    row->load = *load;
    row->load_at = now;
    row->since = 0;
}

void
Plc_SetPlace(Plc *plc, const PlcPlace *place, const LoadReport *load,
             Instant now)
{
    PlcRow *row = find_row(plc, place->node);

    if (row && row->place.incarnation == place->incarnation) {
        take_record(row, place, load, now);
        return;
    }
    start_row(row ? row : add_row(plc), place, load, now);
    if (plc->settings.rows_max && plc->count > plc->settings.rows_max) {
        *find_excess(plc) = plc->rows[plc->count - 1];
        plc->count--;
    }
}

void
Plc_DropPlace(Plc *plc, Addr node)
{
    PlcRow *row = find_row(plc, node);

    if (row) {
        *row = plc->rows[--plc->count];
    }
}

void
Plc_Weigh(PlcRow *row, Instant now)
{
    double age = (double)(now - row->weighed_at);
    double keep = exp(-age / WINDOW_US);
    double keep_failure = exp(-age / FAILURE_WINDOW_US);

    row->ends *= keep;
    row->waited_us =
        row->waited_us * keep + row->mine * WINDOW_US * (1 - keep);
    row->outcomes *= keep_failure;
    row->failures *= keep_failure;
    row->weighed_at = now;
}

void
Plc_OnReport(Plc *plc, Addr node, const LoadReport *load, Instant now)
{
    PlcRow *row = find_row(plc, node);

    if (row) {
        row->load = *load;
        row->load_at = now;
        row->since = 0;
    }
}

void
Plc_OnStart(Plc *plc, Addr node, Instant now)
{
    PlcRow *row = find_row(plc, node);

    if (row) {
        Plc_Weigh(row, now);
        row->mine++;
        row->since++;
        row->started_at = now;
    }
}

static bool
may_eject(const Plc *plc)
{
    size_t ejected = 0;

    for (size_t i = 0; i < plc->count; i++) {
        ejected += plc->rows[i].on_trial;
    }
    return 2 * (ejected + 1) <= plc->count;
}

static void
eject(PlcRow *row, Instant now)
{
    row->on_trial = true;
    row->trial_good = 0;
    row->eject_until = now + (EJECT_TIME << row->eject_count);
    if (row->eject_count < EJECT_DOUBLINGS_MAX) {
        row->eject_count++;
    }
}

static void
end_ejection(PlcRow *row)
{
    row->on_trial = false;
    row->eject_until = 0;
    row->eject_count = 0;
    row->failures = 0;
}

/* Recent outcomes only: a long failure is not held against it for long. */
static void
add_outcome(PlcRow *row, bool bad)
{
    row->outcomes += 1;
    row->failures += bad;
    if (row->outcomes > OUTCOMES_MAX) {
        row->failures *= OUTCOMES_MAX / row->outcomes;
        row->outcomes = OUTCOMES_MAX;
    }
}

static void
on_good(PlcRow *row)
{
    add_outcome(row, false);
    if (row->trying) {
        row->failures *= TRIAL_FORGIVES;
    }
    if (row->on_trial && ++row->trial_good >= TRIALS_GOOD) {
        end_ejection(row);
    }
}

static void
on_bad(const Plc *plc, PlcRow *row, Instant now)
{
    add_outcome(row, true);
    if (row->on_trial) {
        if (now >= row->eject_until) {
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
Plc_OnEnd(Plc *plc, Addr node, PlcEnd end, Span took, Instant now)
{
    PlcRow *row = find_row(plc, node);

    (void)took;
    if (!row) {
        return;
    }
    Plc_Weigh(row, now);
    if (row->mine) {
        row->mine--;
    }
    if (row->since > row->mine) {
        row->since = row->mine;
    }
    row->ends += end == Plc_ANSWERED || end == Plc_FAILED;
    if (end == Plc_ANSWERED) {
        on_good(row);
    }
    else if (end == Plc_FAILED || end == Plc_SILENT) {
        on_bad(plc, row, now);
    }
    row->trying = row->trying && row->mine;
}

/* Room that was not there is there again after about so long. */
#define FULL_HOLDS Span_MS(25)

void
Plc_OnFull(Plc *plc, Addr node, Instant now)
{
    PlcRow *row = find_row(plc, node);

    if (row) {
        row->full_until = now + FULL_HOLDS;
    }
}

bool
Plc_HasSlowHome(const Plc *plc, Instant now)
{
    for (size_t i = 0; i < plc->count; i++) {
        const PlcRow *row = &plc->rows[i];
        if (row->place.region == plc->settings.region &&
            Pol_IsSlow(row, now)) {
            return true;
        }
    }
    return false;
}

bool
Plc_HasHome(const Plc *plc)
{
    for (size_t i = 0; i < plc->count; i++) {
        const PlcRow *row = &plc->rows[i];
        if (row->place.region == plc->settings.region && row->load.slots &&
            !row->load.draining) {
            return true;
        }
    }
    return false;
}

PlcVerdict
Plc_Choose(Plc *plc, const PlcAsk *ask, Instant now, const PlcRow **row)
{
    bool full = false;

    *row = Pol_Choose(plc, ask, now, &full);
    if (*row) {
        return Plc_CHOSEN;
    }
    return full ? Plc_SHED : Plc_NOBODY;
}
