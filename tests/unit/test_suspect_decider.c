/* Which requests crash backend servers: scripts of events and verdicts. */
#include "process/suspecttable.h"
#include "support/suite.h"

enum { STEPS_MAX = 10 };

typedef enum {
    ASK,
    CRASH,
    OLD_CRASH,
    DONE,
    WAIT,
    RELEASE,
    STRICT,
    SAME_LIMITS, /* as each version in force says them */
    END
} Verb;

typedef struct {
    Verb verb;
    uint64_t fingerprint;
    uint64_t crash;
    SuspectVerdict wanted;
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} Script;

static const Script scripts[] = {
    {"blamed once, it runs alone",
     {{ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_ALONE},
      {ASK, 2, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"blamed twice, it is stopped",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
    {"the same crash told twice is one",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_ALONE},
      {END, 0, 0, 0}}},
    {"it ended alone: cleared",
     {{CRASH, 1, 7, 0},
      {DONE, 1, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"once stopped, an end elsewhere does not clear it",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {DONE, 1, 0, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
    {"released after its time",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {WAIT, 0, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 9, 0},
      {ASK, 1, 0, Sus_ALONE},
      {END, 0, 0, 0}}},
    {"another node's old knowledge is not made new",
     {{OLD_CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_ALONE},
      {WAIT, 0, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"released by the operators",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {RELEASE, 1, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"released by the operators, it may be blamed again",
     {{CRASH, 1, 7, 0},
      {CRASH, 1, 8, 0},
      {RELEASE, 1, 0, 0},
      {CRASH, 1, 8, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 9, 0},
      {ASK, 1, 0, Sus_ALONE},
      {END, 0, 0, 0}}},
    {"a crash for which it was cleared counts no more",
     {{CRASH, 1, 7, 0},
      {DONE, 1, 0, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {CRASH, 1, 8, 0},
      {ASK, 1, 0, Sus_ALONE},
      {END, 0, 0, 0}}},
    {"limits of a new version release nothing",
     {{CRASH, 1, 7, 0},
      {SAME_LIMITS, 0, 0, 0},
      {ASK, 1, 0, Sus_ALONE},
      {CRASH, 1, 8, 0},
      {SAME_LIMITS, 0, 0, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
    {"one loss at most, when the preset says so",
     {{STRICT, 0, 0, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
};

static const SuspectLimits settings = {2, Span_S(10)};

static void
crash(SuspectTable *sus, const Step *step, Span age, Instant now)
{
    SuspectRecord row = {
        .fingerprint = step->fingerprint, .crash_id = step->crash, .age = age};

    Sus_MergeRecord(sus, &row, now);
}

static void
play(SuspectTable *sus, const Step *step, Instant *now)
{
    SuspectLimits strict = settings;

    switch (step->verb) {
    case CRASH:
        crash(sus, step, 0, *now);
        break;
    case OLD_CRASH:
        crash(sus, step, Span_S(4), *now);
        break;
    case DONE:
        Sus_OnExclusiveSuccess(sus, step->fingerprint);
        break;
    case WAIT:
        *now += settings.release_after;
        break;
    case RELEASE:
        Sus_Release(sus, step->fingerprint);
        break;
    case SAME_LIMITS:
        Sus_SetLimits(sus, &settings);
        break;
    case STRICT:
        strict.stop_threshold = 1;
        Sus_SetLimits(sus, &strict);
        break;
    default:
        break;
    }
}

START_TEST(follows_script)
{
    static SuspectTable sus;
    const Script *script = &scripts[_i];
    Instant now = Span_S(100);

    Sus_Init(&sus, &settings);
    for (int i = 0; script->steps[i].verb != END; i++) {
        const Step *step = &script->steps[i];
        if (step->verb == ASK) {
            SuspectVerdict got = Sus_GetVerdict(&sus, step->fingerprint, now);
            ck_assert_msg(got == step->wanted, "%s, step %d: got %d",
                          script->name, i, got);
        }
        play(&sus, step, &now);
    }
}
END_TEST

START_TEST(keeps_the_stopped_when_full)
{
    static SuspectTable sus;
    Instant now = Span_S(100);

    Sus_Init(&sus, &settings);
    crash(&sus, &(Step){.fingerprint = 1, .crash = 7}, 0, now);
    crash(&sus, &(Step){.fingerprint = 1, .crash = 8}, 0, now);
    for (uint64_t i = 0; i < 2 * Sus_REQUESTS_MAX; i++) {
        crash(&sus, &(Step){.fingerprint = 100 + i, .crash = 9 + i}, 0,
              now + (Instant)i);
    }
    ck_assert_int_eq(sus.request_count, Sus_REQUESTS_MAX);
    ck_assert_int_eq(Sus_GetVerdict(&sus, 1, now), Sus_STOPPED);
    ck_assert_int_eq(Sus_Expire(&sus, now + settings.release_after), 1);
}
END_TEST

/* Two processes that are told the same, each in its own order. */
typedef struct {
    const char *name;
    SuspectRecord rows[4];
    int count;
    SuspectVerdict wanted; /* of request 1 */
} Gossip;

static const Gossip gossips[] = {
    {"two crashes", {{1, 7, 10, 0, 0}, {1, 8, 11, 0, 0}}, 2, Sus_STOPPED},
    {"blamed and cleared",
     {{1, 7, 10, 0, Sus_BLAMED}, {1, 7, 10, 0, Sus_CLEARED}},
     2,
     Sus_CLEAR},
    {"cleared of one, stopped for two elsewhere",
     {{1, 7, 10, 0, Sus_BLAMED},
      {1, 7, 10, 0, Sus_CLEARED},
      {1, 7, 10, 0, Sus_FINAL},
      {1, 8, 11, 0, Sus_FINAL}},
     4,
     Sus_STOPPED},
    {"stopped, and released by operators",
     {{1, 7, 10, 0, Sus_FINAL},
      {1, 8, 11, 0, Sus_FINAL},
      {1, 7, 10, 0, Sus_RELEASED},
      {1, 8, 11, 0, Sus_RELEASED}},
     4,
     Sus_CLEAR},
};

/* What one knows besides is told to the other, as processes do whose digests
 * differ. */
static void
tell_all(const SuspectTable *from, SuspectTable *to, Instant now)
{
    for (size_t i = 0; i < from->request_count; i++) {
        for (uint32_t k = 0; k < from->requests[i].crash_count; k++) {
            SuspectRecord row = Sus_MakeRecord(&from->requests[i], k, now);
            Sus_MergeRecord(to, &row, now);
        }
    }
}

START_TEST(same_words_in_any_order)
{
    static SuspectTable one;
    static SuspectTable other;
    const Gossip *g = &gossips[_i];
    Instant now = Span_S(100);

    Sus_Init(&one, &settings);
    Sus_Init(&other, &settings);
    for (int i = 0; i < g->count; i++) {
        Sus_MergeRecord(&one, &g->rows[i], now);
        Sus_MergeRecord(&other, &g->rows[g->count - 1 - i], now);
    }
    tell_all(&one, &other, now);
    tell_all(&other, &one, now);
    ck_assert_msg(Sus_DigestsAreEqual(Sus_ComputeDigest(&one),
                                      Sus_ComputeDigest(&other)),
                  "%s: they know different things", g->name);
    ck_assert_msg(Sus_GetVerdict(&one, 1, now) == g->wanted, "%s: got %d",
                  g->name, Sus_GetVerdict(&one, 1, now));
    ck_assert_int_eq(Sus_GetVerdict(&other, 1, now), g->wanted);
}
END_TEST

START_TEST(runs_alone_at_one_node_only)
{
    static SuspectTable sus;
    enum { NODES = 5, REQUESTS = 200 };
    int turns[NODES + 1] = {0};
    Instant now = Span_S(100);

    Sus_Init(&sus, &settings);
    for (uint64_t request = 1; request <= REQUESTS; request++) {
        Addr first = 1;
        for (Addr node = 2; node <= NODES; node++) {
            if (Sus_PrefersNode(&sus, request, node, first)) {
                first = node;
            }
        }
        turns[first]++;
        crash(&sus, &(Step){.fingerprint = request, .crash = request}, 0, now);
        /* Where it crashed a backend server, it comes last. */
        Sus_MergeRecord(
            &sus, &(SuspectRecord){request, REQUESTS + request, first, 0, 0},
            now);
        for (Addr node = 1; node <= NODES; node++) {
            ck_assert(node == first ||
                      Sus_PrefersNode(&sus, request, node, first));
        }
    }
    for (Addr node = 1; node <= NODES; node++) {
        ck_assert_int_ge(turns[node], REQUESTS / NODES / 2);
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {follows_script, sizeof scripts / sizeof scripts[0]},
        {keeps_the_stopped_when_full, 1},
        {same_words_in_any_order, sizeof gossips / sizeof gossips[0]},
        {runs_alone_at_one_node_only, 1}};

    return Suite_Run("suspect decider", tests, 4, 10);
}
