/* Admission while the pace that the backend server reports changes, and for
 * requests that are nested or miss their latency objective.  Also how a node
 * learns which routes carry nested calls, and the usual durations of a route.
 */
#include <string.h>

#include "process/admission/admission.h"
#include "request/duration.h"
#include "request/nesting.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define START Span_S(1000)

enum { USUAL_PACE = 100, SLOW_PACE = 700, SLOTS = 10 };

typedef struct {
    const char *name;
    uint32_t pace;        /* reported 20 ms after that; 0: never */
    uint32_t pace_before; /* reported for five seconds; 0: never */
    Span report_age;      /* of the last report */
    uint32_t running;
    uint32_t queued;
    AdmissionRequest request;
    AdmissionVerdict verdict;
} PaceCase;

#define PLAIN_REQUEST                                                         \
    {                                                                         \
        .time_left = Span_S(1), .queue_time_max = Span_MS(300)                \
    }
#define MISSES_OBJECTIVE                                                      \
    {                                                                         \
        .time_left = Span_S(1), .queue_time_max = 1, .misses_objective = true \
    }
#define NESTED_REQUEST                                                        \
    {                                                                         \
        .time_left = Span_S(1), .queue_time_max = Span_MS(300),               \
        .nested = true                                                        \
    }

static const PaceCase pace_cases[] = {
    {"usual", USUAL_PACE, USUAL_PACE, 0, 0, 0, PLAIN_REQUEST, Adm_RUN},
    {"never reported", 0, 0, 0, 0, 0, PLAIN_REQUEST, Adm_RUN},
    {"slow", SLOW_PACE, USUAL_PACE, 0, 0, 0, PLAIN_REQUEST, Adm_REFUSE_SLOW},
    {"twice the usual, as after a cold start", 2 * USUAL_PACE, USUAL_PACE, 0,
     0, 0, PLAIN_REQUEST, Adm_RUN},
    {"slow, nested", SLOW_PACE, USUAL_PACE, 0, 0, 0, NESTED_REQUEST,
     Adm_REFUSE_SLOW},
    {"slow for long, so that the mean is high", SLOW_PACE, SLOW_PACE, 0, 0, 0,
     PLAIN_REQUEST, Adm_RUN},
    {"expired report", SLOW_PACE, USUAL_PACE, Span_MS(300), 0, 0,
     PLAIN_REQUEST, Adm_RUN},
    {"reserve left free", USUAL_PACE, USUAL_PACE, 0, 8, 0, PLAIN_REQUEST,
     Adm_QUEUE},
    {"reserve used by a nested request", USUAL_PACE, USUAL_PACE, 0, 8, 0,
     NESTED_REQUEST, Adm_RUN},
    {"full", USUAL_PACE, USUAL_PACE, 0, 10, 0, NESTED_REQUEST, Adm_QUEUE},
    {"misses its objective, slot free", USUAL_PACE, USUAL_PACE, 0, 7, 0,
     MISSES_OBJECTIVE, Adm_RUN},
    {"misses its objective, others queued", USUAL_PACE, USUAL_PACE, 0, 7, 1,
     MISSES_OBJECTIVE, Adm_REFUSE_FULL},
    {"misses its objective, no slot free", USUAL_PACE, USUAL_PACE, 0, 8, 0,
     MISSES_OBJECTIVE, Adm_REFUSE_FULL},
    {"expected wait above queue_time_max", USUAL_PACE, USUAL_PACE, 0, 8, 31,
     PLAIN_REQUEST, Adm_REFUSE_FULL},
};

START_TEST(admits_by_pace)
{
    const PaceCase *c = &pace_cases[_i];
    const AdmissionSettings settings = {.queue_max = 100,
                                        .patient_queue_max = 100};
    Instant now = START;
    AdmissionController controller;

    Adm_Init(&controller, &settings);
    Adm_OnAnnounce(&controller, SLOTS, false, START);
    controller.service_us = 100000;
    for (int i = 0; c->pace_before && i < 50; i++) {
        now += Span_MS(100);
        Adm_OnPaceReport(&controller, &(BackendLoad){.pace = c->pace_before},
                         now);
    }
    if (c->pace) {
        now += Span_MS(20);
        Adm_OnPaceReport(&controller, &(BackendLoad){.pace = c->pace}, now);
    }
    controller.running = c->running;
    controller.queued[Adm_INTERACTIVE] = c->queued;
    ck_assert_msg(Adm_Admit(&controller, &c->request, now + c->report_age) ==
                      c->verdict,
                  "%s", c->name);
}
END_TEST

typedef struct {
    const char *name;
    int calls;
    int nested_calls; /* of these */
    bool nested;
} NestingCase;

static const NestingCase nesting_cases[] = {
    {"always during a run", 20, 20, true},
    {"during a run by chance", 20, 10, false},
    {"never", 20, 0, false},
    {"too few calls", 5, 5, false},
    {"all but one, as when a deadline is learned late", 40, 39, true},
};

START_TEST(learns_nested_routes)
{
    const NestingCase *c = &nesting_cases[_i];
    static NestingDetector nesting;
    Str route = Str_LIT("balance");

    nesting = (NestingDetector){0};
    for (int i = 0; i < c->calls; i++) {
        Nst_OnCall(&nesting, route, i % c->calls < c->nested_calls);
    }
    ck_assert_msg(Nst_IsNested(&nesting, route) == c->nested, "%s", c->name);
    ck_assert(!Nst_IsNested(&nesting, Str_LIT("another")));
}
END_TEST

/* For durations of 100 to 180 ms: few are below Dur_OPTIMISTIC, most not above
 * Dur_TYPICAL, nearly all not above Dur_PESSIMISTIC. */
START_TEST(learns_usual_durations)
{
    static RouteDurations usual;
    uint64_t key = Dur_MakeKey(Str_LIT("look"), Str_LIT("visor"));

    memset(&usual, 0, sizeof usual);
    ck_assert_int_eq(Dur_Estimate(&usual, key, Dur_TYPICAL), 0);
    for (int i = 0; i < 1000; i++) {
        Dur_Record(&usual, key, Span_MS(100 + i % 5 * 20), false, i);
    }
    ck_assert(Dur_Estimate(&usual, key, Dur_OPTIMISTIC) > Span_MS(80) &&
              Dur_Estimate(&usual, key, Dur_OPTIMISTIC) < Span_MS(140));
    ck_assert(Dur_Estimate(&usual, key, Dur_TYPICAL) > Span_MS(140) &&
              Dur_Estimate(&usual, key, Dur_TYPICAL) < Span_MS(180));
    ck_assert(Dur_Estimate(&usual, key, Dur_PESSIMISTIC) >
              Dur_Estimate(&usual, key, Dur_TYPICAL));
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{admits_by_pace, ROWS(pace_cases)},
                               {learns_nested_routes, ROWS(nesting_cases)},
                               {learns_usual_durations, 1}};

    return Suite_Run("pace", tests, 3, 10);
}
