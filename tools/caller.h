/* Clr: the callers' connections, which evhttp keeps and this list knows.
 *
 * A connection carries one request at a time.  While it does, its caller's
 * hanging up is noticed, also before anything was sent to it.
 */
#ifndef CALLER_H
#define CALLER_H

#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct Caller Caller;
typedef struct CallerList CallerList;

/* The caller of the request is gone; so is the request afterwards. */
typedef void (*ClrHangup)(void *context);

struct Caller {
    CallerList *list;
    Caller *next;
    Caller *previous;
    struct evhttp_connection *http;
    struct evhttp_request *request; /* NULL between two */
    struct event *hangup_event;     /* NULL: not watched */
    ClrHangup notify;
    void *context;
};

struct CallerList {
    struct event_base *base;
    Caller *first;
    size_t count;
    size_t busy_count; /* with a request, or an answer not sent to its end */
};

void Clr_Init(CallerList *list, struct event_base *base);

/* Forget every connection; evhttp still closes them. */
void Clr_Finish(CallerList *list);

/* REQUEST came in: the connection is busy until its answer was sent. */
Caller *Clr_OnRequest(CallerList *list, struct evhttp_request *request);

/* Tell GONE when the caller hangs up. */
void Clr_Watch(Caller *caller, ClrHangup notify, void *context);
void Clr_Unwatch(Caller *caller);

/* End the connection so that its caller sees a failure, not an end. */
void Clr_Abort(Caller *caller);

/* Close the connections that carry no request. */
void Clr_CloseIdle(CallerList *list);

#endif
