/* Bnc: the deciders of a fleet driven from a table of events, without network
 * or processes.
 *
 * Each ingress node has placement, retry and hedge deciders of its own; each
 * backend server has the admission decider of the node beside it and a queue.
 * A run is a function of its case and seed alone.
 */
#ifndef BENCH_H
#define BENCH_H

#include "process/admission.h"
#include "process/placement.h"
#include "request/hedge.h"
#include "request/retry.h"
#include "value/str.h"

typedef enum {
    Bnc_UNDISTURBED,
    Bnc_NOISY,      /* each second one server is 10 times slower for 200 ms */
    Bnc_COLD_START, /* one server starts anew, slow and ramped */
    Bnc_DRAIN,      /* one server drains without warning, then is back */
    Bnc_FAIL,       /* one server fails everything at once, then is back */
    Bnc_OVERSTATED_SLOTS, /* one server announces 4 times its slots */
    Bnc_SLOW,             /* one server turns 20 times slower, then is back */
    Bnc_DISTURBANCE_COUNT
} BncDisturbance;

typedef struct {
    Str name;
    uint32_t server_count;
    uint32_t slots;
    uint32_t node_count; /* ingress nodes */
} BncFleet;

typedef struct {
    BncFleet fleet;
    uint32_t regions;          /* 1 or 2 */
    bool exponential_service;  /* service times; else uniform, half to 3/2 of
                                  mean */
    double load;               /* of the fleet's capacity */
    uint32_t patient_permille; /* share of the patient class, permille */
    Span duration;             /* of the run */
    PlacementPolicy policy;
    BncDisturbance disturbance;
    uint32_t retry_permille;
    uint32_t hedge_permille;
    Span hedge_delay;
    uint32_t sample_size;
    uint64_t seed;
} BncCase;

enum { Bnc_SHARE_STEPS = 40 }; /* parts of a run whose shares are kept */

typedef struct {
    double p50_ms; /* of the interactive class, all calls that were answered */
    double p99_ms;
    double p999_ms;
    uint64_t calls[Adm_CLASS_COUNT];
    uint64_t good[Adm_CLASS_COUNT]; /* whole answers within the deadline */
    uint64_t failed;                /* answers that were errors */
    uint64_t not_run;               /* given up as not run */
    uint64_t shed;     /* of these, by placement without an attempt */
    uint64_t refusals; /* by admission */
    uint64_t attempts;
    uint64_t retries;
    uint64_t hedges;
    uint64_t cross_region_attempts; /* attempts sent across regions */
    double report_link_bytes_per_s; /* reports across regions, a second */
    double first_server_share[Bnc_SHARE_STEPS]; /* of attempts that go to
                                                   server 0 */
    uint32_t ejected_max; /* rows ejected at once at one node */
} BncResult;

/* Run one case. */
void Bnc_Run(const BncCase *c, BncResult *result);

#endif
