/* Bnw: the state of one run: nodes with their deciders, servers with their
 * queues, calls and attempts.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "bench.h"
#include "bench_queue.h"
#include "process/reportthrottle.h"

#define Bnw_SERVICE_US 5000.0

typedef enum {
    Bnw_ARRIVE,  /* the next call; subject: its number */
    Bnw_REACH,   /* an attempt is at the node beside the server */
    Bnw_DONE,    /* the server has finished it */
    Bnw_BACK,    /* its answer or refusal is at the ingress node */
    Bnw_HEDGE,   /* a hedge may be due; subject: the call */
    Bnw_RECORD,  /* membership tells of server's record; subject: server */
    Bnw_DISTURB, /* subject: step of the disturbance */
} BnwKind;

typedef struct {
    Instant at;
    Instant deadline;
    double work; /* service time at the server's usual speed */
    uint32_t node;
    uint32_t open; /* attempts not answered yet */
    bool interactive;
    bool ended;
    RetryState retry;
    HedgeState hedge;
} BnwCall;

typedef enum { Bnw_GOOD, Bnw_ERROR, Bnw_REFUSAL } BnwEnd;

typedef struct {
    uint32_t call;
    uint32_t server;
    uint32_t next; /* in its server's list, 0: none */
    uint32_t stamp;
    Instant sent_at;
    Instant started_at;
    Instant updated_at;
    double left; /* work not done yet */
    BnwEnd end;
    LoadReport load;
    bool bare; /* no report rides on its answer */
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
    uint32_t busy;  /* slots */
    double speed;   /* 1: usual */
    bool failing;   /* everything, at once */
    BnwList inside; /* at the server, waiting for a true slot */
    BnwList queued[Adm_CLASS_COUNT];
    BnwList running;
    uint32_t step_attempts;
    ReportThrottle ride;
} BnwServer;

typedef struct {
    PlacementTable placement;
    RetryBudget retries;
    RetryBudget hedges;
    uint16_t domain;
} BnwNode;

typedef struct {
    const BncCase *c;
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
    double *times_ms; /* of answered interactive calls */
    size_t time_count;
    uint64_t link_report_bytes;
    uint64_t step_total[Bnc_STEPS];
    uint64_t step_first[Bnc_STEPS]; /* to server 0 */
} BenchWorld;

void Bnw_Init(BenchWorld *world, const BncCase *c, BncResult *result);
void Bnw_Finish(BenchWorld *world);

Span Bnw_Delay(const BenchWorld *world, uint16_t from, uint16_t to);
bool Bnw_Crosses(const BenchWorld *world, uint16_t from, uint16_t to);

/* The attempt is at the node beside its server. */
void Bnw_OnReach(BenchWorld *world, uint32_t attempt, Instant now);
void Bnw_OnDone(BenchWorld *world, uint32_t attempt, Instant now);
void Bnw_SetSpeed(BenchWorld *world, BnwServer *server, double speed,
                  Instant now);
void Bnw_OnDisturb(BenchWorld *world, uint32_t step, Instant now);

#endif
