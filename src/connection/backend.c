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

struct BckConnection {
    BckPool *pool;
    struct bufferevent *stream;
    Hrd reader;
    Addr addr;
    bool used;    /* an exchange ended well over it */
    bool reached; /* it was made */
    bool names;   /* answers over it name their requests */
    Instant idle_since;
    Span idle_max;
    BckExchange *exchange; /* NULL: idle, or to be closed */
    BckConnection *next;
};

struct BckExchange {
    BckPool *pool;
    BckConnection *connection;
    BckRequest from;
    Instant deadline;       /* of the request */
    struct event *repeater; /* NULL: not to be repeated */
    struct event *bound;    /* of the whole exchange */
    bool paused;
    BckSink sink;
    bool answered;  /* the answer's head came */
    bool foreign;   /* what is read now answers another request */
    bool interim;   /* it is an answer before the answer */
    bool rejected;  /* it says that the request did not run */
    size_t read;    /* bytes that came for it */
    size_t passed;  /* of these, to the sink */
    bool keep_open; /* as the answer says */
};

static void
close_connection(BckConnection *connection)
{
    bufferevent_free(connection->stream);
    Hrd_Finish(&connection->reader);
    Mem_Free(connection);
}

static void
close_all(BckConnection **list)
{
    BckConnection *connection;

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
    close_all(&((BckPool *)context)->retired);
}

/* A connection is closed from the loop: its reader may be on the stack. */
static void
retire(BckPool *pool, BckConnection *connection)
{
    connection->exchange = NULL;
    bufferevent_disable(connection->stream, EV_READ | EV_WRITE);
    connection->next = pool->retired;
    pool->retired = connection;
    event_active(pool->closer, EV_TIMEOUT, 0);
}

static void
drop_idle(BckConnection *connection)
{
    BckConnection **at = &connection->pool->idle;

    while (*at && *at != connection) {
        at = &(*at)->next;
    }
    if (*at) {
        *at = connection->next;
        retire(connection->pool, connection);
    }
}

static void
drop_all_idle(BckPool *pool)
{
    while (pool->idle) {
        drop_idle(pool->idle);
    }
}

static void
free_exchange(BckExchange *exchange)
{
    if (exchange->repeater) {
        event_free(exchange->repeater);
    }
    event_free(exchange->bound);
    Mem_Free(exchange);
}

/* The exchange is over; its connection stays open, or is closed. */
static void
end_exchange(BckExchange *exchange, BckEnd end, bool keep)
{
    BckPool *pool = exchange->pool;
    BckConnection *connection = exchange->connection;
    BckSink sink = exchange->sink;

    if (keep) {
        connection->exchange = NULL;
        connection->used = true;
        connection->idle_since = pool->clock();
        connection->next = pool->idle;
        pool->idle = connection;
        bufferevent_enable(connection->stream, EV_READ);
    }
    else {
        retire(pool, connection);
    }
    free_exchange(exchange);
    sink.end(sink.context, end);
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
forward_fields(const HrdHead *head, FieldList *fields)
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
whose_is(const BckExchange *exchange, const HrdHead *head)
{
    Str name = exchange->pool->names.request_id;
    Str echoed = name.len ? Field_Get(&head->fields, name) : (Str){0};

    if (!echoed.len ||
        (!exchange->from.request_id.len && !exchange->from.plain)) {
        return UNNAMED;
    }
    return Str_Equal(echoed, exchange->from.request_id) ? OWN : ANOTHERS;
}

static void
take_head(BckExchange *exchange, const HrdHead *head)
{
    BckPool *pool = exchange->pool;
    const FieldList *all = &head->fields;
    Span idle = keep_alive_of(all);
    FieldList fields;

    exchange->answered = true;
    exchange->keep_open = head->keep_alive;
    if (idle) {
        /* Half of it: the other side counts from an earlier moment. */
        exchange->connection->idle_max = idle / 2;
    }
    if (exchange->repeater) {
        event_free(exchange->repeater);
        exchange->repeater = NULL;
    }
    if (pool->load && says(all, pool->names.load)) {
        pool->load(pool->load_context, Field_Get(all, pool->names.load),
                   pool->clock());
    }
    exchange->rejected =
        !exchange->from.plain &&
        (says(all, pool->names.not_run) ||
         (head->status == MISDIRECTED && pool->names.expect.len));
    if (exchange->rejected && !exchange->connection->names) {
        /* Said once more, it would be taken for the next one's. */
        exchange->keep_open = false;
    }
    if (!exchange->rejected) {
        if (!exchange->from.plain) {
            /* Who takes the answer bounds it from here on. */
            evtimer_del(exchange->bound);
        }
        forward_fields(head, &fields);
        exchange->sink.head(exchange->sink.context, head->status, &fields);
    }
}

static bool
on_head(void *context, const HrdHead *head)
{
    BckConnection *connection = context;
    BckExchange *exchange = connection->exchange;
    Whose whose;

    if (!exchange) {
        return false;
    }
    exchange->interim = head->status < OK;
    if (exchange->interim) {
        return true;
    }
    whose = whose_is(exchange, head);
    if (whose == UNNAMED && connection->names && !exchange->from.plain) {
        return false; /* it may be an earlier one's, once more */
    }
    connection->names |= whose == OWN;
    exchange->foreign = whose == ANOTHERS;
    if (!exchange->foreign) {
        take_head(exchange, head);
    }
    return connection->exchange == exchange;
}

static bool
on_bytes(void *context, Str bytes)
{
    BckConnection *connection = context;
    BckExchange *exchange = connection->exchange;

    if (!exchange) {
        return false;
    }
    if (!exchange->foreign && !exchange->rejected && bytes.len) {
        exchange->passed += bytes.len;
        exchange->sink.bytes(exchange->sink.context, bytes);
    }
    return connection->exchange == exchange;
}

/* A message ended; false when another one is to be read. */
static bool
take_end(BckExchange *exchange)
{
    struct bufferevent *stream = exchange->connection->stream;
    bool clean = evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
                 evbuffer_get_length(bufferevent_get_output(stream)) == 0;

    if (exchange->interim || exchange->foreign) {
        exchange->interim = false;
        exchange->foreign = false;
        return false;
    }
    end_exchange(exchange, exchange->rejected ? Bck_REJECTED : Bck_WHOLE,
                 exchange->keep_open && clean);
    return true;
}

static BckEnd
end_of_failed(const BckExchange *exchange)
{
    if (exchange->rejected) {
        return Bck_REJECTED; /* its head has said so */
    }
    return exchange->connection->reached ? Bck_CUT : Bck_UNREACHED;
}

static void
fail(BckConnection *connection)
{
    BckExchange *exchange = connection->exchange;

    if (exchange) {
        end_exchange(exchange, end_of_failed(exchange), false);
    }
    else {
        drop_idle(connection);
    }
}

static bool
is_wasted(const BckExchange *exchange)
{
    return exchange->read >
           WASTE_BYTES_MAX + exchange->passed * (1 + WASTE_FACTOR);
}

static void
on_read(struct bufferevent *stream, void *context)
{
    BckConnection *connection = context;
    struct evbuffer *input = bufferevent_get_input(stream);

    while (evbuffer_get_length(input) > 0) {
        BckExchange *exchange = connection->exchange;
        HrdState state;
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
        exchange->read += before - evbuffer_get_length(input);
        if (state == Hrd_BAD || is_wasted(exchange)) {
            fail(connection);
            return;
        }
        if (state == Hrd_MORE || take_end(exchange)) {
            return;
        }
    }
}

static void
on_event(struct bufferevent *stream, short what, void *context)
{
    BckConnection *connection = context;
    BckExchange *exchange = connection->exchange;

    if (what & BEV_EVENT_CONNECTED) {
        connection->reached = true;
        return;
    }
    if (what & BEV_EVENT_EOF && exchange) {
        on_read(stream, connection);
        if (connection->exchange != exchange) {
            return;
        }
        if (exchange->answered && !exchange->foreign &&
            Hrd_Close(&connection->reader) == Hrd_END) {
            exchange->keep_open = false;
            take_end(exchange);
            return;
        }
    }
    fail(connection);
}

static BckConnection *
open_connection(BckPool *pool)
{
    BckConnection *connection = Mem_Alloc(1, sizeof *connection);
    HrdSink sink = {connection, on_head, on_bytes};
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(Addr_Port(pool->addr))};
    StrBuf ip = {0};
    int on = 1;

    Addr_PrintIp(pool->addr, &ip);
    inet_pton(AF_INET, StrBuf_CStr(&ip), &name.sin_addr);
    StrBuf_Finish(&ip);
    connection->pool = pool;
    connection->addr = pool->addr;
    connection->idle_max = IDLE_MAX;
    Hrd_Init(&connection->reader, Hrd_ANSWERS, &sink, HEADER_BYTES_MAX);
    connection->stream =
        bufferevent_socket_new(pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection->stream, on_read, NULL, on_event, connection);
    bufferevent_socket_connect(connection->stream, (struct sockaddr *)&name,
                               sizeof name);
    setsockopt(bufferevent_getfd(connection->stream), IPPROTO_TCP, TCP_NODELAY,
               &on, sizeof on);
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
    return connection;
}

/* Still open at the other end, and nothing came that nobody asked for. */
static bool
is_open(const BckConnection *connection)
{
    char byte;

    return recv(bufferevent_getfd(connection->stream), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0;
}

static BckConnection *
take_connection(BckPool *pool, Instant now)
{
    BckConnection *connection;

    while ((connection = pool->idle)) {
        if (connection->addr == pool->addr &&
            now - connection->idle_since < connection->idle_max &&
            is_open(connection)) {
            pool->idle = connection->next;
            return connection;
        }
        drop_idle(connection);
    }
    return open_connection(pool);
}

static void
write_request(const BckExchange *exchange)
{
    const BckRequest *from = &exchange->from;
    const BckNames *names = &exchange->pool->names;
    Str instance = StrBuf_View(&exchange->pool->instance);
    struct evbuffer *out =
        bufferevent_get_output(exchange->connection->stream);
    long long left_ms = from->left > 0 ? from->left / 1000 : 0;

    evbuffer_add_printf(out, "%.*s %.*s HTTP/1.1\r\n", Str_ARG(from->method),
                        Str_ARG(from->target));
    for (size_t i = 0; i < from->fields.count; i++) {
        const Field *field = &from->fields.items[i];
        if (!Str_EqualNoCase(field->name, Str_LIT("Content-Length"))) {
            evbuffer_add_printf(out, "%.*s: %.*s\r\n", Str_ARG(field->name),
                                Str_ARG(field->value));
        }
    }
    if (names->deadline.len && !from->plain) {
        evbuffer_add_printf(out, "%.*s: %lld\r\n", Str_ARG(names->deadline),
                            left_ms);
    }
    if (names->expect.len && instance.len && !from->plain) {
        evbuffer_add_printf(out, "%.*s: %.*s\r\n", Str_ARG(names->expect),
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
send_over(BckExchange *exchange, BckConnection *connection)
{
    exchange->connection = connection;
    connection->exchange = exchange;
    connection->reader.no_body =
        Str_Equal(exchange->from.method, Str_LIT("HEAD"));
    write_request(exchange);
}

static void
on_repeat(evutil_socket_t fd, short what, void *context)
{
    BckExchange *exchange = context;
    BckPool *pool = exchange->pool;

    (void)fd;
    (void)what;
    event_free(exchange->repeater);
    exchange->repeater = NULL;
    retire(pool, exchange->connection);
    drop_all_idle(pool);
    exchange->from.left = exchange->deadline - pool->clock();
    send_over(exchange, open_connection(pool));
}

static void
on_bound(evutil_socket_t fd, short what, void *context)
{
    BckExchange *exchange = context;

    (void)fd;
    (void)what;
    if (!exchange->answered) {
        /* Other connections may have gone silent with this one. */
        drop_all_idle(exchange->pool);
    }
    end_exchange(exchange, exchange->rejected ? Bck_REJECTED : Bck_CUT, false);
}

static struct event *
start_timer(BckExchange *exchange, Span wait, event_callback_fn call)
{
    struct timeval after = {wait / 1000000, wait % 1000000};
    struct event *timer = evtimer_new(exchange->pool->base, call, exchange);

    evtimer_add(timer, &after);
    return timer;
}

void
Bck_PoolInit(BckPool *pool, struct event_base *base, BckClock clock,
             const BckNames *names)
{
    *pool = (BckPool){.base = base, .clock = clock, .names = *names};
    pool->closer = event_new(base, -1, 0, close_retired, pool);
}

void
Bck_PoolFinish(BckPool *pool)
{
    close_all(&pool->idle);
    close_all(&pool->retired);
    StrBuf_Finish(&pool->instance);
    event_free(pool->closer);
}

void
Bck_SetAddr(BckPool *pool, Addr addr, Str instance)
{
    if (pool->addr != addr ||
        !Str_Equal(StrBuf_View(&pool->instance), instance)) {
        pool->addr = addr;
        StrBuf_Set(&pool->instance, instance);
        drop_all_idle(pool);
    }
}

void
Bck_OnLoad(BckPool *pool, void (*load)(void *context, Str text, Instant now),
           void *context)
{
    pool->load = load;
    pool->load_context = context;
}

/* No answer of the backend server is awaited for ever. */
static Span
bound_of(const BckRequest *request)
{
    return (request->left > 0 ? request->left : 0) +
           (request->plain ? 0 : GRACE);
}

BckExchange *
Bck_Start(BckPool *pool, const BckRequest *request, const BckSink *sink)
{
    BckExchange *exchange;

    if (pool->addr == Addr_NONE) {
        return NULL;
    }
    exchange = Mem_Alloc(1, sizeof *exchange);
    exchange->pool = pool;
    exchange->from = *request;
    exchange->deadline = pool->clock() + request->left;
    exchange->sink = *sink;
    exchange->bound = start_timer(exchange, bound_of(request), on_bound);
    send_over(exchange, take_connection(pool, pool->clock()));
    if (request->repeat_after && exchange->connection->used) {
        exchange->repeater =
            start_timer(exchange, request->repeat_after, on_repeat);
    }
    return exchange;
}

void
Bck_Cancel(BckExchange *exchange)
{
    BckPool *pool = exchange->pool;

    retire(pool, exchange->connection);
    if (!exchange->answered) {
        /* Other connections may have gone silent with this one. */
        drop_all_idle(pool);
    }
    free_exchange(exchange);
}

void
Bck_Pause(BckExchange *exchange)
{
    exchange->paused = true;
    bufferevent_disable(exchange->connection->stream, EV_READ);
}

void
Bck_Resume(BckExchange *exchange)
{
    if (exchange->paused) {
        exchange->paused = false;
        bufferevent_enable(exchange->connection->stream, EV_READ);
    }
}
