/* Pst: presets, that is, the limits, budgets and routes that operators
 * configure.
 *
 * Exactly one preset is in force at any time.  Pst_Parse reads a preset from
 * JSON and checks all of it; afterwards it does not change, except for the
 * split positions of its routes: a new version is a new Preset.  Nodes look
 * up the route of each request with Pst_FindRoute.  Pst_Finish releases the
 * preset.  Limits have the names and units of their JSON keys, except times,
 * which are Spans.
 */
#ifndef PRESET_H
#define PRESET_H

#include "value/finding.h"
#include "value/instant.h"
#include "value/str.h"

/* A service that receives a share of a route's calls. */
typedef struct {
    StrBuf service;
    double weight; /* share: this weight divided by the route's sum */
} PresetSplitTarget;

/* The regions in which a call may be served. */
typedef struct {
    StrBuf *names; /* owned; NULL: any region */
    size_t count;
} PresetRegions;

/* Which calls a route selects, and how these calls are treated. */
typedef struct {
    /* The service of all calls; the first target when calls are split. */
    StrBuf service;
    PresetSplitTarget *split_targets; /* NULL: calls are not split */
    size_t split_target_count;
    /* Position in the sequence by which Spl_ChooseService splits calls; NULL
     * when calls are not split.  The only part of a preset that changes. */
    uint32_t *split_position;
    StrBuf name;         /* unique within the service */
    StrBuf host;         /* empty: any */
    StrBuf method;       /* empty: any */
    StrBuf path;         /* path prefix that selects the route */
    StrBuf key_header;   /* header of the idempotency key; empty: none */
    bool is_interactive; /* a user waits: shed last, stays in its region */
    bool is_idempotent;  /* a call may run again without harm */
    bool is_bulk;        /* its answers are large */
    bool is_public;      /* a call needs no key of an account */
    PresetRegions regions;
    Span deadline; /* the maximum, and the default for callers */
    /* An answer within this time has the most value; 0: not set. */
    Span latency_objective;
    uint32_t priority; /* 0: most urgent */
    /* Backend servers that one call may try; 0: attempts_max of the limits. */
    uint32_t attempts_max;
} PresetRoute;

/* Bounds on what callers send; 0: the value from the node's settings. */
typedef struct {
    uint32_t header_bytes_max;
    uint32_t body_bytes_max;
    Span header_timeout; /* from a request's first byte to its header's end */
    Span idle_timeout;   /* between two requests of a connection */
} PresetCallerLimits;

/* A service that the routing names. */
typedef struct {
    StrBuf name;
    StrBuf health_path;       /* empty: not set */
    uint32_t connections_max; /* to one backend server; 0: not set */
    Span cold_start;          /* how long a backend server is cold */
    uint32_t cold_per_s;      /* requests a second that a cold one bears; 0: no
                                 bound */
} PresetService;

/* A client account: whose keys it has, and what it may use. */
typedef struct {
    StrBuf name;  /* passed to backend servers in place of the key */
    StrBuf *keys; /* owned */
    size_t key_count;
    bool has_priority; /* PRIORITY goes before that of the route */
    uint32_t priority; /* 0: most urgent */
    uint32_t per_s;    /* calls a second, over all nodes; 0: no limit */
    uint32_t burst;    /* calls beyond the rate, over all nodes */
    PresetRegions regions;
} PresetAccount;

/* Limits and budgets of the whole system. */
typedef struct {
    uint32_t measure_bytes_per_s;  /* all load probes of one node */
    uint32_t measure_cpu_permille; /* CPU time for load probes */
    uint32_t link_bytes_per_s;     /* from one node to other regions */
    uint32_t link_price_us;   /* penalty added to waits in other regions */
    uint32_t domain_price_us; /* the same for other failure domains */
    uint32_t retry_permille;  /* retries per 1000 calls of each service */
    uint32_t retry_burst; /* retries at once, each service, over all nodes */
    /* Hedges per 1000 calls of each service; 0: no hedges. */
    uint32_t hedge_permille;
    uint32_t attempts_max;      /* attempts of one call, including the first */
    uint32_t queue_max;         /* calls waiting at one backend server */
    uint32_t patient_queue_max; /* of these, calls that aren't interactive */
    Span answer_time_max;       /* from an answer's first byte to its last */
    Span key_retention;         /* how long a key's outcome is kept */
    uint32_t suspect_losses_max; /* backend servers one request may crash */
    Span suspect_hold_time;      /* until a stopped request may run again */
} PresetLimits;

typedef struct {
    StrBuf name;
    PresetLimits limits;
    PresetRoute *routes; /* the preset's own, then those of the routing */
    size_t route_count;
    /* From the routing that operators sent, see routing.h. */
    uint64_t routing_revision; /* 0: no routing was sent */
    PresetService *services;
    size_t service_count;
    PresetCallerLimits caller_limits;
    PresetAccount *accounts; /* NULL: callers need no key */
    size_t account_count;
} Preset;

/* Makes PRESET empty. */
void Pst_Init(Preset *preset);

/* Frees what PRESET owns and leaves it empty. */
void Pst_Finish(Preset *preset);

/* Reads and checks JSON into PRESET, whose old value is overwritten, not
 * freed.  On any finding PRESET is left empty and the result is false. */
bool Pst_Parse(Preset *preset, Str json, FindingList *findings);

/* Returns the route of a request: the longest path prefix wins, then a route
 * with a method; NULL when no route matches.  PRESET owns the route. */
const PresetRoute *Pst_FindRoute(const Preset *preset, Str host, Str method,
                                 Str path);

/* Whether some route splits its calls between services A and B. */
bool Pst_HasSplitBetween(const Preset *preset, Str a, Str b);

/* Returns the service NAME of the routing; NULL when there is none. */
const PresetService *Pst_FindService(const Preset *preset, Str name);

/* Whether a route or the routing names a service: SERVICE, or any at all. */
bool Pst_NamesService(const Preset *preset, Str service);
bool Pst_NamesAnyService(const Preset *preset);

/* Whether REGION is one of REGIONS, or REGIONS are not bounded. */
bool Pst_AllowsRegion(const PresetRegions *regions, Str region);

/* Whether a route or an account is bound to regions. */
bool Pst_HasBoundCalls(const Preset *preset);

/* Free what they own, but not themselves. */
void Pst_FinishRoute(PresetRoute *route);
void Pst_FinishRegions(PresetRegions *regions);
void Pst_FinishAccount(PresetAccount *account);

#endif
