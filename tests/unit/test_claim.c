/* The claim decider (request/claim.h) of one keyed call with three acceptors:
 * scripts of events, each with the action that the decider must return.
 * They guard against running a call twice when several calls use one key, and
 * against answering "not run" for a call that may have run. */
#include "request/claim.h"
#include "support/suite.h"

enum { STEPS_MAX = 16, SELF = 5, OTHER = 4, DIGEST = 77 };

typedef enum {
    TARGET_CHOSEN,
    NO_TARGET,
    /* the acceptor agrees; holds attempt COUNTER of another call; 0: none */
    OK,
    REJECTED, /* it holds attempt COUNTER of another call */
    /* it agrees, and holds attempt COUNTER of this call */
    OK_HOLDS_OWN,
    HOLDS_ANSWER,        /* the call ended with this answer */
    HOLDS_END_NO_ANSWER, /* the call ended; its answer is not kept */
    HOLDS_OTHER_REQUEST, /* the key was used for another request */
    FULL,                /* it has no room for the key */
    NOT_READY,           /* it has not caught up after a restart */
    FATE, /* the fate of attempt COUNTER of another call is known */
    ATTEMPT_REFUSED,
    TICK,    /* COUNTER milliseconds pass */
    LATE_OK, /* the acceptor agrees, 1 s later: after the phase timed out */
    END      /* of the script */
} ClaimEventKind;

typedef struct {
    ClaimEventKind event;
    int acceptor_or_fate; /* number of the acceptor; AttemptFate of FATE */
    uint64_t counter;
    ClaimAction expected;
} ScriptStep;

typedef struct {
    const char *name;
    ScriptStep steps[STEPS_MAX];
} ClaimScript;

static const ClaimScript scripts[] = {
    {"the fast path runs once a majority accepted",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 0, 0, Clm_WAIT}, /* a duplicate is no second acceptor */
      {OK, 1, 0, Clm_START_ATTEMPT},
      {OK, 2, 0, Clm_WAIT},
      {END, 0, 0, 0}}},
    {"a reply after the phase timeout does not count",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {LATE_OK, 1, 0, Clm_WAIT},
      {TICK, 0, 0, Clm_SEND_PREPARE},
      {END, 0, 0, 0}}},
    {"an attempt of another call is settled first",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {REJECTED, 0, 9, Clm_WAIT},
      {REJECTED, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_NEVER_RAN, 9, Clm_CHOOSE_TARGET},
      {TARGET_CHOSEN, 0, 2, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {END, 0, 0, 0}}},
    {"each of two competing attempts is settled",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {REJECTED, 0, 9, Clm_WAIT},
      {REJECTED, 1, 8, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 8, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_NEVER_RAN, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_NEVER_RAN, 8, Clm_CHOOSE_TARGET},
      {END, 0, 0, 0}}},
    {"a running competitor is awaited, and its answer returned",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {REJECTED, 0, 9, Clm_WAIT},
      {REJECTED, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_RUNNING, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_ANSWERED, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"a competitor that may have run gives unknown",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {REJECTED, 0, 9, Clm_WAIT},
      {REJECTED, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {FATE, Clm_FATE_UNKNOWN, 9, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"a node that does not reply gives unknown after a second",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {REJECTED, 0, 9, Clm_WAIT},
      {REJECTED, 1, 9, Clm_SEND_PREPARE},
      {OK, 0, 9, Clm_WAIT},
      {OK, 1, 9, Clm_WAIT},
      {TICK, 0, 200, Clm_QUERY_FATE},
      {TICK, 0, 500, Clm_QUERY_FATE},
      {TICK, 0, 600, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"a kept answer is returned at once",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_ANSWER, 2, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"an answer that acceptors do not keep is asked of its node",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_END_NO_ANSWER, 2, 9, Clm_QUERY_FATE},
      {FATE, Clm_FATE_ANSWERED, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"an ended call has run even if its node forgot it",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_END_NO_ANSWER, 2, 9, Clm_QUERY_FATE},
      {FATE, Clm_FATE_UNKNOWN, 9, Clm_END_RAN},
      {END, 0, 0, 0}}},
    {"a key stands for one request",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {HOLDS_OTHER_REQUEST, 0, 9, Clm_END_MISMATCH},
      {END, 0, 0, 0}}},
    {"own attempts never ran while the call claims",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {NOT_READY, 0, 0, Clm_WAIT},
      {NOT_READY, 1, 0, Clm_SEND_PREPARE},
      {OK_HOLDS_OWN, 0, 1, Clm_WAIT},
      {OK_HOLDS_OWN, 1, 1, Clm_CHOOSE_TARGET},
      {END, 0, 0, 0}}},
    {"acceptors that are not ready give no majority",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {NOT_READY, 1, 0, Clm_WAIT},
      {NOT_READY, 2, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {NOT_READY, 1, 0, Clm_WAIT},
      {NOT_READY, 2, 0, Clm_WAIT},
      {TICK, 0, 200, Clm_SEND_PREPARE},
      {TICK, 0, 5000, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"no target: not run after a majority replied",
     {{NO_TARGET, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_END_NOT_RUN},
      {END, 0, 0, 0}}},
    {"no target, but an earlier call ran",
     {{NO_TARGET, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {HOLDS_ANSWER, 1, 9, Clm_END_ANSWER},
      {END, 0, 0, 0}}},
    {"no target, and no majority replies",
     {{NO_TARGET, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {TICK, 0, 400, Clm_SEND_PREPARE},
      {TICK, 0, 5000, Clm_END_UNKNOWN},
      {END, 0, 0, 0}}},
    {"refused after the grant: acceptors are asked again before not run",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {ATTEMPT_REFUSED, 0, 0, Clm_CHOOSE_TARGET},
      {NO_TARGET, 0, 0, Clm_SEND_PREPARE},
      {OK, 0, 0, Clm_WAIT},
      {OK, 2, 0, Clm_END_NOT_RUN},
      {END, 0, 0, 0}}},
    {"refused after the grant: the next attempt needs a majority too",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {ATTEMPT_REFUSED, 0, 0, Clm_CHOOSE_TARGET},
      {TARGET_CHOSEN, 0, 2, Clm_SEND_ACCEPT},
      {OK, 0, 0, Clm_WAIT},
      {OK, 1, 0, Clm_START_ATTEMPT},
      {END, 0, 0, 0}}},
    {"full acceptors without the key prove not run",
     {{TARGET_CHOSEN, 0, 1, Clm_SEND_ACCEPT},
      {FULL, 0, 0, Clm_WAIT},
      {FULL, 1, 0, Clm_END_NOT_RUN},
      {END, 0, 0, 0}}},
};

static RegisterReply
make_reply(const KeyClaim *claim, const ScriptStep *step)
{
    RegisterReply reply = {
        .verdict = Reg_OK,
        .promised = claim->ballot,
        .value = {.state = step->counter ? Reg_PLACED : Reg_EMPTY,
                  .attempt = {OTHER, step->counter},
                  .request_fingerprint = DIGEST},
    };

    switch (step->event) {
    case REJECTED:
        reply.verdict = Reg_REJECTED;
        break;
    case OK_HOLDS_OWN:
        reply.value.attempt.incarnation = SELF;
        break;
    case HOLDS_ANSWER:
        reply.value.answer = Str_LIT("answer");
        reply.value.state = Reg_ENDED;
        break;
    case HOLDS_END_NO_ANSWER:
        reply.value.state = Reg_ENDED;
        break;
    case HOLDS_OTHER_REQUEST:
        reply.verdict = Reg_REJECTED;
        reply.value.request_fingerprint++;
        break;
    case FULL:
        reply.verdict = Reg_FULL;
        break;
    case NOT_READY:
        reply.verdict = Reg_NOT_READY;
        break;
    default:
        break;
    }
    return reply;
}

static ClaimAction
apply_step(KeyClaim *claim, const ScriptStep *step, Instant *now)
{
    RegisterReply reply;

    switch (step->event) {
    case TARGET_CHOSEN:
        return Clm_OnTargetChosen(claim, (AttemptId){SELF, step->counter}, 1,
                                  1, *now);
    case NO_TARGET:
        return Clm_OnNoTarget(claim, *now);
    case FATE:
        return Clm_OnFate(claim, (AttemptId){OTHER, step->counter},
                          (AttemptFate)step->acceptor_or_fate,
                          Str_LIT("answer"), *now);
    case ATTEMPT_REFUSED:
        return Clm_OnAttemptRefused(claim);
    case TICK:
        *now += Span_MS(step->counter);
        return Clm_Tick(claim, *now);
    case LATE_OK:
        *now += Span_S(1);
        break;
    default:
        break;
    }
    reply = make_reply(claim, step);
    return Clm_OnAcceptorReply(claim, (uint32_t)step->acceptor_or_fate,
                               claim->phase, &reply, *now);
}

START_TEST(follows_script)
{
    const ClaimScript *script = &scripts[_i];
    Instant now = Span_S(1);
    KeyClaim claim;

    Clm_Init(&claim, 3, (AttemptId){SELF, 0}, DIGEST, now + Span_S(4));
    for (int i = 0; script->steps[i].event != END; i++) {
        ClaimAction got = apply_step(&claim, &script->steps[i], &now);
        ck_assert_msg(got == script->steps[i].expected,
                      "%s, step %d: got %d, wanted %d", script->name, i, got,
                      script->steps[i].expected);
    }
    Clm_Finish(&claim);
}
END_TEST

START_TEST(ignores_replies_of_an_earlier_phase)
{
    Instant now = Span_S(1);
    RegisterReply ok = {.verdict = Reg_OK};
    uint32_t phase;
    KeyClaim claim;

    Clm_Init(&claim, 3, (AttemptId){SELF, 0}, DIGEST, now + Span_S(4));
    Clm_OnTargetChosen(&claim, (AttemptId){SELF, 1}, 1, 1, now);
    phase = claim.phase;
    now += Span_MS(400);
    ck_assert(Clm_Tick(&claim, now) == Clm_SEND_PREPARE);
    for (uint32_t acceptor = 0; acceptor < 3; acceptor++) {
        ck_assert(Clm_OnAcceptorReply(&claim, acceptor, phase, &ok, now) ==
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
        {ignores_replies_of_an_earlier_phase, 1}};

    return Suite_Run("claim", tests, 2, 10);
}
