/* Bnc: a discrete-event simulation of a fleet that drives the deciders,
 * without network or processes.
 *
 * Each ingress node has placement, retry and hedge deciders of its own.  Each
 * backend server has the admission decider of the node beside it and a queue.
 * The result depends only on the BncCase, which includes the seed.
 */
#ifndef BENCH_H
#define BENCH_H

#include "process/admission/admission.h"
#include "process/placement/placement.h"
#include "request/hedge.h"
#include "request/retry.h"
#include "value/str.h"

/* What goes wrong during a run.  Except for Bnc_NOISY and
 * Bnc_OVERSTATED_SLOTS it affects server 0 from a third of the run on. */
typedef enum {
    Bnc_UNDISTURBED,
    Bnc_NOISY,      /* each second one server is 10 times slower for 200 ms */
    Bnc_COLD_START, /* the server restarts with slow start and is 5 times
                       slower for 1 s */
    Bnc_DRAIN, /* the server drains without warning for a third of the run */
    Bnc_FAIL,  /* the server fails every attempt after 50 us, for a third of
                  the run */
    Bnc_OVERSTATED_SLOTS, /* server 0 announces 4 times its slots, for the
                             whole run */
    Bnc_SLOW, /* the server is 20 times slower for a third of the run */
    Bnc_DISTURBANCE_COUNT
} BncDisturbance;

/* The size of a service. */
typedef struct {
    Str name;
    uint32_t server_count;
    uint32_t slots;      /* requests that one server runs at once */
    uint32_t node_count; /* ingress nodes */
} BncFleet;

/* The parameters of one run. */
typedef struct {
    BncFleet fleet;
    uint32_t regions;          /* 1 or 2 */
    bool exponential_service;  /* distribution of service times; else uniform,
                                  1/2 to 3/2 of the mean */
    double load;               /* work that arrives, as a share of the
                                  capacity of all slots */
    uint32_t patient_permille; /* share of patient calls */
    Span duration;             /* time in which calls arrive */
    PlacementPolicy policy;
    BncDisturbance disturbance;
    uint32_t retry_permille; /* retries allowed per 1000 calls */
    uint32_t hedge_permille; /* hedges allowed per 1000 calls; 0: none */
    Span hedge_delay;        /* from the arrival of a call to its hedge */
    uint32_t sample_size;    /* rows that Plc_LEAST_WAIT compares */
    uint64_t seed;
} BncCase;

enum { Bnc_SHARE_STEPS = 40 }; /* equal parts of a run */

/* Arrays by class are indexed by RequestClass. */
typedef struct {
    /* Latency of interactive calls that succeeded, late ones included. */
    double p50_ms;
    double p99_ms;
    double p999_ms;
    uint64_t calls[Adm_CLASS_COUNT];
    uint64_t good[Adm_CLASS_COUNT]; /* succeeded within the deadline */
    uint64_t failed;                /* calls whose last attempt was an error */
    uint64_t not_run;  /* calls whose last attempt was refused, or with none */
    uint64_t shed;     /* of not_run: by placement, without any attempt */
    uint64_t refusals; /* attempts refused by admission */
    uint64_t attempts; /* retries and hedges included */
    uint64_t retries;
    uint64_t hedges;
    uint64_t cross_region_attempts; /* attempts sent to another region */
    double report_link_bytes_per_s; /* bytes of load reports between regions */
    double first_server_share[Bnc_SHARE_STEPS]; /* share of the attempts that
                                                   went to server 0 */
    uint32_t ejected_max; /* most rows ejected at once at one node */
} BncResult;

/* Simulates one case until no event is left.  RESULT is overwritten. */
void Bnc_Run(const BncCase *c, BncResult *result);

#endif
