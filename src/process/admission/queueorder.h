/* Quo: the order in which attempts that wait beside a backend server start,
 * and which of them gives up its place when there is no room for one that goes
 * before it.
 *
 * Calls that a run makes go first, since the work of the run is paid for; then
 * the more urgent; among equals the client account that had clearly less
 * (fairshare.h); then the one that has to start earlier.
 *
 * Source of the order of urgency under overload: H. Zhou et al., "Overload
 * control for scaling WeChat microservices", 2018.
 */
#ifndef QUEUEORDER_H
#define QUEUEORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

typedef struct {
    bool nested;       /* made by a run that a backend server still has */
    uint32_t priority; /* 0: most urgent */
    double use;        /* of its account, see Fsh_GetUse */
    Instant start_by;  /* latest start that is of use */
} QueuePlace;

bool Quo_StartsBefore(const QueuePlace *a, const QueuePlace *b);

/* Whether NEWCOMER takes the place of QUEUED where the queue is full.  Among
 * equals only an account that had much less does, so that equal ones don't
 * push each other out. */
bool Quo_MayDisplace(const QueuePlace *newcomer, const QueuePlace *queued);

/* Finds the attempt that starts first: zero it, then offer each queued one. */
typedef struct {
    QueuePlace place;
    void *item; /* of the caller; NULL: none was offered */
} QueueFirst;

void Quo_OfferFirst(QueueFirst *first, const QueuePlace *place, void *item);

/* Finds the attempt that gives way to a newcomer, the last one of those that
 * do: set newcomer, then offer each queued one. */
typedef struct {
    QueuePlace newcomer;
    uint32_t ahead; /* offered ones that start before the newcomer */
    QueuePlace place;
    void *item; /* of the caller; NULL: none gives way */
} QueueDisplacement;

void Quo_OfferDisplaced(QueueDisplacement *found, const QueuePlace *place,
                        void *item);

#endif
