/* Guards against the failures that no single case draws: processes that end by
 * themselves, answers that are mixed up, bookings that run twice, when callers
 * of many kinds meet a schedule of disturbances.
 *
 * The seed of a run is the second argument or MIX_SEED; without one, those of
 * the table run.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fleet_mix_check.h"
#include "fleet_steps.h"
#include "operators.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 64,
    VMS = 6,
    CONTROL = 3,
    CALLERS = 400,
    DEADLINE_STEP_MS = 200, /* between revisions of the routes */
    ROW_LIMIT_S = 120
};

#define LENGTH Span_S(26)
/* A caller sends its requests within this time. */
#define CALLER_LENGTH Span_S(3)
/* Of the last callers, after the last step. */
#define REST Span_S(10)
#define WORK_MAX Span_MS(300)

static Str build;

/* Few, as each takes half a minute. */
static const uint32_t seeds[] = {1, 2};

static const char *given_seed;

/* Later revisions change deadlines and priorities, and have one route more or
 * less. */
static void
print_routes(int revision, StrBuf *out)
{
    int more = revision % 3 * DEADLINE_STEP_MS;

    StrBuf_AppendFmt(
        out,
        "{\"name\":\"look\",\"host\":\"barns\",\"path\":\"/look/\","
        "\"kind\":\"idempotent\",\"deadline_ms\":%d,"
        "\"objective_ms\":3000,\"priority\":1,\"service\":\"visor\"},"
        "{\"name\":\"brief\",\"host\":\"barns\",\"path\":\"/brief/\","
        "\"kind\":\"idempotent\",\"deadline_ms\":%d,"
        "\"objective_ms\":1000,\"priority\":%d,\"service\":\"despachos\"},"
        "{\"name\":\"book\",\"host\":\"barns\",\"path\":\"/book/\","
        "\"kind\":\"non_idempotent\",\"deadline_ms\":%d,"
        "\"objective_ms\":3000,\"priority\":1,\"service\":\"visor\"}",
        6000 + more, 2000 + more, 1 + revision % 2, 6000 - more);
    if (revision % 2) {
        StrBuf_AppendFmt(
            out, ",{\"name\":\"odd\",\"host\":\"barns\",\"path\":\"/odd/\","
                 "\"kind\":\"idempotent\",\"deadline_ms\":2000,"
                 "\"objective_ms\":1000,\"priority\":1,"
                 "\"service\":\"despachos\"}");
    }
}

static void
start_fleet(Fleet *fleet)
{
    StrBuf routes = {0};

    Fleet_Init(fleet, build, SUBNET, VMS, CONTROL);
    Fleet_SetExtraSettings(
        fleet, Str_LIT("\"operators_open\":true,\"bounds\":["
                       "\"stop_grace_s=6\"],\"stop_notice_ms\":2500"));
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    /* Each service is in both regions. */
    for (int i = 0; i < VMS; i++) {
        Fleet_StartBackend(fleet, i,
                           i % 2 ? Str_LIT("despachos") : Str_LIT("visor"),
                           Str_LIT("--slots=12"));
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    /* One that rejects when it is full. */
    ck_assert(
        Fleet_ControlBackend(fleet, VMS - 1, Str_LIT("shed=1&states=1")));
    print_routes(1, &routes);
    Ops_PutRoutes(fleet, 1, 0, StrBuf_View(&routes));
    StrBuf_Finish(&routes);
    Fleet_Sleep(Span_S(1));
}

static void
draw_callers(MixPlan *plans, Rng *rng)
{
    for (int i = 0; i < CALLERS; i++) {
        Span first = Span_MS(
            Rng_Below(rng, (uint32_t)((LENGTH - CALLER_LENGTH) / 1000)));
        Mix_Draw(&plans[i], rng, (int)Rng_Below(rng, VMS), first,
                 first + CALLER_LENGTH, WORK_MAX);
        Mix_Disturb(&plans[i], rng, VMS);
    }
}

static void
on_tick(void *context, Span elapsed)
{
    Sdl_Act(context, elapsed);
}

/* Runs the mix and the schedule, prints what came of them, and checks it.
 * FAULTS is for the text on the faults. */
static void
run_mix(Fleet *fleet, Mix *mix, Schedule *schedule, StrBuf *faults)
{
    MixCheck check;
    StrBuf text = {0};

    mix->context = schedule;
    mix->on_tick = on_tick;
    Mix_Run(mix, LENGTH + REST);
    while (Sdl_Act(schedule, Loop_Now() - mix->started_at)) {
        Fleet_Sleep(Span_MS(10));
    }
    Sdl_StopAll(schedule);
    check = Mck_Check(fleet, mix, faults);
    Mck_Print(&check, &text);
    StrBuf_Append(faults, StrBuf_View(&schedule->faults));
    fprintf(stderr, "%d callers, %d changes of routes accepted: %.*s%.*s",
            mix->count, schedule->changed_count, Str_ARG(text),
            Str_ARG(*faults));
    StrBuf_Finish(&text);
    ck_assert_int_eq(Mck_CountFaults(&check) + schedule->fault_count, 0);
    /* Else the mix would check little. */
    ck_assert_int_gt(check.by_outcome[Mix_ANSWERED], check.sent / 3);
}

START_TEST(mix_of_callers_meets_disturbances)
{
    uint32_t seed =
        given_seed ? (uint32_t)strtoul(given_seed, NULL, 10) : seeds[_i];
    static MixPlan plans[CALLERS];
    Fleet fleet;
    Schedule schedule = {
        .print_routes = print_routes, .last_revision = 1, .base = 1};
    Mix mix;
    Rng rng;
    StrBuf text = {0};

    start_fleet(&fleet);
    Rng_Init(&rng, seed);
    Sdl_Draw(&schedule, &rng, &fleet, LENGTH);
    draw_callers(plans, &rng);
    Rng_Finish(&rng);
    Sdl_Print(&schedule, &text);
    fprintf(stderr, "seed %u, in %.*s:\n%.*s", seed, Str_ARG(fleet.folder),
            Str_ARG(text));
    StrBuf_Clear(&text);
    Mix_Init(&mix, &fleet, plans, CALLERS);
    run_mix(&fleet, &mix, &schedule, &text);
    StrBuf_Finish(&text);
    Mix_Finish(&mix);
    Sdl_Finish(&schedule);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    SuiteTest test = {mix_of_callers_meets_disturbances, ROWS(seeds)};

    build = Suite_GetBuildFolder(argc, argv);
    given_seed = argc > 2 ? argv[2] : getenv("MIX_SEED");
    if (given_seed) {
        test.row_count = 1;
    }
    return Suite_Run("caller mix", &test, 1, ROW_LIMIT_S);
}
