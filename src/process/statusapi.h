/* Statusapi: what operators read from one process over HTTP: its status with
 * the members it knows, its part of the time line, its metrics.
 *
 *     GET /v1/status
 *     GET /v1/timeline?since=STAMP&limit=N
 *     GET /metrics
 */
#ifndef STATUSAPI_H
#define STATUSAPI_H

#include "process/membershipsync.h"
#include "process/operatorapi.h"
#include "request/call.h"
#include "request/run.h"

/* Events of one answer: by default, and at most. */
enum {
    Statusapi_EVENTS_DEFAULT = 200,
    Statusapi_EVENTS_MAX = Tml_RING_EVENTS
};

typedef struct {
    const Settings *settings;
    const Timeline *timeline;
    const Counters *counters;
    const LatencyHistograms *latencies;
    const MembershipSync *members;
    const CallDispatcher *dispatcher;
    const AttemptRunner *runner;
    const SuspectSync *suspects;
} StatusApi;

void Statusapi_Serve(StatusApi *api, OperatorApi *opr);

#endif
