/* Dmo: the callers of the demonstration.  They send reads, dispatches and
 * weighings at a steady rate through all nodes in turn, and record the
 * outcome of each call.
 *
 * A caller that gets no answer, or the outcome "unknown", sends the same
 * request again through the next node.
 */
#ifndef DEMO_CALLS_H
#define DEMO_CALLS_H

#include <event2/http.h>

#include "process/loop.h"
#include "value/addr.h"
#include "value/rng.h"

enum { Dmo_NODES_MAX = 32, Dmo_TRIES_MAX = 3 };

/* Dispatches and weighings carry an idempotency key and have an effect. */
typedef enum { Dmo_READ, Dmo_DISPATCH, Dmo_WEIGHING } DmoCallKind;

typedef enum {
    Dmo_PENDING,
    Dmo_ANSWERED, /* with the whole answer of the backend server */
    Dmo_NOT_RUN,  /* no try has run */
    Dmo_UNKNOWN   /* all tries are used up, and one of them may have run */
} DmoOutcome;

typedef struct Demo Demo;

typedef struct {
    Demo *demo;
    size_t number; /* its key is "demo-NUMBER" */
    DmoCallKind kind;
    DmoOutcome outcome;
    bool mismatched;   /* the answer belongs to another call */
    bool may_have_run; /* an earlier try may have run */
    uint32_t tries;    /* sent so far */
    struct evhttp_connection *connections[Dmo_TRIES_MAX]; /* one per try */
    uint32_t effects; /* set by Dmo_CountEffects */
} DmoCall;

/* The user initializes loop and rng, and sets nodes and node_count. */
struct Demo {
    Loop loop;
    Rng rng;
    Addr nodes[Dmo_NODES_MAX]; /* the nodes' addresses for callers */
    size_t node_count;
    DmoCall *calls;
    size_t call_count; /* to be made */
    size_t started_count;
    size_t ended_count;
    LoopTimer timer;
};

/* Makes COUNT calls, one every PERIOD, and returns when each has its
 * outcome. */
void Dmo_Run(Demo *demo, size_t count, Span period);

/* Frees what Dmo_Run allocated, but neither loop nor rng. */
void Dmo_Finish(Demo *demo);

/* Adds the effects in FILE, one line "KEY REQUEST-ID" each, to the calls with
 * these keys.  Returns false if FILE cannot be read. */
bool Dmo_CountEffects(Demo *demo, Str file);

#endif
