#include "process/admission/knee.h"

#include <math.h>

#define BASELINE_COUNT_MAX 50.0 /* requests that a baseline averages over */
#define SAMPLE_WINDOW_US 60000000.0 /* time constant of the decay */
#define RESERVE_SAMPLES_MIN 30.0    /* requests */

/* Logarithm of the slowdown from which the reserve does not pay.  The reserve
 * adds a quarter more slots; at this slowdown as much work is done with them
 * as without, and all of it ends later. */
#define SLOWER_LOG_MIN 0.12

/* Prior belief: the logarithm of the expected slowdown, with the weight of
 * this many requests. */
#define PRIOR_LOG 0.2
#define PRIOR_WEIGHT 4.0

static void
decay(KneeSamples *samples, double keep)
{
    samples->weight *= keep;
    samples->log_sum *= keep;
}

/* Averages over all samples at first, later exponentially over the last
 * BASELINE_COUNT_MAX.  Returns the new mean. */
static double
update_baseline(KneeBaseline *baseline, double log_us)
{
    if (baseline->count < BASELINE_COUNT_MAX) {
        baseline->count++;
    }
    baseline->mean_log_us +=
        (log_us - baseline->mean_log_us) / baseline->count;
    return baseline->mean_log_us;
}

void
Kne_AddSample(KneeDetector *knee, uint32_t work_kind, bool in_reserve,
              Span duration, Instant now)
{
    double keep = exp(-(double)(now - knee->decayed_at) / SAMPLE_WINDOW_US);
    KneeSamples *samples =
        in_reserve ? &knee->inside_reserve : &knee->outside_reserve;
    uint32_t index =
        work_kind < Kne_KIND_COUNT ? work_kind : Kne_KIND_COUNT - 1;
    double log_us;

    if (duration <= 0) {
        return;
    }
    decay(&knee->outside_reserve, keep);
    decay(&knee->inside_reserve, keep);
    knee->decayed_at = now;
    log_us = log((double)duration);
    samples->weight += 1;
    samples->log_sum +=
        log_us - update_baseline(&knee->baselines[index], log_us);
}

static double
compute_mean_log(const KneeSamples *samples)
{
    return samples->weight > 0 ? samples->log_sum / samples->weight : 0;
}

bool
Kne_IsReserveSlower(const KneeDetector *knee)
{
    double measured = compute_mean_log(&knee->inside_reserve) -
                      compute_mean_log(&knee->outside_reserve);
    double weight =
        fmin(knee->inside_reserve.weight, knee->outside_reserve.weight);

    return measured * weight + PRIOR_LOG * PRIOR_WEIGHT >
           SLOWER_LOG_MIN * (weight + PRIOR_WEIGHT);
}

bool
Kne_NeedsSamples(const KneeDetector *knee)
{
    return knee->inside_reserve.weight < RESERVE_SAMPLES_MIN;
}
