#include "process/ride.h"

bool
Rid_Decide(Ride *ride, uint64_t node, bool crosses, Instant now)
{
    Instant *told_at = &ride->told_at[node % Rid_PLACES];

    if (crosses && *told_at && now - *told_at < Rid_GAP) {
        return false;
    }
    *told_at = now;
    return true;
}
