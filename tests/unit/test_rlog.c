/* Several replicas of the replicated log in one process: scenarios of faults,
 * and random schedules of them. */
#include <stdio.h>

#include "support/rlog_simulation.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define ELECTED_WITHIN Span_S(5)

/* After a restart of all replicas a leader is elected sooner than replicas
 * that have heard from a leader would try: their least timeout is the
 * simulation's election timeout. */
enum { START_ALL_MS = 1000 };

/* The leader of a scenario is the one that its last ELECT found. */
typedef enum {
    END,
    ELECT,        /* a replica is elected and becomes the scenario's leader */
    CHANGE,       /* a change is committed */
    CHANGE_FAILS, /* no change can be committed */
    KILL,         /* replica NUMBER */
    KILL_LEADER,
    START,            /* replica NUMBER */
    PARTITION_LEADER, /* messages to and from the leader are dropped */
    NOT_CURRENT,      /* the leader rejects changes, and reads requested after
                         the fault */
    LEADS_WITHIN,     /* a replica is elected within NUMBER milliseconds */
    STILL_LEADER,     /* the scenario's leader still leads */
    HEAL,             /* all partitions end */
    BLOCK_APPENDS,    /* replica NUMBER gets no appends or snapshots */
    LOSE_DISK,        /* replica NUMBER is killed and loses its disk */
    MOVE,             /* as LOSE_DISK, and its address changes */
    FILL_LEADER_DISK, /* stores at the leader fail */
    KILL_FOLLOWERS,   /* NUMBER replicas that do not lead */
    START_ALL,        /* every replica that is down */
    NOT_CURRENT_YET,  /* the leader rejects reads requested after the fault;
                         it may still accept changes */
    RUN,              /* NUMBER milliseconds pass */
    VOTER_COUNT,      /* the current leader counts NUMBER voters */
    IS_VOTER,         /* replica NUMBER is a voter */
    IS_NOT_VOTER,
    CHANGES,  /* NUMBER changes are committed */
    ALL_EQUAL /* every running replica has committed all changes */
} StepKind;

typedef struct {
    StepKind kind;
    int number;
} Step;

typedef struct {
    const char *name;
    int replicas;
    Step steps[32];
} StepCase;

static const StepCase cases[] = {
    {"commits changes",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a single replica",
     1,
     {{ELECT, 0}, {CHANGE, 0}, {ALL_EQUAL, 0}, {END, 0}}},
    {"a single replica stays the leader",
     1,
     {{ELECT, 0},
      {CHANGE, 0},
      {RUN, 5000},
      {CHANGE, 0},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"leader killed",
     5,
     {{ELECT, 0},
      {CHANGE, 0},
      {KILL_LEADER, 0},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"without a quorum no change is committed",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {KILL, 1},
      {KILL, 2},
      {RUN, 2000},
      {CHANGE_FAILS, 0},
      {START, 1},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a partitioned leader stops accepting changes and reads",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {PARTITION_LEADER, 0},
      {RUN, 810},
      {NOT_CURRENT, 0},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 60000},
      {HEAL, 0},
      {RUN, 1500},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"the end of a partition of an hour does not disrupt the leader",
     5,
     {{ELECT, 0},
      {CHANGE, 0},
      {PARTITION_LEADER, 0},
      {RUN, 3600000},
      {ELECT, 0},
      {HEAL, 0},
      {RUN, 1500},
      {STILL_LEADER, 0},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"restart of all replicas",
     3,
     {{ELECT, 0},
      {CHANGES, 50},
      {KILL, 0},
      {KILL, 1},
      {KILL, 2},
      {RUN, 100}, /* messages in transit are lost */
      {START, 0},
      {START, 1},
      {START, 2},
      {LEADS_WITHIN, START_ALL_MS},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"restarted followers do not disrupt a live leader",
     5,
     {{ELECT, 0},
      {CHANGE, 0},
      {KILL_FOLLOWERS, 2},
      {START_ALL, 0},
      {RUN, 2000},
      {STILL_LEADER, 0},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a quorum restarts while the leader is partitioned",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {PARTITION_LEADER, 0},
      {KILL_FOLLOWERS, 2},
      {RUN, 100},
      {START_ALL, 0},
      {LEADS_WITHIN, START_ALL_MS},
      {NOT_CURRENT_YET, 0},
      {CHANGE, 0},
      {HEAL, 0},
      {RUN, 1500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a replica restarts after 300 changes",
     3,
     {{ELECT, 0},
      {KILL, 1},
      {CHANGES, 300},
      {START, 1},
      {RUN, 2000},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a replica with a lost disk rejoins as a learner, then votes",
     3,
     {{ELECT, 0},
      {CHANGES, 30},
      {LOSE_DISK, 2},
      {CHANGE, 0},
      {START, 2},
      {IS_NOT_VOTER, 2},
      {RUN, 4000},
      {IS_VOTER, 2},
      {VOTER_COUNT, 3},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a second disk lost right after the first replacement",
     3,
     {{ELECT, 0},     {CHANGES, 30},    {LOSE_DISK, 2}, {START, 2},
      {RUN, 4000},    {VOTER_COUNT, 3}, {CHANGE, 0},    {LOSE_DISK, 1},
      {CHANGE, 0},    {START, 1},       {RUN, 4000},    {VOTER_COUNT, 3},
      {LOSE_DISK, 0}, {ELECT, 0},       {CHANGE, 0},    {START, 0},
      {RUN, 4000},    {VOTER_COUNT, 3}, {ALL_EQUAL, 0}, {END, 0}}},
    {"a replica with a lost disk does not bootstrap a new log",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {LOSE_DISK, 0},
      {KILL, 1},
      {KILL, 2},
      {START, 0},
      {RUN, 10000},
      {CHANGE_FAILS, 0},
      {START, 1},
      {START, 2},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 4000},
      {VOTER_COUNT, 3},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a learner that cannot catch up does not become a voter",
     3,
     {{ELECT, 0},
      {CHANGES, 30},
      {LOSE_DISK, 2},
      {BLOCK_APPENDS, 2},
      {START, 2},
      {RUN, 4000},
      {IS_NOT_VOTER, 2},
      {CHANGE, 0},
      {HEAL, 0},
      {RUN, 4000},
      {IS_VOTER, 2},
      {VOTER_COUNT, 3},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"a replica at a new address replaces the unlisted one",
     3,
     {{ELECT, 0},
      {CHANGES, 30},
      {MOVE, 2},
      {RUN, 4000},
      {VOTER_COUNT, 3},
      {START, 2},
      {RUN, 4000},
      {IS_VOTER, 2},
      {VOTER_COUNT, 3},
      {CHANGE, 0},
      {RUN, 500},
      {ALL_EQUAL, 0},
      {END, 0}}},
    {"two lost disks of three leave no quorum",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {LOSE_DISK, 0},
      {LOSE_DISK, 1},
      {START, 0},
      {START, 1},
      {RUN, 10000},
      {CHANGE_FAILS, 0},
      {END, 0}}},
    {"a leader with a full disk steps down",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {FILL_LEADER_DISK, 0},
      {CHANGE_FAILS, 0},
      {NOT_CURRENT, 0},
      {ELECT, 0},
      {CHANGE, 0},
      {END, 0}}},
};

typedef struct {
    RlogSimulation sim;
    int leader;
    int changes;
    Instant fault_at; /* last partition or full disk of the leader */
} Scenario;

static bool
propose_change(Scenario *scenario)
{
    char text[32];
    int len = snprintf(text, sizeof text, "c%d", scenario->changes++);

    return Rsim_CommitChange(&scenario->sim, Str_From(text, (size_t)len),
                             ELECTED_WITHIN);
}

static uint32_t
count_voters(const ReplicatedLog *rlog)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        count += rlog->replicas.items[i].is_voter;
    }
    return count;
}

static bool
is_voter_in_log(Scenario *scenario, int number)
{
    int leader = Rsim_Elect(&scenario->sim, ELECTED_WITHIN);
    const RaftReplica *found =
        Rlog_FindReplica(&scenario->sim.replicas[leader].rlog.replicas,
                         scenario->sim.replicas[number].identity);

    return found && found->is_voter;
}

static bool
propose_changes(Scenario *scenario, int count)
{
    for (int i = 0; i < count; i++) {
        if (!propose_change(scenario)) {
            return false;
        }
    }
    return true;
}

static bool
rejects_reads_and_changes(Scenario *scenario)
{
    ReplicatedLog *rlog = &scenario->sim.replicas[scenario->leader].rlog;

    return !Rlog_IsCurrentSince(rlog, scenario->fault_at) &&
           !Rlog_IsLeading(rlog, scenario->sim.now) &&
           Rlog_Propose(rlog, Str_LIT("x"), scenario->sim.now) == 0;
}

static void
kill_followers(Scenario *scenario, int count)
{
    RlogSimulation *sim = &scenario->sim;

    for (int i = 0; i < sim->replica_count && count; i++) {
        if (i != scenario->leader) {
            Rsim_Kill(sim, i);
            count--;
        }
    }
}

static void
heal(RlogSimulation *sim)
{
    for (int i = 0; i < sim->replica_count; i++) {
        sim->replicas[i].is_partitioned = false;
        sim->replicas[i].appends_blocked = false;
    }
}

static bool
run_step(Scenario *scenario, const Step *step)
{
    RlogSimulation *sim = &scenario->sim;

    switch (step->kind) {
    case ELECT:
        scenario->leader = Rsim_Elect(sim, ELECTED_WITHIN);
        return scenario->leader >= 0;
    case LEADS_WITHIN:
        return Rsim_Elect(sim, Span_MS(step->number)) >= 0;
    case CHANGE:
        return propose_change(scenario);
    case CHANGE_FAILS:
        return !propose_change(scenario);
    case KILL:
        Rsim_Kill(sim, step->number);
        return true;
    case KILL_LEADER:
        Rsim_Kill(sim, scenario->leader);
        return true;
    case START:
        Rsim_Start(sim, step->number);
        return true;
    case PARTITION_LEADER:
        sim->replicas[scenario->leader].is_partitioned = true;
        scenario->fault_at = sim->now;
        return true;
    case NOT_CURRENT:
        return rejects_reads_and_changes(scenario);
    case STILL_LEADER:
        return Rsim_FindLeader(sim) == scenario->leader;
    case BLOCK_APPENDS:
        sim->replicas[step->number].appends_blocked = true;
        return true;
    case HEAL:
        heal(sim);
        return true;
    case LOSE_DISK:
        Rsim_LoseDisk(sim, step->number);
        return true;
    case MOVE:
        Rsim_LoseDisk(sim, step->number);
        sim->replicas[step->number].addr += Rsim_REPLICAS_MAX;
        return true;
    case FILL_LEADER_DISK:
        sim->replicas[scenario->leader].is_disk_full = true;
        scenario->fault_at = sim->now;
        return true;
    case KILL_FOLLOWERS:
        kill_followers(scenario, step->number);
        return true;
    case START_ALL:
        for (int i = 0; i < sim->replica_count; i++) {
            Rsim_Start(sim, i);
        }
        return true;
    case NOT_CURRENT_YET:
        return !Rlog_IsCurrentSince(&sim->replicas[scenario->leader].rlog,
                                    scenario->fault_at);
    case RUN:
        Rsim_Run(sim, Span_MS(step->number));
        return true;
    case VOTER_COUNT:
        return Rsim_Elect(sim, ELECTED_WITHIN) >= 0 &&
               count_voters(&sim->replicas[Rsim_FindLeader(sim)].rlog) ==
                   (uint32_t)step->number;
    case IS_VOTER:
        return is_voter_in_log(scenario, step->number);
    case IS_NOT_VOTER:
        return !is_voter_in_log(scenario, step->number);
    case CHANGES:
        return propose_changes(scenario, step->number);
    case ALL_EQUAL:
        return Rsim_AreAllEqual(sim);
    case END:
        break;
    }
    return true;
}

START_TEST(runs_scenario)
{
    const StepCase *c = &cases[_i];
    static Scenario scenario;

    scenario = (Scenario){.leader = -1};
    Rsim_Init(&scenario.sim, c->replicas, 7);
    for (int i = 0; c->steps[i].kind != END; i++) {
        ck_assert_msg(run_step(&scenario, &c->steps[i]), "%s: step %d",
                      c->name, i);
        ck_assert_msg(scenario.sim.violation_count == 0, "%s: step %d",
                      c->name, i);
    }
    Rsim_Finish(&scenario.sim);
}
END_TEST

/* All replicas lose power, some of them their disks too: those that are left
 * are just a quorum, so that a leader needs the votes of all of them. */
typedef struct {
    const char *name;
    int replicas;
    int disks_lost;
    Span delay;      /* of a message, at least */
    Span connecting; /* from a start until messages arrive */
    Span bound;      /* from power to a leader */
} PowerCase;

static const PowerCase power_cases[] = {
    {"no disk is lost", 5, 0, Span_MS(90), 0, Span_MS(START_ALL_MS)},
    {"a quorum is left of three", 3, 1, Span_MS(90), 0, Span_MS(START_ALL_MS)},
    {"a quorum is left of five", 5, 2, Span_MS(90), 0, Span_MS(START_ALL_MS)},
    {"a quorum is left, close by", 5, 2, Span_MS(5), 0, Span_MS(START_ALL_MS)},
    {"connections open late", 5, 2, Span_MS(90), Span_MS(400),
     2 * Span_MS(START_ALL_MS)},
    {"connections open after the second try", 5, 2, Span_MS(90), Span_MS(900),
     3 * Span_MS(START_ALL_MS)},
};

enum { POWER_SEEDS = 50 };

/* Returns the time from power to a leader, microseconds. */
static Span
restart_all(const PowerCase *c, uint64_t seed)
{
    RlogSimulation sim;
    Instant began;
    Span took;

    Rsim_Init(&sim, c->replicas, seed);
    sim.delay_min = c->delay;
    Rsim_Run(&sim, Span_S(5));
    ck_assert_int_ge(Rsim_FindLeader(&sim), 0);
    for (int i = 0; i < c->replicas; i++) {
        Rsim_Kill(&sim, i);
    }
    Rsim_Run(&sim, Span_S(1)); /* messages in transit are lost */
    for (int i = 0; i < c->replicas; i++) {
        if (i < c->disks_lost) {
            Rsim_LoseDisk(&sim, i);
        }
        Rsim_Start(&sim, i);
        sim.replicas[i].is_partitioned = c->connecting > 0;
    }
    began = sim.now;
    if (c->connecting) {
        Rsim_Run(&sim, c->connecting);
    }
    for (int i = 0; i < c->replicas; i++) {
        sim.replicas[i].is_partitioned = false;
    }
    while (Rsim_FindLeader(&sim) < 0 && sim.now - began < Span_S(10)) {
        Rsim_Run(&sim, Span_MS(5));
    }
    took = sim.now - began;
    ck_assert_int_eq(sim.violation_count, 0);
    Rsim_Finish(&sim);
    return took;
}

START_TEST(elects_soon_after_a_loss_of_power)
{
    const PowerCase *c = &power_cases[_i];
    Span longest = 0;
    Span sum = 0;

    for (uint64_t seed = 1; seed <= POWER_SEEDS; seed++) {
        Span took = restart_all(c, seed);
        sum += took;
        longest = took > longest ? took : longest;
    }
    printf("%s: mean %d ms, longest %d ms\n", c->name,
           (int)(sum / POWER_SEEDS / 1000), (int)(longest / 1000));
    fflush(stdout);
    ck_assert_int_le(longest, c->bound);
}
END_TEST

typedef struct {
    int replicas;
    uint64_t seed;
    uint32_t drop_permille;
    uint32_t double_permille;
    int delay_ms;
    bool lose_disks;
    size_t committed_bytes_min; /* minimum of bytes committed */
} ScheduleCase;

static const ScheduleCase schedules[] = {
    {3, 1, 0, 0, 50, false, 400},      {3, 2, 100, 100, 100, false, 400},
    {5, 3, 100, 100, 300, false, 400}, {5, 4, 300, 300, 600, false, 100},
    {7, 5, 50, 50, 200, false, 400},   {3, 6, 20, 20, 50, true, 400},
    {5, 7, 100, 100, 100, true, 400},  {5, 8, 50, 200, 400, true, 400},
};

enum { EVENTS = 400 };

static int
count_unreachable(const RlogSimulation *sim)
{
    int count = 0;

    for (int i = 0; i < sim->replica_count; i++) {
        const SimulatedReplica *replica = &sim->replicas[i];
        count += !replica->is_up || replica->is_partitioned;
    }
    return count;
}

/* Whether a disk may be lost: every replica is up, is a voter and has all
 * entries.  The log guarantees nothing for losses in other states. */
static bool
can_lose_disk(const RlogSimulation *sim)
{
    int leader = Rsim_FindLeader(sim);

    return leader >= 0 && count_unreachable(sim) == 0 &&
           Rsim_AreAllEqual(sim) &&
           count_voters(&sim->replicas[leader].rlog) ==
               (uint32_t)sim->replica_count &&
           sim->replicas[leader].rlog.replicas.count ==
               (uint32_t)sim->replica_count;
}

static void
inject_fault(RlogSimulation *sim, const ScheduleCase *c, int event)
{
    int number = (int)Rng_Below(&sim->rng, (uint32_t)sim->replica_count);
    SimulatedReplica *replica = &sim->replicas[number];
    int leader = Rsim_FindLeader(sim);
    char text[32];
    int len = snprintf(text, sizeof text, "e%d", event);

    switch (Rng_Below(&sim->rng, 8)) {
    case 0:
        Rsim_Kill(sim, number);
        break;
    case 1:
        replica->is_partitioned = !replica->is_partitioned;
        break;
    case 2:
        if (c->lose_disks && can_lose_disk(sim)) {
            Rsim_LoseDisk(sim, number);
        }
        Rsim_Start(sim, number);
        break;
    case 3:
        heal(sim);
        for (int i = 0; i < sim->replica_count; i++) {
            Rsim_Start(sim, i);
        }
        break;
    default:
        if (leader >= 0) {
            Rlog_Propose(&sim->replicas[leader].rlog,
                         Str_From(text, (size_t)len), sim->now);
        }
    }
}

START_TEST(keeps_commits_under_random_faults)
{
    const ScheduleCase *c = &schedules[_i];
    static RlogSimulation sim;

    printf("schedule: replicas %d seed %llu\n", c->replicas,
           (unsigned long long)c->seed);
    Rsim_Init(&sim, c->replicas, c->seed);
    sim.drop_permille = c->drop_permille;
    sim.duplicate_permille = c->double_permille;
    sim.delay_max = Span_MS(c->delay_ms);
    for (int event = 0; event < EVENTS; event++) {
        inject_fault(&sim, c, event);
        Rsim_Run(&sim, Span_MS(Rng_Below(&sim.rng, 1000)));
        ck_assert_int_eq(sim.violation_count, 0);
    }
    heal(&sim);
    sim.drop_permille = 0;
    sim.delay_max = 0;
    for (int i = 0; i < sim.replica_count; i++) {
        Rsim_Start(&sim, i);
    }
    ck_assert_int_ge(Rsim_Elect(&sim, Span_S(60)), 0);
    ck_assert(Rsim_CommitChange(&sim, Str_LIT("last"), ELECTED_WITHIN));
    Rsim_Run(&sim, Span_S(10));
    ck_assert(Rsim_AreAllEqual(&sim));
    ck_assert_int_eq(sim.violation_count, 0);
    ck_assert_uint_gt(sim.committed.len, c->committed_bytes_min);
    ck_assert_uint_gt(sim.read_count, EVENTS);
    ck_assert_uint_gt(sim.as_of_count, sim.read_count);
    ck_assert(!c->lose_disks || sim.identity_count > (uint64_t)c->replicas);
    Rsim_Finish(&sim);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {runs_scenario, ROWS(cases)},
        {elects_soon_after_a_loss_of_power, ROWS(power_cases)},
        {keeps_commits_under_random_faults, ROWS(schedules)},
    };

    return Suite_Run("rlog", tests, ROWS(tests), 30);
}
