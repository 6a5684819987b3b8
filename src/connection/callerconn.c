#include "connection/callerconn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "value/mem.h"

enum {
    AHEAD_MAX = 16, /* requests of one connection read and not answered */
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

#define HEAD_WAIT Span_S(3)
#define IDLE_WAIT Span_S(15)

/* A caller gets so long to read the last answer before the close. */
#define LINGER Span_S(2)

struct CallerConnection {
    CallerListener *listener;
    CallerConnection *next;
    CallerConnection *previous;
    struct bufferevent *bev;
    HttpReader reader;
    CallerRequest *incoming; /* its body still comes; not in the list yet */
    CallerRequest *first_request; /* not answered yet, oldest first */
    size_t request_count;
    Instant
        timer_start; /* first byte of a head, or the end of the last answer */
    bool in_head;
    bool ignores_input;    /* nothing more is read: the connection ends */
    bool starts_with_word; /* what is read begins with a word, as methods do */
    uint16_t
        error_status; /* of what was read last, once all before is answered */
    bool closes_after_flush; /* it ends when what was written went out */
    bool in_reader;          /* a callback of the reader is on the stack */
    bool free_pending;       /* to be freed when it has returned */
};

static Instant
now_of(const CallerListener *list)
{
    return list->clock();
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
tell_gone(CallerConnection *stream)
{
    CallerListener *list = stream->listener;
    CallerRequest *request;

    while ((request = stream->first_request)) {
        stream->first_request = request->next;
        list->active_requests -= !request->answer_ended;
        if (request->is_dispatched && !request->answer_ended) {
            list->callbacks.on_disconnect(list->callbacks.context, request);
        }
        free_request(request);
    }
    stream->request_count = 0;
    if (stream->incoming) {
        free_request(stream->incoming);
        stream->incoming = NULL;
    }
}

static void
free_stream(CallerConnection *stream)
{
    CallerListener *list = stream->listener;

    tell_gone(stream);
    if (stream->in_reader) {
        stream->free_pending = true;
        return;
    }
    if (stream->previous) {
        stream->previous->next = stream->next;
    }
    else {
        list->first_connection = stream->next;
    }
    if (stream->next) {
        stream->next->previous = stream->previous;
    }
    list->connection_count--;
    bufferevent_free(stream->bev);
    Hrd_Finish(&stream->reader);
    Mem_Free(stream);
}

/* End the connection as one that failed, not as one that ended. */
static void
reset_stream(CallerConnection *stream)
{
    struct linger now = {1, 0};

    setsockopt(bufferevent_getfd(stream->bev), SOL_SOCKET, SO_LINGER, &now,
               sizeof now);
    free_stream(stream);
}

/* No more is read for a request; what comes is dropped, so that the close
 * does not destroy the last answer. */
static void
end_after_flush(CallerConnection *stream)
{
    stream->ignores_input = true;
    stream->closes_after_flush = true;
    stream->timer_start = now_of(stream->listener);
    if (evbuffer_get_length(bufferevent_get_output(stream->bev)) == 0) {
        shutdown(bufferevent_getfd(stream->bev), SHUT_WR);
    }
}

static struct evbuffer *
out_of(CallerRequest *request)
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
    CallerConnection *stream = request->connection;
    struct evbuffer *out = out_of(request);
    Str reason = reason_of(status);
    bool has_length = Field_Get(fields, Str_LIT("Content-Length")).len > 0;

    request->head_sent = true;
    request->has_no_body = Str_Equal(request->method, Str_LIT("HEAD")) ||
                           status == NO_CONTENT || status == NOT_MODIFIED;
    request->chunked =
        !has_length && !request->has_no_body && !request->http_1_0;
    /* What was sent behind must not be lost by the close. */
    request->closes_connection =
        request->is_last ||
        (!has_length && !request->chunked && !request->has_no_body) ||
        (stream->listener->is_draining && !request->next && !stream->incoming);
    evbuffer_add_printf(out, "HTTP/1.%c %u %.*s\r\n",
                        request->http_1_0 ? '0' : '1', status,
                        Str_ARG(reason));
    put_fields(out, fields);
    if (request->chunked) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    if (request->closes_connection) {
        stream->ignores_input = true;
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

void
Ccn_SendBody(CallerRequest *request, Str bytes)
{
    struct evbuffer *out = out_of(request);

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

static void read_on(CallerConnection *stream);

static void
hand_over(CallerConnection *stream, CallerRequest *request)
{
    CallerListener *list = stream->listener;

    request->is_dispatched = true;
    list->callbacks.on_request(list->callbacks.context, request, now_of(list));
}

/* What was read last is refused, and the connection ends with that. */
static void
send_refusal(CallerConnection *stream)
{
    CallerListener *list = stream->listener;
    struct evbuffer *out = bufferevent_get_output(stream->bev);
    Str reason = reason_of(stream->error_status);
    FieldList fields = {.count = 0};

    list->callbacks.add_error_fields(list->callbacks.context,
                                     stream->error_status, &fields);
    evbuffer_add_printf(out, "HTTP/1.1 %u %.*s\r\n", stream->error_status,
                        Str_ARG(reason));
    put_fields(out, &fields);
    evbuffer_add_printf(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    end_after_flush(stream);
}

/* Refuse what is read now, in its turn. */
static void
refuse(CallerConnection *stream, uint16_t status)
{
    stream->error_status = status;
    stream->ignores_input = true;
    if (!stream->first_request) {
        send_refusal(stream);
    }
}

/* The first answer went out whole: the next one's turn. */
static void
drop_first(CallerConnection *stream)
{
    CallerRequest *request = stream->first_request;
    bool closes = request->closes_connection;

    stream->first_request = request->next;
    stream->request_count--;
    stream->timer_start = now_of(stream->listener);
    free_request(request);
    if (closes) {
        tell_gone(stream); /* what came behind counts as not read */
        end_after_flush(stream);
    }
    else if (!stream->first_request && stream->error_status) {
        send_refusal(stream);
    }
}

/* Answers that wait for their turn; then requests that did. */
static void
advance(CallerConnection *stream)
{
    while (stream->first_request) {
        CallerRequest *request = stream->first_request;
        if (request->deferred_output) {
            evbuffer_add_buffer(bufferevent_get_output(stream->bev),
                                request->deferred_output);
        }
        if (!request->answer_ended) {
            break;
        }
        drop_first(stream);
    }
    if (stream->first_request && !stream->first_request->is_dispatched) {
        hand_over(stream, stream->first_request);
        return;
    }
    if (!stream->in_reader) {
        read_on(stream);
    }
}

void
Ccn_EndAnswer(CallerRequest *request)
{
    CallerConnection *stream = request->connection;

    if (request->chunked) {
        evbuffer_add(out_of(request), "0\r\n\r\n", 5);
    }
    request->answer_ended = true;
    stream->listener->active_requests--;
    if (request == stream->first_request) {
        bool nested = stream->in_reader;
        stream->in_reader = true;
        drop_first(stream);
        advance(stream);
        stream->in_reader = nested;
        if (!nested) {
            read_on(stream);
        }
    }
}

bool
Ccn_HasPipelined(const CallerRequest *request)
{
    return request->next != NULL;
}

void
Ccn_Abort(CallerRequest *request)
{
    CallerConnection *stream = request->connection;

    request->answer_ended = true;
    stream->listener->active_requests--;
    reset_stream(stream);
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

/* False when the caller expects what is not known here. */
static bool
meet_expectation(CallerConnection *stream, const CallerRequest *request)
{
    Str expected = Field_Get(&request->fields, Str_LIT("Expect"));

    if (expected.len == 0) {
        return true;
    }
    if (!Str_EqualNoCase(expected, Str_LIT("100-continue"))) {
        stream->error_status = EXPECTATION_FAILED;
        return false;
    }
    if (!stream->first_request) {
        evbuffer_add_printf(bufferevent_get_output(stream->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

static bool
on_head(void *context, const HttpHead *head)
{
    CallerConnection *stream = context;
    CallerRequest *request = Mem_Alloc(1, sizeof *request);
    size_t offset = 0;
    Str whole;

    request->connection = stream;
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
    stream->incoming = request;
    stream->in_head = false;
    return meet_expectation(stream, request);
}

static bool
on_bytes(void *context, Str bytes)
{
    CallerConnection *stream = context;
    StrBuf *body = &stream->incoming->body;

    if (body->len + bytes.len > stream->listener->limits.body_bytes_max) {
        return false;
    }
    StrBuf_Append(body, bytes);
    return true;
}

static void
add_request(CallerConnection *stream)
{
    CallerListener *list = stream->listener;
    CallerRequest *request = stream->incoming;
    CallerRequest **at = &stream->first_request;

    stream->incoming = NULL;
    stream->ignores_input |= request->is_last;
    request->received_at = now_of(list);
    while (*at) {
        at = &(*at)->next;
    }
    *at = request;
    stream->request_count++;
    list->active_requests++;
    if (request == stream->first_request ||
        list->callbacks.can_run_early(list->callbacks.context, request)) {
        hand_over(stream, request);
    }
}

/* Why the reader stopped. */
static uint16_t
refusal_of(const CallerConnection *stream)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&stream->reader.parser);

    if (stream->error_status) {
        return stream->error_status;
    }
    if (stream->reader.head_too_long) {
        return HEAD_TOO_LARGE;
    }
    if (error == HPE_INVALID_METHOD && stream->starts_with_word) {
        return NOT_IMPLEMENTED;
    }
    return stream->incoming && error == HPE_CB_body ? BODY_TOO_LARGE
                                                    : BAD_REQUEST;
}

/* INPUT begins with capital letters and a blank. */
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
read_messages(CallerConnection *stream)
{
    struct evbuffer *input = bufferevent_get_input(stream->bev);

    while (!stream->free_pending && !stream->ignores_input &&
           stream->request_count < AHEAD_MAX &&
           evbuffer_get_length(input) > 0) {
        if (!stream->reader.in_message) {
            stream->in_head = true;
            stream->starts_with_word = begins_with_word(input);
            stream->timer_start = now_of(stream->listener);
        }
        switch (Hrd_Feed(&stream->reader, input)) {
        case Hrd_NEEDS_MORE:
            break;
        case Hrd_MESSAGE_END:
            if (stream->incoming) {
                add_request(stream);
            }
            break;
        case Hrd_ERROR:
            refuse(stream, refusal_of(stream));
            break;
        }
    }
    if (!stream->free_pending && stream->ignores_input &&
        !stream->first_request) {
        evbuffer_drain(input, evbuffer_get_length(input));
    }
}

static void
read_on(CallerConnection *stream)
{
    if (stream->in_reader) {
        return;
    }
    stream->in_reader = true;
    read_messages(stream);
    stream->in_reader = false;
    if (stream->free_pending) {
        free_stream(stream);
    }
}

static void
on_read(struct bufferevent *from, void *context)
{
    CallerConnection *stream = context;

    (void)from;
    if (stream->closes_after_flush) {
        struct evbuffer *input = bufferevent_get_input(stream->bev);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    read_on(stream);
}

/* All that was written has gone out. */
static void
on_written(struct bufferevent *to, void *context)
{
    CallerConnection *stream = context;
    CallerRequest *request = stream->first_request;
    CallerListener *list = stream->listener;

    if (request && request->unsent_bytes) {
        uint32_t bytes = request->unsent_bytes;
        request->unsent_bytes = 0;
        if (request->is_dispatched && !request->answer_ended) {
            list->callbacks.on_consumed(list->callbacks.context, request,
                                        bytes);
        }
    }
    else if (stream->closes_after_flush) {
        shutdown(bufferevent_getfd(to), SHUT_WR);
    }
}

static void
on_event(struct bufferevent *from, short what, void *context)
{
    const CallerConnection *stream = context;

    (void)from;
    if (what & BEV_EVENT_EOF && stream->ignores_input &&
        stream->first_request) {
        return; /* the caller had announced that it sends no more */
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        free_stream(context);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *context)
{
    CallerListener *list = context;
    CallerConnection *stream = Mem_Alloc(1, sizeof *stream);
    HttpReaderCallbacks sink = {stream, on_head, on_bytes};
    int on = 1;

    (void)listener;
    (void)address;
    (void)len;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    stream->listener = list;
    stream->timer_start = now_of(list);
    Hrd_Init(&stream->reader, Hrd_REQUESTS, &sink,
             list->limits.head_bytes_max);
    stream->bev =
        bufferevent_socket_new(list->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream->bev, on_read, on_written, on_event, stream);
    bufferevent_enable(stream->bev, EV_READ | EV_WRITE);
    stream->next = list->first_connection;
    if (list->first_connection) {
        list->first_connection->previous = stream;
    }
    list->first_connection = stream;
    list->connection_count++;
}

bool
Ccn_Listen(CallerListener *list, struct event_base *base,
           Instant (*clock)(void), Addr addr, const CallerCallbacks *front,
           Err *err)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(Addr_Port(addr))};
    StrBuf ip = {0};
    bool good;

    *list = (CallerListener){
        .base = base,
        .clock = clock,
        .callbacks = *front,
        .limits = {HEAD_BYTES_MAX, BODY_BYTES_MAX, HEAD_WAIT, IDLE_WAIT},
    };
    Addr_PrintIp(addr, &ip);
    evutil_inet_pton(AF_INET, StrBuf_CStr(&ip), &name.sin_addr);
    list->listener = evconnlistener_new_bind(
        base, on_accept, list,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE |
            LEV_OPT_DISABLED,
        BACKLOG, (struct sockaddr *)&name, sizeof name);
    good = list->listener != NULL;
    if (!good) {
        Err_SET(err, Err_IO, "cannot listen for callers on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(addr));
    }
    StrBuf_Finish(&ip);
    return good;
}

void
Ccn_Finish(CallerListener *list)
{
    Ccn_StopListening(list);
    while (list->first_connection) {
        free_stream(list->first_connection);
    }
}

void
Ccn_StartAccepting(CallerListener *list)
{
    if (list->listener) {
        evconnlistener_enable(list->listener);
    }
}

void
Ccn_StopListening(CallerListener *list)
{
    if (list->listener) {
        evconnlistener_free(list->listener);
        list->listener = NULL;
    }
}

void
Ccn_SetLimits(CallerListener *list, const CallerLimits *limits)
{
    list->limits = *limits;
    for (CallerConnection *stream = list->first_connection; stream;
         stream = stream->next) {
        stream->reader.head_bytes_max = limits->head_bytes_max;
    }
}

static bool
is_idle(const CallerConnection *stream)
{
    return !stream->first_request && !stream->incoming &&
           !stream->reader.in_message && !stream->closes_after_flush &&
           evbuffer_get_length(bufferevent_get_input(stream->bev)) == 0;
}

void
Ccn_CloseIdle(CallerListener *list)
{
    for (CallerConnection *stream = list->first_connection; stream;
         stream = stream->next) {
        if (is_idle(stream)) {
            end_after_flush(stream);
        }
    }
}

static void
check_times(CallerConnection *stream, Instant now)
{
    const CallerLimits *limits = &stream->listener->limits;
    Span age = now - stream->timer_start;

    if (stream->closes_after_flush) {
        if (age >= LINGER) {
            free_stream(stream);
        }
    }
    else if (stream->in_head && stream->reader.in_message) {
        if (age >= limits->head_timeout && !stream->first_request) {
            refuse(stream, REQUEST_TIMEOUT);
        }
    }
    else if (is_idle(stream) && age >= limits->idle_timeout) {
        end_after_flush(stream);
    }
}

void
Ccn_CheckTimeouts(CallerListener *list, Instant now)
{
    CallerConnection *next;

    for (CallerConnection *stream = list->first_connection; stream;
         stream = next) {
        next = stream->next;
        check_times(stream, now);
    }
}
