/* Every caller gets the complete answer to its own request, or can tell that
 * the answer is incomplete.  Nodes buffer only a bounded part of large
 * answers.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

/* Limit of a node's resident memory while it serves. */
enum { NODE_MEMORY_MAX_KB = 32 * 1024 };

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 52, 2, 1);
    Fleet_StartNode(fleet, 0);
    Fleet_StartNode(fleet, 1);
    Fleet_StartBackend(fleet, 1, Str_LIT("visor"), Str_LIT("--slots 64"));
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
}

typedef struct {
    const char *name;
    Str headers;
    int http_minor;    /* minor version of HTTP/1 */
    bool is_whole;     /* the caller gets the complete answer */
    size_t body_bytes; /* of a complete body */
} AnswerCase;

#define LARGE_HEADER "X-Fake-Size: 31457280"

static const AnswerCase cases[] = {
    {"empty", Str_LIT("X-Fake-Size: 0"), 1, true, 0},
    {"one byte over 64 KiB", Str_LIT("X-Fake-Size: 65537"), 1, true, 65537},
    {"large", Str_LIT(LARGE_HEADER), 1, true, 31457280},
    {"large, chunked", Str_LIT(LARGE_HEADER "\nX-Fake-Chunked: 1"), 1, true,
     31457280},
    {"large, HTTP/1.0", Str_LIT(LARGE_HEADER), 0, true, 31457280},
    {"truncated", Str_LIT("X-Fake-Size: 900\nX-Fake-Cut: 1"), 1, false, 0},
    {"truncated in its head", Str_LIT("X-Fake-Size: 900\nX-Fake-Cut: head"), 1,
     false, 0},
    {"truncated in its head, empty",
     Str_LIT("X-Fake-Size: 0\nX-Fake-Cut: head"), 1, false, 0},
    {"truncated in its head, HTTP/1.0",
     Str_LIT("X-Fake-Size: 900\nX-Fake-Cut: head"), 0, false, 0},
    {"truncated, chunked", Str_LIT("X-Fake-Size: 900\nX-Fake-Cut: chunked"), 1,
     false, 0},
    {"large, truncated", Str_LIT("X-Fake-Size: 1500000\nX-Fake-Cut: 1"), 1,
     false, 0},
    {"large, truncated, chunked",
     Str_LIT("X-Fake-Size: 1500000\nX-Fake-Cut: chunked"), 1, false, 0},
    {"large, truncated, chunked, HTTP/1.0",
     Str_LIT("X-Fake-Size: 1500000\nX-Fake-Cut: chunked"), 0, false, 0},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(answer_is_whole_or_visibly_truncated)
{
    const AnswerCase *c = &cases[_i];
    FleetRequest request = {
        .method = Str_LIT("GET"),
        .path = Str_LIT("/visor/a"),
        .headers = c->headers,
        .is_http_1_0 = c->http_minor == 0,
    };
    Fleet fleet;
    FleetAnswer answer;

    start_fleet(&fleet);
    Fleet_Send(&fleet, 0, &request, &answer);
    /* An error answer that reports the failure may be complete, but is not the
     * requested one. */
    ck_assert_msg((answer.is_complete && answer.status == 200) == c->is_whole,
                  "%s: status %ld", c->name, answer.status);
    if (c->is_whole) {
        ck_assert_uint_eq(answer.body.len, c->body_bytes);
    }
    Fleet_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *line; /* first line of the backend server's answer */
    long status;      /* the caller's */
    const char *told; /* how the caller's first line begins */
} LineCase;

#define TOLD_UNKNOWN 504, "HTTP/1.1 504 Gateway Timeout\r\n"

static const LineCase lines[] = {
    {"HTTP/1.1 000 No", TOLD_UNKNOWN},
    {"HTTP/1.1 099 No", TOLD_UNKNOWN},
    {"HTTP/1.1 101 Switching Protocols", TOLD_UNKNOWN},
    {"HTTP/1.1 600 Six", TOLD_UNKNOWN},
    {"HTTP/1.1 999 Nine", TOLD_UNKNOWN},
    {"HTTP/1.1 0200 OK", TOLD_UNKNOWN},
    {"HTTP/1.1  200 OK", TOLD_UNKNOWN},
    {"HTTP/1.1 20 OK", TOLD_UNKNOWN},
    {"HTTP/2 200", TOLD_UNKNOWN},
    {"HTTP/1.1 200", 200, "HTTP/1.1 200 OK\r\n"},
    {"HTTP/1.1 201 Other", 201, "HTTP/1.1 201 Created\r\n"},
    {"HTTP/1.1 299 Own", 299, "HTTP/1.1 299 \r\n"},
    {"HTTP/1.1 418 Own", 418, "HTTP/1.1 418 \r\n"},
    {"HTTP/1.1 599 Own", 599, "HTTP/1.1 599 \r\n"},
};

/* Long before the request is late. */
#define TOLD_WITHIN Span_S(1)

enum { LINE_COUNT = sizeof lines / sizeof lines[0] };

START_TEST(impossible_status_is_told_as_failure)
{
    const LineCase *c = &lines[_i];
    StrBuf headers = {0};
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a")};
    Fleet fleet;
    FleetAnswer answer;

    start_fleet(&fleet);
    StrBuf_AppendFmt(&headers, "X-Fake-Line: %s\nX-Fake-Cut-After: 1000",
                     c->line);
    request.headers = StrBuf_View(&headers);
    Fleet_Send(&fleet, 0, &request, &answer);
    ck_assert_msg(
        answer.is_complete && answer.status == c->status &&
            Str_StartsWith(StrBuf_View(&answer.headers), Str_FromC(c->told)),
        "%s: status %ld, %s", c->line, answer.status,
        StrBuf_CStr(&answer.headers));
    /* The request may have run. */
    ck_assert(!Str_Equal(StrBuf_View(&answer.outcome), Str_LIT("not-run")));
    StrBuf_Finish(&headers);
    Fleet_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* An answer with so many fields, two of which are X-Request-Id and
 * Content-Length, is passed on with all of them or refused. */
typedef struct {
    int fields;
    bool is_passed_on;
} FieldsCase;

static const FieldsCase fields_cases[] = {
    {50, true}, {98, true}, {99, true}, {100, true}, {101, false}};

enum { FIELDS_COUNT = sizeof fields_cases / sizeof fields_cases[0] };

START_TEST(no_field_is_dropped_from_answer_with_many)
{
    const FieldsCase *c = &fields_cases[_i];
    StrBuf headers = {0};
    StrBuf last = {0};
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a")};
    Fleet fleet;
    FleetAnswer answer;

    start_fleet(&fleet);
    StrBuf_AppendFmt(&headers, "X-Fake-Fields: %d\nX-Fake-Cut-After: 9000",
                     c->fields - 2);
    StrBuf_AppendFmt(&last, "X-Barn-%d: a\r\n", c->fields - 2);
    request.headers = StrBuf_View(&headers);
    Fleet_Send(&fleet, 0, &request, &answer);
    ck_assert_msg(answer.is_complete &&
                      (answer.status == 200) == c->is_passed_on,
                  "%d fields: status %ld", c->fields, answer.status);
    ck_assert_msg(
        !c->is_passed_on ||
            (strstr(StrBuf_CStr(&answer.headers), StrBuf_CStr(&last)) &&
             strstr(StrBuf_CStr(&answer.headers), "Content-Length: ")),
        "%d fields: some are missing in %s", c->fields,
        StrBuf_CStr(&answer.headers));
    StrBuf_Finish(&headers);
    StrBuf_Finish(&last);
    Fleet_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* Slow callers do not read after they sent the request.  Later they read the
 * whole answer (reads_on) or close the connection. */
typedef struct {
    int callers;
    bool chunked;
    bool reads_on;
    size_t body_bytes;
} SlowCase;

static const SlowCase slow_cases[] = {
    {8, false, false, 31457280},
    {8, true, false, 31457280},
    {4, false, true, 4194304},
};

enum { SLOW_COUNT = sizeof slow_cases / sizeof slow_cases[0], SLOW_MAX = 8 };

enum { MEASURED_NODES = Fleet_MEMORY_IS_CHECKED ? 2 : 0 };

static void
check_memory(Fleet *fleet)
{
    for (int vm = 0; vm < MEASURED_NODES; vm++) {
        uint64_t kb = Fleet_ReadResidentKb(fleet->vms[vm].node);
        ck_assert_msg(kb < NODE_MEMORY_MAX_KB, "node %d: %lu KB", vm,
                      (unsigned long)kb);
    }
}

static int
open_slow(Fleet *fleet, const SlowCase *c)
{
    int fd = Fleet_RawOpen(fleet, 0, 8000);
    int bytes = 64 * 1024;
    StrBuf request = {0};

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    StrBuf_AppendFmt(&request,
                     "GET /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Lycheeridge-Deadline-Ms: 1000\r\n"
                     "X-Fake-Size: %zu\r\n%sConnection: close\r\n\r\n",
                     c->body_bytes, c->chunked ? "X-Fake-Chunked: 1\r\n" : "");
    Fleet_RawSend(fd, StrBuf_View(&request));
    StrBuf_Finish(&request);
    return fd;
}

static void
read_to_end(int fd, size_t bytes)
{
    StrBuf answer = {0};

    ck_assert(Fleet_RawRead(fd, Span_S(5), &answer));
    ck_assert_uint_gt(answer.len, bytes);
    StrBuf_Finish(&answer);
}

START_TEST(slow_callers_use_bounded_memory)
{
    const SlowCase *c = &slow_cases[_i];
    int fds[SLOW_MAX] = {0};
    Fleet fleet;

    start_fleet(&fleet);
    for (int i = 0; i < c->callers; i++) {
        fds[i] = open_slow(&fleet, c);
    }
    for (int i = 0; i < 8; i++) {
        Fleet_Sleep(Span_MS(250));
        check_memory(&fleet);
    }
    /* Other callers are served over the same connections between the
     * nodes. */
    ck_assert(Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/b"), Span_MS(200)));
    for (int i = 0; i < c->callers; i++) {
        if (c->reads_on) {
            read_to_end(fds[i], c->body_bytes);
        }
        Fleet_RawClose(fds[i]);
    }
    Fleet_Sleep(Span_MS(300));
    check_memory(&fleet);
    ck_assert(Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/b"), Span_S(1)));
    Fleet_Finish(&fleet);
}
END_TEST

/* The answers become ready in reverse order of the requests, and some only
 * after the deadline. */
typedef struct {
    int requests;
    int step_us; /* service time of the last request; each one before it
                  * takes this much longer */
    int deadline_ms;
} OrderCase;

static const OrderCase order_cases[] = {
    {24, 20000, 5000},
    {24, 20000, 250},
};

enum {
    ORDER_COUNT = sizeof order_cases / sizeof order_cases[0],
    ORDER_MAX = 24
};

static void
send_numbered_request(int fd, const OrderCase *c, int number, int time_us)
{
    StrBuf request = {0};

    StrBuf_AppendFmt(&request,
                     "GET /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Request-Id: order-%d.\r\nX-Fake-Time-Us: %d\r\n"
                     "X-Lycheeridge-Deadline-Ms: %d\r\n\r\n",
                     number, time_us, c->deadline_ms);
    Fleet_RawSend(fd, StrBuf_View(&request));
    StrBuf_Finish(&request);
}

/* The answer on FD names request NUMBER, or has status 504 because the request
 * took longer than about its deadline. */
static void
check_numbered_answer(int fd, const OrderCase *c, int number, int time_us)
{
    StrBuf answer = {0};
    StrBuf expected = {0};
    Str text;
    bool late = time_us >= c->deadline_ms * 1000;

    Fleet_RawRead(fd, Span_MS(300), &answer);
    text = StrBuf_View(&answer);
    StrBuf_AppendFmt(&expected, "answer to order-%d.\n", number);
    if (Str_StartsWith(text, Str_LIT("HTTP/1.1 200 "))) {
        ck_assert(text.len > expected.len);
        ck_assert(
            Str_Equal(Str_Slice(text, text.len - expected.len, expected.len),
                      StrBuf_View(&expected)));
    }
    else {
        ck_assert_msg(Str_StartsWith(text, Str_LIT("HTTP/1.1 504 ")) &&
                          (late || time_us > c->deadline_ms * 800),
                      "%d, %d us: %.*s", number, time_us, Str_ARG(text));
    }
    StrBuf_Finish(&answer);
    StrBuf_Finish(&expected);
}

START_TEST(each_request_gets_its_own_answer)
{
    const OrderCase *c = &order_cases[_i];
    int fds[ORDER_MAX] = {0};
    Fleet fleet;

    start_fleet(&fleet);
    for (int i = 0; i < c->requests; i++) {
        fds[i] = Fleet_RawOpen(&fleet, 0, 8000);
        send_numbered_request(fds[i], c, i, (c->requests - i) * c->step_us);
    }
    Fleet_Sleep(Span_MS(600));
    for (int i = 0; i < c->requests; i++) {
        check_numbered_answer(fds[i], c, i, (c->requests - i) * c->step_us);
    }
    /* A later request on each connection gets its own answer, too. */
    for (int i = 0; i < c->requests; i++) {
        send_numbered_request(fds[i], c, 100 + i, 1000);
    }
    for (int i = 0; i < c->requests; i++) {
        check_numbered_answer(fds[i], c, 100 + i, 1000);
        Fleet_RawClose(fds[i]);
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {answer_is_whole_or_visibly_truncated, CASE_COUNT},
        {impossible_status_is_told_as_failure, LINE_COUNT},
        {no_field_is_dropped_from_answer_with_many, FIELDS_COUNT},
        {slow_callers_use_bounded_memory, SLOW_COUNT},
        {each_request_gets_its_own_answer, ORDER_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("whole answers", tests, 5, 60);
}
