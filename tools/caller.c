#include "caller.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http_struct.h>
#include <sys/socket.h>

#include "value/mem.h"
#include "value/str.h"

void
Clr_Init(CallerList *list, struct event_base *base)
{
    *list = (CallerList){.base = base};
}

static int
get_descriptor(const Caller *caller)
{
    return bufferevent_getfd(evhttp_connection_get_bufferevent(caller->http));
}

static void
free_caller(Caller *caller)
{
    CallerList *list = caller->list;

    Clr_Unwatch(caller);
    if (caller->request) {
        list->busy_count--;
    }
    if (caller->previous) {
        caller->previous->next = caller->next;
    }
    else {
        list->first = caller->next;
    }
    if (caller->next) {
        caller->next->previous = caller->previous;
    }
    list->count--;
    Mem_Free(caller);
}

void
Clr_Finish(CallerList *list)
{
    while (list->first) {
        evhttp_connection_set_closecb(list->first->http, NULL, NULL);
        free_caller(list->first);
    }
}

static void
notify_hangup(Caller *caller)
{
    ClrHangup notify = caller->notify;

    Clr_Unwatch(caller);
    if (notify) {
        notify(caller->context);
    }
}

/* Called by evhttp just before it frees the connection. */
static void
on_closed(struct evhttp_connection *connection, void *context)
{
    Caller *caller = context;
    struct evhttp_request *request = caller->request;

    (void)connection;
    notify_hangup(caller);
    /* evhttp frees a request without a connection only when its reply is
     * ended. */
    if (request && !evhttp_request_get_connection(request)) {
        evhttp_send_reply_end(request);
    }
    free_caller(caller);
}

static void
on_hangup(evutil_socket_t fd, short what, void *context)
{
    Caller *caller = context;

    (void)fd;
    (void)what;
    notify_hangup(caller);
    evhttp_connection_free(caller->http);
}

static Caller *
find_caller(const CallerList *list, struct evhttp_connection *http)
{
    for (Caller *caller = list->first; caller; caller = caller->next) {
        if (caller->http == http) {
            return caller;
        }
    }
    return NULL;
}

static Caller *
add_caller(CallerList *list, struct evhttp_connection *http)
{
    Caller *caller = Mem_Alloc(1, sizeof *caller);

    caller->list = list;
    caller->http = http;
    caller->next = list->first;
    if (list->first) {
        list->first->previous = caller;
    }
    list->first = caller;
    list->count++;
    evhttp_connection_set_closecb(http, on_closed, caller);
    return caller;
}

static void
on_answer_sent(struct evhttp_request *request, void *context)
{
    Caller *caller = context;

    (void)request;
    Clr_Unwatch(caller);
    caller->request = NULL;
    caller->list->busy_count--;
}

Caller *
Clr_OnRequest(CallerList *list, struct evhttp_request *request)
{
    struct evhttp_connection *http = evhttp_request_get_connection(request);
    Caller *caller = find_caller(list, http);

    if (!caller) {
        caller = add_caller(list, http);
    }
    caller->request = request;
    list->busy_count++;
    evhttp_request_set_on_complete_cb(request, on_answer_sent, caller);
    return caller;
}

/* A client that announced its last request may close its sending side and
 * still read the answer. */
static bool
may_half_close(const struct evhttp_request *request)
{
    const char *value =
        evhttp_find_header(request->input_headers, "Connection");

    return request->minor == 0 ||
           Str_EqualNoCase(Str_FromC(value), Str_LIT("close"));
}

void
Clr_Watch(Caller *caller, ClrHangup notify, void *context)
{
    caller->notify = notify;
    caller->context = context;
    if (!may_half_close(caller->request)) {
        caller->hangup_event =
            event_new(caller->list->base, get_descriptor(caller), EV_CLOSED,
                      on_hangup, caller);
        event_add(caller->hangup_event, NULL);
    }
}

void
Clr_Unwatch(Caller *caller)
{
    if (caller->hangup_event) {
        event_free(caller->hangup_event);
        caller->hangup_event = NULL;
    }
    caller->notify = NULL;
}

void
Clr_Abort(Caller *caller)
{
    struct sockaddr unspecified = {.sa_family = AF_UNSPEC};

    /* Connecting to an unspecified address resets the connection.  An
     * orderly close would look like the end of a whole answer if the answer
     * has no length. */
    if (connect(get_descriptor(caller), &unspecified, sizeof unspecified)) {
        shutdown(get_descriptor(caller), SHUT_RDWR);
    }
    evhttp_connection_free(caller->http);
}

/* Returns whether bytes of a next request have arrived that evhttp has not
 * read. */
static bool
has_input(const Caller *caller)
{
    char byte;

    return recv(get_descriptor(caller), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
Clr_CloseIdle(CallerList *list)
{
    Caller *next;

    for (Caller *caller = list->first; caller; caller = next) {
        next = caller->next;
        if (!caller->request && !has_input(caller)) {
            evhttp_connection_free(caller->http);
        }
    }
}
