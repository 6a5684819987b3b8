/* Guards against the failure that a planned stop cuts the answers of callers
 * that begin to read seconds late, when the node that they called has ended:
 * what lay in its memory was dropped. */
#include <stdio.h>
#include <sys/wait.h>

#include "fleet_stop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 240, LATE = 24, MIXED = 50, LARGEST_ANSWER = 4000000 };

static Str build;

typedef struct {
    const char *name;
    uint32_t seed;
    Span first_send; /* of the late requests, after the signal */
    Span last_send;
    Span read_after;     /* at least; up to a second more */
    bool may_half_close; /* one in three ends its side with its request */
    int receive_buffer;  /* of one in two */
    int mixed;           /* callers of all kinds beside them */
    StopFleet fleet;
} LateStopCase;

static const LateStopCase cases[] = {
    {"full servers",
     1,
     Span_S(-1),
     Span_S(2),
     Span_MS(3500),
     false,
     0,
     MIXED,
     {.is_full = true, .has_notice = true}},
    {"full servers, no notice",
     2,
     Span_S(-1),
     0,
     Span_S(4),
     false,
     4096,
     MIXED,
     {.is_full = true}},
    {"full servers, small buffers",
     3,
     Span_S(-1),
     Span_S(2),
     Span_MS(3500),
     true,
     4096,
     MIXED,
     {.is_full = true, .has_notice = true}},
    {"full servers, after the end of the node",
     4,
     Span_S(-1),
     Span_S(2),
     Span_MS(6500),
     true,
     65536,
     MIXED,
     {.is_full = true, .has_notice = true}},
    {"room",
     5,
     Span_S(-1),
     Span_S(2),
     Span_MS(3500),
     true,
     4096,
     0,
     {.has_notice = true}},
    {"no hop",
     6,
     Span_S(-1),
     0,
     Span_MS(4500),
     true,
     4096,
     0,
     {.has_notice = true, .local_only = true}},
};

static void
draw_late(MixPlan *plan, Rng *rng, const LateStopCase *c)
{
    static const uint32_t parts[] = {1, 1, 2, 2, 4, 13, 100};
    MixRequest *request = &plan->requests[0];
    double room = (double)(c->last_send - c->first_send);

    *plan = (MixPlan){.vm = Fst_STOPPED_VM, .request_count = 1};
    request->send_at =
        Fst_SIGNAL_AT + c->first_send + (Span)(Rng_Unit(rng) * room);
    request->answer_bytes =
        LARGEST_ANSWER / parts[Rng_Below(rng, ROWS(parts))];
    request->answer_is_chunked = Rng_Below(rng, 2) == 0;
    request->is_booking = Rng_Below(rng, 3) == 0;
    request->work = Span_MS(Rng_Below(rng, 300));
    plan->open_at = request->send_at;
    plan->read_after = c->read_after + Span_MS(Rng_Below(rng, 1000));
    plan->announces_last = Rng_Below(rng, 2) == 0;
    plan->half_closes = c->may_half_close && Rng_Below(rng, 3) == 0;
    plan->announces_last |= plan->half_closes;
    plan->receive_buffer = Rng_Below(rng, 2) == 0 ? c->receive_buffer : 0;
}

/* Prints the late callers whose answer was cut, and returns their number. */
static int
count_cut(Fleet *fleet, const char *name, const FleetStop *stop)
{
    int by_outcome[Mix_WRONG + 1] = {0};
    int cut = 0;
    StrBuf text = {0};

    for (int i = 0; i < LATE; i++) {
        const MixResult *result = Mix_GetResult(&stop->mix, i, 0);
        bool is_silent = result->outcome == Mix_SILENT &&
                         Fleet_CountEffects(fleet, Str_FromC(result->id)) > 0;
        by_outcome[result->outcome]++;
        if (result->outcome == Mix_CUT || result->outcome == Mix_WRONG ||
            is_silent) {
            Mix_Print(&stop->mix, i, &text);
            cut++;
        }
    }
    fprintf(stderr,
            "%s: of %d late readers answered %d, rejected %d, failed %d, cut "
            "%d, silent %d, unsent %d; stop took %lld ms\n%.*s",
            name, LATE, by_outcome[Mix_ANSWERED], by_outcome[Mix_REJECTED],
            by_outcome[Mix_FAILED], by_outcome[Mix_CUT],
            by_outcome[Mix_SILENT], by_outcome[Mix_UNSENT],
            (long long)(stop->took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
    return cut;
}

START_TEST(planned_stop_cuts_no_late_reader)
{
    const LateStopCase *c = &cases[_i];
    Fleet fleet;
    MixPlan plans[LATE + MIXED];
    FleetStop stop = {0};
    Rng rng;

    Rng_Init(&rng, c->seed);
    for (int i = 0; i < LATE; i++) {
        draw_late(&plans[i], &rng, c);
    }
    for (int i = LATE; i < LATE + c->mixed; i++) {
        Mix_Draw(&plans[i], &rng, Fst_STOPPED_VM, Span_MS(100),
                 Fst_SIGNAL_AT + Fst_GRACE / 2, Span_MS(500));
    }
    Rng_Finish(&rng);
    Fst_StartFleet(&fleet, build, SUBNET, &c->fleet);
    Fst_Run(&stop, &fleet, plans, LATE + c->mixed,
            Fst_SIGNAL_AT + c->last_send + c->read_after + Span_S(5));
    ck_assert_int_eq(count_cut(&fleet, c->name, &stop), 0);
    ck_assert_msg(WIFEXITED(stop.status) && WEXITSTATUS(stop.status) == 0,
                  "%s: status %x", c->name, (unsigned)stop.status);
    Fst_Finish(&stop);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {planned_stop_cuts_no_late_reader, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("late at stop", tests, 1, 60);
}
