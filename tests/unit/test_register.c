/* The key registers of one acceptor: scripts of messages with the reply that
 * each must get.  They guard against a register that accepts or reports a
 * value older than one it knows, and so lets the call of a key run twice. */
#include "process/control/register.h"
#include "support/suite.h"

enum { STEPS_MAX = 8 };

typedef enum {
    ACCEPT,         /* a proposer asks to accept its attempt */
    PROMISE,        /* a proposer asks for a promise */
    ENDED,          /* the attempt ended with an answer that is kept */
    ENDED_LARGE,    /* the same, with an answer too large to be kept */
    RELEASED,       /* the attempt never runs */
    MERGE,          /* a row read from another acceptor */
    MERGE_CONFLICT, /* the same, marked as a conflict */
    READY,          /* the acceptor has caught up */
    WAIT_RETENTION, /* the retention passes */
    ACCEPT_OTHER_KEY,
    END
} StepKind;

typedef struct {
    StepKind kind;
    uint64_t round;
    uint64_t proposer;
    uint64_t attempt; /* counter in the attempt id of the proposer */
    RegisterVerdict expected;
    RegisterState expected_state; /* in the reply */
    uint64_t expected_attempt;    /* in the reply; its counter */
} Step;

typedef struct {
    const char *name;
    bool restarted;
    Step steps[STEPS_MAX];
} Script;

static const Script scripts[] = {
    {"the fast path accepts the first proposer only",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {ACCEPT, 1, 2, 21, Reg_REJECTED, Reg_PLACED, 11},
      {ACCEPT, 1, 1, 12, Reg_OK, Reg_PLACED, 12},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a late accept of an earlier attempt is rejected",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {ACCEPT, 1, 1, 12, Reg_OK, Reg_PLACED, 12},
      {ACCEPT, 1, 1, 11, Reg_REJECTED, Reg_PLACED, 12},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a promise blocks the fast path and lower rounds",
     false,
     {{PROMISE, 3, 1, 0, Reg_OK, Reg_EMPTY, 0},
      {ACCEPT, 1, 2, 21, Reg_REJECTED, Reg_EMPTY, 0},
      {ACCEPT, 2, 2, 21, Reg_REJECTED, Reg_EMPTY, 0},
      {PROMISE, 2, 2, 0, Reg_REJECTED, Reg_EMPTY, 0},
      {ACCEPT, 3, 1, 11, Reg_OK, Reg_PLACED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a promise returns the current value",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {PROMISE, 2, 2, 0, Reg_OK, Reg_PLACED, 11},
      {ACCEPT, 1, 1, 12, Reg_REJECTED, Reg_PLACED, 11},
      {ACCEPT, 2, 2, 21, Reg_OK, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"an end is recorded despite a promise, and the first one stays",
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
    {"a restarted acceptor is not ready until it has caught up",
     true,
     {{ACCEPT, 1, 1, 11, Reg_NOT_READY, Reg_EMPTY, 0},
      {PROMISE, 2, 1, 0, Reg_NOT_READY, Reg_EMPTY, 0},
      {MERGE, 1, 2, 21, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {ACCEPT, 1, 1, 11, Reg_REJECTED, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a restarted acceptor is ready after the retention",
     true,
     {{WAIT_RETENTION, 0, 0, 0, 0, 0, 0},
      {ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"two attempts found while catching up are a conflict",
     true,
     {{MERGE, 1, 1, 11, 0, 0, 0},
      {MERGE, 1, 2, 21, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_NOT_READY, Reg_EMPTY, 0},
      {ACCEPT, 1, 2, 21, Reg_NOT_READY, Reg_EMPTY, 0},
      {ACCEPT, 2, 3, 31, Reg_OK, Reg_PLACED, 31},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a conflict at another acceptor is merged as a conflict",
     true,
     {{MERGE_CONFLICT, 1, 1, 11, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_NOT_READY, Reg_EMPTY, 0},
      {ENDED, 1, 1, 11, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_ENDED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"a later attempt of the same proposer is no conflict",
     true,
     {{MERGE, 1, 1, 12, 0, 0, 0},
      {MERGE, 1, 1, 11, 0, 0, 0},
      {READY, 0, 0, 0, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_PLACED, 12},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"full registers reject new keys and keep the old ones",
     false,
     {{ACCEPT, 1, 1, 11, Reg_OK, Reg_PLACED, 11},
      {ACCEPT_OTHER_KEY, 1, 2, 21, Reg_FULL, Reg_EMPTY, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_PLACED, 11},
      {WAIT_RETENTION, 0, 0, 0, 0, 0, 0},
      {ACCEPT_OTHER_KEY, 1, 2, 21, Reg_OK, Reg_PLACED, 21},
      {END, 0, 0, 0, 0, 0, 0}}},
    {"an answer above the limit is not kept, but the end is",
     false,
     {{ENDED_LARGE, 1, 1, 11, 0, 0, 0},
      {PROMISE, 2, 3, 0, Reg_OK, Reg_ENDED, 11},
      {END, 0, 0, 0, 0, 0, 0}}},
};

static const RegisterSettings settings = {Span_S(600), 1, 100, 8};

static RegisterReply
apply_step(KeyRegisters *registers, const Step *step, Instant *now)
{
    Str key = Str_LIT("key");
    RegisterValue value = {
        .state = Reg_PLACED,
        .ballot = {step->round, {step->proposer, 0}},
        .attempt = {step->proposer, step->attempt},
        .answer = Str_LIT("answer"),
    };

    switch (step->kind) {
    case ACCEPT:
        return Reg_Accept(registers, key, &value, *now);
    case ACCEPT_OTHER_KEY:
        return Reg_Accept(registers, Str_LIT("other"), &value, *now);
    case PROMISE:
        return Reg_Promise(registers, key, value.ballot, *now);
    case ENDED_LARGE:
        value.answer = Str_LIT("an answer too long");
        Reg_OnEnded(registers, key, &value, *now);
        break;
    case ENDED:
        Reg_OnEnded(registers, key, &value, *now);
        break;
    case RELEASED:
        Reg_OnReleased(registers, key, value.attempt);
        break;
    case MERGE:
    case MERGE_CONFLICT:
        ck_assert(Reg_Merge(registers, key, value.ballot, &value,
                            step->kind == MERGE_CONFLICT, *now));
        break;
    case READY:
        Reg_SetReady(registers);
        break;
    default:
        *now += settings.retention;
        break;
    }
    return (RegisterReply){0};
}

START_TEST(gives_expected_replies)
{
    const Script *script = &scripts[_i];
    Instant now = Span_S(1);
    KeyRegisters registers;

    Reg_Init(&registers, &settings, !script->restarted, now);
    for (int i = 0; script->steps[i].kind != END; i++) {
        const Step *step = &script->steps[i];
        RegisterReply got = apply_step(&registers, step, &now);
        ck_assert_msg(got.verdict == step->expected &&
                          got.value.state == step->expected_state &&
                          got.value.attempt.counter == step->expected_attempt,
                      "%s, step %d: verdict %d, state %d, attempt %d",
                      script->name, i, got.verdict, got.value.state,
                      (int)got.value.attempt.counter);
    }
    Reg_Finish(&registers);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {gives_expected_replies, sizeof scripts / sizeof scripts[0]}};

    return Suite_Run("register", tests, 1, 10);
}
