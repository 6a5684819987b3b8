/* Plc, the placement decider: which backend server takes one attempt.
 *
 * One Plc per service.  It keeps a row for each backend server it knows: the
 * last load report with its age, and the attempts of this node that are not
 * answered yet.  Plc_Choose prices the expected wait of a sample of rows and
 * answers with the cheapest.  No socket, clock or file in here.
 *
 * Sources: M. Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001; B. Wydrowski et al., "Load is not what you should
 * balance: introducing Prequal", NSDI 2024.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/load.h"
#include "value/rng.h"

typedef enum {
    Plc_LEAST_WAIT = 0, /* ours: expected wait, sampled */
    Plc_RANDOM,         /* the rest are baselines to measure against */
    Plc_ROUND_ROBIN,
    Plc_LEAST_MINE, /* least attempts in flight known to this node */
    Plc_TWO_CHOICES /* two choices by this node's own attempts */
} PlcPolicy;

typedef enum {
    Plc_CHOSEN, /* row gives the backend server */
    Plc_SHED,   /* every candidate is full: answer early */
    Plc_NOBODY  /* no backend server of the service is known */
} PlcVerdict;

typedef enum {
    Plc_ANSWERED, /* whole answer */
    Plc_FAILED,   /* the backend server answered with an error of its own */
    Plc_REFUSED,  /* the node beside it refused: did not run */
    Plc_SILENT,   /* no answer within the bound */
    Plc_CANCELLED
} PlcEnd;

typedef struct {
    Addr node; /* beside the backend server */
    uint64_t incarnation;
    uint16_t region;
    uint16_t domain;
} PlcPlace;

typedef struct {
    PlcPlace place;
    LoadReport load;
    Instant load_at;     /* when the report arrived */
    uint32_t mine;       /* attempts of this node not answered yet */
    uint32_t since;      /* attempts sent since the last report */
    double failure;      /* decayed share of failed attempts, 0 to 1 */
    Instant failure_at;  /* last update of failure */
    double latency_us;   /* smoothed time to answer seen by this node */
    Instant eject_until; /* no load but a trial before this */
    uint32_t eject_count;
    Instant trial_at; /* last trial while ejected */
} PlcRow;

typedef struct {
    PlcPolicy policy;
    uint16_t region; /* of this node */
    uint16_t domain;
    Span domain_price; /* added to the wait outside the failure domain */
    Span region_price; /* added to the wait outside the region */
    uint32_t sample;   /* rows compared for one attempt */
    uint32_t queue_max;
    uint32_t patient_queue_max;
} PlcSettings;

typedef struct {
    PlcSettings settings;
    Rng *rng;
    PlcRow *rows;
    size_t count;
    size_t cap;
    size_t round; /* round robin */
} Plc;

typedef struct {
    bool interactive;
    Span left;          /* until the deadline */
    const Addr *tried;  /* nodes not to be chosen again for this call */
    size_t tried_count; /* of them */
} PlcAsk;

void Plc_Init(Plc *plc, const PlcSettings *settings, Rng *rng);
void Plc_Finish(Plc *plc);
void Plc_SetSettings(Plc *plc, const PlcSettings *settings);

/* Add or refresh a backend server; another incarnation starts a new row. */
void Plc_SetPlace(Plc *plc, const PlcPlace *place, const LoadReport *load,
                  Instant now);
void Plc_DropPlace(Plc *plc, Addr node);

/* A load report that rode on an answer or came by probe. */
void Plc_OnReport(Plc *plc, Addr node, const LoadReport *load, Instant now);
void Plc_OnStart(Plc *plc, Addr node, Instant now);
void Plc_OnEnd(Plc *plc, Addr node, PlcEnd end, Span took, Instant now);

/* Choose for one attempt; *ROW is valid until the next change. */
PlcVerdict Plc_Choose(Plc *plc, const PlcAsk *ask, Instant now,
                      const PlcRow **row);

#endif
