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

PlcVerdict
Plc_Choose(Plc *plc, const PlcAsk *ask, Instant now, const PlcRow **row)
{
    const PlcRow *best = NULL;
    size_t start = Rng_Below(plc->rng, (uint32_t)plc->count);

    (void)now;
    for (size_t i = 0; i < plc->count; i++) {
        const PlcRow *seen = &plc->rows[(start + i) % plc->count];
        if (is_candidate(seen, ask) &&
            (!best || price(plc, seen) < price(plc, best))) {
            best = seen;
        }
    }
    *row = best;
    return best ? Plc_CHOSEN : Plc_NOBODY;
}
