/* Guards against the failure that an estimate that refuses all calls is never
 * corrected: estimates of durations, and the trials that renew them.
 */
#include "request/duration.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { STEPS_MAX = 6 };

#define SLOW Span_MS(2500)
#define QUICK Span_MS(50)

typedef enum { END, RECORD, RECORD_TRIAL, TRIAL_DUE, NO_TRIAL } StepKind;

typedef struct {
    StepKind kind;
    Instant at;
    Span took; /* of RECORD and RECORD_TRIAL */
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
    Span at_least; /* the optimistic estimate at the end */
    Span at_most;
} TrialCase;

static const TrialCase trial_cases[] = {
    {"unknown: nothing to try", {{NO_TRIAL, Span_S(9), 0}}, 0, 0},
    {"just recorded",
     {{RECORD, 1, SLOW}, {NO_TRIAL, Dur_TRIAL_INTERVAL, 0}},
     SLOW / 2,
     SLOW},
    {"old",
     {{RECORD, 1, SLOW}, {TRIAL_DUE, 1 + Dur_TRIAL_INTERVAL, 0}},
     SLOW / 2,
     SLOW},
    {"one trial in each interval",
     {{RECORD, 1, SLOW},
      {TRIAL_DUE, 1 + Dur_TRIAL_INTERVAL, 0},
      {NO_TRIAL, 2 * Dur_TRIAL_INTERVAL, 0},
      {TRIAL_DUE, 1 + 2 * Dur_TRIAL_INTERVAL, 0}},
     SLOW / 2,
     SLOW},
    {"the trial was quick",
     {{RECORD, 1, SLOW},
      {TRIAL_DUE, Span_S(9), 0},
      {RECORD_TRIAL, Span_S(9) + QUICK, QUICK},
      {NO_TRIAL, Span_S(9) + QUICK, 0}},
     0,
     QUICK},
    {"the trial was slow too",
     {{RECORD, 1, SLOW},
      {TRIAL_DUE, Span_S(9), 0},
      {RECORD_TRIAL, Span_S(12), SLOW}},
     SLOW / 2,
     SLOW},
    {"one quick answer among others tells little",
     {{RECORD, 1, SLOW}, {RECORD, 2, QUICK}},
     SLOW / 2,
     SLOW},
};

START_TEST(renews_old_estimate)
{
    static RouteDurations durations;
    const TrialCase *c = &trial_cases[_i];
    uint64_t key = Dur_MakeKey(Str_LIT("look"), Str_LIT("visor"));
    Span estimate;

    for (int i = 0; i < STEPS_MAX && c->steps[i].kind; i++) {
        const Step *step = &c->steps[i];
        if (step->kind == RECORD || step->kind == RECORD_TRIAL) {
            Dur_Record(&durations, key, step->took, step->kind == RECORD_TRIAL,
                       step->at);
        }
        else {
            ck_assert_msg(Dur_StartTrial(&durations, key, step->at) ==
                              (step->kind == TRIAL_DUE),
                          "%s, step %d", c->name, i);
        }
    }
    estimate = Dur_Estimate(&durations, key, Dur_OPTIMISTIC);
    ck_assert_msg(estimate >= c->at_least && estimate <= c->at_most,
                  "%s: %lld us", c->name, (long long)estimate);
}
END_TEST

typedef struct {
    const char *name;
    Str route;
    Str service;
    bool is_same;
} KeyCase;

static const KeyCase key_cases[] = {
    {"the same", Str_LIT("look"), Str_LIT("visor"), true},
    {"another route", Str_LIT("stock"), Str_LIT("visor"), false},
    {"another service", Str_LIT("look"), Str_LIT("despachos"), false},
    {"bytes moved between the names", Str_LIT("lookv"), Str_LIT("isor"),
     false},
};

START_TEST(separates_routes_and_services)
{
    static RouteDurations durations;
    const KeyCase *c = &key_cases[_i];

    Dur_Record(&durations, Dur_MakeKey(Str_LIT("look"), Str_LIT("visor")),
               SLOW, false, 1);
    ck_assert_msg((Dur_Estimate(&durations, Dur_MakeKey(c->route, c->service),
                                Dur_TYPICAL) > 0) == c->is_same,
                  "%s", c->name);
}
END_TEST

typedef struct {
    const char *name;
    uint64_t others;    /* further keys of the set, recorded later */
    uint64_t refreshed; /* how many of them before the first is again */
    bool is_kept;       /* the first */
} SetCase;

static const SetCase set_cases[] = {
    {"room for all", Dur_SLOTS_PER_SET - 1, Dur_SLOTS_PER_SET - 1, true},
    {"one more takes the oldest", Dur_SLOTS_PER_SET, Dur_SLOTS_PER_SET, false},
    {"used lately, another goes", Dur_SLOTS_PER_SET, 1, true},
};

/* Keys of one set neither share an estimate nor lose one that is used. */
START_TEST(shares_no_slot)
{
    static RouteDurations durations;
    const SetCase *c = &set_cases[_i];
    const uint64_t first = Dur_SETS;
    Instant now = 1;

    Dur_Record(&durations, first, SLOW, false, now);
    for (uint64_t i = 1; i <= c->others; i++) {
        if (i - 1 == c->refreshed) {
            Dur_Record(&durations, first, SLOW, false, ++now);
        }
        Dur_Record(&durations, first + i * Dur_SETS, QUICK, false, ++now);
        ck_assert_msg(Dur_Estimate(&durations, first + i * Dur_SETS,
                                   Dur_PESSIMISTIC) <= 2 * QUICK,
                      "%s: key %d", c->name, (int)i);
    }
    ck_assert_msg((Dur_Estimate(&durations, first, Dur_TYPICAL) >= SLOW) ==
                      c->is_kept,
                  "%s", c->name);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {renews_old_estimate, ROWS(trial_cases)},
        {separates_routes_and_services, ROWS(key_cases)},
        {shares_no_slot, ROWS(set_cases)}};

    return Suite_Run("duration", tests, 3, 10);
}
