#include "process/placement/probe.h"

#define REPORT_FRESH Span_MS(250) /* younger: no probe needed */
#define SERVICE_IN_USE Span_S(1)  /* since the last attempt */
#define PROBE_CPU_US_MIN 20       /* budget needed to start one probe */

enum { BURST_PROBES = 4 };

/* Bytes of the burst: BURST_PROBES probes, but no more than the budget of one
 * second. */
static double
probe_burst(uint32_t bytes_per_s)
{
    double burst = (double)BURST_PROBES * Prb_BYTES_MAX;

    return bytes_per_s < burst ? bytes_per_s : burst;
}

static double
cpu_us_per_s(const ProbeLimits *limits)
{
    return limits->cpu_permille * 1000.0;
}

void
Prb_Init(ProbeBudget *budget, const ProbeLimits *limits, Instant now)
{
    Bkt_Init(&budget->bytes, limits->bytes_per_s,
             probe_burst(limits->bytes_per_s), now);
    Bkt_Init(&budget->remote_bytes, limits->remote_bytes_per_s,
             probe_burst(limits->remote_bytes_per_s), now);
    Bkt_Init(&budget->cpu_us, cpu_us_per_s(limits), cpu_us_per_s(limits), now);
}

void
Prb_SetLimits(ProbeBudget *budget, const ProbeLimits *limits, Instant now)
{
    Bkt_SetRate(&budget->bytes, limits->bytes_per_s,
                probe_burst(limits->bytes_per_s), now);
    Bkt_SetRate(&budget->remote_bytes, limits->remote_bytes_per_s,
                probe_burst(limits->remote_bytes_per_s), now);
    Bkt_SetRate(&budget->cpu_us, cpu_us_per_s(limits), cpu_us_per_s(limits),
                now);
}

static bool
is_in_use(const PlacementTable *table, Instant now)
{
    for (size_t i = 0; i < table->row_count; i++) {
        const BackendRow *row = &table->rows[i];
        if (row->last_attempt_at &&
            now - row->last_attempt_at < SERVICE_IN_USE) {
            return true;
        }
    }
    return false;
}

static Instant
last_known_at(const BackendRow *row)
{
    return row->load_received_at > row->last_probe_at ? row->load_received_at
                                                      : row->last_probe_at;
}

static bool
is_remote(const PlacementTable *table, const BackendRow *row)
{
    return row->location.region != table->settings.region;
}

/* The row whose last report or probe is oldest.  Remote rows are skipped while
 * their budget is used up, so that they don't hold up the local rows. */
static BackendRow *
find_stalest(const ProbeBudget *budget, const PlacementTable *table,
             Instant now)
{
    bool has_remote_budget =
        Bkt_AvailableAt(&budget->remote_bytes, Prb_BYTES_MAX, now) <= now;
    BackendRow *stalest = NULL;

    for (size_t i = 0; i < table->row_count; i++) {
        BackendRow *row = &table->rows[i];
        if ((has_remote_budget || !is_remote(table, row)) &&
            (!stalest || last_known_at(row) < last_known_at(stalest))) {
            stalest = row;
        }
    }
    return stalest;
}

static bool
take_tokens(ProbeBudget *budget, bool remote, Instant now)
{
    if (Bkt_AvailableAt(&budget->cpu_us, PROBE_CPU_US_MIN, now) > now ||
        !Bkt_Take(&budget->bytes, Prb_BYTES_MAX, now)) {
        return false;
    }
    return !remote || Bkt_Take(&budget->remote_bytes, Prb_BYTES_MAX, now);
}

const BackendRow *
Prb_ChooseTarget(ProbeBudget *budget, const PlacementTable *table, Instant now)
{
    BackendRow *row;

    if (!is_in_use(table, now)) {
        return NULL;
    }
    row = find_stalest(budget, table, now);
    if (!row || now - last_known_at(row) < REPORT_FRESH ||
        !take_tokens(budget, is_remote(table, row), now)) {
        return NULL;
    }
    row->last_probe_at = now;
    return row;
}

void
Prb_ChargeCpu(ProbeBudget *budget, double microseconds, Instant now)
{
    Bkt_Charge(&budget->cpu_us, microseconds, now);
}
