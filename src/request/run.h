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

typedef struct BackendAttempt BackendAttempt;

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
    ReportThrottle report_throttle;
    Hsh attempts_by_id;
    BackendAttempt *first; /* oldest first */
    BackendAttempt *last;
    size_t count;
    size_t awaiting_load_count; /* that wait for the backend server's word */
    Pulse load_query;
    Knock connect_probe; /* after an exchange was cut */
    Instant
        crash_report_deadline; /* what was cut is settled then at the latest */
    uint32_t exclusive_count;  /* suspects that wait or run */
    Instant next_exclusive_at; /* the next suspect may start */
    void *backend_lost_context;
    void (*on_backend_lost)(void *context, Instant now);
    Instant last_call_at; /* last attempt that a node sent; 0: none */
} AttemptRunner;

void Run_InitRunner(AttemptRunner *hub, Net *net, Counters *counters,
                    Timeline *timeline, LatencyHistograms *latencies,
                    AdmissionController *admission, BckPool *pool,
                    SuspectSync *suspects, uint64_t incarnation);

/* Told when the backend server was found gone. */
void Run_SetBackendLostCallback(AttemptRunner *hub,
                                void (*lost)(void *context, Instant now),
                                void *context);
void Run_FinishRunner(AttemptRunner *hub);

/* The answer of attempt ID goes to ORIGIN from now on, unless a part of it
 * went elsewhere.  STOP: drop the attempt instead if it still waits. */
FencedState Run_RedirectAnswer(AttemptRunner *hub, const NetOrigin *origin,
                               AttemptId id, bool stop, Instant now);

/* PRESET is in force; the backend server is one of SERVICE. */
void Run_SetPreset(AttemptRunner *hub, const Preset *preset, Str service);

/* A run that ends no sooner than DEADLINE is under way. */
bool Run_HasAttemptUntil(const AttemptRunner *hub, Instant deadline);

/* Start what may start now; drop what waited past its deadline. */
void Run_Tick(AttemptRunner *hub, Instant now);

#endif
