/* Ksim: a simulation of the claims of one idempotency key, as a queue of
 * events in the order of their times.  The claims (request/claim.h), the
 * acceptors' registers (process/control/register.h) and the nodes' attempt
 * ledgers (process/admission/ledger.h) are the production code; messages,
 * backend servers and clocks are simulated.
 *
 * The test supplies callbacks: it delivers, delays, duplicates or drops each
 * message and checks every run of the key and every reported outcome.  The
 * simulation itself checks only that its buffers suffice and that actions and
 * merges are valid.
 */
#ifndef KEY_SIMULATION_H
#define KEY_SIMULATION_H

#include "process/admission/ledger.h"
#include "process/control/register.h"
#include "request/claim.h"
#include "value/rng.h"

enum {
    Ksim_ACCEPTORS_MAX = 5,
    Ksim_NODES = 3,
    Ksim_CLAIMS = 10,
    Ksim_EVENTS_MAX = 4096, /* queued at the same time */
    Ksim_ATTEMPTS_MAX = 24, /* attempt numbers of a claim, from 0; its first
                             * attempt has the number 1 */
    Ksim_ANSWER_SIZE = 16   /* bytes of an answer, with its final NUL */
};

/* What an event delivers or does when it is due. */
typedef enum {
    /* messages between a claim and an acceptor */
    Ksim_REGISTER_REQUEST, /* prepare or accept, see is_prepare */
    Ksim_REGISTER_REPLY,
    Ksim_ATTEMPT_ENDED,    /* to an acceptor: value holds the answer */
    Ksim_ATTEMPT_RELEASED, /* to an acceptor: value.attempt never runs */
    /* messages between a claim and a node */
    Ksim_FATE_REQUEST, /* about an attempt of another claim */
    Ksim_FATE_REPLY,
    Ksim_CALL,    /* run value.attempt */
    Ksim_RUN_END, /* no message: the run at node PEER ends */
    Ksim_CALL_ANSWER,
    Ksim_CALL_REJECTED, /* the attempt did not run */
    Ksim_FENCE_REQUEST, /* about the claim's own attempt */
    Ksim_FENCE_REPLY,
    /* timers and restarts, and messages between acceptors */
    Ksim_CLAIM_TICK,
    Ksim_CLAIM_START,
    Ksim_ACCEPTOR_RESTART, /* acceptor PEER loses its registers */
    Ksim_CATCH_UP_START,   /* timer of acceptor PEER until it is ready */
    Ksim_CATCH_UP_REQUEST, /* from PEER to source_acceptor */
    Ksim_CATCH_UP_REPLY,   /* from source_acceptor to PEER */
    Ksim_NODE_RESTART,     /* node PEER loses its ledger and its runs */
    Ksim_CLAIM_CRASH
} KeySimulationEventKind;

/* A message, timer or fault.  Each kind uses only some of the members. */
typedef struct {
    Instant at; /* set by Ksim_AddEvent */
    KeySimulationEventKind kind;
    int claim;           /* number of the claim, from 0 */
    int peer;            /* number of the acceptor or node, from 0 */
    int source_acceptor; /* acceptor whose registers are read */
    uint32_t phase;      /* of the claim, echoed by the acceptor */
    /* Ksim_REGISTER_REQUEST: prepare, not accept.  Ksim_CATCH_UP_REPLY: the
     * HAS_CONFLICT of Reg_Merge. */
    bool is_prepare;
    uint64_t restart_count; /* of the acceptor that catches up */
    RegisterValue value;    /* also names the attempt of node messages */
    RegisterReply reply;    /* Ksim_REGISTER_REPLY; promised also of
                             * Ksim_CATCH_UP_REPLY */
    LedgerState fate;       /* Ksim_FATE_REPLY, Ksim_FENCE_REPLY */
    bool is_ready;          /* the source acceptor was ready */
} KeySimulationEvent;

/* The progress of a claim. */
typedef enum {
    Ksim_NOT_STARTED,
    Ksim_CLAIMING, /* until its attempt may run */
    Ksim_RUNNING,  /* its attempt was sent to a node */
    Ksim_FINISHED, /* its outcome was reported or is unknown */
    Ksim_CRASHED
} SimulatedClaimState;

/* One claim of the key, and what the checks of a test need to know of it. */
typedef struct {
    KeyClaim claim;
    SimulatedClaimState state;
    Instant started_at;
    Instant sent_at;        /* last call or fence request */
    uint64_t attempt_count; /* attempts proposed so far */
    bool reported_not_run;  /* its outcome was "not run" */
    Instant prepared_at;    /* last prepare request; 0: none */
    Instant granted_at;     /* its last attempt could run; 0: never */
} SimulatedClaim;

/* Callbacks of the test; CONTEXT is passed to each. */
typedef struct {
    void *context;
    /* A message is sent.  The test passes EVENT to Ksim_AddEvent once or
     * several times to deliver it, or drops it. */
    void (*send)(void *context, const KeySimulationEvent *event);
    /* An attempt of CLAIM starts to run at a node; run_count, last_run and
     * last_run_at already include this run. */
    void (*on_run)(void *context, int claim);
    /* The caller of CLAIM gets Clm_END_ANSWER with ANSWER, Clm_END_RAN or
     * Clm_END_NOT_RUN.  Not called when the outcome is unknown. */
    void (*on_outcome)(void *context, int claim, ClaimAction action,
                       Str answer);
} KeySimulationCallbacks;

/* The state of a simulation.  A test reads the counts after Ksim_Run. */
typedef struct {
    Rng rng;
    Instant now;
    KeySimulationEvent events[Ksim_EVENTS_MAX]; /* not sorted */
    size_t event_count;
    uint32_t acceptor_count;
    /* Settings of the test, 0 after Ksim_Init: percentages of calls that a
     * node rejects, and of placements that find no node. */
    uint32_t rejected_percent;
    uint32_t no_target_percent;
    KeySimulationCallbacks callbacks;
    KeyRegisters registers[Ksim_ACCEPTORS_MAX];
    uint64_t restart_counts[Ksim_ACCEPTORS_MAX];
    /* [i][j]: acceptor i has read from acceptor j since its restart */
    bool has_read[Ksim_ACCEPTORS_MAX][Ksim_ACCEPTORS_MAX];
    AttemptLedger ledgers[Ksim_NODES];
    uint64_t incarnations[Ksim_NODES];
    SimulatedClaim claims[Ksim_CLAIMS];
    char answers[Ksim_CLAIMS][Ksim_ATTEMPTS_MAX][Ksim_ANSWER_SIZE];
    int run_count; /* runs of the key, by all claims */
    AttemptId last_run;
    Instant last_run_at;
    /* Claims by outcome; claims that ended with Clm_END_RAN are not counted.
     */
    int answer_count;
    int unknown_count;
    int not_run_count;
    uint64_t seed;
} KeySimulation;

/* Starts ACCEPTORS ready acceptors, at most Ksim_ACCEPTORS_MAX, and all nodes
 * at time 1 s.  No claim is started: the test adds Ksim_CLAIM_START events.
 * CALLBACKS is copied. */
void Ksim_Init(KeySimulation *sim, uint64_t seed, uint32_t acceptors,
               const KeySimulationCallbacks *callbacks);
void Ksim_Finish(KeySimulation *sim);

/* Handles all events in the order of their times, with those that they add,
 * until none is left or the time reaches 20 s. */
void Ksim_Run(KeySimulation *sim);

/* Queues a copy of EVENT, due DELAY from now. */
void Ksim_AddEvent(KeySimulation *sim, const KeySimulationEvent *event,
                   Span delay);

/* Returns true with a probability of PERCENT in 100. */
bool Ksim_DrawChance(KeySimulation *sim, uint32_t percent);

/* The answer of attempt ID, valid until Ksim_Finish.  It differs between
 * attempts.  ID.incarnation is the number of the claim. */
Str Ksim_GetAnswer(KeySimulation *sim, AttemptId id);

#endif
