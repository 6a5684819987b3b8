/* Ofr: large bodies that a node beside a backend server has agreed to receive.
 *
 * A message is received whole before anything can refuse it, and several nodes
 * may send at once.  So an ingress node first offers an attempt with a large
 * body (Wire_OFFER).  Room is made for it then, or it is refused as full; with
 * a Wire_GRANT it may come.  The room goes over to the attempt when that has
 * come, and back when it does not in time.
 */
#ifndef OFFER_H
#define OFFER_H

#include "process/memory/budget.h"
#include "value/addr.h"
#include "value/instant.h"

/* A body of at least this size is offered first. */
enum { Ofr_BODY_BYTES_MIN = 64 * 1024 };

enum { Ofr_OPEN_MAX = 256 };

/* One attempt whose body may come. */
typedef struct {
    AttemptId id;
    size_t held; /* of the budget */
    Instant granted_at;
} Offer;

/* Begins zeroed. */
typedef struct {
    Offer items[Ofr_OPEN_MAX]; /* in no order */
    size_t count;
} OfferTable;

/* Makes room for the body of attempt ID.  Returns whether it may come; also
 * true when it was granted before. */
bool Ofr_Grant(OfferTable *table, MemoryBudget *budget, AttemptId id,
               size_t bytes, Instant now);

/* The attempt has come, or never will: gives its room back. */
void Ofr_End(OfferTable *table, MemoryBudget *budget, AttemptId id);

/* Gives back the room of those that did not come in time. */
void Ofr_Expire(OfferTable *table, MemoryBudget *budget, Instant now);

#endif
