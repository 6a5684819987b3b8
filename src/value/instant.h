/* Instant, Span: points in time and durations, in microseconds.
 *
 * An Instant is a reading of the process's monotonic clock, which also counts
 * the time for which the machine is suspended, and comparable only within one
 * process.  The event loop reads the clock and passes the instant
 * to every function that makes decisions; nothing below the loop reads a
 * clock.
 */
#ifndef INSTANT_H
#define INSTANT_H

#include <stdint.h>

typedef int64_t Instant; /* monotonic clock, microseconds */
typedef int64_t Span;    /* duration, microseconds */

/* A Span of N milliseconds, of N seconds.  N is an integer. */
#define Span_MS(n) ((Span)(n)*1000)
#define Span_S(n) ((Span)(n)*1000000)

/* Later than every reading of the clock: for a timer that is not set. */
#define Instant_NEVER INT64_MAX

#endif
