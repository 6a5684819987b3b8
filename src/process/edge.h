/* Edge: the HTTP front towards callers: its address, its connections
 * (connection/callerconn.h) and their requests (request/exchange.h).
 */
#ifndef EDGE_H
#define EDGE_H

#include "connection/callerconn.h"
#include "process/loop.h"
#include "process/settings.h"
#include "request/exchange.h"

typedef struct {
    const Settings *settings;
    CallerListener callers;
    ExchangeList exchanges;
} Edge;

/* Listen; connections wait until Edge_Open. */
bool Edge_Init(Edge *edge, Loop *loop, const Settings *settings,
               CallDispatcher *hub, Err *err);
void Edge_Finish(Edge *edge);

/* Take callers' connections. */
void Edge_Open(Edge *edge);

/* PRESET is in force: the bounds on what callers send. */
void Edge_SetPreset(Edge *edge, const Preset *preset);

/* The node stops, step by step: each answer from now on is the last of its
 * connection, and nobody connects any more ... */
void Edge_Refuse(Edge *edge);

/* ... who had connected before is known by now ... */
void Edge_StopListening(Edge *edge);

/* ... and connections without a request are closed. */
void Edge_CloseIdle(Edge *edge);

/* Times that ran out. */
void Edge_Tick(Edge *edge, Instant now);

/* Requests and answers that are still under way. */
size_t Edge_Busy(const Edge *edge);

/* Callers' connections, with a request or without. */
size_t Edge_Callers(const Edge *edge);

#endif
