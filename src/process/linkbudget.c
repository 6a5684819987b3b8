#include "process/linkbudget.h"

/* A burst is a quarter of a second's worth. */
#define BURST_SHARE 0.25
#define PATIENT_RESERVE                                                       \
    0.5 /* of the burst, kept for the interactive class                       \
         */

void
Lnk_Init(LinkBudget *link, uint32_t bytes_per_s, Instant now)
{
    Bkt_Init(&link->bucket, bytes_per_s, bytes_per_s * BURST_SHARE, now);
}

void
Lnk_SetRate(LinkBudget *link, uint32_t bytes_per_s, Instant now)
{
    Bkt_SetRate(&link->bucket, bytes_per_s, bytes_per_s * BURST_SHARE, now);
}

bool
Lnk_CanSend(const LinkBudget *link, bool interactive, uint32_t bytes,
            Instant now)
{
    double burst = link->bucket.burst;
    double needed = interactive ? -burst : burst * PATIENT_RESERVE + bytes;

    return burst > 0 && Bkt_AvailableAt(&link->bucket, needed, now) <= now;
}

void
Lnk_Charge(LinkBudget *link, uint32_t bytes, Instant now)
{
    Bkt_Charge(&link->bucket, bytes, now);
    if (link->bucket.tokens < -link->bucket.burst) {
        link->bucket.tokens = -link->bucket.burst;
    }
}
