/* Prb: load probes.  Decides whether a node sends a probe now, and to which
 * backend server.
 *
 * Load reports are piggybacked on answers.  A probe goes only to a backend
 * server of a service in use that has sent no fresh report, and only within
 * three budgets: bytes, bytes across regions, and processor time.  With a
 * budget of 0 no probe is sent, and placement uses piggybacked reports alone.
 * The caller asks Prb_ChooseTarget, sends the probe, and accounts for the
 * processor time with Prb_ChargeCpu.
 */
#ifndef PROBE_H
#define PROBE_H

#include "process/placement/placement.h"
#include "value/tokenbucket.h"

/* Upper bound of the bytes of one probe and its answer on the wire. */
enum { Prb_BYTES_MAX = 160 };

typedef struct {
    uint32_t bytes_per_s;
    uint32_t remote_bytes_per_s; /* of these, across regions */
    uint32_t cpu_permille;       /* of the time of one processor */
} ProbeLimits;

typedef struct {
    TokenBucket bytes;
    TokenBucket remote_bytes;
    TokenBucket cpu_us; /* processor time, microseconds */
} ProbeBudget;

void Prb_Init(ProbeBudget *budget, const ProbeLimits *limits, Instant now);
void Prb_SetLimits(ProbeBudget *budget, const ProbeLimits *limits,
                   Instant now);

/* Returns the row of TABLE to probe now, with the bytes charged to the budget
 * and last_probe_at set; NULL when no probe is due or a budget is used up. */
const BackendRow *Prb_ChooseTarget(ProbeBudget *budget,
                                   const PlacementTable *table, Instant now);

/* Charges MICROSECONDS of processor time spent on probes. */
void Prb_ChargeCpu(ProbeBudget *budget, double microseconds, Instant now);

#endif
