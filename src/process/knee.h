/* Kne, the knee decider: whether a backend server takes longer over each
 * request once it is nearly full, so that its last slots are better left
 * free.
 *
 * Requests of a kind are compared with each other only: what one takes beside
 * few others, and what one takes that started on the last slots.  Until enough
 * of both were seen the last slots are taken for slower, and looks at them are
 * wanted.  What was seen is forgotten slowly.  No clock in here.
 *
 * Source: L. Kleinrock, "Power and deterministic rules of thumb for
 * probabilistic problems in computer communications", 1979.
 */
#ifndef KNEE_H
#define KNEE_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

enum { Kne_KIND_COUNT = 8 };

/* Sums whose parts lose weight with age. */
typedef struct {
    double weight;  /* requests */
    double log_sum; /* of their times, in terms of their kind's usual one */
} KneeSamples;

typedef struct {
    double count;
    double mean_log_us; /* mean */
} KneeBaseline;

typedef struct {
    KneeBaseline baselines[Kne_KIND_COUNT];
    KneeSamples outside_reserve;
    KneeSamples inside_reserve;
    Instant decayed_at;
} KneeDetector;

/* A request of KIND took so long; ABOVE: it started on the last slots. */
void Kne_AddSample(KneeDetector *knee, uint32_t kind, bool above, Span took,
                   Instant now);

/* The last slots cost more than they bring, as far as known. */
bool Kne_IsReserveSlower(const KneeDetector *knee);

/* Requests on the last slots are to be seen: little is known of them. */
bool Kne_NeedsSamples(const KneeDetector *knee);

#endif
