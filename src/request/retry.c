#include "request/retry.h"

/* Tokens of a budget that begins, and until it can have all. */
#define FIRST 1.0
#define FILLING Span_MS(100)

double
Rty_Share(uint32_t burst, size_t nodes)
{
    double share = nodes ? (double)burst / (double)nodes : burst;

    return share > 1 || burst == 0 ? share : 1;
}

void
Rty_BudgetInit(RtyBudget *budget, uint32_t permille, double cap)
{
    *budget = (RtyBudget){.tokens = FIRST, .coming = 1};
    Rty_BudgetSet(budget, permille, cap);
}

void
Rty_BudgetSet(RtyBudget *budget, uint32_t permille, double cap)
{
    budget->per_call = permille / 1000.0;
    budget->cap = permille ? cap : 0;
    if (budget->tokens > budget->cap) {
        budget->tokens = budget->cap;
    }
}

/* The part of the cap that time brought since the last call. */
static double
take_coming(RtyBudget *budget, Instant now)
{
    Span passed = budget->called_at ? now - budget->called_at : 0;
    double part = (double)passed / (double)FILLING;

    if (part > budget->coming) {
        part = budget->coming;
    }
    budget->coming -= part;
    budget->called_at = now;
    return budget->cap > FIRST ? part * (budget->cap - FIRST) : 0;
}

void
Rty_OnCall(RtyBudget *budget, Instant now)
{
    budget->tokens += budget->per_call + take_coming(budget, now);
    if (budget->tokens > budget->cap) {
        budget->tokens = budget->cap;
    }
}

bool
Rty_BudgetTake(RtyBudget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

void
Rty_Init(Rty *retry, bool idempotent, uint32_t attempts_max, Instant deadline)
{
    *retry = (Rty){
        .idempotent = idempotent,
        .attempts_max =
            attempts_max < Rty_TRIED_MAX ? attempts_max : Rty_TRIED_MAX,
        .deadline = deadline,
    };
}

void
Rty_OnAttempt(Rty *retry, Addr node)
{
    if (retry->attempts < Rty_TRIED_MAX) {
        retry->tried[retry->attempts] = node;
    }
    retry->attempts++;
}

void
Rty_OnTurnedBack(Rty *retry, Addr node)
{
    for (uint32_t i = 0; i < retry->attempts && i < Rty_TRIED_MAX; i++) {
        if (retry->tried[i] == node) {
            retry->tried[i] = retry->tried[--retry->attempts];
            return;
        }
    }
}

static RtyVerdict
give_up(RtyOutcome outcome)
{
    switch (outcome) {
    case Rty_NOT_RUN:
        return Rty_GIVE_NOT_RUN;
    case Rty_FAILED:
        return Rty_GIVE_FAILED;
    default:
        return Rty_GIVE_UNKNOWN;
    }
}

RtyVerdict
Rty_Decide(const Rty *retry, RtyBudget *budget, RtyOutcome outcome,
           Instant now)
{
    if (outcome == Rty_FAILED && !retry->idempotent) {
        return Rty_GIVE_FAILED;
    }
    if (outcome == Rty_UNKNOWN && !retry->idempotent) {
        return now < retry->deadline ? Rty_FENCE : Rty_GIVE_UNKNOWN;
    }
    if (now >= retry->deadline || retry->attempts >= retry->attempts_max ||
        !Rty_BudgetTake(budget)) {
        return give_up(outcome);
    }
    return Rty_AGAIN;
}
