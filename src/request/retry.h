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
    double per_call;   /* tokens that one call adds */
    double coming;     /* part of the rest of the cap that it still gets */
    Instant called_at; /* last call; 0: none yet */
} RtyBudget;

typedef enum {
    Rty_NOT_RUN, /* refused by the node, fenced, or never sent */
    Rty_FAILED,  /* ran, and the backend server answered with an error */
    Rty_UNKNOWN  /* may have run */
} RtyOutcome;

typedef enum {
    Rty_AGAIN, /* make another attempt now */
    Rty_FENCE, /* settle the attempt first */
    Rty_GIVE_NOT_RUN /* answer the caller "not run" */,
    Rty_GIVE_FAILED, /* answer the caller what came */
    Rty_GIVE_UNKNOWN /* answer the caller "unknown" */
} RtyVerdict;

enum { Rty_TRIED_MAX = 8 };

typedef struct {
    bool idempotent;
    uint32_t attempts_max;
    Instant deadline;
    Addr tried[Rty_TRIED_MAX];
    uint32_t attempts; /* made so far */
} Rty;

/* Of BURST retries at once over NODES nodes, one node's; one at least. */
double Rty_Share(uint32_t burst, size_t nodes);

/* One token of CAP, the rest within 100 ms from the first call on: a process
 * that starts does not know what was spent before. */
void Rty_BudgetInit(RtyBudget *budget, uint32_t permille, double cap);
void Rty_BudgetSet(RtyBudget *budget, uint32_t permille, double cap);

/* A call arrived: the budget grows. */
void Rty_OnCall(RtyBudget *budget, Instant now);

/* One more attempt is wanted; false when the budget has none. */
bool Rty_BudgetTake(RtyBudget *budget);

void Rty_Init(Rty *retry, bool idempotent, uint32_t attempts_max,
              Instant deadline);

/* An attempt is made at NODE. */
void Rty_OnAttempt(Rty *retry, Addr node);

/* The attempt at NODE never reached its backend server: it does not count. */
void Rty_OnTurnedBack(Rty *retry, Addr node);

/* What follows an attempt that ended without a good answer. */
RtyVerdict Rty_Decide(const Rty *retry, RtyBudget *budget, RtyOutcome outcome,
                      Instant now);

#endif
