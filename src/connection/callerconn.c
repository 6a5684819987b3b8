#include "connection/callerconn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "value/mem.h"

enum {
    PIPELINED_MAX = 16, /* requests of one connection read and not answered */
    BACKLOG = 1024,
    HEAD_BYTES_MAX = 16384,
    BODY_BYTES_MAX = 64 * 1024 * 1024,
    NO_CONTENT = 204,
    NOT_MODIFIED = 304,
    BAD_REQUEST = 400,
    REQUEST_TIMEOUT = 408,
    BODY_TOO_LARGE = 413,
    EXPECTATION_FAILED = 417,
    HEAD_TOO_LARGE = 431,
    NOT_IMPLEMENTED = 501,
    METHOD_BYTES_MAX = 32
};

#define HEAD_TIMEOUT Span_S(3)
#define IDLE_TIMEOUT Span_S(15)

/* Time for the caller to read the last answer before the connection is
 * closed. */
#define CLOSE_WAIT Span_S(2)

struct CallerConnection {
    CallerListener *listener;
    ListLink link;
    struct bufferevent *bev;
    HttpReader reader;
    CallerRequest *incoming; /* its body is being read; not in the list yet */
    CallerRequest *first_request; /* not answered yet, oldest first */
    size_t request_count;
    Instant timer_start; /* first byte of a head, or end of the last answer */
    bool in_head;
    bool ignores_input;      /* no further request is read: the connection is
                                closing */
    bool starts_with_word;   /* the input begins like a method */
    bool half_closed;        /* the caller ended its side after its last
                                request; it may have left */
    uint16_t error_status;   /* of the last input; sent after all earlier
                                answers; 0: none */
    bool closes_after_flush; /* closes when all output was sent */
    bool in_reader;    /* a callback of the reader is on the call stack */
    bool free_pending; /* to be freed after the callback has returned */
};

static Instant
now_of(const CallerListener *listener)
{
    return listener->clock();
}

static void
free_request(CallerRequest *request)
{
    StrBuf_Finish(&request->text);
    StrBuf_Finish(&request->body);
    if (request->deferred_output) {
        evbuffer_free(request->deferred_output);
    }
    Mem_Free(request);
}

static void
drop_requests(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    CallerRequest *request;

    while ((request = connection->first_request)) {
        connection->first_request = request->next;
        listener->active_requests -= !request->answer_ended;
        if (request->is_dispatched && !request->answer_ended) {
            listener->callbacks.on_disconnect(listener->callbacks.context,
                                              request);
        }
        free_request(request);
    }
    connection->request_count = 0;
    if (connection->incoming) {
        free_request(connection->incoming);
        connection->incoming = NULL;
    }
}

static void
free_connection(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;

    drop_requests(connection);
    if (connection->in_reader) {
        connection->free_pending = true;
        return;
    }
    Lst_Drop(&listener->connections, &connection->link);
    bufferevent_free(connection->bev);
    Hrd_Finish(&connection->reader);
    Mem_Free(connection);
}

/* Closes the connection with a TCP reset, so that the caller sees a
 * failure. */
static void
reset_connection(CallerConnection *connection)
{
    struct linger zero_linger = {1, 0};

    setsockopt(bufferevent_getfd(connection->bev), SOL_SOCKET, SO_LINGER,
               &zero_linger, sizeof zero_linger);
    free_connection(connection);
}

/* Closes the connection after its output was sent.  Further input is read and
 * discarded, because closing with unread input could destroy the last
 * answer. */
static void
end_after_flush(CallerConnection *connection)
{
    connection->ignores_input = true;
    connection->closes_after_flush = true;
    connection->timer_start = now_of(connection->listener);
    if (evbuffer_get_length(bufferevent_get_output(connection->bev)) == 0) {
        shutdown(bufferevent_getfd(connection->bev), SHUT_WR);
    }
}

static struct evbuffer *
output_of(CallerRequest *request)
{
    if (request == request->connection->first_request) {
        return bufferevent_get_output(request->connection->bev);
    }
    if (!request->deferred_output) {
        request->deferred_output = evbuffer_new();
    }
    return request->deferred_output;
}

static Str
reason_of(uint16_t status)
{
    return Str_FromC(http_status_str((enum http_status)status));
}

static bool
is_framing(Str name)
{
    return Str_EqualNoCase(name, Str_LIT("Connection")) ||
           Str_EqualNoCase(name, Str_LIT("Transfer-Encoding"));
}

static void
put_fields(struct evbuffer *out, const FieldList *fields)
{
    for (size_t i = 0; i < fields->count; i++) {
        const Field *field = &fields->items[i];
        if (!is_framing(field->name)) {
            evbuffer_add_printf(out, "%.*s: %.*s\r\n", Str_ARG(field->name),
                                Str_ARG(field->value));
        }
    }
}

void
Ccn_SendHead(CallerRequest *request, uint16_t status, const FieldList *fields)
{
    CallerConnection *connection = request->connection;
    struct evbuffer *out = output_of(request);
    Str reason = reason_of(status);
    bool has_length = Field_Get(fields, Str_LIT("Content-Length")).len > 0;

    request->head_sent = true;
    request->has_length = has_length;
    request->has_no_body = Str_Equal(request->method, Str_LIT("HEAD")) ||
                           status == NO_CONTENT || status == NOT_MODIFIED;
    request->chunked =
        !has_length && !request->has_no_body && !request->http_1_0;
    /* While draining, close only if no later request was sent: the close
     * must not lose it. */
    request->closes_connection =
        request->is_last ||
        (!has_length && !request->chunked && !request->has_no_body) ||
        (connection->listener->is_draining && !request->next &&
         !connection->incoming);
    evbuffer_add_printf(out, "HTTP/1.%c %u %.*s\r\n",
                        request->http_1_0 ? '0' : '1', status,
                        Str_ARG(reason));
    put_fields(out, fields);
    if (request->chunked) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    if (request->closes_connection) {
        connection->ignores_input = true;
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

void
Ccn_SendBody(CallerRequest *request, Str bytes)
{
    struct evbuffer *out = output_of(request);

    if (bytes.len == 0 || request->has_no_body) {
        return;
    }
    request->unsent_bytes += (uint32_t)bytes.len;
    if (request->chunked) {
        evbuffer_add_printf(out, "%zx\r\n", bytes.len);
    }
    evbuffer_add(out, bytes.ptr, bytes.len);
    if (request->chunked) {
        evbuffer_add(out, "\r\n", 2);
    }
}

static void process_input(CallerConnection *connection);

static void
dispatch_request(CallerConnection *connection, CallerRequest *request)
{
    CallerListener *listener = connection->listener;

    request->is_dispatched = true;
    listener->callbacks.on_request(listener->callbacks.context, request,
                                   now_of(listener));
}

/* Answers the last input with an error and closes the connection. */
static void
send_error(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    struct evbuffer *out = bufferevent_get_output(connection->bev);
    Str reason = reason_of(connection->error_status);
    FieldList fields = {.count = 0};

    listener->callbacks.add_error_fields(listener->callbacks.context,
                                         connection->error_status, &fields);
    evbuffer_add_printf(out, "HTTP/1.1 %u %.*s\r\n", connection->error_status,
                        Str_ARG(reason));
    put_fields(out, &fields);
    evbuffer_add_printf(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    end_after_flush(connection);
}

/* Rejects the current input.  The error is sent after all earlier answers. */
static void
reject_input(CallerConnection *connection, uint16_t status)
{
    connection->error_status = status;
    connection->ignores_input = true;
    if (!connection->first_request) {
        send_error(connection);
    }
}

/* Removes the oldest request after its answer ended. */
static void
remove_first_request(CallerConnection *connection)
{
    CallerRequest *request = connection->first_request;
    bool closes = request->closes_connection;

    connection->first_request = request->next;
    connection->request_count--;
    connection->timer_start = now_of(connection->listener);
    free_request(request);
    if (closes) {
        drop_requests(connection); /* later requests count as not read */
        end_after_flush(connection);
    }
    else if (!connection->first_request && connection->error_status) {
        send_error(connection);
    }
}

/* Writes deferred answers in order, then dispatches the oldest request if it
 * was waiting. */
static void
advance_pipeline(CallerConnection *connection)
{
    while (connection->first_request) {
        CallerRequest *request = connection->first_request;
        if (request->deferred_output) {
            evbuffer_add_buffer(bufferevent_get_output(connection->bev),
                                request->deferred_output);
        }
        if (!request->answer_ended) {
            break;
        }
        remove_first_request(connection);
    }
    if (connection->first_request &&
        !connection->first_request->is_dispatched) {
        dispatch_request(connection, connection->first_request);
        return;
    }
    if (!connection->in_reader) {
        process_input(connection);
    }
}

void
Ccn_EndAnswer(CallerRequest *request)
{
    CallerConnection *connection = request->connection;

    if (request->chunked) {
        evbuffer_add(output_of(request), "0\r\n\r\n", 5);
    }
    request->answer_ended = true;
    connection->listener->active_requests--;
    if (request == connection->first_request) {
        bool was_in_reader = connection->in_reader;
        connection->in_reader = true;
        remove_first_request(connection);
        advance_pipeline(connection);
        connection->in_reader = was_in_reader;
        if (!was_in_reader) {
            process_input(connection);
        }
    }
}

bool
Ccn_HasPipelined(const CallerRequest *request)
{
    return request->next != NULL;
}

bool
Ccn_Retract(CallerRequest *request)
{
    if (request == request->connection->first_request) {
        return false;
    }
    if (request->deferred_output) {
        evbuffer_drain(request->deferred_output,
                       evbuffer_get_length(request->deferred_output));
    }
    request->head_sent = false;
    request->chunked = false;
    request->unsent_bytes = 0;
    /* No further input is read since the answer was to close the
     * connection. */
    request->is_last |= request->closes_connection;
    request->closes_connection = false;
    return true;
}

void
Ccn_Abort(CallerRequest *request)
{
    CallerConnection *connection = request->connection;
    bool shows_end = request->chunked || request->has_length;

    request->answer_ended = true;
    connection->listener->active_requests--;
    if (shows_end) {
        drop_requests(connection);
        end_after_flush(connection);
    }
    else {
        reset_connection(connection);
    }
}

void
Ccn_SendAnswer(CallerRequest *request, uint16_t status,
               const FieldList *fields, Str body)
{
    FieldList all = *fields;
    StrBuf length = {0};

    StrBuf_AppendFmt(&length, "%zu", body.len);
    Field_Add(&all, Str_LIT("Content-Length"), StrBuf_View(&length));
    Ccn_SendHead(request, status, &all);
    Ccn_SendBody(request, body);
    StrBuf_Finish(&length);
    Ccn_EndAnswer(request);
}

/* Returns false if the Expect field holds an unsupported expectation. */
static bool
check_expectation(CallerConnection *connection, const CallerRequest *request)
{
    Str expected = Field_Get(&request->fields, Str_LIT("Expect"));

    if (expected.len == 0) {
        return true;
    }
    if (!Str_EqualNoCase(expected, Str_LIT("100-continue"))) {
        connection->error_status = EXPECTATION_FAILED;
        return false;
    }
    if (!connection->first_request) {
        evbuffer_add_printf(bufferevent_get_output(connection->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

static bool
on_head(void *context, const HttpHead *head)
{
    CallerConnection *connection = context;
    CallerRequest *request = Mem_Alloc(1, sizeof *request);
    size_t offset = 0;
    Str whole;

    request->connection = connection;
    request->is_last = !head->keep_alive;
    request->http_1_0 = head->http_1_0;
    StrBuf_Append(&request->text, head->method);
    StrBuf_Append(&request->text, head->target);
    for (size_t i = 0; i < head->fields.count; i++) {
        StrBuf_Append(&request->text, head->fields.items[i].name);
        StrBuf_Append(&request->text, head->fields.items[i].value);
    }
    whole = StrBuf_View(&request->text);
    request->method = Str_Slice(whole, 0, head->method.len);
    offset = head->method.len;
    request->target = Str_Slice(whole, offset, head->target.len);
    offset += head->target.len;
    for (size_t i = 0; i < head->fields.count; i++) {
        const Field *from = &head->fields.items[i];
        Str name = Str_Slice(whole, offset, from->name.len);
        Str value = Str_Slice(whole, offset + from->name.len, from->value.len);
        offset += from->name.len + from->value.len;
        Field_Add(&request->fields, name, value);
    }
    connection->incoming = request;
    connection->in_head = false;
    return check_expectation(connection, request);
}

static bool
on_bytes(void *context, Str bytes)
{
    CallerConnection *connection = context;
    StrBuf *body = &connection->incoming->body;

    if (body->len + bytes.len > connection->listener->limits.body_bytes_max) {
        return false;
    }
    StrBuf_Append(body, bytes);
    return true;
}

static void
add_request(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    CallerRequest *request = connection->incoming;
    CallerRequest **at = &connection->first_request;

    connection->incoming = NULL;
    connection->ignores_input |= request->is_last;
    request->received_at = now_of(listener);
    while (*at) {
        at = &(*at)->next;
    }
    *at = request;
    connection->request_count++;
    listener->active_requests++;
    if (request == connection->first_request ||
        listener->callbacks.can_run_early(listener->callbacks.context,
                                          request)) {
        dispatch_request(connection, request);
    }
}

/* Returns the status for the reason why the reader stopped. */
static uint16_t
find_error_status(const CallerConnection *connection)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&connection->reader.parser);

    if (connection->error_status) {
        return connection->error_status;
    }
    if (connection->reader.head_too_long) {
        return HEAD_TOO_LARGE;
    }
    if (error == HPE_INVALID_METHOD && connection->starts_with_word) {
        return NOT_IMPLEMENTED;
    }
    return connection->incoming && error == HPE_CB_body ? BODY_TOO_LARGE
                                                        : BAD_REQUEST;
}

/* Returns whether INPUT begins with capital letters and a space. */
static bool
begins_with_word(struct evbuffer *input)
{
    char bytes[METHOD_BYTES_MAX];
    ev_ssize_t len = evbuffer_copyout(input, bytes, sizeof bytes);
    ev_ssize_t at = 0;

    while (at < len && bytes[at] >= 'A' && bytes[at] <= 'Z') {
        at++;
    }
    return at > 0 && at < len && bytes[at] == ' ';
}

static void
read_messages(CallerConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);

    while (!connection->free_pending && !connection->ignores_input &&
           connection->request_count < PIPELINED_MAX &&
           evbuffer_get_length(input) > 0) {
        if (!connection->reader.in_message) {
            connection->in_head = true;
            connection->starts_with_word = begins_with_word(input);
            connection->timer_start = now_of(connection->listener);
        }
        switch (Hrd_Feed(&connection->reader, input)) {
        case Hrd_NEEDS_MORE:
            break;
        case Hrd_MESSAGE_END:
            if (connection->incoming) {
                add_request(connection);
            }
            break;
        case Hrd_ERROR:
            reject_input(connection, find_error_status(connection));
            break;
        }
    }
    if (!connection->free_pending && connection->ignores_input &&
        !connection->first_request) {
        evbuffer_drain(input, evbuffer_get_length(input));
    }
}

static void
process_input(CallerConnection *connection)
{
    if (connection->in_reader) {
        return;
    }
    connection->in_reader = true;
    read_messages(connection);
    connection->in_reader = false;
    if (connection->free_pending) {
        free_connection(connection);
    }
}

static void
on_read(struct bufferevent *from, void *context)
{
    CallerConnection *connection = context;

    (void)from;
    if (connection->closes_after_flush) {
        struct evbuffer *input = bufferevent_get_input(connection->bev);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    process_input(connection);
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
    else if (connection->closes_after_flush) {
        shutdown(bufferevent_getfd(to), SHUT_WR);
    }
}

/* The caller had announced its last request and has now ended its side: either
 * it waits for the answer, or it has left.  That shows when something is sent:
 * the host of a caller that left replies with a reset, which check_timeouts
 * finds.  Until the answer begins, that something is an interim response. */
static void
start_half_close(CallerConnection *connection)
{
    const CallerRequest *request = connection->first_request;

    connection->half_closed = true;
    if (!request->http_1_0 && !request->head_sent) {
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
    if (what & BEV_EVENT_EOF && connection->ignores_input &&
        connection->first_request) {
        start_half_close(connection);
        return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        free_connection(context);
    }
}

static void
on_accept(struct evconnlistener *evlistener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *context)
{
    CallerListener *listener = context;
    CallerConnection *connection = Mem_Alloc(1, sizeof *connection);
    HttpReaderCallbacks reader_callbacks = {connection, on_head, on_bytes};
    int on = 1;

    (void)evlistener;
    (void)address;
    (void)len;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connection->listener = listener;
    connection->timer_start = now_of(listener);
    Hrd_Init(&connection->reader, Hrd_REQUESTS, &reader_callbacks,
             listener->limits.head_bytes_max);
    connection->bev =
        bufferevent_socket_new(listener->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection->bev, on_read, on_written, on_event,
                      connection);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    Lst_Prepend(&listener->connections, &connection->link, connection);
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
        free_connection(connection);
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
Ccn_StopListening(CallerListener *listener)
{
    if (listener->listener) {
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
    return !connection->first_request && !connection->incoming &&
           !connection->reader.in_message && !connection->closes_after_flush &&
           evbuffer_get_length(bufferevent_get_input(connection->bev)) == 0;
}

void
Ccn_CloseIdle(CallerListener *listener)
{
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (is_idle(connection)) {
            end_after_flush(connection);
        }
    }
}

static void
check_timeouts(CallerConnection *connection, Instant now)
{
    const CallerLimits *limits = &connection->listener->limits;
    Span age = now - connection->timer_start;

    if (connection->half_closed && has_socket_error(connection)) {
        free_connection(connection);
    }
    else if (connection->closes_after_flush) {
        if (age >= CLOSE_WAIT) {
            free_connection(connection);
        }
    }
    else if (connection->in_head && connection->reader.in_message) {
        if (age >= limits->head_timeout && !connection->first_request) {
            reject_input(connection, REQUEST_TIMEOUT);
        }
    }
    else if (is_idle(connection) && age >= limits->idle_timeout) {
        end_after_flush(connection);
    }
}

void
Ccn_CheckTimeouts(CallerListener *listener, Instant now)
{
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        check_timeouts(connection, now);
    }
}
