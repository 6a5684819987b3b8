/* Dmo: the callers of the demonstration: reads, dispatches and weighings at a
 * steady rate through all nodes, and what each was told.
 *
 * A caller that gets no answer, or the answer "unknown", sends the same
 * request again through the next node, as callers do.
 */
#ifndef DEMO_CALLS_H
#define DEMO_CALLS_H

#include <event2/http.h>

#include "process/loop.h"
#include "value/addr.h"
#include "value/rng.h"

enum { Dmo_NODES_MAX = 32, Dmo_TRIES_MAX = 3 };

typedef enum { Dmo_READ, Dmo_DISPATCH, Dmo_WEIGHING } DmoCallKind;

typedef enum {
    Dmo_PENDING,
    Dmo_ANSWERED,
    Dmo_NOT_RUN,
    Dmo_UNKNOWN
} DmoOutcome;

typedef struct Demo Demo;

typedef struct {
    Demo *demo;
    size_t number;
    DmoCallKind kind;
    DmoOutcome outcome;
    bool mismatched;   /* the answer was not to this call */
    bool may_have_run; /* an earlier try may have run */
    uint32_t tries;
    struct evhttp_connection *connections[Dmo_TRIES_MAX];
    uint32_t effects; /* filled in by Dmo_CountEffects */
} DmoCall;

struct Demo {
    Loop loop;
    Rng rng;
    Addr nodes[Dmo_NODES_MAX]; /* callers' addresses */
    size_t node_count;
    DmoCall *calls;
    size_t call_count;
    size_t started_count;
    size_t ended_count;
    LoopTimer timer;
};

/* COUNT calls, one every PERIOD. */
void Dmo_Run(Demo *demo, size_t count, Span period);
void Dmo_Finish(Demo *demo);

/* Count the effects in FILE, "KEY REQUEST-ID" a line, to their calls; true
 * when the file could be read. */
bool Dmo_CountEffects(Demo *demo, Str file);

#endif
