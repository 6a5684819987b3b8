/* The operators' HTTP port: authentication, malformed requests, contents of
 * answers, and limits on pending requests and connections.  After each row the
 * node still answers requests.
 */
#include "fleet.h"
#include "support/suite.h"

static Str build;

enum { CALLERS_PORT = 8000, OPERATORS_PORT = 8100 };

#define KEY_HEADER "Authorization: Bearer test-key\r\n"
#define GET(path, headers)                                                    \
    Str_LIT("GET " path " HTTP/1.1\r\nHost: n\r\n" headers                    \
            "Connection: close\r\n\r\n")
typedef struct {
    Str request;
    Str status;     /* expected; empty: any answer, or none */
    Str fragment;   /* expected in the answer; empty: not checked */
    bool is_denied; /* the counter of denied requests increases */
} RequestCase;

static const RequestCase cases[] = {
    {GET("/v1/status", KEY_HEADER), Str_LIT("200"), Str_LIT("\"members\""),
     false},
    {GET("/v1/timeline?limit=1", KEY_HEADER), Str_LIT("200"),
     Str_LIT("\"events\""), false},
    {GET("/metrics", ""), Str_LIT("200"),
     Str_LIT("# TYPE lycheeridge_members gauge"), false},
    {GET("/metrics", ""), Str_LIT("200"),
     Str_LIT("# TYPE lycheeridge_call_seconds histogram"), false},
    {GET("/metrics", ""), Str_LIT("200"),
     Str_LIT("# TYPE lycheeridge_run_seconds histogram"), false},
    /* missing or wrong key */
    {GET("/v1/status", ""), Str_LIT("401"), Str_LIT("denied"), true},
    {GET("/v1/status", "Authorization: Bearer test-kez\r\n"),
     Str_LIT("401"),
     {0},
     true},
    {GET("/v1/status", "Authorization: Bearer test-key2\r\n"),
     Str_LIT("401"),
     {0},
     true},
    {GET("/v1/status", "Authorization: Bearer \r\n"),
     Str_LIT("401"),
     {0},
     true},
    {GET("/v1/status", "Authorization: test-key\r\n"),
     Str_LIT("401"),
     {0},
     true},
    {GET("/v1/timeline", ""), Str_LIT("401"), {0}, true},
    {GET("/v1/presets", ""), Str_LIT("401"), {0}, true},
    {GET("/v1/versions", ""), Str_LIT("401"), {0}, true},
    {Str_LIT("POST /v1/change HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
             "Content-Length: 2\r\n\r\n{}"),
     Str_LIT("401"),
     {0},
     true},
    /* malformed requests */
    {GET("/v1/timeline?limit=0", KEY_HEADER), Str_LIT("400"),
     Str_LIT("malformed"), false},
    {GET("/v1/timeline?limit=1025", KEY_HEADER), Str_LIT("400"), {0}, false},
    {GET("/v1/timeline?limit=x", KEY_HEADER), Str_LIT("400"), {0}, false},
    {GET("/v1/timeline?since=-1", KEY_HEADER), Str_LIT("400"), {0}, false},
    {GET("/v1/presets/show", KEY_HEADER), Str_LIT("400"), {0}, false},
    {GET("/v1/nothing", KEY_HEADER), Str_LIT("404"), Str_LIT("not_found"),
     false},
    {Str_LIT("POST /v1/change HTTP/1.1\r\nHost: n\r\n" KEY_HEADER
             "Connection: close\r\nContent-Length: 2\r\n\r\n[]"),
     Str_LIT("400"), Str_LIT("refused"), false},
    {Str_LIT("GET\r\n\r\n"), {0}, {0}, false},
    {Str_LIT("\x16\x03\x01\x02\x00\x01\xff\xff\r\n\r\n"), {0}, {0}, false},
    {Str_LIT("GET / HTTP/9.9\r\n\r\n"), {0}, {0}, false},
    {Str_LIT("POST /v1/announce HTTP/1.1\r\nHost: n\r\n"
             "Content-Length: 99999999999\r\n\r\n"),
     Str_LIT("413"),
     {0},
     false},
    {Str_LIT("POST /v1/announce HTTP/1.1\r\nHost: n\r\n"
             "Content-Length: -1\r\n\r\n"),
     Str_LIT("400"),
     {0},
     false},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

typedef struct {
    Str body;
    Str status;
    Str fragment; /* of the reported error */
} AnnounceCase;

static const AnnounceCase announcements[] = {
    {Str_LIT("{\"service\":\"visor\",\"port\":9000,\"slots\":9}"),
     Str_LIT("204"),
     {0}},
    {Str_LIT(" "), Str_LIT("400"), Str_LIT("line 1")},
    {Str_LIT("{}"), Str_LIT("400"), Str_LIT("/service")},
    {Str_LIT("[1]"), Str_LIT("400"), Str_LIT("not an object")},
    {Str_LIT("{\"service\":\"visor\",\"port\":9000,\"slots\":9"),
     Str_LIT("400"), Str_LIT("line 1")},
    {Str_LIT("{\"service\":\"visor\",\"port\":70000,\"slots\":9}"),
     Str_LIT("400"), Str_LIT("/port")},
    {Str_LIT("{\"service\":\"visor\",\"port\":-9000,\"slots\":-9}"),
     Str_LIT("400"), Str_LIT("/slots")},
    {Str_LIT("{\"service\":\"\",\"port\":9000,\"slots\":9}"), Str_LIT("400"),
     Str_LIT("/service")},
    {Str_LIT("{\"service\":1,\"port\":9000,\"slots\":9}"), Str_LIT("400"),
     Str_LIT("/service")},
    {Str_LIT("{\"service\":\"visor\",\"port\":9000,\"slots\":9,\"x\":1}"),
     Str_LIT("400"), Str_LIT("/x")},
    {Str_LIT(
         "{\"service\":\"visor\",\"port\":9000,\"slots\":9,\"port\":9001}"),
     Str_LIT("400"), Str_LIT("duplicate")},
    {Str_LIT(
         "{\"service\":\"visor\",\"port\":9000,\"slots\":9,\"draining\":1}"),
     Str_LIT("400"), Str_LIT("/draining")},
    {Str_LIT("{\"service\":\"\xff\",\"port\":9000,\"slots\":9}"),
     Str_LIT("400"), Str_LIT("unable to decode")},
};

enum { ANNOUNCEMENT_COUNT = sizeof announcements / sizeof announcements[0] };

static bool
contains(Str text, Str fragment)
{
    for (size_t i = 0; i + fragment.len <= text.len; i++) {
        if (Str_Equal(Str_Slice(text, i, fragment.len), fragment)) {
            return true;
        }
    }
    return false;
}

static void
send_raw(Fleet *fleet, Str request, StrBuf *answer)
{
    int fd = Fleet_RawOpen(fleet, 0, OPERATORS_PORT);

    Fleet_RawSend(fd, request);
    Fleet_RawRead(fd, Span_MS(300), answer);
    Fleet_RawClose(fd);
}

static uint64_t
read_counter(Fleet *fleet, const char *name)
{
    StrBuf text = {0};
    uint64_t number;

    StrBuf_AppendFmt(&text, "lycheeridge_%s_total", name);
    number = Fleet_ReadCounter(fleet, 0, StrBuf_View(&text));
    StrBuf_Finish(&text);
    return number;
}

static void
start_node(Fleet *fleet)
{
    StrBuf ready = {0};

    Fleet_Init(fleet, build, 65, 1, 1);
    Fleet_StartNode(fleet, 0);
    for (int tries = 0; tries < 100 && !Fleet_Get(fleet, 0, OPERATORS_PORT,
                                                  Str_LIT("/metrics"), &ready);
         tries++) {
        Fleet_Sleep(Span_MS(50));
    }
    StrBuf_Finish(&ready);
}

static void
append_post(Str path, Str body, StrBuf *out)
{
    StrBuf_AppendFmt(out,
                     "POST %.*s HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
                     "Authorization: Bearer test-key\r\n"
                     "Content-Length: %zu\r\n\r\n%.*s",
                     Str_ARG(path), body.len, Str_ARG(body));
}

START_TEST(announcements_get_expected_answers)
{
    Fleet fleet;

    start_node(&fleet);
    for (int row = 0; row < ANNOUNCEMENT_COUNT; row++) {
        const AnnounceCase *c = &announcements[row];
        StrBuf request = {0};
        StrBuf answer = {0};
        append_post(Str_LIT("/v1/announce"), c->body, &request);
        send_raw(&fleet, StrBuf_View(&request), &answer);
        ck_assert_msg(
            Str_Equal(Str_Slice(StrBuf_View(&answer), 9, 3), c->status) &&
                contains(StrBuf_View(&answer), c->fragment),
            "row %d: %s", row, StrBuf_CStr(&answer));
        StrBuf_Finish(&request);
        StrBuf_Finish(&answer);
    }
    Fleet_Finish(&fleet);
}
END_TEST

START_TEST(requests_get_expected_answers)
{
    Fleet fleet;

    start_node(&fleet);
    for (int row = 0; row < CASE_COUNT; row++) {
        const RequestCase *c = &cases[row];
        uint64_t denied = read_counter(&fleet, "denied");
        StrBuf answer = {0};
        StrBuf after = {0};
        send_raw(&fleet, c->request, &answer);
        if (c->status.len) {
            ck_assert_msg(
                Str_Equal(Str_Slice(StrBuf_View(&answer), 9, 3), c->status),
                "row %d: %s", row, StrBuf_CStr(&answer));
        }
        ck_assert_msg(contains(StrBuf_View(&answer), c->fragment),
                      "row %d: %s", row, StrBuf_CStr(&answer));
        ck_assert_msg(read_counter(&fleet, "denied") == denied + c->is_denied,
                      "row %d: wrong count of denied requests", row);
        ck_assert_msg(Fleet_Get(&fleet, 0, OPERATORS_PORT,
                                Str_LIT("/v1/status"), &after),
                      "row %d: the node no longer answers", row);
        StrBuf_Finish(&answer);
        StrBuf_Finish(&after);
    }
    Fleet_Finish(&fleet);
}
END_TEST

START_TEST(records_denied_requests)
{
    Fleet fleet;
    StrBuf answer = {0};
    StrBuf events = {0};

    start_node(&fleet);
    send_raw(&fleet, GET("/v1/presets", ""), &answer);
    ck_assert(Fleet_Get(&fleet, 0, OPERATORS_PORT, Str_LIT("/v1/timeline"),
                        &events));
    ck_assert(contains(StrBuf_View(&events), Str_LIT("\"kind\":\"denied\"")));
    ck_assert(contains(StrBuf_View(&events), Str_LIT("path=/v1/presets")));
    StrBuf_Finish(&answer);
    StrBuf_Finish(&events);
    Fleet_Finish(&fleet);
}
END_TEST

/* Two of three control replicas do not run, so a change finds no leader and
 * stays pending for some time.  Changes beyond Opr_PENDING_MAX are shed. */
START_TEST(sheds_requests_over_the_limit)
{
    enum { REQUESTS = 90 };
    static const Str change =
        Str_LIT("{\"id\":\"i\",\"base\":{\"term\":0,\"index\":0},"
                "\"verb\":\"use\",\"name\":\"ordinary\"}");
    StrBuf request = {0};
    Fleet fleet;
    int fds[REQUESTS];
    StrBuf after = {0};
    uint64_t shed;

    Fleet_Init(&fleet, build, 66, 3, 3);
    Fleet_StartNode(&fleet, 0);
    Fleet_Sleep(Span_MS(500));
    append_post(Str_LIT("/v1/change"), change, &request);
    for (int i = 0; i < REQUESTS; i++) {
        fds[i] = Fleet_RawOpen(&fleet, 0, OPERATORS_PORT);
        Fleet_RawSend(fds[i], StrBuf_View(&request));
    }
    Fleet_Sleep(Span_MS(300));
    shed = read_counter(&fleet, "operators_busy");
    ck_assert_msg(shed > 0 && shed < REQUESTS, "%llu shed",
                  (unsigned long long)shed);
    for (int i = 0; i < REQUESTS; i++) {
        Fleet_RawClose(fds[i]);
    }
    /* Pending changes stop counting when they time out. */
    for (int tries = 0;
         tries < 200 &&
         !Fleet_Get(&fleet, 0, OPERATORS_PORT, Str_LIT("/v1/status"), &after);
         tries++) {
        Fleet_Sleep(Span_MS(100));
    }
    ck_assert(after.len);
    StrBuf_Finish(&after);
    StrBuf_Finish(&request);
    Fleet_Finish(&fleet);
}
END_TEST

enum { CONNECTIONS_MAX = 4, IDLE_MS = 1500, IDLE_COUNT_MAX = 40 };

/* A request that arrives while idle_count idle connections are open. */
typedef struct {
    int idle_count;
    int port;
    Str request;
    Str status;
    Str fragment;
    bool is_refused;  /* counted as refused because of the limit */
    bool closes_idle; /* idle connections are closed to make room */
} ConnectionCase;

#define ANNOUNCE_REQUEST                                                      \
    Str_LIT("POST /v1/announce HTTP/1.1\r\nHost: n\r\n"                       \
            "Content-Length: 41\r\n\r\n"                                      \
            "{\"service\":\"visor\",\"port\":9000,\"slots\":9}")

static const ConnectionCase connection_cases[] = {
    {CONNECTIONS_MAX - 1, OPERATORS_PORT, GET("/v1/status", KEY_HEADER),
     Str_LIT("200"), Str_LIT("members"), false, false},
    {CONNECTIONS_MAX, OPERATORS_PORT, GET("/v1/status", KEY_HEADER),
     Str_LIT("503"), Str_LIT("Retry-After: 1"), true, false},
    /* refused in the same way without the key */
    {CONNECTIONS_MAX, OPERATORS_PORT, GET("/v1/status", ""), Str_LIT("503"),
     Str_LIT("Connection: close"), true, false},
    {CONNECTIONS_MAX, OPERATORS_PORT, ANNOUNCE_REQUEST, Str_LIT("204"),
     Str_LIT("Connection: close"), false, false},
    {CONNECTIONS_MAX, OPERATORS_PORT, GET("/metrics", ""), Str_LIT("200"),
     Str_LIT("lycheeridge_members"), false, false},
    {CONNECTIONS_MAX, CALLERS_PORT, GET("/none", ""), Str_LIT("404"),
     Str_LIT("not-run"), false, false},
    {IDLE_COUNT_MAX, OPERATORS_PORT, GET("/v1/status", KEY_HEADER),
     Str_LIT("503"), Str_LIT("busy"), true, true},
    {IDLE_COUNT_MAX,
     OPERATORS_PORT,
     ANNOUNCE_REQUEST,
     Str_LIT("204"),
     {0},
     false,
     true},
    {IDLE_COUNT_MAX,
     CALLERS_PORT,
     GET("/none", ""),
     Str_LIT("404"),
     {0},
     false,
     true},
};

static void
wait_for_callers_port(Fleet *fleet)
{
    long status = 0;

    for (int tries = 0; tries < 200 && status != 404; tries++) {
        FleetAnswer answer = {0};
        Fleet_Call(fleet, 0, Str_LIT("GET"), Str_LIT("/none"), (Str){0},
                   (Str){0}, &answer);
        status = answer.status;
        Fleet_FinishAnswer(&answer);
        Fleet_Sleep(Span_MS(50));
    }
    ck_assert_int_eq(status, 404);
}

START_TEST(limits_connections)
{
    const ConnectionCase *c = &connection_cases[_i];
    Fleet fleet;
    int fds[IDLE_COUNT_MAX] = {0};
    StrBuf answer = {0};
    int fd;

    Fleet_Init(&fleet, build, 66, 1, 1);
    Fleet_SetExtraSettings(&fleet, Str_LIT("\"operators_connections_max\":4,"
                                           "\"operators_idle_ms\":1500"));
    Fleet_StartNode(&fleet, 0);
    wait_for_callers_port(&fleet);
    for (int i = 0; i < c->idle_count; i++) {
        fds[i] = Fleet_RawOpen(&fleet, 0, OPERATORS_PORT);
    }
    fd = Fleet_RawOpen(&fleet, 0, c->port);
    Fleet_RawSend(fd, c->request);
    Fleet_RawRead(fd, Span_S(3), &answer);
    Fleet_RawClose(fd);
    ck_assert_msg(
        Str_Equal(Str_Slice(StrBuf_View(&answer), 9, 3), c->status) &&
            contains(StrBuf_View(&answer), c->fragment),
        "%s", StrBuf_CStr(&answer));
    ck_assert_int_eq(read_counter(&fleet, "operators_over") > 0,
                     c->is_refused);
    ck_assert_int_eq(read_counter(&fleet, "operators_closed") > 0,
                     c->closes_idle);
    /* The node closes idle connections after operators_idle_ms; then new
     * requests are accepted again. */
    for (int i = 0; i < c->idle_count; i++) {
        StrBuf rest = {0};
        ck_assert(Fleet_RawRead(fds[i], Span_MS(2 * IDLE_MS), &rest));
        Fleet_RawClose(fds[i]);
        StrBuf_Finish(&rest);
    }
    StrBuf_Clear(&answer);
    fd = Fleet_RawOpen(&fleet, 0, OPERATORS_PORT);
    Fleet_RawSend(fd, GET("/v1/status", KEY_HEADER));
    Fleet_RawRead(fd, Span_S(3), &answer);
    Fleet_RawClose(fd);
    ck_assert(
        Str_Equal(Str_Slice(StrBuf_View(&answer), 9, 3), Str_LIT("200")));
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {requests_get_expected_answers, 1},
        {announcements_get_expected_answers, 1},
        {records_denied_requests, 1},
        {sheds_requests_over_the_limit, 1},
        {limits_connections,
         sizeof connection_cases / sizeof connection_cases[0]},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("operators", tests, 5, 60);
}
