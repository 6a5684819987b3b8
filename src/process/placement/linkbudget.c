#include "process/placement/linkbudget.h"

/* The burst is what the rate allows in this time. */
#define BURST_SECONDS 0.25
/* The part of the burst that is reserved for the interactive class. */
#define INTERACTIVE_RESERVE_SHARE 0.5

void
Lnk_Init(LinkBudget *budget, uint32_t bytes_per_s, Instant now)
{
    Bkt_Init(&budget->bucket, bytes_per_s, bytes_per_s * BURST_SECONDS, now);
}

void
Lnk_SetRate(LinkBudget *budget, uint32_t bytes_per_s, Instant now)
{
    Bkt_SetRate(&budget->bucket, bytes_per_s, bytes_per_s * BURST_SECONDS,
                now);
}

bool
Lnk_CanSend(const LinkBudget *budget, bool is_interactive, uint32_t bytes,
            Instant now)
{
    double burst = budget->bucket.burst;
    /* The debt never exceeds one burst: interactive calls pass at any rate
     * but 0. */
    double required =
        is_interactive ? -burst : burst * INTERACTIVE_RESERVE_SHARE + bytes;

    return burst > 0 && Bkt_AvailableAt(&budget->bucket, required, now) <= now;
}

void
Lnk_Charge(LinkBudget *budget, uint32_t bytes, Instant now)
{
    Bkt_Charge(&budget->bucket, bytes, now);
    if (budget->bucket.tokens < -budget->bucket.burst) {
        budget->bucket.tokens = -budget->bucket.burst;
    }
}
