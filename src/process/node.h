/* Node: one lycheeridged process.
 *
 * A Node owns all modules of the process and connects them: it starts them in
 * the order of their dependencies, passes events from one to another by
 * callbacks, drives them from one timer, and finishes them in reverse order.
 */
#ifndef NODE_H
#define NODE_H

#include "process/control/acceptor.h"
#include "process/control/configapi.h"
#include "process/control/control.h"
#include "process/control/replicaset.h"
#include "process/control/versionfollower.h"
#include "process/edge.h"
#include "process/lifecycle/ready.h"
#include "process/lifecycle/stop.h"
#include "process/membership/announce.h"
#include "process/membership/membershipsync.h"
#include "process/memory/budget.h"
#include "process/memory/machine.h"
#include "process/observe/recorder.h"
#include "process/observe/statusapi.h"
#include "process/operators/operatorapi.h"
#include "process/placement/probesender.h"
#include "process/quota/quotasync.h"
#include "request/call.h"
#include "request/run.h"

typedef struct {
    Settings *settings; /* not owned; changed by ReplicaSet and by reloads */
    Loop loop;
    Logger logger;
    Counters counters;
    LatencyHistograms latencies;
    Rng rng;
    uint64_t incarnation; /* grows with each start of the node */
    Timeline timeline;
    SharedPreset *in_force; /* preset in force; holds one reference */
    StrBuf preset_json;     /* content of the preset file of the settings */
    Net net;
    AdmissionController admission;
    BackendPool pool; /* connections to the backend server */
    AnnouncementReceiver announcements;
    LeaveSync leaves;
    QuotaSync quota;
    Services services;
    ProbeSender probe_sender;
    ReplicaSet replicas;
    MembershipSync members;
    CallDispatcher dispatcher; /* calls of this node's callers */
    SuspectSync suspects;
    AttemptRunner runner; /* attempts at the backend server */
    RegisterAcceptor register_acceptor;
    ControlReplica control;
    VersionFollower version_follower;
    ConfigApi config_api;
    Edge edge;                /* HTTP server for callers */
    OperatorApi operator_api; /* HTTP server for operators */
    ReadinessServer readiness;
    StatusApi status_api;
    GracefulStop stop;
    Recorder admission_recorder;
    Recorder ledger_recorder;
    bool accepts_callers; /* the startup is done, and callers' connections
                             are accepted */
    Instant started_at;
    OwnPause own_pause;
    Instant version_confirmed_at; /* first version in force; 0: none yet */
    Instant backend_known_at;     /* first backend server known; 0: none yet */
    LoopTimer timer;
    MemoryBudget budget; /* of what comes from outside */
    DescriptorShares descriptors;
    MemoryTrim trim;
} Node;

/* Starts all modules.  Returns false and sets ERR when the preset or a file
 * cannot be read, or when an address cannot be bound; NODE must not be used or
 * finished then, and the process should exit.  SETTINGS must outlive NODE,
 * which must stay at its address. */
bool Node_Init(Node *node, Settings *settings, Err *err);

/* Closes all connections and files, and frees what the modules own. */
void Node_Finish(Node *node);

/* Serves until a stop is complete. */
void Node_Run(Node *node);

/* Starts a graceful stop (process/lifecycle/stop.h).  A second call ends it at
 * once. */
void Node_Stop(Node *node, Instant now);

#endif
