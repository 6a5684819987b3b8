/* Rdy: GET /v1/ready, answered 200 while callers are to come to this node and
 * 503 otherwise, on an address of its own.
 */
#ifndef READY_H
#define READY_H

#include <event2/http.h>

#include "process/loop.h"
#include "value/addr.h"
#include "value/err.h"

typedef bool (*ReadinessCallback)(void *context);

typedef struct {
    struct evhttp *http; /* NULL: not served */
    ReadinessCallback is_ready;
    void *context;
} ReadinessServer;

/* Addr_NONE serves nothing. */
bool Rdy_Init(ReadinessServer *server, Loop *loop, Addr addr,
              ReadinessCallback is_ready, void *context, Err *err);
void Rdy_Finish(ReadinessServer *server);

#endif
