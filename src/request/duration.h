/* Dur: estimates of how long the calls of each route take, from the sending of
 * an attempt to its whole answer, as seen by this ingress node.  The caller
 * records each good answer with Dur_Record and reads the estimates to decide
 * whether a call can still meet its objective or deadline.
 *
 * Each route has an exponentially smoothed mean and mean deviation.  Source:
 * V. Jacobson, "Congestion avoidance and control", 1988.
 */
#ifndef DURATION_H
#define DURATION_H

#include "value/instant.h"
#include "value/str.h"

/* Routes are hashed to slots; two routes in one slot share their
 * statistics. */
enum { Dur_SLOTS = 256 };

typedef struct {
    double mean_us; /* 0: no call recorded */
    double deviation_us;
} DurationStats;

typedef struct {
    DurationStats slots[Dur_SLOTS];
} RouteDurations;

/* Records that a call of ROUTE took DURATION. */
void Dur_Record(RouteDurations *durations, Str route, Span duration);

/* Points in the distribution of a route's durations. */
typedef enum {
    Dur_OPTIMISTIC, /* mean minus deviation: few calls take less */
    Dur_TYPICAL,    /* mean plus deviation: most calls take less */
    Dur_PESSIMISTIC /* mean plus two deviations: nearly all calls take less */
} DurationEstimate;

/* Estimated duration of a call of ROUTE; 0: not known. */
Span Dur_Estimate(const RouteDurations *durations, Str route,
                  DurationEstimate estimate);

#endif
