#include "request/retry.h"

/* Tokens of a new budget, and the time in which the rest is added. */
#define INITIAL_TOKENS 1.0
#define RAMP_TIME Span_MS(100)

double
Rty_BurstPerNode(uint32_t burst, size_t nodes)
{
    double share = nodes ? (double)burst / (double)nodes : burst;

    return share > 1 || burst == 0 ? share : 1;
}

void
Rty_BudgetInit(RetryBudget *budget, uint32_t permille, double cap)
{
    *budget = (RetryBudget){.tokens = INITIAL_TOKENS, .ramp_left = 1};
    Rty_BudgetSetLimits(budget, permille, cap);
}

void
Rty_BudgetSetLimits(RetryBudget *budget, uint32_t permille, double cap)
{
    budget->tokens_per_call = permille / 1000.0;
    budget->cap = permille ? cap : 0;
    if (budget->tokens > budget->cap) {
        budget->tokens = budget->cap;
    }
}

/* Returns the tokens that the initial ramp adds for the time since the last
 * call, and takes them off the ramp. */
static double
take_ramp_tokens(RetryBudget *budget, Instant now)
{
    Span elapsed = budget->last_call_at ? now - budget->last_call_at : 0;
    double part = (double)elapsed / (double)RAMP_TIME;

    if (part > budget->ramp_left) {
        part = budget->ramp_left;
    }
    budget->ramp_left -= part;
    budget->last_call_at = now;
    return budget->cap > INITIAL_TOKENS ? part * (budget->cap - INITIAL_TOKENS)
                                        : 0;
}

void
Rty_BudgetOnCall(RetryBudget *budget, Instant now)
{
    budget->tokens += budget->tokens_per_call + take_ramp_tokens(budget, now);
    if (budget->tokens > budget->cap) {
        budget->tokens = budget->cap;
    }
}

bool
Rty_BudgetTake(RetryBudget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

void
Rty_BudgetPutBack(RetryBudget *budget)
{
    budget->tokens =
        budget->tokens + 1 < budget->cap ? budget->tokens + 1 : budget->cap;
}

void
Rty_Init(RetryState *retry, bool idempotent, uint32_t attempts_max,
         Instant deadline)
{
    *retry = (RetryState){
        .idempotent = idempotent,
        .attempts_max =
            attempts_max < Rty_TRIED_MAX ? attempts_max : Rty_TRIED_MAX,
        .deadline = deadline,
    };
}

void
Rty_OnAttempt(RetryState *retry, Addr node)
{
    if (retry->attempt_count < Rty_TRIED_MAX) {
        retry->tried_nodes[retry->attempt_count] = node;
    }
    retry->attempt_count++;
}

void
Rty_UncountAttempt(RetryState *retry, Addr node)
{
    for (uint32_t i = 0; i < retry->attempt_count && i < Rty_TRIED_MAX; i++) {
        if (retry->tried_nodes[i] == node) {
            retry->tried_nodes[i] = retry->tried_nodes[--retry->attempt_count];
            return;
        }
    }
}

static RetryDecision
report_decision(const RetryState *retry, AttemptFailure failure, Instant now)
{
    switch (failure) {
    case Rty_SILENT:
        return now < retry->deadline ? Rty_FENCE : Rty_REPORT_UNKNOWN;
    case Rty_NOT_RUN:
        return Rty_REPORT_NOT_RUN;
    case Rty_BACKEND_ERROR:
        return Rty_REPORT_FAILED;
    default:
        return Rty_REPORT_UNKNOWN;
    }
}

RetryDecision
Rty_Decide(const RetryState *retry, RetryBudget *budget,
           AttemptFailure failure, Instant now)
{
    if (failure == Rty_BACKEND_ERROR && !retry->idempotent) {
        return Rty_REPORT_FAILED;
    }
    if ((failure == Rty_UNKNOWN || failure == Rty_SILENT) &&
        !retry->idempotent) {
        return now < retry->deadline ? Rty_FENCE : Rty_REPORT_UNKNOWN;
    }
    if (now >= retry->deadline ||
        retry->attempt_count >= retry->attempts_max ||
        !Rty_BudgetTake(budget)) {
        return report_decision(retry, failure, now);
    }
    return Rty_RETRY;
}
