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
fade(KneSide *side, double keep)
{
    side->weight *= keep;
    side->logs *= keep;
}

/* The mean of all at first, later of the last ones. */
static double
take_usual(KneKind *kind, double log_us)
{
    if (kind->count < USUAL_COUNT) {
        kind->count++;
    }
    kind->log_us += (log_us - kind->log_us) / kind->count;
    return kind->log_us;
}

void
Kne_OnTime(Kne *knee, uint32_t kind, bool above, Span took, Instant now)
{
    double keep = exp(-(double)(now - knee->weighed_at) / MEMORY_US);
    KneSide *side = above ? &knee->above : &knee->below;
    uint32_t place = kind < Kne_KINDS ? kind : Kne_KINDS - 1;
    double log_us;

    if (took <= 0) {
        return;
    }
    fade(&knee->below, keep);
    fade(&knee->above, keep);
    knee->weighed_at = now;
    log_us = log((double)took);
    side->weight += 1;
    side->logs += log_us - take_usual(&knee->kinds[place], log_us);
}

static double
mean_of(const KneSide *side)
{
    return side->weight > 0 ? side->logs / side->weight : 0;
}

bool
Kne_IsSlower(const Kne *knee)
{
    double seen = mean_of(&knee->above) - mean_of(&knee->below);
    double weight = fmin(knee->above.weight, knee->below.weight);

    return seen * weight + PRIOR * PRIOR_WEIGHT >
           SLOWER * (weight + PRIOR_WEIGHT);
}

bool
Kne_WantsLook(const Kne *knee)
{
    return knee->above.weight < LOOKS;
}
