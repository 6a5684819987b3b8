/* Rty, the retry decider of one call: whether another attempt may be made.
 *
 * An attempt may follow only when the one before did not run (a refusal or a
 * fence proves it), or when the route is idempotent.  Retries of a service
 * draw on one budget, so that failures do not multiply load; only the ingress
 * node retries, so that call trees do not either.
 */
#ifndef RETRY_H
#define RETRY_H

#include "value/addr.h"
#include "value/instant.h"

/* Retries by calls: calls add, retries take.  One per service and node, so
 * that their sum over all nodes follows the calls of all; what is saved up for
 * a burst is a share of one sum. */
typedef struct {
    double tokens;
    double cap;
    double tokens_per_call; /* tokens that one call adds */
    double ramp_left;     /* part of the rest of the cap that it still gets */
    Instant last_call_at; /* last call; 0: none yet */
} RetryBudget;

typedef enum {
    Rty_NOT_RUN,       /* refused by the node, fenced, or never sent */
    Rty_BACKEND_ERROR, /* ran, and the backend server answered with an error */
    Rty_UNKNOWN        /* may have run */
} AttemptFailure;

typedef enum {
    Rty_RETRY, /* make another attempt now */
    Rty_FENCE, /* settle the attempt first */
    Rty_REPORT_NOT_RUN /* answer the caller "not run" */,
    Rty_REPORT_FAILED, /* answer the caller what came */
    Rty_REPORT_UNKNOWN /* answer the caller "unknown" */
} RetryDecision;

enum { Rty_TRIED_MAX = 8 };

typedef struct {
    bool idempotent;
    uint32_t attempts_max;
    Instant deadline;
    Addr tried_nodes[Rty_TRIED_MAX];
    uint32_t attempt_count; /* made so far */
} RetryState;

/* Of BURST retries at once over NODES nodes, one node's; one at least. */
double Rty_BurstPerNode(uint32_t burst, size_t nodes);

/* One token of CAP, the rest within 100 ms from the first call on: a process
 * that starts does not know what was spent before. */
void Rty_BudgetInit(RetryBudget *budget, uint32_t permille, double cap);
void Rty_BudgetSetLimits(RetryBudget *budget, uint32_t permille, double cap);

/* A call arrived: the budget grows. */
void Rty_BudgetOnCall(RetryBudget *budget, Instant now);

/* One more attempt is wanted; false when the budget has none. */
bool Rty_BudgetTake(RetryBudget *budget);

void Rty_Init(RetryState *retry, bool idempotent, uint32_t attempts_max,
              Instant deadline);

/* An attempt is made at NODE. */
void Rty_OnAttempt(RetryState *retry, Addr node);

/* The attempt at NODE never reached its backend server: it does not count. */
void Rty_UncountAttempt(RetryState *retry, Addr node);

/* What follows an attempt that ended without a good answer. */
RetryDecision Rty_Decide(const RetryState *retry, RetryBudget *budget,
                         AttemptFailure outcome, Instant now);

#endif
