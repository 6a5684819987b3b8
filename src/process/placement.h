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
    Instant load_at; /* when the report arrived */
    uint32_t mine;   /* attempts of this node not answered yet */
    uint32_t since;  /* attempts sent since the last report */
    /* Sums whose parts lose weight with age. */
    Instant weighed_at;
    double ends;      /* attempts answered */
    double waited_us; /* time that attempts spent unanswered */
    double outcomes;  /* attempts that ended well or badly */
    double failures;  /* of these, badly */
    /* Ejection. */
    Instant eject_until; /* no load at all before this */
    uint32_t eject_count;
    bool on_trial; /* ejected, and not proved good again */
    uint32_t trial_good;
    bool trying;        /* the attempt in flight is a trial */
    Instant started_at; /* last attempt */
    Instant probed_at;  /* last probe */
    Instant full_until; /* it turned an attempt back: none before this */
} PlcRow;

typedef struct {
    PlcPolicy policy;
    Addr self;       /* this node: its share of a large service differs */
    uint16_t region; /* of this node */
    uint16_t domain;
    Span domain_price; /* added to the wait outside the failure domain */
    Span region_price; /* added to the wait outside the region */
    uint32_t sample;   /* rows of the region compared for one attempt */
    uint32_t rows_max; /* backend servers known at most; 0: no bound */
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
    bool home_only;     /* the link is not for this call now */
    bool avoid_slow;    /* none where work takes long, as said lately */
    Span left;          /* until the deadline */
    const Addr *tried;  /* nodes not to be chosen again for this call */
    size_t tried_count; /* of them */
} PlcAsk;

void Plc_Init(Plc *plc, const PlcSettings *settings, Rng *rng);
void Plc_Finish(Plc *plc);
void Plc_SetSettings(Plc *plc, const PlcSettings *settings);

/* Add or refresh a backend server; another incarnation starts a new row.  A
 * load that came with membership counts only where no fresher report is.
 * With rows_max rows, the failure domain with most rows gives up the one of
 * least rendezvous weight, so that each node keeps a subset of its own. */
void Plc_SetPlace(Plc *plc, const PlcPlace *place, const LoadReport *load,
                  Instant now);
void Plc_DropPlace(Plc *plc, Addr node);

/* A load report that rode on an answer or came by probe. */
void Plc_OnReport(Plc *plc, Addr node, const LoadReport *load, Instant now);
void Plc_OnStart(Plc *plc, Addr node, Instant now);
/* NODE turned an attempt back for want of room. */
void Plc_OnFull(Plc *plc, Addr node, Instant now);
void Plc_OnEnd(Plc *plc, Addr node, PlcEnd end, Span took, Instant now);

/* Bring the decayed sums of ROW up to NOW. */
void Plc_Weigh(PlcRow *row, Instant now);

/* Some backend server of this node's region takes work, now or later. */
bool Plc_HasHome(const Plc *plc);

/* One of them is only slow at this moment. */
bool Plc_HasSlowHome(const Plc *plc, Instant now);

/* Choose for one attempt; *ROW is valid until the next change. */
PlcVerdict Plc_Choose(Plc *plc, const PlcAsk *ask, Instant now,
                      const PlcRow **row);

#endif
