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
    bool over_limit;    /* came when the bound was reached */
    bool awaits_answer; /* a request waits for its answer */
} OperatorConnection;

typedef struct {
    Counters *counters;
    size_t limit;
    OperatorConnection *items; /* twice MAX */
    size_t count;              /* of these some may be closed by now */
} OperatorConnections;

/* Watch the connections that HTTP takes. */
void Opc_Init(OperatorConnections *connections, struct evhttp *http,
              size_t limit, Counters *counters);
void Opc_Finish(OperatorConnections *connections);

/* A whole request came over its connection; true: that is over the bound. */
bool Opc_OnRequest(OperatorConnections *connections,
                   struct evhttp_request *request, Instant now);

/* Its answer is awaited, or is no longer. */
void Opc_SetBusy(OperatorConnections *connections,
                 struct evhttp_request *request, bool awaits_answer);

#endif
