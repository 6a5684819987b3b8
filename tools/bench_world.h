/* Bnw: the state of one run: nodes with their deciders, servers with their
 * queues, calls and attempts.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "bench.h"
#include "bench_queue.h"
#include "process/reportthrottle.h"

#define Bnw_MEAN_SERVICE_US 5000.0

typedef enum {
    Bnw_CALL_ARRIVAL,      /* the next call; subject: its number */
    Bnw_ATTEMPT_ARRIVAL,   /* an attempt is at the node beside the server */
    Bnw_ATTEMPT_DONE,      /* the server has finished it */
    Bnw_ANSWER_ARRIVAL,    /* its answer or refusal is at the ingress node */
    Bnw_HEDGE_DUE,         /* a hedge may be due; subject: the call */
    Bnw_MEMBERSHIP_RECORD, /* membership tells of server's record; subject:
                              server */
    Bnw_DISTURBANCE_STEP,  /* subject: step of the disturbance */
} BnwEventKind;

typedef struct {
    Instant arrived_at;
    Instant deadline;
    double work_us; /* service time at the server's usual speed */
    uint32_t node;
    uint32_t open_attempts; /* attempts not answered yet */
    bool interactive;
    bool ended;
    RetryState retry;
    HedgeState hedge;
} BnwCall;

typedef enum { Bnw_SUCCESS, Bnw_ERROR, Bnw_REFUSAL } BnwOutcome;

typedef struct {
    uint32_t call;
    uint32_t server;
    uint32_t next; /* in its server's list, 0: none */
    uint32_t generation;
    Instant sent_at;
    Instant started_at;
    Instant updated_at;
    double work_left_us; /* work not done yet */
    BnwOutcome outcome;
    LoadReport load;
    bool without_report; /* no report rides on its answer */
} BnwAttempt;

/* A list of attempts by number. */
typedef struct {
    uint32_t first;
    uint32_t last;
} BnwList;

typedef struct {
    AdmissionController admission;
    Addr addr;
    uint64_t incarnation;
    uint16_t domain;
    uint32_t busy_slots; /* slots */
    double speed;        /* 1: usual */
    bool failing;        /* everything, at once */
    BnwList waiting;     /* at the server, waiting for a true slot */
    BnwList queued[Adm_CLASS_COUNT];
    BnwList running;
    uint32_t step_attempts;
    ReportThrottle report_throttle;
} BnwServer;

typedef struct {
    PlacementTable placement;
    RetryBudget retry_budget;
    RetryBudget hedge_budget;
    uint16_t domain;
} BnwNode;

typedef struct {
    const BncCase *params;
    BncResult *result;
    BenchQueue queue;
    Rng arrivals; /* the same for every policy */
    Rng choices;
    BnwServer *servers;
    BnwNode *nodes;
    BnwCall *calls;
    uint32_t call_count;
    uint32_t call_cap;
    BnwAttempt *attempts; /* number 0 stays unused */
    uint32_t attempt_count;
    uint32_t attempt_cap;
    double *latencies_ms; /* of answered interactive calls */
    size_t latency_count;
    uint64_t link_report_bytes;
    uint64_t step_total[Bnc_SHARE_STEPS];
    uint64_t step_first[Bnc_SHARE_STEPS]; /* to server 0 */
} BenchWorld;

void Bnw_Init(BenchWorld *world, const BncCase *c, BncResult *result);
void Bnw_Finish(BenchWorld *world);

Span Bnw_GetDelay(const BenchWorld *world, uint16_t from, uint16_t to);
bool Bnw_IsCrossRegion(const BenchWorld *world, uint16_t from, uint16_t to);

/* The attempt is at the node beside its server. */
void Bnw_OnAttemptArrival(BenchWorld *world, uint32_t attempt, Instant now);
void Bnw_OnAttemptDone(BenchWorld *world, uint32_t attempt, Instant now);
void Bnw_SetSpeed(BenchWorld *world, BnwServer *server, double speed,
                  Instant now);
void Bnw_OnDisturbanceStep(BenchWorld *world, uint32_t step, Instant now);

#endif
