/* Rty: the retry decider of one call, and the retry budget of a service.
 *
 * Another attempt is made only when the previous one did not run (a refusal or
 * a fence proves it) or when the route is idempotent.  All retries of a
 * service at one node draw on one budget, so that failures do not multiply
 * load.  Only the ingress node at the root of a call tree retries, so that
 * call trees do not multiply load either.
 *
 * The caller reports each attempt with Rty_OnAttempt and asks Rty_Decide when
 * it failed.  The hedge decider draws on a budget of its own of the same type.
 */
#ifndef RETRY_H
#define RETRY_H

#include "value/addr.h"
#include "value/instant.h"

/* A token bucket for retries that is filled by calls: each call adds a
 * fraction of a token, each retry takes one token.  There is one per service
 * and node, so that all retries are a fixed share of all calls; the cap is
 * this node's part of one burst over all nodes. */
typedef struct {
    double tokens;
    double cap;
    double tokens_per_call; /* tokens that one call adds */
    /* Share of the cap, beyond the first token, that is still to be added
     * after a start: 1 down to 0. */
    double ramp_left;
    Instant last_call_at; /* 0: none yet */
} RetryBudget;

typedef enum {
    Rty_NOT_RUN,       /* refused by the node, fenced, or never sent */
    Rty_BACKEND_ERROR, /* ran; the backend server answered with an error */
    Rty_SILENT,        /* its connection fell silent; it may still run */
    Rty_UNKNOWN        /* may have run, and its answer is lost */
} AttemptFailure;

typedef enum {
    Rty_RETRY,          /* make another attempt now */
    Rty_FENCE,          /* find out first whether the attempt ran */
    Rty_REPORT_NOT_RUN, /* tell the caller that the call did not run */
    Rty_REPORT_FAILED,  /* pass the error answer to the caller */
    Rty_REPORT_UNKNOWN  /* tell the caller that the call may have run */
} RetryDecision;

enum { Rty_TRIED_MAX = 8 }; /* nodes remembered for one call */

typedef struct {
    bool idempotent;
    uint32_t attempts_max;
    Instant deadline;
    Addr tried_nodes[Rty_TRIED_MAX];
    uint32_t attempt_count; /* made so far */
} RetryState;

/* One node's part of a burst of BURST retries that NODES nodes share; at least
 * 1, but 0 when BURST is 0.  NODES 0: the node is taken to be alone. */
double Rty_BurstPerNode(uint32_t burst, size_t nodes);

/* Starts with one token; the rest of CAP is added within 100 ms from the first
 * call on, because a process that starts does not know what was spent before
 * its restart.  PERMILLE: retries allowed per 1000 calls; 0: no retries. */
void Rty_BudgetInit(RetryBudget *budget, uint32_t permille, double cap);

/* Changes the limits; tokens above the new CAP are dropped. */
void Rty_BudgetSetLimits(RetryBudget *budget, uint32_t permille, double cap);

/* Adds the tokens of a call that arrived at NOW. */
void Rty_BudgetOnCall(RetryBudget *budget, Instant now);

/* Takes one token; false when there is less than one. */
bool Rty_BudgetTake(RetryBudget *budget);

/* Puts back a token that was taken for an attempt which never ran. */
void Rty_BudgetPutBack(RetryBudget *budget);

/* Starts the state of one call.  ATTEMPTS_MAX includes the first attempt; at
 * most Rty_TRIED_MAX are made. */
void Rty_Init(RetryState *retry, bool idempotent, uint32_t attempts_max,
              Instant deadline);

/* Records an attempt at NODE. */
void Rty_OnAttempt(RetryState *retry, Addr node);

/* Removes the attempt at NODE from the count: it never reached its backend
 * server. */
void Rty_UncountAttempt(RetryState *retry, Addr node);

/* Decides what follows an attempt that failed.  Takes a token from BUDGET when
 * the result is Rty_RETRY. */
RetryDecision Rty_Decide(const RetryState *retry, RetryBudget *budget,
                         AttemptFailure failure, Instant now);

#endif
