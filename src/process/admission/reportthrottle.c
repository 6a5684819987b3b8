#include "process/admission/reportthrottle.h"

bool
Rpt_ShouldAttach(ReportThrottle *throttle, uint64_t node_key,
                 bool is_cross_region, Instant now)
{
    Instant *last_at = &throttle->last_report_at[node_key % Rpt_SLOTS];

    if (is_cross_region && *last_at && now - *last_at < Rpt_MIN_INTERVAL) {
        return false;
    }
    *last_at = now;
    return true;
}
