/* Rdy: the HTTP server for readiness checks, at an address of its own.
 *
 * GET /v1/ready is answered with status 200 while callers may send requests to
 * this node, and with 503 otherwise.
 */
#ifndef READY_H
#define READY_H

#include <event2/http.h>

#include "process/loop.h"
#include "process/operators/opconns.h"
#include "value/addr.h"
#include "value/err.h"

/* Returns whether callers may send requests to this node. */
typedef bool (*ReadinessCallback)(void *context);

typedef struct {
    struct evhttp *http; /* owned; NULL: does not listen */
    ReadinessCallback is_ready;
    void *context;
    OperatorConnections connections; /* bounded in number */
} ReadinessServer;

/* Listens at ADDR, or not at all if ADDR is Addr_NONE.  IS_READY is called
 * with CONTEXT at each request.  What is kept is counted in BUDGET.  Returns
 * false and sets ERR if ADDR cannot be bound.  SERVER must stay at its address
 * until Rdy_Finish. */
bool Rdy_Init(ReadinessServer *server, Loop *loop, Addr addr,
              ReadinessCallback is_ready, void *context, MemoryBudget *budget,
              Counters *counters, Err *err);
void Rdy_Finish(ReadinessServer *server);

#endif
