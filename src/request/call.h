/* Call: one caller's request at the ingress node, from its arrival to the end
 * of its answer.
 *
 * A front end passes a CallRequest to Call_Start and receives the answer
 * through a CallSink; this module knows nothing of HTTP.  Each call chooses a
 * backend server, sends an attempt to the node beside that server, and retries
 * as the retry decider allows.  A call with an idempotency key is claimed at
 * the key register acceptors before each attempt.  An attempt that may have
 * run is fenced before its outcome is reported.  An idempotent call at the
 * root of its call tree may be hedged: two attempts are then in flight until
 * one of them begins to answer.
 */
#ifndef CALL_H
#define CALL_H

#include "connection/callmsg.h"
#include "process/control/versionword.h"
#include "process/lifecycle/ownpause.h"
#include "process/net.h"
#include "process/observe/counters.h"
#include "process/observe/latency.h"
#include "process/observe/timeline.h"
#include "process/placement/linkbudget.h"
#include "process/placement/services.h"
#include "process/suspects/suspectsync.h"
#include "request/duration.h"
#include "request/field.h"
#include "request/keyed.h"
#include "request/nesting.h"
#include "value/bodybuf.h"
#include "value/list.h"
#include "version/sharedpreset.h"

typedef enum {
    Call_ANSWERED,  /* the sink got the whole answer */
    Call_NOT_RUN,   /* the call did not run and never will */
    Call_UNKNOWN,   /* the call may have run */
    Call_TRUNCATED, /* the answer was cut off after its first piece */
    /* the call with this idempotency key ran; its answer is no longer kept */
    Call_ANSWER_NOT_KEPT
} CallOutcome;

typedef enum {
    Call_REASON_NONE,
    Call_REASON_NO_ROUTE,     /* no route of the preset matches */
    Call_REASON_NO_BACKEND,   /* no backend server of the service is known */
    Call_REASON_OVERLOAD,     /* no backend server has room */
    Call_REASON_DEADLINE,     /* the deadline passed */
    Call_REASON_KEY_TOO_LONG, /* the idempotency key is too long */
    Call_REASON_KEY_MISMATCH, /* the key was used for another request */
    Call_REASON_SUSPECT,      /* blamed for crashes of backend servers */
    Call_REASON_VERSION,      /* the preset in force is not confirmed, or so
                                 long ago that a route may be missing */
    Call_REASON_NO_ACCOUNT,   /* the key is no account's */
    Call_REASON_STOPPING      /* this node stops too soon to finish it */
} CallReason;

/* The caller's request.  The front end owns the strings and keeps them valid
 * until CallSink.on_end returns or Call_Cancel is called. */
typedef struct {
    Str request_id;
    Str host; /* without port; empty: not given */
    Str method;
    Str target;     /* path and query */
    Str credential; /* key of a client account; empty: not given */
    FieldList fields;
    Str body;
    BodyBuf *body_buf; /* holds the body; NULL: it is copied to be sent */
    Span timeout;      /* given by the caller; 0: use the route's */
} CallRequest;

/* Callbacks of the front end that receive the answer: on_head once, on_body
 * any number of times, on_end last.  on_end alone ends a call that has no
 * answer. */
typedef struct {
    void *context;
    void (*on_head)(void *context, uint16_t status, const FieldList *fields);
    /* A part of the body.  The front end reports consumed bytes with
     * Call_OnConsumed, which opens the flow control window. */
    void (*on_body)(void *context, Str bytes);
    /* The call ended; the Call is freed when this is called. */
    void (*on_end)(void *context, CallOutcome outcome, CallReason reason);
    /* Whether finished answers of the same connection wait for this one.
     * NULL: they never do. */
    bool (*is_blocking)(void *context);
} CallSink;

typedef struct Call Call;

/* All calls in flight at this ingress node, and what they share.  The modules
 * behind the pointers are owned by the caller of Call_DispatcherInit. */
typedef struct {
    Net *net;
    Counters *counters;
    LatencyHistograms *latencies;
    Logger *logger;
    Timeline *timeline;
    Services *services;
    const SuspectSync *suspects;
    /* The preset in force.  The node holds one reference to it, and each call
     * one of its own. */
    SharedPreset *in_force;
    /* in_force is confirmed as current; false: calls are refused */
    bool version_confirmed;
    const OwnPause *own_pause; /* set by the node */
    /* Set by the node: how old what it knows of in_force is, and the time
     * within which a change must be in force everywhere. */
    const VersionWord *version_word;
    Span apply_bound;
    /* Set by the node: the time within which a key that was taken away is
     * served nowhere, 0: not bounded; and the name of the field that names the
     * account to backend servers, empty: none. */
    Span revoke_bound;
    Str account_field;
    bool stops_starting;      /* no further attempt starts, but for nested
                                 calls */
    bool stops_nested;        /* nor does one for them */
    uint64_t incarnation;     /* of this node */
    uint64_t attempt_counter; /* last counter used in an AttemptId */
    ClaimClient key_claims;
    LinkBudget link_budget; /* bytes between regions */
    RouteDurations durations;
    NestingDetector nesting;
    /* Whether the backend server beside this node has a request running that
     * may run until DEADLINE or longer; NULL: not known.  Both members are
     * set by the node. */
    void *enclosing_run_context;
    bool (*has_enclosing_run)(void *context, Instant deadline);
    /* Takes a request from the quota of ACCOUNT for a hedge; false: there is
     * none left.  NULL: accounts have no quota.  Set by the node. */
    void *quota_context;
    bool (*take_quota)(void *context, const PresetAccount *account,
                       Instant now);
    HashTable attempts_by_id;
    List calls; /* in flight, the latest first */
} CallDispatcher;

/* Registers the handlers of messages about attempts at NET. */
void Call_DispatcherInit(CallDispatcher *dispatcher, Net *net,
                         Counters *counters, Timeline *timeline,
                         LatencyHistograms *latencies, Services *services,
                         const SuspectSync *suspects, const Settings *settings,
                         uint64_t incarnation);

/* Frees all calls without calling their sinks. */
void Call_DispatcherFinish(CallDispatcher *dispatcher);

/* Starts a call for REQUEST.  HANDLE is set to it, and to NULL when it is
 * freed, which is before on_end; that, or Call_Cancel, is the last time that
 * HANDLE is written to.  The sink may be called, and the call end, before this
 * function returns.  The sink is copied. */
void Call_Start(CallDispatcher *dispatcher, const CallRequest *request,
                const CallSink *sink, Call **handle, Instant now);

/* Whether the route of a request with this host, method and target is
 * idempotent, by the preset that this node has; false when no route matches.
 */
bool Call_IsIdempotent(const CallDispatcher *dispatcher, Str host, Str method,
                       Str target);

/* The caller consumed BYTES more of the answer's body. */
void Call_OnConsumed(Call *call, uint32_t bytes, Instant now);

/* The caller disconnected.  Cancels the attempts and frees CALL; the sink is
 * not called again. */
void Call_Cancel(Call *call, Instant now);

/* This node stops soon: from now on, calls that are not nested start no
 * attempt; with NESTED_TOO, none does.  Those that wait, here or in the queue
 * of a backend server, end as not run; those that run go on.  A second call of
 * this has no effect. */
void Call_StopStarting(CallDispatcher *dispatcher, bool nested_too,
                       Instant now);

/* Handles deadlines, waiting calls and hedges that are due; called at each
 * tick of the node's timer. */
void Call_DispatcherTick(CallDispatcher *dispatcher, Instant now);

#endif
