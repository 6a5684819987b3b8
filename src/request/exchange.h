/* Xch: one HTTP request of a caller and its answer, at the ingress node.
 *
 * Turns the request into a CallRequest, and what comes back into an HTTP
 * answer that tells "not run", "ran" and "unknown" apart.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "connection/stream.h"
#include "request/call.h"

typedef struct Exchange Exchange;

/* What all exchanges of one front share. */
typedef struct {
    CallDispatcher *dispatcher;
    const SetNames *names;
    Exchange *first;
    size_t count;
    uint64_t request_id_counter; /* of request ids */
} ExchangeList;

void Xch_ListFinish(ExchangeList *list);

/* Take REQUEST on; its answer follows, at once or later. */
void Xch_Start(ExchangeList *list, CstRequest *request, Instant now);

/* REQUEST's caller is gone. */
void Xch_OnDisconnect(CstRequest *request, Instant now);

/* REQUEST's caller took BYTES of the answer. */
void Xch_OnConsumed(CstRequest *request, uint32_t bytes, Instant now);

#endif
