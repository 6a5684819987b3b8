/* Opc: the open connections to the operators' front, bounded in number.
 *
 * A connection over the bound is let in to be told so; over twice the bound
 * the one that was used longest ago is closed, so that an announcement of
 * the backend server always finds room.
 */
#ifndef OPCONNS_H
#define OPCONNS_H

#include <event2/http.h>

#include "process/counters.h"
#include "value/instant.h"

typedef struct {
    struct bufferevent *stream; /* one reference to it */
    Instant used_at;
    bool over; /* came when the bound was reached */
    bool busy; /* a request waits for its answer */
} OpcConn;

typedef struct {
    Counters *counters;
    size_t max;
    OpcConn *items; /* twice MAX */
    size_t count;   /* of these some may be closed by now */
} OpConns;

/* Watch the connections that HTTP takes. */
void Opc_Init(OpConns *conns, struct evhttp *http, size_t max,
              Counters *counters);
void Opc_Finish(OpConns *conns);

/* A whole request came over its connection; true: that is over the bound. */
bool Opc_OnRequest(OpConns *conns, struct evhttp_request *request,
                   Instant now);

/* Its answer is awaited, or is no longer. */
void Opc_SetBusy(OpConns *conns, struct evhttp_request *request, bool busy);

#endif
