/* Guards against the failure that requests were lost around a planned stop:
 * answers cut on the way to callers that read late or slowly, and no answer to
 * requests that were being read. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "fleet_stop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 61, MANY = 90, FEW = 4 };

/* Requests are sent until half of the grace time has passed. */
#define LAST_SEND (Fst_SIGNAL_AT + Fst_GRACE / 2)
/* A connection may end within this time of a request's last byte: the request
 * and the end of the connection cross each other. */
#define CROSSING_TIME Span_MS(200)
/* From the last moment in which a call may start to the rejection of those
 * that wait, at most. */
#define REJECT_TIME Span_MS(500)

static Str build;

typedef struct {
    const char *name;
    Span work_max;
    uint32_t seed;
    int caller_vm; /* callers connect there */
    int callers;   /* with few, the stop ends early */
    StopFleet fleet;
} StopCase;

static const StopCase cases[] = {
    {"room", Span_MS(1500), 102, Fst_STOPPED_VM, MANY, {.has_notice = true}},
    {"full",
     Span_MS(500),
     103,
     Fst_STOPPED_VM,
     MANY,
     {.is_full = true, .has_notice = true}},
    {"no notice",
     Span_MS(1500),
     104,
     Fst_STOPPED_VM,
     MANY,
     {.has_notice = false}},
    {"no hop",
     Span_MS(1500),
     5,
     Fst_STOPPED_VM,
     MANY,
     {.has_notice = true, .local_only = true}},
    {"beside the backend server",
     Span_MS(1500),
     102,
     Fst_OTHER_VM,
     MANY,
     {.has_notice = true}},
    {"few callers",
     Span_MS(1500),
     7,
     Fst_STOPPED_VM,
     FEW,
     {.has_notice = true}},
    {"few callers, no notice",
     Span_MS(1500),
     8,
     Fst_STOPPED_VM,
     FEW,
     {.has_notice = false}},
};

/* A request that the connection's end crossed, or that was sent behind another
 * one, may get no answer when no backend server has run it. */
static bool
is_excused(Fleet *fleet, const MixResult *result, bool is_behind)
{
    return result->outcome == Mix_SILENT &&
           Fleet_CountEffects(fleet, Str_FromC(result->id)) == 0 &&
           (is_behind || result->ended_at - result->sent_at < CROSSING_TIME);
}

static bool
is_lost(Fleet *fleet, const MixResult *result, bool is_behind)
{
    switch (result->outcome) {
    case Mix_UNSENT:
    case Mix_ANSWERED:
        return false;
    case Mix_REJECTED:
        return Fleet_CountEffects(fleet, Str_FromC(result->id)) > 0;
    default:
        return !is_excused(fleet, result, is_behind);
    }
}

/* Whether a request was rejected later than the stop makes sure that it cannot
 * run: its caller could have sent it elsewhere. */
static bool
is_rejected_late(const MixPlan *plan, const MixResult *result, bool is_behind)
{
    return result->outcome == Mix_REJECTED && !is_behind &&
           plan->read_after == 0 && result->ended_at > LAST_SEND + REJECT_TIME;
}

/* Prints what became of the requests, by outcome, and the callers that lost
 * one.  Returns how many were lost. */
static int
count_lost(Fleet *fleet, const char *name, const FleetStop *stop)
{
    const Mix *mix = &stop->mix;
    int by_outcome[Mix_WRONG + 1] = {0};
    int lost = 0;
    StrBuf text = {0};

    for (int i = 0; i < mix->count; i++) {
        const MixPlan *plan = Mix_GetPlan(mix, i);
        int before = lost;
        for (int k = 0; k < plan->request_count; k++) {
            const MixResult *result = Mix_GetResult(mix, i, k);
            by_outcome[result->outcome]++;
            lost += is_lost(fleet, result, k > 0) ||
                    is_rejected_late(plan, result, k > 0);
        }
        if (lost > before) {
            Mix_Print(mix, i, &text);
        }
    }
    fprintf(stderr,
            "%s: unsent %d, answered %d, rejected %d, failed %d, cut %d, "
            "silent %d, wrong %d; lost %d; stop took %lld ms\n%.*s",
            name, by_outcome[Mix_UNSENT], by_outcome[Mix_ANSWERED],
            by_outcome[Mix_REJECTED], by_outcome[Mix_FAILED],
            by_outcome[Mix_CUT], by_outcome[Mix_SILENT], by_outcome[Mix_WRONG],
            lost, (long long)(stop->took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
    return lost;
}

static uint32_t
get_seed(const StopCase *c)
{
    const char *given = getenv("MIX_SEED");

    return given ? (uint32_t)atoi(given) : c->seed;
}

START_TEST(planned_stop_loses_no_request)
{
    const StopCase *c = &cases[_i];
    Fleet fleet;
    MixPlan plans[MANY];
    FleetStop stop = {0};
    Rng rng;

    Rng_Init(&rng, get_seed(c));
    for (int i = 0; i < c->callers; i++) {
        Mix_Draw(&plans[i], &rng, c->caller_vm, Span_MS(100), LAST_SEND,
                 c->work_max);
    }
    Rng_Finish(&rng);
    Fst_StartFleet(&fleet, build, SUBNET, &c->fleet);
    Fst_Run(&stop, &fleet, plans, c->callers,
            Fst_SIGNAL_AT + Fst_GRACE + Span_S(2));
    ck_assert_int_eq(count_lost(&fleet, c->name, &stop), 0);
    ck_assert_msg(WIFEXITED(stop.status) && WEXITSTATUS(stop.status) == 0,
                  "%s: status %x", c->name, (unsigned)stop.status);
    Fst_Finish(&stop);
    Fleet_Finish(&fleet);
}
END_TEST

/* Requests that are being sent around a stop, by one caller. */
typedef struct {
    const char *name;
    MixPlan plan;
    MixOutcome outcome; /* of its last request */
    Span ended_by;      /* after the signal */
} SendingCase;

static const SendingCase sending_cases[] = {
    {"sent in pieces until after the notice",
     {.vm = Fst_STOPPED_VM,
      .request_count = 1,
      .requests = {{.send_at = Fst_SIGNAL_AT + Span_MS(500),
                    .is_booking = true,
                    .body_bytes = 100,
                    .piece_count = 3,
                    .piece_gap = Span_MS(500),
                    .answer_bytes = 40}}},
     Mix_ANSWERED,
     Span_S(2)},
    {"the rest would come after the stop",
     {.vm = Fst_STOPPED_VM,
      .request_count = 1,
      .requests = {{.send_at = Fst_SIGNAL_AT + Span_MS(500),
                    .is_booking = true,
                    .body_bytes = 100,
                    .piece_count = 3,
                    .piece_gap = Span_MS(3000),
                    .answer_bytes = 40}}},
     Mix_REJECTED,
     Span_S(3)},
    {"kept open after an answer of whole pieces",
     {.vm = Fst_STOPPED_VM,
      .request_count = 2,
      .requests = {{.send_at = Span_MS(500), .answer_bytes = 65536},
                   {.send_at = Span_S(60)}}},
     Mix_UNSENT,
     Span_S(3)},
    {"the rest would come after the stop, behind an answer",
     {.vm = Fst_STOPPED_VM,
      .request_count = 2,
      .requests = {{.send_at = Fst_SIGNAL_AT - Span_MS(500),
                    .answer_bytes = 300000,
                    .work = Span_MS(2500)},
                   {.send_at = Fst_SIGNAL_AT + Span_MS(500),
                    .is_pipelined = true,
                    .is_booking = true,
                    .body_bytes = 100,
                    .piece_count = 2,
                    .piece_gap = Span_S(6),
                    .answer_bytes = 40}}},
     Mix_REJECTED,
     Span_S(3)},
};

START_TEST(request_being_sent_is_answered)
{
    const SendingCase *c = &sending_cases[_i];
    const StopFleet options = {.has_notice = true};
    Fleet fleet;
    FleetStop stop = {0};
    const MixResult *result;
    StrBuf text = {0};

    Fst_StartFleet(&fleet, build, SUBNET, &options);
    Fst_Run(&stop, &fleet, &c->plan, 1, Fst_SIGNAL_AT + Fst_GRACE + Span_S(1));
    Mix_Print(&stop.mix, 0, &text);
    result = Mix_GetResult(&stop.mix, 0, c->plan.request_count - 1);
    ck_assert_msg(result->outcome == c->outcome &&
                      result->ended_at <= Fst_SIGNAL_AT + c->ended_by,
                  "%s: %.*s", c->name, Str_ARG(text));
    StrBuf_Finish(&text);
    Fst_Finish(&stop);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {planned_stop_loses_no_request, ROWS(cases)},
        {request_being_sent_is_answered, ROWS(sending_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("planned stop", tests, 2, 60);
}
