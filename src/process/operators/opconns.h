/* Opc: the open connections of the HTTP server for operators, bounded in
 * number.
 *
 * A connection over the limit is accepted, so that its request can be answered
 * with an error.  At twice the limit, a new connection closes the one that was
 * used least recently, preferably one without a pending request.  This way an
 * announcement of the backend server always gets a connection.
 *
 * What is read of a request, and what is kept of its answer, is counted in the
 * budget of the process.  When all of it takes too much, connections are
 * closed that do not wait for an answer, the large and slow ones first.
 */
#ifndef OPCONNS_H
#define OPCONNS_H

#include <event2/http.h>

#include "process/memory/budget.h"
#include "process/observe/counters.h"
#include "value/instant.h"

typedef struct {
    struct bufferevent *stream; /* this module holds one reference */
    Instant used_at;            /* accepted, or last request received */
    bool over_limit;    /* LIMIT or more were open when it was accepted */
    bool awaits_answer; /* a request on it was not answered yet */
    bool has_request;   /* one was read whole; what comes next is another */
    size_t held;        /* of the budget: read for a request */
    size_t answer_held; /* of the budget: of an answer, not sent yet */
} OperatorConnection;

typedef struct {
    Counters *counters;
    MemoryBudget *budget;
    size_t limit;
    OperatorConnection *items; /* array of 2 * limit */
    size_t count; /* some of these may have been closed meanwhile */
} OperatorConnections;

/* Tracks the connections that HTTP accepts from now on.  LIMIT connections may
 * be open before requests are refused.  What is kept for them is counted in
 * BUDGET.  CONNECTIONS must not move. */
void Opc_Init(OperatorConnections *connections, struct evhttp *http,
              size_t limit, MemoryBudget *budget, Counters *counters);

/* Releases all streams. */
void Opc_Finish(OperatorConnections *connections);

/* Records the use of a connection by REQUEST, which was received as a whole.
 * Returns true when the connection is over the limit, or already closed. */
bool Opc_OnRequest(OperatorConnections *connections,
                   struct evhttp_request *request, Instant now);

/* Records whether REQUEST waits for its answer.  Such a connection is closed
 * after all others. */
void Opc_SetBusy(OperatorConnections *connections,
                 struct evhttp_request *request, bool awaits_answer);

#endif
