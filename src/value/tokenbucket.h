/* Bkt: a token bucket that limits a rate, used for the budgets of probes and
 * of traffic between regions.  Tokens are whatever the owner counts, such as
 * bytes or microseconds.  Tokens accrue at a fixed rate up to the burst;
 * Bkt_Take and Bkt_Charge spend them.  The caller passes the time. */
#ifndef TOKENBUCKET_H
#define TOKENBUCKET_H

#include <stdbool.h>

#include "value/instant.h"

typedef struct {
    double tokens_per_s; /* refill rate; 0: none */
    double burst;        /* most tokens kept */
    double tokens;       /* available; negative: debt */
    Instant refilled_at;
    uint64_t spent;   /* total tokens taken or charged */
    uint64_t refused; /* total tokens that Bkt_Take did not grant */
} TokenBucket;

/* Starts with a full bucket. */
void Bkt_Init(TokenBucket *bucket, double tokens_per_s, double burst,
              Instant now);

/* Changes rate and burst.  The tokens that have accrued until NOW stay, up to
 * the new burst. */
void Bkt_SetRate(TokenBucket *bucket, double tokens_per_s, double burst,
                 Instant now);

/* Takes AMOUNT if available; otherwise takes nothing and returns false. */
bool Bkt_Take(TokenBucket *bucket, double amount, Instant now);

/* Takes AMOUNT even when that leaves a debt: for what has to be sent
 * anyway. */
void Bkt_Charge(TokenBucket *bucket, double amount, Instant now);

/* Puts back AMOUNT that was taken and not used, up to the burst. */
void Bkt_GiveBack(TokenBucket *bucket, double amount, Instant now);

/* The earliest time at which AMOUNT can be taken; Instant_NEVER when the rate
 * is 0 or AMOUNT exceeds the burst. */
Instant Bkt_AvailableAt(const TokenBucket *bucket, double amount, Instant now);

#endif
