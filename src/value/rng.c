#include "value/rng.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

void
Rng_Init(Rng *rng, uint64_t seed)
{
    rng->state = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng->state, seed);
}

void
Rng_Finish(Rng *rng)
{
    gsl_rng_free(rng->state);
    rng->state = NULL;
}

uint32_t
Rng_Below(Rng *rng, uint32_t bound)
{
    return bound ? (uint32_t)gsl_rng_uniform_int(rng->state, bound) : 0;
}

double
Rng_Unit(Rng *rng)
{
    return gsl_rng_uniform(rng->state);
}

double
Rng_Exponential(Rng *rng, double mean)
{
    return gsl_ran_exponential(rng->state, mean);
}
