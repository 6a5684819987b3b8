/* Hlc: a hybrid logical clock, which orders the events of all processes.
 *
 * A stamp is the wall clock time in milliseconds, shifted left by
 * Hlc_COUNTER_BITS, plus a counter.  Stamps of a process increase strictly,
 * and an event that follows the receipt of a message has a later stamp than
 * the message.
 *
 * Source: S. Kulkarni et al., "Logical physical clocks", OPODIS 2014.
 */
#ifndef HLC_H
#define HLC_H

#include <stdint.h>

/* Compares as a number; 0 is before every event. */
typedef uint64_t HlcStamp;

enum { Hlc_COUNTER_BITS = 16 };

/* Clock of a process.  Initialize with zeros. */
typedef struct {
    HlcStamp last; /* highest stamp returned or observed */
} Hlc;

/* Returns the stamp of a new event.  WALL_US: wall clock, microseconds since
 * 1970. */
HlcStamp Hlc_Next(Hlc *clock, int64_t wall_us);

/* Records that a message with STAMP was received: later events get higher
 * stamps.  A stamp more than a minute ahead of this process's wall clock,
 * WALL_US, is ignored. */
void Hlc_Observe(Hlc *clock, HlcStamp stamp, int64_t wall_us);

/* Returns the wall clock part of STAMP, milliseconds since 1970. */
int64_t Hlc_WallMs(HlcStamp stamp);

#endif
