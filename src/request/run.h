/* Run: one attempt at the node beside its backend server, from its arrival
 * to the last piece of its answer.
 *
 * The hub asks the ledger and then the admission decider about each attempt,
 * keeps those that wait, and sends the answer back in bounded pieces as the
 * ingress node credits them.
 */
#ifndef RUN_H
#define RUN_H

#include "connection/backend.h"
#include "connection/callmsg.h"
#include "connection/knock.h"
#include "connection/pulse.h"
#include "process/admission.h"
#include "process/counters.h"
#include "process/latency.h"
#include "process/ledger.h"
#include "process/net.h"
#include "process/reportthrottle.h"
#include "process/suspectsync.h"
#include "process/timeline.h"
#include "version/preset.h"

typedef struct Run Run;

typedef struct {
    Net *net;
    Counters *counters;
    LatencyHistograms *latencies;
    Logger *logger;
    Timeline *timeline;
    AdmissionController *admission;
    BckPool *pool;
    SuspectSync *suspects;
    uint64_t incarnation; /* of this node */
    Led ledger;
    ReportThrottle ride;
    Hsh by_id;
    Run *first; /* oldest first */
    Run *last;
    size_t count;
    size_t asking; /* that wait for the backend server's word */
    Pulse pulse;
    Knock knock;        /* after an exchange was cut */
    Instant told_by;    /* what was cut is settled then at the latest */
    uint32_t alone;     /* suspects that wait or run */
    Instant alone_from; /* the next suspect may start */
    void *lost_context;
    void (*lost)(void *context, Instant now);
    Instant asked_at; /* last attempt that a node sent; 0: none */
} RunHub;

void Run_HubInit(RunHub *hub, Net *net, Counters *counters, Timeline *timeline,
                 LatencyHistograms *latencies, AdmissionController *admission,
                 BckPool *pool, SuspectSync *suspects, uint64_t incarnation);

/* Told when the backend server was found gone. */
void Run_OnLost(RunHub *hub, void (*lost)(void *context, Instant now),
                void *context);
void Run_HubFinish(RunHub *hub);

/* The answer of attempt ID goes to ORIGIN from now on, unless a part of it
 * went elsewhere.  STOP: drop the attempt instead if it still waits. */
FencedState Run_TakeOver(RunHub *hub, const NetOrigin *origin, AttemptId id,
                         bool stop, Instant now);

/* PRESET is in force; the backend server is one of SERVICE. */
void Run_SetPreset(RunHub *hub, const Preset *preset, Str service);

/* A run that ends no sooner than DEADLINE is under way. */
bool Run_EndsNoSooner(const RunHub *hub, Instant deadline);

/* Start what may start now; drop what waited past its deadline. */
void Run_HubTick(RunHub *hub, Instant now);

#endif
