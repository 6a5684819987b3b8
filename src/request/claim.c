#include "request/claim.h"

/* Replies that arrive later than this are not counted.  An acceptor that
 * restarts stays silent for longer.  What it agreed to before is therefore
 * either held by the other acceptors, from which it reads the registers, or
 * not counted. */
#define PHASE_TIMEOUT Span_MS(300)
#define BACKOFF_MIN Span_MS(20)
#define QUERY_TIMEOUT Span_S(1)

enum { FAST_ROUND = 1, BACKOFF_PREPARES_MAX = 8 };

void
Clm_Init(KeyClaim *claim, uint32_t acceptors, AttemptId proposer,
         uint64_t fingerprint, Instant deadline)
{
    *claim = (KeyClaim){
        .acceptor_count = acceptors,
        .deadline = deadline,
        .state = Clm_CHOOSING_TARGET,
        .ballot = {.round = FAST_ROUND, .proposer = proposer},
        .proposal = {.state = Reg_PLACED, .request_fingerprint = fingerprint},
    };
}

void
Clm_Finish(KeyClaim *claim)
{
    StrBuf_Finish(&claim->answer);
}

static uint32_t
get_majority_size(const KeyClaim *claim)
{
    return claim->acceptor_count / 2 + 1;
}

static ClaimAction
finish(KeyClaim *claim, ClaimAction action)
{
    claim->state = Clm_FINISHED;
    return action;
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
start_prepare(KeyClaim *claim, Instant now)
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

/* Competing proposers back off for different times, so that one of them
 * succeeds. */
static ClaimAction
back_off(KeyClaim *claim, bool query_next, Instant now)
{
    uint64_t spread =
        AttemptId_Hash(claim->ballot.proposer) + claim->prepare_count;
    uint32_t prepares = claim->prepare_count < BACKOFF_PREPARES_MAX
                            ? claim->prepare_count
                            : BACKOFF_PREPARES_MAX;

    claim->state = Clm_BACKING_OFF;
    claim->query_after_backoff = query_next;
    claim->phase_deadline =
        now + BACKOFF_MIN +
        (Span)(spread % (uint64_t)(BACKOFF_MIN * (1 + prepares)));
    return Clm_WAIT;
}

static ClaimAction
query_fate(KeyClaim *claim, const RegisterValue *about, Instant now)
{
    if (claim->query_deadline == 0) {
        claim->query_deadline = now + QUERY_TIMEOUT;
    }
    claim->queried = *about;
    /* The answer points into the message, which is freed after this call. */
    claim->queried.answer = (Str){0};
    claim->state = Clm_QUERYING_FATE;
    claim->phase_deadline = now + PHASE_TIMEOUT;
    return Clm_QUERY_FATE;
}

static ClaimAction
choose_target(KeyClaim *claim)
{
    if (claim->no_target && claim->majority_heard) {
        return finish(claim, Clm_END_NOT_RUN);
    }
    claim->state = Clm_CHOOSING_TARGET;
    return Clm_CHOOSE_TARGET;
}

/* Called after a majority promised: settles the attempts that it named, one by
 * one, then chooses a node for this call.  A fate query fences an attempt that
 * its node has not seen yet, so each query waits for one back-off first, which
 * gives an attempt that was just granted the time to arrive. */
static ClaimAction
settle_competitors(KeyClaim *claim, Instant now)
{
    if (claim->competitor_count == 0) {
        return choose_target(claim);
    }
    claim->query_deadline = 0;
    if (AttemptId_Equal(claim->queried.attempt,
                        claim->competitors[0].attempt)) {
        return query_fate(claim, &claim->competitors[0], now);
    }
    claim->queried = claim->competitors[0];
    return back_off(claim, true, now);
}

ClaimAction
Clm_OnTargetChosen(KeyClaim *claim, AttemptId attempt, Addr node,
                   uint64_t incarnation, Instant now)
{
    if (claim->own_attempt_count == Clm_OWN_ATTEMPTS_MAX) {
        return finish(claim, Clm_END_UNKNOWN);
    }
    claim->own_attempts[claim->own_attempt_count++] = attempt;
    claim->proposal.ballot = claim->ballot;
    claim->proposal.attempt = attempt;
    claim->proposal.node = node;
    claim->proposal.node_incarnation = incarnation;
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
    return claim->majority_heard ? choose_target(claim)
                                 : start_prepare(claim, now);
}

static bool
is_own_attempt(const KeyClaim *claim, AttemptId attempt)
{
    for (size_t i = 0; i < claim->own_attempt_count; i++) {
        if (AttemptId_Equal(claim->own_attempts[i], attempt)) {
            return true;
        }
    }
    return false;
}

/* Returns false when there are more than Clm_COMPETITORS_MAX. */
static bool
add_competitor(KeyClaim *claim, const RegisterValue *held)
{
    if (is_own_attempt(claim, held->attempt)) {
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
on_call_ended(KeyClaim *claim, const RegisterValue *held, Instant now)
{
    if (held->answer.len == 0) {
        return query_fate(claim, held, now);
    }
    StrBuf_Set(&claim->answer, held->answer);
    return finish(claim, Clm_END_ANSWER);
}

static ClaimAction
on_majority(KeyClaim *claim, Instant now)
{
    claim->majority_heard = true;
    if (claim->state == Clm_PREPARING) {
        return settle_competitors(claim, now);
    }
    claim->state = Clm_GRANTED;
    return Clm_START_ATTEMPT;
}

/* So many acceptors rejected, or have no room, that no majority can agree
 * in this phase. */
static ClaimAction
on_majority_impossible(KeyClaim *claim, Instant now)
{
    if (claim->full_count && claim->competitor_count == 0 &&
        claim->agree_count + claim->full_count >= get_majority_size(claim)) {
        return finish(claim, Clm_END_NOT_RUN);
    }
    return claim->state == Clm_FAST_ACCEPTING ? start_prepare(claim, now)
                                              : back_off(claim, false, now);
}

static void
count_reply(KeyClaim *claim, const RegisterReply *reply)
{
    if (reply->verdict == Reg_OK) {
        claim->agree_count++;
    }
    else if (reply->verdict == Reg_FULL) {
        claim->full_count++;
    }
    else {
        claim->reject_count++;
    }
    if (reply->promised.round > claim->highest_round) {
        claim->highest_round = reply->promised.round;
    }
}

static bool
awaits_acceptors(const KeyClaim *claim)
{
    return claim->state == Clm_FAST_ACCEPTING ||
           claim->state == Clm_PREPARING || claim->state == Clm_ACCEPTING;
}

ClaimAction
Clm_OnAcceptorReply(KeyClaim *claim, uint32_t acceptor, uint32_t phase,
                    const RegisterReply *reply, Instant now)
{
    const RegisterValue *held = &reply->value;

    if (!awaits_acceptors(claim) || phase != claim->phase ||
        acceptor >= claim->acceptor_count || claim->answered[acceptor] ||
        now >= claim->phase_deadline) {
        return Clm_WAIT;
    }
    claim->answered[acceptor] = 1;
    count_reply(claim, reply);
    if (held->state != Reg_EMPTY &&
        held->request_fingerprint != claim->proposal.request_fingerprint) {
        return finish(claim, Clm_END_MISMATCH);
    }
    if (held->state == Reg_ENDED) {
        return on_call_ended(claim, held, now);
    }
    if (held->state == Reg_PLACED && !add_competitor(claim, held)) {
        return finish(claim, Clm_END_UNKNOWN);
    }
    if (claim->agree_count >= get_majority_size(claim)) {
        return on_majority(claim, now);
    }
    if (claim->reject_count + claim->full_count >
        claim->acceptor_count - get_majority_size(claim)) {
        return on_majority_impossible(claim, now);
    }
    return Clm_WAIT;
}

static void
remove_competitor(KeyClaim *claim, AttemptId attempt)
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
            return finish(claim, Clm_END_RAN);
        }
        remove_competitor(claim, attempt);
        return settle_competitors(claim, now);
    case Clm_FATE_RUNNING:
        claim->query_deadline = 0;
        return back_off(claim, true, now);
    case Clm_FATE_ANSWERED:
        StrBuf_Set(&claim->answer, answer);
        return finish(claim, Clm_END_ANSWER);
    case Clm_FATE_ANSWER_DROPPED:
        return finish(claim, Clm_END_RAN);
    default:
        break;
    }
    return finish(claim, claim->queried.state == Reg_ENDED ? Clm_END_RAN
                                                           : Clm_END_UNKNOWN);
}

ClaimAction
Clm_OnAttemptRefused(KeyClaim *claim)
{
    /* Another proposer may have been granted the key since the majority
     * agreed. */
    claim->majority_heard = false;
    return choose_target(claim);
}

static ClaimAction
on_query_timeout(KeyClaim *claim, Instant now)
{
    if (now < claim->query_deadline) {
        return query_fate(claim, &claim->queried, now);
    }
    return finish(claim, claim->queried.state == Reg_ENDED ? Clm_END_RAN
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
        return finish(claim, Clm_END_UNKNOWN);
    }
    if (now < claim->phase_deadline) {
        return Clm_WAIT;
    }
    if (claim->state == Clm_QUERYING_FATE) {
        return on_query_timeout(claim, now);
    }
    if (claim->state == Clm_BACKING_OFF && claim->query_after_backoff) {
        return query_fate(claim, &claim->queried, now);
    }
    return start_prepare(claim, now);
}
