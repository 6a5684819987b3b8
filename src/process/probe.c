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

static size_t
find_stalest(const Plc *plc)
{
    size_t stalest = 0;

    for (size_t i = 1; i < plc->count; i++) {
        if (known_at(&plc->rows[i]) < known_at(&plc->rows[stalest])) {
            stalest = i;
        }
    }
    return stalest;
}

static bool
take(Prb *probe, bool crosses, Instant now)
{
    if (Bkt_When(&probe->cpu, CPU_LEAST_US, now) > now ||
        (crosses && Bkt_When(&probe->link, Prb_BYTES, now) > now) ||
        !Bkt_Take(&probe->bytes, Prb_BYTES, now)) {
        return false;
    }
    return !crosses || Bkt_Take(&probe->link, Prb_BYTES, now);
}

const PlcRow *
Prb_Choose(Prb *probe, const Plc *plc, Instant now)
{
    PlcRow *row;
    bool crosses;

    if (!is_in_use(plc, now)) {
        return NULL;
    }
    row = &plc->rows[find_stalest(plc)];
    crosses = row->place.region != plc->settings.region;
    if (now - known_at(row) < FRESH || !take(probe, crosses, now)) {
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
