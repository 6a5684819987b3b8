/* Run: accepts, queues and runs attempts at the node beside a backend server.
 *
 * An ingress node sends an attempt as a Wire_CALL message.  The AttemptRunner
 * first asks the attempt ledger whether the attempt may run, then checks it
 * against the suspects (crash.h), and then asks the admission decider to run,
 * queue or refuse it.  It sends the answer back to the ingress node in pieces
 * of bounded size, as credits allow (answer.h).
 *
 * The node calls Run_InitRunner once, then Run_SetPreset whenever a preset
 * comes into force or the backend server changes, and Run_Tick from the loop.
 */
#ifndef RUN_H
#define RUN_H

#include "connection/backend.h"
#include "connection/callmsg.h"
#include "connection/connectprobe.h"
#include "connection/loadquery.h"
#include "process/admission/admission.h"
#include "process/admission/fairshare.h"
#include "process/admission/ledger.h"
#include "process/admission/reportthrottle.h"
#include "process/lifecycle/ownpause.h"
#include "process/lifecycle/receipts.h"
#include "process/memory/budget.h"
#include "process/net.h"
#include "process/observe/counters.h"
#include "process/observe/latency.h"
#include "process/observe/timeline.h"
#include "process/suspects/suspectsync.h"
#include "request/offer.h"
#include "request/recent.h"
#include "request/sentpieces.h"
#include "value/list.h"
#include "version/preset.h"

typedef struct BackendAttempt BackendAttempt;

typedef struct {
    Net *net;
    Counters *counters;
    LatencyHistograms *latencies;
    Logger *logger;
    Timeline *timeline;
    AdmissionController *admission;
    FairShares shares; /* of the backend server's time, by client account */
    BackendPool *pool;
    SuspectSync *suspects;
    uint64_t incarnation;           /* of this node; changes at each start */
    AttemptLedger ledger;           /* what became of each attempt id */
    RecentAnswers recent;           /* of attempts that may be repeated */
    SentPieces sent_pieces;         /* of answers of several pieces */
    ReportThrottle report_throttle; /* when load reports are piggybacked */
    HashTable attempts_by_id;       /* BackendAttempt by its attempt id */
    List attempts;                  /* all, in order of arrival */
    /* attempts that wait for the backend server's load before admission */
    size_t awaiting_load_count;
    MemoryBudget *budget; /* what attempts keep is counted there */
    OfferTable offers;    /* large bodies that may come */
    size_t queue_held;    /* of the budget: messages that wait to be sent */
    size_t ledger_held;   /* of the budget: entries and answers */
    bool has_full_queue;  /* answers wait until fewer of these wait */
    LoadQuery load_query; /* asks the backend server for its load */
    /* tries a connection to the backend server after an interrupted
     * exchange */
    ConnectProbe connect_probe;
    Instant interrupted_at; /* the last interruption; 0: none */
    Instant probe_again_at; /* 0: the last connect probe decided */
    /* Interrupted attempts are reported as lost at this time even if some
     * node has not confirmed the crash report; 0: no report is open. */
    Instant crash_report_deadline;
    uint32_t exclusive_count;  /* attempts in the list that are exclusive */
    Instant next_exclusive_at; /* no suspect starts before this time */
    void *backend_lost_context;
    /* see Run_SetBackendLostCallback */
    void (*on_backend_lost)(void *context, Instant now);
    Receipts receipts; /* of the pieces of answers, by the nodes that they were
                          sent to; asked for while this node stops */
    bool is_flushing;  /* the node stops soon: answers are sent ahead of
                               credits, and wait for their callers elsewhere */
    Instant last_call_at; /* when a Wire_CALL message came last; 0: never */
    const OwnPause *own_pause;
    ColdBounds cold_bounds; /* set by the node */
    bool was_cold;          /* the backend server, at the last tick */
    Instant ticked_at;      /* last Run_Tick; 0: none yet */
    Instant resumed_at;     /* end of this node's last own pause; 0: none */
    Instant last_piece_at;  /* when a piece of an answer was sent last; 0:
                               never */
} AttemptRunner;

/* Registers the handlers of Wire_CALL, Wire_CANCEL, Wire_CREDIT and
 * Wire_PING at NET.  All pointers are borrowed and outlive RUNNER.
 * INCARNATION is that of this node's process.  Run_SetBackendLostCallback
 * must follow before the loop runs. */
void Run_InitRunner(AttemptRunner *runner, Net *net, Counters *counters,
                    Timeline *timeline, LatencyHistograms *latencies,
                    AdmissionController *admission, BackendPool *pool,
                    SuspectSync *suspects, MemoryBudget *budget,
                    uint64_t incarnation);

/* Sets the function that is called when an exchange was interrupted and the
 * backend server's port refuses connections: the backend server crashed. */
void Run_SetBackendLostCallback(AttemptRunner *runner,
                                void (*callback)(void *context, Instant now),
                                void *context);

/* Cancels all exchanges without reporting them, and frees the attempts. */
void Run_FinishRunner(AttemptRunner *runner);

/* Sends the answer of the attempt of FENCE, or the rest of it, to ORIGIN from
 * now on and returns Fence_RUNNING.  Returns Fence_UNKNOWN when the attempt is
 * not in the list or a piece that has not come is not kept any more.  With
 * cancel_if_queued, an attempt that has not started is dropped instead, and
 * the result is Fence_NEVER_RAN. */
FenceResult Run_RedirectAnswer(AttemptRunner *runner, const NetOrigin *origin,
                               const FenceMessage *fence, Instant now);

/* Applies PRESET, which is in force: the retention of keyed attempts in the
 * ledger, and the health path of SERVICE, the service of the backend
 * server. */
void Run_SetPreset(AttemptRunner *runner, const Preset *preset, Str service);

/* True when an attempt runs whose deadline is not before DEADLINE, within
 * 5 ms.  A call that arrives with DEADLINE may then have been made from inside
 * that run (nesting.h). */
bool Run_HasAttemptUntil(const AttemptRunner *runner, Instant deadline);

/* This node stops soon: from now on, answers are sent to their ingress nodes
 * ahead of credits, within a bound for all of them, so that callers who read
 * slowly do not need this node any more. */
void Run_StartFlushing(AttemptRunner *runner, Instant now);

/* Asks the nodes that were sent pieces of answers lately whether they have
 * them.  Returns how many have not confirmed that. */
size_t Run_ConfirmPieces(AttemptRunner *runner, Instant now);

/* Whether this node itself did not run until a moment ago, so that other nodes
 * may have given up their connections to it. */
bool Run_HasJustResumed(const AttemptRunner *runner, Instant now);

/* Drops attempts that are past a deadline and starts queued ones that may
 * start now.  Called regularly, and after each change that may free a slot. */
void Run_Tick(AttemptRunner *runner, Instant now);

#endif
