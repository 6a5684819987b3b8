#include "process/probe.h"

#define FRESH Span_MS(250) /* a report this young needs no probe */
#define IN_USE Span_S(1)   /* since an attempt of the service */
#define CPU_LEAST_US 20    /* reserved for one probe */

enum { BURST_PROBES = 4 };

/* A burst never holds more than a second's worth. */
static double
burst_of(uint32_t per_s)
{
    double burst = (double)BURST_PROBES * Prb_BYTES_MAX;

    return per_s < burst ? per_s : burst;
}

static double
cpu_rate(const ProbeLimits *limits)
{
    return limits->cpu_permille * 1000.0;
}

void
Prb_Init(ProbeBudget *probe, const ProbeLimits *limits, Instant now)
{
    Bkt_Init(&probe->bytes, limits->bytes_per_s, burst_of(limits->bytes_per_s),
             now);
    Bkt_Init(&probe->remote_bytes, limits->remote_bytes_per_s,
             burst_of(limits->remote_bytes_per_s), now);
    Bkt_Init(&probe->cpu_us, cpu_rate(limits), cpu_rate(limits), now);
}

void
Prb_SetLimits(ProbeBudget *probe, const ProbeLimits *limits, Instant now)
{
    Bkt_SetRate(&probe->bytes, limits->bytes_per_s,
                burst_of(limits->bytes_per_s), now);
    Bkt_SetRate(&probe->remote_bytes, limits->remote_bytes_per_s,
                burst_of(limits->remote_bytes_per_s), now);
    Bkt_SetRate(&probe->cpu_us, cpu_rate(limits), cpu_rate(limits), now);
}

static bool
is_in_use(const PlacementTable *plc, Instant now)
{
    for (size_t i = 0; i < plc->row_count; i++) {
        const BackendRow *row = &plc->rows[i];
        if (row->last_attempt_at && now - row->last_attempt_at < IN_USE) {
            return true;
        }
    }
    return false;
}

static Instant
known_at(const BackendRow *row)
{
    return row->load_received_at > row->last_probe_at ? row->load_received_at
                                                      : row->last_probe_at;
}

static bool
crosses(const PlacementTable *plc, const BackendRow *row)
{
    return row->location.region != plc->settings.region;
}

/* A row across the link must not hold up those at home while the link has no
 * budget left. */
static BackendRow *
find_stalest(const ProbeBudget *probe, const PlacementTable *plc, Instant now)
{
    bool open =
        Bkt_AvailableAt(&probe->remote_bytes, Prb_BYTES_MAX, now) <= now;
    BackendRow *stalest = NULL;

    for (size_t i = 0; i < plc->row_count; i++) {
        BackendRow *row = &plc->rows[i];
        if ((open || !crosses(plc, row)) &&
            (!stalest || known_at(row) < known_at(stalest))) {
            stalest = row;
        }
    }
    return stalest;
}

static bool
take(ProbeBudget *probe, bool link, Instant now)
{
    if (Bkt_AvailableAt(&probe->cpu_us, CPU_LEAST_US, now) > now ||
        !Bkt_Take(&probe->bytes, Prb_BYTES_MAX, now)) {
        return false;
    }
    return !link || Bkt_Take(&probe->remote_bytes, Prb_BYTES_MAX, now);
}

const BackendRow *
Prb_ChooseTarget(ProbeBudget *probe, const PlacementTable *plc, Instant now)
{
    BackendRow *row;

    if (!is_in_use(plc, now)) {
        return NULL;
    }
    row = find_stalest(probe, plc, now);
    if (!row || now - known_at(row) < FRESH ||
        !take(probe, crosses(plc, row), now)) {
        return NULL;
    }
    row->last_probe_at = now;
    return row;
}

void
Prb_ChargeCpu(ProbeBudget *probe, double microseconds, Instant now)
{
    Bkt_Charge(&probe->cpu_us, microseconds, now);
}
