/* The attempt ledger: scripts of calls with the verdict or state that each
 * must return.  They guard against an attempt that runs twice, or that runs
 * after the ledger reported to another node that it never will. */
#include "process/admission/ledger.h"
#include "support/suite.h"

enum { NODE_INCARNATION = 7, ORIGIN = 3, STEPS_MAX = 10 };

typedef enum {
    ATTEMPT,                   /* attempt COUNTER of ORIGIN arrives */
    ATTEMPT_KEEP_LONG,         /* the same, with the long retention */
    ATTEMPT_OTHER_INCARNATION, /* names another incarnation */
    FENCE,
    FENCE_OTHER_INCARNATION,
    REFUSED,
    ENDED,       /* with an answer that is kept */
    ENDED_LARGE, /* with an answer above answer_bytes_max */
    OUTCOME_UNKNOWN,
    WAIT_SHORT, /* the short retention passes */
    WAIT_LONG,  /* the long retention passes */
    END
} StepKind;

typedef struct {
    StepKind kind;
    uint64_t counter;
    int expected; /* AttemptVerdict or LedgerState */
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} Script;

static const Script scripts[] = {
    {"a duplicate never runs",
     {{ATTEMPT, 1, Led_NEW},
      {ATTEMPT, 1, Led_DUPLICATE},
      {ENDED, 1, 0},
      {ATTEMPT, 1, Led_DUPLICATE},
      {END, 0, 0}}},
    {"a fence arrives before the attempt",
     {{FENCE, 1, Led_NEVER_RAN},
      {ATTEMPT, 1, Led_FENCED},
      {FENCE, 1, Led_NEVER_RAN},
      {ATTEMPT, 2, Led_NEW},
      {END, 0, 0}}},
    {"an attempt for another incarnation is rejected, its fence is unknown",
     {{ATTEMPT_OTHER_INCARNATION, 1, Led_WRONG_INCARNATION},
      {FENCE_OTHER_INCARNATION, 1, Led_UNKNOWN},
      {END, 0, 0}}},
    {"a refused attempt never runs",
     {{ATTEMPT, 1, Led_NEW},
      {REFUSED, 1, 0},
      {FENCE, 1, Led_NEVER_RAN},
      {ATTEMPT, 1, Led_DUPLICATE},
      {END, 0, 0}}},
    {"a fence reports a running attempt, then the answer",
     {{ATTEMPT, 1, Led_NEW},
      {FENCE, 1, Led_RUNNING},
      {ENDED, 1, 0},
      {FENCE, 1, Led_ANSWERED},
      {END, 0, 0}}},
    {"an answer above the limit is not kept",
     {{ATTEMPT, 1, Led_NEW},
      {ENDED_LARGE, 1, 0},
      {FENCE, 1, Led_ANSWER_DROPPED},
      {END, 0, 0}}},
    {"an attempt with unknown outcome stays unknown",
     {{ATTEMPT, 1, Led_NEW},
      {OUTCOME_UNKNOWN, 1, 0},
      {FENCE, 1, Led_UNKNOWN},
      {END, 0, 0}}},
    {"forgotten and older ids are rejected, newer ids run",
     {{ATTEMPT, 5, Led_NEW},
      {ENDED, 5, 0},
      {WAIT_SHORT, 0, 0},
      {ATTEMPT, 5, Led_EXPIRED},
      {ATTEMPT, 4, Led_EXPIRED},
      {FENCE, 4, Led_UNKNOWN},
      {ATTEMPT, 6, Led_NEW},
      {END, 0, 0}}},
    {"a forgotten fence still blocks its attempt",
     {{FENCE, 5, Led_NEVER_RAN},
      {WAIT_LONG, 0, 0},
      {ATTEMPT, 5, Led_EXPIRED},
      {END, 0, 0}}},
    {"the long retention applies to keep_long only",
     {{ATTEMPT_KEEP_LONG, 1, Led_NEW},
      {ENDED, 1, 0},
      {WAIT_SHORT, 0, 0},
      {FENCE, 1, Led_ANSWERED},
      {WAIT_LONG, 0, 0},
      {FENCE, 1, Led_UNKNOWN},
      {END, 0, 0}}},
    {"a running attempt is never forgotten",
     {{ATTEMPT, 1, Led_NEW},
      {WAIT_LONG, 0, 0},
      {ATTEMPT, 1, Led_DUPLICATE},
      {FENCE, 1, Led_RUNNING},
      {END, 0, 0}}},
    {"a full ledger rejects new ids and forgets none",
     {{ATTEMPT, 1, Led_NEW},
      {FENCE, 2, Led_NEVER_RAN},
      {ATTEMPT, 3, Led_NEW},
      {ATTEMPT, 4, Led_FULL},
      {FENCE, 4, Led_UNKNOWN},
      {ATTEMPT, 2, Led_FENCED},
      {ATTEMPT, 1, Led_DUPLICATE},
      {END, 0, 0}}},
};

enum { SCRIPT_COUNT = sizeof scripts / sizeof scripts[0] };

static const LedgerSettings settings = {
    .short_retention = Span_S(1),
    .long_retention = Span_S(10),
    .kept_bytes_max = 12,
    .answer_bytes_max = 8,
    .entries_max = 3,
    .origins_max = 2,
};

/* Returns the verdict or state; 0 for a call that returns none. */
static int
apply_step(AttemptLedger *led, const Step *step, Instant *now)
{
    AttemptId id = {ORIGIN, step->counter};
    Str answer;

    switch (step->kind) {
    case ATTEMPT:
        return Led_OnAttempt(led, id, NODE_INCARNATION, false, *now);
    case ATTEMPT_KEEP_LONG:
        return Led_OnAttempt(led, id, NODE_INCARNATION, true, *now);
    case ATTEMPT_OTHER_INCARNATION:
        return Led_OnAttempt(led, id, NODE_INCARNATION - 1, false, *now);
    case FENCE:
        return Led_Fence(led, id, NODE_INCARNATION, false, *now, &answer);
    case FENCE_OTHER_INCARNATION:
        return Led_Fence(led, id, NODE_INCARNATION - 1, false, *now, &answer);
    case REFUSED:
        Led_OnRefused(led, id, *now);
        return 0;
    case ENDED:
        Led_OnEnded(led, id, true, Str_LIT("answer"), *now);
        return 0;
    case ENDED_LARGE:
        Led_OnEnded(led, id, true, Str_LIT("an answer too long"), *now);
        return 0;
    case OUTCOME_UNKNOWN:
        Led_OnUnknown(led, id, *now);
        return 0;
    case WAIT_SHORT:
        *now += settings.short_retention;
        break;
    default:
        *now += settings.long_retention;
        break;
    }
    Led_Expire(led, *now);
    return 0;
}

START_TEST(gives_expected_verdicts)
{
    const Script *script = &scripts[_i];
    Instant now = Span_S(1);
    AttemptLedger led;

    Led_Init(&led, &settings, NODE_INCARNATION);
    for (int i = 0; script->steps[i].kind != END; i++) {
        int got = apply_step(&led, &script->steps[i], &now);
        ck_assert_msg(got == script->steps[i].expected,
                      "%s, step %d: got %d, wanted %d", script->name, i, got,
                      script->steps[i].expected);
    }
    Led_Finish(&led);
}
END_TEST

START_TEST(limits_bytes_of_kept_answers)
{
    Instant now = Span_S(1);
    Str answer;
    AttemptLedger led;

    Led_Init(&led, &settings, NODE_INCARNATION);
    for (uint64_t i = 1; i <= 3; i++) {
        Led_OnAttempt(&led, (AttemptId){ORIGIN, i}, NODE_INCARNATION, true,
                      now);
        Led_OnEnded(&led, (AttemptId){ORIGIN, i}, true, Str_LIT("answer"),
                    now);
    }
    ck_assert(led.kept_bytes <= settings.kept_bytes_max);
    ck_assert(Led_Fence(&led, (AttemptId){ORIGIN, 1}, NODE_INCARNATION, true,
                        now, &answer) == Led_ANSWER_DROPPED);
    ck_assert(Led_Fence(&led, (AttemptId){ORIGIN, 3}, NODE_INCARNATION, true,
                        now, &answer) == Led_ANSWERED);
    ck_assert(Str_Equal(answer, Str_LIT("answer")));
    Led_Finish(&led);
}
END_TEST

START_TEST(rejects_attempts_of_forgotten_origin)
{
    Instant now = Span_S(1);
    AttemptLedger led;

    Led_Init(&led, &settings, NODE_INCARNATION);
    for (uint64_t origin = 1; origin <= 3; origin++) {
        Led_OnAttempt(&led, (AttemptId){origin, 1}, NODE_INCARNATION, false,
                      now);
        Led_OnEnded(&led, (AttemptId){origin, 1}, true, (Str){0}, now);
        now += settings.short_retention;
        Led_Expire(&led, now);
    }
    ck_assert(led.origins.count == settings.origins_max);
    ck_assert(Led_OnAttempt(&led, (AttemptId){1, 1}, NODE_INCARNATION, false,
                            now) == Led_EXPIRED);
    ck_assert(Led_OnAttempt(&led, (AttemptId){9, 1}, NODE_INCARNATION, false,
                            now) == Led_NEW);
    Led_Finish(&led);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{gives_expected_verdicts, SCRIPT_COUNT},
                               {limits_bytes_of_kept_answers, 1},
                               {rejects_attempts_of_forgotten_origin, 1}};

    return Suite_Run("ledger", tests, 3, 10);
}
