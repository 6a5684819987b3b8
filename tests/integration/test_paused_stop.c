/* Guards against the failure that a node which had not run for a moment while
 * it stopped exited without having read what other nodes had sent to it, so
 * that they could not know what became of those calls. */
#include "fleet_stop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 71, CALLERS = 20, PRINTED_MAX = 5 };

static Str build;

/* The link to the other nodes takes 60 ms each way: what one of them sends
 * before it hears of the stop arrives while the node is paused. */
typedef struct {
    const char *name;
    bool is_booking;
    Span pause_after; /* the signal */
    Span pause;
} PauseCase;

static const PauseCase cases[] = {
    {"bookings, until it may exit", true, Span_MS(70), Span_MS(900)},
    {"bookings, longer", true, Span_MS(70), Span_MS(1500)},
    {"look-ups, a short pause", false, Span_MS(70), Span_MS(600)},
};

START_TEST(paused_node_reads_before_it_exits)
{
    const PauseCase *c = &cases[_i];
    const StopFleet options = {.has_proxy = true};
    MixPlan plans[CALLERS];
    Fleet fleet;
    FleetStop stop = {.pause_after = c->pause_after, .pause = c->pause};
    StrBuf text = {0};
    int lost = 0; /* nobody knows whether they ran */

    Fst_StartFleet(&fleet, build, SUBNET, &options);
    ck_assert(Fleet_SendProxyCommand(&fleet,
                                     Str_LIT("delay norte>litoral 60000\n"
                                             "delay litoral>norte 60000\n")));
    Fleet_Sleep(Span_MS(500));
    for (int i = 0; i < CALLERS; i++) {
        plans[i] = (MixPlan){
            .vm = Fst_OTHER_VM,
            .request_count = 1,
            .requests = {{.send_at = Fst_SIGNAL_AT + Span_MS(10 * i - 60),
                          .is_booking = c->is_booking,
                          .work = Span_MS(100),
                          .answer_bytes = 40}}};
    }
    Fst_Run(&stop, &fleet, plans, CALLERS, Fst_SIGNAL_AT + Fst_GRACE);
    for (int i = 0; i < CALLERS; i++) {
        MixOutcome outcome = Mix_GetResult(&stop.mix, i, 0)->outcome;
        if (outcome != Mix_ANSWERED && outcome != Mix_REJECTED &&
            lost++ < PRINTED_MAX) {
            Mix_Print(&stop.mix, i, &text);
        }
    }
    ck_assert_msg(lost == 0 && stop.took < Fst_GRACE,
                  "%s: %d lost, stop took %lld ms: %.*s", c->name, lost,
                  (long long)(stop.took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
    Fst_Finish(&stop);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {paused_node_reads_before_it_exits, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("paused stop", tests, 1, 40);
}
