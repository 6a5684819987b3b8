/* Valid and malformed requests of callers over a raw connection, and the
 * answers to them.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

typedef struct {
    const char *name;
    Str request;
    size_t padding_bytes; /* value of a header field added after the first
                             line; 0: no such field */
    size_t body_bytes;    /* appended to the request */
    Str expected[4];      /* texts that the answer contains */
    Str absent[2];        /* texts that it does not contain */
    bool closed;          /* the node closes the connection */
} EdgeCase;

#define HOST_LINE "Host: barns\r\n"
#define TEN_FIELDS                                                            \
    "A: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\nF: 1\r\nG: 1\r\nH: 1\r\n"        \
    "I: 1\r\nJ: 1\r\n"
#define NINETY_FIELDS                                                         \
    TEN_FIELDS TEN_FIELDS TEN_FIELDS TEN_FIELDS TEN_FIELDS TEN_FIELDS         \
        TEN_FIELDS TEN_FIELDS TEN_FIELDS
#define NOT_RUN Str_LIT("X-Lycheeridge-Outcome: not-run")
#define RAN Str_LIT("X-Lycheeridge-Outcome: ran")
#define OK_LINE Str_LIT("HTTP/1.1 200 OK\r\n")

static const EdgeCase cases[] = {
    {"plain", Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "\r\n"),
     .expected = {OK_LINE, RAN, Str_LIT("X-Request-Id: "),
                  Str_LIT("Content-Length: ")}},
    {"no host", Str_LIT("GET /visor/a HTTP/1.1\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 "), NOT_RUN}, .closed = true},
    {"two hosts",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE HOST_LINE "\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 "), NOT_RUN}, .closed = true},
    {"100 fields",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X-Request-Id: many\r\n"
             "K: 1\r\nL: 1\r\nM: 1\r\nN: 1\r\nO: 1\r\nP: 1\r\nQ: "
             "1\r\n" NINETY_FIELDS "X-Fake-Show: X-Lycheeridge-Depth\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("X-Lycheeridge-Depth=1\n"),
                  Str_LIT("X-Request-Id: many\r\n")}},
    {"blank before a colon",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE
             "Content-Length : 1\r\n\r\nx"),
     .expected = {Str_LIT("HTTP/1.1 400 ")}, .closed = true},
    {"blank before a colon, chunked",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE
             "Transfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 ")}, .closed = true},
    {"blank in a name",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X Barn: 1\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 ")}, .closed = true},
    {"1.0", Str_LIT("GET /visor/a HTTP/1.0\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.0 200 OK\r\n"), RAN, Str_LIT("answer to ")},
     .absent = {Str_LIT("chunked")}, .closed = true},
    {"1.0 without a length",
     Str_LIT("GET /visor/a HTTP/1.0\r\nConnection: keep-alive\r\n"
             "X-Fake-Chunked: 1\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.0 200 OK\r\n"), Str_LIT("answer to ")},
     .absent = {Str_LIT("chunked"), Str_LIT("Content-Length")},
     .closed = true},
    {"chunked answer",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Fake-Chunked: 1\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("Transfer-Encoding: chunked"),
                  Str_LIT("answer to "), Str_LIT("\r\n0\r\n\r\n")},
     .absent = {Str_LIT("Content-Length")}},
    {"head", Str_LIT("HEAD /visor/a HTTP/1.1\r\n" HOST_LINE "\r\n"),
     .expected = {OK_LINE, RAN},
     .absent = {Str_LIT("answer to"), Str_LIT("chunked")}},
    {"no content",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Fake-Status: 204\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 204 "), RAN},
     .absent = {Str_LIT("chunked"), Str_LIT("answer to")}},
    {"not modified",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Fake-Status: 304\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 304 "), RAN},
     .absent = {Str_LIT("chunked"), Str_LIT("answer to")}},
    {"error of the backend server",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Fake-Status: 500\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 500 "), RAN}},
    {"chunked request",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE
             "Transfer-Encoding: chunked\r\nX-Fake-Echo: 1\r\n\r\n"
             "4\r\nbarn\r\n3\r\n-12\r\n0\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("\r\n\r\nbarn-12")}},
    {"two lengths",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE "Content-Length: 4\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 ")}, .closed = true},
    {"different lengths",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE "Content-Length: 4\r\n"
             "Content-Length: 5\r\n\r\nbarn1"),
     .expected = {Str_LIT("HTTP/1.1 400 "), NOT_RUN}, .closed = true},
    {"unknown coding",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE
             "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 ")}, .closed = true},
    {"continue",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE "Content-Length: 4\r\n"
             "Expect: 100-continue\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 100 Continue\r\n")}},
    {"other expectation",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE "Content-Length: 4\r\n"
             "Expect: tea\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 417 ")}, .closed = true},
    {"header too large", Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "\r\n"),
     .padding_bytes = 17 * 1024,
     .expected = {Str_LIT("HTTP/1.1 431 "), NOT_RUN}, .closed = true},
    {"body too large",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE
             "Content-Length: 2000000\r\n\r\n"),
     .body_bytes = 2000000, .expected = {Str_LIT("HTTP/1.1 413 ")},
     .closed = true},
    {"unknown method", Str_LIT("BREW /visor/a HTTP/1.1\r\n" HOST_LINE "\r\n"),
     .expected = {Str_LIT("HTTP/1.1 501 "), NOT_RUN}, .closed = true},
    {"not HTTP", Str_LIT("\x16\x03\x01\x02 barn\r\n\r\n"),
     .expected = {Str_LIT(" 400 ")}, .closed = true},
    {"absolute target",
     Str_LIT("GET http://barns/visor/a?x=1 HTTP/1.1\r\n" HOST_LINE "\r\n"),
     .expected = {OK_LINE, RAN}, .closed = true},
    {"two requests on one connection",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X-Request-Id: one\r\n\r\n"
             "GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Request-Id: two\r\n\r\n"),
     .expected = {Str_LIT("answer to one\n"), Str_LIT("answer to two\n"),
                  Str_LIT("X-Request-Id: one"), Str_LIT("X-Request-Id: two")}},
    {"connection closed on request",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "Connection: close\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("Connection: close")}, .closed = true},
    {"bad deadline",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Lycheeridge-Deadline-Ms: soon\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 400 "), NOT_RUN}, .closed = true},
    {"deadline passed",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X-Fake-Time-Us: 900000\r\n"
             "X-Lycheeridge-Deadline-Ms: 100\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 504 "),
                  Str_LIT("X-Lycheeridge-Outcome: unknown")}},
    {"deadline forwarded",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Lycheeridge-Deadline-Ms: 2000\r\n"
             "X-Fake-Show: X-Lycheeridge-Deadline-Ms\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("X-Lycheeridge-Deadline-Ms=")},
     .absent = {Str_LIT("Ms=\n")}},
    {"host forwarded",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Fake-Show: Host\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("Host=barns\n")}},
    {"hop-by-hop field",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "Connection: keep-alive, X-Own\r\nX-Own: 7\r\n"
             "X-Fake-Show: X-Own\r\n\r\n"),
     .expected = {OK_LINE, Str_LIT("X-Own=\n")}},
    {"request id forwarded",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Request-Id: lot-7\r\n\r\n"),
     .expected = {Str_LIT("answer to lot-7\n"),
                  Str_LIT("X-Request-Id: lot-7\r\n")}},
    {"no route", Str_LIT("GET /nowhere HTTP/1.1\r\n" HOST_LINE "\r\n"),
     .expected = {Str_LIT("HTTP/1.1 404 "), NOT_RUN}},
    {"no backend server",
     Str_LIT("POST /despachos/a HTTP/1.1\r\n" HOST_LINE
             "Content-Length: 0\r\n\r\n"),
     .expected = {Str_LIT("HTTP/1.1 503 "), NOT_RUN,
                  Str_LIT("Retry-After: ")}},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 51, 1, 1);
    Fleet_StartNode(fleet, 0);
    Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
}

static bool
contains(Str text, Str part)
{
    return part.len == 0 ||
           memmem(text.ptr, text.len, part.ptr, part.len) != NULL;
}

/* Appends the request of C, with its padding and body, to OUT. */
static void
append_request(const EdgeCase *c, StrBuf *out)
{
    size_t first = Str_Find(c->request, '\n') + 1;

    StrBuf_Append(out, Str_Slice(c->request, 0, first));
    if (c->padding_bytes) {
        StrBuf_Append(out, Str_LIT("X-Pad: "));
        for (size_t i = 0; i < c->padding_bytes; i++) {
            StrBuf_Append(out, Str_LIT("p"));
        }
        StrBuf_Append(out, Str_LIT("\r\n"));
    }
    StrBuf_Append(out, Str_Slice(c->request, first, c->request.len));
    for (size_t i = 0; i < c->body_bytes; i++) {
        StrBuf_Append(out, Str_LIT("b"));
    }
}

START_TEST(answers_as_expected)
{
    const EdgeCase *c = &cases[_i];
    Fleet fleet;
    StrBuf request = {0};
    StrBuf answer = {0};
    bool closed;
    int fd;

    start_fleet(&fleet);
    append_request(c, &request);
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    Fleet_RawSend(fd, StrBuf_View(&request));
    closed = Fleet_RawRead(fd, Span_MS(400), &answer);
    for (int i = 0; i < 4; i++) {
        ck_assert_msg(contains(StrBuf_View(&answer), c->expected[i]),
                      "%s: no \"%.*s\" in %.*s", c->name,
                      Str_ARG(c->expected[i]), Str_ARG(answer));
    }
    for (int i = 0; i < 2; i++) {
        ck_assert_msg(!c->absent[i].len ||
                          !contains(StrBuf_View(&answer), c->absent[i]),
                      "%s: \"%.*s\" in %.*s", c->name, Str_ARG(c->absent[i]),
                      Str_ARG(answer));
    }
    ck_assert_msg(closed == c->closed, "%s: closed %d", c->name, closed);
    Fleet_RawClose(fd);
    /* The node still serves calls. */
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(2)));
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* Bytes that arrive while the first request is under way. */
typedef struct {
    const char *name;
    Str first;
    Str second;
    bool half_close; /* the caller shuts down its sending side */
    Str expected[2];
} LaterBytesCase;

static const LaterBytesCase later_cases[] = {
    {"next request",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X-Request-Id: one\r\n"
             "X-Fake-Time-Us: 300000\r\n\r\n"),
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
             "X-Request-Id: two\r\n\r\n"),
     false,
     {Str_LIT("answer to one\n"), Str_LIT("answer to two\n")}},
    {"not HTTP",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X-Request-Id: one\r\n"
             "X-Fake-Time-Us: 300000\r\n\r\n"),
     Str_LIT("\x16\x03\x01\r\n\r\n"),
     false,
     {Str_LIT("answer to one\n"), Str_LIT(" 400 ")}},
    {"half closed",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "X-Request-Id: one\r\n"
             "Connection: close\r\nX-Fake-Time-Us: 300000\r\n\r\n"),
     {0},
     true,
     {Str_LIT("answer to one\n")}},
    {"half closed, 1.0",
     Str_LIT("GET /visor/a HTTP/1.0\r\nX-Request-Id: one\r\n"
             "X-Fake-Time-Us: 300000\r\n\r\n"),
     {0},
     true,
     {Str_LIT("answer to one\n")}},
};

enum { LATER_COUNT = sizeof later_cases / sizeof later_cases[0] };

START_TEST(reads_bytes_during_call)
{
    const LaterBytesCase *c = &later_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    int fd;

    start_fleet(&fleet);
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    Fleet_RawSend(fd, c->first);
    Fleet_Sleep(Span_MS(100));
    Fleet_RawSend(fd, c->second);
    if (c->half_close) {
        shutdown(fd, SHUT_WR);
    }
    Fleet_RawRead(fd, Span_MS(600), &answer);
    for (int i = 0; i < 2; i++) {
        ck_assert_msg(contains(StrBuf_View(&answer), c->expected[i]),
                      "%s: no \"%.*s\" in %.*s", c->name,
                      Str_ARG(c->expected[i]), Str_ARG(answer));
    }
    Fleet_RawClose(fd);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* A request whose caller closes the connection before the answer. */
typedef struct {
    const char *name;
    Str request;
} HangupCase;

static const HangupCase hangup_cases[] = {
    {"running", Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE
                        "X-Lycheeridge-Deadline-Ms: 60000\r\n"
                        "X-Fake-Time-Us: 3000000\r\n\r\n")},
    {"announced as the last request",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_LINE "Connection: close\r\n"
             "X-Lycheeridge-Deadline-Ms: 60000\r\n"
             "X-Fake-Time-Us: 3000000\r\n\r\n")},
    {"announced as the last request, with a body",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE "Connection: close\r\n"
             "Content-Length: 4\r\nX-Lycheeridge-Deadline-Ms: 60000\r\n"
             "X-Fake-Time-Us: 3000000\r\n\r\nbarn")},
    {"with a body",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_LINE "Content-Length: 4\r\n"
             "X-Lycheeridge-Deadline-Ms: 60000\r\n"
             "X-Fake-Time-Us: 3000000\r\n\r\nbarn")},
};

enum { HANGUP_COUNT = sizeof hangup_cases / sizeof hangup_cases[0] };

START_TEST(hangup_cancels_call)
{
    Fleet fleet;
    uint64_t cancelled = 0;
    int fd;

    start_fleet(&fleet);
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    Fleet_RawSend(fd, hangup_cases[_i].request);
    Fleet_Sleep(Span_MS(200));
    Fleet_RawClose(fd);
    for (int i = 0; i < 20 && cancelled == 0; i++) {
        Fleet_Sleep(Span_MS(50));
        cancelled = Fleet_ReadBackendCount(&fleet, 0, Str_LIT("cancelled"));
    }
    ck_assert_int_eq(cancelled, 1);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{answers_as_expected, CASE_COUNT},
                               {reads_bytes_during_call, LATER_COUNT},
                               {hangup_cancels_call, HANGUP_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("http edges", tests, 3, 60);
}
