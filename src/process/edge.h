/* Edge: the HTTP front towards callers, by evhttp: its address, its
 * connections (connection/caller.h) and their requests (request/exchange.h).
 */
#ifndef EDGE_H
#define EDGE_H

#include <event2/http.h>

#include "connection/caller.h"
#include "process/loop.h"
#include "process/settings.h"
#include "request/exchange.h"

typedef struct {
    struct evhttp *http;
    struct evhttp_bound_socket *socket; /* NULL: no longer listening */
    bool open;
    CallerList callers;
    ExchangeList exchanges;
} Edge;

/* Listen; connections wait until Edge_Open. */
bool Edge_Init(Edge *edge, Loop *loop, const Settings *settings, CallHub *hub,
               Err *err);
void Edge_Finish(Edge *edge);

/* Take callers' connections. */
void Edge_Open(Edge *edge);

/* The node stops, step by step: each answer from now on is the last of its
 * connection, and nobody connects any more ... */
void Edge_Refuse(Edge *edge);

/* ... who had connected before is known by now ... */
void Edge_StopListening(Edge *edge);

/* ... and connections without a request are closed. */
void Edge_CloseIdle(Edge *edge);

/* Requests and answers that are still under way. */
size_t Edge_Busy(const Edge *edge);

/* Callers' connections, with a request or without. */
size_t Edge_Callers(const Edge *edge);

#endif
