/* The outcome that is reported to a caller matches the effects that backend
 * servers recorded: none for "not run", one for an answered call, at most one
 * for "unknown".  Each call has a new key, by which its effects are counted.
 * Half way through the calls a failure occurs.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet_keyed.h"
#include "support/suite.h"

static Str build;

enum {
    INGRESS = 0,
    OTHER_INGRESS = 1, /* killed by KILL_INGRESS */
    SERVING = 2,       /* has a backend server; the failure occurs here */
    SPARE = 3,         /* has the other backend server */
    VMS = 4,
    CALLS = 120
};

typedef enum {
    NO_FAILURE,
    KILL_BACKEND,
    KILL_SERVING,
    STOP_SERVING, /* SIGSTOP until the last call has been sent */
    KILL_INGRESS,
    FREEZE_TO_SERVING, /* existing connections to it, one direction */
    FREEZE_FROM_SERVING,
    CUT_TO_SERVING, /* all connections, until the last call has been sent */
    DRAIN,
    REFUSE /* its backend server refuses every request as not run */
} Failure;

typedef struct {
    const char *name;
    Failure failure;
    bool is_keyed;   /* the route has a key header */
    Str headers;     /* further headers of each call */
    Span spacing;    /* between two calls */
    int not_run_min; /* calls with outcome "not run" */
    int answers_min; /* calls answered */
    int errors_max;  /* errors answered by a backend server itself */
} FailureCase;

#define DEADLINE_300 Str_LIT("X-Lycheeridge-Deadline-Ms: 300\r\n")
#define DEADLINE_1500 Str_LIT("X-Lycheeridge-Deadline-Ms: 1500\r\n")

/* Both backend servers together run 80 calls a second: 2 slots each, 50 ms a
 * call. */
static const FailureCase cases[] = {
    {"overload", NO_FAILURE, false, DEADLINE_300, Span_MS(3), 10, 20, CALLS},
    {"overload, keyed", NO_FAILURE, true, DEADLINE_300, Span_MS(3), 10, 20,
     CALLS},
    {"backend server killed", KILL_BACKEND, false, DEADLINE_300, Span_MS(15),
     0, 40, CALLS},
    {"serving node killed", KILL_SERVING, false, DEADLINE_300, Span_MS(15), 0,
     40, CALLS},
    {"serving node killed, keyed", KILL_SERVING, true, DEADLINE_1500,
     Span_MS(15), 0, 40, CALLS},
    {"serving node stopped for a second", STOP_SERVING, false, DEADLINE_300,
     Span_MS(15), 0, 40, CALLS},
    {"serving node stopped, keyed", STOP_SERVING, true, DEADLINE_1500,
     Span_MS(15), 0, 40, CALLS},
    {"ingress killed", KILL_INGRESS, false, DEADLINE_300, Span_MS(15), 0, 40,
     CALLS},
    {"connections frozen on the way out", FREEZE_TO_SERVING, false,
     DEADLINE_1500, Span_MS(20), 0, 100, CALLS},
    {"connections frozen on the way back", FREEZE_FROM_SERVING, false,
     DEADLINE_1500, Span_MS(20), 0, 100, CALLS},
    {"connections blocked", CUT_TO_SERVING, false, DEADLINE_1500, Span_MS(15),
     0, 40, CALLS},
    {"drained", DRAIN, false, DEADLINE_1500, Span_MS(20), 0, 60, 0},
    {"refuses everything", REFUSE, false, DEADLINE_1500, Span_MS(20), 0, 60,
     0},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static const Str preset = Str_LIT(
    "{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
    "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
    "\"interactive\":true,\"idempotent\":true},"
    "{\"service\":\"despachos\",\"route\":\"note\",\"method\":\"POST\","
    "\"path\":\"/despachos/notes\"},"
    "{\"service\":\"despachos\",\"route\":\"book\",\"method\":\"POST\","
    "\"path\":\"/despachos/orders\",\"key_header\":\"Idempotency-Key\"}]}");

static bool
needs_proxy(Failure failure)
{
    return failure == FREEZE_TO_SERVING || failure == FREEZE_FROM_SERVING ||
           failure == CUT_TO_SERVING;
}

static void
start_fleet(Fleet *fleet, Failure failure)
{
    static const Str options =
        Str_LIT("--set slots=2 --slots 2 --service-us 50000");

    Fleet_Init(fleet, build, 31, VMS, 3);
    Fleet_SetPreset(fleet, preset);
    if (needs_proxy(failure)) {
        Fleet_UseProxy(fleet);
    }
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_StartBackend(fleet, SERVING, Str_LIT("despachos"), options);
    Fleet_StartBackend(fleet, SPARE, Str_LIT("despachos"), options);
    for (int vm = 0; vm < 2; vm++) {
        ck_assert(Fleet_WaitForKeyedCall(
            fleet, vm, Str_LIT("/despachos/orders"), Span_S(10)));
    }
    Fleet_Sleep(Span_MS(500));
}

static void
inject_failure(Fleet *fleet, Failure failure)
{
    switch (failure) {
    case KILL_BACKEND:
        Fleet_Kill(&fleet->vms[SERVING].backend, SIGKILL);
        break;
    case KILL_SERVING:
        Fleet_Kill(&fleet->vms[SERVING].node, SIGKILL);
        break;
    case STOP_SERVING:
        kill(fleet->vms[SERVING].node, SIGSTOP);
        break;
    case KILL_INGRESS:
        Fleet_Kill(&fleet->vms[OTHER_INGRESS].node, SIGKILL);
        break;
    case FREEZE_TO_SERVING:
        ck_assert(
            Fleet_SendProxyCommand(fleet, Str_LIT("freeze n*-2 forward")));
        break;
    case FREEZE_FROM_SERVING:
        ck_assert(Fleet_SendProxyCommand(fleet, Str_LIT("freeze n*-2 back")));
        break;
    case CUT_TO_SERVING:
        ck_assert(Fleet_SendProxyCommand(fleet, Str_LIT("hold n*-2 both")));
        break;
    case DRAIN:
        ck_assert(Fleet_ControlBackend(fleet, SERVING, Str_LIT("draining=1")));
        break;
    case REFUSE:
        ck_assert(Fleet_ControlBackend(fleet, SERVING,
                                       Str_LIT("silent_drain=1&states=1")));
        break;
    default:
        break;
    }
}

static void
end_failure(Fleet *fleet, Failure failure)
{
    if (failure == STOP_SERVING) {
        kill(fleet->vms[SERVING].node, SIGCONT);
    }
    else if (failure == CUT_TO_SERVING) {
        ck_assert(Fleet_SendProxyCommand(fleet, Str_LIT("pass n*-2")));
    }
}

static void
format_key(int number, StrBuf *key)
{
    StrBuf_Clear(key);
    StrBuf_AppendFmt(key, "call-%d", number);
}

static void
send_calls(Fleet *fleet, const FailureCase *c, int *fds)
{
    Str path = c->is_keyed ? Str_LIT("/despachos/orders")
                           : Str_LIT("/despachos/notes");
    StrBuf key = {0};

    for (int i = 0; i < CALLS; i++) {
        if (i == CALLS / 2) {
            inject_failure(fleet, c->failure);
        }
        format_key(i, &key);
        fds[i] = Fleet_StartPost(fleet, i % 2, path, StrBuf_View(&key),
                                 c->headers, Str_LIT("x"));
        Fleet_Sleep(c->spacing);
    }
    Fleet_Sleep(Span_MS(200));
    end_failure(fleet, c->failure);
    StrBuf_Finish(&key);
}

START_TEST(reported_outcomes_match_effects)
{
    const FailureCase *c = &cases[_i];
    Fleet fleet;
    StrBuf key = {0};
    StrBuf answer = {0};
    int fds[CALLS];
    PostOutcome outcomes[CALLS];
    int counts[Post_CONTRADICTORY + 1] = {0};

    start_fleet(&fleet, c->failure);
    send_calls(&fleet, c, fds);
    for (int i = 0; i < CALLS; i++) {
        outcomes[i] = Fleet_FinishPost(fds[i], Span_S(5), &answer);
        counts[outcomes[i]]++;
    }
    Fleet_Sleep(Span_S(1)); /* running calls record their effects */
    printf("%s: %d calls, %d answers, %d not run, %d unknown, "
           "%d without an answer, %d errors\n",
           c->name, CALLS, counts[Post_ANSWERED], counts[Post_NOT_RUN],
           counts[Post_UNKNOWN], counts[Post_NO_ANSWER],
           counts[Post_BACKEND_ERROR]);
    fflush(stdout);
    for (int i = 0; i < CALLS; i++) {
        int effects;
        format_key(i, &key);
        effects = Fleet_CountEffects(&fleet, StrBuf_View(&key));
        ck_assert_msg(effects <= 1, "%s: call %d ran %d times", c->name, i,
                      effects);
        ck_assert_msg(outcomes[i] != Post_NOT_RUN || effects == 0,
                      "%s: call %d ran, but was reported \"not run\"", c->name,
                      i);
        ck_assert_msg(outcomes[i] != Post_ANSWERED || effects == 1,
                      "%s: call %d was answered, but did not run", c->name, i);
    }
    ck_assert_int_eq(counts[Post_CONTRADICTORY], 0);
    ck_assert_int_ge(counts[Post_NOT_RUN], c->not_run_min);
    ck_assert_int_ge(counts[Post_ANSWERED], c->answers_min);
    ck_assert_int_le(counts[Post_BACKEND_ERROR], c->errors_max);
    StrBuf_Finish(&key);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

enum { BACKEND_PORT = 9000 };

/* A request that waits behind another one at a backend server with one slot.
 * Guards against the failure that the stand-in answered it, without running
 * it, like one that ran. */
typedef struct {
    const char *name;
    Str deadline; /* header of the request that waits */
    Str answer;   /* how its answer begins */
    bool states_not_run;
    int effects;
} QueueCase;

static const QueueCase queue_cases[] = {
    {"deadline passes in the queue", DEADLINE_300, Str_LIT("HTTP/1.1 503 "),
     true, 0},
    {"no time is left", Str_LIT("X-Lycheeridge-Deadline-Ms: 0\r\n"),
     Str_LIT("HTTP/1.1 503 "), true, 0},
    {"runs in time", DEADLINE_1500, Str_LIT("HTTP/1.1 200 "), false, 1},
};

enum { QUEUE_COUNT = sizeof queue_cases / sizeof queue_cases[0] };

/* Sends a booking with KEY directly to the backend server of VM 0.  Returns
 * the descriptor of its connection. */
static int
book_at_backend(Fleet *fleet, Str key, Str headers)
{
    StrBuf text = {0};
    int fd = Fleet_RawOpen(fleet, 0, BACKEND_PORT);

    ck_assert_int_ge(fd, 0);
    StrBuf_AppendFmt(&text,
                     "POST /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "Idempotency-Key: %.*s\r\n%.*s"
                     "Content-Length: 0\r\nConnection: close\r\n\r\n",
                     Str_ARG(key), Str_ARG(headers));
    Fleet_RawSend(fd, StrBuf_View(&text));
    StrBuf_Finish(&text);
    return fd;
}

static bool
states_not_run(Str answer)
{
    static const char line[] = "X-Lycheeridge-Not-Run: 1\r\n";

    return memmem(answer.ptr, answer.len, line, sizeof line - 1) != NULL;
}

START_TEST(stand_in_states_what_expired)
{
    const QueueCase *c = &queue_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    int running;
    int waiting;

    Fleet_Init(&fleet, build, 31, 1, 1);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), Str_LIT("--slots=1"));
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    running = book_at_backend(&fleet, Str_LIT("first"),
                              Str_LIT("X-Fake-Time-Us: 600000\r\n"));
    Fleet_Sleep(Span_MS(100));
    waiting = book_at_backend(&fleet, Str_LIT("second"), c->deadline);
    Fleet_RawRead(waiting, Span_S(3), &answer);
    ck_assert_msg(Str_StartsWith(StrBuf_View(&answer), c->answer) &&
                      states_not_run(StrBuf_View(&answer)) ==
                          c->states_not_run,
                  "%s: %.*s", c->name, Str_ARG(StrBuf_View(&answer)));
    ck_assert_int_eq(Fleet_CountEffects(&fleet, Str_LIT("second")),
                     c->effects);
    Fleet_RawClose(running);
    Fleet_RawClose(waiting);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{reported_outcomes_match_effects, CASE_COUNT},
                               {stand_in_states_what_expired, QUEUE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("not run", tests, 2, 40);
}
