/* Lod: an open-loop HTTP load: calls start when they are due, whether or not
 * earlier ones were answered, and their time counts from then.
 */
#ifndef LOAD_CALLS_H
#define LOAD_CALLS_H

#include <event2/event.h>
#include <event2/http.h>

#include "process/loop.h"
#include "value/addr.h"
#include "value/rng.h"

enum { Lod_TARGETS_MAX = 64 };

/* A place that is called; its idle connections are used again. */
typedef struct LodConnection LodConnection;

typedef struct {
    Addr addr;
    LodConnection *idle;
} LodTarget;

/* Targets called in turn. */
typedef struct {
    LodTarget targets[Lod_TARGETS_MAX];
    size_t count;
    size_t next;
} LodGroup;

typedef enum { Lod_READ, Lod_BOOKING, Lod_KIND_COUNT } LodCallKind;

typedef struct {
    Instant due_at;
    Instant ended_at; /* 0: not yet */
    int status;       /* 0: no answer */
    uint32_t effects; /* counted afterwards */
    uint8_t group;
    uint8_t kind;
    bool not_run; /* the answer said so */
} LodCall;

typedef struct {
    Loop loop;
    Rng rng;
    LodGroup groups[2]; /* through nodes; straight */
    size_t group_count;
    const char *paths[Lod_KIND_COUNT];
    uint32_t booking_permille; /* permille */
    Str booking_body;          /* of each booking */
    double mean_gap_us;        /* mean */
    Instant end_at;
    uint64_t seed;
    uint64_t run_id; /* keys of one run differ from those of another */
    LodCall *calls;
    size_t count;
    size_t cap;
    size_t open_calls;
    struct event *timer;
    Instant next_due_at;
} Load;

/* Call for LENGTH, and wait for the answers; CAP calls at most. */
void Lod_Run(Load *load, Span length, size_t cap);

#endif
