#include "request/durationhistogram.h"

#include <math.h>

#define FIRST_END Span_MS(1)
#define BUCKETS_PER_DOUBLING 8.0

/* Neighbours on each side over which a weight is smoothed. */
enum { REACH = 2 };

/* Weight of the call that never ends. */
#define PRIOR_WEIGHT 1.0

static int
find_bucket(Span duration)
{
    int index;

    if (duration < FIRST_END) {
        return 0;
    }
    index = 1 + (int)(log2((double)duration / (double)FIRST_END) *
                      BUCKETS_PER_DOUBLING);
    return index < Dhi_BUCKETS ? index : Dhi_BUCKETS - 1;
}

Span
Dhi_GetEnd(int index)
{
    if (index >= Dhi_BUCKETS - 1) {
        return Instant_NEVER;
    }
    return (Span)((double)FIRST_END * exp2(index / BUCKETS_PER_DOUBLING));
}

static void
halve_if_heavy(DurationHistogram *histogram)
{
    if (histogram->sum < Dhi_WEIGHT_MAX) {
        return;
    }
    for (int i = 0; i < Dhi_BUCKETS; i++) {
        histogram->weights[i] /= 2;
    }
    histogram->sum /= 2;
}

void
Dhi_Record(DurationHistogram *histogram, Span duration)
{
    histogram->weights[find_bucket(duration)] += 1;
    histogram->sum += 1;
    halve_if_heavy(histogram);
}

void
Dhi_RecordAtLeast(DurationHistogram *histogram, Span duration)
{
    int first = find_bucket(duration) + 1;
    double longer = PRIOR_WEIGHT;

    for (int i = first; i < Dhi_BUCKETS; i++) {
        longer += histogram->weights[i];
    }
    for (int i = first; i < Dhi_BUCKETS; i++) {
        histogram->weights[i] *= (float)(1 + 1 / longer);
    }
    histogram->weights[Dhi_BUCKETS - 1] += (float)(PRIOR_WEIGHT / longer);
    histogram->sum += 1;
    halve_if_heavy(histogram);
}

/* Returns the weight of bucket INDEX, smoothed over its neighbours.  The last
 * bucket stays as it is. */
static double
compute_smooth_weight(const DurationHistogram *histogram, int index)
{
    static const double kernel[2 * REACH + 1] = {1 / 9., 2 / 9., 3 / 9.,
                                                 2 / 9., 1 / 9.};
    double weight = 0;

    if (index == Dhi_BUCKETS - 1) {
        return histogram->weights[index];
    }
    for (int i = -REACH; i <= REACH; i++) {
        if (index + i >= 0 && index + i < Dhi_BUCKETS - 1) {
            weight += kernel[i + REACH] * histogram->weights[index + i];
        }
    }
    return weight;
}

void
Dhi_ComputeShares(const DurationHistogram *histogram, DurationShares *shares)
{
    double total = histogram->sum + PRIOR_WEIGHT;
    double within = 0;

    for (int i = 0; i < Dhi_BUCKETS; i++) {
        within += compute_smooth_weight(histogram, i);
        shares->shares[i] = within / total;
    }
}

/* Within a bucket, durations are taken to be spread evenly. */
double
Dhi_ShareWithin(const DurationShares *shares, Span duration)
{
    int index = find_bucket(duration > 0 ? duration : 0);
    double below = index ? shares->shares[index - 1] : 0;
    double begin = index ? (double)Dhi_GetEnd(index - 1) : 0;
    double part;

    if (duration <= 0 || index == Dhi_BUCKETS - 1) {
        return below;
    }
    part = ((double)duration - begin) / ((double)Dhi_GetEnd(index) - begin);
    return below + part * (shares->shares[index] - below);
}

Span
Dhi_GetMedian(const DurationShares *shares)
{
    int index = 0;

    while (index < Dhi_BUCKETS - 1 && shares->shares[index] < 0.5) {
        index++;
    }
    return Dhi_GetEnd(index);
}
