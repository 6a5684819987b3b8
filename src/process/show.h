/* Shw: what operators read from one process over HTTP: its status with the
 * members it knows, its part of the time line, its metrics.
 *
 *     GET /v1/status
 *     GET /v1/timeline?since=STAMP&limit=N
 *     GET /metrics
 */
#ifndef SHOW_H
#define SHOW_H

#include "process/membershipsync.h"
#include "process/operatorapi.h"
#include "request/call.h"
#include "request/run.h"

/* Events of one answer: by default, and at most. */
enum { Shw_EVENTS = 200, Shw_EVENTS_MAX = Tml_RING_EVENTS };

typedef struct {
    const Settings *settings;
    const Timeline *timeline;
    const Counters *counters;
    const LatencyHistograms *latencies;
    const MembershipSync *members;
    const CallDispatcher *calls;
    const AttemptRunner *runs;
    const SuspectSync *suspects;
} Show;

void Shw_Serve(Show *show, OperatorApi *opr);

#endif
