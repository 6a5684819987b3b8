/* Guards against the failure that control replicas whose disks take long to
 * sync never elect a leader, or lose it with each change. */
#include "support/rlog_simulation.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* Of the users' platform: within this time a change is acknowledged. */
#define ACKNOWLEDGED_WITHIN Span_S(4)

enum { REPLICAS = 5, CHANGES = 20 };

typedef struct {
    const char *name;
    Span store_time;   /* of the slow replicas' disks; the simulation's
                          election timeout is one second */
    Span pause;        /* between two changes */
    int slow_replicas; /* the first ones */
    uint32_t elections_max;
} StoreCase;

static const StoreCase cases[] = {
    {"all disks fast", 0, Span_MS(300), REPLICAS, 1},
    {"a tenth of an election timeout", Span_MS(100), Span_MS(300), REPLICAS,
     1},
    {"a third", Span_MS(300), Span_MS(300), REPLICAS, 1},
    {"a third, rare changes", Span_MS(300), Span_S(3), REPLICAS, 1},
    {"more than half", Span_MS(600), Span_MS(300), REPLICAS, 1},
    {"more than half, rare changes", Span_MS(600), Span_S(3), REPLICAS, 1},
    {"a whole one", Span_MS(1000), Span_S(3), REPLICAS, 1},
    {"two disks slow", Span_MS(1000), Span_MS(300), 2, 2},
    {"one disk slow, the first leader's", Span_MS(1000), Span_MS(300), 1, 2},
};

static void
start(RlogSimulation *sim, const StoreCase *c, uint64_t seed)
{
    Rsim_Init(sim, REPLICAS, seed);
    sim->delay_max = Span_MS(20);
    for (int i = 0; i < c->slow_replicas; i++) {
        sim->replicas[i].store_time = c->store_time;
    }
}

enum { SEEDS = 8 };

START_TEST(elects_and_keeps_leader_on_slow_disks)
{
    const StoreCase *c = &cases[_i / SEEDS];
    uint64_t seed = 1 + (uint64_t)(_i % SEEDS);
    RlogSimulation sim;

    start(&sim, c, seed);
    ck_assert_msg(Rsim_Elect(&sim, 2 * ACKNOWLEDGED_WITHIN) >= 0,
                  "%s, seed %d: no leader", c->name, (int)seed);
    for (int i = 0; i < CHANGES; i++) {
        ck_assert_msg(
            Rsim_CommitChange(&sim, Str_LIT("x"), ACKNOWLEDGED_WITHIN),
            "%s, seed %d: change %d not committed", c->name, (int)seed, i);
        Rsim_Run(&sim, c->pause);
    }
    ck_assert_msg(sim.election_count <= c->elections_max,
                  "%s, seed %d: %u elections", c->name, (int)seed,
                  sim.election_count);
    ck_assert_int_eq(sim.violation_count, 0);
    Rsim_Finish(&sim);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {elects_and_keeps_leader_on_slow_disks, ROWS(cases) * SEEDS}};

    return Suite_Run("slow stores", tests, ROWS(tests), 60);
}
