/* The key registers of one holder: scripts of events with their verdicts. */
#include "process/register.h"
#include "support/suite.h"

enum { STEPS_MAX = 8 };

typedef enum {
    ACCEPT,
    PROMISE,
    ENDED,
    ENDED_LARGE,
    RELEASED,
    MERGE,
    MERGE_MIXED,
    READY,
    WAIT,
    OTHER_KEY, /* accept on another key */
    END
} Verb;

typedef struct {
    Verb verb;
    uint64_t round;
    uint64_t proposer;
    uint64_t attempt; /* counter, of the proposer */
    RegisterVerdict wanted;
    RegisterState
        expected_state; /* what the answer holds, and whose attempt */
    uint64_t holds;     /* counter of that attempt */
} Step;

typedef struct {
    const char *name;
    bool restarted;
    Step steps[STEPS_MAX];
} Script;

static const Script scripts[] = {
    {"the fast path takes the first only",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {ACCEPT, 1, 2, 21, Reg_REJECTED, Reg_PLACED, 11},
      {ACCEPT, 1, 1, 12, Reg_OK, Reg_PLACED, 12},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"an accept that comes late takes nothing back",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {ACCEPT, 1, 1, 12, Reg_OK, Reg_PLACED, 12},
      {ACCEPT, 1, 1, 11, Reg_REJECTED, Reg_PLACED, 12},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a promise closes the fast path and lower rounds",
     false,
     {{PROMISE, 3, 1, 0, Reg_OK, Reg_EMPTY, 0},
      {ACCEPT, 1, 2, 21, Reg_REJECTED, Reg_EMPTY, 0},
      {ACCEPT, 2, 2, 21, Reg_REJECTED, Reg_EMPTY, 0},
      {PROMISE, 2, 2, 0, Reg_REJECTED, Reg_EMPTY, 0},
      {ACCEPT, 3, 1, 11, Reg_OK, Reg_PLACED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a promise tells what is held",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {PROMISE, 2, 2, 0, Reg_OK, Reg_PLACED, 11},
      {ACCEPT, 1, 1, 12, Reg_REJECTED, Reg_PLACED, 11},
      {ACCEPT, 2, 2, 21, Reg_OK, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"an end is a fact and stays",
     false,
     {{PROMISE, 5, 1, 0, Reg_OK, Reg_EMPTY, 0},
      {ENDED, 1, 2, 21, 0, 0, 0},
      {ACCEPT, 5, 1, 11, Reg_REJECTED, Reg_ENDED, 21},
      {ENDED, 9, 3, 31, 0, 0, 0},
      {PROMISE, 9, 3, 0, Reg_OK, Reg_ENDED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a release opens the fast path again",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {RELEASED, 0, 1, 11, 0, 0, 0},
      {ACCEPT, 1, 2, 21, Reg_OK, Reg_PLACED, 21},
      {RELEASED, 0, 1, 11, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a release keeps a later promise",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {PROMISE, 2, 2, 0, Reg_OK, Reg_PLACED, 11},
      {RELEASED, 0, 1, 11, 0, 0, 0},
      {ACCEPT, 1, 3, 31, Reg_REJECTED, Reg_EMPTY, 0},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a holder that restarted says nothing",
     true,
     {{ACCEPT, 1, 1, 11, Reg_NOT_READY, Reg_EMPTY, 0},
      {PROMISE, 2, 1, 0, Reg_NOT_READY, Reg_EMPTY, 0},
      {MERGE, 1, 2, 21, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {ACCEPT, 1, 1, 11, Reg_REJECTED, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"until the retention has passed",
     true,
     {{WAIT, 0, 0, 0, 0, 0, 0},
      {ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"two attempts found while catching up: no word on the key",
     true,
     {{MERGE, 1, 1, 11, 0, 0, 0},
      {MERGE, 1, 2, 21, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_NOT_READY, Reg_EMPTY, 0},
      {ACCEPT, 1, 2, 21, Reg_NOT_READY, Reg_EMPTY, 0},
      {ACCEPT, 2, 3, 31, Reg_OK, Reg_PLACED, 31},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"what another has no word on is handed on as such",
     true,
     {{MERGE_MIXED, 1, 1, 11, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_NOT_READY, Reg_EMPTY, 0},
      {ENDED, 1, 1, 11, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_ENDED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"one proposer's later attempt is no second one",
     true,
     {{MERGE, 1, 1, 12, 0, 0, 0},
      {MERGE, 1, 1, 11, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_PLACED, 12},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"when full, new keys are refused and old ones kept",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {OTHER_KEY, 1, 2, 21, Reg_FULL, Reg_EMPTY, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_PLACED, 11},
      {WAIT, 0, 0, 0, 0, 0, 0},
      {OTHER_KEY, 1, 2, 21, Reg_OK, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"an answer over the bound is not kept, its end is",
     false,
     {{ENDED_LARGE, 1, 1, 11, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_ENDED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
};

static const RegisterSettings settings = {Span_S(600), 1, 100, 8};

static RegisterReply
play(KeyRegisters *reg, const Step *step, Instant *now)
{
    Str key = Str_LIT("key");
    RegisterValue value = {
        .state = Reg_PLACED,
        .ballot = {step->round, {step->proposer, 0}},
        .attempt = {step->proposer, step->attempt},
        .answer = Str_LIT("answer"),
    };

    switch (step->verb) {
    case ACCEPT:
        return Reg_Accept(reg, key, &value, *now);
    case OTHER_KEY:
        return Reg_Accept(reg, Str_LIT("other"), &value, *now);
    case PROMISE:
        return Reg_Promise(reg, key, value.ballot, *now);
    case ENDED_LARGE:
        value.answer = Str_LIT("an answer too long");
        Reg_OnEnded(reg, key, &value, *now);
        break;
    case ENDED:
        Reg_OnEnded(reg, key, &value, *now);
        break;
    case RELEASED:
        Reg_OnReleased(reg, key, value.attempt);
        break;
    case MERGE:
    case MERGE_MIXED:
        ck_assert(Reg_Merge(reg, key, value.ballot, &value,
                            step->verb == MERGE_MIXED, *now));
        break;
    case READY:
        Reg_SetReady(reg);
        break;
    default:
        *now += settings.retention;
        break;
    }
    return (RegisterReply){0};
}

START_TEST(follows_script)
{
    const Script *script = &scripts[_i];
    Instant now = Span_S(1);
    KeyRegisters reg;

    Reg_Init(&reg, &settings, !script->restarted, now);
    for (int i = 0; script->steps[i].verb != END; i++) {
        const Step *step = &script->steps[i];
        RegisterReply got = play(&reg, step, &now);
        ck_assert_msg(got.verdict == step->wanted &&
                          got.value.state == step->expected_state &&
                          got.value.attempt.counter == step->holds,
                      "%s, step %d: verdict %d, state %d, attempt %d",
                      script->name, i, got.verdict, got.value.state,
                      (int)got.value.attempt.counter);
    }
    Reg_Finish(&reg);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {follows_script, sizeof scripts / sizeof scripts[0]}};

    return Suite_Run("register", tests, 1, 10);
}
