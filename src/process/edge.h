/* Edge: the HTTP front towards callers, by evhttp.
 *
 * It turns each HTTP request into a CallRequest, and what comes back into an
 * HTTP answer that tells "not run", "ran" and "unknown" apart.
 */
#ifndef EDGE_H
#define EDGE_H

#include <event2/http.h>

#include "process/loop.h"
#include "process/settings.h"
#include "request/call.h"

typedef struct EdgeExchange EdgeExchange;

typedef struct {
    CallHub *hub;
    Loop *loop;
    const Settings *settings;
    struct evhttp *http;
    EdgeExchange *first;
    uint64_t counter; /* of request ids */
} Edge;

bool Edge_Init(Edge *edge, Loop *loop, const Settings *settings, CallHub *hub,
               Err *err);
void Edge_Finish(Edge *edge);

#endif
