/* Knb: the behaviour of a fake backend server, which can be changed at run
 * time.
 *
 * POST /fake/control?NAME=VALUE&... sets knobs; NAME is the word before the
 * colon in the comments below.  Values are whole numbers; switches are 0 or 1.
 */
#ifndef FAKE_KNOBS_H
#define FAKE_KNOBS_H

#include "value/err.h"
#include "value/instant.h"
#include "value/rng.h"
#include "value/str.h"

typedef struct {
    int64_t slots;            /* slots: requests that run at a time */
    int64_t service_us;       /* service_us: service time of a request */
    int64_t exponential;      /* exponential: service_us is only the mean of an
                                 exponential distribution */
    int64_t slowdown;         /* slow: factor on the service time */
    int64_t cold_period_us;   /* cold_us: length of the cold period, which
                                 begins with the process */
    int64_t cold_slowdown;    /* cold_slow: factor on the service time in
                                 the cold period, besides slow */
    int64_t draining;         /* draining: announces that it is draining, and
                                 refuses requests, stating that they were not
                                 run */
    int64_t silent_drain;     /* silent_drain: refuses requests without having
                                 announced it */
    int64_t reject_when_full; /* shed: answers 503 instead of queueing when no
                                 slot is free */
    int64_t report_not_run;   /* states: every refusal states that the request
                                 was not run */
    int64_t always_fail;      /* fail: answers every request with 500 at
                                 once */
    int64_t announced_factor; /* boast: announces this many times its slots */
    int64_t hide_load;        /* lie: the load endpoint reports no load */
    int64_t announce_nothing; /* quiet: sends no announcements */
} FakeKnobs;

/* Sets knob NAME.  Returns false and sets ERR if there is no such knob or
 * VALUE is no whole number. */
bool Knb_Set(FakeKnobs *knobs, Str name, Str value, Err *err);

/* Returns the service time of a request that starts at NOW.  The cold period
 * counts from STARTED_AT, the start of the process. */
Span Knb_DrawServiceTime(const FakeKnobs *knobs, Rng *rng, Instant started_at,
                         Instant now);

#endif
