/* Statusapi: the operators' HTTP paths that show the state of one process: its
 * status with the members it knows, its part of the timeline, its metrics.
 *
 *     GET /v1/status
 *     GET /v1/timeline?since=STAMP&limit=N
 *     GET /metrics
 */
#ifndef STATUSAPI_H
#define STATUSAPI_H

#include "process/membership/membershipsync.h"
#include "process/operators/operatorapi.h"
#include "request/call.h"
#include "request/run.h"

/* Timeline events in one answer: without a limit in the query, and at most. */
enum {
    Statusapi_EVENTS_DEFAULT = 200,
    Statusapi_EVENTS_MAX = Tml_RING_EVENTS
};

/* The modules whose state is shown; none is owned. */
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

/* Adds the paths to OPERATOR_API.  The caller has set all members of API,
 * which must outlive OPERATOR_API. */
void Statusapi_Serve(StatusApi *api, OperatorApi *operator_api);

#endif
