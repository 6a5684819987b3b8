/* Rid: whether a load report rides on an answer or a refusal.
 *
 * At home one always does.  Across the regions' link it stays away when one
 * went to the same node within Rpt_MIN_INTERVAL: at high load refusals would
 * fill more of the link with reports than measuring may have.
 */
#ifndef REPORTTHROTTLE_H
#define REPORTTHROTTLE_H

#include <stdbool.h>

#include "value/instant.h"

#define Rpt_MIN_INTERVAL Span_MS(20)

/* Two nodes in the same place of the table miss a report of one gap. */
enum { Rpt_SLOTS = 1024 };

typedef struct {
    Instant last_report_at[Rpt_SLOTS]; /* 0: never */
} ReportThrottle;

/* NODE is any number that stands for the node it goes to. */
bool Rpt_ShouldAttach(ReportThrottle *ride, uint64_t node, bool crosses,
                      Instant now);

#endif
