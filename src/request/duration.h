/* Usl: how long calls of each route usually take from their start at a backend
 * server to their whole answer, as this node saw it lately.
 *
 * A mean and a mean deviation, both smoothed.  Source: V. Jacobson,
 * "Congestion avoidance and control", 1988.
 */
#ifndef DURATION_H
#define DURATION_H

#include "value/instant.h"
#include "value/str.h"

/* Two routes in the same place share their times. */
enum { Dur_SLOTS = 256 };

typedef struct {
    double mean_us; /* 0: none seen */
    double deviation_us;
} DurationStats;

typedef struct {
    DurationStats slots[Dur_SLOTS];
} RouteDurations;

/* A call of ROUTE took TOOK. */
void Dur_Record(RouteDurations *usual, Str route, Span took);

/* Of 0: not known. */
typedef enum {
    Dur_OPTIMISTIC, /* few calls of the route take less */
    Dur_TYPICAL,    /* most stay within it */
    Dur_PESSIMISTIC /* nearly all do */
} DurationEstimate;

Span Dur_Estimate(const RouteDurations *usual, Str route,
                  DurationEstimate share);

#endif
