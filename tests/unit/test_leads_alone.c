/* Guards against the failure that two replicas grant what only one may: a
 * leader that is cut off takes itself for leading while followers that start
 * again, and so have forgotten it, elect another one. */
#include "support/rlog_simulation.h"
#include "support/suite.h"

#define TICK Span_MS(5)
#define RUN_TIME Span_S(3)

enum { REPLICAS = 5, SEEDS = 20 };

typedef enum { LEADS, LEADS_ALONE } Question;

static int
count_replicas(const RlogSimulation *sim, Question question)
{
    int count = 0;

    for (int i = 0; i < REPLICAS; i++) {
        const SimulatedReplica *replica = &sim->replicas[i];

        count +=
            replica->is_up &&
            (question == LEADS ? Rlog_IsLeading(&replica->rlog, sim->now)
                               : Rlog_LeadsAlone(&replica->rlog, sim->now));
    }
    return count;
}

static int
find_alone(const RlogSimulation *sim)
{
    for (int i = 0; i < REPLICAS; i++) {
        if (sim->replicas[i].is_up &&
            Rlog_LeadsAlone(&sim->replicas[i].rlog, sim->now)) {
            return i;
        }
    }
    return -1;
}

/* Returns the most replicas that took themselves for leading at once. */
static int
replace_leader(RlogSimulation *sim, int seed)
{
    int leader = find_alone(sim);
    int most_leading = 0;

    ck_assert_int_ge(leader, 0);
    sim->replicas[leader].is_partitioned = true;
    Rsim_Run(sim, Span_MS(20)); /* what was on its way has come */
    for (int i = 0; i < REPLICAS; i++) {
        if (i != leader) {
            Rsim_Kill(sim, i);
            Rsim_Start(sim, i);
        }
    }
    for (Instant end = sim->now + RUN_TIME; sim->now < end;) {
        int leading = count_replicas(sim, LEADS);

        most_leading = leading > most_leading ? leading : most_leading;
        ck_assert_msg(count_replicas(sim, LEADS_ALONE) <= 1, "seed %d", seed);
        Rsim_Run(sim, TICK);
    }
    ck_assert_int_ge(find_alone(sim), 0);
    ck_assert_int_ne(find_alone(sim), leader);
    return most_leading;
}

START_TEST(two_replicas_lead_alone)
{
    int seen = 0; /* seeds with two replicas that lead */

    for (int seed = 1; seed <= SEEDS; seed++) {
        RlogSimulation sim;

        Rsim_Init(&sim, REPLICAS, (uint64_t)seed);
        ck_assert_int_ge(Rsim_Elect(&sim, Span_S(5)), 0);
        Rsim_Run(&sim, Span_S(2));
        seen += replace_leader(&sim, seed) == 2;
        Rsim_Finish(&sim);
    }
    ck_assert_int_gt(seen, SEEDS / 2);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{two_replicas_lead_alone, 1}};

    (void)argc;
    (void)argv;
    return Suite_Run("leads alone", tests, 1, 60);
}
