#include "process/admission/queueorder.h"

#include <math.h>

/* Accounts count as equal while what they had is of one level; a level is four
 * times the one below it.  Smaller differences are chance, and an order by
 * them would let those wait too long that had a little more. */
enum { LEVEL_BITS = 2 };

/* An account had much less than another when this many times what it had is
 * below what the other had. */
enum { MUCH_LESS_FACTOR = 2 };

static int
get_level(double use)
{
    return use < 1 ? 0 : 1 + ilogb(use) / LEVEL_BITS;
}

bool
Quo_StartsBefore(const QueuePlace *a, const QueuePlace *b)
{
    if (a->nested != b->nested) {
        return a->nested;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (get_level(a->use) != get_level(b->use)) {
        return a->use < b->use;
    }
    return a->start_by < b->start_by;
}

bool
Quo_MayDisplace(const QueuePlace *newcomer, const QueuePlace *queued)
{
    if (newcomer->nested != queued->nested) {
        return newcomer->nested;
    }
    if (newcomer->priority != queued->priority) {
        return newcomer->priority < queued->priority;
    }
    return newcomer->use * MUCH_LESS_FACTOR < queued->use;
}

void
Quo_OfferFirst(QueueFirst *first, const QueuePlace *place, void *item)
{
    if (!first->item || Quo_StartsBefore(place, &first->place)) {
        first->place = *place;
        first->item = item;
    }
}

void
Quo_OfferDisplaced(QueueDisplacement *found, const QueuePlace *place,
                   void *item)
{
    if (Quo_StartsBefore(place, &found->newcomer)) {
        found->ahead++;
        return;
    }
    if (Quo_MayDisplace(&found->newcomer, place) &&
        (!found->item || Quo_StartsBefore(&found->place, place))) {
        found->place = *place;
        found->item = item;
    }
}
