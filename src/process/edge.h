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
    CallerListener caller_listener;
    ExchangeList exchanges;
} Edge;

/* Listen; connections wait until Edge_StartAccepting. */
bool Edge_Init(Edge *edge, Loop *loop, const Settings *settings,
               CallDispatcher *dispatcher, Err *err);
void Edge_Finish(Edge *edge);

/* Take callers' connections. */
void Edge_StartAccepting(Edge *edge);

/* PRESET is in force: the bounds on what callers send. */
void Edge_SetPreset(Edge *edge, const Preset *preset);

/* The node stops, step by step: each answer from now on is the last of its
 * connection, and nobody connects any more ... */
void Edge_StartDraining(Edge *edge);

/* ... who had connected before is known by now ... */
void Edge_StopListening(Edge *edge);

/* ... and connections without a request are closed. */
void Edge_CloseIdle(Edge *edge);

/* Times that ran out. */
void Edge_CheckTimeouts(Edge *edge, Instant now);

/* Requests and answers that are still under way. */
size_t Edge_CountRequests(const Edge *edge);

/* Callers' connections, with a request or without. */
size_t Edge_CountConnections(const Edge *edge);

#endif
