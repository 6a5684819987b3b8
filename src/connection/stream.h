/* Cst: a caller's connection, HTTP/1.1, with requests sent behind one another.
 *
 * Each request is handed over as soon as it was read whole, while earlier
 * ones still run; answers go out in the order of the requests.  One that may
 * not run twice is handed over only when it is the first: what was sent behind
 * an answer that ends the connection counts as not read.  A caller's hanging
 * up is noticed at any time.
 */
#ifndef STREAM_H
#define STREAM_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "connection/httpread.h"
#include "value/addr.h"
#include "value/err.h"
#include "value/instant.h"

typedef struct Cst Cst;
typedef struct CstRequest CstRequest;
typedef struct CstList CstList;

/* One request and its answer.  Strings stay valid until its end. */
struct CstRequest {
    Cst *stream;
    CstRequest *next;
    StrBuf text;
    Str method;
    Str target;
    FieldList fields;
    StrBuf body;
    bool last; /* the caller sends no other */
    bool http_1_0;
    bool handed; /* to the front */
    bool headed; /* the answer's head was given */
    bool chunked;
    bool bodiless;
    bool ended;
    bool closes;          /* its answer ends the connection */
    uint32_t given;       /* bytes of the answer's body, not taken yet */
    struct evbuffer *out; /* of the answer, while others are first */
    void *owner;          /* the front's own */
    Instant at;           /* when it was read */
};

/* What a front does with requests. */
typedef struct {
    void *context;
    /* Whether a request may be handed over behind others. */
    bool (*repeatable)(void *context, const CstRequest *request);
    void (*request)(void *context, CstRequest *request, Instant now);
    /* The caller took so many bytes of the answer's body. */
    void (*taken)(void *context, CstRequest *request, uint32_t bytes);
    /* The caller is gone, and the request after this. */
    void (*gone)(void *context, CstRequest *request);
    /* A request is refused with STATUS while it is read: fields to add. */
    void (*refuse)(void *context, uint16_t status, FieldList *fields);
} CstFront;

typedef struct {
    size_t head_bytes_max;
    size_t body_bytes_max;
    Span head_wait; /* from a request's first byte to the end of its head */
    Span idle_wait; /* without a request */
} CstLimits;

struct CstList {
    struct event_base *base;
    Instant (*clock)(void);
    struct evconnlistener *listener; /* NULL: no longer listening */
    CstFront front;
    CstLimits limits;
    Cst *first;
    size_t count;
    size_t busy;  /* requests handed over or waiting, not answered yet */
    bool closing; /* the next answer of each connection is its last */
};

/* Listen at ADDR; connections are accepted from Cst_Open on. */
bool Cst_Listen(CstList *list, struct event_base *base, Instant (*clock)(void),
                Addr addr, const CstFront *front, Err *err);
void Cst_Finish(CstList *list);
void Cst_Open(CstList *list);
void Cst_StopListening(CstList *list);
void Cst_SetLimits(CstList *list, const CstLimits *limits);

/* End connections that carry no request, once their answers went out. */
void Cst_CloseIdle(CstList *list);

/* Times that ran out. */
void Cst_Tick(CstList *list, Instant now);

/* The answer: its head, bytes of its body, its end.  REQUEST is gone after
 * Cst_End and Cst_Cut. */
void Cst_SendHead(CstRequest *request, uint16_t status,
                  const FieldList *fields);
void Cst_SendBytes(CstRequest *request, Str bytes);
void Cst_End(CstRequest *request);

/* Others that came behind it wait for its answer. */
bool Cst_Blocks(const CstRequest *request);

/* The answer stops here, and its caller must see that it is not whole. */
void Cst_Cut(CstRequest *request);

/* A whole answer of our own. */
void Cst_Answer(CstRequest *request, uint16_t status, const FieldList *fields,
                Str body);

#endif
