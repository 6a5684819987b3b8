/* Rng: a seeded pseudorandom number generator (Tausworthe, from GSL).
 *
 * It is passed to every decision that uses random numbers, so that the same
 * seed gives the same decisions.  Not for cryptographic use.
 */
#ifndef RNG_H
#define RNG_H

#include <stdint.h>

typedef struct {
    void *state; /* gsl_rng, owned */
} Rng;

void Rng_Init(Rng *rng, uint64_t seed);
void Rng_Finish(Rng *rng);

/* Returns a uniformly distributed integer in [0, BOUND); 0 when BOUND is 0. */
uint32_t Rng_Below(Rng *rng, uint32_t bound);

/* Returns a uniformly distributed number in [0, 1). */
double Rng_Unit(Rng *rng);

/* Returns an exponentially distributed number with the given MEAN. */
double Rng_Exponential(Rng *rng, double mean);

#endif
