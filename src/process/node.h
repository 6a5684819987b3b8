/* Node: one process of the system, made of its parts.
 *
 * The only place where the parts meet: it owns each of them, starts them in
 * order, and finishes them in the opposite one.
 */
#ifndef NODE_H
#define NODE_H

#include "process/acceptor.h"
#include "process/announce.h"
#include "process/configapi.h"
#include "process/control.h"
#include "process/edge.h"
#include "process/membershipsync.h"
#include "process/operatorapi.h"
#include "process/probesender.h"
#include "process/ready.h"
#include "process/recorder.h"
#include "process/replicaset.h"
#include "process/statusapi.h"
#include "process/stop.h"
#include "process/versionfollower.h"
#include "request/call.h"
#include "request/run.h"

typedef struct {
    Settings *settings;
    Loop loop;
    Logger logger;
    Counters counters;
    LatencyHistograms latencies;
    Rng rng;
    uint64_t incarnation;
    Timeline timeline;
    SharedPreset *in_force;
    StrBuf preset_json; /* of the settings' file */
    Net net;
    AdmissionController admission;
    BackendPool pool;
    AnnouncementReceiver announcements;
    Services services;
    ProbeSender probe_sender;
    ReplicaSet replicas;
    MembershipSync members;
    CallDispatcher dispatcher;
    SuspectSync suspects;
    AttemptRunner runner;
    RegisterAcceptor register_acceptor;
    ControlReplica control;
    VersionFollower version_follower;
    ConfigApi config_api;
    Edge edge;
    OperatorApi opr;
    ReadinessServer readiness;
    StatusApi status_api;
    GracefulStop stop;
    Recorder admission_recorder;
    Recorder ledger_recorder;
    bool accepts_callers; /* callers were let in */
    Instant started_at;
    Instant version_confirmed_at; /* of the first version in force; 0: none */
    Instant
        backend_known_at; /* a backend server was known first; 0: none yet */
    LoopTimer timer;
} Node;

/* Start everything; false with ERR when an address or file cannot be had. */
bool Node_Init(Node *node, Settings *settings, Err *err);
void Node_Finish(Node *node);

/* Serve until a stop has ended. */
void Node_Run(Node *node);

/* Begin to stop; a second time, end at once. */
void Node_Stop(Node *node, Instant now);

#endif
