/* The attempt ledger: scripts of events, each with the verdict it must get. */
#include "process/ledger.h"
#include "support/suite.h"

enum { SELF = 7, ORIGIN = 3, STEPS_MAX = 10 };

typedef enum {
    ATTEMPT,
    ATTEMPT_KEEP,
    ATTEMPT_OTHER, /* names another incarnation */
    FENCE,
    FENCE_OTHER,
    REFUSED,
    DONE,
    DONE_LARGE,
    LOST,
    WAIT_BRIEF,
    WAIT_LONG,
    END
} Verb;

typedef struct {
    Verb verb;
    uint64_t counter;
    int wanted; /* AttemptVerdict or LedgerState */
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} Script;

static const Script scripts[] = {
    {"a duplicate never runs",
     {{ATTEMPT, 1, Led_NEW},
      {ATTEMPT, 1, Led_DUPLICATE},
      {DONE, 1, 0},
      {ATTEMPT, 1, Led_DUPLICATE},
      {END, 0, 0}}},
    {"a fence comes before its attempt",
     {{FENCE, 1, Led_NEVER_RAN},
      {ATTEMPT, 1, Led_FENCED},
      {FENCE, 1, Led_NEVER_RAN},
      {ATTEMPT, 2, Led_NEW},
      {END, 0, 0}}},
    {"another incarnation proves nothing but its refusal",
     {{ATTEMPT_OTHER, 1, Led_WRONG_INCARNATION},
      {FENCE_OTHER, 1, Led_UNKNOWN},
      {END, 0, 0}}},
    {"a refused attempt never runs",
     {{ATTEMPT, 1, Led_NEW},
      {REFUSED, 1, 0},
      {FENCE, 1, Led_NEVER_RAN},
      {ATTEMPT, 1, Led_DUPLICATE},
      {END, 0, 0}}},
    {"who runs is told so, then the answer",
     {{ATTEMPT, 1, Led_NEW},
      {FENCE, 1, Led_RUNNING},
      {DONE, 1, 0},
      {FENCE, 1, Led_ANSWERED},
      {END, 0, 0}}},
    {"an answer over the bound is not kept",
     {{ATTEMPT, 1, Led_NEW},
      {DONE_LARGE, 1, 0},
      {FENCE, 1, Led_ANSWER_DROPPED},
      {END, 0, 0}}},
    {"a lost attempt stays in doubt",
     {{ATTEMPT, 1, Led_NEW},
      {LOST, 1, 0},
      {FENCE, 1, Led_UNKNOWN},
      {END, 0, 0}}},
    {"what was forgotten is refused, what is newer runs",
     {{ATTEMPT, 5, Led_NEW},
      {DONE, 5, 0},
      {WAIT_BRIEF, 0, 0},
      {ATTEMPT, 5, Led_EXPIRED},
      {ATTEMPT, 4, Led_EXPIRED},
      {FENCE, 4, Led_UNKNOWN},
      {ATTEMPT, 6, Led_NEW},
      {END, 0, 0}}},
    {"a forgotten fence holds",
     {{FENCE, 5, Led_NEVER_RAN},
      {WAIT_LONG, 0, 0},
      {ATTEMPT, 5, Led_EXPIRED},
      {END, 0, 0}}},
    {"a keyed outcome outlives the others",
     {{ATTEMPT_KEEP, 1, Led_NEW},
      {DONE, 1, 0},
      {WAIT_BRIEF, 0, 0},
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
    {"when full, nothing new runs and nothing is forgotten",
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

/* The verdict, or 0 where there is none. */
static int
play(AttemptLedger *led, const Step *step, Instant *now)
{
    AttemptId id = {ORIGIN, step->counter};
    Str answer;

    switch (step->verb) {
    case ATTEMPT:
        return Led_OnAttempt(led, id, SELF, false, *now);
    case ATTEMPT_KEEP:
        return Led_OnAttempt(led, id, SELF, true, *now);
    case ATTEMPT_OTHER:
        return Led_OnAttempt(led, id, SELF - 1, false, *now);
    case FENCE:
        return Led_Fence(led, id, SELF, false, *now, &answer);
    case FENCE_OTHER:
        return Led_Fence(led, id, SELF - 1, false, *now, &answer);
    case REFUSED:
        Led_OnRefused(led, id, *now);
        return 0;
    case DONE:
        Led_OnEnded(led, id, true, Str_LIT("answer"), *now);
        return 0;
    case DONE_LARGE:
        Led_OnEnded(led, id, true, Str_LIT("an answer too long"), *now);
        return 0;
    case LOST:
        Led_OnUnknown(led, id, *now);
        return 0;
    case WAIT_BRIEF:
        *now += settings.short_retention;
        break;
    default:
        *now += settings.long_retention;
        break;
    }
    Led_Expire(led, *now);
    return 0;
}

START_TEST(follows_script)
{
    const Script *script = &scripts[_i];
    Instant now = Span_S(1);
    AttemptLedger led;

    Led_Init(&led, &settings, SELF);
    for (int i = 0; script->steps[i].verb != END; i++) {
        int got = play(&led, &script->steps[i], &now);
        ck_assert_msg(got == script->steps[i].wanted,
                      "%s, step %d: got %d, wanted %d", script->name, i, got,
                      script->steps[i].wanted);
    }
    Led_Finish(&led);
}
END_TEST

START_TEST(keeps_answers_within_their_bytes)
{
    Instant now = Span_S(1);
    Str answer;
    AttemptLedger led;

    Led_Init(&led, &settings, SELF);
    for (uint64_t i = 1; i <= 3; i++) {
        Led_OnAttempt(&led, (AttemptId){ORIGIN, i}, SELF, true, now);
        Led_OnEnded(&led, (AttemptId){ORIGIN, i}, true, Str_LIT("answer"),
                    now);
    }
    ck_assert(led.kept_bytes <= settings.kept_bytes_max);
    ck_assert(Led_Fence(&led, (AttemptId){ORIGIN, 1}, SELF, true, now,
                        &answer) == Led_ANSWER_DROPPED);
    ck_assert(Led_Fence(&led, (AttemptId){ORIGIN, 3}, SELF, true, now,
                        &answer) == Led_ANSWERED);
    ck_assert(Str_Equal(answer, Str_LIT("answer")));
    Led_Finish(&led);
}
END_TEST

START_TEST(a_forgotten_origin_runs_nothing)
{
    Instant now = Span_S(1);
    AttemptLedger led;

    Led_Init(&led, &settings, SELF);
    for (uint64_t origin = 1; origin <= 3; origin++) {
        Led_OnAttempt(&led, (AttemptId){origin, 1}, SELF, false, now);
        Led_OnEnded(&led, (AttemptId){origin, 1}, true, (Str){0}, now);
        now += settings.short_retention;
        Led_Expire(&led, now);
    }
    ck_assert(led.origins.count == settings.origins_max);
    ck_assert(Led_OnAttempt(&led, (AttemptId){1, 1}, SELF, false, now) ==
              Led_EXPIRED);
    ck_assert(Led_OnAttempt(&led, (AttemptId){9, 1}, SELF, false, now) ==
              Led_NEW);
    Led_Finish(&led);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{follows_script, SCRIPT_COUNT},
                               {keeps_answers_within_their_bytes, 1},
                               {a_forgotten_origin_runs_nothing, 1}};

    return Suite_Run("ledger", tests, 3, 10);
}
