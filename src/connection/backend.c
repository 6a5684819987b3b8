#include "connection/backend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <sys/socket.h>

#include "connection/evtext.h"
#include "value/mem.h"

enum { HEADER_BYTES_MAX = 64 * 1024, OK = 200, PART_BYTES = 4096 };

/* Idle connections that are older are not used again: the backend server may
 * be closing them. */
#define IDLE_MAX Span_S(1)

/* Given on top of the deadline, within which the caller's node cancels. */
#define GRACE Span_MS(500)

struct BckConnection {
    struct evhttp_connection *http;
    Addr addr;
    bool used; /* an exchange ended well over it */
    Instant idle_since;
    BckConnection *next;
};

struct BckExchange {
    BckPool *pool;
    BckConnection *connection;
    struct evhttp_request *request;
    struct evbuffer_cb_entry *tap; /* on what comes in; NULL: none */
    BckRequest from;
    enum evhttp_cmd_type method;
    struct event *repeater; /* NULL: not to be repeated */
    struct event *pauser;   /* evhttp reads on after a callback: pause later */
    bool paused;
    BckSink sink;
    bool starting; /* inside Bck_Start */
    bool ended;    /* while starting */
    bool reached;  /* the request may have reached the backend server */
    bool answered; /* the answer's head came */
};

static BckConnection *
open_connection(BckPool *pool)
{
    BckConnection *connection = Mem_Alloc(1, sizeof *connection);
    StrBuf ip = {0};

    Addr_PrintIp(pool->addr, &ip);
    connection->addr = pool->addr;
    connection->http = evhttp_connection_base_new(
        pool->base, NULL, StrBuf_CStr(&ip), Addr_Port(pool->addr));
    evhttp_connection_set_max_headers_size(connection->http, HEADER_BYTES_MAX);
    StrBuf_Finish(&ip);
    return connection;
}

static void
close_connection(BckConnection *connection)
{
    evhttp_connection_free(connection->http);
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

/* evhttp still uses a connection while it reports its failure. */
static void
retire(BckPool *pool, BckConnection *connection)
{
    connection->next = pool->retired;
    pool->retired = connection;
    event_active(pool->closer, EV_TIMEOUT, 0);
}

/* Still open at the other end, and nothing came that nobody asked for. */
static bool
is_open(const BckConnection *connection)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(connection->http);
    int fd = stream ? bufferevent_getfd(stream) : -1;
    char byte;

    return fd >= 0 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
}

static BckConnection *
take_connection(BckPool *pool, Instant now)
{
    BckConnection *connection;

    while ((connection = pool->idle)) {
        pool->idle = connection->next;
        if (connection->addr == pool->addr &&
            now - connection->idle_since < IDLE_MAX && is_open(connection)) {
            return connection;
        }
        close_connection(connection);
    }
    return open_connection(pool);
}

/* A length beside chunks counts for nothing (RFC 9112, section 6.3). */
static void
drop_length(FieldList *fields)
{
    size_t kept = 0;

    for (size_t i = 0; i < fields->count; i++) {
        if (!Str_EqualNoCase(fields->items[i].name,
                             Str_LIT("Content-Length"))) {
            fields->items[kept++] = fields->items[i];
        }
    }
    fields->count = kept;
}

static struct evbuffer *
input_of(const BckExchange *exchange)
{
    return bufferevent_get_input(
        evhttp_connection_get_bufferevent(exchange->connection->http));
}

/* evhttp hands a chunk over when all of it came.  Take the part that is here
 * already, so that a large chunk is not kept in memory as a whole. */
static void
take_part(struct evbuffer *input, const struct evbuffer_cb_info *info,
          void *context)
{
    BckExchange *exchange = context;
    struct evhttp_request *request = exchange->request;
    size_t len = evbuffer_get_length(input);

    if (info->n_added == 0 || request->ntoread <= PART_BYTES ||
        len < PART_BYTES || (ev_int64_t)len >= request->ntoread) {
        return;
    }
    request->ntoread -= (ev_int64_t)len;
    exchange->sink.bytes(exchange->sink.context, Evt_View(input));
    evbuffer_drain(input, len);
}

static void
stop_tapping(BckExchange *exchange)
{
    if (exchange->tap) {
        evbuffer_remove_cb_entry(input_of(exchange), exchange->tap);
        exchange->tap = NULL;
    }
}

static void
stop_repeater(BckExchange *exchange)
{
    if (exchange->repeater) {
        event_free(exchange->repeater);
        exchange->repeater = NULL;
    }
}

static int
on_head(struct evhttp_request *request, void *context)
{
    BckExchange *exchange = context;
    int status = evhttp_request_get_response_code(request);
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    FieldList fields;

    exchange->reached = true;
    if (status < OK) {
        return 0; /* interim: the answer's own head follows */
    }
    if (!Evt_ReadFields(headers, &fields)) {
        return -1;
    }
    if (evhttp_find_header(headers, "Transfer-Encoding")) {
        drop_length(&fields);
        exchange->tap =
            evbuffer_add_cb(input_of(exchange), take_part, exchange);
    }
    exchange->answered = true;
    stop_repeater(exchange);
    exchange->sink.head(exchange->sink.context, (uint16_t)status, &fields);
    return 0;
}

static void
on_bytes(struct evhttp_request *request, void *context)
{
    BckExchange *exchange = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    Str bytes = Evt_View(input);

    if (bytes.len) {
        exchange->sink.bytes(exchange->sink.context, bytes);
    }
}

static void
free_exchange(BckExchange *exchange)
{
    stop_repeater(exchange);
    event_free(exchange->pauser);
    Mem_Free(exchange);
}

static void
keep_connection(BckPool *pool, BckConnection *connection)
{
    connection->used = true;
    connection->idle_since = pool->clock();
    connection->next = pool->idle;
    pool->idle = connection;
}

static void
on_end(struct evhttp_request *request, void *context)
{
    BckExchange *exchange = context;
    BckPool *pool = exchange->pool;
    BckSink sink = exchange->sink;
    bool whole = request && exchange->answered;
    BckEnd end = exchange->reached ? Bck_CUT : Bck_UNREACHED;

    if (exchange->starting) {
        exchange->ended = true;
        return;
    }
    stop_tapping(exchange);
    if (whole) {
        keep_connection(pool, exchange->connection);
        end = Bck_WHOLE;
    }
    else {
        retire(pool, exchange->connection);
    }
    free_exchange(exchange);
    sink.end(sink.context, end);
}

/* Called for every failure but one to connect. */
static void
on_error(enum evhttp_request_error error, void *context)
{
    BckExchange *exchange = context;

    exchange->reached = true;
    if (error == EVREQ_HTTP_TIMEOUT) {
        /* Other connections may have gone silent with this one. */
        close_all(&exchange->pool->idle);
    }
}

void
Bck_PoolInit(BckPool *pool, struct event_base *base, BckClock clock)
{
    *pool = (BckPool){.base = base, .clock = clock};
    pool->closer = event_new(base, -1, 0, close_retired, pool);
}

void
Bck_PoolFinish(BckPool *pool)
{
    close_all(&pool->idle);
    close_all(&pool->retired);
    event_free(pool->closer);
}

void
Bck_SetAddr(BckPool *pool, Addr addr)
{
    if (pool->addr != addr) {
        pool->addr = addr;
        close_all(&pool->idle);
    }
}

static struct evhttp_request *
build_request(BckExchange *exchange, const BckRequest *from)
{
    struct evhttp_request *request = evhttp_request_new(on_end, exchange);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    StrBuf number = {0};

    evhttp_request_set_header_cb(request, on_head);
    evhttp_request_set_chunked_cb(request, on_bytes);
    evhttp_request_set_error_cb(request, on_error);
    for (size_t i = 0; i < from->fields.count; i++) {
        const Field *field = &from->fields.items[i];
        if (!Str_EqualNoCase(field->name, Str_LIT("Content-Length"))) {
            Evt_AddField(headers, field->name, field->value);
        }
    }
    StrBuf_AppendFmt(&number, "%lld", (long long)(from->left / 1000));
    Evt_AddField(headers, Str_LIT("X-Lycheeridge-Deadline-Ms"),
                 StrBuf_View(&number));
    StrBuf_Finish(&number);
    evbuffer_add(evhttp_request_get_output_buffer(request), from->body.ptr,
                 from->body.len);
    return request;
}

static void
do_pause(evutil_socket_t fd, short what, void *context)
{
    BckExchange *exchange = context;

    (void)fd;
    (void)what;
    if (exchange->paused) {
        bufferevent_disable(
            evhttp_connection_get_bufferevent(exchange->connection->http),
            EV_READ);
    }
}

static BckExchange *
add_exchange(BckPool *pool, const BckRequest *request, const BckSink *sink)
{
    BckExchange *exchange = Mem_Alloc(1, sizeof *exchange);

    exchange->pool = pool;
    exchange->from = *request;
    exchange->sink = *sink;
    exchange->pauser = event_new(pool->base, -1, 0, do_pause, exchange);
    return exchange;
}

/* Send the request over the exchange's connection. */
static bool
make_request(BckExchange *exchange)
{
    struct evhttp_connection *http = exchange->connection->http;
    Span wait = exchange->from.left + GRACE;
    struct timeval bound = {wait / 1000000, wait % 1000000};
    StrBuf target = {0};
    bool made;

    exchange->starting = true;
    exchange->request = build_request(exchange, &exchange->from);
    evhttp_connection_set_timeout_tv(http, &bound);
    StrBuf_Set(&target, exchange->from.target);
    made = evhttp_make_request(http, exchange->request, exchange->method,
                               StrBuf_CStr(&target)) == 0;
    StrBuf_Finish(&target);
    exchange->starting = false;
    return made && !exchange->ended;
}

static void
on_repeat(evutil_socket_t fd, short what, void *context)
{
    BckExchange *exchange = context;
    BckPool *pool = exchange->pool;
    BckSink sink = exchange->sink;

    (void)fd;
    (void)what;
    stop_repeater(exchange);
    stop_tapping(exchange);
    evhttp_cancel_request(exchange->request);
    retire(pool, exchange->connection);
    close_all(&pool->idle);
    exchange->connection = open_connection(pool);
    if (!make_request(exchange)) {
        retire(pool, exchange->connection);
        free_exchange(exchange);
        sink.end(sink.context, Bck_CUT);
    }
}

static void
start_repeater(BckExchange *exchange)
{
    Span wait = exchange->from.repeat_after;
    struct timeval after = {wait / 1000000, wait % 1000000};

    if (wait && exchange->connection->used) {
        exchange->repeater =
            evtimer_new(exchange->pool->base, on_repeat, exchange);
        evtimer_add(exchange->repeater, &after);
    }
}

BckExchange *
Bck_Start(BckPool *pool, const BckRequest *request, const BckSink *sink)
{
    enum evhttp_cmd_type method;
    BckExchange *exchange;

    if (!Evt_ParseMethod(request->method, &method) ||
        pool->addr == Addr_NONE) {
        return NULL;
    }
    exchange = add_exchange(pool, request, sink);
    exchange->method = method;
    exchange->connection = take_connection(pool, pool->clock());
    if (!make_request(exchange)) {
        retire(pool, exchange->connection);
        free_exchange(exchange);
        return NULL;
    }
    start_repeater(exchange);
    return exchange;
}

void
Bck_Cancel(BckExchange *exchange)
{
    BckPool *pool = exchange->pool;

    stop_tapping(exchange);
    evhttp_cancel_request(exchange->request);
    retire(pool, exchange->connection);
    if (!exchange->answered) {
        /* Other connections may have gone silent with this one. */
        close_all(&pool->idle);
    }
    free_exchange(exchange);
}

void
Bck_Pause(BckExchange *exchange)
{
    exchange->paused = true;
    event_active(exchange->pauser, EV_TIMEOUT, 0);
}

void
Bck_Resume(BckExchange *exchange)
{
    if (exchange->paused) {
        exchange->paused = false;
        bufferevent_enable(
            evhttp_connection_get_bufferevent(exchange->connection->http),
            EV_READ);
    }
}
