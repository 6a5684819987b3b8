#include "connection/backend.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "connection/carried.h"
#include "connection/delivery.h"
#include "connection/httpread.h"
#include "connection/httprule.h"
#include "value/mem.h"

/* Limit on the bytes that are read and discarded for one exchange: interim
 * answers, answers to other requests, and bodies of rejections.  The factor
 * allows for the overhead of chunks of one byte each. */
enum { DISCARDED_BYTES_MAX = 1024 * 1024, DISCARDED_PER_BODY_BYTE = 8 };

/* Shorter bodies are copied to be sent. */
enum { IN_PLACE_BYTES_MIN = 64 * 1024 };

enum {
    HEADER_BYTES_MAX = 64 * 1024,
    OK = 200,
    NO_CONTENT = 204,
    MISDIRECTED = 421,
    SERVER_ERROR_MIN = 500
};

/* A connection that was idle for longer is not reused: the backend server
 * may be closing it. */
#define IDLE_TIMEOUT Span_S(1)

/* After one part in 2 of resend_after without an answer, new requests no
 * longer use the idle connections: they may be lost too, and their answers
 * over new ones show whether the backend server is slow. */
enum { SUSPECTED_DIVISOR = 2 };

/* How often an unanswered request is looked at again. */
#define RESEND_CHECK_INTERVAL Span_MS(50)

/* Added to the deadline: within this time the node of the caller cancels. */
#define CANCEL_GRACE Span_MS(500)

struct BackendConnection {
    BackendPool *pool;
    struct bufferevent *bev;
    HttpReader reader;
    Addr addr;
    bool has_completed; /* an exchange has completed over it */
    bool is_connected;  /* the TCP connection was established */
    CarriedRequests carried;
    Instant idle_since;
    Span idle_timeout;
    BackendExchange *exchange; /* NULL: idle, or to be closed */
    BackendConnection *next;
};

struct BackendExchange {
    BackendPool *pool;
    BackendConnection *connection;
    BackendRequest request;
    Instant deadline;           /* of the request */
    struct event *resend_timer; /* NULL: the request is not resent */
    bool is_suspected;          /* may be lost; counted in the pool's watch */
    bool is_new_send;           /* counted in the pool's watch */
    Instant sent_at;
    uint32_t server_number;      /* of the backend server it was sent to */
    struct event *timeout_timer; /* for the whole exchange */
    bool paused;
    BackendCallbacks callbacks;
    bool head_received; /* the head of the final answer was received */
    bool is_foreign;    /* the answer being read belongs to another request */
    bool is_interim;    /* the answer being read has a 1xx status */
    bool is_rejected;   /* the answer says that the request did not run */
    size_t bytes_read;  /* bytes read for this exchange */
    size_t bytes_forwarded; /* body bytes passed to on_body */
    bool keep_open;         /* the answer permits reuse of the connection */
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
on_close_event(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    close_all(&((BackendPool *)context)->closing);
}

/* Closes the connection from the event loop, because its reader may be on
 * the call stack. */
static void
close_later(BackendPool *pool, BackendConnection *connection)
{
    connection->exchange = NULL;
    bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
    connection->next = pool->closing;
    pool->closing = connection;
    event_active(pool->close_event, EV_TIMEOUT, 0);
}

static void
close_idle(BackendConnection *connection)
{
    BackendConnection **at = &connection->pool->idle;

    while (*at && *at != connection) {
        at = &(*at)->next;
    }
    if (*at) {
        *at = connection->next;
        close_later(connection->pool, connection);
    }
}

static void
close_all_idle(BackendPool *pool)
{
    while (pool->idle) {
        close_idle(pool->idle);
    }
}

static void
drop_resend_timer(BackendExchange *exchange)
{
    if (exchange->resend_timer) {
        event_free(exchange->resend_timer);
        exchange->resend_timer = NULL;
    }
    exchange->pool->silence.suspected -= exchange->is_suspected;
    exchange->is_suspected = false;
}

/* The answer came or is no longer awaited. */
static void
stop_watching(BackendExchange *exchange)
{
    drop_resend_timer(exchange);
    if (exchange->is_new_send) {
        Sil_OnNewEnd(&exchange->pool->silence, exchange->request.work_kind);
        exchange->is_new_send = false;
    }
}

static void
free_exchange(BackendExchange *exchange)
{
    stop_watching(exchange);
    event_free(exchange->timeout_timer);
    Mem_Free(exchange);
}

/* Frees the exchange and reports its result.  KEEP: the connection returns to
 * the pool; else it is closed. */
static void
end_exchange(BackendExchange *exchange, BackendResult result, bool keep)
{
    BackendPool *pool = exchange->pool;
    BackendConnection *connection = exchange->connection;
    BackendCallbacks callbacks = exchange->callbacks;

    if (keep) {
        connection->exchange = NULL;
        connection->has_completed = true;
        connection->idle_since = pool->clock();
        connection->next = pool->idle;
        pool->idle = connection;
        bufferevent_enable(connection->bev, EV_READ);
    }
    else {
        close_later(pool, connection);
    }
    free_exchange(exchange);
    callbacks.on_end(callbacks.context, result);
}

/* Returns the "timeout=N" parameter of Keep-Alive, given in whole seconds; 0
 * if there is none. */
static Span
read_keep_alive_timeout(const FieldList *fields)
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
has_field(const FieldList *fields, Str name)
{
    return name.len && Field_Get(fields, name).len > 0;
}

/* Collects the fields that are forwarded with the answer.  One without content
 * has no Content-Length (RFC 9110, section 8.6). */
static void
forward_fields(const HttpHead *head, FieldList *fields)
{
    Str connection = Field_Get(&head->fields, Str_LIT("Connection"));

    fields->count = 0;
    for (size_t i = 0; i < head->fields.count; i++) {
        const Field *field = &head->fields.items[i];
        bool length = Str_EqualNoCase(field->name, Str_LIT("Content-Length"));
        if (!Field_IsHopByHop(field->name, connection) &&
            !(length && head->status == NO_CONTENT)) {
            Field_Add(fields, field->name, field->value);
        }
    }
}

/* The request that an answer belongs to, by the request id in its head. */
typedef enum { THIS_REQUEST, OTHER_REQUEST, NO_REQUEST_ID } AnswerOwner;

static Str
get_echoed_id(const BackendExchange *exchange, const HttpHead *head)
{
    Str name = exchange->pool->header_names.request_id;

    return name.len ? Field_Get(&head->fields, name) : (Str){0};
}

static AnswerOwner
find_answer_owner(const BackendExchange *exchange, const HttpHead *head)
{
    Str echoed = get_echoed_id(exchange, head);

    if (!echoed.len || (!exchange->request.request_id.len &&
                        !exchange->request.is_internal)) {
        return NO_REQUEST_ID;
    }
    return Str_Equal(echoed, exchange->request.request_id) ? THIS_REQUEST
                                                           : OTHER_REQUEST;
}

/* An error says nothing about how long the work takes. */
static void
report_answer(const BackendExchange *exchange, uint16_t status)
{
    BackendPool *pool = exchange->pool;

    if (status < SERVER_ERROR_MIN &&
        exchange->server_number == pool->server_number) {
        Sil_OnAnswer(&pool->silence, exchange->request.work_kind,
                     exchange->sent_at, exchange->request.resend_after,
                     pool->clock());
    }
}

/* Whether the fields of an answer announce a body. */
static bool
announces_body(const HttpHead *head)
{
    uint64_t len = 0;

    return head->chunked ||
           (Str_ToU64(Field_Get(&head->fields, Str_LIT("Content-Length")),
                      &len) &&
            len > 0);
}

/* Whether more bytes may follow the answer that would be taken for the answer
 * to the next request: a body where there must be none, or a second copy that
 * names no request either. */
static bool
may_be_followed(const BackendExchange *exchange, const HttpHead *head,
                AnswerOwner owner)
{
    return (head->status == NO_CONTENT && announces_body(head)) ||
           (owner != THIS_REQUEST && !(exchange->request.is_internal &&
                                       exchange->pool->names_requests));
}

static void
accept_head(BackendExchange *exchange, const HttpHead *head, AnswerOwner owner)
{
    BackendPool *pool = exchange->pool;
    const FieldList *all = &head->fields;
    Span idle = read_keep_alive_timeout(all);
    FieldList fields;

    exchange->head_received = true;
    exchange->keep_open =
        head->keep_alive && !may_be_followed(exchange, head, owner);
    if (idle) {
        /* Half of the timeout: the backend server counts from an earlier
         * time. */
        exchange->connection->idle_timeout = idle / 2;
    }
    stop_watching(exchange);
    if (pool->on_load && has_field(all, pool->header_names.load)) {
        pool->on_load(pool->on_load_context,
                      Field_Get(all, pool->header_names.load), pool->clock());
    }
    exchange->is_rejected = !exchange->request.is_internal &&
                            (has_field(all, pool->header_names.not_run) ||
                             (head->status == MISDIRECTED &&
                              pool->header_names.expected_instance.len));
    if (!exchange->is_rejected) {
        if (!exchange->request.is_internal) {
            report_answer(exchange, head->status);
            /* From here on, the receiver of the answer limits its time. */
            evtimer_del(exchange->timeout_timer);
        }
        forward_fields(head, &fields);
        exchange->callbacks.on_head(exchange->callbacks.context, head->status,
                                    &fields);
    }
}

/* Whether an answer that names no request may be a second copy of one to an
 * earlier request. */
static bool
may_be_copy(const BackendExchange *exchange)
{
    return !exchange->request.is_internal &&
           exchange->connection->has_completed;
}

/* Begins to discard an answer to another request.  Returns false if where it
 * ends isn't known: it may be to a HEAD request. */
static bool
begin_foreign(const BackendExchange *exchange, const HttpHead *head)
{
    BackendConnection *connection = exchange->connection;
    AnswerFraming framing =
        Car_FindFraming(&connection->carried, get_echoed_id(exchange, head));

    connection->reader.skip_body = framing == Car_NO_BODY;
    return framing != Car_UNKNOWN;
}

static bool
on_head(void *context, const HttpHead *head)
{
    BackendConnection *connection = context;
    BackendExchange *exchange = connection->exchange;
    AnswerOwner owner;

    if (!exchange || !Htr_IsAnswer(head)) {
        return false;
    }
    exchange->is_interim = head->status < OK;
    if (exchange->is_interim) {
        return true;
    }
    owner = find_answer_owner(exchange, head);
    exchange->is_foreign = owner == OTHER_REQUEST;
    if (exchange->is_foreign) {
        return begin_foreign(exchange, head);
    }
    if (owner == NO_REQUEST_ID && may_be_copy(exchange)) {
        return false;
    }
    exchange->pool->names_requests |=
        owner == THIS_REQUEST &&
        exchange->server_number == exchange->pool->server_number;
    accept_head(exchange, head, owner);
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

static bool
is_head_request(const BackendRequest *request)
{
    return Str_Equal(request->method, Str_LIT("HEAD"));
}

/* The next answer over the connection is the one to the request. */
static void
expect_answer(const BackendExchange *exchange)
{
    exchange->connection->reader.skip_body =
        is_head_request(&exchange->request);
}

/* Handles the end of a message.  Returns false if the answer to this request
 * is still to come. */
static bool
finish_message(BackendExchange *exchange)
{
    struct bufferevent *stream = exchange->connection->bev;
    bool clean = evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
                 evbuffer_get_length(bufferevent_get_output(stream)) == 0;

    if (exchange->is_interim || exchange->is_foreign) {
        expect_answer(exchange);
        exchange->is_interim = false;
        exchange->is_foreign = false;
        return false;
    }
    end_exchange(exchange, exchange->is_rejected ? Bck_REJECTED : Bck_COMPLETE,
                 exchange->keep_open && clean);
    return true;
}

static BackendResult
failure_result(const BackendExchange *exchange)
{
    if (exchange->is_rejected) {
        return Bck_REJECTED; /* the head of the answer says so */
    }
    return exchange->connection->is_connected ? Bck_INTERRUPTED
                                              : Bck_CONNECT_FAILED;
}

static void
fail_connection(BackendConnection *connection)
{
    BackendExchange *exchange = connection->exchange;

    if (exchange) {
        end_exchange(exchange, failure_result(exchange), false);
    }
    else {
        close_idle(connection);
    }
}

static bool
discards_too_much(const BackendExchange *exchange)
{
    return exchange->bytes_read >
           DISCARDED_BYTES_MAX +
               exchange->bytes_forwarded * (1 + DISCARDED_PER_BODY_BYTE);
}

static void
on_read(struct bufferevent *stream, void *context)
{
    BackendConnection *connection = context;
    struct evbuffer *input = bufferevent_get_input(stream);

    while (evbuffer_get_length(input) > 0) {
        BackendExchange *exchange = connection->exchange;
        HttpReadStatus status;
        size_t before;
        if (!exchange) {
            close_idle(connection); /* data without a request */
            return;
        }
        before = evbuffer_get_length(input);
        status = Hrd_Feed(&connection->reader, input);
        if (connection->exchange != exchange) {
            return; /* ended or cancelled by a callback */
        }
        exchange->bytes_read += before - evbuffer_get_length(input);
        if (status == Hrd_ERROR || discards_too_much(exchange)) {
            fail_connection(connection);
            return;
        }
        if (status == Hrd_NEEDS_MORE || finish_message(exchange)) {
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
            finish_message(exchange);
            return;
        }
    }
    fail_connection(connection);
}

static BackendConnection *
open_connection(BackendPool *pool)
{
    BackendConnection *connection = Mem_Alloc(1, sizeof *connection);
    HttpReaderCallbacks callbacks = {connection, on_head, on_bytes};
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(Addr_Port(pool->addr))};
    StrBuf ip = {0};
    int on = 1;

    Addr_PrintIp(pool->addr, &ip);
    inet_pton(AF_INET, StrBuf_CStr(&ip), &name.sin_addr);
    StrBuf_Finish(&ip);
    connection->pool = pool;
    connection->addr = pool->addr;
    connection->idle_timeout = IDLE_TIMEOUT;
    Hrd_Init(&connection->reader, Hrd_ANSWERS, &callbacks, HEADER_BYTES_MAX);
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

/* Returns whether the connection is open and has no unexpected input. */
static bool
is_open(const BackendConnection *connection)
{
    char byte;

    return recv(bufferevent_getfd(connection->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0;
}

static bool
is_usable(const BackendConnection *connection, Instant now)
{
    const BackendPool *pool = connection->pool;

    return !pool->silence.suspected && connection->addr == pool->addr &&
           now - connection->idle_since < connection->idle_timeout &&
           is_open(connection);
}

/* A request that is sent a second time uses another connection: a second copy
 * of the answer to the first would name it too. */
static BackendConnection *
get_connection(BackendPool *pool, Str request_id, Instant now)
{
    BackendConnection **at = &pool->idle;
    BackendConnection *connection;

    while ((connection = *at)) {
        if (!is_usable(connection, now)) {
            close_idle(connection);
        }
        else if (Car_Has(&connection->carried, request_id)) {
            at = &connection->next;
        }
        else {
            *at = connection->next;
            return connection;
        }
    }
    return open_connection(pool);
}

/* A large body is not copied: it stays valid until the exchange has ended, and
 * a connection over which it was not sent completely then sends nothing
 * more. */
static void
add_body(struct evbuffer *out, Str body)
{
    if (body.len < IN_PLACE_BYTES_MIN ||
        evbuffer_add_reference(out, body.ptr, body.len, NULL, NULL) < 0) {
        evbuffer_add(out, body.ptr, body.len);
    }
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
    add_body(out, from->body);
}

static void
send_request(BackendExchange *exchange, BackendConnection *connection)
{
    BackendPool *pool = exchange->pool;

    exchange->connection = connection;
    exchange->sent_at = pool->clock();
    exchange->server_number = pool->server_number;
    connection->exchange = exchange;
    expect_answer(exchange);
    Car_Add(&connection->carried, exchange->request.request_id,
            is_head_request(&exchange->request));
    if (!connection->has_completed && !exchange->request.is_internal) {
        exchange->is_new_send = true;
        Sil_OnNewSend(&pool->silence, exchange->request.work_kind);
    }
    write_request(exchange);
}

static SilenceVerdict
decide_silence(const BackendExchange *exchange, Instant now)
{
    UnansweredRequest request = {
        .kind = exchange->request.work_kind,
        .sent_at = exchange->sent_at,
        .is_unacknowledged =
            Dlv_IsUnacknowledged(bufferevent_getfd(exchange->connection->bev)),
    };

    return Sil_Decide(&exchange->pool->silence, &request, now);
}

static bool
may_resend(const BackendPool *pool, bool may_still_run, Instant now)
{
    return !pool->resend_check ||
           pool->resend_check(pool->resend_check_context, may_still_run, now);
}

static void
resend(BackendExchange *exchange, Instant now)
{
    BackendPool *pool = exchange->pool;

    drop_resend_timer(exchange);
    close_later(pool, exchange->connection);
    close_all_idle(pool);
    exchange->request.time_left = exchange->deadline - now;
    send_request(exchange, open_connection(pool));
}

static void
restart_resend_timer(BackendExchange *exchange, Span wait)
{
    Span left = wait > 0 ? wait : 0;
    struct timeval after = {left / 1000000, left % 1000000};

    evtimer_add(exchange->resend_timer, &after);
}

static void
handle_silence(BackendExchange *exchange, Instant now)
{
    SilenceVerdict verdict = decide_silence(exchange, now);

    if (verdict != Sil_WAIT &&
        may_resend(exchange->pool, verdict == Sil_TRY, now)) {
        resend(exchange, now);
    }
    else if (verdict == Sil_LOST) {
        /* Another backend server may still run it in time. */
        end_exchange(exchange, Bck_INTERRUPTED, false);
    }
    else {
        restart_resend_timer(exchange, RESEND_CHECK_INTERVAL);
    }
}

static void
on_resend_timer(evutil_socket_t fd, short what, void *context)
{
    BackendExchange *exchange = context;
    BackendPool *pool = exchange->pool;
    Instant now = pool->clock();

    (void)fd;
    (void)what;
    if (exchange->server_number != pool->server_number) {
        drop_resend_timer(exchange); /* that backend server is gone */
    }
    else if (!exchange->is_suspected) {
        exchange->is_suspected = true;
        pool->silence.suspected++;
        restart_resend_timer(exchange, exchange->sent_at +
                                           exchange->request.resend_after -
                                           now);
    }
    else {
        handle_silence(exchange, now);
    }
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    BackendExchange *exchange = context;

    (void)fd;
    (void)what;
    if (!exchange->head_received) {
        /* Other connections may have failed as well as this one. */
        close_all_idle(exchange->pool);
    }
    end_exchange(exchange,
                 exchange->is_rejected ? Bck_REJECTED : Bck_INTERRUPTED,
                 false);
}

static struct event *
start_timer(BackendExchange *exchange, Span wait, event_callback_fn callback)
{
    struct timeval after = {wait / 1000000, wait % 1000000};
    struct event *timer =
        evtimer_new(exchange->pool->base, callback, exchange);

    evtimer_add(timer, &after);
    return timer;
}

void
Bck_PoolInit(BackendPool *pool, struct event_base *base, BackendClock clock,
             const BackendHeaderNames *names)
{
    *pool =
        (BackendPool){.base = base, .clock = clock, .header_names = *names};
    pool->close_event = event_new(base, -1, 0, on_close_event, pool);
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
        pool->server_number++;
        pool->names_requests = false;
        Sil_OnNewServer(&pool->silence);
        close_all_idle(pool);
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

void
Bck_SetResendCheck(BackendPool *pool,
                   bool (*check)(void *context, bool may_still_run,
                                 Instant now),
                   void *context)
{
    pool->resend_check = check;
    pool->resend_check_context = context;
}

/* Returns the longest time to wait for an answer. */
static Span
timeout_of(const BackendRequest *request)
{
    return (request->time_left > 0 ? request->time_left : 0) +
           (request->is_internal ? 0 : CANCEL_GRACE);
}

BackendExchange *
Bck_Start(BackendPool *pool, const BackendRequest *request,
          const BackendCallbacks *callbacks)
{
    BackendExchange *exchange;

    if (pool->addr == Addr_NONE) {
        return NULL;
    }
    exchange = Mem_Alloc(1, sizeof *exchange);
    exchange->pool = pool;
    exchange->request = *request;
    exchange->deadline = pool->clock() + request->time_left;
    exchange->callbacks = *callbacks;
    exchange->timeout_timer =
        start_timer(exchange, timeout_of(request), on_timeout);
    send_request(exchange,
                 get_connection(pool, request->request_id, pool->clock()));
    if (request->resend_after && exchange->connection->has_completed) {
        exchange->resend_timer =
            start_timer(exchange, request->resend_after / SUSPECTED_DIVISOR,
                        on_resend_timer);
    }
    return exchange;
}

void
Bck_Cancel(BackendExchange *exchange)
{
    BackendPool *pool = exchange->pool;

    close_later(pool, exchange->connection);
    if (!exchange->head_received) {
        /* Other connections may have become unresponsive with this one. */
        close_all_idle(pool);
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
