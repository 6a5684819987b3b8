/* LoadReport: what the node beside a backend server saw of its load. */
#ifndef LOAD_H
#define LOAD_H

#include "value/str.h"

typedef struct {
    uint32_t slots;          /* requests the backend server runs at once */
    uint32_t running;        /* requests at the backend server now */
    uint32_t queued;         /* requests waiting for a slot at the node */
    uint32_t service_us;     /* smoothed time of one request, microseconds */
    uint32_t error_permille; /* smoothed share of failed requests */
    bool draining;           /* takes no new work */
    uint32_t pace; /* time that work takes now, percent of the usual; 0: not
                      told */
    bool slow;     /* longer than it mostly does: work is turned back */
} LoadReport;

enum { Load_USUAL_PACE_PERCENT = 100 };

/* What a backend server says of itself. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t pace; /* as in LoadReport */
} BackendLoad;

/* Read "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE"; false when
 * TEXT is anything else. */
bool Load_Parse(Str text, BackendLoad *load);

#endif
