#include "process/reportthrottle.h"

bool
Rpt_ShouldAttach(ReportThrottle *ride, uint64_t node, bool crosses,
                 Instant now)
{
    Instant *told_at = &ride->last_report_at[node % Rpt_SLOTS];

    if (crosses && *told_at && now - *told_at < Rpt_MIN_INTERVAL) {
        return false;
    }
    *told_at = now;
    return true;
}
