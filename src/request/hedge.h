/* Hdg: the hedge decider of one call: whether a second attempt is sent while
 * the first has not begun to answer.
 *
 * Operators set the share of calls that may be hedged.  When a hedge is due
 * follows from how long calls of the route take at its service: after the time
 * at which that share of the calls wins most answers in time.  A hedge is sent
 * only for idempotent routes, only at the root of a call tree, at most once
 * per call, and where it is likely enough to win.  docs/design/hedge.md says
 * what was weighed.
 *
 * Hdg_Init arms the hedge; the caller reports each first attempt and retry
 * with Hdg_OnAttempt, asks Hdg_IsDue at each tick and then Hdg_Decide, and
 * reports with Hdg_Postpone or Hdg_End what it did.
 *
 * Source: J. Dean, L. A. Barroso, "The tail at scale", 2013.
 */
#ifndef HEDGE_H
#define HEDGE_H

#include "request/durationhistogram.h"
#include "request/retry.h"

typedef struct {
    Span delay; /* from an attempt to its hedge; 0: none is sent any more */
    Instant due_at; /* Instant_NEVER: no attempt is to be hedged */
    Instant deadline;
} HedgeState;

/* How well the calls of a service go.  Hedges are for few slow runs: where
 * many calls are late or fail, the cause is another, and extra work adds to
 * it. */
typedef struct {
    double late_share; /* smoothed share of calls that failed or were late */
} HedgeGate;

/* Time from a hedge that was withheld to the next decision. */
#define Hdg_RETRY_INTERVAL Span_MS(20)

typedef enum {
    Hdg_SEND,
    /* Withheld: */
    Hdg_NO_ATTEMPT,  /* the call has had all its attempts */
    Hdg_MANY_LATE,   /* the gate of the service is closed */
    Hdg_NO_GAIN,     /* too late for it, or the first one is likely to come */
    Hdg_NO_ROOM,     /* no other backend server has room to spare */
    Hdg_OVER_BUDGET, /* the share that operators allow is spent */
    Hdg_OVER_QUOTA   /* the client account may not spend another request */
} HedgeVerdict;

/* What the decision rests on when a hedge is due. */
typedef struct {
    const HedgeGate *gate;
    const DurationHistogram *durations; /* of the route at its service */
    Span objective;    /* latency objective of the route; 0: none */
    Span waited;       /* since the call arrived */
    Span attempt_age;  /* since the attempt in flight was sent */
    bool has_attempts; /* the call may have another attempt */
} HedgeQuestion;

/* How long after its first attempt a call is hedged, if the hedges of PERMILLE
 * of all calls are to win as many answers in time as they can; 0: not at all,
 * since too few durations are known or none would win.  OBJECTIVE 0: the route
 * has none, an answer is late after some usual durations. */
Span Hdg_ChooseDelay(const DurationHistogram *durations, Span objective,
                     uint32_t permille);

/* Starts the state of a call.  DELAY is the time from each attempt to its
 * hedge; 0: no hedge is sent.  DEPTH is the number of calls above this one in
 * its call tree. */
void Hdg_Init(HedgeState *hedge, bool idempotent, uint32_t depth, Span delay,
              Instant deadline, Instant now);

/* An attempt that isn't a hedge was sent. */
void Hdg_OnAttempt(HedgeState *hedge, Instant now);

/* Prevents the hedge of the attempt in flight: it ended or began to answer. */
void Hdg_Disarm(HedgeState *hedge);

/* Whether a hedge is due; true at most once for each time that it is armed. */
bool Hdg_IsDue(HedgeState *hedge, Instant now);

/* The hedge that was due is withheld for now, or was rejected: it is due again
 * later. */
void Hdg_Postpone(HedgeState *hedge, Instant now);

/* The hedge was sent, or will never be. */
void Hdg_End(HedgeState *hedge);

/* The share of hedges sent now that win an answer in time which the first
 * attempt would not have brought. */
double Hdg_EstimateGain(const HedgeQuestion *question);

/* Starts closed; the first call in time opens it. */
void Hdg_InitGate(HedgeGate *gate);

/* A call of the service ended, IN_TIME or late or without a good answer. */
void Hdg_OnCallEnd(HedgeGate *gate, bool in_time);

/* Whether attempts, gate and gain speak for a hedge: Hdg_SEND or the reason
 * against it. */
HedgeVerdict Hdg_Decide(const HedgeQuestion *question);

#endif
