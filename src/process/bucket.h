/* Bkt, a token bucket: what may be spent now of a rate. */
#ifndef BUCKET_H
#define BUCKET_H

#include <stdbool.h>

#include "value/instant.h"

typedef struct {
    double per_s; /* tokens added a second; 0 allows nothing */
    double burst; /* tokens kept at most */
    double tokens;
    Instant at;
    uint64_t spent;   /* in all */
    uint64_t refused; /* tokens asked for and not given, in all */
} Bkt;

void Bkt_Init(Bkt *bucket, double per_s, double burst, Instant now);
void Bkt_SetRate(Bkt *bucket, double per_s, double burst, Instant now);

/* Take AMOUNT whole or nothing. */
bool Bkt_Take(Bkt *bucket, double amount, Instant now);

/* Take AMOUNT now or into debt: for what must be sent and is counted. */
void Bkt_Charge(Bkt *bucket, double amount, Instant now);

/* Until AMOUNT could be taken; Instant_NEVER when the rate is nil. */
Instant Bkt_When(const Bkt *bucket, double amount, Instant now);

#endif
