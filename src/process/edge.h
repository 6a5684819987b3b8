/* Edge: the HTTP server for callers, at the ingress node.
 *
 * It joins the connections of callers (connection/callerconn.h) to the
 * exchanges that turn their requests into calls (request/exchange.h), and
 * applies the limits of the settings and of the preset in force.  The node
 * (process/node.h) owns one Edge.
 */
#ifndef EDGE_H
#define EDGE_H

#include "connection/callerconn.h"
#include "process/loop.h"
#include "process/settings/settings.h"
#include "request/exchange.h"

typedef struct {
    const Settings *settings;
    CallerListener caller_listener;
    ExchangeList exchanges; /* requests being answered */
} Edge;

/* Listens at the callers' address of SETTINGS, for CONNECTIONS_MAX connections
 * at a time.  What callers make this process keep is counted in BUDGET.  The
 * kernel queues connections until Edge_StartAccepting.  Returns false and sets
 * ERR if the address cannot be bound.  All pointers must outlive EDGE. */
bool Edge_Init(Edge *edge, Loop *loop, const Settings *settings,
               CallDispatcher *dispatcher, MemoryBudget *budget,
               size_t connections_max, Err *err);
void Edge_Finish(Edge *edge);

/* Starts to accept callers' connections. */
void Edge_StartAccepting(Edge *edge);

/* Applies the limits of PRESET, which came into force, on callers' requests
 * and connections; the settings' limits hold where PRESET has none. */
void Edge_SetPreset(Edge *edge, const Preset *preset);

/* The next four functions are the steps of a stop, in this order.  The first
 * makes each answer from now on the last one of its connection, and drops new
 * connections. */
void Edge_StartDraining(Edge *edge);

/* Closes the listening socket.  To be called once all connections made before
 * Edge_StartDraining have been accepted. */
void Edge_StopListening(Edge *edge);

/* Closes the connections without a request. */
void Edge_CloseIdle(Edge *edge);

/* Rejects the requests of which only a part has been read, as not run; their
 * connections close after it. */
void Edge_RejectPartialRequests(Edge *edge, Instant now);

/* Hands all output for callers to the kernel, as far as that has room.  To be
 * called at each tick when the process ends soon. */
void Edge_PushOutput(Edge *edge);

/* Handles the timeouts of callers' connections; called at each tick of the
 * node's timer. */
void Edge_CheckTimeouts(Edge *edge, Instant now);

/* Counts the requests that were read and are not answered completely. */
size_t Edge_CountRequests(const Edge *edge);

/* Counts callers' connections, with a request or without. */
size_t Edge_CountConnections(const Edge *edge);

/* Counts requests of which only a part has been read, and that some time
 * ago. */
size_t Edge_CountPartialRequests(Edge *edge, Instant now);

/* Counts the bytes of answers that were not sent to their callers yet. */
size_t Edge_CountUnsentBytes(Edge *edge);

#endif
