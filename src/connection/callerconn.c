#include "connection/callerconn.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "connection/backlog.h"
#include "connection/callerstate.h"
#include "value/mem.h"

enum {
    BACKLOG = 1024,
    HEAD_BYTES_MAX = 16384,
    BODY_BYTES_MAX = 64 * 1024 * 1024,
    LEFTOVER_BYTES = 4096, /* read at a time when the process exits */
    LEFTOVER_READS_MAX = 64,
    REQUEST_TIMEOUT = 408
};

#define HEAD_TIMEOUT Span_S(3)
#define IDLE_TIMEOUT Span_S(15)

/* Time for the caller to end its side once the last answer was delivered. */
#define CLOSE_WAIT Span_S(2)

/* A request that has been arriving for so long counts as partial. */
#define PARTIAL_TIME Span_MS(200)

/* A caller that takes no byte of an answer for so long is given up. */
#define STALL_TIMEOUT Span_S(30)

Instant
Ccn_Now(const CallerListener *listener)
{
    return listener->clock();
}

void
Ccn_FreeRequest(CallerRequest *request)
{
    Ccn_ReleaseRequest(request);
    StrBuf_Finish(&request->text);
    StrBuf_Finish(&request->id);
    if (request->deferred_output) {
        Ccn_CountOutput(request->connection, 0,
                        evbuffer_get_length(request->deferred_output));
        evbuffer_free(request->deferred_output);
    }
    Mem_Free(request);
}

/* Frees REQUEST, whose answer has not been sent completely. */
static void
drop_request(CallerRequest *request, CallerEnd reason)
{
    CallerListener *listener = request->connection->listener;
    const CallerCallbacks *callbacks = &listener->callbacks;
    uint64_t sent = request->connection->sent_bytes;
    size_t unsent = 0;

    if (request->end_offset) {
        unsent = (size_t)(request->end_offset - sent);
    }
    else if (request->deferred_output) {
        unsent = evbuffer_get_length(request->deferred_output);
    }
    else if (request->head_sent) {
        unsent = evbuffer_get_length(
            bufferevent_get_output(request->connection->bev));
    }
    callbacks->on_cut(callbacks->context, request, reason, unsent);
    if (request->is_dispatched && !request->answer_ended &&
        !request->is_aborted) {
        callbacks->on_disconnect(callbacks->context, request);
    }
    listener->active_requests--;
    Ccn_FreeRequest(request);
}

void
Ccn_DropRequests(CallerConnection *connection, CallerEnd reason)
{
    CallerRequest *request;

    while ((request = connection->first_request)) {
        connection->first_request = request->next;
        connection->request_count--;
        drop_request(request, reason);
    }
    if (connection->incoming) {
        Ccn_FreeRequest(connection->incoming);
        connection->incoming = NULL;
    }
}

static void
drop_unsent(CallerConnection *connection, CallerEnd reason)
{
    CallerRequest *request;

    while ((request = connection->first_unsent)) {
        connection->first_unsent = request->next;
        connection->request_count--;
        drop_request(request, reason);
    }
}

static struct evbuffer *
output_of(const CallerConnection *connection)
{
    return bufferevent_get_output(connection->bev);
}

/* Ends the requests whose answers have been written to the socket. */
static void
end_sent_requests(CallerConnection *connection)
{
    CallerRequest *request;

    while ((request = connection->first_unsent) &&
           request->end_offset <= connection->sent_bytes) {
        connection->first_unsent = request->next;
        connection->request_count--;
        connection->listener->active_requests--;
        connection->timer_start = Ccn_Now(connection->listener);
        connection->has_served = true;
        Ccn_FreeRequest(request);
    }
}

void
Ccn_AddUnsent(CallerConnection *connection, CallerRequest *request)
{
    CallerRequest **at = &connection->first_unsent;

    if (!*at) {
        connection->progress_at = Ccn_Now(connection->listener);
    }
    while (*at) {
        at = &(*at)->next;
    }
    *at = request;
    request->next = NULL;
    request->end_offset =
        connection->sent_bytes + evbuffer_get_length(output_of(connection));
    Ccn_ReleaseBody(request);
    end_sent_requests(connection); /* its last part may have been empty */
}

/* Called when bytes are added to the output, and when they were written to the
 * socket. */
static void
on_output_change(struct evbuffer *out, const struct evbuffer_cb_info *info,
                 void *context)
{
    CallerConnection *connection = context;

    (void)out;
    if (info->n_deleted || info->orig_size == 0) {
        connection->taken_at = connection->listener->checked_at;
    }
    Ccn_CountOutput(connection, info->n_added, info->n_deleted);
    connection->sent_bytes += info->n_deleted;
    end_sent_requests(connection);
}

/* Whether the end of the connection could be taken for the end of an answer
 * that is not complete. */
static bool
must_reset(const CallerConnection *connection)
{
    const CallerRequest *request = connection->first_request;

    if (connection->resets_after_flush || connection->is_given_up ||
        (request && request->head_sent && !request->answer_ended &&
         request->is_unframed)) {
        return true;
    }
    for (request = connection->first_unsent; request;
         request = request->next) {
        if (request->is_unframed) {
            return true;
        }
    }
    return false;
}

/* Makes the close of the connection a TCP reset. */
static void
set_reset(const CallerConnection *connection)
{
    struct linger zero_linger = {1, 0};

    setsockopt(bufferevent_getfd(connection->bev), SOL_SOCKET, SO_LINGER,
               &zero_linger, sizeof zero_linger);
}

/* Reads and discards what has arrived.  Closing with unread input would reset
 * the connection, and destroy what the kernel still has to deliver. */
static void
read_leftovers(const CallerConnection *connection)
{
    char bytes[LEFTOVER_BYTES];

    for (int i = 0; i < LEFTOVER_READS_MAX; i++) {
        if (recv(bufferevent_getfd(connection->bev), bytes, sizeof bytes,
                 MSG_DONTWAIT) <= 0) {
            return;
        }
    }
}

void
Ccn_Free(CallerConnection *connection, CallerEnd reason)
{
    CallerListener *listener = connection->listener;

    if (must_reset(connection)) {
        set_reset(connection);
    }
    else if (reason == Ccn_EXIT) {
        read_leftovers(connection);
    }
    drop_unsent(connection, reason);
    Ccn_DropRequests(connection, reason);
    if (connection->in_reader) {
        connection->free_pending = true;
        return;
    }
    Lst_Drop(&listener->connections, &connection->link);
    evbuffer_remove_cb(output_of(connection), on_output_change, connection);
    Ccn_ReleaseConnection(connection);
    bufferevent_free(connection->bev);
    Hrd_Finish(&connection->reader);
    Mem_Free(connection);
}

/* Bytes of the output that the caller's host has not acknowledged. */
static size_t
count_undelivered(const CallerConnection *connection)
{
    int in_kernel = 0;

    if (ioctl(bufferevent_getfd(connection->bev), SIOCOUTQ, &in_kernel)) {
        in_kernel = 0;
    }
    return evbuffer_get_length(output_of(connection)) + (size_t)in_kernel;
}

/* Discards what has been read of further requests, and what will be. */
static void
discard_input(CallerConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);

    connection->ignores_input = true;
    evbuffer_drain(input, evbuffer_get_length(input));
    if (!connection->in_reader) {
        Ccn_ReleaseInput(connection);
    }
    if (connection->is_input_full) {
        connection->is_input_full = false;
        bufferevent_enable(connection->bev, EV_READ);
    }
}

void
Ccn_EndAfterFlush(CallerConnection *connection)
{
    discard_input(connection);
    connection->closes_after_flush = true;
    connection->undelivered = count_undelivered(connection);
    connection->progress_at = Ccn_Now(connection->listener);
    if (evbuffer_get_length(output_of(connection)) == 0) {
        shutdown(bufferevent_getfd(connection->bev), SHUT_WR);
    }
}

void
Ccn_ResetAfterFlush(CallerConnection *connection)
{
    discard_input(connection);
    connection->resets_after_flush = true;
    connection->undelivered = count_undelivered(connection);
    connection->progress_at = Ccn_Now(connection->listener);
    if (connection->undelivered == 0) {
        Ccn_Free(connection, Ccn_ANSWER_ABORTED);
    }
}

static void
on_read(struct bufferevent *from, void *context)
{
    CallerConnection *connection = context;

    (void)from;
    if (connection->closes_after_flush || connection->resets_after_flush) {
        struct evbuffer *input = bufferevent_get_input(connection->bev);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    Ccn_ProcessInput(connection);
}

/* Called when all output was written to the socket. */
static void
on_written(struct bufferevent *to, void *context)
{
    CallerConnection *connection = context;
    CallerRequest *request = connection->first_request;
    CallerListener *listener = connection->listener;

    if (request && request->unsent_bytes) {
        uint32_t bytes = request->unsent_bytes;
        request->unsent_bytes = 0;
        if (request->is_dispatched && !request->answer_ended) {
            listener->callbacks.on_consumed(listener->callbacks.context,
                                            request, bytes);
        }
    }
    if (connection->closes_after_flush) {
        shutdown(bufferevent_getfd(to), SHUT_WR);
    }
    else {
        Ccn_ProcessInput(connection); /* there is room for further requests */
    }
}

/* Whether a caller that has ended its side may wait for answers: it announced
 * its last request, or bytes are on the way to it.  If it has left, its host
 * replies to these with a reset. */
static bool
may_still_read(const CallerConnection *connection)
{
    return (connection->ignores_input && connection->first_request) ||
           count_undelivered(connection) > 0;
}

/* The caller has ended its side: either it waits for answers, or it has left.
 * That shows when something is sent: the host of a caller that left replies
 * with a reset, which check_timeouts finds.  Until an answer begins, that
 * something is an interim response. */
static void
start_half_close(CallerConnection *connection)
{
    const CallerRequest *request = connection->first_request;

    connection->half_closed = true;
    connection->ignores_input = true;
    if (request && !request->http_1_0 && !request->head_sent) {
        evbuffer_add_printf(bufferevent_get_output(connection->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

static bool
has_socket_error(const CallerConnection *connection)
{
    int error = 0;
    socklen_t size = sizeof error;

    getsockopt(bufferevent_getfd(connection->bev), SOL_SOCKET, SO_ERROR,
               &error, &size);
    return error != 0;
}

static void
on_event(struct bufferevent *from, short what, void *context)
{
    CallerConnection *connection = context;

    (void)from;
    if (what & BEV_EVENT_EOF && may_still_read(connection)) {
        start_half_close(connection);
        return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        Ccn_Free(context, Ccn_CALLER_LEFT);
    }
}

static void
on_accept(struct evconnlistener *evlistener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *context)
{
    CallerListener *listener = context;
    CallerConnection *connection = Mem_Alloc(1, sizeof *connection);
    int on = 1;

    (void)evlistener;
    (void)address;
    (void)len;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connection->listener = listener;
    connection->timer_start = Ccn_Now(listener);
    Ccn_InitReader(connection);
    connection->bev =
        bufferevent_socket_new(listener->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection->bev, on_read, on_written, on_event,
                      connection);
    evbuffer_add_cb(output_of(connection), on_output_change, connection);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    Lst_Prepend(&listener->connections, &connection->link, connection);
    Ccn_HoldConnection(connection);
}

void
Ccn_PauseAccepting(CallerListener *listener)
{
    if (listener->listener && !listener->is_draining) {
        evconnlistener_disable(listener->listener);
        listener->is_paused = true;
    }
}

/* The process has no descriptor left, or the kernel no memory. */
static void
on_accept_error(struct evconnlistener *evlistener, void *context)
{
    CallerListener *listener = context;

    evconnlistener_disable(evlistener);
    listener->is_paused = true;
}

static bool
has_room_to_accept(const CallerListener *listener)
{
    return !listener->connections_max ||
           listener->connections.count < listener->connections_max;
}

static void
accept_again(CallerListener *listener)
{
    if (listener->is_paused && has_room_to_accept(listener)) {
        listener->is_paused = false;
        Ccn_StartAccepting(listener);
    }
}

/* Closes the connections that were given up while they were being sent to. */
static void
on_give_up(evutil_socket_t fd, short what, void *context)
{
    CallerListener *listener = context;
    ListWalk walk;
    CallerConnection *connection;

    (void)fd;
    (void)what;
    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (connection->is_given_up) {
            Ccn_Free(connection, Ccn_NO_ROOM);
        }
    }
}

void
Ccn_SetBudget(CallerListener *listener, MemoryBudget *budget,
              Counters *counters, size_t connections_max)
{
    listener->budget = budget;
    listener->counters = counters;
    listener->connections_max = connections_max;
}

bool
Ccn_Listen(CallerListener *listener, struct event_base *base,
           Instant (*clock)(void), Addr addr, const CallerCallbacks *callbacks,
           Err *err)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(Addr_Port(addr))};
    StrBuf ip = {0};
    bool good;

    *listener = (CallerListener){
        .base = base,
        .clock = clock,
        .callbacks = *callbacks,
        .limits = {HEAD_BYTES_MAX, BODY_BYTES_MAX, HEAD_TIMEOUT, IDLE_TIMEOUT},
    };
    Addr_PrintIp(addr, &ip);
    evutil_inet_pton(AF_INET, StrBuf_CStr(&ip), &name.sin_addr);
    listener->listener = evconnlistener_new_bind(
        base, on_accept, listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE |
            LEV_OPT_DISABLED,
        BACKLOG, (struct sockaddr *)&name, sizeof name);
    good = listener->listener != NULL;
    if (good) {
        evconnlistener_set_error_cb(listener->listener, on_accept_error);
        listener->give_up_event =
            event_new(base, -1, EV_TIMEOUT, on_give_up, listener);
    }
    if (!good) {
        Err_SET(err, Err_IO, "cannot listen for callers on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(addr));
    }
    StrBuf_Finish(&ip);
    return good;
}

void
Ccn_Finish(CallerListener *listener)
{
    CallerConnection *connection;

    Ccn_StopListening(listener);
    while ((connection = Lst_First(&listener->connections))) {
        Ccn_Free(connection, Ccn_EXIT);
    }
    if (listener->give_up_event) {
        event_free(listener->give_up_event);
        listener->give_up_event = NULL;
    }
}

void
Ccn_StartAccepting(CallerListener *listener)
{
    if (listener->listener) {
        evconnlistener_enable(listener->listener);
    }
}

void
Ccn_StartDraining(CallerListener *listener)
{
    listener->is_draining = true;
    if (listener->listener) {
        Bkl_DropNew(evconnlistener_get_fd(listener->listener));
    }
}

/* Accepts the callers that have connected: those that still wait are reset
 * when the socket closes.  The loop need not have looked at the listener since
 * they came: it passes over sockets when many are ready, as after a pause. */
static void
accept_waiting(CallerListener *listener)
{
    int listening = evconnlistener_get_fd(listener->listener);
    int fd;

    while ((fd = accept4(listening, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        on_accept(listener->listener, fd, NULL, 0, listener);
    }
}

void
Ccn_StopListening(CallerListener *listener)
{
    if (listener->listener) {
        if (listener->is_draining) {
            accept_waiting(listener);
        }
        evconnlistener_free(listener->listener);
        listener->listener = NULL;
    }
}

void
Ccn_SetLimits(CallerListener *listener, const CallerLimits *limits)
{
    ListWalk walk;
    CallerConnection *connection;

    listener->limits = *limits;
    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        connection->reader.head_bytes_max = limits->head_bytes_max;
    }
}

static bool
is_idle(const CallerConnection *connection)
{
    return !connection->first_request && !connection->first_unsent &&
           !connection->incoming && !connection->reader.in_message &&
           !connection->closes_after_flush &&
           !connection->resets_after_flush &&
           evbuffer_get_length(bufferevent_get_input(connection->bev)) == 0;
}

/* Whether bytes have arrived that were not read yet. */
static bool
has_arrived(const CallerConnection *connection)
{
    char byte;

    return recv(bufferevent_getfd(connection->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes an idle connection at once: what arrives from now on is not read, and
 * the caller sees that by a reset.  Does nothing yet when a request has
 * arrived or the last answer is on the way, which the reset could overtake. */
static void
close_idle(CallerConnection *connection)
{
    if (count_undelivered(connection)) {
        connection->timer_start = Ccn_Now(connection->listener);
    }
    else if (!has_arrived(connection)) {
        Ccn_Free(connection, Ccn_CALLER_LEFT);
    }
}

void
Ccn_CloseIdle(CallerListener *listener)
{
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (is_idle(connection)) {
            close_idle(connection);
        }
    }
}

/* Whether a part of a request has been read, and the rest is awaited for
 * longer than the parts of one request usually lie apart. */
static bool
has_partial_request(const CallerConnection *connection, Instant now)
{
    return connection->reader.in_message && !connection->ignores_input &&
           now - connection->message_start >= PARTIAL_TIME;
}

size_t
Ccn_CountPartial(CallerListener *listener, Instant now)
{
    ListWalk walk;
    CallerConnection *connection;
    size_t count = 0;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        count += has_partial_request(connection, now);
    }
    return count;
}

void
Ccn_RejectPartial(CallerListener *listener, uint16_t status, Instant now)
{
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (has_partial_request(connection, now)) {
            Ccn_RejectInput(connection, status);
        }
    }
}

size_t
Ccn_CountUnsentBytes(CallerListener *listener)
{
    ListWalk walk;
    CallerConnection *connection;
    size_t bytes = 0;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        bytes += evbuffer_get_length(output_of(connection));
    }
    return bytes;
}

/* Looks how much the caller has taken.  Returns whether it took nothing for
 * too long. */
static bool
has_stalled(CallerConnection *connection, Instant now)
{
    size_t undelivered = count_undelivered(connection);

    if (undelivered != connection->undelivered) {
        connection->undelivered = undelivered;
        connection->progress_at = now;
    }
    return undelivered && now - connection->progress_at >= STALL_TIMEOUT;
}

/* Ends a closing connection once its output has been delivered and the caller
 * had time to end its side. */
static void
check_closing(CallerConnection *connection, Instant now)
{
    bool waits = !connection->half_closed && !connection->resets_after_flush;

    if (connection->undelivered == 0 &&
        now - connection->progress_at >= (waits ? CLOSE_WAIT : 0)) {
        Ccn_Free(connection, Ccn_ANSWER_ABORTED);
    }
}

/* Whether the caller has stopped in the middle of a large body, for which
 * others are rejected. */
static bool
is_stalled_upload(const CallerConnection *connection, Instant now)
{
    const CallerRequest *incoming = connection->incoming;

    return incoming && incoming->held > Bdg_SMALL_BYTES &&
           !connection->first_request &&
           now - incoming->received_at >=
               connection->listener->limits.idle_timeout;
}

/* Whether all of an answer waits for the caller, or the connection closes. */
static bool
has_output(const CallerConnection *connection)
{
    return connection->first_unsent || connection->closes_after_flush ||
           connection->resets_after_flush;
}

static void
check_timeouts(CallerConnection *connection, Instant now)
{
    const CallerLimits *limits = &connection->listener->limits;
    Span age = now - connection->timer_start;

    if (connection->half_closed && has_socket_error(connection)) {
        Ccn_Free(connection, Ccn_CALLER_LEFT);
    }
    else if (has_output(connection) && has_stalled(connection, now)) {
        Ccn_Free(connection, Ccn_CALLER_STALLED);
    }
    else if (connection->closes_after_flush ||
             connection->resets_after_flush) {
        check_closing(connection, now);
    }
    else if (connection->half_closed && !connection->first_request) {
        Ccn_EndAfterFlush(connection);
    }
    else if (connection->in_head && connection->reader.in_message) {
        if (age >= limits->head_timeout && !connection->first_request) {
            Ccn_RejectInput(connection, REQUEST_TIMEOUT);
        }
    }
    else if (is_stalled_upload(connection, now)) {
        Ccn_RejectInput(connection, REQUEST_TIMEOUT);
    }
    else if (is_idle(connection) && age >= limits->idle_timeout) {
        close_idle(connection);
    }
}

void
Ccn_CheckTimeouts(CallerListener *listener, Instant now)
{
    ListWalk walk;
    CallerConnection *connection;

    listener->checked_at = now;
    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        check_timeouts(connection, now);
    }
    accept_again(listener);
}
