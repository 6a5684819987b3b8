/* A graceful stop of a node interrupts no request, loses none and runs none
 * twice.
 */
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

enum { VMS = 4 };

static const Str preset = Str_LIT(
    "{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
    "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
    "\"method\":\"GET\",\"interactive\":true,\"idempotent\":true},"
    "{\"service\":\"visor\",\"route\":\"book\",\"method\":\"POST\","
    "\"path\":\"/visor/\"},"
    "{\"service\":\"visor\",\"route\":\"keyed\",\"method\":\"POST\","
    "\"path\":\"/visor/keyed/\",\"key_header\":\"Idempotency-Key\"}]}");

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 54, VMS, 3);
    Fleet_SetPreset(fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = 0; i < VMS; i++) {
        Fleet_StartBackend(fleet, i, Str_LIT("visor"), (Str){0});
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Fleet_Sleep(Span_S(1));
}

typedef struct {
    const char *name;
    Str method;
    Str path;
    Str headers;
} RollCase;

static const RollCase roll_cases[] = {
    {"reads", Str_LIT("GET"), Str_LIT("/visor/a"), {0}},
    {"bookings", Str_LIT("POST"), Str_LIT("/visor/a"), {0}},
    {"keyed bookings", Str_LIT("POST"), Str_LIT("/visor/keyed/a"), {0}},
    {"large answers", Str_LIT("GET"), Str_LIT("/visor/a"),
     Str_LIT("X-Fake-Size: 1000000")},
    {"long bookings", Str_LIT("POST"), Str_LIT("/visor/a"),
     Str_LIT("X-Fake-Time-Us: 300000")},
};

enum { ROLL_COUNT = sizeof roll_cases / sizeof roll_cases[0] };

START_TEST(rolling_over_all_nodes)
{
    const RollCase *c = &roll_cases[_i];
    Fleet fleet;
    FleetLoad load = {.method = c->method,
                      .path = c->path,
                      .headers = c->headers,
                      .node_count = VMS,
                      .process_count = 6,
                      .pause = Span_MS(5)};
    FleetTotals totals;

    start_fleet(&fleet);
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(Span_MS(300));
    for (int i = 0; i < VMS; i++) {
        int status = Fleet_Kill(&fleet.vms[i].node, SIGTERM);
        ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
                      "%s: node %d: status %x", c->name, i, status);
        Fleet_StartNode(&fleet, i);
        ck_assert(
            Fleet_WaitForPath(&fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    /* Nodes start so fast that without this wait too few long calls would
     * run. */
    Fleet_Sleep(Span_S(2));
    totals = Fleet_StopLoad(&fleet, &load);
    fprintf(stderr,
            "%s: %d calls, %d ran, %d not run, %d unknown, %d incomplete, "
            "%d duplicated, %d contradicted\n",
            c->name, totals.calls, totals.ran, totals.not_run, totals.unknown,
            totals.incomplete, totals.duplicated, totals.contradicted);
    ck_assert_int_gt(totals.ran, 100);
    ck_assert_int_eq(totals.incomplete, 0);
    ck_assert_int_eq(totals.unknown, 0);
    ck_assert_int_eq(totals.not_run, 0);
    ck_assert_int_eq(totals.duplicated, 0);
    ck_assert_int_eq(totals.contradicted, 0);
    Fleet_Finish(&fleet);
}
END_TEST

/* A node that stops closes its callers' connections after the answers under
 * way. */
typedef struct {
    const char *name;
    int request_us;   /* service time of the request; 0: idle connection */
    int answer_bytes; /* of the answer's body */
} CloseCase;

static const CloseCase close_cases[] = {
    {"idle", 0, 0},
    {"under way", 1000000, 10},
    {"large answer", 300000, 20000000},
};

enum { CLOSE_COUNT = sizeof close_cases / sizeof close_cases[0] };

/* Whether the node closes the connection FD, after the complete answer when a
 * request is under way.  Appends what it sends to ANSWER. */
static bool
closes_gracefully(int fd, const CloseCase *c, StrBuf *answer)
{
    if (!Fleet_RawRead(fd, Span_S(4), answer)) {
        return false;
    }
    return c->request_us == 0 ||
           (answer->len > (size_t)c->answer_bytes &&
            Str_StartsWith(StrBuf_View(answer), Str_LIT("HTTP/1.1 200 ")));
}

START_TEST(connections_close_gracefully)
{
    const CloseCase *c = &close_cases[_i];
    Fleet fleet;
    StrBuf request = {0};
    StrBuf answer = {0};
    int fd;

    start_fleet(&fleet);
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    StrBuf_AppendFmt(&request,
                     "GET /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Fake-Time-Us: %d\r\nX-Fake-Size: %d\r\n\r\n",
                     c->request_us, c->answer_bytes);
    Fleet_RawSend(fd, StrBuf_View(&request));
    if (c->request_us == 0) {
        Fleet_RawRead(fd, Span_MS(200), &answer);
    }
    Fleet_Sleep(Span_MS(100));
    kill(fleet.vms[0].node, SIGTERM);
    ck_assert_msg(closes_gracefully(fd, c, &answer), "%s: %.*s", c->name,
                  (int)(answer.len < 300 ? answer.len : 300), answer.ptr);
    ck_assert_int_eq(Fleet_Kill(&fleet.vms[0].node, SIGTERM), 0);
    ck_assert_int_eq(Fleet_RawOpen(&fleet, 0, 8000), -1);
    Fleet_RawClose(fd);
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{rolling_over_all_nodes, ROLL_COUNT},
                               {connections_close_gracefully, CLOSE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("graceful stop", tests, 2, 60);
}
