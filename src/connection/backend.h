/* Bck: HTTP exchanges with the backend server beside this node, over a pool
 * of kept-open connections.
 *
 * A whole answer that states that the request did not run ends as
 * Bck_REJECTED, and nothing of it reaches the sink's head.  An answer that
 * names another request belongs to nobody and is passed over.  One that names
 * none is taken only where none did before it on its connection; a refusal
 * that names none ends its connection.
 */
#ifndef BACKEND_H
#define BACKEND_H

#include <event2/event.h>

#include "request/field.h"
#include "value/addr.h"
#include "value/instant.h"

typedef struct {
    Str method;
    Str target;
    Str request_id; /* empty: answers are not told apart by it */
    FieldList fields;
    Str body;
    bool is_internal;  /* no request of a caller: without a deadline */
    Span time_left;    /* until the deadline */
    Span resend_after; /* 0: never; see Bck_Start */
} BackendRequest;

typedef enum {
    Bck_COMPLETE,      /* the whole answer came */
    Bck_INTERRUPTED,   /* the connection ended before the answer did */
    Bck_REJECTED,      /* the answer says that it did not run */
    Bck_CONNECT_FAILED /* no connection could be made: it did not run */
} BackendResult;

/* Where the answer goes. */
typedef struct {
    void *context;
    void (*on_head)(void *context, uint16_t status, const FieldList *fields);
    void (*on_body)(void *context, Str bytes);
    void (*on_end)(void *context,
                   BackendResult end); /* the exchange is gone then */
} BackendCallbacks;

/* Header fields between a node and its backend server; empty: not used. */
typedef struct {
    Str request_id;        /* echoed by answers */
    Str deadline;          /* milliseconds left */
    Str expected_instance; /* the instance that alone may run the request */
    Str not_run;           /* in an answer: the request did not run */
    Str load;              /* in an answer: the backend server's own load */
} BackendHeaderNames;

typedef struct BackendExchange BackendExchange;
typedef struct BackendConnection BackendConnection;

typedef Instant (*BackendClock)(void);

typedef struct {
    struct event_base *base;
    BackendClock clock;
    BackendHeaderNames header_names;
    Addr addr;                /* of the backend server; Addr_NONE: none */
    StrBuf expected_instance; /* that is expected there; empty: any */
    BackendConnection *idle;
    BackendConnection *closing; /* to be closed from the loop */
    struct event *close_event;
    void *on_load_context;
    void (*on_load)(void *context, Str text, Instant now); /* NULL: nobody */
} BackendPool;

void Bck_PoolInit(BackendPool *pool, struct event_base *base,
                  BackendClock clock, const BackendHeaderNames *names);
void Bck_PoolFinish(BackendPool *pool);

/* The backend server listens at ADDR from now on, as INSTANCE. */
void Bck_SetAddr(BackendPool *pool, Addr addr, Str instance);

/* Told of each load that an answer brings. */
void Bck_SetLoadCallback(BackendPool *pool,
                         void (*load)(void *context, Str text, Instant now),
                         void *context);

/* Start an exchange; NULL when no request could be made, and none ran.  The
 * sink is never called before this returns.  REQUEST's strings stay valid
 * until the end.  A request over a kept-open connection that brings nothing
 * for its repeat_after is sent once more, over a fresh one: the open one may
 * be silent for good. */
BackendExchange *Bck_Start(BackendPool *pool, const BackendRequest *request,
                           const BackendCallbacks *sink);

/* Stop: the sink is not called again, and the connection is closed. */
void Bck_Cancel(BackendExchange *exchange);

/* Read no more of the answer, and go on. */
void Bck_Pause(BackendExchange *exchange);
void Bck_Resume(BackendExchange *exchange);

#endif
