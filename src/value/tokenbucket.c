#include "value/tokenbucket.h"

static void
refill(TokenBucket *bucket, Instant now)
{
    if (now > bucket->refilled_at) {
        bucket->tokens +=
            bucket->tokens_per_s * (double)(now - bucket->refilled_at) / 1e6;
        bucket->refilled_at = now;
    }
    if (bucket->tokens > bucket->burst) {
        bucket->tokens = bucket->burst;
    }
}

void
Bkt_Init(TokenBucket *bucket, double tokens_per_s, double burst, Instant now)
{
    *bucket = (TokenBucket){
        .tokens_per_s = tokens_per_s,
        .burst = burst,
        .tokens = burst,
        .refilled_at = now,
    };
}

void
Bkt_SetRate(TokenBucket *bucket, double tokens_per_s, double burst,
            Instant now)
{
    refill(bucket, now);
    bucket->tokens_per_s = tokens_per_s;
    bucket->burst = burst;
    refill(bucket, now);
}

bool
Bkt_Take(TokenBucket *bucket, double amount, Instant now)
{
    refill(bucket, now);
    if (bucket->tokens < amount) {
        bucket->refused += (uint64_t)amount;
        return false;
    }
    bucket->tokens -= amount;
    bucket->spent += (uint64_t)amount;
    return true;
}

void
Bkt_Charge(TokenBucket *bucket, double amount, Instant now)
{
    refill(bucket, now);
    bucket->tokens -= amount;
    bucket->spent += (uint64_t)amount;
}

void
Bkt_GiveBack(TokenBucket *bucket, double amount, Instant now)
{
    refill(bucket, now);
    bucket->tokens += amount;
    refill(bucket, now);
}

Instant
Bkt_AvailableAt(const TokenBucket *bucket, double amount, Instant now)
{
    TokenBucket copy = *bucket;

    refill(&copy, now);
    if (copy.tokens >= amount) {
        return now;
    }
    if (copy.tokens_per_s <= 0 || amount > copy.burst) {
        return Instant_NEVER;
    }
    return now + (Span)((amount - copy.tokens) * 1e6 / copy.tokens_per_s) + 1;
}
