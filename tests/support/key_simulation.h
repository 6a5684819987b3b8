/* Kw: claims of one key, their holders, and the nodes that run it, as a world
 * of events in the order of their times.  The deciders are the real ones; who
 * uses it decides what becomes of each message, and checks what ran and what
 * callers were told.
 */
#ifndef KEY_SIMULATION_H
#define KEY_SIMULATION_H

#include "process/ledger.h"
#include "process/register.h"
#include "request/claim.h"
#include "value/rng.h"

enum {
    Ksim_ACCEPTORS_MAX = 5,
    Ksim_NODES = 3,
    Ksim_CLAIMS = 10,
    Ksim_EVENTS_MAX = 4096,
    Ksim_ATTEMPTS_MAX = 24,
    Ksim_ANSWER_SIZE = 16
};

typedef enum {
    Ksim_REGISTER_REQUEST,
    Ksim_REGISTER_REPLY,
    Ksim_ATTEMPT_ENDED,
    Ksim_ATTEMPT_RELEASED,
    Ksim_FATE_REQUEST,
    Ksim_FATE_REPLY,
    Ksim_CALL,
    Ksim_RUN_END,
    Ksim_CALL_ANSWER,
    Ksim_CALL_REJECTED,
    Ksim_FENCE_REQUEST,
    Ksim_FENCE_REPLY,
    Ksim_CLAIM_TICK,
    Ksim_CLAIM_START,
    Ksim_ACCEPTOR_RESTART,
    Ksim_CATCH_UP_START,
    Ksim_CATCH_UP_REQUEST,
    Ksim_CATCH_UP_REPLY,
    Ksim_NODE_RESTART,
    Ksim_CLAIM_CRASH
} KeySimulationEventKind;

typedef struct {
    Instant at;
    KeySimulationEventKind kind;
    int claim;
    int peer;            /* holder or node */
    int source_acceptor; /* holder that is read */
    uint32_t phase;
    bool is_prepare;
    uint64_t restart_count; /* of the holder that catches up */
    RegisterValue value;
    RegisterReply reply;
    LedgerState fate;
    bool is_ready;
} KeySimulationEvent;

typedef enum {
    Ksim_NOT_STARTED,
    Ksim_CLAIMING,
    Ksim_RUNNING,
    Ksim_FINISHED,
    Ksim_CRASHED
} SimulatedClaimState;

typedef struct {
    KeyClaim claim;
    SimulatedClaimState state;
    Instant started_at;
    Instant sent_at;
    uint64_t attempt_count;
    bool told_not_run;
    Instant prepared_at; /* it last asked for promises */
    Instant granted_at;
} SimulatedClaim;

/* What is done about a message (Ksim_AddEvent it, or not), a run of the key,
 * and what a caller is told. */
typedef struct {
    void *context;
    void (*send)(void *context, const KeySimulationEvent *event);
    void (*on_run)(void *context, int claim);
    void (*on_outcome)(void *context, int claim, ClaimAction action,
                       Str answer);
} KeySimulationCallbacks;

typedef struct {
    Rng rng;
    Instant now;
    KeySimulationEvent events[Ksim_EVENTS_MAX];
    size_t event_count;
    uint32_t acceptor_count;
    uint32_t rejected_percent;  /* calls, of a hundred */
    uint32_t no_target_percent; /* placements without a node, of a hundred */
    KeySimulationCallbacks callbacks;
    KeyRegisters registers[Ksim_ACCEPTORS_MAX];
    uint64_t restart_counts[Ksim_ACCEPTORS_MAX];
    bool has_read[Ksim_ACCEPTORS_MAX][Ksim_ACCEPTORS_MAX];
    AttemptLedger ledgers[Ksim_NODES];
    uint64_t incarnations[Ksim_NODES];
    SimulatedClaim claims[Ksim_CLAIMS];
    char answers[Ksim_CLAIMS][Ksim_ATTEMPTS_MAX][Ksim_ANSWER_SIZE];
    int run_count;
    AttemptId last_run;
    Instant last_run_at;
    int answer_count;
    int unknown_count;
    int not_run_count;
    uint64_t seed;
} KeySimulation;

void Ksim_Init(KeySimulation *sim, uint64_t seed, uint32_t acceptors,
               const KeySimulationCallbacks *callbacks);
void Ksim_Finish(KeySimulation *sim);

/* Play all events, also those that they add. */
void Ksim_Run(KeySimulation *sim);

void Ksim_AddEvent(KeySimulation *sim, const KeySimulationEvent *event,
                   Span delay);

/* True PERCENT times of a hundred. */
bool Ksim_DrawChance(KeySimulation *sim, uint32_t percent);

/* The answer that attempt ID gives. */
Str Ksim_GetAnswer(KeySimulation *sim, AttemptId id);

#endif
