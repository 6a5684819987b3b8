/* Knb: how a fake backend server behaves, changed at run time.
 *
 * POST /fake/control?NAME=VALUE&... sets the knobs by the names below.
 */
#ifndef FAKE_KNOBS_H
#define FAKE_KNOBS_H

#include "value/err.h"
#include "value/instant.h"
#include "value/rng.h"
#include "value/str.h"

typedef struct {
    int64_t slots;            /* slots: requests that run at a time */
    int64_t service_us;       /* service_us: time of one request */
    int64_t exponential;      /* exponential: 1: service_us is the mean */
    int64_t slowdown;         /* slow: factor on the time */
    int64_t cold_period_us;   /* cold_us: as long after the start ... */
    int64_t cold_slowdown;    /* cold_slow: ... this factor counts too */
    int64_t draining;         /* draining: announced so, refused as not run */
    int64_t silent_drain;     /* silent_drain: refuses, announces nothing */
    int64_t reject_when_full; /* shed: 503 when no slot is free, no queue */
    int64_t report_not_run;   /* states: of each refusal that nothing ran */
    int64_t always_fail;      /* fail: 500 at once, always */
    int64_t announced_factor; /* boast: announces so many times its slots */
    int64_t hide_load;        /* lie: the load endpoint shows no load */
    int64_t announce_nothing; /* quiet: no announcements */
} FakeKnobs;

/* Set knob NAME. */
bool Knb_Set(FakeKnobs *knobs, Str name, Str value, Err *err);

/* Time of the next request, STARTED_AT being when the process started. */
Span Knb_DrawServiceTime(const FakeKnobs *knobs, Rng *rng, Instant started_at,
                         Instant now);

#endif
