/* Guards against the failure that an answer which the backend server breaks
 * off, in its head or in its body, counts as a complete one: every answer is
 * cut after each of its bytes, and the connection closed or reset.
 */
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "connection/backend.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"

typedef struct {
    const char *name;
    Str answer;
    /* From this many bytes on a close ends the answer, as it has no length. */
    size_t whole_from;
    bool is_reset; /* else closed */
} CutCase;

#define WITH_LENGTH Str_LIT(HEAD "Content-Length: 12\r\n\r\nbarn balance")
#define CHUNKED                                                               \
    Str_LIT(HEAD "Transfer-Encoding: chunked\r\n\r\n"                         \
                 "5\r\nbarn \r\n7\r\nbalance\r\n0\r\n\r\n")
#define NO_LENGTH Str_LIT(HEAD "\r\nbarn balance")
#define INTERIM                                                               \
    Str_LIT("HTTP/1.1 100 Continue\r\n\r\n" HEAD                              \
            "Content-Length: 4\r\n\r\nbarn")
#define AFTER_OTHER                                                           \
    Str_LIT("HTTP/1.1 200 OK\r\nRequest-Id: q\r\n"                            \
            "Content-Length: 4\r\n\r\nbarn" HEAD                              \
            "Content-Length: 4\r\n\r\nbarn")
#define EMPTY Str_LIT(HEAD "Content-Length: 0\r\n\r\n")

static const CutCase cases[] = {
    {"with a length", WITH_LENGTH, 0, false},
    {"with a length, reset", WITH_LENGTH, 0, true},
    {"chunked", CHUNKED, 0, false},
    {"chunked, reset", CHUNKED, 0, true},
    {"no length", NO_LENGTH, sizeof HEAD - 1 + 2, false},
    {"no length, reset", NO_LENGTH, 0, true},
    {"after an interim answer", INTERIM, 0, false},
    {"after an answer to another request", AFTER_OTHER, 0, false},
    {"empty", EMPTY, 0, false},
    {"empty, reset", EMPTY, 0, true},
};

/* One exchange, and the backend server's side of it. */
typedef struct {
    struct event_base *base;
    Str answer; /* cut */
    bool is_reset;
    bool has_ended;
    BackendResult result;
    struct bufferevent *accepted;
    struct event *reset_timer; /* lets the node read what was sent first */
} Exchange;

static void
close_accepted(Exchange *exchange)
{
    struct linger reset = {1, 0};

    if (exchange->is_reset) {
        setsockopt(bufferevent_getfd(exchange->accepted), SOL_SOCKET,
                   SO_LINGER, &reset, sizeof reset);
    }
    bufferevent_free(exchange->accepted);
    exchange->accepted = NULL;
}

static void
on_reset_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    close_accepted(context);
}

static void
on_sent(struct bufferevent *stream, void *context)
{
    Exchange *exchange = context;
    struct timeval soon = {0, 1000};

    (void)stream;
    if (exchange->is_reset) {
        evtimer_add(exchange->reset_timer, &soon);
    }
    else {
        close_accepted(exchange);
    }
}

static void
on_request(struct bufferevent *stream, void *context)
{
    Exchange *exchange = context;

    bufferevent_disable(stream, EV_READ);
    bufferevent_setcb(stream, NULL, on_sent, NULL, exchange);
    if (exchange->answer.len) {
        bufferevent_write(stream, exchange->answer.ptr, exchange->answer.len);
    }
    else {
        close_accepted(exchange);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *context)
{
    Exchange *exchange = context;

    (void)listener;
    (void)from;
    (void)len;
    exchange->accepted =
        bufferevent_socket_new(exchange->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(exchange->accepted, on_request, NULL, NULL, exchange);
    bufferevent_enable(exchange->accepted, EV_READ | EV_WRITE);
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    (void)context;
    (void)status;
    (void)fields;
}

static void
on_body(void *context, Str bytes)
{
    (void)context;
    (void)bytes;
}

static void
on_end(void *context, BackendResult result)
{
    Exchange *exchange = context;

    exchange->has_ended = true;
    exchange->result = result;
    event_base_loopbreak(exchange->base);
}

/* Runs one exchange whose answer is cut as EXCHANGE says. */
static void
run_exchange(Exchange *exchange, BackendPool *pool)
{
    const BackendRequest request = {
        .method = Str_LIT("GET"),
        .target = Str_LIT("/visor/a"),
        .request_id = Str_LIT("r"),
        .time_left = Span_S(2),
    };
    const BackendCallbacks callbacks = {exchange, on_head, on_body, on_end};

    ck_assert_ptr_nonnull(Bck_Start(pool, &request, &callbacks));
    event_base_dispatch(exchange->base);
    if (exchange->accepted) {
        event_del(exchange->reset_timer);
        bufferevent_free(exchange->accepted);
        exchange->accepted = NULL;
    }
}

static Addr
local_addr(uint16_t port)
{
    Addr addr = Addr_NONE;

    Addr_Parse(Str_LIT("127.0.0.1:1"), &addr);
    return Addr_WithPort(addr, port);
}

START_TEST(cut_answer_is_not_complete)
{
    const CutCase *c = &cases[_i];
    const BackendHeaderNames names = {.request_id = Str_LIT("Request-Id")};
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t addr_len = sizeof addr;
    Exchange exchange = {.base = event_base_new(), .is_reset = c->is_reset};
    struct evconnlistener *listener = evconnlistener_new_bind(
        exchange.base, on_accept, &exchange, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&addr, sizeof addr);
    BackendPool pool;

    ck_assert_ptr_nonnull(listener);
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&addr,
                &addr_len);
    exchange.reset_timer =
        evtimer_new(exchange.base, on_reset_timer, &exchange);
    Bck_PoolInit(&pool, exchange.base, Loop_Now, &names);
    Bck_SetAddr(&pool, local_addr(ntohs(addr.sin_port)), (Str){0});
    for (size_t cut = 0; cut <= c->answer.len; cut++) {
        bool is_whole =
            cut == c->answer.len || (c->whole_from && cut >= c->whole_from);
        exchange.answer = Str_Slice(c->answer, 0, cut);
        exchange.has_ended = false;
        run_exchange(&exchange, &pool);
        ck_assert_msg(exchange.has_ended, "%s, %zu bytes: no end", c->name,
                      cut);
        /* A whole answer without a length that is reset is not complete. */
        is_whole =
            is_whole && !(c->is_reset && Str_Equal(c->answer, NO_LENGTH));
        ck_assert_msg((exchange.result == Bck_COMPLETE) == is_whole,
                      "%s, %zu of %zu bytes: result %d", c->name, cut,
                      c->answer.len, (int)exchange.result);
    }
    Bck_PoolFinish(&pool);
    evconnlistener_free(listener);
    event_free(exchange.reset_timer);
    event_base_free(exchange.base);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{cut_answer_is_not_complete, ROWS(cases)}};

    return Suite_Run("cut answers", tests, 1, 20);
}
