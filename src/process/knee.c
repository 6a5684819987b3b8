#include "process/knee.h"

#include <math.h>

#define USUAL_COUNT 50.0
#define MEMORY_US 60000000.0
#define LOOKS 30.0 /* requests */

/* Logarithms.  A quarter more slots at the price of so much more time: as
 * much is done, and all of it later. */
#define SLOWER 0.12

/* Expected, and as sure as if so many requests had shown it. */
#define PRIOR 0.2
#define PRIOR_WEIGHT 4.0

static void
fade(KneeSamples *side, double keep)
{
    side->weight *= keep;
    side->log_sum *= keep;
}

/* The mean of all at first, later of the last ones. */
static double
take_usual(KneeBaseline *kind, double log_us)
{
    if (kind->count < USUAL_COUNT) {
        kind->count++;
    }
    kind->mean_log_us += (log_us - kind->mean_log_us) / kind->count;
    return kind->mean_log_us;
}

void
Kne_AddSample(KneeDetector *knee, uint32_t kind, bool above, Span took,
              Instant now)
{
    double keep = exp(-(double)(now - knee->decayed_at) / MEMORY_US);
    KneeSamples *side = above ? &knee->inside_reserve : &knee->outside_reserve;
    uint32_t place = kind < Kne_KIND_COUNT ? kind : Kne_KIND_COUNT - 1;
    double log_us;

    if (took <= 0) {
        return;
    }
    fade(&knee->outside_reserve, keep);
    fade(&knee->inside_reserve, keep);
    knee->decayed_at = now;
    log_us = log((double)took);
    side->weight += 1;
    side->log_sum += log_us - take_usual(&knee->baselines[place], log_us);
}

static double
mean_of(const KneeSamples *side)
{
    return side->weight > 0 ? side->log_sum / side->weight : 0;
}

bool
Kne_IsReserveSlower(const KneeDetector *knee)
{
    double seen =
        mean_of(&knee->inside_reserve) - mean_of(&knee->outside_reserve);
    double weight =
        fmin(knee->inside_reserve.weight, knee->outside_reserve.weight);

    return seen * weight + PRIOR * PRIOR_WEIGHT >
           SLOWER * (weight + PRIOR_WEIGHT);
}

bool
Kne_NeedsSamples(const KneeDetector *knee)
{
    return knee->inside_reserve.weight < LOOKS;
}
