#include "process/bucket.h"

static void
refill(Bkt *bucket, Instant now)
{
    if (now > bucket->at) {
        bucket->tokens += bucket->per_s * (double)(now - bucket->at) / 1e6;
        bucket->at = now;
    }
    if (bucket->tokens > bucket->burst) {
        bucket->tokens = bucket->burst;
    }
}

void
Bkt_Init(Bkt *bucket, double per_s, double burst, Instant now)
{
    *bucket = (Bkt){
        .per_s = per_s,
        .burst = burst,
        .tokens = burst,
        .at = now,
    };
}

void
Bkt_SetRate(Bkt *bucket, double per_s, double burst, Instant now)
{
    refill(bucket, now);
    bucket->per_s = per_s;
    bucket->burst = burst;
    refill(bucket, now);
}

bool
Bkt_Take(Bkt *bucket, double amount, Instant now)
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
Bkt_Charge(Bkt *bucket, double amount, Instant now)
{
    refill(bucket, now);
    bucket->tokens -= amount;
    bucket->spent += (uint64_t)amount;
}

Instant
Bkt_When(const Bkt *bucket, double amount, Instant now)
{
    Bkt copy = *bucket;

    refill(&copy, now);
    if (copy.tokens >= amount) {
        return now;
    }
    if (copy.per_s <= 0 || amount > copy.burst) {
        return Instant_NEVER;
    }
    return now + (Span)((amount - copy.tokens) * 1e6 / copy.per_s) + 1;
}
