/* Prb, the probe decider: whether a measurement of load may be sent now, and
 * to whom.
 *
 * Load reports ride on answers.  A probe goes only to the backend server of a
 * service in use about which nothing fresh has ridden, and only when three
 * budgets allow it: bytes, bytes across regions, and processor time.  With a
 * budget of nil no probe is sent, and placement works on what rides.
 */
#ifndef PROBE_H
#define PROBE_H

#include "process/placement.h"
#include "process/tokenbucket.h"

/* Bytes of one probe and its answer on the wire, at most. */
enum { Prb_BYTES_MAX = 160 };

typedef struct {
    uint32_t bytes_per_s;
    uint32_t remote_bytes_per_s; /* of these, across regions */
    uint32_t cpu_permille;
} ProbeLimits;

typedef struct {
    TokenBucket bytes;
    TokenBucket remote_bytes;
    TokenBucket cpu_us; /* microseconds */
} ProbeBudget;

void Prb_Init(ProbeBudget *probe, const ProbeLimits *limits, Instant now);
void Prb_SetLimits(ProbeBudget *probe, const ProbeLimits *limits, Instant now);

/* The row of PLC to measure now, already charged; NULL when none is due or no
 * budget is left. */
const BackendRow *Prb_ChooseTarget(ProbeBudget *probe,
                                   const PlacementTable *plc, Instant now);

/* Measuring took MICROSECONDS of processor time. */
void Prb_ChargeCpu(ProbeBudget *probe, double microseconds, Instant now);

#endif
