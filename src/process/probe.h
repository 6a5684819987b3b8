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

#include "process/bucket.h"
#include "process/placement.h"

/* Bytes of one probe and its answer on the wire, at most. */
enum { Prb_BYTES = 160 };

typedef struct {
    uint32_t bytes_per_s;
    uint32_t link_bytes_per_s; /* of these, across regions */
    uint32_t cpu_permille;
} PrbLimits;

typedef struct {
    Bkt bytes;
    Bkt link;
    Bkt cpu; /* microseconds */
} Prb;

void Prb_Init(Prb *probe, const PrbLimits *limits, Instant now);
void Prb_SetLimits(Prb *probe, const PrbLimits *limits, Instant now);

/* The row of PLC to measure now, already charged; NULL when none is due or no
 * budget is left. */
const PlcRow *Prb_Choose(Prb *probe, const Plc *plc, Instant now);

/* Measuring took MICROSECONDS of processor time. */
void Prb_OnCpu(Prb *probe, double microseconds, Instant now);

#endif
