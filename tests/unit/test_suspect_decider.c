/* The table of suspect requests (process/suspects/suspecttable.h): sequences
 * of events and the verdicts that follow, records merged in different orders,
 * and the choice of the node for an exclusive run. */
#include "process/suspects/suspecttable.h"
#include "support/suite.h"

enum { STEPS_MAX = 10 };

typedef enum {
    ASK,               /* checks the verdict on the request */
    CRASH,             /* the request crashed a backend server just now */
    OLD_CRASH,         /* the same, 4 s ago */
    EXCLUSIVE_SUCCESS, /* the request ran alone without a crash */
    WAIT_RELEASE_TIME, /* release_after passes */
    RELEASE,           /* operators release the request */
    SET_THRESHOLD_ONE, /* one crash stops a request from now on */
    SET_SAME_LIMITS,   /* as each new version in force does */
    END
} StepAction;

typedef struct {
    StepAction action;
    uint64_t fingerprint;
    uint64_t crash;
    SuspectVerdict expected;
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} Scenario;

static const Scenario scenarios[] = {
    {"blamed once: runs exclusively",
     {{ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {ASK, 2, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"blamed twice: stopped",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
    {"the same crash reported twice counts once",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {END, 0, 0, 0}}},
    {"success in an exclusive run: cleared",
     {{CRASH, 1, 7, 0},
      {EXCLUSIVE_SUCCESS, 1, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"stopped: a success at another node does not clear it",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {EXCLUSIVE_SUCCESS, 1, 0, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
    {"released when its release time has passed",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {WAIT_RELEASE_TIME, 0, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 9, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {END, 0, 0, 0}}},
    {"an old crash from another node keeps its age",
     {{OLD_CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {WAIT_RELEASE_TIME, 0, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"released by operators",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {RELEASE, 1, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"released by operators: may be blamed again",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {RELEASE, 1, 0, 0},
      {CRASH, 1, 8, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 9, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {END, 0, 0, 0}}},
    {"a cleared crash no longer counts",
     {{CRASH, 1, 7, 0},
      {EXCLUSIVE_SUCCESS, 1, 0, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 8, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {END, 0, 0, 0}}},
    {"the limits of a new version release no request",
     {{CRASH, 1, 7, 0},
      {SET_SAME_LIMITS, 0, 0, 0},
      {ASK, 1, 0, Sus_EXCLUSIVE},
      {CRASH, 1, 8, 0},
      {SET_SAME_LIMITS, 0, 0, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
    {"a threshold of one stops at the first crash",
     {{SET_THRESHOLD_ONE, 0, 0, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
};

static const SuspectLimits limits = {2, Span_S(10)};

static void
crash(SuspectTable *table, const Step *step, Span age, Instant now)
{
    SuspectRecord record = {
        .fingerprint = step->fingerprint, .crash_id = step->crash, .age = age};

    Sus_MergeRecord(table, &record, now);
}

static void
apply_step(SuspectTable *table, const Step *step, Instant *now)
{
    SuspectLimits one_crash = limits;

    switch (step->action) {
    case CRASH:
        crash(table, step, 0, *now);
        break;
    case OLD_CRASH:
        crash(table, step, Span_S(4), *now);
        break;
    case EXCLUSIVE_SUCCESS:
        Sus_OnExclusiveSuccess(table, step->fingerprint);
        break;
    case WAIT_RELEASE_TIME:
        *now += limits.release_after;
        break;
    case RELEASE:
        Sus_Release(table, step->fingerprint);
        break;
    case SET_SAME_LIMITS:
        Sus_SetLimits(table, &limits);
        break;
    case SET_THRESHOLD_ONE:
        one_crash.stop_threshold = 1;
        Sus_SetLimits(table, &one_crash);
        break;
    default:
        break;
    }
}

START_TEST(gives_expected_verdicts)
{
    static SuspectTable table;
    const Scenario *scenario = &scenarios[_i];
    Instant now = Span_S(100);

    Sus_Init(&table, &limits);
    for (int i = 0; scenario->steps[i].action != END; i++) {
        const Step *step = &scenario->steps[i];
        if (step->action == ASK) {
            SuspectVerdict got =
                Sus_GetVerdict(&table, step->fingerprint, now);
            ck_assert_msg(got == step->expected, "%s, step %d: got %d",
                          scenario->name, i, got);
        }
        apply_step(&table, step, &now);
    }
}
END_TEST

START_TEST(full_table_keeps_stopped_requests)
{
    static SuspectTable table;
    Instant now = Span_S(100);

    Sus_Init(&table, &limits);
    crash(&table, &(Step){.fingerprint = 1, .crash = 7}, 0, now);
    crash(&table, &(Step){.fingerprint = 1, .crash = 8}, 0, now);
    for (uint64_t i = 0; i < 2 * Sus_REQUESTS_MAX; i++) {
        crash(&table, &(Step){.fingerprint = 100 + i, .crash = 9 + i}, 0,
              now + (Instant)i);
    }
    ck_assert_int_eq(table.request_count, Sus_REQUESTS_MAX);
    ck_assert_int_eq(Sus_GetVerdict(&table, 1, now), Sus_STOPPED);
    ck_assert_int_eq(Sus_Expire(&table, now + limits.release_after), 1);
}
END_TEST

/* Records that two processes receive in opposite orders. */
typedef struct {
    const char *name;
    SuspectRecord records[4];
    int count;
    SuspectVerdict expected; /* for request 1 */
} MergeCase;

static const MergeCase merge_cases[] = {
    {"two crashes", {{1, 7, 10, 0, 0}, {1, 8, 11, 0, 0}}, 2, Sus_STOPPED},
    {"blamed and cleared",
     {{1, 7, 10, 0, Sus_BLAMED}, {1, 7, 10, 0, Sus_CLEARED}},
     2,
     Sus_CLEAR},
    {"cleared of one crash, stopped for two elsewhere",
     {{1, 7, 10, 0, Sus_BLAMED},
      {1, 7, 10, 0, Sus_CLEARED},
      {1, 7, 10, 0, Sus_FINAL},
      {1, 8, 11, 0, Sus_FINAL}},
     4,
     Sus_STOPPED},
    {"stopped, then released by operators",
     {{1, 7, 10, 0, Sus_FINAL},
      {1, 8, 11, 0, Sus_FINAL},
      {1, 7, 10, 0, Sus_RELEASED},
      {1, 8, 11, 0, Sus_RELEASED}},
     4,
     Sus_CLEAR},
};

/* Merges all records of FROM into TO, as processes do when their digests
 * differ. */
static void
send_all_records(const SuspectTable *from, SuspectTable *to, Instant now)
{
    for (size_t i = 0; i < from->request_count; i++) {
        for (uint32_t k = 0; k < from->requests[i].crash_count; k++) {
            SuspectRecord record = Sus_MakeRecord(&from->requests[i], k, now);
            Sus_MergeRecord(to, &record, now);
        }
    }
}

START_TEST(merge_order_does_not_matter)
{
    static SuspectTable one;
    static SuspectTable other;
    const MergeCase *c = &merge_cases[_i];
    Instant now = Span_S(100);

    Sus_Init(&one, &limits);
    Sus_Init(&other, &limits);
    for (int i = 0; i < c->count; i++) {
        Sus_MergeRecord(&one, &c->records[i], now);
        Sus_MergeRecord(&other, &c->records[c->count - 1 - i], now);
    }
    send_all_records(&one, &other, now);
    send_all_records(&other, &one, now);
    ck_assert_msg(Sus_DigestsAreEqual(Sus_ComputeDigest(&one),
                                      Sus_ComputeDigest(&other)),
                  "%s: the digests differ", c->name);
    ck_assert_msg(Sus_GetVerdict(&one, 1, now) == c->expected, "%s: got %d",
                  c->name, Sus_GetVerdict(&one, 1, now));
    ck_assert_int_eq(Sus_GetVerdict(&other, 1, now), c->expected);
}
END_TEST

START_TEST(prefers_one_exclusive_node)
{
    static SuspectTable table;
    enum { NODES = 5, REQUESTS = 200 };
    int preferred_counts[NODES + 1] = {0};
    Instant now = Span_S(100);

    Sus_Init(&table, &limits);
    for (uint64_t request = 1; request <= REQUESTS; request++) {
        Addr preferred = 1;
        for (Addr node = 2; node <= NODES; node++) {
            if (Sus_PrefersNode(&table, request, node, preferred)) {
                preferred = node;
            }
        }
        preferred_counts[preferred]++;
        crash(&table, &(Step){.fingerprint = request, .crash = request}, 0,
              now);
        /* The node where the request crashed a backend server comes last. */
        Sus_MergeRecord(
            &table,
            &(SuspectRecord){request, REQUESTS + request, preferred, 0, 0},
            now);
        for (Addr node = 1; node <= NODES; node++) {
            ck_assert(node == preferred ||
                      Sus_PrefersNode(&table, request, node, preferred));
        }
    }
    for (Addr node = 1; node <= NODES; node++) {
        ck_assert_int_ge(preferred_counts[node], REQUESTS / NODES / 2);
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {gives_expected_verdicts, sizeof scenarios / sizeof scenarios[0]},
        {full_table_keeps_stopped_requests, 1},
        {merge_order_does_not_matter,
         sizeof merge_cases / sizeof merge_cases[0]},
        {prefers_one_exclusive_node, 1}};

    return Suite_Run("suspect decider", tests, 4, 10);
}
