#include "process/admission/fairshare.h"

#include <math.h>

/* Time constant, microseconds, with which what an account had loses its
 * weight. */
#define USE_AGE_US 2000000.0

static double
get_decayed(const FairShareBucket *bucket, Instant now)
{
    return bucket->had_us *
           exp(-(double)(now - bucket->decayed_at) / USE_AGE_US);
}

void
Fsh_OnStart(FairShares *shares, AccountShare account, Span work, Instant now)
{
    FairShareBucket *bucket = &shares->buckets[account.hash % Fsh_BUCKETS];

    bucket->had_us = get_decayed(bucket, now) + (double)work;
    bucket->decayed_at = now;
}

double
Fsh_GetUse(const FairShares *shares, AccountShare account, Instant now)
{
    const FairShareBucket *bucket =
        &shares->buckets[account.hash % Fsh_BUCKETS];

    if (!account.hash) {
        return 0;
    }
    return get_decayed(bucket, now) / (account.weight ? account.weight : 1);
}
