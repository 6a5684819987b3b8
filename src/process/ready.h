/* Rdy: GET /v1/ready, answered 200 while callers are to come to this node and
 * 503 otherwise, on an address of its own.
 */
#ifndef READY_H
#define READY_H

#include <event2/http.h>

#include "process/loop.h"
#include "value/addr.h"
#include "value/err.h"

typedef bool (*RdyAsk)(void *context);

typedef struct {
    struct evhttp *http; /* NULL: not served */
    RdyAsk ask;
    void *context;
} Ready;

/* Addr_NONE serves nothing. */
bool Rdy_Init(Ready *ready, Loop *loop, Addr addr, RdyAsk ask, void *context,
              Err *err);
void Rdy_Finish(Ready *ready);

#endif
