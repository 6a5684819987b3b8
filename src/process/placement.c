#include "process/placement.h"

#include "value/mem.h"

#define SMOOTHING 0.2

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

void
Plc_SetPlace(Plc *plc, const PlcPlace *place, const LoadReport *load,
             Instant now)
{
    PlcRow *row = find_row(plc, place->node);

    if (!row) {
        row = add_row(plc);
    }
    else if (row->place.incarnation != place->incarnation) {
        *row = (PlcRow){0};
    }
    row->place = *place;
    row->load = *load;
    row->load_at = now;
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

    (void)now;
    if (row) {
        row->mine++;
        row->since++;
    }
}

void
Plc_OnEnd(Plc *plc, Addr node, PlcEnd end, Span took, Instant now)
{
    PlcRow *row = find_row(plc, node);

    (void)now;
    if (!row) {
        return;
    }
    if (row->mine) {
        row->mine--;
    }
    if (end == Plc_ANSWERED) {
        row->latency_us += SMOOTHING * ((double)took - row->latency_us);
    }
}

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
is_candidate(const PlcRow *row, const PlcAsk *ask)
{
    return row->load.slots > 0 && !row->load.draining &&
           !was_tried(ask, row->place.node);
}

static double
price(const Plc *plc, const PlcRow *row)
{
    double work = row->load.running + row->load.queued + row->since + 1.0;
    double wait = work * row->load.service_us / row->load.slots;

    if (row->place.region != plc->settings.region) {
        wait += (double)plc->settings.region_price;
    }
    else if (row->place.domain != plc->settings.domain) {
        wait += (double)plc->settings.domain_price;
    }
    return wait;
}

/* The NTH candidate. */
static PlcRow *
pick(Plc *plc, const PlcAsk *ask, uint32_t nth)
{
    for (size_t i = 0; i < plc->count; i++) {
        if (is_candidate(&plc->rows[i], ask) && nth-- == 0) {
            return &plc->rows[i];
        }
    }
    return NULL;
}

static PlcRow *
choose_random(Plc *plc, const PlcAsk *ask, uint32_t candidates)
{
    return pick(plc, ask, Rng_Below(plc->rng, candidates));
}

static PlcRow *
choose_round_robin(Plc *plc, const PlcAsk *ask)
{
    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[plc->round++ % plc->count];
        if (is_candidate(row, ask)) {
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
        if (is_candidate(row, ask) && (!best || row->mine < best->mine)) {
            best = row;
        }
    }
    return best;
}

static PlcRow *
choose_two(Plc *plc, const PlcAsk *ask, uint32_t candidates)
{
    PlcRow *a = choose_random(plc, ask, candidates);
    PlcRow *b = choose_random(plc, ask, candidates);

    return b->mine < a->mine ? b : a;
}

static PlcRow *
choose_least_wait(Plc *plc, const PlcAsk *ask, uint32_t candidates)
{
    PlcRow *best = NULL;

    for (uint32_t i = 0; i < plc->settings.sample; i++) {
        PlcRow *row = choose_random(plc, ask, candidates);
        if (!best || price(plc, row) < price(plc, best)) {
            best = row;
        }
    }
    return best;
}

PlcVerdict
Plc_Choose(Plc *plc, const PlcAsk *ask, Instant now, const PlcRow **row)
{
    uint32_t candidates = 0;

    (void)now;
    *row = NULL;
    for (size_t i = 0; i < plc->count; i++) {
        candidates += is_candidate(&plc->rows[i], ask);
    }
    if (candidates == 0) {
        return Plc_NOBODY;
    }
    switch (plc->settings.policy) {
    case Plc_RANDOM:
        *row = choose_random(plc, ask, candidates);
        break;
    case Plc_ROUND_ROBIN:
        *row = choose_round_robin(plc, ask);
        break;
    case Plc_LEAST_MINE:
        *row = choose_least_mine(plc, ask);
        break;
    case Plc_TWO_CHOICES:
        *row = choose_two(plc, ask, candidates);
        break;
    case Plc_LEAST_WAIT:
        *row = choose_least_wait(plc, ask, candidates);
        break;
    }
    return Plc_CHOSEN;
}
