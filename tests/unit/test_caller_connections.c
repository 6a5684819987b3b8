/* What becomes of a caller's connection when the node closes those without a
 * request: guards against the failure that a request was read and thrown away,
 * or never answered. */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/callerconn.h"
#include "process/loop.h"
#include "support/suite.h"

enum { UNAVAILABLE = 503, ANSWER_BYTES = 1024, POLLS = 5 };

static const Str whole =
    Str_LIT("GET /a HTTP/1.1\r\nHost: barns\r\nContent-Length: 0\r\n\r\n");
static const Str part = Str_LIT(
    "POST /a HTTP/1.1\r\nHost: barns\r\nContent-Length: 9\r\n\r\nbook");

typedef enum { CLOSE_IDLE, REJECT_PARTIAL } Action;

/* What the caller sees of the connection. */
typedef enum { OPEN, ENDED, RESET } ConnectionState;

typedef struct {
    const char *name;
    const Str *before; /* has arrived and was read before ACTION; NULL: none */
    const Str *unread; /* has arrived and was not read */
    const Str *after;  /* sent after ACTION */
    Action action;
    int requests; /* passed on */
    Str answer;   /* how it begins; empty: none */
    ConnectionState state;
} CloseCase;

static const CloseCase cases[] = {
    {"without a request", NULL, NULL, NULL, CLOSE_IDLE, 0, {NULL, 0}, true},
    {"a request has arrived", NULL, &whole, NULL, CLOSE_IDLE, 1,
     Str_LIT("HTTP/1.1 200 "), false},
    {"used before, and a request has arrived", &whole, &whole, NULL,
     CLOSE_IDLE, 2, Str_LIT("HTTP/1.1 200 "), false},
    {"a request crosses the close",
     NULL,
     NULL,
     &whole,
     CLOSE_IDLE,
     0,
     {NULL, 0},
     RESET},
    {"a part of a request was read",
     &part,
     NULL,
     NULL,
     CLOSE_IDLE,
     0,
     {NULL, 0},
     OPEN},
    {"a part of a request is rejected", &part, NULL, NULL, REJECT_PARTIAL, 0,
     Str_LIT("HTTP/1.1 503 "), true},
    {"no part of a request to reject", &whole, NULL, NULL, REJECT_PARTIAL, 1,
     Str_LIT("HTTP/1.1 200 "), false},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static int request_count;
static int disconnect_count;
static CallerRequest *last_request;
static bool answers_at_once;
static Span clock_skew; /* added to the listener's clock */

static Instant
get_time(void)
{
    return Loop_Now() + clock_skew;
}

static bool
can_run_early(void *context, const CallerRequest *request)
{
    (void)context;
    (void)request;
    return true;
}

static void
on_request(void *context, CallerRequest *request, Instant now)
{
    FieldList fields = {.count = 0};

    (void)context;
    (void)now;
    request_count++;
    request->user_data = last_request; /* the one before it */
    last_request = request;
    if (answers_at_once) {
        Ccn_SendAnswer(request, 200, &fields, Str_LIT("well"));
    }
}

static void
on_consumed(void *context, CallerRequest *request, uint32_t bytes)
{
    (void)context;
    (void)request;
    (void)bytes;
}

static void
on_disconnect(void *context, CallerRequest *request)
{
    (void)context;
    (void)request;
    disconnect_count++;
}

static void
on_cut(void *context, const CallerRequest *request, CallerEnd reason,
       size_t unsent)
{
    (void)context;
    (void)request;
    (void)reason;
    (void)unsent;
}

static void
add_error_fields(void *context, uint16_t status, FieldList *fields)
{
    (void)context;
    (void)status;
    (void)fields;
}

/* Opens the listener at a free port of loopback. */
static void
start_listener(CallerListener *listener, struct event_base *base)
{
    const CallerCallbacks callbacks = {
        NULL,          can_run_early, on_request,      on_consumed,
        on_disconnect, on_cut,        add_error_fields};
    Addr addr;
    Err err = {0};

    ck_assert(Addr_Parse(Str_LIT("127.0.0.1:1"), &addr));
    ck_assert(Ccn_Listen(listener, base, get_time, Addr_WithPort(addr, 0),
                         &callbacks, &err));
    Ccn_StartAccepting(listener);
}

static int
open_caller(const CallerListener *listener)
{
    struct sockaddr_in name;
    socklen_t size = sizeof name;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    getsockname(evconnlistener_get_fd(listener->listener),
                (struct sockaddr *)&name, &size);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&name, sizeof name), 0);
    return fd;
}

static void
send_text(int fd, const Str *text)
{
    if (text) {
        ck_assert_int_eq(send(fd, text->ptr, text->len, MSG_NOSIGNAL),
                         (ssize_t)text->len);
    }
}

/* Handles what has arrived, and what that leads to. */
static void
run_loop(struct event_base *base)
{
    for (int i = 0; i < POLLS; i++) {
        usleep(2000);
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
}

/* Reads all that has come. */
static ConnectionState
read_answer(int fd, char *answer, size_t *len)
{
    ssize_t got;

    *len = 0;
    while ((got = recv(fd, answer + *len, ANSWER_BYTES - *len, MSG_DONTWAIT)) >
           0) {
        *len += (size_t)got;
    }
    if (got == 0) {
        return ENDED;
    }
    return errno == ECONNRESET ? RESET : OPEN;
}

START_TEST(closes_without_losing_requests)
{
    const CloseCase *c = &cases[_i];
    Loop loop;
    Err err = {0};
    CallerListener listener;
    char answer[ANSWER_BYTES];
    size_t len;
    int fd;

    answers_at_once = true;
    ck_assert(Loop_Init(&loop, &err));
    start_listener(&listener, loop.base);
    fd = open_caller(&listener);
    run_loop(loop.base);
    send_text(fd, c->before);
    run_loop(loop.base);
    if (c->unread) {
        read_answer(fd, answer, &len);
    }
    send_text(fd, c->unread);
    usleep(2000);
    if (c->action == CLOSE_IDLE) {
        Ccn_CloseIdle(&listener);
    }
    else {
        Ccn_RejectPartial(&listener, UNAVAILABLE, Loop_Now() + Span_S(1));
    }
    send_text(fd, c->after);
    run_loop(loop.base);
    ck_assert_msg(read_answer(fd, answer, &len) == c->state, "%s", c->name);
    ck_assert_msg(request_count == c->requests, "%s: %d requests", c->name,
                  request_count);
    ck_assert_msg(Str_StartsWith(Str_From(answer, len), c->answer) &&
                      (len > 0) == (c->answer.len > 0),
                  "%s: %.*s", c->name, (int)len, answer);
    close(fd);
    Ccn_Finish(&listener);
    Loop_Finish(&loop);
}
END_TEST

/* A caller that has sent its requests, to be answered step by step. */
typedef struct {
    Loop loop;
    CallerListener listener;
    int fd;
    size_t got; /* bytes that the caller has read */
} Fixture;

enum { LARGE = 8000000, PIECE = 65536, READ_BYTES = 65536 };

static char filler[LARGE];

static void
send_head(CallerRequest *request, size_t len)
{
    FieldList fields = {.count = 0};
    StrBuf text = {0};

    StrBuf_AppendFmt(&text, "%zu", len);
    Field_Add(&fields, Str_LIT("Content-Length"), StrBuf_View(&text));
    Ccn_SendHead(request, 200, &fields);
    StrBuf_Finish(&text);
}

static void
send_filler(CallerRequest *request, size_t len)
{
    Ccn_SendBody(request, Str_From(filler, len));
}

static ConnectionState
read_all(Fixture *fixture)
{
    static char bytes[READ_BYTES];
    ConnectionState state = OPEN;

    for (int i = 0; i < 400 && state == OPEN; i++) {
        size_t len = 0;
        ssize_t got = recv(fixture->fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got > 0) {
            len = (size_t)got;
        }
        else if (got == 0 || errno != EAGAIN) {
            state = got == 0 ? ENDED : RESET;
        }
        fixture->got += len;
        event_base_loop(fixture->loop.base, EVLOOP_NONBLOCK);
        Ccn_CheckTimeouts(&fixture->listener, get_time());
        usleep(len ? 0 : 500);
    }
    return state;
}

/* Lets TIME pass, with the timeouts checked once a second. */
static void
pass_time(Fixture *fixture, Span time)
{
    for (Span passed = 0; passed < time; passed += Span_S(1)) {
        clock_skew += Span_S(1);
        Ccn_CheckTimeouts(&fixture->listener, get_time());
    }
    run_loop(fixture->loop.base);
}

static void
end_with_empty_part(Fixture *fixture)
{
    send_head(last_request, PIECE);
    send_filler(last_request, PIECE);
    read_all(fixture);
    Ccn_EndAnswer(last_request);
}

static void
stall(Fixture *fixture)
{
    send_head(last_request, LARGE);
    send_filler(last_request, LARGE);
    Ccn_EndAnswer(last_request);
    run_loop(fixture->loop.base);
    pass_time(fixture, Span_S(60));
}

static void
abort_unframed_and_exit(Fixture *fixture)
{
    FieldList fields = {.count = 0};

    Ccn_SendHead(last_request, 200, &fields);
    send_filler(last_request, LARGE);
    run_loop(fixture->loop.base);
    Ccn_Abort(last_request);
    run_loop(fixture->loop.base);
    Ccn_Finish(&fixture->listener);
}

static void
abort_unframed_and_stall(Fixture *fixture)
{
    FieldList fields = {.count = 0};

    Ccn_SendHead(last_request, 200, &fields);
    send_filler(last_request, LARGE);
    run_loop(fixture->loop.base);
    Ccn_Abort(last_request);
    pass_time(fixture, Span_S(60));
}

static void
exit_during_unframed(Fixture *fixture)
{
    FieldList fields = {.count = 0};

    Ccn_SendHead(last_request, 200, &fields);
    send_filler(last_request, PIECE);
    run_loop(fixture->loop.base);
    Ccn_Finish(&fixture->listener);
}

static void
leave_between_parts(Fixture *fixture)
{
    send_head(last_request, 2 * PIECE);
    send_filler(last_request, PIECE);
    read_all(fixture);
    shutdown(fixture->fd, SHUT_RDWR);
    run_loop(fixture->loop.base);
}

/* What Xch does with a request that it makes the last one. */
static void
make_first_the_last(Fixture *fixture)
{
    CallerRequest *second = last_request;
    CallerRequest *first = NULL;
    FieldList fields = {.count = 0};

    (void)fixture;
    first = second->user_data;
    first->is_last = true;
    Ccn_SendAnswer(first, 200, &fields, Str_LIT("well"));
    Ccn_SendAnswer(second, 200, &fields, Str_LIT("well"));
}

static void
half_close_with_answer_on_the_way(Fixture *fixture)
{
    CallerRequest *second = last_request;
    CallerRequest *first = second->user_data;

    send_head(first, LARGE);
    send_filler(first, LARGE);
    Ccn_EndAnswer(first);
    run_loop(fixture->loop.base);
    shutdown(fixture->fd, SHUT_WR);
    run_loop(fixture->loop.base);
    send_head(second, PIECE);
    send_filler(second, PIECE);
    Ccn_EndAnswer(second);
}

static void
never_answer(Fixture *fixture)
{
    StrBuf many = {0};
    size_t sent = 0;
    int refused = 0;

    for (int i = 0; i < 1000; i++) {
        StrBuf_Append(&many, whole);
    }
    while (sent < LARGE && refused < 100) {
        ssize_t put =
            send(fixture->fd, many.ptr, many.len, MSG_DONTWAIT | MSG_NOSIGNAL);
        refused = put > 0 ? 0 : refused + 1;
        sent += put > 0 ? (size_t)put : 0;
        event_base_loop(fixture->loop.base, EVLOOP_NONBLOCK);
        usleep(refused ? 100 : 0);
    }
    StrBuf_Finish(&many);
    fixture->got = sent;
}

static const Str old_request =
    Str_LIT("GET /a HTTP/1.0\r\nHost: barns\r\n\r\n");
static const Str two_requests =
    Str_LIT("GET /a HTTP/1.1\r\nHost: barns\r\n\r\n"
            "GET /b HTTP/1.1\r\nHost: barns\r\n\r\n");

typedef struct {
    const char *name;
    const Str *requests;
    void (*act)(Fixture *fixture);
    size_t active_requests; /* afterwards */
    size_t connections;
    int disconnects;
    ConnectionState state; /* that the caller sees */
    size_t got_min; /* bytes that the caller has read, or sent, at least */
    size_t got_max;
} EndCase;

static const EndCase end_cases[] = {
    {"the end of an answer brings no byte", &whole, end_with_empty_part, 0, 1,
     0, OPEN, PIECE, 2 * PIECE},
    {"an answer is not read for a minute", &whole, stall, 0, 0, 0, ENDED, 1,
     LARGE - 1},
    {"an unframed answer is broken off, then the process exits", &old_request,
     abort_unframed_and_exit, 0, 0, 0, RESET, 0, LARGE - 1},
    {"an unframed answer is broken off and not read", &old_request,
     abort_unframed_and_stall, 0, 0, 0, RESET, 0, LARGE - 1},
    {"the process exits during an unframed answer", &old_request,
     exit_during_unframed, 0, 0, 1, RESET, 0, 2 * PIECE},
    {"the caller leaves between two parts of an answer", &whole,
     leave_between_parts, 0, 0, 1, ENDED, PIECE, 2 * PIECE},
    {"a request is made the last one, another was passed on", &two_requests,
     make_first_the_last, 0, 1, 0, OPEN, 84, 1000},
    {"the caller ends its side, with an answer on the way and a request at "
     "work",
     &two_requests, half_close_with_answer_on_the_way, 0, 0, 0, ENDED,
     LARGE + PIECE, LARGE + PIECE + 1000},
    {"requests behind one that is not answered", &whole, never_answer, 16, 1,
     0, OPEN, 0, LARGE - 1},
};

enum { END_COUNT = sizeof end_cases / sizeof end_cases[0] };

START_TEST(ends_answers_and_connections)
{
    const EndCase *c = &end_cases[_i];
    Fixture fixture = {.got = 0};
    ConnectionState state;
    Err err = {0};

    ck_assert(Loop_Init(&fixture.loop, &err));
    start_listener(&fixture.listener, fixture.loop.base);
    fixture.fd = open_caller(&fixture.listener);
    run_loop(fixture.loop.base);
    send_text(fixture.fd, c->requests);
    run_loop(fixture.loop.base);
    c->act(&fixture);
    run_loop(fixture.loop.base);
    state = read_all(&fixture);
    ck_assert_msg(fixture.listener.active_requests == c->active_requests &&
                      fixture.listener.connections.count == c->connections,
                  "%s: %zu requests, %zu connections", c->name,
                  fixture.listener.active_requests,
                  fixture.listener.connections.count);
    ck_assert_msg(disconnect_count == c->disconnects, "%s: %d disconnects",
                  c->name, disconnect_count);
    ck_assert_msg(state == c->state, "%s: state %d", c->name, (int)state);
    ck_assert_msg(fixture.got >= c->got_min && fixture.got <= c->got_max,
                  "%s: %zu bytes", c->name, fixture.got);
    close(fixture.fd);
    Ccn_Finish(&fixture.listener);
    Loop_Finish(&fixture.loop);
}
END_TEST

/* How far a caller's connection has come when the listener starts to drain. */
typedef enum { NOT_BEGUN, UNDER_WAY, ESTABLISHED } Progress;

/* Guards against the failure that a stop reset a connection whose handshake
 * was under way, or which had not been accepted, although the caller had
 * connected. */
typedef struct {
    const char *name;
    Progress progress;
    bool is_starting;    /* callers are not accepted yet */
    bool closes_at_once; /* before the loop has looked at the listener */
    int requests;        /* passed on */
    Str answer;          /* how it begins; empty: none */
} DrainCase;

static const DrainCase drain_cases[] = {
    {"established", ESTABLISHED, false, false, 1, Str_LIT("HTTP/1.1 200 ")},
    {"established, and not looked at before the close", ESTABLISHED, false,
     true, 1, Str_LIT("HTTP/1.1 200 ")},
    {"established, to a node that starts", ESTABLISHED, true, true, 1,
     Str_LIT("HTTP/1.1 200 ")},
    {"its handshake is under way", UNDER_WAY, false, false, 1,
     Str_LIT("HTTP/1.1 200 ")},
    {"begins afterwards", NOT_BEGUN, false, false, 0, {NULL, 0}},
};

enum { DRAIN_COUNT = sizeof drain_cases / sizeof drain_cases[0] };

/* The kernel repeats what was lost of a handshake after one second. */
#define HANDSHAKE_WAIT Span_S(3)

/* Starts to connect, without waiting.  If LOSES_REPLY, the replies to this
 * caller are lost until SO_DETACH_FILTER. */
static int
begin_caller(const CallerListener *listener, bool loses_reply)
{
    struct sock_filter lose = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &lose};
    struct sockaddr_in name;
    socklen_t size = sizeof name;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    getsockname(evconnlistener_get_fd(listener->listener),
                (struct sockaddr *)&name, &size);
    if (loses_reply) {
        ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                    sizeof program),
                         0);
    }
    ck_assert(connect(fd, (struct sockaddr *)&name, sizeof name) == 0 ||
              errno == EINPROGRESS);
    return fd;
}

/* Returns whether FD is connected within HANDSHAKE_WAIT. */
static bool
is_connected(int fd)
{
    struct pollfd wait = {fd, POLLOUT, 0};

    return poll(&wait, 1, (int)(HANDSHAKE_WAIT / Span_MS(1))) == 1 &&
           !(wait.revents & (POLLERR | POLLHUP));
}

START_TEST(drains_without_resets)
{
    const DrainCase *c = &drain_cases[_i];
    Loop loop;
    Err err = {0};
    CallerListener listener;
    char answer[ANSWER_BYTES];
    size_t len;
    int none = 0;
    int fd = -1;

    answers_at_once = true;
    ck_assert(Loop_Init(&loop, &err));
    start_listener(&listener, loop.base);
    if (c->is_starting) {
        evconnlistener_disable(listener.listener);
    }
    if (c->progress != NOT_BEGUN) {
        fd = begin_caller(&listener, c->progress == UNDER_WAY);
    }
    Ccn_StartDraining(&listener);
    if (c->progress == NOT_BEGUN) {
        fd = begin_caller(&listener, false);
    }
    setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
    ck_assert_msg(is_connected(fd) == (c->requests > 0), "%s", c->name);
    if (c->requests) {
        send_text(fd, &whole);
    }
    usleep(2000);
    if (c->closes_at_once) {
        Ccn_StopListening(&listener);
    }
    run_loop(loop.base);
    read_answer(fd, answer, &len);
    ck_assert_msg(request_count == c->requests, "%s: %d requests", c->name,
                  request_count);
    ck_assert_msg(Str_StartsWith(Str_From(answer, len), c->answer) &&
                      (len > 0) == (c->answer.len > 0),
                  "%s: %.*s", c->name, (int)len, answer);
    close(fd);
    Ccn_Finish(&listener);
    Loop_Finish(&loop);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{closes_without_losing_requests, CASE_COUNT},
                               {ends_answers_and_connections, END_COUNT},
                               {drains_without_resets, DRAIN_COUNT}};

    return Suite_Run("caller connections", tests, 3, 20);
}
