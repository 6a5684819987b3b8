/* Guards against the failures that replicas which stand still now and then are
 * slow to replace a leader that is lost, keep one that hears nobody, or wait
 * for a snapshot that was lost on its way. */
#include "support/rlog_simulation.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* Election timeouts of the simulation are 1 to 1.5 s. */
#define ELECTED_WITHIN Span_S(4)

enum { REPLICAS = 5, SEEDS = 6 };

typedef struct {
    const char *name;
    Span pause;   /* of all replicas at once */
    Span between; /* the replicas run in between */
    int count;    /* pauses before the leader is lost */
    bool goes_on; /* they also stand still afterwards */
} PauseCase;

static const PauseCase cases[] = {
    {"no pause", 0, Span_S(1), 1, false},
    {"one pause", Span_S(2), Span_MS(1500), 1, false},
    {"one long pause", Span_MS(3500), Span_MS(1500), 1, false},
    {"short pauses long after", Span_MS(105), Span_MS(700), 70, false},
    {"half of the time", Span_MS(110), Span_MS(50), 20, true},
    {"nearly always", Span_MS(110), Span_MS(5), 60, true},
};

static void
pause_all(RlogSimulation *sim, const PauseCase *c)
{
    for (int i = 0; i < REPLICAS; i++) {
        sim->replicas[i].busy_until = sim->now + c->pause;
    }
    Rsim_Run(sim, c->pause + c->between);
}

START_TEST(loses_no_time_after_pauses)
{
    const PauseCase *c = &cases[_i / SEEDS];
    RlogSimulation sim;
    Instant lost_at;
    int leader;

    Rsim_Init(&sim, REPLICAS, 1 + (uint64_t)(_i % SEEDS));
    ck_assert_int_ge(Rsim_Elect(&sim, Span_S(5)), 0);
    Rsim_Run(&sim, Span_S(1));
    if (c->count > 1) { /* after a long one */
        pause_all(&sim, &cases[2]);
    }
    for (int i = 0; i < c->count; i++) {
        pause_all(&sim, c);
    }
    leader = Rsim_Elect(&sim, Span_S(60));
    ck_assert_int_ge(leader, 0);
    Rsim_Kill(&sim, leader);
    lost_at = sim.now;
    while (Rsim_FindLeader(&sim) < 0 && sim.now - lost_at < Span_S(60)) {
        if (c->goes_on) {
            pause_all(&sim, c);
        }
        else {
            Rsim_Run(&sim, Span_MS(20));
        }
    }
    /* While replicas stand still, nothing can be asked of them. */
    ck_assert_msg(sim.now - lost_at <=
                      ELECTED_WITHIN *
                          (c->goes_on ? 2 + c->pause / c->between : 1),
                  "%s: %d ms", c->name, (int)((sim.now - lost_at) / 1000));
    ck_assert_int_eq(sim.violation_count, 0);
    Rsim_Finish(&sim);
}
END_TEST

START_TEST(replaces_leader_that_hears_nobody)
{
    RlogSimulation sim;
    Instant end;
    int leader;

    Rsim_Init(&sim, REPLICAS, 1 + (uint64_t)_i);
    leader = Rsim_Elect(&sim, Span_S(5));
    ck_assert_int_ge(leader, 0);
    sim.replicas[leader].is_deaf = true;
    end = sim.now + Span_S(20);
    while (sim.election_count < 2 && sim.now < end) {
        sim.replicas[leader].busy_until = sim.now + Span_MS(110);
        Rsim_Run(&sim, Span_MS(800));
    }
    ck_assert_uint_ge(sim.election_count, 2);
    Rsim_Finish(&sim);
}
END_TEST

START_TEST(sends_lost_snapshot_again_at_once)
{
    RlogSimulation sim;
    int leader;
    int lost;

    Rsim_Init(&sim, REPLICAS, 1 + (uint64_t)_i);
    leader = Rsim_Elect(&sim, Span_S(5));
    ck_assert_int_ge(leader, 0);
    lost = (leader + 1) % REPLICAS;
    Rsim_Kill(&sim, lost);
    for (int i = 0; i < 50; i++) { /* more than the log keeps */
        ck_assert(Rsim_CommitChange(&sim, Str_LIT("x"), Span_S(1)));
    }
    Rsim_LoseDisk(&sim, lost);
    sim.sent_snapshots = 0;
    Rsim_Start(&sim, lost);
    while (sim.sent_snapshots == 0) {
        Rsim_Run(&sim, Span_MS(5));
    }
    Rsim_Kill(&sim, lost);
    Rsim_Run(&sim, Span_S(10));
    Rsim_Start(&sim, lost);
    Rsim_Run(&sim, Span_MS(500));
    ck_assert(Rsim_AreAllEqual(&sim));
    Rsim_Finish(&sim);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {loses_no_time_after_pauses, ROWS(cases) * SEEDS},
        {replaces_leader_that_hears_nobody, SEEDS},
        {sends_lost_snapshot_again_at_once, SEEDS},
    };

    return Suite_Run("pauses", tests, ROWS(tests), 60);
}
