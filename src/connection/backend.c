#include "connection/backend.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "connection/httpread.h"
#include "value/mem.h"

/* Bytes that are read and passed over for one exchange: answers before its own
 * or to other requests, bodies that nobody wants.  Chunks of a byte each come
 * with so many times their length. */
enum { WASTE_BYTES_MAX = 1024 * 1024, WASTE_FACTOR = 8 };

enum { HEADER_BYTES_MAX = 64 * 1024, OK = 200, MISDIRECTED = 421 };

/* Idle connections that are older are not used again: the backend server may
 * be closing them. */
#define IDLE_MAX Span_S(1)

/* Given on top of the deadline, within which the caller's node cancels. */
#define GRACE Span_MS(500)

struct BackendConnection {
    BackendPool *pool;
    struct bufferevent *bev;
    HttpReader reader;
    Addr addr;
    bool has_completed;      /* an exchange ended well over it */
    bool is_connected;       /* it was made */
    bool echoes_request_ids; /* answers over it name their requests */
    Instant idle_since;
    Span idle_timeout;
    BackendExchange *exchange; /* NULL: idle, or to be closed */
    BackendConnection *next;
};

struct BackendExchange {
    BackendPool *pool;
    BackendConnection *connection;
    BackendRequest request;
    Instant deadline;            /* of the request */
    struct event *resend_timer;  /* NULL: not to be repeated */
    struct event *timeout_timer; /* of the whole exchange */
    bool paused;
    BackendCallbacks callbacks;
    bool head_received;     /* the answer's head came */
    bool is_foreign;        /* what is read now answers another request */
    bool is_interim;        /* it is an answer before the answer */
    bool is_rejected;       /* it says that the request did not run */
    size_t bytes_read;      /* bytes that came for it */
    size_t bytes_forwarded; /* of these, to the sink */
    bool keep_open;         /* as the answer says */
};

static void
close_connection(BackendConnection *connection)
{
    bufferevent_free(connection->bev);
    Hrd_Finish(&connection->reader);
    Mem_Free(connection);
}

static void
close_all(BackendConnection **list)
{
    BackendConnection *connection;

    while ((connection = *list)) {
        *list = connection->next;
        close_connection(connection);
    }
}

static void
close_retired(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    close_all(&((BackendPool *)context)->closing);
}

/* A connection is closed from the loop: its reader may be on the stack. */
static void
retire(BackendPool *pool, BackendConnection *connection)
{
    connection->exchange = NULL;
    bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
    connection->next = pool->closing;
    pool->closing = connection;
    event_active(pool->close_event, EV_TIMEOUT, 0);
}

static void
drop_idle(BackendConnection *connection)
{
    BackendConnection **at = &connection->pool->idle;

    while (*at && *at != connection) {
        at = &(*at)->next;
    }
    if (*at) {
        *at = connection->next;
        retire(connection->pool, connection);
    }
}

static void
drop_all_idle(BackendPool *pool)
{
    while (pool->idle) {
        drop_idle(pool->idle);
    }
}

static void
free_exchange(BackendExchange *exchange)
{
    if (exchange->resend_timer) {
        event_free(exchange->resend_timer);
    }
    event_free(exchange->timeout_timer);
    Mem_Free(exchange);
}

/* The exchange is over; its connection stays open, or is closed. */
static void
end_exchange(BackendExchange *exchange, BackendResult end, bool keep)
{
    BackendPool *pool = exchange->pool;
    BackendConnection *connection = exchange->connection;
    BackendCallbacks sink = exchange->callbacks;

    if (keep) {
        connection->exchange = NULL;
        connection->has_completed = true;
        connection->idle_since = pool->clock();
        connection->next = pool->idle;
        pool->idle = connection;
        bufferevent_enable(connection->bev, EV_READ);
    }
    else {
        retire(pool, connection);
    }
    free_exchange(exchange);
    sink.on_end(sink.context, end);
}

/* Whole seconds of "timeout=N"; 0 when there is none. */
static Span
keep_alive_of(const FieldList *fields)
{
    static const Str name = Str_LIT("timeout=");
    Str text = Field_Get(fields, Str_LIT("Keep-Alive"));
    uint64_t seconds = 0;

    for (size_t i = 0; i + name.len < text.len; i++) {
        Str rest = Str_Slice(text, i, text.len);
        if (Str_StartsWith(rest, name)) {
            rest = Str_Slice(rest, name.len, rest.len);
            rest = Str_Slice(rest, 0, Str_Find(rest, ','));
            return Str_ToU64(Str_Trim(rest), &seconds) && seconds < 3600
                       ? Span_S((Span)seconds)
                       : 0;
        }
    }
    return 0;
}

static bool
says(const FieldList *fields, Str name)
{
    return name.len && Field_Get(fields, name).len > 0;
}

/* Fields that go on with the answer; a length beside chunks counts for
 * nothing (RFC 9112, section 6.3). */
static void
forward_fields(const HttpHead *head, FieldList *fields)
{
    Str connection = Field_Get(&head->fields, Str_LIT("Connection"));

    fields->count = 0;
    for (size_t i = 0; i < head->fields.count; i++) {
        const Field *field = &head->fields.items[i];
        bool length = Str_EqualNoCase(field->name, Str_LIT("Content-Length"));
        if (!Field_IsHopByHop(field->name, connection) &&
            !(length && head->chunked)) {
            Field_Add(fields, field->name, field->value);
        }
    }
}

/* Whose answer it is, as it says itself. */
typedef enum { OWN, ANOTHERS, UNNAMED } Whose;

static Whose
whose_is(const BackendExchange *exchange, const HttpHead *head)
{
    Str name = exchange->pool->header_names.request_id;
    Str echoed = name.len ? Field_Get(&head->fields, name) : (Str){0};

    if (!echoed.len || (!exchange->request.request_id.len &&
                        !exchange->request.is_internal)) {
        return UNNAMED;
    }
    return Str_Equal(echoed, exchange->request.request_id) ? OWN : ANOTHERS;
}

static void
take_head(BackendExchange *exchange, const HttpHead *head)
{
    BackendPool *pool = exchange->pool;
    const FieldList *all = &head->fields;
    Span idle = keep_alive_of(all);
    FieldList fields;

    exchange->head_received = true;
    exchange->keep_open = head->keep_alive;
    if (idle) {
        /* Half of it: the other side counts from an earlier moment. */
        exchange->connection->idle_timeout = idle / 2;
    }
    if (exchange->resend_timer) {
        event_free(exchange->resend_timer);
        exchange->resend_timer = NULL;
    }
    if (pool->on_load && says(all, pool->header_names.load)) {
        pool->on_load(pool->on_load_context,
                      Field_Get(all, pool->header_names.load), pool->clock());
    }
    exchange->is_rejected = !exchange->request.is_internal &&
                            (says(all, pool->header_names.not_run) ||
                             (head->status == MISDIRECTED &&
                              pool->header_names.expected_instance.len));
    if (exchange->is_rejected && !exchange->connection->echoes_request_ids) {
        /* Said once more, it would be taken for the next one's. */
        exchange->keep_open = false;
    }
    if (!exchange->is_rejected) {
        if (!exchange->request.is_internal) {
            /* Who takes the answer bounds it from here on. */
            evtimer_del(exchange->timeout_timer);
        }
        forward_fields(head, &fields);
        exchange->callbacks.on_head(exchange->callbacks.context, head->status,
                                    &fields);
    }
}

static bool
on_head(void *context, const HttpHead *head)
{
    BackendConnection *connection = context;
    BackendExchange *exchange = connection->exchange;
    Whose whose;

    if (!exchange) {
        return false;
    }
    exchange->is_interim = head->status < OK;
    if (exchange->is_interim) {
        return true;
    }
    whose = whose_is(exchange, head);
    if (whose == UNNAMED && connection->echoes_request_ids &&
        !exchange->request.is_internal) {
        return false; /* it may be an earlier one's, once more */
    }
    connection->echoes_request_ids |= whose == OWN;
    exchange->is_foreign = whose == ANOTHERS;
    if (!exchange->is_foreign) {
        take_head(exchange, head);
    }
    return connection->exchange == exchange;
}

static bool
on_bytes(void *context, Str bytes)
{
    BackendConnection *connection = context;
    BackendExchange *exchange = connection->exchange;

    if (!exchange) {
        return false;
    }
    if (!exchange->is_foreign && !exchange->is_rejected && bytes.len) {
        exchange->bytes_forwarded += bytes.len;
        exchange->callbacks.on_body(exchange->callbacks.context, bytes);
    }
    return connection->exchange == exchange;
}

/* A message ended; false when another one is to be read. */
static bool
take_end(BackendExchange *exchange)
{
    struct bufferevent *stream = exchange->connection->bev;
    bool clean = evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
                 evbuffer_get_length(bufferevent_get_output(stream)) == 0;

    if (exchange->is_interim || exchange->is_foreign) {
        exchange->is_interim = false;
        exchange->is_foreign = false;
        return false;
    }
    end_exchange(exchange, exchange->is_rejected ? Bck_REJECTED : Bck_COMPLETE,
                 exchange->keep_open && clean);
    return true;
}

static BackendResult
end_of_failed(const BackendExchange *exchange)
{
    if (exchange->is_rejected) {
        return Bck_REJECTED; /* its head has said so */
    }
    return exchange->connection->is_connected ? Bck_INTERRUPTED
                                              : Bck_CONNECT_FAILED;
}

static void
fail(BackendConnection *connection)
{
    BackendExchange *exchange = connection->exchange;

    if (exchange) {
        end_exchange(exchange, end_of_failed(exchange), false);
    }
    else {
        drop_idle(connection);
    }
}

static bool
is_wasted(const BackendExchange *exchange)
{
    return exchange->bytes_read >
           WASTE_BYTES_MAX + exchange->bytes_forwarded * (1 + WASTE_FACTOR);
}

static void
on_read(struct bufferevent *stream, void *context)
{
    BackendConnection *connection = context;
    struct evbuffer *input = bufferevent_get_input(stream);

    while (evbuffer_get_length(input) > 0) {
        BackendExchange *exchange = connection->exchange;
        HttpReadStatus state;
        size_t before;
        if (!exchange) {
            drop_idle(connection); /* nobody asked for anything */
            return;
        }
        before = evbuffer_get_length(input);
        state = Hrd_Feed(&connection->reader, input);
        if (connection->exchange != exchange) {
            return; /* it was cancelled meanwhile */
        }
        exchange->bytes_read += before - evbuffer_get_length(input);
        if (state == Hrd_ERROR || is_wasted(exchange)) {
            fail(connection);
            return;
        }
        if (state == Hrd_NEEDS_MORE || take_end(exchange)) {
            return;
        }
    }
}

static void
on_event(struct bufferevent *stream, short what, void *context)
{
    BackendConnection *connection = context;
    BackendExchange *exchange = connection->exchange;

    if (what & BEV_EVENT_CONNECTED) {
        connection->is_connected = true;
        return;
    }
    if (what & BEV_EVENT_EOF && exchange) {
        on_read(stream, connection);
        if (connection->exchange != exchange) {
            return;
        }
        if (exchange->head_received && !exchange->is_foreign &&
            Hrd_Close(&connection->reader) == Hrd_MESSAGE_END) {
            exchange->keep_open = false;
            take_end(exchange);
            return;
        }
    }
    fail(connection);
}

static BackendConnection *
open_connection(BackendPool *pool)
{
    BackendConnection *connection = Mem_Alloc(1, sizeof *connection);
    HttpReaderCallbacks sink = {connection, on_head, on_bytes};
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(Addr_Port(pool->addr))};
    StrBuf ip = {0};
    int on = 1;

    Addr_PrintIp(pool->addr, &ip);
    inet_pton(AF_INET, StrBuf_CStr(&ip), &name.sin_addr);
    StrBuf_Finish(&ip);
    connection->pool = pool;
    connection->addr = pool->addr;
    connection->idle_timeout = IDLE_MAX;
    Hrd_Init(&connection->reader, Hrd_ANSWERS, &sink, HEADER_BYTES_MAX);
    connection->bev =
        bufferevent_socket_new(pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection->bev, on_read, NULL, on_event, connection);
    bufferevent_socket_connect(connection->bev, (struct sockaddr *)&name,
                               sizeof name);
    setsockopt(bufferevent_getfd(connection->bev), IPPROTO_TCP, TCP_NODELAY,
               &on, sizeof on);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    return connection;
}

/* Still open at the other end, and nothing came that nobody asked for. */
static bool
is_open(const BackendConnection *connection)
{
    char byte;

    return recv(bufferevent_getfd(connection->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0;
}

static BackendConnection *
take_connection(BackendPool *pool, Instant now)
{
    BackendConnection *connection;

    while ((connection = pool->idle)) {
        if (connection->addr == pool->addr &&
            now - connection->idle_since < connection->idle_timeout &&
            is_open(connection)) {
            pool->idle = connection->next;
            return connection;
        }
        drop_idle(connection);
    }
    return open_connection(pool);
}

static void
write_request(const BackendExchange *exchange)
{
    const BackendRequest *from = &exchange->request;
    const BackendHeaderNames *names = &exchange->pool->header_names;
    Str instance = StrBuf_View(&exchange->pool->expected_instance);
    struct evbuffer *out = bufferevent_get_output(exchange->connection->bev);
    long long left_ms = from->time_left > 0 ? from->time_left / 1000 : 0;

    evbuffer_add_printf(out, "%.*s %.*s HTTP/1.1\r\n", Str_ARG(from->method),
                        Str_ARG(from->target));
    for (size_t i = 0; i < from->fields.count; i++) {
        const Field *field = &from->fields.items[i];
        if (!Str_EqualNoCase(field->name, Str_LIT("Content-Length"))) {
            evbuffer_add_printf(out, "%.*s: %.*s\r\n", Str_ARG(field->name),
                                Str_ARG(field->value));
        }
    }
    if (names->deadline.len && !from->is_internal) {
        evbuffer_add_printf(out, "%.*s: %lld\r\n", Str_ARG(names->deadline),
                            left_ms);
    }
    if (names->expected_instance.len && instance.len && !from->is_internal) {
        evbuffer_add_printf(out, "%.*s: %.*s\r\n",
                            Str_ARG(names->expected_instance),
                            Str_ARG(instance));
    }
    if (from->body.len || (!Str_Equal(from->method, Str_LIT("GET")) &&
                           !Str_Equal(from->method, Str_LIT("HEAD")))) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", from->body.len);
    }
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add(out, from->body.ptr, from->body.len);
}

static void
send_over(BackendExchange *exchange, BackendConnection *connection)
{
    exchange->connection = connection;
    connection->exchange = exchange;
    connection->reader.skip_body =
        Str_Equal(exchange->request.method, Str_LIT("HEAD"));
    write_request(exchange);
}

static void
on_repeat(evutil_socket_t fd, short what, void *context)
{
    BackendExchange *exchange = context;
    BackendPool *pool = exchange->pool;

    (void)fd;
    (void)what;
    event_free(exchange->resend_timer);
    exchange->resend_timer = NULL;
    retire(pool, exchange->connection);
    drop_all_idle(pool);
    exchange->request.time_left = exchange->deadline - pool->clock();
    send_over(exchange, open_connection(pool));
}

static void
on_bound(evutil_socket_t fd, short what, void *context)
{
    BackendExchange *exchange = context;

    (void)fd;
    (void)what;
    if (!exchange->head_received) {
        /* Other connections may have gone silent with this one. */
        drop_all_idle(exchange->pool);
    }
    end_exchange(exchange,
                 exchange->is_rejected ? Bck_REJECTED : Bck_INTERRUPTED,
                 false);
}

static struct event *
start_timer(BackendExchange *exchange, Span wait, event_callback_fn call)
{
    struct timeval after = {wait / 1000000, wait % 1000000};
    struct event *timer = evtimer_new(exchange->pool->base, call, exchange);

    evtimer_add(timer, &after);
    return timer;
}

void
Bck_PoolInit(BackendPool *pool, struct event_base *base, BackendClock clock,
             const BackendHeaderNames *names)
{
    *pool =
        (BackendPool){.base = base, .clock = clock, .header_names = *names};
    pool->close_event = event_new(base, -1, 0, close_retired, pool);
}

void
Bck_PoolFinish(BackendPool *pool)
{
    close_all(&pool->idle);
    close_all(&pool->closing);
    StrBuf_Finish(&pool->expected_instance);
    event_free(pool->close_event);
}

void
Bck_SetAddr(BackendPool *pool, Addr addr, Str instance)
{
    if (pool->addr != addr ||
        !Str_Equal(StrBuf_View(&pool->expected_instance), instance)) {
        pool->addr = addr;
        StrBuf_Set(&pool->expected_instance, instance);
        drop_all_idle(pool);
    }
}

void
Bck_SetLoadCallback(BackendPool *pool,
                    void (*load)(void *context, Str text, Instant now),
                    void *context)
{
    pool->on_load = load;
    pool->on_load_context = context;
}

/* No answer of the backend server is awaited for ever. */
static Span
bound_of(const BackendRequest *request)
{
    return (request->time_left > 0 ? request->time_left : 0) +
           (request->is_internal ? 0 : GRACE);
}

BackendExchange *
Bck_Start(BackendPool *pool, const BackendRequest *request,
          const BackendCallbacks *sink)
{
    BackendExchange *exchange;

    if (pool->addr == Addr_NONE) {
        return NULL;
    }
    exchange = Mem_Alloc(1, sizeof *exchange);
    exchange->pool = pool;
    exchange->request = *request;
    exchange->deadline = pool->clock() + request->time_left;
    exchange->callbacks = *sink;
    exchange->timeout_timer =
        start_timer(exchange, bound_of(request), on_bound);
    send_over(exchange, take_connection(pool, pool->clock()));
    if (request->resend_after && exchange->connection->has_completed) {
        exchange->resend_timer =
            start_timer(exchange, request->resend_after, on_repeat);
    }
    return exchange;
}

void
Bck_Cancel(BackendExchange *exchange)
{
    BackendPool *pool = exchange->pool;

    retire(pool, exchange->connection);
    if (!exchange->head_received) {
        /* Other connections may have gone silent with this one. */
        drop_all_idle(pool);
    }
    free_exchange(exchange);
}

void
Bck_Pause(BackendExchange *exchange)
{
    exchange->paused = true;
    bufferevent_disable(exchange->connection->bev, EV_READ);
}

void
Bck_Resume(BackendExchange *exchange)
{
    if (exchange->paused) {
        exchange->paused = false;
        bufferevent_enable(exchange->connection->bev, EV_READ);
    }
}
