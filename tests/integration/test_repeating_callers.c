/* A retry storm: callers that call again at once when they are refused, while
 * all slots of the backend servers are taken.  Patient calls are shed before
 * interactive ones, with Retry-After and within half of their deadline.
 */
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define RUN_TIME Span_S(3)

static Str build;

enum {
    VMS = 4,
    BACKENDS = 2,         /* 2 slots each, 50 ms a call: 80 calls a second */
    DEADLINE_MS = 2000,   /* of the routes */
    GOODPUT_PERCENT = 99, /* interactive calls answered, at least */
    CALLERS_MAX = 16
};

typedef struct {
    const char *name;
    int interactive;      /* callers that pause 50 ms between two calls */
    int patient;          /* callers without a pause */
    int nodes;            /* calls go through the first nodes VMs */
    bool patient_may_fit; /* it is correct when no patient call is shed */
} StormCase;

static const StormCase storms[] = {
    {"no storm", 2, 1, 2, true},
    {"retries through the same nodes", 2, 12, 2, false},
    {"retries through all nodes", 2, 12, 4, false},
};

/* Calls by outcome. */
typedef struct {
    int answered;
    int shed;                /* outcome "not run" */
    int without_retry_after; /* shed without Retry-After */
    int late;                /* shed after more than half of the deadline */
    int unknown;             /* any other outcome, or none */
} Tally;

typedef struct {
    Str path;
    Span pause;
    int node;
    int result_fd; /* pipe to which its Tally is written at the end */
} Caller;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{\"queue_max\":4,"
            "\"patient_queue_max\":2},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"interactive\":true,\"idempotent\":true},"
            "{\"service\":\"visor\",\"route\":\"batch\",\"path\":\"/batch/\","
            "\"idempotent\":true}]}");

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 68, VMS, 3);
    Fleet_SetPreset(fleet, preset);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    for (int vm = 0; vm < BACKENDS; vm++) {
        Fleet_StartBackend(fleet, vm, Str_LIT("visor"),
                           Str_LIT("--slots 2 --service-us 50000"));
    }
    for (int vm = 0; vm < VMS; vm++) {
        ck_assert(
            Fleet_WaitForPath(fleet, vm, Str_LIT("/visor/x"), Span_S(10)));
    }
    Fleet_Sleep(Span_MS(500));
}

static bool
has_retry_after(const FleetAnswer *answer)
{
    Str rest = StrBuf_View(&answer->headers);

    while (rest.len) {
        size_t end = Str_Find(rest, '\n');
        if (Str_StartsWith(rest, Str_LIT("Retry-After: "))) {
            return true;
        }
        rest = Str_Slice(rest, end + 1, rest.len);
    }
    return false;
}

static void
count_answer(Tally *tally, const FleetAnswer *answer)
{
    Str outcome = StrBuf_View(&answer->outcome);

    if (answer->is_complete && answer->status == 200) {
        tally->answered++;
    }
    else if (Str_Equal(outcome, Str_LIT("not-run"))) {
        tally->shed++;
        tally->without_retry_after += !has_retry_after(answer);
        tally->late += answer->duration > Span_MS(DEADLINE_MS) / 2;
    }
    else {
        tally->unknown++;
    }
}

static void
run_caller(Fleet *fleet, const Caller *caller, Instant until)
{
    Tally tally = {0};

    while (Loop_Now() < until) {
        FleetAnswer answer;
        Fleet_Call(fleet, caller->node, Str_LIT("GET"), caller->path, (Str){0},
                   (Str){0}, &answer);
        count_answer(&tally, &answer);
        Fleet_FinishAnswer(&answer);
        Fleet_Sleep(caller->pause);
    }
    _exit(write(caller->result_fd, &tally, sizeof tally) != sizeof tally);
}

static void
add_tally(Tally *sum, const Tally *one)
{
    sum->answered += one->answered;
    sum->shed += one->shed;
    sum->without_retry_after += one->without_retry_after;
    sum->late += one->late;
    sum->unknown += one->unknown;
}

/* Starts a caller process.  Sets READ_FD to the pipe from which its Tally is
 * read. */
static pid_t
start_caller(Fleet *fleet, const StormCase *c, int number, Instant until,
             int *read_fd)
{
    bool interactive = number < c->interactive;
    Caller caller = {
        .path = interactive ? Str_LIT("/visor/x") : Str_LIT("/batch/x"),
        .pause = interactive ? Span_MS(50) : 0,
        .node = number % c->nodes,
    };
    int pipe_fds[2];
    pid_t process;

    ck_assert_int_eq(pipe(pipe_fds), 0);
    caller.result_fd = pipe_fds[1];
    process = fork();
    if (process == 0) {
        run_caller(fleet, &caller, until);
    }
    close(pipe_fds[1]);
    *read_fd = pipe_fds[0];
    return process;
}

/* Runs all callers and adds their tallies to SUMS: interactive callers to the
 * first, patient ones to the second. */
static void
run_storm(Fleet *fleet, const StormCase *c, Tally *sums)
{
    int read_fds[CALLERS_MAX];
    pid_t processes[CALLERS_MAX];
    int count = c->interactive + c->patient;
    Instant until = Loop_Now() + RUN_TIME;

    for (int i = 0; i < count; i++) {
        processes[i] = start_caller(fleet, c, i, until, &read_fds[i]);
    }
    for (int i = 0; i < count; i++) {
        Tally tally;
        ck_assert_int_eq(read(read_fds[i], &tally, sizeof tally),
                         sizeof tally);
        close(read_fds[i]);
        add_tally(&sums[i >= c->interactive], &tally);
    }
    for (int i = 0; i < count; i++) {
        waitpid(processes[i], NULL, 0);
    }
}

static void
print_tally(const char *name, const char *cls, const Tally *tally)
{
    printf("%s: %s: %d answered, %d shed, %d of these late, %d without "
           "Retry-After, %d unknown\n",
           name, cls, tally->answered, tally->shed, tally->late,
           tally->without_retry_after, tally->unknown);
    fflush(stdout);
}

START_TEST(sheds_patient_calls_first)
{
    const StormCase *c = &storms[_i];
    Fleet fleet;
    Tally sums[2] = {{0}, {0}};
    const Tally *interactive = &sums[0];
    const Tally *patient = &sums[1];

    start_fleet(&fleet);
    run_storm(&fleet, c, sums);
    print_tally(c->name, "interactive", interactive);
    print_tally(c->name, "patient", patient);
    ck_assert_int_ge(
        interactive->answered * 100,
        (interactive->answered + interactive->shed + interactive->unknown) *
            GOODPUT_PERCENT);
    ck_assert(c->patient_may_fit || patient->shed > 0);
    ck_assert_int_gt(patient->answered, 0);
    ck_assert_int_eq(interactive->unknown + patient->unknown, 0);
    ck_assert_int_eq(
        interactive->without_retry_after + patient->without_retry_after, 0);
    ck_assert_int_eq(interactive->late + patient->late, 0);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{sheds_patient_calls_first, ROWS(storms)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("repeating callers", tests, 1, 40);
}
