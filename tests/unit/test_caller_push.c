/* Guards against the failure that the end of a process cuts answers that its
 * kernel had room for: their callers read when the process has ended. */

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/callerstate.h"
#include "process/loop.h"
#include "support/suite.h"

enum {
    SEND_BUFFER = 131072, /* of the listener's side; the system doubles it */
    RECEIVE_BUFFER = 4096,
    ANSWER_MAX = 400000,
    TICKS = 20,
    READ_BYTES = 65536,
    READS_MAX = 5000,
    ALL_GROWTH = 32 * 1024 * 1024
};

static const Str request_text =
    Str_LIT("GET /a HTTP/1.1\r\nHost: barns\r\n\r\n");

static char filler[ANSWER_MAX];

typedef struct {
    const char *name;
    size_t answer_bytes;
    int growth_before; /* taken by other connections */
    bool is_chunked;
    bool ends; /* the answer is complete before the exit */
    bool is_pushed;
    bool is_whole; /* the kernel has all of it at the exit */
} PushCase;

static const PushCase cases[] = {
    {"not pushed", 170000, 0, false, true, false, false},
    {"less than the buffer", 170000, ALL_GROWTH, false, true, true, true},
    {"the same, chunked", 170000, ALL_GROWTH, true, true, true, true},
    {"more than the buffer", 380000, 0, false, true, true, true},
    {"the same, chunked", 380000, 0, true, true, true, true},
    {"others have the room", 380000, ALL_GROWTH, false, true, true, false},
    {"its end is still to come", 170000, 0, false, false, true, true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

typedef struct {
    const PushCase *c;
    Loop loop;
    CallerListener listener;
    int fd;          /* of the caller */
    size_t consumed; /* bytes of the body, as reported */
    int cuts;
} Fixture;

static bool
can_run_early(void *context, const CallerRequest *request)
{
    (void)context;
    (void)request;
    return false;
}

static void
on_request(void *context, CallerRequest *request, Instant now)
{
    const Fixture *fixture = context;
    int bytes = SEND_BUFFER;
    FieldList fields = {.count = 0};
    StrBuf length = {0};

    (void)now;
    setsockopt(bufferevent_getfd(request->connection->bev), SOL_SOCKET,
               SO_SNDBUF, &bytes, sizeof bytes);
    StrBuf_AppendFmt(&length, "%zu", fixture->c->answer_bytes);
    if (!fixture->c->is_chunked) {
        Field_Add(&fields, Str_LIT("Content-Length"), StrBuf_View(&length));
    }
    Ccn_SendHead(request, 200, &fields);
    Ccn_SendBody(request, Str_From(filler, fixture->c->answer_bytes));
    StrBuf_Finish(&length);
    if (fixture->c->ends) {
        Ccn_EndAnswer(request);
    }
}

static void
on_consumed(void *context, CallerRequest *request, uint32_t bytes)
{
    (void)request;
    ((Fixture *)context)->consumed += bytes;
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
    (void)request;
    (void)reason;
    ((Fixture *)context)->cuts += unsent > 0;
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
start_listener(Fixture *fixture)
{
    const CallerCallbacks callbacks = {
        fixture,       can_run_early, on_request,      on_consumed,
        on_disconnect, on_cut,        add_error_fields};
    Addr addr;
    Err err = {0};

    ck_assert(Loop_Init(&fixture->loop, &err));
    ck_assert(Addr_Parse(Str_LIT("127.0.0.1:1"), &addr));
    ck_assert(Ccn_Listen(&fixture->listener, fixture->loop.base, Loop_Now,
                         Addr_WithPort(addr, 0), &callbacks, &err));
    Ccn_StartAccepting(&fixture->listener);
}

static void
send_request(Fixture *fixture)
{
    struct sockaddr_in name;
    socklen_t size = sizeof name;
    int bytes = RECEIVE_BUFFER;

    fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fixture->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    getsockname(evconnlistener_get_fd(fixture->listener.listener),
                (struct sockaddr *)&name, &size);
    ck_assert_int_eq(
        connect(fixture->fd, (struct sockaddr *)&name, sizeof name), 0);
    ck_assert_int_eq(send(fixture->fd, request_text.ptr, request_text.len, 0),
                     (ssize_t)request_text.len);
}

/* Returns the bytes that come until the end of the connection. */
static size_t
read_to_end(const Fixture *fixture)
{
    static char bytes[READ_BYTES];
    size_t len = 0;

    for (int i = 0; i < READS_MAX; i++) {
        ssize_t got = recv(fixture->fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            break;
        }
        len += (size_t)got;
    }
    return len;
}

START_TEST(kernel_delivers_what_was_pushed)
{
    Fixture fixture = {.c = &cases[_i]};
    const PushCase *c = fixture.c;
    size_t got;

    start_listener(&fixture);
    fixture.listener.send_buffer_growth = c->growth_before;
    send_request(&fixture);
    for (int i = 0; i < TICKS; i++) {
        usleep(2000);
        event_base_loop(fixture.loop.base, EVLOOP_NONBLOCK);
        if (c->is_pushed) {
            Ccn_PushOutput(&fixture.listener);
        }
    }
    ck_assert_msg(
        (Ccn_CountUnsentBytes(&fixture.listener) == 0) == c->is_whole,
        "%s: %zu unsent", c->name, Ccn_CountUnsentBytes(&fixture.listener));
    ck_assert_uint_eq(fixture.consumed, c->ends ? 0 : c->answer_bytes);
    Ccn_Finish(&fixture.listener);
    Loop_Finish(&fixture.loop);
    ck_assert_int_eq(fixture.cuts, !c->is_whole);
    got = read_to_end(&fixture);
    ck_assert_msg((got > c->answer_bytes) == c->is_whole, "%s: %zu bytes",
                  c->name, got);
    close(fixture.fd);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{kernel_delivers_what_was_pushed, CASE_COUNT}};

    return Suite_Run("caller push", tests, 1, 20);
}
