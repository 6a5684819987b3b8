/* Set: the daemon's settings, read from one JSON file and checked as a whole
 * before anything starts.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "process/logger.h"
#include "value/addr.h"
#include "value/finding.h"
#include "value/instant.h"
#include "version/preset.h"

typedef struct {
    StrBuf name;
    StrBuf region;
    uint16_t region_number; /* of the first failure domain in that region */
} FailureDomain;

enum { Set_CURVE_KEYS_MAX = 8, Set_REPLICAS_MAX = 8 };

/* While a fleet goes from no CURVE keys to keys: how this node listens.  It
 * connects either way. */
typedef enum {
    Set_CURVE_UNCHANGED, /* no change: keys both ways, or none */
    Set_CURVE_UNKEYED,
    Set_CURVE_KEYED
} CurveChange;

/* Header fields as callers and backend servers know them; an empty name is not
 * used. */
typedef struct {
    StrBuf request_id;      /* of a caller's attempt, echoed by every answer */
    StrBuf deadline;        /* milliseconds that are left */
    StrBuf outcome;         /* in an answer: ran, not-run or unknown */
    StrBuf expect_instance; /* the instance that alone may run the request */
    StrBuf not_run;         /* in a backend server's answer: it did not run */
    StrBuf load;            /* in a backend server's answer: its own load */
    StrBuf origin_service;  /* the service of the VM where the request began */
    StrBuf origin_value;
} HeaderFieldNames;

/* Connections to node TO go to VIA, as through a proxy. */
typedef struct {
    Addr to;
    Addr via;
} NodeRoute;

typedef struct {
    StrBuf name;           /* of the node, in logs and the time line */
    Addr address;          /* ZeroMQ, towards other nodes */
    Addr callers;          /* HTTP, towards callers */
    Addr operators;        /* HTTP, towards operators and the backend server */
    uint16_t domain_index; /* number in domains */
    uint16_t region_number;
    FailureDomain *domains; /* the fleet's, the same list on every node */
    size_t domain_count;
    Addr ready;   /* HTTP, answers whether callers are taken; or none */
    Addr backend; /* that alone may be announced here; or none: any port */
    HeaderFieldNames header_fields;
    Addr *replicas; /* control replicas, the same list on every node; with
                       seeds: those known, Addr_NONE where none is */
    size_t replica_count;
    Addr *seeds; /* control replicas to begin with, perhaps not there now */
    size_t seed_count;
    bool begin_history; /* with seeds: they may begin the fleet's history */
    uint32_t control_voters; /* with seeds: control replicas that vote */
    NodeRoute *routes;
    size_t route_count;
    bool control;        /* carries the control replica role */
    StrBuf data_folder;  /* of a control replica */
    StrBuf record;       /* file for a trace of decisions; empty: none */
    StrBuf preset;       /* file, in force until the fleet agreed on one */
    StrBuf operator_key; /* needed for operators' requests */
    bool operators_open; /* without it */
    StrBuf curve_public; /* Z85; this node's; empty: no CURVE */
    StrBuf curve_secret;
    StrBuf curve_allowed[Set_CURVE_KEYS_MAX]; /* public keys let in */
    size_t curve_allowed_count;
    CurveChange curve_change;
    LogLevel log_level;
    uint32_t log_lines_per_s;
    Span heartbeat;      /* between records of a node */
    Span member_expiry;  /* a silent node goes after this */
    Span ping;           /* on a used connection that is silent */
    Span silence;        /* a used connection is given up after this */
    Span backend_expiry; /* a backend server that no longer announces */
    Span stop_bound;     /* for a graceful stop */
    Span stop_notice;    /* callers are still taken after its begin */
    Span ramp;           /* of a cold backend server */
    Span header_wait;    /* for the head of a caller's request */
    Span callers_idle;   /* a caller's connection without a request */
    Span operators_idle; /* an operators' connection without a word */
    uint32_t operators_connections_max;
    uint32_t header_bytes_max;
    uint32_t body_bytes_max;
} Settings;

void Set_Init(Settings *settings);
void Set_Finish(Settings *settings);

/* Read and check JSON; false with findings when anything is wrong. */
bool Set_Parse(Settings *settings, Str json, FindingList *findings);

/* Read and check the preset in FILE; false with findings when it cannot be
 * read or anything in it is wrong. */
bool Set_LoadPreset(Str file, Preset *preset, FindingList *findings);

/* Others than the owner may read FILE, which holds keys. */
bool Set_IsOpenToOthers(Str file);

/* Read the whole of FILE into OUT. */
bool Set_ReadFile(Str file, StrBuf *out, Err *err);

#endif
