#include "connection/stream.h"

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

struct Cst {
    CstList *list;
    Cst *next;
    Cst *previous;
    struct bufferevent *stream;
    Hrd reader;
    CstRequest *reading; /* its body still comes; not in the list yet */
    CstRequest *first;   /* not answered yet, oldest first */
    size_t count;
    Instant since; /* first byte of a head, or the end of the last answer */
    bool in_head;
    bool deaf;        /* nothing more is read: the connection ends */
    bool word;        /* what is read begins with a word, as methods do */
    uint16_t refusal; /* of what was read last, once all before is answered */
    bool flushes;     /* it ends when what was written went out */
    bool inside;      /* a callback of the reader is on the stack */
    bool dead;        /* to be freed when it has returned */
};

static Instant
now_of(const CstList *list)
{
    return list->clock();
}

static void
free_request(CstRequest *request)
{
    StrBuf_Finish(&request->text);
    StrBuf_Finish(&request->body);
    if (request->out) {
        evbuffer_free(request->out);
    }
    Mem_Free(request);
}

static void
tell_gone(Cst *stream)
{
    CstList *list = stream->list;
    CstRequest *request;

    while ((request = stream->first)) {
        stream->first = request->next;
        list->busy -= !request->ended;
        if (request->handed && !request->ended) {
            list->front.gone(list->front.context, request);
        }
        free_request(request);
    }
    stream->count = 0;
    if (stream->reading) {
        free_request(stream->reading);
        stream->reading = NULL;
    }
}

static void
free_stream(Cst *stream)
{
    CstList *list = stream->list;

    tell_gone(stream);
    if (stream->inside) {
        stream->dead = true;
        return;
    }
    if (stream->previous) {
        stream->previous->next = stream->next;
    }
    else {
        list->first = stream->next;
    }
    if (stream->next) {
        stream->next->previous = stream->previous;
    }
    list->count--;
    bufferevent_free(stream->stream);
    Hrd_Finish(&stream->reader);
    Mem_Free(stream);
}

/* End the connection as one that failed, not as one that ended. */
static void
reset_stream(Cst *stream)
{
    struct linger now = {1, 0};

    setsockopt(bufferevent_getfd(stream->stream), SOL_SOCKET, SO_LINGER, &now,
               sizeof now);
    free_stream(stream);
}

/* No more is read for a request; what comes is dropped, so that the close
 * does not destroy the last answer. */
static void
end_after_flush(Cst *stream)
{
    stream->deaf = true;
    stream->flushes = true;
    stream->since = now_of(stream->list);
    if (evbuffer_get_length(bufferevent_get_output(stream->stream)) == 0) {
        shutdown(bufferevent_getfd(stream->stream), SHUT_WR);
    }
}

static struct evbuffer *
out_of(CstRequest *request)
{
    if (request == request->stream->first) {
        return bufferevent_get_output(request->stream->stream);
    }
    if (!request->out) {
        request->out = evbuffer_new();
    }
    return request->out;
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
Cst_SendHead(CstRequest *request, uint16_t status, const FieldList *fields)
{
    Cst *stream = request->stream;
    struct evbuffer *out = out_of(request);
    Str reason = reason_of(status);
    bool has_length = Field_Get(fields, Str_LIT("Content-Length")).len > 0;

    request->headed = true;
    request->bodiless = Str_Equal(request->method, Str_LIT("HEAD")) ||
                        status == NO_CONTENT || status == NOT_MODIFIED;
    request->chunked = !has_length && !request->bodiless && !request->http_1_0;
    /* What was sent behind must not be lost by the close. */
    request->closes =
        request->last ||
        (!has_length && !request->chunked && !request->bodiless) ||
        (stream->list->closing && !request->next && !stream->reading);
    evbuffer_add_printf(out, "HTTP/1.%c %u %.*s\r\n",
                        request->http_1_0 ? '0' : '1', status,
                        Str_ARG(reason));
    put_fields(out, fields);
    if (request->chunked) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    if (request->closes) {
        stream->deaf = true;
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

void
Cst_SendBytes(CstRequest *request, Str bytes)
{
    struct evbuffer *out = out_of(request);

    if (bytes.len == 0 || request->bodiless) {
        return;
    }
    request->given += (uint32_t)bytes.len;
    if (request->chunked) {
        evbuffer_add_printf(out, "%zx\r\n", bytes.len);
    }
    evbuffer_add(out, bytes.ptr, bytes.len);
    if (request->chunked) {
        evbuffer_add(out, "\r\n", 2);
    }
}

static void read_on(Cst *stream);

static void
hand_over(Cst *stream, CstRequest *request)
{
    CstList *list = stream->list;

    request->handed = true;
    list->front.request(list->front.context, request, now_of(list));
}

/* What was read last is refused, and the connection ends with that. */
static void
send_refusal(Cst *stream)
{
    CstList *list = stream->list;
    struct evbuffer *out = bufferevent_get_output(stream->stream);
    Str reason = reason_of(stream->refusal);
    FieldList fields = {.count = 0};

    list->front.refuse(list->front.context, stream->refusal, &fields);
    evbuffer_add_printf(out, "HTTP/1.1 %u %.*s\r\n", stream->refusal,
                        Str_ARG(reason));
    put_fields(out, &fields);
    evbuffer_add_printf(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    end_after_flush(stream);
}

/* Refuse what is read now, in its turn. */
static void
refuse(Cst *stream, uint16_t status)
{
    stream->refusal = status;
    stream->deaf = true;
    if (!stream->first) {
        send_refusal(stream);
    }
}

/* The first answer went out whole: the next one's turn. */
static void
drop_first(Cst *stream)
{
    CstRequest *request = stream->first;
    bool closes = request->closes;

    stream->first = request->next;
    stream->count--;
    stream->since = now_of(stream->list);
    free_request(request);
    if (closes) {
        tell_gone(stream); /* what came behind counts as not read */
        end_after_flush(stream);
    }
    else if (!stream->first && stream->refusal) {
        send_refusal(stream);
    }
}

/* Answers that wait for their turn; then requests that did. */
static void
advance(Cst *stream)
{
    while (stream->first) {
        CstRequest *request = stream->first;
        if (request->out) {
            evbuffer_add_buffer(bufferevent_get_output(stream->stream),
                                request->out);
        }
        if (!request->ended) {
            break;
        }
        drop_first(stream);
    }
    if (stream->first && !stream->first->handed) {
        hand_over(stream, stream->first);
        return;
    }
    if (!stream->inside) {
        read_on(stream);
    }
}

void
Cst_End(CstRequest *request)
{
    Cst *stream = request->stream;

    if (request->chunked) {
        evbuffer_add(out_of(request), "0\r\n\r\n", 5);
    }
    request->ended = true;
    stream->list->busy--;
    if (request == stream->first) {
        bool nested = stream->inside;
        stream->inside = true;
        drop_first(stream);
        advance(stream);
        stream->inside = nested;
        if (!nested) {
            read_on(stream);
        }
    }
}

bool
Cst_Blocks(const CstRequest *request)
{
    return request->next != NULL;
}

void
Cst_Cut(CstRequest *request)
{
    Cst *stream = request->stream;

    request->ended = true;
    stream->list->busy--;
    reset_stream(stream);
}

void
Cst_Answer(CstRequest *request, uint16_t status, const FieldList *fields,
           Str body)
{
    FieldList all = *fields;
    StrBuf length = {0};

    StrBuf_AppendFmt(&length, "%zu", body.len);
    Field_Add(&all, Str_LIT("Content-Length"), StrBuf_View(&length));
    Cst_SendHead(request, status, &all);
    Cst_SendBytes(request, body);
    StrBuf_Finish(&length);
    Cst_End(request);
}

/* False when the caller expects what is not known here. */
static bool
meet_expectation(Cst *stream, const CstRequest *request)
{
    Str expected = Field_Get(&request->fields, Str_LIT("Expect"));

    if (expected.len == 0) {
        return true;
    }
    if (!Str_EqualNoCase(expected, Str_LIT("100-continue"))) {
        stream->refusal = EXPECTATION_FAILED;
        return false;
    }
    if (!stream->first) {
        evbuffer_add_printf(bufferevent_get_output(stream->stream),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

static bool
on_head(void *context, const HrdHead *head)
{
    Cst *stream = context;
    CstRequest *request = Mem_Alloc(1, sizeof *request);
    size_t offset = 0;
    Str whole;

    request->stream = stream;
    request->last = !head->keep_alive;
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
    stream->reading = request;
    stream->in_head = false;
    return meet_expectation(stream, request);
}

static bool
on_bytes(void *context, Str bytes)
{
    Cst *stream = context;
    StrBuf *body = &stream->reading->body;

    if (body->len + bytes.len > stream->list->limits.body_bytes_max) {
        return false;
    }
    StrBuf_Append(body, bytes);
    return true;
}

static void
add_request(Cst *stream)
{
    CstList *list = stream->list;
    CstRequest *request = stream->reading;
    CstRequest **at = &stream->first;

    stream->reading = NULL;
    stream->deaf |= request->last;
    request->at = now_of(list);
    while (*at) {
        at = &(*at)->next;
    }
    *at = request;
    stream->count++;
    list->busy++;
    if (request == stream->first ||
        list->front.repeatable(list->front.context, request)) {
        hand_over(stream, request);
    }
}

/* Why the reader stopped. */
static uint16_t
refusal_of(const Cst *stream)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&stream->reader.parser);

    if (stream->refusal) {
        return stream->refusal;
    }
    if (stream->reader.too_long) {
        return HEAD_TOO_LARGE;
    }
    if (error == HPE_INVALID_METHOD && stream->word) {
        return NOT_IMPLEMENTED;
    }
    return stream->reading && error == HPE_CB_body ? BODY_TOO_LARGE
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
read_messages(Cst *stream)
{
    struct evbuffer *input = bufferevent_get_input(stream->stream);

    while (!stream->dead && !stream->deaf && stream->count < AHEAD_MAX &&
           evbuffer_get_length(input) > 0) {
        if (!stream->reader.begun) {
            stream->in_head = true;
            stream->word = begins_with_word(input);
            stream->since = now_of(stream->list);
        }
        switch (Hrd_Feed(&stream->reader, input)) {
        case Hrd_MORE:
            break;
        case Hrd_END:
            if (stream->reading) {
                add_request(stream);
            }
            break;
        case Hrd_BAD:
            refuse(stream, refusal_of(stream));
            break;
        }
    }
    if (!stream->dead && stream->deaf && !stream->first) {
        evbuffer_drain(input, evbuffer_get_length(input));
    }
}

static void
read_on(Cst *stream)
{
    if (stream->inside) {
        return;
    }
    stream->inside = true;
    read_messages(stream);
    stream->inside = false;
    if (stream->dead) {
        free_stream(stream);
    }
}

static void
on_read(struct bufferevent *from, void *context)
{
    Cst *stream = context;

    (void)from;
    if (stream->flushes) {
        struct evbuffer *input = bufferevent_get_input(stream->stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    read_on(stream);
}

/* All that was written has gone out. */
static void
on_written(struct bufferevent *to, void *context)
{
    Cst *stream = context;
    CstRequest *request = stream->first;
    CstList *list = stream->list;

    if (request && request->given) {
        uint32_t bytes = request->given;
        request->given = 0;
        if (request->handed && !request->ended) {
            list->front.taken(list->front.context, request, bytes);
        }
    }
    else if (stream->flushes) {
        shutdown(bufferevent_getfd(to), SHUT_WR);
    }
}

static void
on_event(struct bufferevent *from, short what, void *context)
{
    const Cst *stream = context;

    (void)from;
    if (what & BEV_EVENT_EOF && stream->deaf && stream->first) {
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
    CstList *list = context;
    Cst *stream = Mem_Alloc(1, sizeof *stream);
    HrdSink sink = {stream, on_head, on_bytes};
    int on = 1;

    (void)listener;
    (void)address;
    (void)len;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    stream->list = list;
    stream->since = now_of(list);
    Hrd_Init(&stream->reader, Hrd_REQUESTS, &sink,
             list->limits.head_bytes_max);
    stream->stream =
        bufferevent_socket_new(list->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream->stream, on_read, on_written, on_event, stream);
    bufferevent_enable(stream->stream, EV_READ | EV_WRITE);
    stream->next = list->first;
    if (list->first) {
        list->first->previous = stream;
    }
    list->first = stream;
    list->count++;
}

bool
Cst_Listen(CstList *list, struct event_base *base, Instant (*clock)(void),
           Addr addr, const CstFront *front, Err *err)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(Addr_Port(addr))};
    StrBuf ip = {0};
    bool good;

    *list = (CstList){
        .base = base,
        .clock = clock,
        .front = *front,
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
Cst_Finish(CstList *list)
{
    Cst_StopListening(list);
    while (list->first) {
        free_stream(list->first);
    }
}

void
Cst_Open(CstList *list)
{
    if (list->listener) {
        evconnlistener_enable(list->listener);
    }
}

void
Cst_StopListening(CstList *list)
{
    if (list->listener) {
        evconnlistener_free(list->listener);
        list->listener = NULL;
    }
}

void
Cst_SetLimits(CstList *list, const CstLimits *limits)
{
    list->limits = *limits;
    for (Cst *stream = list->first; stream; stream = stream->next) {
        stream->reader.head_bytes_max = limits->head_bytes_max;
    }
}

static bool
is_idle(const Cst *stream)
{
    return !stream->first && !stream->reading && !stream->reader.begun &&
           !stream->flushes &&
           evbuffer_get_length(bufferevent_get_input(stream->stream)) == 0;
}

void
Cst_CloseIdle(CstList *list)
{
    for (Cst *stream = list->first; stream; stream = stream->next) {
        if (is_idle(stream)) {
            end_after_flush(stream);
        }
    }
}

static void
check_times(Cst *stream, Instant now)
{
    const CstLimits *limits = &stream->list->limits;
    Span age = now - stream->since;

    if (stream->flushes) {
        if (age >= LINGER) {
            free_stream(stream);
        }
    }
    else if (stream->in_head && stream->reader.begun) {
        if (age >= limits->head_wait && !stream->first) {
            refuse(stream, REQUEST_TIMEOUT);
        }
    }
    else if (is_idle(stream) && age >= limits->idle_wait) {
        end_after_flush(stream);
    }
}

void
Cst_Tick(CstList *list, Instant now)
{
    Cst *next;

    for (Cst *stream = list->first; stream; stream = next) {
        next = stream->next;
        check_times(stream, now);
    }
}
