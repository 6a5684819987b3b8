/* Hlc: a hybrid logical clock, which orders events over all processes.
 *
 * A stamp is the wall clock in milliseconds, shifted left, plus a counter: it
 * never goes back, and a message's receiver is always later than its sender.
 *
 * Source: S. Kulkarni et al., "Logical physical clocks", OPODIS 2014.
 */
#ifndef HLC_H
#define HLC_H

#include <stdint.h>

typedef uint64_t HlcStamp;

enum { Hlc_COUNTER_BITS = 16 };

typedef struct {
    HlcStamp last;
} Hlc;

/* The stamp of an event at WALL_US, microseconds since 1970. */
HlcStamp Hlc_Next(Hlc *clock, int64_t wall_us);

/* A message stamped STAMP was heard.  A stamp more than a minute ahead of
 * this process's wall clock is not followed. */
void Hlc_Observe(Hlc *clock, HlcStamp stamp, int64_t wall_us);

/* Milliseconds since 1970 of STAMP. */
int64_t Hlc_WallMs(HlcStamp stamp);

#endif
