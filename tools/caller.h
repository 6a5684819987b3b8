/* Clr: the client connections of an evhttp server.
 *
 * evhttp owns the connections.  This list adds what evhttp does not report: a
 * client that hangs up while its request is being served, even before any
 * byte of an answer was sent.  A connection carries one request at a time.
 */
#ifndef CALLER_H
#define CALLER_H

#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct Caller Caller;
typedef struct CallerList CallerList;

/* Called when the client of a watched request hangs up.  The connection and
 * its request are freed after the callback has returned. */
typedef void (*ClrHangup)(void *context);

/* A client connection.  It lives until evhttp closes the connection. */
struct Caller {
    CallerList *list;
    Caller *next;
    Caller *previous;
    struct evhttp_connection *http;
    struct evhttp_request *request; /* NULL between two requests */
    struct event *hangup_event;     /* NULL: hang-up is not watched for */
    ClrHangup notify;               /* NULL: no callback is set */
    void *context;                  /* of notify */
};

struct CallerList {
    struct event_base *base;
    Caller *first;
    size_t count;      /* of connections */
    size_t busy_count; /* connections with a request or an unfinished answer */
};

/* BASE must outlive LIST. */
void Clr_Init(CallerList *list, struct event_base *base);

/* Removes every connection from LIST.  evhttp still closes them. */
void Clr_Finish(CallerList *list);

/* Records that REQUEST has arrived and returns its connection, which counts
 * as busy until the whole answer was sent. */
Caller *Clr_OnRequest(CallerList *list, struct evhttp_request *request);

/* Calls NOTIFY once if the client hangs up before Clr_Unwatch or the end of
 * the answer.  With HTTP/1.0 or "Connection: close" the hang-up is only
 * noticed when evhttp closes the connection, as such a client may close its
 * sending side and still read the answer. */
void Clr_Watch(Caller *caller, ClrHangup notify, void *context);
void Clr_Unwatch(Caller *caller);

/* Resets the connection, so that the client sees a failure and not the end
 * of an answer.  Frees CALLER. */
void Clr_Abort(Caller *caller);

/* Closes the connections that carry no request and hold no unread bytes. */
void Clr_CloseIdle(CallerList *list);

#endif
