/* Rpt: decides whether a load report is attached to an answer or a refusal.
 *
 * Within a region a report is always attached.  Across the inter-region link
 * none is attached when one went to the same node within Rpt_MIN_INTERVAL: at
 * high load the reports in refusals would take more of the link than probing
 * may use.
 */
#ifndef REPORTTHROTTLE_H
#define REPORTTHROTTLE_H

#include <stdbool.h>

#include "value/instant.h"

#define Rpt_MIN_INTERVAL Span_MS(20)

/* When two nodes share a slot, one of them misses the report of one
 * interval. */
enum { Rpt_SLOTS = 1024 };

typedef struct {
    Instant last_report_at[Rpt_SLOTS]; /* 0: never */
} ReportThrottle;

/* True when a report is to be attached, which is recorded as done.  NODE_KEY
 * is any number that identifies the receiving node. */
bool Rpt_ShouldAttach(ReportThrottle *throttle, uint64_t node_key,
                      bool is_cross_region, Instant now);

#endif
