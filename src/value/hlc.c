#include "value/hlc.h"

/* A stamp further ahead of the wall clock is ignored. */
enum { CLOCK_SKEW_MAX_MS = 60000 };

/* Returns the first stamp of the millisecond of WALL_US. */
static HlcStamp
make_stamp(int64_t wall_us)
{
    return (HlcStamp)(wall_us / 1000) << Hlc_COUNTER_BITS;
}

HlcStamp
Hlc_Next(Hlc *clock, int64_t wall_us)
{
    HlcStamp wall = make_stamp(wall_us);

    clock->last = wall > clock->last ? wall : clock->last + 1;
    return clock->last;
}

void
Hlc_Observe(Hlc *clock, HlcStamp stamp, int64_t wall_us)
{
    if (Hlc_WallMs(stamp) <= wall_us / 1000 + CLOCK_SKEW_MAX_MS &&
        stamp > clock->last) {
        clock->last = stamp;
    }
}

int64_t
Hlc_WallMs(HlcStamp stamp)
{
    return (int64_t)(stamp >> Hlc_COUNTER_BITS);
}
