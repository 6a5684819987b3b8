/* Sends one keyed call, injects a failure, and repeats the call through other
 * nodes, as its caller would.  The recorded effects never exceed one, and the
 * reported outcomes agree with the effects.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fleet_keyed.h"
#include "support/suite.h"

static Str build;

enum {
    ACCEPTORS = 3, /* on VMs 0, 1 and 2 */
    INGRESS = 3,
    SERVING = 4,
    SPARE = 5, /* its backend server starts after the first call */
    VMS = 6,
    REPEATS = 4
};

typedef enum {
    NO_FAILURE,
    KILL_INGRESS,
    KILL_SERVING,
    KILL_BACKEND,
    KILL_ACCEPTOR,
    KILL_TWO_ACCEPTORS,
    RESTART_ACCEPTOR,
    LOSE_READY_FILE,
    RESTART_SERVING,
    ISOLATE_REPEATS,
    OTHER_BODY
} Failure;

typedef struct {
    const char *name;
    Failure failure;
    bool is_after_end; /* the failure follows the end of the first call */
    Str headers;
    int first_outcomes;  /* PostOutcome bits allowed for the first call */
    int repeat_outcomes; /* PostOutcome bits allowed for each repeat */
    int effects_min;     /* at least; at most 1 in every row */
} OnceCase;

#define SLOW_CALL Str_LIT("X-Fake-Time-Us: 600000\r\n")
#define QUICK_CALL Str_LIT("X-Fake-Time-Us: 1000\r\n")
#define LARGE_ANSWER Str_LIT("X-Fake-Size: 200000\r\n")

static const OnceCase cases[] = {
    {"repeats while it runs", NO_FAILURE, false, SLOW_CALL, Post_ANSWERED,
     Post_ANSWERED, 1},
    {"repeats after its end", NO_FAILURE, true, QUICK_CALL, Post_ANSWERED,
     Post_ANSWERED, 1},
    {"large answer is not kept", NO_FAILURE, true, LARGE_ANSWER, Post_ANSWERED,
     Post_ANSWER_DROPPED, 1},
    {"ingress killed while it runs", KILL_INGRESS, false, SLOW_CALL,
     Post_NO_ANSWER, Post_ANSWERED, 1},
    {"ingress killed after its end", KILL_INGRESS, true, QUICK_CALL,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"serving node killed while it runs", KILL_SERVING, false, SLOW_CALL,
     Post_UNKNOWN, Post_UNKNOWN, 0},
    {"serving node killed after its end", KILL_SERVING, true, QUICK_CALL,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"serving node restarted while it runs", RESTART_SERVING, false, SLOW_CALL,
     Post_UNKNOWN, Post_UNKNOWN, 0},
    {"backend server killed while it runs", KILL_BACKEND, false, SLOW_CALL,
     Post_UNKNOWN, Post_UNKNOWN, 0},
    {"one acceptor killed while it runs", KILL_ACCEPTOR, false, SLOW_CALL,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"acceptors restarted in turn after its end", RESTART_ACCEPTOR, true,
     QUICK_CALL, Post_ANSWERED, Post_ANSWERED, 1},
    {"acceptors restarted without ready file", LOSE_READY_FILE, true,
     QUICK_CALL, Post_ANSWERED, Post_ANSWERED, 1},
    {"two acceptors killed after its end", KILL_TWO_ACCEPTORS, true,
     QUICK_CALL, Post_ANSWERED, Post_ANSWERED | Post_UNKNOWN, 1},
    {"another request under the same key", OTHER_BODY, true, QUICK_CALL,
     Post_ANSWERED, Post_KEY_MISMATCH, 1},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static const Str path = Str_LIT("/despachos/orders");

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 30, VMS, ACCEPTORS);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_StartBackend(fleet, SERVING, Str_LIT("despachos"), (Str){0});
    ck_assert(Fleet_WaitForKeyedCall(fleet, INGRESS, path, Span_S(10)));
}

/* Deletes the file that records that VM's acceptor has been ready before. */
static void
delete_ready_file(Fleet *fleet, int vm)
{
    StrBuf name = {0};

    StrBuf_AppendFmt(&name, "%.*s/data%d/holder", Str_ARG(fleet->folder), vm);
    ck_assert_int_eq(remove(StrBuf_CStr(&name)), 0);
    StrBuf_Finish(&name);
}

static void
inject_failure(Fleet *fleet, Failure failure)
{
    switch (failure) {
    case KILL_INGRESS:
        Fleet_Kill(&fleet->vms[INGRESS].node, SIGKILL);
        break;
    case KILL_SERVING:
        Fleet_Kill(&fleet->vms[SERVING].node, SIGKILL);
        break;
    case RESTART_SERVING:
        Fleet_Kill(&fleet->vms[SERVING].node, SIGKILL);
        Fleet_StartNode(fleet, SERVING);
        break;
    case KILL_BACKEND:
        Fleet_Kill(&fleet->vms[SERVING].backend, SIGKILL);
        break;
    case KILL_TWO_ACCEPTORS:
        Fleet_Kill(&fleet->vms[1].node, SIGKILL);
        Fleet_Kill(&fleet->vms[2].node, SIGKILL);
        break;
    case KILL_ACCEPTOR:
        Fleet_Kill(&fleet->vms[2].node, SIGKILL);
        break;
    case RESTART_ACCEPTOR:
    case LOSE_READY_FILE:
        /* Restarts two acceptors in turn: in the majority that the second one
         * reads, the first one has only what it read itself. */
        for (int vm = 1; vm <= 2; vm++) {
            Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
            if (failure == LOSE_READY_FILE) {
                delete_ready_file(fleet, vm);
            }
            Fleet_StartNode(fleet, vm);
            Fleet_Sleep(Span_MS(2500));
        }
        break;
    default:
        break;
    }
}

/* Returns the VM for repeat NUMBER; no case kills the nodes of these VMs. */
static int
choose_repeat_vm(int number)
{
    return number % 2 ? SPARE : 0;
}

/* Sends repeat NUMBER and checks its outcome.  ANSWER is set from the first
 * answer; later answers must equal it.  Adds 1 to *UNKNOWN_COUNT when the
 * outcome is unknown. */
static void
check_repeat(Fleet *fleet, const OnceCase *c, int number, StrBuf *answer,
             int *unknown_count)
{
    StrBuf repeat_answer = {0};
    Str body = Str_LIT("lot=4");
    PostOutcome outcome;

    if (c->failure == OTHER_BODY) {
        body = Str_LIT("lot=5");
    }
    outcome = Fleet_Post(fleet, choose_repeat_vm(number), path, Str_LIT("k"),
                         c->headers, body, Span_S(8), &repeat_answer);
    *unknown_count += outcome == Post_UNKNOWN;
    ck_assert_msg(outcome & c->repeat_outcomes, "%s: repeat %d got outcome %d",
                  c->name, number, outcome);
    if (outcome == Post_ANSWERED && answer->len == 0) {
        StrBuf_Set(answer, StrBuf_View(&repeat_answer));
    }
    ck_assert_msg(
        outcome != Post_ANSWERED ||
            (repeat_answer.len &&
             Str_Equal(StrBuf_View(&repeat_answer), StrBuf_View(answer))),
        "%s: repeat %d got a different answer", c->name, number);
    StrBuf_Finish(&repeat_answer);
}

START_TEST(runs_at_most_once)
{
    const OnceCase *c = &cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    PostOutcome outcome = Post_NO_ANSWER;
    int unknown_count = 0;
    int effects;
    int fd;

    start_fleet(&fleet);
    fd = Fleet_StartPost(&fleet, INGRESS, path, Str_LIT("k"), c->headers,
                         Str_LIT("lot=4"));
    if (c->is_after_end) {
        outcome = Fleet_FinishPost(fd, Span_S(8), &answer);
    }
    else {
        Fleet_Sleep(Span_MS(200));
    }
    /* The membership changes as well, so that a wrong second run would have a
     * backend server to go to. */
    Fleet_StartBackend(&fleet, SPARE, Str_LIT("despachos"), (Str){0});
    inject_failure(&fleet, c->failure);
    for (int i = 0; i < REPEATS; i++) {
        check_repeat(&fleet, c, i, &answer, &unknown_count);
    }
    if (!c->is_after_end) {
        StrBuf first = {0};
        outcome = Fleet_FinishPost(fd, Span_S(8), &first);
        ck_assert(outcome != Post_ANSWERED ||
                  Str_Equal(StrBuf_View(&first), StrBuf_View(&answer)));
        StrBuf_Finish(&first);
    }
    unknown_count += outcome == Post_UNKNOWN;
    Fleet_Sleep(Span_MS(300));
    effects = Fleet_CountEffects(&fleet, Str_LIT("k"));
    printf("%s: %d effects, outcome %d of the first call, %d of %d outcomes "
           "unknown\n",
           c->name, effects, outcome, unknown_count, REPEATS + 1);
    fflush(stdout);
    ck_assert_int_le(effects, 1);
    ck_assert_int_ge(effects, c->effects_min);
    ck_assert_msg(outcome & c->first_outcomes, "%s: first call got outcome %d",
                  c->name, outcome);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* Shortest silence of an acceptor after a restart, see docs/AT-MOST-ONCE.md.
 * The unit test test_key_schedule shows why it is needed. */
#define RESTART_SILENCE Span_S(1)

static const bool ready_file_lost[] = {false, true};

static bool
is_acceptor_ready(Fleet *fleet, int vm)
{
    StrBuf events = {0};
    bool ready =
        Fleet_Get(fleet, vm, 8100, Str_LIT("/v1/timeline"), &events) &&
        strstr(StrBuf_CStr(&events), "holder_ready");

    StrBuf_Finish(&events);
    return ready;
}

START_TEST(restarted_acceptor_is_silent)
{
    const int vm = 1;
    Fleet fleet;
    struct timespec before;
    struct timespec after;
    Span silence;

    start_fleet(&fleet);
    Fleet_Kill(&fleet.vms[vm].node, SIGKILL);
    if (ready_file_lost[_i]) {
        delete_ready_file(&fleet, vm);
    }
    clock_gettime(CLOCK_MONOTONIC, &before);
    Fleet_StartNode(&fleet, vm);
    do {
        Fleet_Sleep(Span_MS(5));
        clock_gettime(CLOCK_MONOTONIC, &after);
        silence = Span_S(after.tv_sec - before.tv_sec) +
                  (after.tv_nsec - before.tv_nsec) / 1000;
    } while (!is_acceptor_ready(&fleet, vm) && silence < Span_S(10));
    printf("acceptor ready after %d ms\n", (int)(silence / 1000));
    fflush(stdout);
    ck_assert_int_ge(silence, RESTART_SILENCE);
    ck_assert(is_acceptor_ready(&fleet, vm));
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{runs_at_most_once, CASE_COUNT},
                               {restarted_acceptor_is_silent, 2}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("at most once", tests, 2, 40);
}
