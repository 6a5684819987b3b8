/* A graceful stop of a node interrupts no request, loses none and runs none
 * twice.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
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

/* Deadlines are longer than a stop. */
static const Str long_preset =
    Str_LIT("{\"name\":\"long\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"method\":\"GET\",\"interactive\":true,\"idempotent\":true,"
            "\"deadline_ms\":10000},"
            "{\"service\":\"visor\",\"route\":\"book\",\"method\":\"POST\","
            "\"path\":\"/visor/\",\"deadline_ms\":10000}]}");

/* Half of this time after the signal, no call is started any more. */
enum { STOP_BOUND_MS = 4000 };

/* Work that keeps the stopping node busy until shortly before its time limit,
 * and work that a late call would not finish before it. */
#define BUSY_TIME "X-Fake-Time-Us: 3600000\r\n"
#define LONG_TIME "X-Fake-Time-Us: 2500000\r\n"
#define SHORT_TIME "X-Fake-Time-Us: 100000\r\n"

typedef struct {
    const char *name;
    Str request; /* its body of one byte is sent SENT_AFTER the signal */
    Span sent_after;
    Str answer;       /* how the answer begins */
    bool is_answered; /* else it is rejected as not run */
    bool finds_queue; /* the only slot is taken */
} LateCase;

#define POST_HEAD                                                             \
    "POST /visor/a HTTP/1.1\r\nHost: barns\r\nContent-Length: 1\r\n"
#define GET_HEAD                                                              \
    "GET /visor/a HTTP/1.1\r\nHost: barns\r\nContent-Length: 1\r\n"

static const LateCase late_cases[] = {
    {"early booking", Str_LIT(POST_HEAD SHORT_TIME "\r\n"), Span_MS(600),
     Str_LIT("HTTP/1.1 200 "), true, false},
    {"late booking", Str_LIT(POST_HEAD LONG_TIME "\r\n"), Span_MS(2600),
     Str_LIT("HTTP/1.1 503 "), false, false},
    {"late short booking", Str_LIT(POST_HEAD SHORT_TIME "\r\n"), Span_MS(2600),
     Str_LIT("HTTP/1.1 503 "), false, false},
    {"late read", Str_LIT(GET_HEAD LONG_TIME "\r\n"), Span_MS(2600),
     Str_LIT("HTTP/1.1 503 "), false, false},
    {"early booking that waits in a queue",
     Str_LIT(POST_HEAD LONG_TIME "\r\n"), Span_MS(600),
     Str_LIT("HTTP/1.1 503 "), false, true},
    {"early read that waits in a queue", Str_LIT(GET_HEAD LONG_TIME "\r\n"),
     Span_MS(600), Str_LIT("HTTP/1.1 503 "), false, true},
};

enum { LATE_COUNT = sizeof late_cases / sizeof late_cases[0] };

/* Starts two VMs with a backend server each; if QUEUE, only the second VM has
 * one, of one slot. */
static void
start_two_vms(Fleet *fleet, bool queue)
{
    StrBuf settings = {0};

    Fleet_Init(fleet, build, 54, 2, 1);
    Fleet_SetPreset(fleet, long_preset);
    StrBuf_AppendFmt(&settings, "\"stop_bound_ms\":%d", STOP_BOUND_MS);
    Fleet_SetExtraSettings(fleet, StrBuf_View(&settings));
    StrBuf_Finish(&settings);
    for (int i = 0; i < 2; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = queue; i < 2; i++) {
        Fleet_StartBackend(fleet, i, Str_LIT("visor"),
                           queue ? Str_LIT("--slots=1") : (Str){0});
    }
    for (int i = 0; i < 2; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Fleet_Sleep(Span_S(1));
}

/* Opens a connection to VM and sends REQUEST. */
static int
open_and_send(Fleet *fleet, int vm, Str request)
{
    int fd = Fleet_RawOpen(fleet, vm, 8000);

    ck_assert_int_ge(fd, 0);
    Fleet_RawSend(fd, request);
    return fd;
}

static bool
says_not_run(Str answer)
{
    static const Str field = Str_LIT("X-Lycheeridge-Outcome: not-run\r\n");

    return memmem(answer.ptr, answer.len, field.ptr, field.len) != NULL;
}

/* A node that stops starts no call in the second half of its time, and none
 * waits for a slot then: what it could cut at its time limit is rejected as
 * not run while the caller can still repeat it elsewhere. */
START_TEST(starts_no_late_call)
{
    static const Str busy =
        Str_LIT("GET /visor/a HTTP/1.1\r\nHost: barns\r\n" BUSY_TIME "\r\n");
    const LateCase *c = &late_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    int late;
    int under_way[2];

    start_two_vms(&fleet, c->finds_queue);
    late = open_and_send(&fleet, 0, c->request);
    for (int i = 0; i < 2; i++) {
        under_way[i] = open_and_send(&fleet, i, busy);
        Fleet_Sleep(Span_MS(100));
    }
    kill(fleet.vms[0].node, SIGTERM);
    Fleet_Sleep(c->sent_after);
    Fleet_RawSend(late, Str_LIT("x"));
    Fleet_RawRead(late, Span_S(3), &answer);
    ck_assert_msg(Str_StartsWith(StrBuf_View(&answer), c->answer), "%s: %.*s",
                  c->name, Str_ARG(answer));
    ck_assert_msg(c->is_answered || says_not_run(StrBuf_View(&answer)),
                  "%s: %.*s", c->name, Str_ARG(answer));
    Fleet_RawClose(late);
    Fleet_RawClose(under_way[0]);
    Fleet_RawClose(under_way[1]);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{rolling_over_all_nodes, ROLL_COUNT},
                               {connections_close_gracefully, CLOSE_COUNT},
                               {starts_no_late_call, LATE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("graceful stop", tests, 3, 60);
}
