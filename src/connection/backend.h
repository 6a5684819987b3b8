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
    bool plain;        /* no request of a caller: without a deadline */
    Span left;         /* until the deadline */
    Span repeat_after; /* 0: never; see Bck_Start */
} BckRequest;

typedef enum {
    Bck_WHOLE,    /* the whole answer came */
    Bck_CUT,      /* the connection ended before the answer did */
    Bck_REJECTED, /* the answer says that it did not run */
    Bck_UNREACHED /* no connection could be made: it did not run */
} BckEnd;

/* Where the answer goes. */
typedef struct {
    void *context;
    void (*head)(void *context, uint16_t status, const FieldList *fields);
    void (*bytes)(void *context, Str bytes);
    void (*end)(void *context, BckEnd end); /* the exchange is gone then */
} BckSink;

/* Header fields between a node and its backend server; empty: not used. */
typedef struct {
    Str request_id; /* echoed by answers */
    Str deadline;   /* milliseconds left */
    Str expect;     /* the instance that alone may run the request */
    Str not_run;    /* in an answer: the request did not run */
    Str load;       /* in an answer: the backend server's own load */
} BckNames;

typedef struct BckExchange BckExchange;
typedef struct BckConnection BckConnection;

typedef Instant (*BckClock)(void);

typedef struct {
    struct event_base *base;
    BckClock clock;
    BckNames names;
    Addr addr;       /* of the backend server; Addr_NONE: none */
    StrBuf instance; /* that is expected there; empty: any */
    BckConnection *idle;
    BckConnection *retired; /* to be closed from the loop */
    struct event *closer;
    void *load_context;
    void (*load)(void *context, Str text, Instant now); /* NULL: nobody */
} BckPool;

void Bck_PoolInit(BckPool *pool, struct event_base *base, BckClock clock,
                  const BckNames *names);
void Bck_PoolFinish(BckPool *pool);

/* The backend server listens at ADDR from now on, as INSTANCE. */
void Bck_SetAddr(BckPool *pool, Addr addr, Str instance);

/* Told of each load that an answer brings. */
void Bck_OnLoad(BckPool *pool,
                void (*load)(void *context, Str text, Instant now),
                void *context);

/* Start an exchange; NULL when no request could be made, and none ran.  The
 * sink is never called before this returns.  REQUEST's strings stay valid
 * until the end.  A request over a kept-open connection that brings nothing
 * for its repeat_after is sent once more, over a fresh one: the open one may
 * be silent for good. */
BckExchange *Bck_Start(BckPool *pool, const BckRequest *request,
                       const BckSink *sink);

/* Stop: the sink is not called again, and the connection is closed. */
void Bck_Cancel(BckExchange *exchange);

/* Read no more of the answer, and go on. */
void Bck_Pause(BckExchange *exchange);
void Bck_Resume(BckExchange *exchange);

#endif
