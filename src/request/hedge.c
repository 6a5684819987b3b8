#include "request/hedge.h"

/* Durations needed to choose a delay. */
#define WEIGHT_MIN 5

/* A hedge is sent if it is expected to win this often, or oftener. */
#define GAIN_MIN 0.1

/* A call is not overdue before this share of the calls has been answered. */
#define ANSWERED_MIN 0.5

/* Share of late calls from which a gate is closed, and the weight of a call in
 * that share. */
#define LATE_SHARE_MAX 0.2
#define LATE_SMOOTHING (1.0 / 32)

/* Without an objective, an answer is late after this many usual durations. */
enum { LATE_MEDIANS = 3 };

#define PERMILLE 1000.0

/* The time that is left for a hedge sent after WAITED. */
static Span
compute_time_left(const DurationShares *shares, Span objective, Span waited)
{
    return objective ? objective - waited
                     : LATE_MEDIANS * Dhi_GetMedian(shares);
}

/* The share of hedges that answer within LEFT, less that of first attempts of
 * AGE that do. */
static double
estimate_gain(const DurationShares *shares, Span age, Span left)
{
    double ended = Dhi_ShareWithin(shares, age);

    if (left <= 0 || ended >= 1) {
        return 0;
    }
    return Dhi_ShareWithin(shares, left) -
           (Dhi_ShareWithin(shares, age + left) - ended) / (1 - ended);
}

/* The share of all calls that are won if hedges are due at DELAY and at most
 * SHARE of the calls is hedged. */
static double
estimate_wins(const DurationShares *shares, Span objective, double share,
              Span delay)
{
    double overdue = 1 - Dhi_ShareWithin(shares, delay);
    Span left = compute_time_left(shares, objective, delay);

    return estimate_gain(shares, delay, left) *
           (overdue < share ? overdue : share);
}

Span
Hdg_ChooseDelay(const DurationHistogram *durations, Span objective,
                uint32_t permille)
{
    DurationShares shares;
    double most = 0;
    Span chosen = 0;

    if (!permille || durations->sum < WEIGHT_MIN) {
        return 0;
    }
    Dhi_ComputeShares(durations, &shares);
    for (int i = 0; i < Dhi_BUCKETS - 1; i++) {
        if (shares.shares[i] < ANSWERED_MIN) {
            continue;
        }
        if (objective && Dhi_GetEnd(i) >= objective) {
            break;
        }
        double wins = estimate_wins(&shares, objective, permille / PERMILLE,
                                    Dhi_GetEnd(i));
        if (wins > most) {
            most = wins;
            chosen = Dhi_GetEnd(i);
        }
    }
    return chosen;
}

void
Hdg_Init(HedgeState *hedge, bool idempotent, uint32_t depth, Span delay,
         Instant deadline, Instant now)
{
    bool allowed = idempotent && depth == 0;

    *hedge = (HedgeState){.delay = allowed ? delay : 0, .deadline = deadline};
    Hdg_OnAttempt(hedge, now);
}

void
Hdg_OnAttempt(HedgeState *hedge, Instant now)
{
    bool pays = hedge->delay && now + hedge->delay < hedge->deadline;

    hedge->due_at = pays ? now + hedge->delay : Instant_NEVER;
}

void
Hdg_Disarm(HedgeState *hedge)
{
    hedge->due_at = Instant_NEVER;
}

bool
Hdg_IsDue(HedgeState *hedge, Instant now)
{
    if (now < hedge->due_at) {
        return false;
    }
    hedge->due_at = Instant_NEVER;
    return now < hedge->deadline;
}

void
Hdg_Postpone(HedgeState *hedge, Instant now)
{
    hedge->due_at = now + Hdg_RETRY_INTERVAL;
}

void
Hdg_End(HedgeState *hedge)
{
    hedge->delay = 0;
    hedge->due_at = Instant_NEVER;
}

double
Hdg_EstimateGain(const HedgeQuestion *question)
{
    DurationShares shares;

    Dhi_ComputeShares(question->durations, &shares);
    return estimate_gain(
        &shares, question->attempt_age,
        compute_time_left(&shares, question->objective, question->waited));
}

void
Hdg_InitGate(HedgeGate *gate)
{
    gate->late_share = LATE_SHARE_MAX;
}

void
Hdg_OnCallEnd(HedgeGate *gate, bool in_time)
{
    gate->late_share += LATE_SMOOTHING * (!in_time - gate->late_share);
}

HedgeVerdict
Hdg_Decide(const HedgeQuestion *question)
{
    if (!question->has_attempts) {
        return Hdg_NO_ATTEMPT;
    }
    if (question->gate->late_share >= LATE_SHARE_MAX) {
        return Hdg_MANY_LATE;
    }
    return Hdg_EstimateGain(question) < GAIN_MIN ? Hdg_NO_GAIN : Hdg_SEND;
}
