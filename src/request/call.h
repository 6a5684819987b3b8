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
#include "request/field.h"
#include "request/keyed.h"
#include "request/nesting.h"
#include "request/usual.h"
#include "version/inforce.h"

typedef enum {
    Call_ANSWERED, /* the whole answer was given to the sink */
    Call_NOT_RUN,  /* it did not run, and never will */
    Call_UNKNOWN,  /* it may have run */
    Call_CUT,      /* the answer stopped after its first piece */
    Call_RAN       /* the key's call ran; its answer is no longer kept */
} CallOutcome;

typedef enum {
    Call_WHY_NONE,
    Call_WHY_NO_ROUTE, /* no route of the preset matches */
    Call_WHY_NOBODY,   /* no backend server of the service is known */
    Call_WHY_FULL,     /* shed */
    Call_WHY_LATE,     /* its deadline passed */
    Call_WHY_KEY,      /* its key is too long */
    Call_WHY_MISMATCH, /* its key named another request before */
    Call_WHY_SUSPECT,  /* it crashed backend servers */
    Call_WHY_VERSION   /* which preset is in force is not confirmed */
} CallWhy;

/* What the caller asks.  The strings stay valid until the sink's end. */
typedef struct {
    Str request_id;
    Str host; /* empty: not stated */
    Str method;
    Str target;
    FieldList fields;
    Str body;
    Span deadline; /* as the caller stated; 0: the route's */
} CallRequest;

/* Where the answer goes. */
typedef struct {
    void *context;
    void (*head)(void *context, uint16_t status, const FieldList *fields);
    /* Bytes of the body; Call_OnTaken tells when the caller has them. */
    void (*bytes)(void *context, Str bytes);
    /* The last word; the Call is gone afterwards. */
    void (*end)(void *context, CallOutcome outcome, CallWhy why);
    /* Answers to others that are ready wait for this one; NULL: never. */
    bool (*blocks)(void *context);
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
    InForce *in_force;    /* held by the node; a call holds its own */
    bool confirmed;       /* it is the one in force: calls are taken */
    uint64_t incarnation; /* of this node */
    uint64_t counter;     /* of attempts */
    ClaimClient keys;
    LinkBudget link; /* bytes across regions */
    Usual usual;
    Nst nesting;
    void *inside_context; /* whether a run that ends no sooner than DEADLINE
                             is under way beside this node */
    bool (*inside)(void *context, Instant deadline); /* NULL: not known */
    Hsh by_attempt;
    Call *first;
    size_t count;
} CallHub;

void Call_HubInit(CallHub *hub, Net *net, Counters *counters,
                  Timeline *timeline, LatencyHistograms *latencies,
                  Services *services, const SuspectSync *suspects,
                  const Settings *settings, uint64_t incarnation);
void Call_HubFinish(CallHub *hub);

/* Take a request on.  The sink may be called before this returns; NULL is
 * returned when it has ended already. */
Call *Call_Start(CallHub *hub, const CallRequest *request,
                 const CallSink *sink, Instant now);

/* Whether a request of that kind may run more than once, as far as known. */
bool Call_IsRepeatable(const CallHub *hub, Str host, Str method, Str target);

/* The caller took BYTES more of the answer's body. */
void Call_OnTaken(Call *call, uint32_t bytes, Instant now);

/* The caller hung up; the sink is not called again. */
void Call_Cancel(Call *call, Instant now);

/* Deadlines. */
void Call_HubTick(CallHub *hub, Instant now);

#endif
