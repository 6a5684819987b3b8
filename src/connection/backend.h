/* Bck: HTTP/1.1 exchanges with the backend server beside this node, over a
 * pool of persistent connections.  Bck_Start sends a request and reports the
 * answer through callbacks.
 *
 * A complete answer that says that the request did not run ends the exchange
 * with Bck_REJECTED, and on_head is not called for it.  An answer that
 * carries the id of another request is discarded.  One without a request id
 * is accepted only as the first over its connection, and closes it.  A request
 * id is not sent over a connection that carried it lately.
 */
#ifndef BACKEND_H
#define BACKEND_H

#include <event2/event.h>

#include "connection/silence.h"
#include "request/field.h"
#include "value/addr.h"
#include "value/instant.h"

typedef struct {
    Str method;
    Str target;
    Str request_id; /* empty: answers are not matched by id */
    FieldList fields;
    Str body;           /* a large one is not copied: valid until the end */
    bool is_internal;   /* sent by this node itself, without a deadline */
    Span time_left;     /* time until the deadline */
    Span resend_after;  /* 0: never resent; see Bck_Start */
    uint32_t work_kind; /* requests of one kind take about as long */
} BackendRequest;

typedef enum {
    Bck_COMPLETE,      /* the complete answer was received */
    Bck_INTERRUPTED,   /* connection lost or timed out; it may have run */
    Bck_REJECTED,      /* the answer says that it did not run */
    Bck_CONNECT_FAILED /* no connection: the request did not run */
} BackendResult;

/* Receives the answer of an exchange: on_head at most once, on_body any number
 * of times, on_end last. */
typedef struct {
    void *context;
    void (*on_head)(void *context, uint16_t status, const FieldList *fields);
    void (*on_body)(void *context, Str bytes);
    /* The exchange has been freed. */
    void (*on_end)(void *context, BackendResult result);
} BackendCallbacks;

/* Names of the header fields exchanged with the backend server.  An empty
 * name means that the field is not used. */
typedef struct {
    Str request_id;        /* echoed in answers */
    Str deadline;          /* milliseconds until the deadline */
    Str expected_instance; /* the only instance that may run it */
    Str not_run;           /* in an answer: the request did not run */
    Str load;              /* in an answer: the backend server's own load */
    Str cold; /* in an answer about its health: how long it stays cold */
} BackendHeaderNames;

typedef struct BackendExchange BackendExchange;
typedef struct BackendConnection BackendConnection;

typedef Instant (*BackendClock)(void);

typedef struct {
    struct event_base *base;
    BackendClock clock;
    BackendHeaderNames header_names;
    Addr addr; /* of the backend server; Addr_NONE: no backend server */
    StrBuf expected_instance; /* instance name; empty: any */
    BackendConnection *idle;
    BackendConnection *closing; /* closed later from the event loop */
    struct event *close_event;
    uint32_t server_number; /* counts the backend servers so far */
    bool names_requests;    /* an answer of this one carried its request id */
    SilenceWatch silence;
    void *resend_check_context;
    bool (*resend_check)(void *context, bool may_still_run,
                         Instant now); /* NULL: always */
    void *on_load_context;
    void (*on_load)(void *context, Str text,
                    Instant now); /* NULL: loads are ignored */
} BackendPool;

/* Makes a pool without a backend server.  Copies NAMES; BASE must outlive
 * POOL. */
void Bck_PoolInit(BackendPool *pool, struct event_base *base,
                  BackendClock clock, const BackendHeaderNames *names);

/* Closes the connections that are not in use.  The owner cancels the exchanges
 * in flight first. */
void Bck_PoolFinish(BackendPool *pool);

/* Sets the address and the instance of the backend server.  Idle connections
 * are closed when either changes. */
void Bck_SetAddr(BackendPool *pool, Addr addr, Str instance);

/* Sets the function that is called with the load of each answer that carries
 * one. */
void Bck_SetLoadCallback(BackendPool *pool,
                         void (*load)(void *context, Str text, Instant now),
                         void *context);

/* Sets the function that is asked before a request is sent again: whether the
 * backend server would be sent work now.  MAY_STILL_RUN: the request may run
 * there, so that it holds a slot beside the one that it needs. */
void Bck_SetResendCheck(BackendPool *pool,
                        bool (*check)(void *context, bool may_still_run,
                                      Instant now),
                        void *context);

/* Starts an exchange.  Returns NULL if there is no backend server; the request
 * did not run then.  The callbacks are never called before this function
 * returns.  The strings of REQUEST must stay valid until the end of the
 * exchange.  A request over a reused connection that has no answer after
 * resend_after is sent once more, over a new connection, when it was lost
 * with the reused one (silence.h) and the resend check permits.  One that was
 * lost and may not be sent again ends with Bck_INTERRUPTED. */
BackendExchange *Bck_Start(BackendPool *pool, const BackendRequest *request,
                           const BackendCallbacks *callbacks);

/* Ends the exchange and closes its connection.  The callbacks are not called
 * again. */
void Bck_Cancel(BackendExchange *exchange);

/* Stops and resumes reading of the answer, for flow control. */
void Bck_Pause(BackendExchange *exchange);
void Bck_Resume(BackendExchange *exchange);

#endif
