/* One keyed call, a failure, and its caller's repeats through other nodes:
 * the effects on file never pass one, and what callers are told fits them.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fleet_keyed.h"
#include "support/suite.h"

static Str build;

enum {
    HOLDERS = 3, /* VMs 0, 1 and 2 */
    INGRESS = 3,
    SERVING = 4,
    SPARE = 5, /* its backend server comes once the first call runs */
    VMS = 6,
    REPEATS = 4
};

typedef enum {
    NOTHING,
    KILL_INGRESS,
    KILL_SERVING,
    KILL_BACKEND,
    KILL_HOLDER,
    KILL_TWO_HOLDERS,
    RESTART_HOLDER,
    LOSE_HOLDER_FOLDER,
    RESTART_SERVING,
    ISOLATE_REPEATS,
    OTHER_BODY
} Failure;

typedef struct {
    const char *name;
    Failure failure;
    bool ended; /* the failure comes after the first call's end */
    Str headers;
    int first;   /* what the first caller may be told */
    int repeats; /* what each repeat may be told */
    int effects; /* at least */
} OnceCase;

#define SLOW Str_LIT("X-Fake-Time-Us: 600000\r\n")
#define QUICK Str_LIT("X-Fake-Time-Us: 1000\r\n")
#define LARGE Str_LIT("X-Fake-Size: 200000\r\n")

static const OnceCase cases[] = {
    {"repeats while it runs", NOTHING, false, SLOW, Post_ANSWERED,
     Post_ANSWERED, 1},
    {"repeats after its end", NOTHING, true, QUICK, Post_ANSWERED,
     Post_ANSWERED, 1},
    {"large answer is not kept", NOTHING, true, LARGE, Post_ANSWERED,
     Post_ANSWER_DROPPED, 1},
    {"ingress killed while it runs", KILL_INGRESS, false, SLOW, Post_NO_ANSWER,
     Post_ANSWERED, 1},
    {"ingress killed after its end", KILL_INGRESS, true, QUICK, Post_ANSWERED,
     Post_ANSWERED, 1},
    {"serving node killed while it runs", KILL_SERVING, false, SLOW,
     Post_UNKNOWN, Post_UNKNOWN, 0},
    {"serving node killed after its end", KILL_SERVING, true, QUICK,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"serving node restarted while it runs", RESTART_SERVING, false, SLOW,
     Post_UNKNOWN, Post_UNKNOWN, 0},
    {"backend server killed while it runs", KILL_BACKEND, false, SLOW,
     Post_UNKNOWN, Post_UNKNOWN, 0},
    {"one holder killed while it runs", KILL_HOLDER, false, SLOW,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"one holder restarted after its end", RESTART_HOLDER, true, QUICK,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"one holder lost its folder", LOSE_HOLDER_FOLDER, true, QUICK,
     Post_ANSWERED, Post_ANSWERED, 1},
    {"two holders killed after its end", KILL_TWO_HOLDERS, true, QUICK,
     Post_ANSWERED, Post_ANSWERED | Post_UNKNOWN, 1},
    {"another request under the same key", OTHER_BODY, true, QUICK,
     Post_ANSWERED, Post_KEY_MISMATCH, 1},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static const Str path = Str_LIT("/despachos/orders");

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 30, VMS, HOLDERS);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_StartBackend(fleet, SERVING, Str_LIT("despachos"), (Str){0});
    ck_assert(Fleet_WaitForKeyedCall(fleet, INGRESS, path, Span_S(10)));
}

static void
lose_folder(Fleet *fleet, int vm)
{
    StrBuf name = {0};

    StrBuf_AppendFmt(&name, "%.*s/data%d/holder", Str_ARG(fleet->folder), vm);
    ck_assert_int_eq(remove(StrBuf_CStr(&name)), 0);
    StrBuf_Finish(&name);
}

static void
strike(Fleet *fleet, Failure failure)
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
    case KILL_TWO_HOLDERS:
        Fleet_Kill(&fleet->vms[1].node, SIGKILL);
        Fleet_Kill(&fleet->vms[2].node, SIGKILL);
        break;
    case KILL_HOLDER:
        Fleet_Kill(&fleet->vms[2].node, SIGKILL);
        break;
    case RESTART_HOLDER:
    case LOSE_HOLDER_FOLDER:
        /* Each of two in turn: the second one's majority then holds only
         * what the first one read. */
        for (int vm = 1; vm <= 2; vm++) {
            Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
            if (failure == LOSE_HOLDER_FOLDER) {
                lose_folder(fleet, vm);
            }
            Fleet_StartNode(fleet, vm);
            Fleet_Sleep(Span_MS(2500));
        }
        break;
    default:
        break;
    }
}

/* Repeats go through nodes that no case kills. */
static int
repeat_vm(int number)
{
    return number % 2 ? SPARE : 0;
}

static void
check_repeat(Fleet *fleet, const OnceCase *c, int number, StrBuf *answer,
             int *unknown)
{
    StrBuf again = {0};
    Str body = Str_LIT("lot=4");
    PostOutcome told;

    if (c->failure == OTHER_BODY) {
        body = Str_LIT("lot=5");
    }
    told = Fleet_Post(fleet, repeat_vm(number), path, Str_LIT("k"), c->headers,
                      body, Span_S(8), &again);
    *unknown += told == Post_UNKNOWN;
    ck_assert_msg(told & c->repeats, "%s: repeat %d was told %d", c->name,
                  number, told);
    if (told == Post_ANSWERED && answer->len == 0) {
        StrBuf_Set(answer, StrBuf_View(&again));
    }
    ck_assert_msg(
        told != Post_ANSWERED ||
            (again.len && Str_Equal(StrBuf_View(&again), StrBuf_View(answer))),
        "%s: repeat %d got another answer", c->name, number);
    StrBuf_Finish(&again);
}

START_TEST(runs_at_most_once)
{
    const OnceCase *c = &cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    PostOutcome told = Post_NO_ANSWER;
    int unknown = 0;
    int effects;
    int fd;

    start_fleet(&fleet);
    fd = Fleet_StartPost(&fleet, INGRESS, path, Str_LIT("k"), c->headers,
                         Str_LIT("lot=4"));
    if (c->ended) {
        told = Fleet_FinishPost(fd, Span_S(8), &answer);
    }
    else {
        Fleet_Sleep(Span_MS(200));
    }
    /* The membership changes, too: where would a second run go? */
    Fleet_StartBackend(&fleet, SPARE, Str_LIT("despachos"), (Str){0});
    strike(&fleet, c->failure);
    for (int i = 0; i < REPEATS; i++) {
        check_repeat(&fleet, c, i, &answer, &unknown);
    }
    if (!c->ended) {
        StrBuf first = {0};
        told = Fleet_FinishPost(fd, Span_S(8), &first);
        ck_assert(told != Post_ANSWERED ||
                  Str_Equal(StrBuf_View(&first), StrBuf_View(&answer)));
        StrBuf_Finish(&first);
    }
    unknown += told == Post_UNKNOWN;
    Fleet_Sleep(Span_MS(300));
    effects = Fleet_CountEffects(&fleet, Str_LIT("k"));
    printf("%s: %d effects, first told %d, %d of %d told unknown\n", c->name,
           effects, told, unknown, REPEATS + 1);
    fflush(stdout);
    ck_assert_int_le(effects, 1);
    ck_assert_int_ge(effects, c->effects);
    ck_assert_msg(told & c->first, "%s: first was told %d", c->name, told);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* docs/AT-MOST-ONCE.md; the unit test of schedules shows what for. */
#define SILENCE Span_S(1)

static const bool folder_lost[] = {false, true};

static bool
is_ready(Fleet *fleet, int vm)
{
    StrBuf events = {0};
    bool ready =
        Fleet_Get(fleet, vm, 8100, Str_LIT("/v1/timeline"), &events) &&
        strstr(StrBuf_CStr(&events), "holder_ready");

    StrBuf_Finish(&events);
    return ready;
}

START_TEST(a_restarted_holder_is_silent)
{
    const int vm = 1;
    Fleet fleet;
    struct timespec before;
    struct timespec after;
    Span silent;

    start_fleet(&fleet);
    Fleet_Kill(&fleet.vms[vm].node, SIGKILL);
    if (folder_lost[_i]) {
        lose_folder(&fleet, vm);
    }
    clock_gettime(CLOCK_MONOTONIC, &before);
    Fleet_StartNode(&fleet, vm);
    do {
        Fleet_Sleep(Span_MS(5));
        clock_gettime(CLOCK_MONOTONIC, &after);
        silent = Span_S(after.tv_sec - before.tv_sec) +
                 (after.tv_nsec - before.tv_nsec) / 1000;
    } while (!is_ready(&fleet, vm) && silent < Span_S(10));
    printf("holder ready after %d ms\n", (int)(silent / 1000));
    fflush(stdout);
    ck_assert_int_ge(silent, SILENCE);
    ck_assert(is_ready(&fleet, vm));
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{runs_at_most_once, CASE_COUNT},
                               {a_restarted_holder_is_silent, 2}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("at most once", tests, 2, 40);
}
