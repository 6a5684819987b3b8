/* A node whose settings give other names to its header fields, as another
 * platform uses them.  Tests pipelined requests, headers added to requests,
 * routing tables sent over HTTP, readiness, a planned stop, settings that are
 * read again, and log lines of refusals.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define HOST_HEADER "Host: barns\r\n"
#define SLOW_HEADER "X-Fake-Time-Us: 300000\r\n"

enum {
    SUBNET = 73,
    CALLERS_PORT = 8000,
    OPERATORS_PORT = 8100,
    READY_PORT = 8200
};

static Str build;

static void
start_fleet(Fleet *fleet)
{
    StrBuf extra = {0};

    Fleet_Init(fleet, build, SUBNET, 1, 1);
    StrBuf_AppendFmt(&extra,
                     "\"ready\":\"%.*s:%d\",\"operators_open\":true,"
                     "\"stop_notice_ms\":300,\"header_fields\":{"
                     "\"request_id\":\"Lot-Id\",\"deadline_ms\":\"Wait-Ms\","
                     "\"outcome\":\"\",\"origin_service\":\"From-Service\","
                     "\"origin_value\":\"visor\",\"account\":\"Client\"}",
                     Str_ARG(fleet->vms[0].ip), READY_PORT);
    Fleet_SetExtraSettings(fleet, StrBuf_View(&extra));
    StrBuf_Finish(&extra);
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

/* Sends REQUEST to PORT and reads until the connection ends or no byte arrives
 * for WAIT. */
static void
exchange(Fleet *fleet, int port, Str request, Span wait, StrBuf *answer)
{
    int fd = Fleet_RawOpen(fleet, 0, port);

    StrBuf_Clear(answer);
    ck_assert_int_ge(fd, 0);
    Fleet_RawSend(fd, request);
    Fleet_RawRead(fd, wait, answer);
    Fleet_RawClose(fd);
}

typedef struct {
    const char *name;
    Str request;
    Span wait;       /* longest time without a received byte */
    Str expected[3]; /* in this order */
    Str absent;
} CallerCase;

static const CallerCase caller_cases[] = {
    {"three pipelined requests run at the same time",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER SLOW_HEADER
             "Lot-Id: one\r\n\r\n"
             "GET /visor/a HTTP/1.1\r\n" HOST_HEADER SLOW_HEADER
             "Lot-Id: two\r\n\r\n"
             "GET /visor/a HTTP/1.1\r\n" HOST_HEADER SLOW_HEADER
             "Lot-Id: three\r\n\r\n"),
     Span_MS(550),
     {Str_LIT("Lot-Id: one\r\n"), Str_LIT("Lot-Id: two\r\n"),
      Str_LIT("Lot-Id: three\r\n")},
     {0}},
    {"a fast request is answered after a slow one",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER SLOW_HEADER
             "Lot-Id: one\r\n\r\n"
             "GET /visor/a HTTP/1.1\r\n" HOST_HEADER "Lot-Id: two\r\n\r\n"),
     Span_MS(550),
     {Str_LIT("Lot-Id: one\r\n"), Str_LIT("Lot-Id: two\r\n")},
     {0}},
    {"no request is read after a rejected one",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER SLOW_HEADER
             "Lot-Id: one\r\n\r\n"
             "BREW /visor/a HTTP/1.1\r\n" HOST_HEADER "\r\n"
             "GET /visor/a HTTP/1.1\r\n" HOST_HEADER "Lot-Id: two\r\n\r\n"),
     Span_MS(550),
     {Str_LIT("Lot-Id: one\r\n"), Str_LIT("HTTP/1.1 501 ")},
     Str_LIT("Lot-Id: two\r\n")},
    {"the request id is returned",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER "Lot-Id: lot-7\r\n\r\n"),
     Span_MS(400),
     {Str_LIT("HTTP/1.1 200 OK\r\n"), Str_LIT("Lot-Id: lot-7\r\n")},
     Str_LIT("Outcome")},
    {"a forged origin is replaced",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER
             "From-Service: despachos\r\n"
             "X-Fake-Show: From-Service\r\n\r\n"),
     Span_MS(400),
     {Str_LIT("From-Service=visor\n")},
     Str_LIT("despachos")},
    {"the remaining deadline is forwarded",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER "Wait-Ms: 950\r\n"
             "X-Fake-Show: Wait-Ms\r\n\r\n"),
     Span_MS(400),
     {Str_LIT("Wait-Ms=9")},
     {0}},
    {"a malformed deadline",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER "Wait-Ms: -1\r\n\r\n"),
     Span_MS(400),
     {Str_LIT("HTTP/1.1 400 ")},
     Str_LIT("answer to")},
    {"a chunked body",
     Str_LIT("POST /visor/a HTTP/1.1\r\n" HOST_HEADER "X-Fake-Echo: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n4\r\nbarn\r\n0\r\n\r\n"),
     Span_MS(400),
     {Str_LIT("barn")},
     {0}},
};

START_TEST(requests_get_expected_answers)
{
    const CallerCase *c = &caller_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    Str rest;

    start_fleet(&fleet);
    exchange(&fleet, CALLERS_PORT, c->request, c->wait, &answer);
    rest = StrBuf_View(&answer);
    for (int i = 0; i < 3 && c->expected[i].len; i++) {
        const char *at = rest.ptr
                             ? memmem(rest.ptr, rest.len, c->expected[i].ptr,
                                      c->expected[i].len)
                             : NULL;
        ck_assert_msg(at != NULL, "%s: no \"%.*s\" at its position in %.*s",
                      c->name, Str_ARG(c->expected[i]), Str_ARG(answer));
        rest = Str_Slice(rest, (size_t)(at - rest.ptr) + c->expected[i].len,
                         rest.len);
    }
    ck_assert_msg(!c->absent.len || !contains(StrBuf_View(&answer), c->absent),
                  "%s: %.*s", c->name, Str_ARG(answer));
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

#define ROUTING(revision)                                                     \
    "{\"revision\":" revision ",\"routes\":[{\"name\":\"a\","                 \
    "\"host\":\"barns\",\"path\":\"/routed/\",\"kind\":\"idempotent\","       \
    "\"service\":\"visor\",\"priority\":1}],"                                 \
    "\"services\":[{\"name\":\"visor\",\"note\":\"kept\"}]}"

/* A route that names SERVICE beside a split. */
#define SPLIT_ROUTE(service)                                                  \
    "{\"name\":\"c\",\"host\":\"barns\",\"path\":\"/split/\","                \
    "\"kind\":\"idempotent\",\"service\":\"" service "\",\"split\":["         \
    "{\"service\":\"visor\",\"weight\":1}]}"

typedef struct {
    const char *path;
    const char *if_match; /* NULL: no such header */
    const char *body;
    Str status;
    Str fragment;
} OperatorStep;

/* All steps are sent to the same node, in this order. */
static const OperatorStep steps[] = {
    {"/v1/routing/read", NULL, "", Str_LIT(" 503 "), {0}},
    {"/v1/routing/put", NULL, ROUTING("2"), Str_LIT(" 400 "), {0}},
    {"/v1/routing/put", "0", "{\"revision\":2,\"rou", Str_LIT(" 400 "), {0}},
    {"/v1/routing/put", "0", ROUTING("2"), Str_LIT(" 200 "),
     Str_LIT("accepted")},
    {"/v1/routing/put", "0", ROUTING("2"), Str_LIT(" 200 "),
     Str_LIT("\"again\":true")},
    {"/v1/routing/put", "0", ROUTING("3"), Str_LIT(" 412 "), {0}},
    {"/v1/routing/put", "2", ROUTING("1"), Str_LIT(" 400 "),
     Str_LIT("not above")},
    {"/v1/routing/patch", "2",
     "{\"revision\":4,\"upsert\":{\"routes\":[{\"name\":\"b\"}]}}",
     Str_LIT(" 400 "), Str_LIT("missing")},
    {"/v1/routing/put", "2",
     "{\"revision\":4,\"routes\":[" SPLIT_ROUTE(
         "nobody") "],"
                   "\"services\":[{\"name\":\"visor\"}]}",
     Str_LIT(" 400 "), Str_LIT("unknown service")},
    {"/v1/routing/patch", "2",
     "{\"revision\":4,\"upsert\":{\"routes\":[" SPLIT_ROUTE("nobody") "]}}",
     Str_LIT(" 400 "), Str_LIT("/routing/routes/c/service")},
    {"/v1/routing/patch",
     "2",
     "{\"revision\":3,\"upsert\":{\"routes\":[" SPLIT_ROUTE("visor") "]}}",
     Str_LIT(" 200 "),
     {0}},
    {"/v1/routing/patch", "3",
     "{\"revision\":4,\"remove\":{\"services\":[\"visor\"]}}",
     Str_LIT(" 400 "), Str_LIT("unknown service")},
    {"/v1/routing/patch", "3", "{\"revision\":4}", Str_LIT(" 200 "), {0}},
    {"/v1/routing/read", NULL, "", Str_LIT(" 200 "),
     Str_LIT("\"note\":\"kept\"")},
    {"/v1/routing/read", NULL, "", Str_LIT(" 200 "),
     Str_LIT("\"revision\":4")},
};

static void
build_operators_request(const OperatorStep *step, StrBuf *out)
{
    StrBuf_Clear(out);
    StrBuf_AppendFmt(out, "POST %s HTTP/1.1\r\n" HOST_HEADER, step->path);
    if (step->if_match) {
        StrBuf_AppendFmt(out, "If-Match: %s\r\n", step->if_match);
    }
    StrBuf_AppendFmt(out, "Content-Length: %zu\r\n\r\n%s", strlen(step->body),
                     step->body);
}

START_TEST(operators_send_routing)
{
    Fleet fleet;
    StrBuf request = {0};
    StrBuf answer = {0};

    start_fleet(&fleet);
    for (int i = 0; i < ROWS(steps); i++) {
        const OperatorStep *step = &steps[i];
        build_operators_request(step, &request);
        exchange(&fleet, OPERATORS_PORT, StrBuf_View(&request), Span_MS(300),
                 &answer);
        ck_assert_msg(contains(StrBuf_View(&answer), step->status) &&
                          contains(StrBuf_View(&answer), step->fragment),
                      "step %d: %.*s", i, Str_ARG(answer));
    }
    exchange(&fleet, CALLERS_PORT,
             Str_LIT("GET /routed/a HTTP/1.1\r\n" HOST_HEADER
                     "Lot-Id: one\r\n\r\n"),
             Span_MS(400), &answer);
    ck_assert_msg(contains(StrBuf_View(&answer), Str_LIT("Lot-Id: one\r\n")),
                  "%.*s", Str_ARG(answer));
    exchange(&fleet, CALLERS_PORT,
             Str_LIT("GET /routed/a HTTP/1.1\r\nHost: other\r\n\r\n"),
             Span_MS(400), &answer);
    ck_assert(contains(StrBuf_View(&answer), Str_LIT(" 404 ")));
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

#define ACCOUNTS                                                              \
    "{\"revision\":1,\"routes\":[{\"name\":\"a\",\"host\":\"barns\","         \
    "\"path\":\"/keyed/\",\"kind\":\"idempotent\",\"service\":\"visor\"},"    \
    "{\"name\":\"b\",\"host\":\"barns\",\"path\":\"/open/\","                 \
    "\"kind\":\"idempotent\",\"service\":\"visor\",\"public\":true}],"        \
    "\"services\":[{\"name\":\"visor\"}],\"accounts\":[{\"name\":\"farms\","  \
    "\"keys\":[\"k-one\"]}]}"

typedef struct {
    const char *name;
    Str request;
    Str expected;
    Str absent;
} AccountCase;

static const AccountCase account_cases[] = {
    {"a key becomes its account's name",
     Str_LIT("GET /keyed/a HTTP/1.1\r\n" HOST_HEADER
             "Authorization: Bearer k-one\r\nX-Fake-Show: Client\r\n\r\n"),
     Str_LIT("Client=farms\n"), Str_LIT("k-one")},
    {"a name that the caller gives counts for nothing",
     Str_LIT("GET /keyed/a HTTP/1.1\r\n" HOST_HEADER "Client: towns\r\n"
             "Authorization: Bearer k-one\r\nX-Fake-Show: Client\r\n\r\n"),
     Str_LIT("Client=farms\n"), Str_LIT("towns")},
    {"the key goes no further",
     Str_LIT("GET /keyed/a HTTP/1.1\r\n" HOST_HEADER
             "Authorization: Bearer k-one\r\n"
             "X-Fake-Show: Authorization\r\n\r\n"),
     Str_LIT(" 200 "), Str_LIT("k-one")},
    {"nor does it on a public route",
     Str_LIT("GET /open/a HTTP/1.1\r\n" HOST_HEADER
             "Authorization: Bearer k-one\r\nClient: towns\r\n"
             "X-Fake-Show: Authorization\r\n\r\n"),
     Str_LIT(" 200 "), Str_LIT("k-one")},
    {"a public route needs no key",
     Str_LIT("GET /open/a HTTP/1.1\r\n" HOST_HEADER "\r\n"),
     Str_LIT(" 200 "),
     {0}},
    {"an unknown key",
     Str_LIT("GET /keyed/a HTTP/1.1\r\n" HOST_HEADER
             "Authorization: Bearer k-two\r\n\r\n"),
     Str_LIT(" 401 "), Str_LIT(" 200 ")},
    {"no key", Str_LIT("GET /keyed/a HTTP/1.1\r\n" HOST_HEADER "\r\n"),
     Str_LIT(" 401 "), Str_LIT(" 200 ")},
    {"another scheme",
     Str_LIT("GET /keyed/a HTTP/1.1\r\n" HOST_HEADER
             "Authorization: Basic k-one\r\n\r\n"),
     Str_LIT(" 401 "), Str_LIT(" 200 ")},
};

START_TEST(replaces_key_by_account)
{
    const AccountCase *c = &account_cases[_i];
    const OperatorStep put = {
        "/v1/routing/put", "0", ACCOUNTS, Str_LIT(" 200 "), {0}};
    Fleet fleet;
    StrBuf request = {0};
    StrBuf answer = {0};

    start_fleet(&fleet);
    build_operators_request(&put, &request);
    exchange(&fleet, OPERATORS_PORT, StrBuf_View(&request), Span_MS(300),
             &answer);
    ck_assert_msg(contains(StrBuf_View(&answer), put.status), "%.*s",
                  Str_ARG(answer));
    Fleet_Sleep(Span_MS(500));
    exchange(&fleet, CALLERS_PORT, c->request, Span_MS(400), &answer);
    ck_assert_msg(
        contains(StrBuf_View(&answer), c->expected) &&
            !(c->absent.len && contains(StrBuf_View(&answer), c->absent)),
        "%s: %.*s", c->name, Str_ARG(answer));
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

static bool
is_ready(Fleet *fleet)
{
    StrBuf answer = {0};
    bool ready;

    exchange(fleet, READY_PORT,
             Str_LIT("GET /v1/ready HTTP/1.1\r\n" HOST_HEADER "\r\n"),
             Span_MS(100), &answer);
    ready = contains(StrBuf_View(&answer), Str_LIT(" 200 "));
    StrBuf_Finish(&answer);
    return ready;
}

typedef struct {
    const char *name;
    Str request; /* sent before the stop */
    Str expected[2];
} StopCase;

static const StopCase stop_cases[] = {
    {"a running request",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER SLOW_HEADER
             "Lot-Id: one\r\n\r\n"),
     {Str_LIT("Lot-Id: one\r\n")}},
    /* The answer to the second request is ready before the stop.  Both
     * answers are sent when the first request's deadline of 1.5 s passes,
     * at the time at which idle connections are closed. */
    {"a ready answer behind a late one",
     Str_LIT("GET /visor/a HTTP/1.1\r\n" HOST_HEADER
             "X-Fake-Time-Us: 4000000\r\n"
             "Wait-Ms: 1500\r\nLot-Id: one\r\n\r\n"
             "GET /visor/a HTTP/1.1\r\n" HOST_HEADER "Lot-Id: two\r\n\r\n"),
     {Str_LIT("Lot-Id: one\r\n"), Str_LIT("Lot-Id: two\r\n")}},
};

/* A node that gets SIGTERM reports at once that it is not ready, still accepts
 * calls for stop_notice_ms and answers all calls before it exits. */
START_TEST(stops_with_notice)
{
    const StopCase *c = &stop_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    int fd;
    int status = 0;

    start_fleet(&fleet);
    ck_assert(is_ready(&fleet));
    fd = Fleet_RawOpen(&fleet, 0, CALLERS_PORT);
    Fleet_RawSend(fd, c->request);
    Fleet_Sleep(Span_MS(100));
    kill(fleet.vms[0].node, SIGTERM);
    Fleet_Sleep(Span_MS(50));
    ck_assert(!is_ready(&fleet));
    Fleet_RawRead(fd, Span_S(3), &answer);
    for (int i = 0; i < 2; i++) {
        ck_assert_msg(contains(StrBuf_View(&answer), c->expected[i]),
                      "%s: %.*s", c->name, Str_ARG(answer));
    }
    Fleet_RawClose(fd);
    ck_assert_int_eq(waitpid(fleet.vms[0].node, &status, 0),
                     fleet.vms[0].node);
    fleet.vms[0].node = 0;
    ck_assert_int_eq(status, 0);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *name;
    bool sends_signal;       /* false: only the file changes */
    const char *sed_script;  /* edits the settings file; NULL: none */
    const char *log_pattern; /* grep pattern, expected in the log */
} ReloadCase;

static const ReloadCase reload_cases[] = {
    {"signal", true, NULL, "settings_read"},
    {"changed file", false, "s/vm0/vm00/", "settings_read"},
    {"invalid file", true, "s/name/nam/", "settings_refused"},
};

/* Returns whether a line that matches LOG_PATTERN appears in the node's log
 * within five seconds. */
static bool
is_logged(const Fleet *fleet, const char *log_pattern)
{
    StrBuf command = {0};
    bool found = false;

    StrBuf_AppendFmt(&command, "grep -q %s %.*s/node0.json.log", log_pattern,
                     Str_ARG(fleet->folder));
    for (int i = 0; i < 50 && !found; i++) {
        found = system(StrBuf_CStr(&command)) == 0;
        Fleet_Sleep(Span_MS(100));
    }
    StrBuf_Finish(&command);
    return found;
}

START_TEST(reads_settings_again)
{
    const ReloadCase *c = &reload_cases[_i];
    Fleet fleet;
    StrBuf command = {0};

    start_fleet(&fleet);
    if (c->sed_script) {
        StrBuf_AppendFmt(&command, "sed -i %s %.*s/node0.json", c->sed_script,
                         Str_ARG(fleet.folder));
        ck_assert_int_eq(system(StrBuf_CStr(&command)), 0);
    }
    if (c->sends_signal) {
        kill(fleet.vms[0].node, SIGHUP);
    }
    ck_assert_msg(is_logged(&fleet, c->log_pattern), "%s", c->name);
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(2)));
    StrBuf_Finish(&command);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *name;
    Str request;
    Str status;
    const char *log_pattern;
} RefusedCase;

static const RefusedCase refused_cases[] = {
    {"no such path",
     Str_LIT("GET /nowhere?secret HTTP/1.1\r\n" HOST_HEADER
             "Lot-Id: lot-7\r\n\r\n"),
     Str_LIT("HTTP/1.1 404 "),
     "'call_refused.*request=lot-7 why=no_route .* path=/nowhere version=.* "
     "known_ms=[0-9]* from=[0-9]'"},
};

START_TEST(refusals_are_logged)
{
    const RefusedCase *c = &refused_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};

    start_fleet(&fleet);
    exchange(&fleet, CALLERS_PORT, c->request, Span_MS(400), &answer);
    ck_assert_msg(Str_StartsWith(StrBuf_View(&answer), c->status), "%s: %.*s",
                  c->name, Str_ARG(answer));
    ck_assert_msg(is_logged(&fleet, c->log_pattern), "%s: not logged",
                  c->name);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {requests_get_expected_answers, ROWS(caller_cases)},
        {operators_send_routing, 1},
        {replaces_key_by_account, ROWS(account_cases)},
        {stops_with_notice, ROWS(stop_cases)},
        {reads_settings_again, ROWS(reload_cases)},
        {refusals_are_logged, ROWS(refused_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("platform", tests, ROWS(tests), 60);
}
