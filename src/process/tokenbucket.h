/* Bkt, a token bucket: what may be spent now of a rate. */
#ifndef TOKENBUCKET_H
#define TOKENBUCKET_H

#include <stdbool.h>

#include "value/instant.h"

typedef struct {
    double tokens_per_s; /* tokens added a second; 0 allows nothing */
    double burst;        /* tokens kept at most */
    double tokens;
    Instant refilled_at;
    uint64_t spent;   /* in all */
    uint64_t refused; /* tokens asked for and not given, in all */
} TokenBucket;

void Bkt_Init(TokenBucket *bucket, double per_s, double burst, Instant now);
void Bkt_SetRate(TokenBucket *bucket, double per_s, double burst, Instant now);

/* Take AMOUNT whole or nothing. */
bool Bkt_Take(TokenBucket *bucket, double amount, Instant now);

/* Take AMOUNT now or into debt: for what must be sent and is counted. */
void Bkt_Charge(TokenBucket *bucket, double amount, Instant now);

/* Until AMOUNT could be taken; Instant_NEVER when the rate is nil. */
Instant Bkt_AvailableAt(const TokenBucket *bucket, double amount, Instant now);

#endif
