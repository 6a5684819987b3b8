#include "request/hedge.h"

void
Hdg_Init(Hdg *hedge, bool idempotent, uint32_t depth, Span delay,
         Instant deadline, Instant now)
{
    bool allowed = idempotent && depth == 0 && now + delay < deadline;

    *hedge = (Hdg){
        .at = allowed ? now + delay : Instant_NEVER,
        .deadline = deadline,
    };
}

void
Hdg_OnAnswer(Hdg *hedge)
{
    hedge->at = Instant_NEVER;
}

bool
Hdg_Decide(Hdg *hedge, RtyBudget *budget, Instant now)
{
    if (now < hedge->at) {
        return false;
    }
    hedge->at = Instant_NEVER;
    return now < hedge->deadline && Rty_BudgetTake(budget);
}
