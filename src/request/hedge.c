#include "request/hedge.h"

void
Hdg_Init(HedgeState *hedge, bool idempotent, uint32_t depth, Span delay,
         Instant deadline, Instant now)
{
    bool allowed = idempotent && depth == 0 && now + delay < deadline;

    *hedge = (HedgeState){
        .due_at = allowed ? now + delay : Instant_NEVER,
        .deadline = deadline,
    };
}

void
Hdg_Disarm(HedgeState *hedge)
{
    hedge->due_at = Instant_NEVER;
}

bool
Hdg_ShouldSend(HedgeState *hedge, RetryBudget *budget, Instant now)
{
    if (now < hedge->due_at) {
        return false;
    }
    hedge->due_at = Instant_NEVER;
    return now < hedge->deadline && Rty_BudgetTake(budget);
}
