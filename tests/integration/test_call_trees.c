/* Call trees: backend servers send further calls through the node beside them,
 * as services do, while the last level fails or the deadline passes.  Retries
 * at one level must not multiply those of another, and no level may start
 * after the deadline.
 */
#include <stdio.h>

#include "fleet.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define TREE_PATH Str_LIT("/visor/tree")
#define ARRIVAL_MAX Span_MS(20) /* until a call arrives at its node */
#define LEAF_PATH Str_LIT("/last/leaf")

static Str build;

enum {
    VMS = 6,
    LEAF_VM_MIN = 4, /* VMs from this one on run the last level */
    DEPTH_MAX = 30,  /* target: calls up to 30 levels deep */
    RETRY_BURST = 10 /* retries that the budget of a service allows a node
                        before any call */
};

static void
set_preset(Fleet *fleet, int retry_permille)
{
    StrBuf json = {0};

    StrBuf_AppendFmt(
        &json,
        "{\"name\":\"ordinary\",\"limits\":{\"retry_permille\":%d,"
        "\"queue_max\":8,\"patient_queue_max\":4},\"routes\":["
        "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
        "\"interactive\":true,\"idempotent\":true},"
        "{\"service\":\"visor\",\"route\":\"batch\",\"path\":\"/batch/\","
        "\"idempotent\":true},"
        "{\"service\":\"last\",\"route\":\"read\",\"path\":\"/last/\","
        "\"interactive\":true,\"idempotent\":true}]}",
        retry_permille);
    Fleet_SetPreset(fleet, StrBuf_View(&json));
    StrBuf_Finish(&json);
}

static void
start_backend(Fleet *fleet, int vm, int slots, int service_us)
{
    StrBuf options = {0};

    StrBuf_AppendFmt(&options, "--slots %d --service-us %d", slots,
                     service_us);
    StrBuf_AppendFmt(&options, " --calls %.*s:8000",
                     Str_ARG(fleet->vms[vm].ip));
    Fleet_StartBackend(fleet, vm,
                       vm < LEAF_VM_MIN ? Str_LIT("visor") : Str_LIT("last"),
                       StrBuf_View(&options));
    StrBuf_Finish(&options);
}

static void
start_fleet(Fleet *fleet, int retry_permille)
{
    Fleet_Init(fleet, build, 67, VMS, 3);
    set_preset(fleet, retry_permille);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    for (int vm = 0; vm < VMS; vm++) {
        start_backend(fleet, vm, 64, 2000);
    }
    for (int vm = 0; vm < VMS; vm++) {
        ck_assert(Fleet_WaitForPath(fleet, vm, TREE_PATH, Span_S(10)));
        ck_assert(Fleet_WaitForPath(fleet, vm, LEAF_PATH, Span_S(10)));
    }
    Fleet_Sleep(Span_MS(500));
}

/* Returns the sum of counter NAME at the nodes from VM FIRST on. */
static uint64_t
sum_counters(Fleet *fleet, int first, Str name)
{
    uint64_t sum = 0;

    for (int vm = first; vm < VMS; vm++) {
        sum += Fleet_ReadCounter(fleet, vm, name);
    }
    return sum;
}

static uint64_t
sum_backends(Fleet *fleet, Str name)
{
    uint64_t sum = 0;

    for (int vm = 0; vm < VMS; vm++) {
        sum += Fleet_ReadBackendCount(fleet, vm, name);
    }
    return sum;
}

typedef struct {
    Str name;
    int depth;
    int deadline_ms;
    Str headers; /* further header lines */
} CallTree;

/* Sends the root call of TREE through VM 0 and sets ANSWER. */
static void
call_tree(Fleet *fleet, const CallTree *tree, FleetAnswer *answer)
{
    StrBuf headers = {0};
    FleetRequest request = {.method = Str_LIT("GET"), .path = TREE_PATH};

    StrBuf_AppendFmt(&headers,
                     "X-Fake-Calls: %d\nX-Lycheeridge-Deadline-Ms: %d\n",
                     tree->depth - 1, tree->deadline_ms);
    StrBuf_Append(&headers, tree->headers);
    request.headers = StrBuf_View(&headers);
    Fleet_Send(fleet, 0, &request, answer);
    StrBuf_Finish(&headers);
}

static const CallTree whole_trees[] = {
    {Str_LIT("one"), 1, 2000, Str_LIT("")},
    {Str_LIT("six"), 6, 2000, Str_LIT("")},
    {Str_LIT("thirty"), DEPTH_MAX, 5000, Str_LIT("")},
};

/* Takes one line off REST, the body of an answer: the depth of a level, and
 * the milliseconds that were left when the call arrived there. */
static void
read_level(Str *rest, uint64_t *depth, uint64_t *left_ms)
{
    size_t end = Str_Find(*rest, '\n');
    Str line = Str_Slice(*rest, 0, end);
    size_t space = Str_Find(line, ' ');

    ck_assert(Str_ToU64(Str_Slice(line, 0, space), depth));
    ck_assert(Str_ToU64(Str_Slice(line, space + 1, line.len), left_ms));
    *rest = Str_Slice(*rest, end + 1, rest->len);
}

START_TEST(answers_whole_tree)
{
    const CallTree *tree = &whole_trees[_i];
    Fleet fleet;
    FleetAnswer answer;
    Str rest;
    uint64_t previous_left_ms = (uint64_t)tree->deadline_ms + 1;
    uint64_t depth = 0;
    uint64_t left_ms = 0;
    int levels = 0;

    start_fleet(&fleet, 100);
    call_tree(&fleet, tree, &answer);
    ck_assert_int_eq(answer.status, 200);
    ck_assert(answer.is_complete);
    for (rest = StrBuf_View(&answer.body); rest.len; levels++) {
        read_level(&rest, &depth, &left_ms);
        ck_assert_uint_eq(depth, (uint64_t)levels + 1);
        ck_assert_msg(left_ms < previous_left_ms,
                      "level %d has %d ms, the one above %d", levels,
                      (int)left_ms, (int)previous_left_ms);
        previous_left_ms = left_ms;
    }
    ck_assert_int_eq(levels, tree->depth);
    printf("%.*s: %d levels, %d of %d ms left at the last level\n",
           Str_ARG(tree->name), levels, (int)previous_left_ms,
           tree->deadline_ms);
    Fleet_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    CallTree tree;
    int retry_permille; /* retry budget, per mille of calls */
    int root_calls;
    int warm_up_trees; /* successful trees before each root call, so that
                          connections are already in use */
} FailingCase;

static const FailingCase failing_cases[] = {
    {{Str_LIT("last fails"), DEPTH_MAX, 4000, Str_LIT("X-Fake-Last: fails\n")},
     1000,
     10,
     0},
    {{Str_LIT("last hangs up"), DEPTH_MAX, 4000,
      Str_LIT("X-Fake-Last: hangs-up\n")},
     1000,
     10,
     0},
    {{Str_LIT("each hangs up, small budget"), 6, 4000,
      Str_LIT("X-Fake-Last: hangs-up\nX-Fake-Below: hangs-up\n")},
     100,
     40,
     0},
    {{Str_LIT("each hangs up, large budget"), 6, 4000,
      Str_LIT("X-Fake-Last: hangs-up\nX-Fake-Below: hangs-up\n")},
     1000,
     20,
     0},
    {{Str_LIT("last drains"), 6, 4000,
      Str_LIT("X-Fake-Last-Path: /last/leaf\n")},
     1000,
     20,
     0},
    {{Str_LIT("last is slower than its deadline"), 6, 800,
      Str_LIT("X-Fake-Last-Us: 2000000\n")},
     1000,
     5,
     15},
};

/* Makes the backend servers of the last level reject calls without announcing
 * that they drain. */
static void
drain_leaf_backends(Fleet *fleet)
{
    for (int vm = LEAF_VM_MIN; vm < VMS; vm++) {
        ck_assert(Fleet_ControlBackend(fleet, vm, Str_LIT("silent_drain=1")));
    }
}

typedef struct {
    uint64_t calls;    /* at the root's node */
    uint64_t attempts; /* by all nodes */
    uint64_t retries;  /* by all nodes but the root's */
    uint64_t started;  /* requests that backend servers started */
} Counts;

static Counts
read_counts(Fleet *fleet)
{
    return (Counts){
        Fleet_ReadCounter(fleet, 0, Str_LIT("lycheeridge_calls_total")),
        sum_counters(fleet, 0, Str_LIT("lycheeridge_attempts_total")),
        sum_counters(fleet, 1, Str_LIT("lycheeridge_retries_total")),
        sum_backends(fleet, Str_LIT("started")),
    };
}

/* Adds the differences between BEFORE and AFTER to SUM. */
static void
add_difference(Counts *sum, const Counts *before, const Counts *after)
{
    sum->calls += after->calls - before->calls;
    sum->attempts += after->attempts - before->attempts;
    sum->retries += after->retries - before->retries;
    sum->started += after->started - before->started;
}

static void
warm_up(Fleet *fleet, const FailingCase *c)
{
    CallTree warm_up_tree = {c->tree.name, c->tree.depth, 2000, {0}};
    FleetAnswer answer;

    for (int i = 0; i < c->warm_up_trees; i++) {
        call_tree(fleet, &warm_up_tree, &answer);
        Fleet_FinishAnswer(&answer);
    }
}

/* Makes the root calls of C, checks that each fails, and returns the counts
 * that they added. */
static Counts
make_root_calls(Fleet *fleet, const FailingCase *c)
{
    Counts sum = {0};
    Counts before;
    Counts after;
    FleetAnswer answer;

    for (int i = 0; i < c->root_calls; i++) {
        warm_up(fleet, c);
        before = read_counts(fleet);
        call_tree(fleet, &c->tree, &answer);
        ck_assert_int_ge(answer.status, 500);
        Fleet_FinishAnswer(&answer);
        Fleet_Sleep(Span_MS(30)); /* cancelled requests end */
        after = read_counts(fleet);
        add_difference(&sum, &before, &after);
    }
    return sum;
}

/* Returns how many retries of the root calls are allowed at most, when the
 * root's node handled CALLS calls. */
static uint64_t
compute_retry_budget(const FailingCase *c, uint64_t calls)
{
    uint64_t budget = RETRY_BURST + calls * (uint64_t)c->retry_permille / 1000;
    /* attempts_max is 3, so each call has at most 2 retries. */
    uint64_t maximum = (uint64_t)c->root_calls * 2;

    return budget < maximum ? budget : maximum;
}

START_TEST(retries_do_not_multiply)
{
    const FailingCase *c = &failing_cases[_i];
    Fleet fleet;
    Counts counts;
    uint64_t maximum;

    start_fleet(&fleet, c->retry_permille);
    drain_leaf_backends(&fleet);
    counts = make_root_calls(&fleet, c);
    maximum =
        (uint64_t)c->tree.depth *
        ((uint64_t)c->root_calls + compute_retry_budget(c, counts.calls));
    printf("%.*s: %d trees of %d levels, %d attempts, %d starts, at most %d; "
           "%d retries below the root's node\n",
           Str_ARG(c->tree.name), c->root_calls, c->tree.depth,
           (int)counts.attempts, (int)counts.started, (int)maximum,
           (int)counts.retries);
    fflush(stdout);
    ck_assert_uint_eq(counts.retries, 0);
    ck_assert_uint_le(counts.attempts, maximum);
    ck_assert_uint_le(counts.started, maximum);
    Fleet_Finish(&fleet);
}
END_TEST

static const CallTree expiring_trees[] = {
    {Str_LIT("no time for the last levels"), DEPTH_MAX, 400,
     Str_LIT("X-Fake-Time-Us: 50000\n")},
    {Str_LIT("time for the first level only"), DEPTH_MAX, 60,
     Str_LIT("X-Fake-Time-Us: 50000\n")},
};

START_TEST(starts_nothing_late)
{
    const CallTree *c = &expiring_trees[_i];
    CallTree tree = *c;
    Fleet fleet;
    FleetAnswer answer;
    StrBuf headers = {0};
    Instant deadline;
    uint64_t started;
    uint64_t overdue;

    start_fleet(&fleet, 100);
    started = sum_backends(&fleet, Str_LIT("started"));
    /* The deadline counts from the arrival of the root call at its node. */
    deadline = Loop_Now() + Span_MS(c->deadline_ms) + ARRIVAL_MAX;
    StrBuf_AppendFmt(&headers, "%.*sX-Fake-Until: %lld\n", Str_ARG(c->headers),
                     (long long)deadline);
    tree.headers = StrBuf_View(&headers);
    call_tree(&fleet, &tree, &answer);
    ck_assert_int_eq(answer.status, 504);
    Fleet_Sleep(Span_MS(300));
    started = sum_backends(&fleet, Str_LIT("started")) - started;
    overdue = sum_backends(&fleet, Str_LIT("overdue"));
    printf("%.*s: deadline %d ms, answer after %d ms, %d starts, %d overdue\n",
           Str_ARG(c->name), c->deadline_ms, (int)(answer.duration / 1000),
           (int)started, (int)overdue);
    fflush(stdout);
    ck_assert_uint_ge(started, 1);
    ck_assert_uint_eq(overdue, 0);
    StrBuf_Finish(&headers);
    Fleet_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {answers_whole_tree, ROWS(whole_trees)},
        {retries_do_not_multiply, ROWS(failing_cases)},
        {starts_nothing_late, ROWS(expiring_trees)},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("call trees", tests, ROWS(tests), 60);
}
