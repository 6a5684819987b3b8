/* Set: the daemon's settings, read from one JSON file.
 *
 * Set_Parse checks the whole file before anything starts and reports all
 * findings together.  docs/OPERATING.md lists the keys and their defaults.
 * Most members of Settings have the name of their key, without the unit that
 * the key ends with.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "process/observe/logger.h"
#include "value/addr.h"
#include "value/finding.h"
#include "value/instant.h"
#include "version/preset.h"
#include "version/regionmask.h"

/* A set of VMs that may fail together. */
typedef struct {
    StrBuf name;
    StrBuf region;
    uint16_t region_number; /* index of the first failure domain in region */
} FailureDomain;

/* Set_REPLICAS_MAX is the number of slots in Settings.replicas with seeds. */
enum { Set_CURVE_KEYS_MAX = 8, Set_REPLICAS_MAX = 8 };

/* How this node listens while a fleet changes from no CURVE keys to keys, or
 * back.  During the change it connects with keys or without, as the other node
 * requires. */
typedef enum {
    Set_CURVE_UNCHANGED, /* no change: keys in both directions, or no keys */
    Set_CURVE_UNKEYED,   /* listens without keys */
    Set_CURVE_KEYED      /* listens with keys */
} CurveChange;

/* Names of the header fields in messages of callers and backend servers.  A
 * field whose name is empty is not used. */
typedef struct {
    StrBuf request_id;      /* of a caller's attempt; each answer repeats it */
    StrBuf deadline;        /* time left, in milliseconds */
    StrBuf outcome;         /* in an answer: ran, not-run or unknown */
    StrBuf expect_instance; /* only this instance may run the request */
    StrBuf not_run; /* in a backend server's answer: the request did not run */
    StrBuf load;    /* in a backend server's answer: its load */
    StrBuf origin_service; /* service of the VM where the request began */
    StrBuf origin_value;   /* value that comes with origin_service */
    StrBuf account;        /* the client account, for backend servers */
    StrBuf cold; /* in an answer about its health: for how many milliseconds
                    the backend server stays cold */
} HeaderFieldNames;

/* By how much the calls of an account may exceed its limit in any window. */
typedef struct {
    Span window;               /* 0: not stated */
    uint32_t overage_permille; /* of what the limit allows in a window */
    uint32_t slack;            /* calls on top of that */
} QuotaBounds;

/* The same for the calls that a cold backend server gets in a second. */
typedef struct {
    uint32_t overage_permille; /* of its rate; 1000: the rate itself */
    uint32_t slack;            /* calls on top of that */
} ColdBounds;

/* Connections to the node at TO are made to VIA instead, as through a
 * proxy. */
typedef struct {
    Addr to;
    Addr via;
} NodeRoute;

/* Settings owns its strings and arrays. */
typedef struct {
    StrBuf name;            /* of the node, in the log and the timeline */
    Addr address;           /* ZeroMQ, for other nodes */
    Addr callers;           /* HTTP, for callers */
    Addr operators;         /* HTTP, for operators and the backend server */
    uint16_t domain_index;  /* of this node's failure domain in domains */
    uint16_t region_number; /* of that failure domain */
    FailureDomain *domains; /* of the fleet; the same list on every node */
    size_t domain_count;
    Addr ready;   /* HTTP, answers whether callers are accepted; Addr_NONE:
                     not served */
    Addr backend; /* the only backend server that may be announced here;
                     Addr_NONE: any */
    HeaderFieldNames header_fields;
    Addr *replicas; /* control replicas; the same list on every node.  With
                       seeds: Set_REPLICAS_MAX slots for the known control
                       replicas, Addr_NONE in a free slot */
    size_t replica_count;
    Addr *seeds; /* addresses at which to look for control replicas at the
                    start; some may have no control replica now */
    size_t seed_count;       /* 0: the list of control replicas is fixed */
    bool begin_history;      /* with seeds: the fleet starts for the first
                                time, and the seeds may begin its history */
    uint32_t control_voters; /* with seeds: number of control replicas that
                                vote, at most */
    NodeRoute *routes;
    size_t route_count;
    bool control;        /* this node runs a control replica */
    StrBuf data_folder;  /* of the control replica */
    StrBuf record;       /* file for a trace of decisions; empty: no trace */
    StrBuf preset;       /* file; in force until the fleet has agreed on a
                            preset */
    StrBuf operator_key; /* required in requests of operators */
    bool operators_open; /* requests of operators need no key */
    StrBuf curve_public; /* key pair of this node as Z85 text; empty: this
                            node does not use CURVE */
    StrBuf curve_secret;
    StrBuf curve_allowed[Set_CURVE_KEYS_MAX]; /* public keys of the nodes that
                                                 may connect */
    size_t curve_allowed_count;
    CurveChange curve_change;
    LogLevel log_level;
    uint32_t log_lines_per_s; /* at most */
    Span heartbeat;      /* interval of a node's records to the replicas */
    Span member_expiry;  /* a node silent for this long is removed */
    Span ping;           /* silence on a used connection before a ping */
    Span silence;        /* silence on a used connection before a new
                            connection replaces it */
    Span backend_expiry; /* a backend server without an announcement for
                            this long is removed */
    Span stop_bound;     /* longest duration of a graceful stop */
    Span apply_bound;    /* within this a change of the configuration must be
                            in force at every node */
    Span revoke_bound;   /* within this no node serves a key that was taken
                            away; 0: not bounded */
    QuotaBounds quota;
    ColdBounds cold;
    Span stop_notice;    /* from the start of a graceful stop; for this
                            long, callers are still accepted */
    Span ramp;           /* slow start of a cold backend server */
    Span header_wait;    /* timeout for the head of a caller's request */
    Span callers_idle;   /* timeout of a caller's connection without a
                            request */
    Span operators_idle; /* timeout of an operator's connection on which
                            nothing is sent */
    uint32_t operators_connections_max;
    uint32_t header_bytes_max; /* head of one request */
    uint32_t body_bytes_max;   /* body of one caller's request */
    uint32_t memory_mb;        /* of this process, at most, in MiB; 0: what
                                  the machine has */
    uint32_t descriptors_max; /* open at a time; 0: the limit of the process */
} Settings;

/* Makes SETTINGS empty, with log level info. */
void Set_Init(Settings *settings);

/* Frees what SETTINGS owns and clears it. */
void Set_Finish(Settings *settings);

/* Reads JSON into SETTINGS, which Set_Init has prepared, and checks it.
 * Returns false when anything is wrong, and adds a finding for each fault.
 * SETTINGS is to be finished in either case. */
bool Set_Parse(Settings *settings, Str json, FindingList *findings);

/* Reads and checks the preset in FILE, and makes FILE the name of the input in
 * FINDINGS.  PRESET is overwritten, not freed.  Returns false, with findings
 * and an empty PRESET, when FILE can't be read or anything in it is wrong. */
bool Set_LoadPreset(Str file, Preset *preset, FindingList *findings);

/* Whether the mode of FILE gives its group or other users any permission.  To
 * warn about files that hold keys.  Returns false when FILE does not exist. */
bool Set_IsOpenToOthers(Str file);

/* Appends the content of FILE to OUT.  Returns false with ERR (may be NULL)
 * when FILE can't be opened or read, or when OUT reaches 4 MiB. */
bool Set_ReadFile(Str file, StrBuf *out, Err *err);

#endif
