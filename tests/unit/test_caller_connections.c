/* What becomes of a caller's connection when the node closes those without a
 * request: guards against the failure that a request was read and thrown away,
 * or never answered. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
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
    Ccn_SendAnswer(request, 200, &fields, Str_LIT("well"));
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
    ck_assert(Ccn_Listen(listener, base, Loop_Now, Addr_WithPort(addr, 0),
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

    request_count = 0;
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

int
main(void)
{
    const SuiteTest tests[] = {{closes_without_losing_requests, CASE_COUNT}};

    return Suite_Run("caller connections", tests, 1, 10);
}
