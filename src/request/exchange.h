/* Xch: one HTTP request of a caller and its answer, at the ingress node.
 *
 * Turns the request into a CallRequest, and what comes back into an HTTP
 * answer that tells "not run", "ran" and "unknown" apart.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "connection/caller.h"
#include "request/call.h"

typedef struct Exchange Exchange;

/* What all exchanges of one front share. */
typedef struct {
    CallHub *hub;
    Exchange *first;
    size_t count;
    uint64_t counter; /* of request ids */
    size_t header_bytes_max;
    bool closing; /* the node stops: each answer ends its connection */
} ExchangeList;

void Xch_ListFinish(ExchangeList *list);

/* Take REQUEST on; its answer follows, at once or later. */
void Xch_Start(ExchangeList *list, Caller *caller,
               struct evhttp_request *request, Instant now);

#endif
