/* Preset: the operators' choice of limits, budgets and classes.
 *
 * Exactly one preset is in force at any time.  It is read from JSON, checked
 * as a whole, and never changed afterwards: a new version is a new Preset.
 */
#ifndef PRESET_H
#define PRESET_H

#include "value/finding.h"
#include "value/instant.h"
#include "value/str.h"

/* A service that gets a share of a route's calls. */
typedef struct {
    StrBuf service;
    double weight; /* by those of the other parts */
} PresetSplitTarget;

/* How calls of one route are treated. */
typedef struct {
    StrBuf service; /* of the first part, when there are any */
    PresetSplitTarget *split_targets; /* none: all calls go to the service */
    size_t split_target_count;
    uint32_t *split_position; /* calls split so far, counted by who splits */
    StrBuf name;              /* name, unique within the service */
    StrBuf host;              /* empty: any */
    StrBuf method;            /* empty: any */
    StrBuf path;              /* path prefix that selects the route */
    StrBuf key_header;   /* names the caller's idempotency key; empty: none */
    bool is_interactive; /* someone waits: shed last, keeps to its region */
    bool is_idempotent;  /* may run again without harm */
    Span deadline;       /* the longest, and when the caller states none */
    Span latency_objective; /* an answer within it is worth most; 0: none
                               stated */
    uint32_t priority;      /* 0: most urgent */
    uint32_t attempts_max;  /* backend servers of one call; 0: the limits' */
} PresetRoute;

/* Bounds on what callers send; 0: the settings'. */
typedef struct {
    uint32_t header_bytes_max;
    uint32_t body_bytes_max;
    Span header_timeout; /* from a request's first byte to the end of its head
                          */
    Span idle_timeout;   /* between two requests of a connection */
} PresetCallerLimits;

typedef struct {
    StrBuf name;
    StrBuf health_path;
    uint32_t connections_max; /* to one backend server; 0: not stated */
} PresetService;

typedef struct {
    uint32_t measure_bytes_per_s; /* all measuring messages of one node */
    uint32_t measure_cpu_permille;
    uint32_t link_bytes_per_s;   /* what one node may send across regions */
    uint32_t link_price_us;      /* added to a wait across regions */
    uint32_t domain_price_us;    /* added to a wait across failure domains */
    uint32_t retry_permille;     /* retries by calls, each service */
    uint32_t retry_burst;        /* at once, each service, over all nodes */
    uint32_t hedge_permille;     /* hedges by calls, each service; 0: none */
    Span hedge_delay;            /* without an answer; 0: no hedges */
    uint32_t attempts_max;       /* attempts of one call, the first counted */
    uint32_t queue_max;          /* calls waiting at one backend server */
    uint32_t patient_queue_max;  /* of these, calls that are not interactive */
    Span answer_time_max;        /* from an answer's first byte to its last */
    Span key_retention;          /* how long a key's outcome is kept */
    uint32_t suspect_losses_max; /* backend servers one request may crash */
    Span suspect_hold_time;      /* until a stopped request may run again */
} PresetLimits;

typedef struct {
    StrBuf name;
    PresetLimits limits;
    PresetRoute *routes;
    size_t route_count;
    /* Of the routing that operators sent, see routing.h. */
    uint64_t routing_revision; /* 0: none was sent */
    PresetService *services;
    size_t service_count;
    PresetCallerLimits caller_limits;
} Preset;

void Pst_Init(Preset *preset);
void Pst_Finish(Preset *preset);

/* Read and check JSON.  On any finding PRESET is left empty and the result
 * is false. */
bool Pst_Parse(Preset *preset, Str json, FindingList *findings);

/* The route of a request, the longest path prefix first; NULL when none. */
const PresetRoute *Pst_FindRoute(const Preset *preset, Str host, Str method,
                                 Str path);

/* Calls of one route may go to either service. */
bool Pst_HasSplitBetween(const Preset *preset, Str a, Str b);

/* NULL when the routing names none such. */
const PresetService *Pst_FindService(const Preset *preset, Str name);

void Pst_FinishRoute(PresetRoute *route);

#endif
