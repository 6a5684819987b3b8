/* Call: one caller's request at the ingress node, from its arrival to the end
 * of its answer.
 *
 * A Call drives the placement and retry deciders and talks to the node beside
 * the chosen backend server.  A call with a key is claimed at the holders of
 * key registers before each attempt.  An attempt that may have run is fenced
 * before anything else is said of it.  An idempotent call at the root of its
 * tree may be hedged: two attempts are in flight then until one of them begins
 * to answer.  It knows nothing of HTTP: a front end
 * hands in a CallRequest and takes the answer through a CallSink.
 */
#ifndef CALL_H
#define CALL_H

#include "connection/callmsg.h"
#include "process/counters.h"
#include "process/latency.h"
#include "process/linkbudget.h"
#include "process/net.h"
#include "process/services.h"
#include "process/suspectsync.h"
#include "process/timeline.h"
#include "request/duration.h"
#include "request/field.h"
#include "request/keyed.h"
#include "request/nesting.h"
#include "version/inforce.h"

typedef enum {
    Call_ANSWERED,       /* the whole answer was given to the sink */
    Call_NOT_RUN,        /* it did not run, and never will */
    Call_UNKNOWN,        /* it may have run */
    Call_TRUNCATED,      /* the answer stopped after its first piece */
    Call_ANSWER_NOT_KEPT /* the key's call ran; its answer is no longer kept */
} CallOutcome;

typedef enum {
    Call_REASON_NONE,
    Call_REASON_NO_ROUTE,     /* no route of the preset matches */
    Call_REASON_NO_BACKEND,   /* no backend server of the service is known */
    Call_REASON_OVERLOAD,     /* shed */
    Call_REASON_DEADLINE,     /* its deadline passed */
    Call_REASON_KEY_TOO_LONG, /* its key is too long */
    Call_REASON_KEY_MISMATCH, /* its key named another request before */
    Call_REASON_SUSPECT,      /* it crashed backend servers */
    Call_REASON_VERSION       /* which preset is in force is not confirmed */
} CallReason;

/* What the caller asks.  The strings stay valid until the sink's end. */
typedef struct {
    Str request_id;
    Str host; /* empty: not stated */
    Str method;
    Str target;
    FieldList fields;
    Str body;
    Span timeout; /* as the caller stated; 0: the route's */
} CallRequest;

/* Where the answer goes. */
typedef struct {
    void *context;
    void (*on_head)(void *context, uint16_t status, const FieldList *fields);
    /* Bytes of the body; Call_OnConsumed tells when the caller has them. */
    void (*on_body)(void *context, Str bytes);
    /* The last word; the Call is gone afterwards. */
    void (*on_end)(void *context, CallOutcome outcome, CallReason why);
    /* Answers to others that are ready wait for this one; NULL: never. */
    bool (*is_blocking)(void *context);
} CallSink;

typedef struct Call Call;

/* All calls in flight at this node. */
typedef struct {
    Net *net;
    Counters *counters;
    LatencyHistograms *latencies;
    Logger *logger;
    Timeline *timeline;
    Services *services;
    const SuspectSync *suspects;
    InForce *in_force;        /* held by the node; a call holds its own */
    bool version_confirmed;   /* it is the one in force: calls are taken */
    uint64_t incarnation;     /* of this node */
    uint64_t attempt_counter; /* of attempts */
    ClaimClient key_claims;
    LinkBudget link_budget; /* bytes across regions */
    RouteDurations durations;
    NestingDetector nesting;
    void *enclosing_run_context; /* whether a run that ends no sooner than
                             DEADLINE is under way beside this node */
    bool (*has_enclosing_run)(void *context,
                              Instant deadline); /* NULL: not known */
    Hsh attempts_by_id;
    Call *first;
    size_t count;
} CallDispatcher;

void Call_DispatcherInit(CallDispatcher *hub, Net *net, Counters *counters,
                         Timeline *timeline, LatencyHistograms *latencies,
                         Services *services, const SuspectSync *suspects,
                         const Settings *settings, uint64_t incarnation);
void Call_DispatcherFinish(CallDispatcher *hub);

/* Take a request on.  The sink may be called before this returns; NULL is
 * returned when it has ended already. */
Call *Call_Start(CallDispatcher *hub, const CallRequest *request,
                 const CallSink *sink, Instant now);

/* Whether a request of that kind may run more than once, as far as known. */
bool Call_IsIdempotent(const CallDispatcher *hub, Str host, Str method,
                       Str target);

/* The caller took BYTES more of the answer's body. */
void Call_OnConsumed(Call *call, uint32_t bytes, Instant now);

/* The caller hung up; the sink is not called again. */
void Call_Cancel(Call *call, Instant now);

/* Deadlines. */
void Call_DispatcherTick(CallDispatcher *hub, Instant now);

#endif
