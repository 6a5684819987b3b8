/* Plc, the placement decider: which backend server takes one attempt.
 *
 * One Plc per service.  It keeps a row for each backend server it knows: the
 * last load report with its age, the attempts of this node that are not
 * answered yet, and decayed sums of what became of earlier ones.  Plc_Choose
 * prices the expected time to an answer for a sample of rows and answers with
 * the cheapest (see policy.h).  No socket, clock or file in here.
 *
 * A backend server that fails what it is given is ejected: it gets nothing for
 * a while, then one trial at a time until some in a row were good.  Never are
 * more than half of the rows ejected.  One that failed and is too dear to be
 * chosen gets trials as well.
 *
 * Sources: M. Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001; B. Wydrowski et al., "Load is not what you should
 * balance: introducing Prequal", NSDI 2024; the weight that falls with age is
 * that of Z. Li, G. Simon, A. Gravey, "Caching Policies for In-Network
 * Caching".
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
    Plc_LEAST_IN_FLIGHT, /* least attempts in flight known to this node */
    Plc_TWO_CHOICES      /* two choices by this node's own attempts */
} PlacementPolicy;

typedef enum {
    Plc_CHOSEN,    /* row gives the backend server */
    Plc_ALL_FULL,  /* every candidate is full: answer early */
    Plc_NO_BACKEND /* no backend server of the service is known */
} PlacementVerdict;

typedef enum {
    Plc_ANSWERED,  /* whole answer */
    Plc_FAILED,    /* the backend server answered with an error of its own */
    Plc_REFUSED,   /* the node beside it refused: did not run */
    Plc_NO_ANSWER, /* no answer within the bound */
    Plc_CANCELLED
} AttemptResult;

typedef struct {
    Addr node; /* beside the backend server */
    uint64_t incarnation;
    uint16_t region;
    uint16_t domain;
} BackendLocation;

typedef struct {
    BackendLocation location;
    LoadReport load;
    Instant load_received_at;   /* when the report arrived */
    uint32_t in_flight;         /* attempts of this node not answered yet */
    uint32_t sent_since_report; /* attempts sent since the last report */
    /* Sums whose parts lose weight with age. */
    Instant decayed_at;
    double answered;      /* attempts answered */
    double unanswered_us; /* time that attempts spent unanswered */
    double outcomes;      /* attempts that ended well or badly */
    double failures;      /* of these, badly */
    /* Ejection. */
    Instant ejected_until; /* no load at all before this */
    uint32_t ejections;
    bool ejected; /* ejected, and not proved good again */
    uint32_t trials_passed;
    bool trial_in_flight;    /* the attempt in flight is a trial */
    Instant last_attempt_at; /* last attempt */
    Instant last_probe_at;   /* last probe */
    Instant full_until;      /* it turned an attempt back: none before this */
} BackendRow;

typedef struct {
    PlacementPolicy policy;
    Addr self;       /* this node: its share of a large service differs */
    uint16_t region; /* of this node */
    uint16_t domain;
    Span domain_penalty;  /* added to the wait outside the failure domain */
    Span region_penalty;  /* added to the wait outside the region */
    uint32_t sample_size; /* rows of the region compared for one attempt */
    uint32_t rows_max;    /* backend servers known at most; 0: no bound */
    uint32_t queue_max;
    uint32_t patient_queue_max;
} PlacementSettings;

typedef struct {
    PlacementSettings settings;
    Rng *rng;
    BackendRow *rows;
    size_t row_count;
    size_t row_capacity;
    size_t next_round_robin; /* round robin */
} PlacementTable;

typedef struct {
    bool interactive;
    bool local_only;       /* the link is not for this call now */
    bool avoid_slow;       /* none where work takes long, as said lately */
    Span time_left;        /* until the deadline */
    const Addr *excluded;  /* nodes not to be chosen again for this call */
    size_t excluded_count; /* of them */
} PlacementRequest;

void Plc_Init(PlacementTable *plc, const PlacementSettings *settings,
              Rng *rng);
void Plc_Finish(PlacementTable *plc);
void Plc_SetSettings(PlacementTable *plc, const PlacementSettings *settings);

/* Add or refresh a backend server; another incarnation starts a new row.  A
 * load that came with membership counts only where no fresher report is.
 * With rows_max rows, the failure domain with most rows gives up the one of
 * least rendezvous weight, so that each node keeps a subset of its own. */
void Plc_SetBackend(PlacementTable *plc, const BackendLocation *place,
                    const LoadReport *load, Instant now);
void Plc_RemoveBackend(PlacementTable *plc, Addr node);

/* A load report that rode on an answer or came by probe. */
void Plc_OnLoadReport(PlacementTable *plc, Addr node, const LoadReport *load,
                      Instant now);
void Plc_OnAttemptStart(PlacementTable *plc, Addr node, Instant now);
/* NODE turned an attempt back for want of room. */
void Plc_OnQueueFull(PlacementTable *plc, Addr node, Instant now);
void Plc_OnAttemptEnd(PlacementTable *plc, Addr node, AttemptResult end,
                      Span took, Instant now);

/* Bring the decayed sums of ROW up to NOW. */
void Plc_DecayRow(BackendRow *row, Instant now);

/* Some backend server of this node's region takes work, now or later. */
bool Plc_HasLocalBackend(const PlacementTable *plc);

/* One of them is only slow at this moment. */
bool Plc_HasSlowLocalBackend(const PlacementTable *plc, Instant now);

/* Choose for one attempt; *ROW is valid until the next change. */
PlacementVerdict Plc_Choose(PlacementTable *plc, const PlacementRequest *ask,
                            Instant now, const BackendRow **row);

#endif
