/* Replacement of control replicas with a limit on voters: lost disks, replaced
 * VMs and spare replicas. */
#include "support/rlog_simulation.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { INITIAL_REPLICAS = 5, VOTER_LIMIT = 5 };

/* BLOCK_APPENDS: the replica sends hellos but gets no entries. */
typedef enum {
    KILL,
    LOSE_DISK,
    BLOCK_APPENDS,
    START_SPARE,
    START_AGAIN,
    RUN
} Event;

typedef struct {
    Event event;
    int number; /* replica number; RUN: seconds */
} Step;

enum { STEPS_MAX = 10 };

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
    int count;
    uint32_t voters;         /* voters at the end */
    uint32_t running_voters; /* voters that are running at the end */
} ReplacementCase;

static const ReplacementCase cases[] = {
    {"a disk is lost", {{LOSE_DISK, 1}, {START_AGAIN, 1}, {RUN, 5}}, 3, 5, 5},
    {"two disks are lost at once",
     {{LOSE_DISK, 1},
      {LOSE_DISK, 2},
      {START_AGAIN, 1},
      {START_AGAIN, 2},
      {RUN, 8}},
     5,
     5,
     5},
    {"a VM is replaced by one at another address",
     {{KILL, 4}, {START_SPARE, 5}, {RUN, 8}},
     3,
     5,
     5},
    {"the new VM starts before the old one is killed",
     {{START_SPARE, 5}, {RUN, 4}, {KILL, 4}, {RUN, 8}},
     4,
     5,
     5},
    {"a disk is lost long after the election",
     {{RUN, 60}, {LOSE_DISK, 1}, {START_AGAIN, 1}, {RUN, 5}},
     4,
     5,
     5},
    {"a spare replica stays a learner", {{START_SPARE, 5}, {RUN, 8}}, 2, 5, 5},
    {"a spare replica sends hellos but does not catch up",
     {{RUN, 30}, {BLOCK_APPENDS, 5}, {START_SPARE, 5}, {RUN, 30}},
     4,
     5,
     5},
    {"a replica is down, with no spare to replace it",
     {{KILL, 3}, {RUN, 8}},
     2,
     5,
     4},
    {"a replaced replica restarts",
     {{KILL, 3}, {START_SPARE, 5}, {RUN, 8}, {START_AGAIN, 3}, {RUN, 5}},
     5,
     5,
     5},
};

static void
run_step(RlogSimulation *sim, const Step *step)
{
    switch (step->event) {
    case KILL:
        Rsim_Kill(sim, step->number);
        break;
    case LOSE_DISK:
        Rsim_LoseDisk(sim, step->number);
        break;
    case BLOCK_APPENDS:
        sim->replicas[step->number].appends_blocked = true;
        break;
    case START_SPARE:
    case START_AGAIN:
        Rsim_Start(sim, step->number);
        break;
    case RUN:
        Rsim_Run(sim, Span_S(step->number));
        break;
    }
}

/* Five replicas bootstrap the log; further replicas of the simulation are
 * spare and down. */
static void
init_simulation(RlogSimulation *sim)
{
    Rsim_Init(sim, INITIAL_REPLICAS, 11);
    sim->voters_max = VOTER_LIMIT;
    /* Replies from another region arrive after the leader's next tick. */
    sim->delay_max = Span_MS(60);
    for (int i = 0; i < INITIAL_REPLICAS; i++) {
        sim->replicas[i].rlog.settings.voters_max = VOTER_LIMIT;
    }
    Rsim_AddReplica(sim);
    ck_assert(Rsim_Elect(sim, Span_S(5)) >= 0);
    ck_assert(Rsim_CommitChange(sim, Str_LIT("first"), Span_S(5)));
}

START_TEST(replaces_lost_voters)
{
    const ReplacementCase *c = &cases[_i];
    RlogSimulation sim;
    const RaftReplicaList *replicas;
    uint32_t voters = 0;
    uint32_t running = 0;
    int leader;

    init_simulation(&sim);
    for (int i = 0; i < c->count; i++) {
        run_step(&sim, &c->steps[i]);
    }
    leader = Rsim_Elect(&sim, Span_S(10));
    ck_assert(leader >= 0);
    ck_assert(Rsim_CommitChange(&sim, Str_LIT("last"), Span_S(5)));
    replicas = &sim.replicas[leader].rlog.replicas;
    for (uint32_t i = 0; i < replicas->count; i++) {
        const RaftReplica *replica = &replicas->items[i];
        voters += replica->is_voter;
        for (int k = 0; k < sim.replica_count; k++) {
            running += replica->is_voter && sim.replicas[k].is_up &&
                       sim.replicas[k].identity == replica->identity;
        }
    }
    ck_assert_msg(voters == c->voters && running == c->running_voters,
                  "%s: %u voters, %u running", c->name, voters, running);
    /* Replicas are not added and removed repeatedly: each step causes only a
     * few membership entries. */
    ck_assert_msg(
        Rlog_LastIndex(&sim.replicas[leader].rlog) < 16, "%s: %llu entries",
        c->name,
        (unsigned long long)Rlog_LastIndex(&sim.replicas[leader].rlog));
    ck_assert_int_eq(sim.violation_count, 0);
    Rsim_Finish(&sim);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{replaces_lost_voters, ROWS(cases)}};

    return Suite_Run("seats", tests, 1, 30);
}
