/* Xch: one HTTP request of a caller and its answer, at the ingress node.
 *
 * The module connects a caller's connection (connection/callerconn.h) with a
 * call (request/call.h): it turns the request into a CallRequest, and the
 * result into an HTTP answer whose outcome field says "not-run", "ran" or
 * "unknown".  The functions below are the callbacks of the listener; an
 * Exchange is stored in CallerRequest.user_data and is freed when the answer
 * ends.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "connection/callerconn.h"
#include "request/call.h"

typedef struct Exchange Exchange;

/* All exchanges of one listener, and what they share. */
typedef struct {
    CallDispatcher *dispatcher;
    const HeaderFieldNames *names;
    List exchanges;
    uint64_t request_id_counter; /* for request ids that this node assigns */
} ExchangeList;

/* Frees all exchanges without answers, when the process ends. */
void Xch_ListFinish(ExchangeList *list);

/* Starts a call for REQUEST; its answer is sent now or later.  An invalid
 * request is answered at once and its connection is closed. */
void Xch_Start(ExchangeList *list, CallerRequest *request, Instant now);

/* The caller of REQUEST disconnected: cancels the call. */
void Xch_OnDisconnect(CallerRequest *request, Instant now);

/* The caller of REQUEST consumed BYTES of the answer's body. */
void Xch_OnConsumed(CallerRequest *request, uint32_t bytes, Instant now);

#endif
