/* Guards against the failure that the end of one answer takes others with it:
 * the process, as a loop over its calls went on with one that had been freed,
 * or the connection, although earlier requests on it were still running.
 *
 * Callers pipeline requests on several connections.  Some of the answers are
 * broken off by the backend server, or begin and miss their time-out.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 47,
    VMS = 2,
    BACKEND_VM = 1,
    CALLERS_PORT = 8000,
    CONNECTIONS = 6,
    REQUESTS_MAX = 3
};

#define APPLY_WAIT Span_S(2)
/* Longest time without a byte: on the first connection, and on the others,
 * which were sent the same before it was read. */
#define READ_WAIT Span_MS(2500)
#define LATER_READ_WAIT Span_MS(300)
#define FREEZE_WAIT Span_S(4)

static Str build;

#define SLOW "X-Fake-Time-Us: 1500000\r\n"
#define BROKEN "X-Fake-Size: 200000\r\nX-Fake-Cut: 1\r\n"
#define BROKEN_CHUNKED "X-Fake-Size: 200000\r\nX-Fake-Cut: chunked\r\n"
#define BROKEN_SHORT "X-Fake-Size: 900\r\nX-Fake-Cut: 1\r\n"
#define LARGE "X-Fake-Size: 1500000\r\n"
/* The route of these calls has a time-out of 700 ms. */
#define SOON "/soon/a"
#define PLAIN ""

typedef struct {
    const char *path;
    const char *fields;
} PipelinedRequest;

/* An answer that the caller is to get. */
typedef struct {
    int status;
    bool is_whole;
} ExpectedAnswer;

typedef struct {
    const char *name;
    PipelinedRequest requests[REQUESTS_MAX];
    ExpectedAnswer answers[REQUESTS_MAX]; /* status 0: none, and closed */
    bool freezes; /* the backend server's node; the answers are not checked */
} PipelineCase;

static const PipelineCase cases[] = {
    {"all well",
     {{"/look/a", SLOW}, {"/look/a", LARGE}, {"/look/a", PLAIN}},
     {{200, true}, {200, true}, {200, true}},
     false},
    {"broken off behind one that runs",
     {{"/look/a", SLOW}, {"/look/a", BROKEN}, {"/look/a", PLAIN}},
     {{200, true}, {504, true}, {200, true}},
     false},
    {"broken off behind one that runs, chunked",
     {{"/look/a", SLOW}, {"/look/a", BROKEN_CHUNKED}, {"/look/a", PLAIN}},
     {{200, true}, {504, true}, {200, true}},
     false},
    {"two broken off behind one that runs",
     {{"/look/a", SLOW}, {"/look/a", BROKEN}, {"/look/a", BROKEN}},
     {{200, true}, {504, true}, {504, true}},
     false},
    {"broken off last",
     {{"/look/a", SLOW}, {"/look/a", PLAIN}, {"/look/a", BROKEN}},
     {{200, true}, {200, true}, {504, true}},
     false},
    {"broken off in the first piece behind one that runs",
     {{"/look/a", SLOW}, {"/look/a", BROKEN_SHORT}, {"/look/a", PLAIN}},
     {{200, true}, {504, true}, {200, true}},
     false},
    {"broken off first",
     {{"/look/a", BROKEN}, {"/look/a", SLOW}, {"/look/a", PLAIN}},
     {{200, false}, {0, false}, {0, false}},
     false},
    {"broken off first, chunked",
     {{"/look/a", BROKEN_CHUNKED}, {"/look/a", SLOW}, {"/look/a", PLAIN}},
     {{200, false}, {0, false}, {0, false}},
     false},
    {"begun and late behind one that runs",
     {{"/look/a", SLOW}, {SOON, LARGE}, {"/look/a", PLAIN}},
     {{200, true}, {504, true}, {200, true}},
     false},
    {"begun and late behind two that run",
     {{"/look/a", SLOW}, {"/look/a", SLOW}, {SOON, LARGE}},
     {{200, true}, {200, true}, {504, true}},
     false},
    {"the node that hands it on freezes",
     {{"/look/a", SLOW}, {"/look/a", LARGE}, {"/look/a", LARGE}},
     {{0, false}},
     true},
};

static void
start_fleet(Fleet *fleet)
{
    static const Str routes =
        Str_LIT("{\"name\":\"look\",\"host\":\"barns\",\"path\":\"/look/\","
                "\"kind\":\"idempotent\",\"deadline_ms\":6000,\"priority\":1,"
                "\"service\":\"visor\"},"
                "{\"name\":\"soon\",\"host\":\"barns\",\"path\":\"/soon/\","
                "\"kind\":\"idempotent\",\"deadline_ms\":700,\"priority\":1,"
                "\"service\":\"visor\"}");

    Fleet_Init(fleet, build, SUBNET, VMS, 1);
    Fleet_SetExtraSettings(fleet, Str_LIT("\"operators_open\":true"));
    Fleet_StartNode(fleet, 0);
    Fleet_StartNode(fleet, BACKEND_VM);
    Fleet_StartBackend(fleet, BACKEND_VM, Str_LIT("visor"),
                       Str_LIT("--slots 64"));
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    Ops_PutRoutes(fleet, 1, 0, routes);
    Fleet_Sleep(APPLY_WAIT);
}

static void
send_requests(const PipelineCase *c, int fd)
{
    StrBuf out = {0};

    for (int i = 0; i < REQUESTS_MAX; i++) {
        StrBuf_AppendFmt(&out,
                         "GET %s HTTP/1.1\r\nHost: barns\r\n"
                         "X-Request-Id: r%d\r\n%s\r\n",
                         c->requests[i].path, i, c->requests[i].fields);
    }
    Fleet_RawSend(fd, StrBuf_View(&out));
    StrBuf_Finish(&out);
}

static size_t
find_text(Str in, const char *text)
{
    const char *at =
        in.len ? memmem(in.ptr, in.len, text, strlen(text)) : NULL;

    return at ? (size_t)(at - in.ptr) : in.len;
}

/* The length of the chunked body at the start of BYTES; more than BYTES has
 * when it is not whole. */
static size_t
measure_chunks(Str bytes)
{
    size_t at = 0;

    while (at < bytes.len) {
        Str rest = Str_Slice(bytes, at, bytes.len);
        size_t line = find_text(rest, "\r\n");
        unsigned long len = 0;
        char text[20] = "";
        memcpy(text, rest.ptr, line < sizeof text - 1 ? line : 0);
        if (line == rest.len || sscanf(text, "%lx", &len) != 1) {
            return bytes.len + 1;
        }
        at += line + 2 + len + 2;
        if (len == 0) {
            return at;
        }
    }
    return bytes.len + 1;
}

/* Takes the first answer from BYTES; status 0: there is none. */
static ExpectedAnswer
take_answer(Str *bytes, int *id)
{
    ExpectedAnswer answer = {0, false};
    size_t head = find_text(*bytes, "\r\n\r\n");
    Str fields = Str_Slice(*bytes, 0, head);
    Str body = Str_Slice(*bytes, head + 4, bytes->len);
    size_t at = find_text(fields, "Content-Length: ");
    size_t len = body.len + 1;

    *id = -1;
    if (head == bytes->len ||
        sscanf(bytes->ptr, "HTTP/1.1 %d", &answer.status) != 1) {
        return answer;
    }
    if (find_text(fields, "X-Request-Id: r") < fields.len) {
        *id = fields.ptr[find_text(fields, "X-Request-Id: r") +
                         strlen("X-Request-Id: r")] -
              '0';
    }
    if (at < fields.len) {
        sscanf(fields.ptr + at, "Content-Length: %zu", &len);
    }
    else if (find_text(fields, "chunked") < fields.len) {
        len = measure_chunks(body);
    }
    answer.is_whole = len <= body.len;
    *bytes = Str_Slice(body, len, body.len);
    return answer;
}

static void
check_answers(const PipelineCase *c, Str bytes, bool is_closed)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        ExpectedAnswer expected = c->answers[i];
        int id;
        ExpectedAnswer got = take_answer(&bytes, &id);
        ck_assert_msg(got.status == expected.status &&
                          got.is_whole == expected.is_whole &&
                          (!got.status || id == i),
                      "%s, answer %d: status %d, %s, of request %d", c->name,
                      i, got.status, got.is_whole ? "whole" : "not whole", id);
        ck_assert_msg(expected.status || is_closed,
                      "%s: the connection is still open", c->name);
    }
}

static bool
runs(const Fleet *fleet, int vm)
{
    return waitpid(fleet->vms[vm].node, NULL, WNOHANG) == 0;
}

START_TEST(end_of_one_answer_spares_others)
{
    const PipelineCase *c = &cases[_i];
    Fleet fleet;
    int fds[CONNECTIONS];

    start_fleet(&fleet);
    for (int i = 0; i < CONNECTIONS; i++) {
        fds[i] = Fleet_RawOpen(&fleet, 0, CALLERS_PORT);
        ck_assert_int_ge(fds[i], 0);
        send_requests(c, fds[i]);
    }
    if (c->freezes) {
        Fleet_Sleep(Span_MS(500));
        kill(fleet.vms[BACKEND_VM].node, SIGSTOP);
        Fleet_Sleep(FREEZE_WAIT);
        kill(fleet.vms[BACKEND_VM].node, SIGCONT);
    }
    for (int i = 0; i < CONNECTIONS; i++) {
        StrBuf bytes = {0};
        bool is_closed =
            Fleet_RawRead(fds[i], i ? LATER_READ_WAIT : READ_WAIT, &bytes);
        if (!c->freezes) {
            check_answers(c, StrBuf_View(&bytes), is_closed);
        }
        Fleet_RawClose(fds[i]);
        StrBuf_Finish(&bytes);
    }
    ck_assert_msg(runs(&fleet, 0) && runs(&fleet, BACKEND_VM),
                  "%s: a node has ended", c->name);
    ck_assert_msg(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)),
        "%s: nothing is served afterwards", c->name);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{end_of_one_answer_spares_others, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("pipelined ends", tests, 1, 60);
}
