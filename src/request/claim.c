#include "request/claim.h"

/* Answers that come later than this are not counted: a holder that restarts
 * is silent for longer, so it reads from others what it had agreed to. */
#define PHASE_TIMEOUT Span_MS(300)
#define PAUSE Span_MS(20)
#define ASK_TIMEOUT Span_S(1)

enum { FAST_ROUND = 1, PAUSE_ROUNDS = 8 };

void
Clm_Init(KeyClaim *claim, uint32_t holders, AttemptId proposer,
         uint64_t digest, Instant deadline)
{
    *claim = (KeyClaim){
        .acceptor_count = holders,
        .deadline = deadline,
        .state = Clm_CHOOSING_TARGET,
        .ballot = {.round = FAST_ROUND, .proposer = proposer},
        .proposal = {.state = Reg_PLACED, .digest = digest},
    };
}

void
Clm_Finish(KeyClaim *claim)
{
    StrBuf_Finish(&claim->answer);
}

static uint32_t
majority(const KeyClaim *claim)
{
    return claim->acceptor_count / 2 + 1;
}

static ClaimAction
tell(KeyClaim *claim, ClaimAction step)
{
    claim->state = Clm_FINISHED;
    return step;
}

static void
start_phase(KeyClaim *claim, ClaimState state, Instant now)
{
    claim->state = state;
    claim->phase++;
    claim->agree_count = 0;
    claim->full_count = 0;
    claim->reject_count = 0;
    for (uint32_t i = 0; i < Clm_ACCEPTORS_MAX; i++) {
        claim->answered[i] = 0;
    }
    claim->phase_deadline = now + PHASE_TIMEOUT;
}

static ClaimAction
start_promise(KeyClaim *claim, Instant now)
{
    if (claim->ballot.round > claim->highest_round) {
        claim->highest_round = claim->ballot.round;
    }
    claim->ballot.round = claim->highest_round + 1;
    claim->prepare_count++;
    claim->competitor_count = 0;
    claim->query_deadline = 0;
    start_phase(claim, Clm_PREPARING, now);
    return Clm_SEND_PREPARE;
}

/* Proposers that stand in each other's way wait for different times. */
static ClaimAction
pause_claim(KeyClaim *claim, bool ask_again, Instant now)
{
    uint64_t spread =
        AttemptId_Hash(claim->ballot.proposer) + claim->prepare_count;
    uint32_t rounds = claim->prepare_count < PAUSE_ROUNDS
                          ? claim->prepare_count
                          : PAUSE_ROUNDS;

    claim->state = Clm_BACKING_OFF;
    claim->query_after_backoff = ask_again;
    claim->phase_deadline =
        now + PAUSE + (Span)(spread % (uint64_t)(PAUSE * (1 + rounds)));
    return Clm_WAIT;
}

static ClaimAction
ask(KeyClaim *claim, const RegValue *about, Instant now)
{
    if (claim->query_deadline == 0) {
        claim->query_deadline = now + ASK_TIMEOUT;
    }
    claim->queried = *about;
    claim->queried.answer = (Str){0}; /* borrowed from the message */
    claim->state = Clm_QUERYING_FATE;
    claim->phase_deadline = now + PHASE_TIMEOUT;
    return Clm_QUERY_FATE;
}

static ClaimAction
place(KeyClaim *claim)
{
    if (claim->no_target && claim->majority_heard) {
        return tell(claim, Clm_END_NOT_RUN);
    }
    claim->state = Clm_CHOOSING_TARGET;
    return Clm_CHOOSE_TARGET;
}

/* A majority promised: settle what it named, then place this call.  To ask
 * is to fence: give an attempt that was just placed the time to arrive. */
static ClaimAction
settle_seen(KeyClaim *claim, Instant now)
{
    if (claim->competitor_count == 0) {
        return place(claim);
    }
    claim->query_deadline = 0;
    if (AttemptId_Equal(claim->queried.attempt,
                        claim->competitors[0].attempt)) {
        return ask(claim, &claim->competitors[0], now);
    }
    claim->queried = claim->competitors[0];
    return pause_claim(claim, true, now);
}

ClaimAction
Clm_OnTargetChosen(KeyClaim *claim, AttemptId attempt, Addr node,
                   uint64_t incarnation, Instant now)
{
    if (claim->own_attempt_count == Clm_OWN_ATTEMPTS_MAX) {
        return tell(claim, Clm_END_UNKNOWN);
    }
    claim->own_attempts[claim->own_attempt_count++] = attempt;
    claim->proposal.ballot = claim->ballot;
    claim->proposal.attempt = attempt;
    claim->proposal.node = node;
    claim->proposal.incarnation = incarnation;
    start_phase(claim,
                claim->ballot.round == FAST_ROUND ? Clm_FAST_ACCEPTING
                                                  : Clm_ACCEPTING,
                now);
    return Clm_SEND_ACCEPT;
}

ClaimAction
Clm_OnNoTarget(KeyClaim *claim, Instant now)
{
    claim->no_target = true;
    return claim->majority_heard ? place(claim) : start_promise(claim, now);
}

static bool
is_own(const KeyClaim *claim, AttemptId attempt)
{
    for (size_t i = 0; i < claim->own_attempt_count; i++) {
        if (AttemptId_Equal(claim->own_attempts[i], attempt)) {
            return true;
        }
    }
    return false;
}

/* False when there are more than a claim can settle. */
static bool
add_seen(KeyClaim *claim, const RegValue *held)
{
    if (is_own(claim, held->attempt)) {
        return true;
    }
    for (size_t i = 0; i < claim->competitor_count; i++) {
        if (AttemptId_Equal(claim->competitors[i].attempt, held->attempt)) {
            return true;
        }
    }
    if (claim->competitor_count == Clm_COMPETITORS_MAX) {
        return false;
    }
    claim->competitors[claim->competitor_count] = *held;
    claim->competitors[claim->competitor_count++].answer = (Str){0};
    return true;
}

static ClaimAction
on_ended(KeyClaim *claim, const RegValue *held, Instant now)
{
    if (held->answer.len == 0) {
        return ask(claim, held, now);
    }
    StrBuf_Set(&claim->answer, held->answer);
    return tell(claim, Clm_END_ANSWER);
}

static ClaimAction
on_agreed(KeyClaim *claim, Instant now)
{
    claim->majority_heard = true;
    if (claim->state == Clm_PREPARING) {
        return settle_seen(claim, now);
    }
    claim->state = Clm_GRANTED;
    return Clm_START_ATTEMPT;
}

/* Enough holders said so that no majority can agree any more. */
static ClaimAction
on_hopeless(KeyClaim *claim, Instant now)
{
    if (claim->full_count && claim->competitor_count == 0 &&
        claim->agree_count + claim->full_count >= majority(claim)) {
        return tell(claim, Clm_END_NOT_RUN);
    }
    return claim->state == Clm_FAST_ACCEPTING ? start_promise(claim, now)
                                              : pause_claim(claim, false, now);
}

static void
count_answer(KeyClaim *claim, const RegAnswer *answer)
{
    if (answer->verdict == Reg_OK) {
        claim->agree_count++;
    }
    else if (answer->verdict == Reg_FULL) {
        claim->full_count++;
    }
    else {
        claim->reject_count++;
    }
    if (answer->promised.round > claim->highest_round) {
        claim->highest_round = answer->promised.round;
    }
}

static bool
waits_for_holders(const KeyClaim *claim)
{
    return claim->state == Clm_FAST_ACCEPTING ||
           claim->state == Clm_PREPARING || claim->state == Clm_ACCEPTING;
}

ClaimAction
Clm_OnAcceptorReply(KeyClaim *claim, uint32_t holder, uint32_t phase,
                    const RegAnswer *answer, Instant now)
{
    const RegValue *held = &answer->held;

    if (!waits_for_holders(claim) || phase != claim->phase ||
        holder >= claim->acceptor_count || claim->answered[holder] ||
        now >= claim->phase_deadline) {
        return Clm_WAIT;
    }
    claim->answered[holder] = 1;
    count_answer(claim, answer);
    if (held->state != Reg_EMPTY && held->digest != claim->proposal.digest) {
        return tell(claim, Clm_END_MISMATCH);
    }
    if (held->state == Reg_ENDED) {
        return on_ended(claim, held, now);
    }
    if (held->state == Reg_PLACED && !add_seen(claim, held)) {
        return tell(claim, Clm_END_UNKNOWN);
    }
    if (claim->agree_count >= majority(claim)) {
        return on_agreed(claim, now);
    }
    if (claim->reject_count + claim->full_count >
        claim->acceptor_count - majority(claim)) {
        return on_hopeless(claim, now);
    }
    return Clm_WAIT;
}

static void
drop_seen(KeyClaim *claim, AttemptId attempt)
{
    for (size_t i = 0; i < claim->competitor_count; i++) {
        if (AttemptId_Equal(claim->competitors[i].attempt, attempt)) {
            claim->competitors[i] =
                claim->competitors[--claim->competitor_count];
            return;
        }
    }
}

ClaimAction
Clm_OnFate(KeyClaim *claim, AttemptId attempt, AttemptFate fate, Str answer,
           Instant now)
{
    if (claim->state != Clm_QUERYING_FATE ||
        !AttemptId_Equal(claim->queried.attempt, attempt)) {
        return Clm_WAIT;
    }
    switch (fate) {
    case Clm_FATE_NEVER_RAN:
        if (claim->queried.state == Reg_ENDED) {
            return tell(claim, Clm_END_RAN);
        }
        drop_seen(claim, attempt);
        return settle_seen(claim, now);
    case Clm_FATE_RUNNING:
        claim->query_deadline = 0;
        return pause_claim(claim, true, now);
    case Clm_FATE_ANSWERED:
        StrBuf_Set(&claim->answer, answer);
        return tell(claim, Clm_END_ANSWER);
    case Clm_FATE_ANSWER_DROPPED:
        return tell(claim, Clm_END_RAN);
    default:
        break;
    }
    return tell(claim, claim->queried.state == Reg_ENDED ? Clm_END_RAN
                                                         : Clm_END_UNKNOWN);
}

ClaimAction
Clm_OnAttemptRefused(KeyClaim *claim)
{
    /* Another proposer may have been granted the key since. */
    claim->majority_heard = false;
    return place(claim);
}

static ClaimAction
on_ask_timeout(KeyClaim *claim, Instant now)
{
    if (now < claim->query_deadline) {
        return ask(claim, &claim->queried, now);
    }
    return tell(claim, claim->queried.state == Reg_ENDED ? Clm_END_RAN
                                                         : Clm_END_UNKNOWN);
}

ClaimAction
Clm_Tick(KeyClaim *claim, Instant now)
{
    if (claim->state == Clm_GRANTED || claim->state == Clm_CHOOSING_TARGET ||
        claim->state == Clm_FINISHED) {
        return Clm_WAIT;
    }
    if (now >= claim->deadline) {
        return tell(claim, Clm_END_UNKNOWN);
    }
    if (now < claim->phase_deadline) {
        return Clm_WAIT;
    }
    if (claim->state == Clm_QUERYING_FATE) {
        return on_ask_timeout(claim, now);
    }
    if (claim->state == Clm_BACKING_OFF && claim->query_after_backoff) {
        return ask(claim, &claim->queried, now);
    }
    return start_promise(claim, now);
}
