/* Which requests crash backend servers: scripts of events and verdicts. */
#include "process/suspect.h"
#include "support/suite.h"

enum { STEPS_MAX = 8 };

typedef enum { ASK, CRASH, OLD_CRASH, DONE, WAIT, CLEAR, STRICT, END } Verb;

typedef struct {
    Verb verb;
    uint64_t fingerprint;
    uint64_t crash;
    SusVerdict wanted;
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
      {CLEAR, 0, 0, 0},
      {ASK, 1, 0, Sus_CLEAR},
      {END, 0, 0, 0}}},
    {"one loss at most, when the preset says so",
     {{STRICT, 0, 0, 0},
      {CRASH, 1, 7, 0},
      {ASK, 1, 0, Sus_STOPPED},
      {END, 0, 0, 0}}},
};

static const SusSettings settings = {2, Span_S(10)};

static void
play(Sus *sus, const Step *step, Instant *now)
{
    SusSettings strict = settings;

    switch (step->verb) {
    case CRASH:
        Sus_OnCrash(sus, step->fingerprint, step->crash, 0, *now);
        break;
    case OLD_CRASH:
        Sus_OnCrash(sus, step->fingerprint, step->crash, Span_S(4), *now);
        break;
    case DONE:
        Sus_OnDone(sus, step->fingerprint);
        break;
    case WAIT:
        *now += settings.release;
        break;
    case CLEAR:
        Sus_Clear(sus);
        break;
    case STRICT:
        strict.losses_max = 1;
        Sus_SetSettings(sus, &strict);
        break;
    default:
        break;
    }
}

START_TEST(follows_script)
{
    static Sus sus;
    const Script *script = &scripts[_i];
    Instant now = Span_S(100);

    Sus_Init(&sus, &settings);
    for (int i = 0; script->steps[i].verb != END; i++) {
        const Step *step = &script->steps[i];
        if (step->verb == ASK) {
            SusVerdict got = Sus_Ask(&sus, step->fingerprint, now);
            ck_assert_msg(got == step->wanted, "%s, step %d: got %d",
                          script->name, i, got);
        }
        play(&sus, step, &now);
    }
}
END_TEST

START_TEST(keeps_the_stopped_when_full)
{
    static Sus sus;
    Instant now = Span_S(100);

    Sus_Init(&sus, &settings);
    Sus_OnCrash(&sus, 1, 7, 0, now);
    Sus_OnCrash(&sus, 1, 8, 0, now);
    for (uint64_t i = 0; i < 2 * Sus_ENTRIES_MAX; i++) {
        Sus_OnCrash(&sus, 100 + i, 9 + i, 0, now + (Instant)i);
    }
    ck_assert_int_eq(sus.count, Sus_ENTRIES_MAX);
    ck_assert_int_eq(Sus_Ask(&sus, 1, now), Sus_STOPPED);
    ck_assert_int_eq(Sus_Expire(&sus, now + settings.release), 1);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {follows_script, sizeof scripts / sizeof scripts[0]},
        {keeps_the_stopped_when_full, 1}};

    return Suite_Run("suspect decider", tests, 2, 10);
}
