/* Dur: estimates of how long the calls of each route take at the service that
 * it leads to, from the sending of an attempt to its whole answer, as seen by
 * this ingress node.  The caller records each good answer with Dur_Record and
 * reads the estimates to decide whether a call can still meet its objective or
 * deadline.
 *
 * Only calls that are sent correct an estimate.  So a call that by the
 * estimate cannot finish is sent nevertheless, as a trial, when the estimate
 * is old: Dur_StartTrial.  A good answer to a trial proves the estimate wrong,
 * and replaces it.
 *
 * Each route and service has an exponentially smoothed mean and mean
 * deviation.  Source: V. Jacobson, "Congestion avoidance and control", 1988.
 * The hedge decider reads the whole distribution: Dur_FindHistogram.
 */
#ifndef DURATION_H
#define DURATION_H

#include <stdbool.h>

#include "request/durationhistogram.h"
#include "value/instant.h"
#include "value/str.h"

/* Routes are hashed to sets of slots.  In a full set, a new route takes the
 * slot with the oldest answer. */
enum { Dur_SETS = 64, Dur_SLOTS_PER_SET = 4 };

/* An estimate without an answer for this long is old. */
#define Dur_TRIAL_INTERVAL Span_S(1)

typedef struct {
    uint64_t key;        /* 0: unused slot */
    Instant recorded_at; /* the last answer */
    Instant tried_at;    /* the last trial; 0: none */
    double mean_us;
    double deviation_us;
    DurationHistogram histogram;
} DurationStats;

typedef struct {
    DurationStats slots[Dur_SETS][Dur_SLOTS_PER_SET];
} RouteDurations;

/* Identifies the calls of ROUTE that go to SERVICE; never 0. */
uint64_t Dur_MakeKey(Str route, Str service);

/* Records that a call of KEY took DURATION.  IS_TRIAL: it was a trial. */
void Dur_Record(RouteDurations *durations, uint64_t key, Span duration,
                bool is_trial, Instant now);

/* Records that a call of KEY was given up after DURATION, without an answer.
 * Only the histogram learns from it. */
void Dur_RecordAtLeast(RouteDurations *durations, uint64_t key, Span duration);

/* The durations of KEY's calls; NULL: none was recorded.  Valid until the next
 * Dur_Record. */
const DurationHistogram *Dur_FindHistogram(const RouteDurations *durations,
                                           uint64_t key);

/* Points in the distribution of a route's durations. */
typedef enum {
    Dur_OPTIMISTIC, /* mean minus deviation: few calls take less */
    Dur_TYPICAL,    /* mean plus deviation: most calls take less */
    Dur_PESSIMISTIC /* mean plus two deviations: nearly all calls take less */
} DurationEstimate;

/* Estimated duration of a call of KEY; 0: not known. */
Span Dur_Estimate(const RouteDurations *durations, uint64_t key,
                  DurationEstimate estimate);

/* Whether a call of KEY that by the estimate cannot finish is to be sent as a
 * trial.  At most one is in each interval. */
bool Dur_StartTrial(RouteDurations *durations, uint64_t key, Instant now);

#endif
