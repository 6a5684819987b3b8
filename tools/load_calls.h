/* Lod: an open-loop HTTP load.
 *
 * Each call starts when it is due, whether or not earlier calls have been
 * answered, and its latency counts from the due time.
 */
#ifndef LOAD_CALLS_H
#define LOAD_CALLS_H

#include <event2/event.h>
#include <event2/http.h>

#include "process/loop.h"
#include "value/addr.h"
#include "value/rng.h"

enum { Lod_TARGETS_MAX = 64 };

typedef struct LodConnection LodConnection;

/* An address to call. */
typedef struct {
    Addr addr;
    LodConnection *idle; /* connections to reuse, newest first */
} LodTarget;

/* Targets called in turn. */
typedef struct {
    LodTarget targets[Lod_TARGETS_MAX];
    size_t count;
    size_t next;
} LodGroup;

/* A read is a GET; a booking is a POST with an idempotency key. */
typedef enum { Lod_READ, Lod_BOOKING, Lod_KIND_COUNT } LodCallKind;

typedef struct {
    Instant due_at;
    Instant ended_at; /* 0: not yet */
    int status;       /* HTTP status; 0: no answer */
    uint32_t effects; /* counted after the run */
    uint8_t group;    /* index in Load.groups */
    uint8_t kind;     /* a LodCallKind */
    bool not_run;     /* the answer states that the call was not run */
} LodCall;

/* The user initializes loop and rng, and sets the members from groups to
 * mean_gap_us, seed and run_id. */
typedef struct {
    Loop loop;
    Rng rng;
    LodGroup groups[2]; /* through nodes; directly to backend servers */
    size_t group_count;
    const char *paths[Lod_KIND_COUNT];
    uint32_t booking_permille; /* share of bookings among the calls */
    Str booking_body;          /* of each booking */
    double mean_gap_us;        /* between two calls, exponential */
    Instant end_at;            /* no call starts from then on */
    uint64_t seed;
    uint64_t run_id; /* keys of one run differ from those of another */
    LodCall *calls;  /* allocated by Lod_Run, freed by the user */
    size_t count;
    size_t cap;
    size_t open_calls; /* without an answer or failure yet */
    struct event *timer;
    Instant next_due_at;
} Load;

/* Makes calls for LENGTH, CAP at most, alternating between the groups, and
 * waits a few seconds for the last answers. */
void Lod_Run(Load *load, Span length, size_t cap);

#endif
