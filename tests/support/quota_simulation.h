/* Qsim: client accounts with limits, nodes that hold credit and grantors, in
 * simulated time, with messages that are late or lost, nodes that stand still
 * and are cut off, and grantors that follow one another.  It counts the calls
 * that run, in any window. */
#ifndef QUOTA_SIMULATION_H
#define QUOTA_SIMULATION_H

#include "process/quota/creditholder.h"
#include "process/quota/grantor.h"
#include "value/rng.h"

enum {
    Qsim_NODES_MAX = 16,
    Qsim_GRANTORS = 3,
    Qsim_MESSAGES_MAX = 4096,
    Qsim_CALLS_MAX = 65536
};

#define Qsim_STEP Span_MS(1)

/* What is done to the fleet.  Chances are by 10,000 in each step. */
typedef struct {
    uint32_t per_s; /* limit of the account */
    uint32_t burst;
    uint32_t node_count;
    double calls_per_s; /* of all nodes */
    uint32_t loss;      /* of a message, by 10,000 messages */
    uint32_t late;      /* messages that take up to 3 s, by 10,000 */
    uint32_t freeze;    /* a node stands still for up to 3 s */
    uint32_t cut;       /* a node is cut off for up to 3 s */
    uint32_t fail_over; /* another grantor follows */
    Span
        take_over_max; /* from the last grant of one to the next one's first */
    uint32_t hold;     /* all grants on their way lie for up to 3 s */
    uint32_t not_run;  /* a call is rejected everywhere, by 10,000 calls */
    bool keeps_one_node; /* all calls go through one node */
} QuotaSchedule;

typedef struct {
    Instant sent_at; /* by the caller */
    Instant runs_at; /* at the backend server */
} QuotaCall;

typedef struct {
    CreditHolder holder;
    Span clock; /* of the node, ahead of the simulation's */
    Instant frozen_until;
    Instant cut_until;
    /* Calls that wait here for credit; they were sent then. */
    Instant waiting[Qsim_CALLS_MAX / Qsim_NODES_MAX];
    size_t waiting_count;
} QuotaNode;

typedef struct {
    Instant arrives_at;
    size_t node;
    bool is_grant;
    uint64_t term;
    Instant sent_at; /* of the ask, on the node's clock */
    CreditAsk ask;
    CreditGrant grant;
} QuotaMessage;

typedef struct {
    QuotaBounds bounds;
    QuotaSchedule schedule;
    Rng rng;
    Instant now;
    Preset preset;
    PresetAccount account;
    uint64_t id;
    QuotaNode nodes[Qsim_NODES_MAX];
    Grantor grantors[Qsim_GRANTORS];
    size_t leading; /* index in grantors */
    uint64_t term;
    Instant grants_from; /* by the leading one */
    Instant held_until;  /* grants sent before arrive then */
    QuotaMessage messages[Qsim_MESSAGES_MAX];
    size_t message_count;
    QuotaCall calls[Qsim_CALLS_MAX];
    size_t call_count;
    TokenBucket ideal; /* one for all nodes, at the callers */
    size_t owed;       /* calls for which it had a token */
    size_t refused;
    double next_call_in;
} QuotaSimulation;

void Qsim_Init(QuotaSimulation *sim, const QuotaBounds *bounds,
               const QuotaSchedule *schedule, uint64_t seed);
void Qsim_Finish(QuotaSimulation *sim);

/* Changes the limit at once at every replica. */
void Qsim_SetLimit(QuotaSimulation *sim, uint32_t per_s, uint32_t burst);

void Qsim_Run(QuotaSimulation *sim, Span time);

/* The most calls that were sent and ran within WINDOW, sent at FROM or later.
 */
size_t Qsim_CountMost(QuotaSimulation *sim, Instant from, Span window);

#endif
