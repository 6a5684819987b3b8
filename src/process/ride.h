/* Rid: whether a load report rides on an answer or a refusal.
 *
 * At home one always does.  Across the regions' link it stays away when one
 * went to the same node within Rid_GAP: at high load refusals would fill more
 * of the link with reports than measuring may have.
 */
#ifndef RIDE_H
#define RIDE_H

#include <stdbool.h>

#include "value/instant.h"

#define Rid_GAP Span_MS(20)

/* Two nodes in the same place of the table miss a report of one gap. */
enum { Rid_PLACES = 1024 };

typedef struct {
    Instant told_at[Rid_PLACES]; /* 0: never */
} Ride;

/* NODE is any number that stands for the node it goes to. */
bool Rid_Decide(Ride *ride, uint64_t node, bool crosses, Instant now);

#endif
