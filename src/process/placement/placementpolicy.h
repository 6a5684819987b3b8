/* Pol: the placement policies, that is how Plc_Choose (placement.h) selects a
 * row.
 *
 * Plc_LEAST_WAIT minimizes a cost, the expected time to a good answer.  Its
 * parts are the service time; the load for each slot, taken from the last
 * report, moved towards the service's mean as the report ages, plus what this
 * node has in flight and has sent since; the slowdown that this node's own
 * attempts observe, answered or not; the penalty of leaving the failure domain
 * or the region; and the failure rate.  Slots count only as far as service
 * times confirm them.
 *
 * A sample of the local rows and two remote rows are compared.  A remote row
 * wins only when the wait in this region exceeds the penalty of the link.  A
 * small share of the attempts goes to the local row that has had none for the
 * longest time: otherwise the report of a server that was slow once would
 * never be renewed.
 */
#ifndef PLACEMENTPOLICY_H
#define PLACEMENTPOLICY_H

#include "process/placement/placement.h"

/* Returns the row for one attempt, or NULL.  With NULL, *FULL is true when a
 * backend server takes work, but its queue is full or it is remote and the
 * request is local_only. */
BackendRow *Pol_ChooseRow(PlacementTable *table,
                          const PlacementRequest *request, Instant now,
                          bool *full);

/* True when a recent report marks the backend server as slow. */
bool Pol_IsRowSlow(const BackendRow *row, Instant now);

#endif
