#include "process/linkbudget.h"

/* A burst is a quarter of a second's worth. */
#define BURST_SHARE 0.25
#define PATIENT_RESERVE                                                       \
    0.5 /* of the burst, kept for the interactive class                       \
         */

void
Lnk_Init(Lnk *link, uint32_t bytes_per_s, Instant now)
{
    Bkt_Init(&link->bytes, bytes_per_s, bytes_per_s * BURST_SHARE, now);
}

void
Lnk_SetRate(Lnk *link, uint32_t bytes_per_s, Instant now)
{
    Bkt_SetRate(&link->bytes, bytes_per_s, bytes_per_s * BURST_SHARE, now);
}

bool
Lnk_Ask(const Lnk *link, bool interactive, uint32_t bytes, Instant now)
{
    double burst = link->bytes.burst;
    double needed = interactive ? -burst : burst * PATIENT_RESERVE + bytes;

    return burst > 0 && Bkt_AvailableAt(&link->bytes, needed, now) <= now;
}

void
Lnk_OnBytes(Lnk *link, uint32_t bytes, Instant now)
{
    Bkt_Charge(&link->bytes, bytes, now);
    if (link->bytes.tokens < -link->bytes.burst) {
        link->bytes.tokens = -link->bytes.burst;
    }
}
