/* Hdg: the hedge decider of one call: whether a second attempt is sent while
 * the first has not begun to answer.
 *
 * Hedges are sent only for idempotent routes, only at the root of a call tree,
 * at most once per call, and within a budget that grows with calls (a
 * RetryBudget, as for retries).
 *
 * Source: J. Dean, L. A. Barroso, "The tail at scale", 2013.
 */
#ifndef HEDGE_H
#define HEDGE_H

#include "request/retry.h"

typedef struct {
    Instant due_at; /* Instant_NEVER: no hedge is sent any more */
    Instant deadline;
} HedgeState;

/* Arms the hedge when the call arrives: it is due DELAY after NOW, if that is
 * before DEADLINE.  DEPTH is the number of calls above this one in its call
 * tree. */
void Hdg_Init(HedgeState *hedge, bool idempotent, uint32_t depth, Span delay,
              Instant deadline, Instant now);

/* Prevents the hedge: an attempt ended or began to answer. */
void Hdg_Disarm(HedgeState *hedge);

/* Returns true at most once: when the hedge is due, the deadline has not
 * passed and BUDGET has a token, which is taken. */
bool Hdg_ShouldSend(HedgeState *hedge, RetryBudget *budget, Instant now);

#endif
