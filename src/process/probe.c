#include "process/probe.h"

#define FRESH Span_MS(250) /* a report this young needs no probe */
#define IN_USE Span_S(1)   /* since an attempt of the service */
#define CPU_LEAST_US 20    /* reserved for one probe */

enum { BURST_PROBES = 4 };

/* A burst never holds more than a second's worth. */
static double
burst_of(uint32_t per_s)
{
    double burst = (double)BURST_PROBES * Prb_BYTES;

    return per_s < burst ? per_s : burst;
}

static double
cpu_rate(const PrbLimits *limits)
{
    return limits->cpu_permille * 1000.0;
}

void
Prb_Init(Prb *probe, const PrbLimits *limits, Instant now)
{
    Bkt_Init(&probe->bytes, limits->bytes_per_s, burst_of(limits->bytes_per_s),
             now);
    Bkt_Init(&probe->link, limits->link_bytes_per_s,
             burst_of(limits->link_bytes_per_s), now);
    Bkt_Init(&probe->cpu, cpu_rate(limits), cpu_rate(limits), now);
}

void
Prb_SetLimits(Prb *probe, const PrbLimits *limits, Instant now)
{
    Bkt_SetRate(&probe->bytes, limits->bytes_per_s,
                burst_of(limits->bytes_per_s), now);
    Bkt_SetRate(&probe->link, limits->link_bytes_per_s,
                burst_of(limits->link_bytes_per_s), now);
    Bkt_SetRate(&probe->cpu, cpu_rate(limits), cpu_rate(limits), now);
}

static bool
is_in_use(const Plc *plc, Instant now)
{
    for (size_t i = 0; i < plc->count; i++) {
        const PlcRow *row = &plc->rows[i];
        if (row->started_at && now - row->started_at < IN_USE) {
            return true;
        }
    }
    return false;
}

static Instant
known_at(const PlcRow *row)
{
    return row->load_at > row->probed_at ? row->load_at : row->probed_at;
}

static bool
crosses(const Plc *plc, const PlcRow *row)
{
    return row->place.region != plc->settings.region;
}

/* A row across the link must not hold up those at home while the link has no
 * budget left. */
static PlcRow *
find_stalest(const Prb *probe, const Plc *plc, Instant now)
{
    bool open = Bkt_When(&probe->link, Prb_BYTES, now) <= now;
    PlcRow *stalest = NULL;

    for (size_t i = 0; i < plc->count; i++) {
        PlcRow *row = &plc->rows[i];
        if ((open || !crosses(plc, row)) &&
            (!stalest || known_at(row) < known_at(stalest))) {
            stalest = row;
        }
    }
    return stalest;
}

static bool
take(Prb *probe, bool link, Instant now)
{
    if (Bkt_When(&probe->cpu, CPU_LEAST_US, now) > now ||
        !Bkt_Take(&probe->bytes, Prb_BYTES, now)) {
        return false;
    }
    return !link || Bkt_Take(&probe->link, Prb_BYTES, now);
}

const PlcRow *
Prb_Choose(Prb *probe, const Plc *plc, Instant now)
{
    PlcRow *row;

    if (!is_in_use(plc, now)) {
        return NULL;
    }
    row = find_stalest(probe, plc, now);
    if (!row || now - known_at(row) < FRESH ||
        !take(probe, crosses(plc, row), now)) {
        return NULL;
    }
    row->probed_at = now;
    return row;
}

void
Prb_OnCpu(Prb *probe, double microseconds, Instant now)
{
    Bkt_Charge(&probe->cpu, microseconds, now);
}
