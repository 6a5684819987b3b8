#include "request/claim.h"

/* Answers that come later than this are not counted: a holder that restarts
 * is silent for longer, so it reads from others what it had agreed to. */
#define PHASE_TIMEOUT Span_MS(300)
#define PAUSE Span_MS(20)
#define ASK_TIMEOUT Span_S(1)

enum { FAST_ROUND = 1, PAUSE_ROUNDS = 8 };

void
Clm_Init(Clm *claim, uint32_t holders, AttemptId proposer, uint64_t digest,
         Instant deadline)
{
    *claim = (Clm){
        .holders = holders,
        .deadline = deadline,
        .state = Clm_PLACING,
        .ballot = {.round = FAST_ROUND, .proposer = proposer},
        .value = {.state = Reg_PLACED, .digest = digest},
    };
}

void
Clm_Finish(Clm *claim)
{
    StrBuf_Finish(&claim->answer);
}

static uint32_t
majority(const Clm *claim)
{
    return claim->holders / 2 + 1;
}

static ClmStep
tell(Clm *claim, ClmStep step)
{
    claim->state = Clm_OVER;
    return step;
}

static void
start_phase(Clm *claim, ClmState state, Instant now)
{
    claim->state = state;
    claim->phase++;
    claim->agreed = 0;
    claim->full = 0;
    claim->refused = 0;
    for (uint32_t i = 0; i < Clm_HOLDERS_MAX; i++) {
        claim->answered[i] = 0;
    }
    claim->phase_end = now + PHASE_TIMEOUT;
}

static ClmStep
start_promise(Clm *claim, Instant now)
{
    if (claim->ballot.round > claim->round_seen) {
        claim->round_seen = claim->ballot.round;
    }
    claim->ballot.round = claim->round_seen + 1;
    claim->rounds++;
    claim->seen_count = 0;
    claim->ask_end = 0;
    start_phase(claim, Clm_PROMISING, now);
    return Clm_SEND_PROMISE;
}

/* Proposers that stand in each other's way wait for different times. */
static ClmStep
pause_claim(Clm *claim, bool ask_again, Instant now)
{
    uint64_t spread = AttemptId_Hash(claim->ballot.proposer) + claim->rounds;
    uint32_t rounds =
        claim->rounds < PAUSE_ROUNDS ? claim->rounds : PAUSE_ROUNDS;

    claim->state = Clm_PAUSING;
    claim->ask_again = ask_again;
    claim->phase_end =
        now + PAUSE + (Span)(spread % (uint64_t)(PAUSE * (1 + rounds)));
    return Clm_WAIT;
}

static ClmStep
ask(Clm *claim, const RegValue *about, Instant now)
{
    if (claim->ask_end == 0) {
        claim->ask_end = now + ASK_TIMEOUT;
    }
    claim->asked = *about;
    claim->asked.answer = (Str){0}; /* borrowed from the message */
    claim->state = Clm_ASKING;
    claim->phase_end = now + PHASE_TIMEOUT;
    return Clm_ASK;
}

static ClmStep
place(Clm *claim)
{
    if (claim->nobody && claim->heard) {
        return tell(claim, Clm_TELL_NOT_RUN);
    }
    claim->state = Clm_PLACING;
    return Clm_PLACE;
}

/* A majority promised: settle what it named, then place this call.  To ask
 * is to fence: give an attempt that was just placed the time to arrive. */
static ClmStep
settle_seen(Clm *claim, Instant now)
{
    if (claim->seen_count == 0) {
        return place(claim);
    }
    claim->ask_end = 0;
    if (AttemptId_Equal(claim->asked.attempt, claim->seen[0].attempt)) {
        return ask(claim, &claim->seen[0], now);
    }
    claim->asked = claim->seen[0];
    return pause_claim(claim, true, now);
}

ClmStep
Clm_OnPlaced(Clm *claim, AttemptId attempt, Addr node, uint64_t incarnation,
             Instant now)
{
    if (claim->own_count == Clm_OWN_MAX) {
        return tell(claim, Clm_TELL_UNKNOWN);
    }
    claim->own[claim->own_count++] = attempt;
    claim->value.ballot = claim->ballot;
    claim->value.attempt = attempt;
    claim->value.node = node;
    claim->value.incarnation = incarnation;
    start_phase(claim,
                claim->ballot.round == FAST_ROUND ? Clm_FAST : Clm_ACCEPTING,
                now);
    return Clm_SEND_ACCEPT;
}

ClmStep
Clm_OnNobody(Clm *claim, Instant now)
{
    claim->nobody = true;
    return claim->heard ? place(claim) : start_promise(claim, now);
}

static bool
is_own(const Clm *claim, AttemptId attempt)
{
    for (size_t i = 0; i < claim->own_count; i++) {
        if (AttemptId_Equal(claim->own[i], attempt)) {
            return true;
        }
    }
    return false;
}

/* False when there are more than a claim can settle. */
static bool
add_seen(Clm *claim, const RegValue *held)
{
    if (is_own(claim, held->attempt)) {
        return true;
    }
    for (size_t i = 0; i < claim->seen_count; i++) {
        if (AttemptId_Equal(claim->seen[i].attempt, held->attempt)) {
            return true;
        }
    }
    if (claim->seen_count == Clm_SEEN_MAX) {
        return false;
    }
    claim->seen[claim->seen_count] = *held;
    claim->seen[claim->seen_count++].answer = (Str){0};
    return true;
}

static ClmStep
on_ended(Clm *claim, const RegValue *held, Instant now)
{
    if (held->answer.len == 0) {
        return ask(claim, held, now);
    }
    StrBuf_Set(&claim->answer, held->answer);
    return tell(claim, Clm_TELL_ANSWER);
}

static ClmStep
on_agreed(Clm *claim, Instant now)
{
    claim->heard = true;
    if (claim->state == Clm_PROMISING) {
        return settle_seen(claim, now);
    }
    claim->state = Clm_GRANTED;
    return Clm_RUN;
}

/* Enough holders said so that no majority can agree any more. */
static ClmStep
on_hopeless(Clm *claim, Instant now)
{
    if (claim->full && claim->seen_count == 0 &&
        claim->agreed + claim->full >= majority(claim)) {
        return tell(claim, Clm_TELL_NOT_RUN);
    }
    return claim->state == Clm_FAST ? start_promise(claim, now)
                                    : pause_claim(claim, false, now);
}

static void
count_answer(Clm *claim, const RegAnswer *answer)
{
    if (answer->verdict == Reg_OK) {
        claim->agreed++;
    }
    else if (answer->verdict == Reg_FULL) {
        claim->full++;
    }
    else {
        claim->refused++;
    }
    if (answer->promised.round > claim->round_seen) {
        claim->round_seen = answer->promised.round;
    }
}

static bool
waits_for_holders(const Clm *claim)
{
    return claim->state == Clm_FAST || claim->state == Clm_PROMISING ||
           claim->state == Clm_ACCEPTING;
}

ClmStep
Clm_OnHolder(Clm *claim, uint32_t holder, uint32_t phase,
             const RegAnswer *answer, Instant now)
{
    const RegValue *held = &answer->held;

    if (!waits_for_holders(claim) || phase != claim->phase ||
        holder >= claim->holders || claim->answered[holder] ||
        now >= claim->phase_end) {
        return Clm_WAIT;
    }
    claim->answered[holder] = 1;
    count_answer(claim, answer);
    if (held->state != Reg_EMPTY && held->digest != claim->value.digest) {
        return tell(claim, Clm_TELL_MISMATCH);
    }
    if (held->state == Reg_ENDED) {
        return on_ended(claim, held, now);
    }
    if (held->state == Reg_PLACED && !add_seen(claim, held)) {
        return tell(claim, Clm_TELL_UNKNOWN);
    }
    if (claim->agreed >= majority(claim)) {
        return on_agreed(claim, now);
    }
    if (claim->refused + claim->full > claim->holders - majority(claim)) {
        return on_hopeless(claim, now);
    }
    return Clm_WAIT;
}

static void
drop_seen(Clm *claim, AttemptId attempt)
{
    for (size_t i = 0; i < claim->seen_count; i++) {
        if (AttemptId_Equal(claim->seen[i].attempt, attempt)) {
            claim->seen[i] = claim->seen[--claim->seen_count];
            return;
        }
    }
}

ClmStep
Clm_OnFate(Clm *claim, AttemptId attempt, ClmFate fate, Str answer,
           Instant now)
{
    if (claim->state != Clm_ASKING ||
        !AttemptId_Equal(claim->asked.attempt, attempt)) {
        return Clm_WAIT;
    }
    switch (fate) {
    case Clm_NEVER:
        if (claim->asked.state == Reg_ENDED) {
            return tell(claim, Clm_TELL_RAN);
        }
        drop_seen(claim, attempt);
        return settle_seen(claim, now);
    case Clm_RUNNING:
        claim->ask_end = 0;
        return pause_claim(claim, true, now);
    case Clm_DONE:
        StrBuf_Set(&claim->answer, answer);
        return tell(claim, Clm_TELL_ANSWER);
    case Clm_ENDED:
        return tell(claim, Clm_TELL_RAN);
    default:
        break;
    }
    return tell(claim, claim->asked.state == Reg_ENDED ? Clm_TELL_RAN
                                                       : Clm_TELL_UNKNOWN);
}

ClmStep
Clm_OnRefused(Clm *claim)
{
    /* Another proposer may have been granted the key since. */
    claim->heard = false;
    return place(claim);
}

static ClmStep
on_ask_timeout(Clm *claim, Instant now)
{
    if (now < claim->ask_end) {
        return ask(claim, &claim->asked, now);
    }
    return tell(claim, claim->asked.state == Reg_ENDED ? Clm_TELL_RAN
                                                       : Clm_TELL_UNKNOWN);
}

ClmStep
Clm_Tick(Clm *claim, Instant now)
{
    if (claim->state == Clm_GRANTED || claim->state == Clm_PLACING ||
        claim->state == Clm_OVER) {
        return Clm_WAIT;
    }
    if (now >= claim->deadline) {
        return tell(claim, Clm_TELL_UNKNOWN);
    }
    if (now < claim->phase_end) {
        return Clm_WAIT;
    }
    if (claim->state == Clm_ASKING) {
        return on_ask_timeout(claim, now);
    }
    if (claim->state == Clm_PAUSING && claim->ask_again) {
        return ask(claim, &claim->asked, now);
    }
    return start_promise(claim, now);
}
