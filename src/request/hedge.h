/* Hdg, the hedge decider of one call: whether a second attempt is made while
 * the first is not answered yet.
 *
 * Only for idempotent routes, only at the ingress of a call tree, once per
 * call, and within a budget that grows with calls (the same kind as that of
 * retries).
 *
 * Source: J. Dean, L. A. Barroso, "The tail at scale", 2013.
 */
#ifndef HEDGE_H
#define HEDGE_H

#include "request/retry.h"

typedef struct {
    Instant due_at; /* Instant_NEVER: no hedge any more */
    Instant deadline;
} HedgeState;

/* The first attempt was made NOW; DEPTH is the number of calls above this
 * one in its tree. */
void Hdg_Init(HedgeState *hedge, bool idempotent, uint32_t depth, Span delay,
              Instant deadline, Instant now);

/* The first attempt ended, or began to answer. */
void Hdg_Disarm(HedgeState *hedge);

/* True once, when a second attempt is due and the budget gives a token. */
bool Hdg_ShouldSend(HedgeState *hedge, RetryBudget *budget, Instant now);

#endif
