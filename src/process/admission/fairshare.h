/* Fsh: how much of a backend server's time each client account had lately, so
 * that one with many times its usual load waits for itself and does not make
 * others wait.
 *
 * Accounts are kept in a fixed number of buckets by hash: two accounts may
 * share one, which makes them one account here.  What they had loses its
 * weight with age.
 *
 * Source: P. McKenney, "Stochastic fairness queueing", 1990; the order by what
 * was had, not by rounds, follows least attained service scheduling.
 */
#ifndef FAIRSHARE_H
#define FAIRSHARE_H

#include "value/instant.h"

enum { Fsh_BUCKETS = 256 };

/* One client account of an attempt. */
typedef struct {
    uint64_t hash;   /* of its name; 0: the attempt has no account */
    uint32_t weight; /* calls a second that it may make; 0: not bounded */
} AccountShare;

typedef struct {
    double had_us; /* time of slots, as of decayed_at */
    Instant decayed_at;
} FairShareBucket;

/* All zero: nobody had anything. */
typedef struct {
    FairShareBucket buckets[Fsh_BUCKETS];
} FairShares;

/* An attempt of ACCOUNT that is expected to hold a slot for WORK starts. */
void Fsh_OnStart(FairShares *shares, AccountShare account, Span work,
                 Instant now);

/* What ACCOUNT had lately for each call a second that it may make, in
 * microseconds; 0 without an account.  Only comparisons mean something. */
double Fsh_GetUse(const FairShares *shares, AccountShare account, Instant now);

#endif
