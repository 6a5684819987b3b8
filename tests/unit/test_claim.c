/* The claim of one keyed call at three holders: scripts of events, each with
 * the step it must lead to. */
#include "request/claim.h"
#include "support/suite.h"

enum { STEPS_MAX = 16, SELF = 5, OTHER = 4, DIGEST = 77 };

typedef enum {
    PLACED,
    NOBODY,
    OK,       /* holder HOLDER agrees; holds what COUNTER names, if any */
    HELD,     /* it holds an attempt of another call */
    HELD_OWN, /* it holds an attempt of this call, under another's promise */
    HOLDS_END,
    HOLDS_END_BARE, /* without its answer */
    HOLDS_OTHER_REQUEST,
    FULL,
    SILENT, /* not ready */
    FATE,   /* of attempt COUNTER */
    REFUSED,
    TICK, /* COUNTER: milliseconds that passed */
    LATE, /* the holder's answer came after the phase's bound */
    END
} Verb;

typedef struct {
    Verb verb;
    int holder; /* or AttemptFate */
    uint64_t counter;
    ClaimAction wanted;
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} Script;

static const Script scripts[] = {
    {"the fast path runs after a majority",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 0, 0, Clm_WAIT}, /* a duplicate is no second holder */
      {OK, 1, 0, Clm_START_ATTEMPT},
      {OK, 2, 0, Clm_WAIT},
      {END, 0, 0, 0}}},
    {"an answer after the bound does not count",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {LATE, 1, 0, Clm_WAIT},
      {TICK, 0, 0, Clm_SEND_PREPARE},
      {END, 0, 0, 0}}},
    {"what others placed is settled first",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HELD, 0, 9, Clm_WAIT},
      {HELD, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_NEVER_RAN, 9, Clm_CHOOSE_TARGET},
      {PLACED, 0, 2, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {END, 0, 0, 0}}},
    {"each of two is settled",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HELD, 0, 9, Clm_WAIT},
      {HELD, 1, 8, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 8, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_NEVER_RAN, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_NEVER_RAN, 8, Clm_CHOOSE_TARGET},
      {END, 0, 0, 0}}},
    {"one that runs is waited for, its answer told",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HELD, 0, 9, Clm_WAIT},
      {HELD, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_RUNNING, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_ANSWERED, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"one that is lost is unknown",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HELD, 0, 9, Clm_WAIT},
      {HELD, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_UNKNOWN, 9, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"a node that does not answer is unknown after a second",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HELD, 0, 9, Clm_WAIT},
      {HELD, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {TICK, 0, 500, Clm_QUERY_FATE},
      {TICK, 0, 600, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"an end tells its answer at once",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_END, 2, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"an end without its answer is asked for at its node",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_END_BARE, 2, 9, Clm_QUERY_FATE},
      {FATE, Clm_FATE_ANSWERED, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"and has run even if its node forgot it",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_END_BARE, 2, 9, Clm_QUERY_FATE},
      {FATE, Clm_FATE_UNKNOWN, 9, Clm_END_RAN},
      {END, 0, 0, 0}}},
    {"a key names one request",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_OTHER_REQUEST, 0, 9, Clm_END_MISMATCH},
      {END, 0, 0, 0}}},
    {"its own attempts never ran while it claims",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {SILENT, 0, 0, Clm_WAIT},
      {SILENT, 1, 0, Clm_SEND_PREPARE},
      {HELD_OWN, 0, 1, Clm_WAIT},
      {HELD_OWN, 1, 1, Clm_CHOOSE_TARGET},
      {END, 0, 0, 0}}},
    {"holders that are not ready give no majority",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {SILENT, 1, 0, Clm_WAIT},
      {SILENT, 2, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {SILENT, 1, 0, Clm_WAIT},
      {SILENT, 2, 0, Clm_WAIT},
      {TICK, 0, 200, Clm_SEND_PREPARE},
      {TICK, 0, 5000, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"nobody can run it: not run after a majority was heard",
     {{NOBODY, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_END_NOT_RUN},
      {END, 0, 0, 0}}},
    {"nobody can run it, but it ran",
     {{NOBODY, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {HOLDS_END, 1, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"nobody can run it, and no majority is heard",
     {{NOBODY, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {TICK, 0, 400, Clm_SEND_PREPARE},
      {TICK, 0, 5000, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"refused after its grant: holders are heard again before not run",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {REFUSED, 0, 0, Clm_CHOOSE_TARGET},
      {NOBODY, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {OK, 2, 0, Clm_END_NOT_RUN},
      {END, 0, 0, 0}}},
    {"refused after its grant: the next attempt needs a majority too",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {REFUSED, 0, 0, Clm_CHOOSE_TARGET},
      {PLACED, 0, 2, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {END, 0, 0, 0}}},
    {"full holders that know nothing of the key prove not run",
     {{PLACED, 0, 1, Clm_SEND_ACCEPT},
      {FULL, 0, 0, Clm_WAIT},
      {FULL, 1, 0, Clm_END_NOT_RUN},
      {END, 0, 0, 0}}},
};

static RegAnswer
answer_of(const KeyClaim *claim, const Step *step)
{
    RegAnswer answer = {
        .verdict = Reg_OK,
        .promised = claim->ballot,
        .held = {.state = step->counter ? Reg_PLACED : Reg_EMPTY,
                 .attempt = {OTHER, step->counter},
                 .digest = DIGEST},
    };

    switch (step->verb) {
    case HELD:
        answer.verdict = Reg_HELD;
        break;
    case HELD_OWN:
        answer.held.attempt.incarnation = SELF;
        break;
    case HOLDS_END:
        answer.held.answer = Str_LIT("answer");
        answer.held.state = Reg_ENDED;
        break;
    case HOLDS_END_BARE:
        answer.held.state = Reg_ENDED;
        break;
    case HOLDS_OTHER_REQUEST:
        answer.verdict = Reg_HELD;
        answer.held.digest++;
        break;
    case FULL:
        answer.verdict = Reg_FULL;
        break;
    case SILENT:
        answer.verdict = Reg_NOT_READY;
        break;
    default:
        break;
    }
    return answer;
}

static ClaimAction
play(KeyClaim *claim, const Step *step, Instant *now)
{
    RegAnswer answer;

    switch (step->verb) {
    case PLACED:
        return Clm_OnTargetChosen(claim, (AttemptId){SELF, step->counter}, 1,
                                  1, *now);
    case NOBODY:
        return Clm_OnNoTarget(claim, *now);
    case FATE:
        return Clm_OnFate(claim, (AttemptId){OTHER, step->counter},
                          (AttemptFate)step->holder, Str_LIT("answer"), *now);
    case REFUSED:
        return Clm_OnAttemptRefused(claim);
    case TICK:
        *now += Span_MS(step->counter);
        return Clm_Tick(claim, *now);
    case LATE:
        *now += Span_S(1);
        break;
    default:
        break;
    }
    answer = answer_of(claim, step);
    return Clm_OnAcceptorReply(claim, (uint32_t)step->holder, claim->phase,
                               &answer, *now);
}

START_TEST(follows_script)
{
    const Script *script = &scripts[_i];
    Instant now = Span_S(1);
    KeyClaim claim;

    Clm_Init(&claim, 3, (AttemptId){SELF, 0}, DIGEST, now + Span_S(4));
    for (int i = 0; script->steps[i].verb != END; i++) {
        ClaimAction got = play(&claim, &script->steps[i], &now);
        ck_assert_msg(got == script->steps[i].wanted,
                      "%s, step %d: got %d, wanted %d", script->name, i, got,
                      script->steps[i].wanted);
    }
    Clm_Finish(&claim);
}
END_TEST

START_TEST(ignores_answers_of_an_earlier_phase)
{
    Instant now = Span_S(1);
    RegAnswer ok = {.verdict = Reg_OK};
    uint32_t phase;
    KeyClaim claim;

    Clm_Init(&claim, 3, (AttemptId){SELF, 0}, DIGEST, now + Span_S(4));
    Clm_OnTargetChosen(&claim, (AttemptId){SELF, 1}, 1, 1, now);
    phase = claim.phase;
    now += Span_MS(400);
    ck_assert(Clm_Tick(&claim, now) == Clm_SEND_PREPARE);
    for (uint32_t holder = 0; holder < 3; holder++) {
        ck_assert(Clm_OnAcceptorReply(&claim, holder, phase, &ok, now) ==
                  Clm_WAIT);
    }
    Clm_Finish(&claim);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {follows_script, sizeof scripts / sizeof scripts[0]},
        {ignores_answers_of_an_earlier_phase, 1}};

    return Suite_Run("claim", tests, 2, 10);
}
