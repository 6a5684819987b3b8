/* Pol: the choices behind PlacementPolicy.
 *
 * Ours prices the expected time to an answer: service time and wait from the
 * last report, drawn towards the service's mean as the report ages, plus what
 * this node sent since, for each slot that service times bear out; times the
 * slowness that this node's own attempts saw, answered or not; plus the price
 * of the way.  A sample of the region's rows
 * is compared, and two of the other region's, which win only when the wait at
 * home exceeds the price of the link.  A small share of the attempts goes to
 * the row at home that got none for longest: what is reported of a server that
 * was slow would otherwise stay as it is.
 */
#ifndef PLACEMENTPOLICY_H
#define PLACEMENTPOLICY_H

#include "process/placement.h"

/* The row for one attempt; NULL when there is none, and FULL tells whether
 * that is so only because every candidate's queue is full. */
BackendRow *Pol_ChooseRow(PlacementTable *plc, const PlacementRequest *ask,
                          Instant now, bool *full);

/* It said lately that work takes long there. */
bool Pol_IsRowSlow(const BackendRow *row, Instant now);

#endif
