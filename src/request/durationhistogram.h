/* Dhi: a histogram of how long the calls of one route take at one service.
 *
 * Older durations lose weight: all weights are halved whenever their sum
 * reaches Dhi_WEIGHT_MAX.  A call that was given up is known to take at least
 * as long as it had waited; its weight is spread over the longer durations in
 * proportion to theirs (B. Efron, "The two sample problem with censored data",
 * 1967).
 *
 * One call that never ends is counted from the start, so that a duration
 * beyond all those seen is never held to be impossible.
 */
#ifndef DURATIONHISTOGRAM_H
#define DURATIONHISTOGRAM_H

#include "value/instant.h"

/* Bucket 0 ends at 1 ms; each next one is wider by a factor of 2^(1/8).  The
 * last one has no end. */
enum { Dhi_BUCKETS = 128, Dhi_WEIGHT_MAX = 256 };

typedef struct {
    float weights[Dhi_BUCKETS];
    float sum; /* of the weights */
} DurationHistogram;

/* A histogram as shares of all calls, for many questions in a row. */
typedef struct {
    double shares[Dhi_BUCKETS]; /* of calls that take less than a bucket's end;
                                   1 - the last: calls longer than all */
} DurationShares;

/* Adds a call that took DURATION. */
void Dhi_Record(DurationHistogram *histogram, Span duration);

/* Adds a call that was given up after DURATION. */
void Dhi_RecordAtLeast(DurationHistogram *histogram, Span duration);

/* Where bucket INDEX ends. */
Span Dhi_GetEnd(int index);

/* Each duration is taken for a sample of those around it, so that few of them
 * tell a distribution. */
void Dhi_ComputeShares(const DurationHistogram *histogram,
                       DurationShares *shares);

/* Share of calls that take DURATION at most. */
double Dhi_ShareWithin(const DurationShares *shares, Span duration);

/* The duration that half of the calls take at most. */
Span Dhi_GetMedian(const DurationShares *shares);

#endif
