/* Stb: a backend server in the test's own loop.  It answers each request with
 * the bytes that the test gives, and runs one exchange of a pool at a time.
 */
#ifndef STUB_SERVER_H
#define STUB_SERVER_H

#include "connection/backend.h"

enum { Stb_CONNECTIONS_MAX = 2048 };

#define Stb_TIME_LEFT Span_S(2)

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    BackendPool pool;
    Str script; /* written when the next request arrives */
    Str copy;   /* written before it, on a connection that was used before */
    bool was_used[Stb_CONNECTIONS_MAX];
    struct bufferevent *connections[Stb_CONNECTIONS_MAX];
    int accepted_count;
    int served_by; /* number of the connection of the last request, from 1 */
    /* the last exchange */
    bool has_ended;
    BackendResult result;
    uint16_t status; /* 0: on_head was not called */
    StrBuf body;
    StrBuf fields; /* "NAME: VALUE\n" each */
} StubServer;

/* Listens on a free port of loopback; the pool has the names NAMES. */
void Stb_Init(StubServer *stub, const BackendHeaderNames *names);
void Stb_Finish(StubServer *stub);

/* Sends a request with the id ID and runs until its exchange has ended.  The
 * answer is SCRIPT.  ID NULL: a request of the node itself.  Returns how long
 * it took; the request is late after Stb_TIME_LEFT. */
Span Stb_Exchange(StubServer *stub, const char *method, const char *id,
                  Str script);

#endif
