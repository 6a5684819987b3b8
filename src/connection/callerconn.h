/* Cst: a caller's connection, HTTP/1.1, with requests sent behind one another.
 *
 * Each request is handed over as soon as it was read whole, while earlier
 * ones still run; answers go out in the order of the requests.  One that may
 * not run twice is handed over only when it is the first: what was sent behind
 * an answer that ends the connection counts as not read.  A caller's hanging
 * up is noticed at any time.
 */
#ifndef CALLERCONN_H
#define CALLERCONN_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "connection/httpread.h"
#include "value/addr.h"
#include "value/err.h"
#include "value/instant.h"

typedef struct CallerConnection CallerConnection;
typedef struct CallerRequest CallerRequest;
typedef struct CallerListener CallerListener;

/* One request and its answer.  Strings stay valid until its end. */
struct CallerRequest {
    CallerConnection *connection;
    CallerRequest *next;
    StrBuf text;
    Str method;
    Str target;
    FieldList fields;
    StrBuf body;
    bool is_last; /* the caller sends no other */
    bool http_1_0;
    bool is_dispatched; /* to the front */
    bool head_sent;     /* the answer's head was given */
    bool chunked;
    bool has_no_body;
    bool answer_ended;
    bool closes_connection; /* its answer ends the connection */
    uint32_t unsent_bytes;  /* bytes of the answer's body, not taken yet */
    struct evbuffer
        *deferred_output; /* of the answer, while others are first */
    void *user_data;      /* the front's own */
    Instant received_at;  /* when it was read */
};

/* What a front does with requests. */
typedef struct {
    void *context;
    /* Whether a request may be handed over behind others. */
    bool (*can_run_early)(void *context, const CallerRequest *request);
    void (*on_request)(void *context, CallerRequest *request, Instant now);
    /* The caller took so many bytes of the answer's body. */
    void (*on_consumed)(void *context, CallerRequest *request, uint32_t bytes);
    /* The caller is gone, and the request after this. */
    void (*on_disconnect)(void *context, CallerRequest *request);
    /* A request is refused with STATUS while it is read: fields to add. */
    void (*add_error_fields)(void *context, uint16_t status,
                             FieldList *fields);
} CallerCallbacks;

typedef struct {
    size_t head_bytes_max;
    size_t body_bytes_max;
    Span head_timeout; /* from a request's first byte to the end of its head */
    Span idle_timeout; /* without a request */
} CallerLimits;

struct CallerListener {
    struct event_base *base;
    Instant (*clock)(void);
    struct evconnlistener *listener; /* NULL: no longer listening */
    CallerCallbacks callbacks;
    CallerLimits limits;
    CallerConnection *first_connection;
    size_t connection_count;
    size_t active_requests; /* requests handed over or waiting, not answered
                               yet */
    bool is_draining; /* the next answer of each connection is its last */
};

/* Listen at ADDR; connections are accepted from Ccn_StartAccepting on. */
bool Ccn_Listen(CallerListener *list, struct event_base *base,
                Instant (*clock)(void), Addr addr,
                const CallerCallbacks *front, Err *err);
void Ccn_Finish(CallerListener *list);
void Ccn_StartAccepting(CallerListener *list);
void Ccn_StopListening(CallerListener *list);
void Ccn_SetLimits(CallerListener *list, const CallerLimits *limits);

/* End connections that carry no request, once their answers went out. */
void Ccn_CloseIdle(CallerListener *list);

/* Times that ran out. */
void Ccn_CheckTimeouts(CallerListener *list, Instant now);

/* The answer: its head, bytes of its body, its end.  REQUEST is gone after
 * Ccn_EndAnswer and Ccn_Abort. */
void Ccn_SendHead(CallerRequest *request, uint16_t status,
                  const FieldList *fields);
void Ccn_SendBody(CallerRequest *request, Str bytes);
void Ccn_EndAnswer(CallerRequest *request);

/* Others that came behind it wait for its answer. */
bool Ccn_HasPipelined(const CallerRequest *request);

/* The answer stops here, and its caller must see that it is not whole. */
void Ccn_Abort(CallerRequest *request);

/* A whole answer of our own. */
void Ccn_SendAnswer(CallerRequest *request, uint16_t status,
                    const FieldList *fields, Str body);

#endif
