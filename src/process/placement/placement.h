/* Plc: chooses the backend server that takes one attempt (one try of a
 * caller's request).
 *
 * A node has one PlacementTable for each service, with a row for each backend
 * server that it keeps (see subset.h): the last load report, this node's
 * attempts in flight, and decayed sums over earlier attempts.  The caller
 * reports news with Plc_SetBackend, Plc_RemoveBackend and the Plc_On
 * functions.  Plc_Choose estimates the time to an answer for a sample of rows
 * and returns the row with the least (see placementpolicy.h).  This module
 * uses no socket, clock or file.
 *
 * Outlier ejection: a backend server that fails attempts is ejected.  It gets
 * no attempt for a back-off time, then one trial attempt at a time until some
 * in a row succeed.  At most half of the rows are ejected at once.  A backend
 * server that is not ejected, but too expensive to be chosen because of its
 * failures, gets trial attempts as well.
 *
 * Sources: M. Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001; B. Wydrowski et al., "Load is not what you should
 * balance: introducing Prequal", NSDI 2024; the decay of weights with age
 * follows Z. Li, G. Simon, A. Gravey, "Caching Policies for In-Network
 * Caching".
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/load.h"
#include "value/rng.h"
#include "version/regionmask.h"

typedef enum {
    Plc_LEAST_WAIT = 0, /* least expected time to an answer, among a
                           sample of rows */
    Plc_RANDOM,         /* this and the others only for comparison */
    Plc_ROUND_ROBIN,
    Plc_LEAST_IN_FLIGHT, /* fewest attempts of this node in flight */
    Plc_TWO_CHOICES      /* the same, among two rows chosen at random */
} PlacementPolicy;

typedef enum {
    Plc_CHOSEN,    /* a row was chosen */
    Plc_ALL_FULL,  /* every candidate is full: the call fails early */
    Plc_NO_BACKEND /* no backend server that takes work is known */
} PlacementVerdict;

typedef enum {
    Plc_ANSWERED,  /* the whole answer arrived */
    Plc_FAILED,    /* the backend server answered with an error */
    Plc_REFUSED,   /* the node beside it refused: the attempt did not run */
    Plc_NO_ANSWER, /* none within the time limit, or a later attempt of the
                      call was answered first */
    Plc_CANCELLED
} AttemptResult;

/* Which node a backend server is beside, and where. */
typedef struct {
    Addr node;            /* the node beside the backend server */
    uint64_t incarnation; /* of that node's process */
    uint16_t region;
    uint16_t domain; /* failure domain */
} BackendLocation;

/* What this node knows about one backend server. */
typedef struct {
    BackendLocation location;
    LoadReport load;
    Instant load_received_at;   /* when LOAD arrived */
    uint32_t in_flight;         /* attempts of this node not answered yet */
    uint32_t sent_since_report; /* attempts sent since the last report */
    /* Sums whose terms lose weight with age, see Plc_DecayRow. */
    Instant decayed_at;   /* time up to which the sums are decayed */
    double answered;      /* attempts that were answered, with any status */
    double unanswered_us; /* time for which attempts waited for an answer */
    double outcomes;      /* attempts that succeeded or failed */
    double failures;      /* of these, the failed ones */
    /* Ejection. */
    Instant ejected_until;   /* no attempt before this time */
    uint32_t ejections;      /* in a row, up to a bound */
    bool ejected;            /* until enough trial attempts have succeeded */
    uint32_t trials_passed;  /* in a row */
    bool trial_in_flight;    /* the attempt in flight is a trial attempt */
    Instant last_attempt_at; /* 0: never */
    Instant last_probe_at;   /* 0: never */
    Instant full_until;      /* the node had no room for an attempt: no
                                attempt before this time */
} BackendRow;

typedef struct {
    PlacementPolicy policy;
    uint16_t region;      /* of this node */
    uint16_t domain;      /* failure domain of this node */
    Span domain_penalty;  /* cost of leaving the failure domain */
    Span region_penalty;  /* cost of leaving the region */
    uint32_t sample_size; /* local rows compared for one attempt */
    /* Length from which a queue is full for interactive and for patient
     * requests; 0: never. */
    uint32_t queue_max;
    uint32_t patient_queue_max;
} PlacementSettings;

/* The backend servers of one service, as this node knows them. */
typedef struct {
    PlacementSettings settings;
    Rng *rng;         /* the caller's */
    BackendRow *rows; /* owned by the table */
    size_t row_count;
    size_t row_capacity;
    size_t next_round_robin; /* row to try next; modulo row_count */
} PlacementTable;

/* An attempt to be placed. */
typedef struct {
    bool interactive;
    bool local_only;       /* other regions are not allowed */
    bool avoid_slow;       /* no backend server with a recent report of being
                              slow */
    RegionMask barred;     /* regions in which it may not run */
    Span time_left;        /* until the deadline */
    const Addr *excluded;  /* nodes that had an attempt of the call or
                              refused it */
    size_t excluded_count; /* 0 for the first attempt of a call */
} PlacementRequest;

void Plc_Init(PlacementTable *table, const PlacementSettings *settings,
              Rng *rng);

/* Frees the rows. */
void Plc_Finish(PlacementTable *table);

void Plc_SetSettings(PlacementTable *table, const PlacementSettings *settings);

/* Adds a backend server or updates its row; a new incarnation resets the row.
 * LOAD comes with the membership record and is used only when the row has no
 * fresher report. */
void Plc_SetBackend(PlacementTable *table, const BackendLocation *location,
                    const LoadReport *load, Instant now);

/* Returns true when a row was removed. */
bool Plc_RemoveBackend(PlacementTable *table, Addr node);

/* Whether the table has a row of NODE. */
bool Plc_HasBackend(const PlacementTable *table, Addr node);

/* A load report arrived, piggybacked on an answer or in reply to a probe.
 * This function and the next ones ignore unknown nodes. */
void Plc_OnLoadReport(PlacementTable *table, Addr node, const LoadReport *load,
                      Instant now);
void Plc_OnAttemptStart(PlacementTable *table, Addr node, Instant now);

/* NODE refused an attempt for lack of room, or the attempt could not be sent
 * to it: NODE gets no attempt for a short time. */
void Plc_OnQueueFull(PlacementTable *table, Addr node, Instant now);

/* An attempt ended with RESULT, DURATION after its start. */
void Plc_OnAttemptEnd(PlacementTable *table, Addr node, AttemptResult result,
                      Span duration, Instant now);

/* Decays the sums of ROW from decayed_at to NOW. */
void Plc_DecayRow(BackendRow *row, Instant now);

/* True when a backend server outside the BARRED regions has slots and does not
 * drain. */
bool Plc_HasAllowedBackend(const PlacementTable *table, RegionMask barred);

/* True when a backend server of this region has slots and does not drain. */
bool Plc_HasLocalBackend(const PlacementTable *table);

/* True when a recent report of a backend server of this region says that it is
 * slow. */
bool Plc_HasSlowLocalBackend(const PlacementTable *table, Instant now);

/* Whether NODE's backend server can take an attempt that isn't needed: it has
 * no queue and a free slot, and a share of the slots of its region is free. */
bool Plc_HasSpareRoom(const PlacementTable *table, Addr node);

/* Chooses a backend server for one attempt.  *ROW is set to its row, valid
 * until the table changes, or to NULL unless the verdict is Plc_CHOSEN. */
PlacementVerdict Plc_Choose(PlacementTable *table,
                            const PlacementRequest *request, Instant now,
                            const BackendRow **row);

#endif
