#include "connection/backend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "connection/evtext.h"
#include "value/mem.h"

struct BckConnection {
    struct evhttp_connection *http;
    Addr addr;
    bool used; /* an exchange ended well over it */
    BckConnection *next;
};

struct BckExchange {
    BckPool *pool;
    BckConnection *connection;
    struct evhttp_request *request;
    BckSink sink;
    bool connected; /* the request may have reached the backend server */
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
    evhttp_connection_set_max_headers_size(connection->http, 64 * 1024);
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
close_later(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    close_connection(context);
}

/* evhttp still uses a connection while it reports its failure. */
static void
retire(BckPool *pool, BckConnection *connection)
{
    struct timeval at_once = {0};

    event_base_once(pool->base, -1, EV_TIMEOUT, close_later, connection,
                    &at_once);
}

static BckConnection *
take_connection(BckPool *pool)
{
    BckConnection *connection;

    while ((connection = pool->idle)) {
        pool->idle = connection->next;
        if (connection->addr == pool->addr) {
            return connection;
        }
        close_connection(connection);
    }
    return open_connection(pool);
}

static int
on_head(struct evhttp_request *request, void *context)
{
    BckExchange *exchange = context;
    FieldList fields;

    exchange->connected = true;
    if (!Evt_ReadFields(evhttp_request_get_input_headers(request), &fields)) {
        return -1;
    }
    exchange->sink.head(exchange->sink.context,
                        (uint16_t)evhttp_request_get_response_code(request),
                        &fields);
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
on_end(struct evhttp_request *request, void *context)
{
    BckExchange *exchange = context;
    BckPool *pool = exchange->pool;
    BckConnection *connection = exchange->connection;
    BckSink sink = exchange->sink;
    bool whole = request && evhttp_request_get_response_code(request) > 0;
    bool connected = exchange->connected;

    Mem_Free(exchange);
    if (whole) {
        connection->used = true;
        connection->next = pool->idle;
        pool->idle = connection;
        sink.end(sink.context, Bck_WHOLE);
        return;
    }
    retire(pool, connection);
    sink.end(sink.context, connected ? Bck_CUT : Bck_UNREACHED);
}

/* Any failure but one while connecting may follow a request that ran. */
static void
on_error(enum evhttp_request_error error, void *context)
{
    BckExchange *exchange = context;
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(exchange->connection->http);

    (void)error;
    if (stream && bufferevent_getfd(stream) >= 0 &&
        !(bufferevent_get_enabled(stream) & EV_READ)) {
        return;
    }
    exchange->connected = true;
}

void
Bck_PoolInit(BckPool *pool, struct event_base *base)
{
    *pool = (BckPool){.base = base};
}

static void
close_idle(BckPool *pool)
{
    BckConnection *connection;

    while ((connection = pool->idle)) {
        pool->idle = connection->next;
        close_connection(connection);
    }
}

void
Bck_PoolFinish(BckPool *pool)
{
    close_idle(pool);
}

void
Bck_SetAddr(BckPool *pool, Addr addr)
{
    if (pool->addr != addr) {
        pool->addr = addr;
        close_idle(pool);
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

BckExchange *
Bck_Start(BckPool *pool, const BckRequest *request, const BckSink *sink)
{
    enum evhttp_cmd_type method;
    BckExchange *exchange;
    StrBuf target = {0};
    bool made;

    if (!Evt_ParseMethod(request->method, &method) ||
        pool->addr == Addr_NONE) {
        return NULL;
    }
    exchange = Mem_Alloc(1, sizeof *exchange);
    exchange->pool = pool;
    exchange->sink = *sink;
    exchange->connection = take_connection(pool);
    exchange->connected = exchange->connection->used;
    exchange->request = build_request(exchange, request);
    StrBuf_Set(&target, request->target);
    made = evhttp_make_request(exchange->connection->http, exchange->request,
                               method, StrBuf_CStr(&target)) == 0;
    StrBuf_Finish(&target);
    if (!made) {
        retire(pool, exchange->connection);
        Mem_Free(exchange);
        return NULL;
    }
    return exchange;
}

void
Bck_Cancel(BckExchange *exchange)
{
    evhttp_cancel_request(exchange->request);
    retire(exchange->pool, exchange->connection);
    Mem_Free(exchange);
}

void
Bck_Pause(BckExchange *exchange)
{
    bufferevent_disable(
        evhttp_connection_get_bufferevent(exchange->connection->http),
        EV_READ);
}

void
Bck_Resume(BckExchange *exchange)
{
    bufferevent_enable(
        evhttp_connection_get_bufferevent(exchange->connection->http),
        EV_READ);
}
