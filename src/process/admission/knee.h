/* Kne: detects the knee of a backend server's latency curve: whether each
 * request takes longer once the server is nearly full, so that its last slots,
 * the reserve, are better left free.  Used by admission control.
 *
 * Durations are compared within one kind of work: those of requests that
 * started below the reserve with those of requests that started in it.  Until
 * enough of both are known, the reserve is assumed to be slower and further
 * samples of it are requested.  Samples lose weight with age.  The caller
 * passes the time; this module reads no clock.
 *
 * Source: L. Kleinrock, "Power and deterministic rules of thumb for
 * probabilistic problems in computer communications", 1979.
 */
#ifndef KNEE_H
#define KNEE_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

/* Kinds of work; larger numbers share the last baseline. */
enum { Kne_KIND_COUNT = 8 };

/* Sums over samples whose weight decays with age. */
typedef struct {
    double weight;  /* number of requests */
    double log_sum; /* of log(duration) - mean_log_us of the kind of work */
} KneeSamples;

typedef struct {
    double count;       /* samples in the mean, up to a bound */
    double mean_log_us; /* mean of log(duration in microseconds) */
} KneeBaseline;

typedef struct {
    KneeBaseline baselines[Kne_KIND_COUNT];
    KneeSamples outside_reserve;
    KneeSamples inside_reserve;
    Instant decayed_at; /* time up to which the weights are decayed */
} KneeDetector;

/* Adds a request that took DURATION; IN_RESERVE: it started on one of the
 * reserved slots.  Durations of 0 or less are ignored. */
void Kne_AddSample(KneeDetector *knee, uint32_t work_kind, bool in_reserve,
                   Span duration, Instant now);

/* True when using the reserve costs more time than it gains throughput, as
 * far as known; true also when nothing is known. */
bool Kne_IsReserveSlower(const KneeDetector *knee);

/* True while too few recent samples of the reserve are known. */
bool Kne_NeedsSamples(const KneeDetector *knee);

#endif
