/* Load: reports of the load of a backend server.
 *
 * A backend server reports a BackendLoad in a header field of its answers.
 * The node beside it sends a LoadReport, with its own measurements, to other
 * nodes.
 */
#ifndef LOAD_H
#define LOAD_H

#include "value/str.h"

/* Load of a backend server as seen by the node beside it. */
typedef struct {
    uint32_t slots;      /* requests that the backend server runs at once */
    uint32_t running;    /* requests running at the backend server */
    uint32_t queued;     /* requests waiting for a slot at the node */
    uint32_t service_us; /* smoothed duration of a request, microseconds */
    uint32_t error_permille; /* smoothed share of failed requests */
    bool draining;           /* accepts no new work */
    uint32_t pace; /* present duration of work, percent of the usual; 0: not
                      reported */
    bool slow;     /* work takes much longer than usual and than in the last
                      seconds: the node rejects work */
} LoadReport;

/* Pace of a backend server whose work takes its usual time. */
enum { Load_USUAL_PACE_PERCENT = 100 };

/* Load that a backend server reports about itself. */
typedef struct {
    uint32_t running; /* requests */
    uint32_t waiting; /* requests */
    uint32_t slots;
    uint32_t pace; /* as in LoadReport */
} BackendLoad;

/* Reads "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE", whole numbers
 * of at most 1000000, with optional spaces and tabs around them.  A fourth
 * comma and what follows it are ignored.  Returns false when TEXT is anything
 * else; LOAD may be changed nevertheless. */
bool Load_Parse(Str text, BackendLoad *load);

#endif
