/* Bnw: the state of one simulation: ingress nodes with their deciders, backend
 * servers with their queues, calls and attempts.
 *
 * Nodes, servers, calls and attempts are referred to by their index in the
 * arrays of BenchWorld.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "bench.h"
#include "bench_queue.h"
#include "process/admission/reportthrottle.h"

/* Mean service time at the usual speed. */
#define Bnw_MEAN_SERVICE_US 5000.0

/* Kinds of events, with the meaning of BnqEvent.index. */
typedef enum {
    Bnw_CALL_ARRIVAL,      /* the next call arrives; index: 0 */
    Bnw_ATTEMPT_ARRIVAL,   /* attempt: arrives at the node beside its server */
    Bnw_ATTEMPT_DONE,      /* attempt: the server has finished it */
    Bnw_ANSWER_ARRIVAL,    /* attempt: its answer is at the ingress node */
    Bnw_HEDGE_DUE,         /* call: its hedge is due */
    Bnw_MEMBERSHIP_RECORD, /* server: its record reaches all nodes */
    Bnw_DISTURBANCE_STEP,  /* step of the disturbance, from 0 */
} BnwEventKind;

typedef struct {
    Instant arrived_at;
    Instant deadline;
    double work_us;         /* service time at the usual speed */
    uint32_t node;          /* ingress node */
    uint32_t open_attempts; /* neither answered nor refused yet */
    bool interactive;       /* else patient */
    bool ended;             /* answers that arrive later are ignored */
    RetryState retry;
    HedgeState hedge;
} BnwCall;

typedef enum { Bnw_SUCCESS, Bnw_ERROR, Bnw_REFUSAL } BnwOutcome;

/* One try of a call at a server. */
typedef struct {
    uint32_t call;
    uint32_t server;
    uint32_t next;       /* attempt after this one in its BnwList; 0: none */
    uint32_t generation; /* incremented when its end is scheduled again */
    Instant sent_at;
    Instant started_at;  /* when admission let it run */
    Instant updated_at;  /* time to which work_left_us refers */
    double work_left_us; /* at the usual speed */
    BnwOutcome outcome;
    LoadReport load;     /* of the server when it answered */
    bool without_report; /* load is not attached to the answer */
} BnwAttempt;

/* A queue of attempts, linked by BnwAttempt.next. */
typedef struct {
    uint32_t first; /* 0: empty */
    uint32_t last;
} BnwList;

typedef struct {
    AdmissionController admission;
    Addr addr; /* of the node beside it: its index plus 1 */
    uint64_t incarnation;
    uint16_t domain; /* failure domain */
    uint32_t busy_slots;
    double speed;    /* factor; 1: usual */
    bool failing;    /* every attempt fails at once */
    BnwList waiting; /* started by admission, but no slot is free */
    BnwList queued[Adm_CLASS_COUNT]; /* by admission */
    BnwList running;                 /* in a slot */
    uint32_t step_attempts;          /* always 0 */
    ReportThrottle report_throttle;
} BnwServer;

/* An ingress node. */
typedef struct {
    PlacementTable placement;
    RetryBudget retry_budget;
    RetryBudget hedge_budget;
    uint16_t domain; /* failure domain */
} BnwNode;

typedef struct {
    const BncCase *params; /* the caller's */
    BncResult *result;     /* the caller's */
    BenchQueue queue;
    Rng arrivals; /* own generator, so that every policy gets the same calls */
    Rng choices;  /* of placement */
    BnwServer *servers;
    BnwNode *nodes;
    BnwCall *calls;
    uint32_t call_count;
    uint32_t call_cap;
    BnwAttempt *attempts; /* attempts[0] is a placeholder: index 0 means
                             none */
    uint32_t attempt_count;
    uint32_t attempt_cap;
    double *latencies_ms; /* of interactive calls that succeeded */
    size_t latency_count;
    uint64_t link_report_bytes; /* load reports between regions */
    /* Attempts in each part of the run, in all and to server 0. */
    uint64_t step_total[Bnc_SHARE_STEPS];
    uint64_t step_first[Bnc_SHARE_STEPS];
} BenchWorld;

/* Sets up servers and nodes and adds the first events.  C and RESULT must
 * outlive WORLD. */
void Bnw_Init(BenchWorld *world, const BncCase *c, BncResult *result);

/* Frees all but what C and RESULT point to. */
void Bnw_Finish(BenchWorld *world);

/* One-way network delay between two failure domains. */
Span Bnw_GetDelay(const BenchWorld *world, uint16_t from, uint16_t to);

/* True when the failure domains are in different regions. */
bool Bnw_IsCrossRegion(const BenchWorld *world, uint16_t from, uint16_t to);

/* Admits, queues or refuses an attempt that arrived at the node beside its
 * server. */
void Bnw_OnAttemptArrival(BenchWorld *world, uint32_t attempt, Instant now);

/* Answers an attempt that its server has finished, and starts waiting ones. */
void Bnw_OnAttemptDone(BenchWorld *world, uint32_t attempt, Instant now);

/* Changes the speed of SERVER, also for the attempts that run there. */
void Bnw_SetSpeed(BenchWorld *world, BnwServer *server, double speed,
                  Instant now);

/* Begins or ends a disturbance and schedules the next step. */
void Bnw_OnDisturbanceStep(BenchWorld *world, uint32_t step, Instant now);

#endif
