/* The replicated log decider: several replicas in one process. */
#include <stdio.h>

#include "support/rlogworld.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define ELECTED_WITHIN Span_S(5)

/* A start of all: sooner than replicas that had a leader would try, which is
 * the world's election timeout at the least. */
enum { START_ALL_MS = 1000 };

typedef enum {
    END,
    ELECT,       /* somebody becomes current; that is the LEADER from now */
    CHANGE,      /* a change is committed */
    CHANGE_LOST, /* none can be committed */
    KILL,
    KILL_LEADER,
    START,
    CUT_LEADER,   /* silent: its messages vanish both ways */
    NOT_CURRENT,  /* the last LEADER neither accepts nor serves what is asked
                     after it was cut */
    LEADS_WITHIN, /* somebody within NUMBER milliseconds */
    STILL_LEADER, /* it has not heard of another */
    HEAL,
    DEAFEN, /* replica NUMBER hears no appends */
    LOSE_DISK,
    MOVE,        /* replica NUMBER loses its disk and its address */
    FILL_LEADER, /* its disk takes nothing more */
    KILL_OTHERS, /* NUMBER replicas that do not lead */
    START_OTHERS,
    NOT_CURRENT_YET, /* the last LEADER does not serve what is asked after it
                        was cut, though it may not know yet */
    RUN,             /* NUMBER milliseconds */
    VOTERS,          /* the current leader counts NUMBER voters */
    VOTES,           /* replica NUMBER votes */
    VOTES_NOT,
    MANY, /* NUMBER changes */
    EQUAL /* every replica that is up has committed all */
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
    {"commits",
     3,
     {{ELECT, 0}, {CHANGE, 0}, {CHANGE, 0}, {RUN, 500}, {EQUAL, 0}, {END, 0}}},
    {"one replica alone", 1, {{ELECT, 0}, {CHANGE, 0}, {EQUAL, 0}, {END, 0}}},
    {"leader lost",
     5,
     {{ELECT, 0},
      {CHANGE, 0},
      {KILL_LEADER, 0},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 500},
      {EQUAL, 0},
      {END, 0}}},
    {"no quorum accepts nothing",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {KILL, 1},
      {KILL, 2},
      {RUN, 2000},
      {CHANGE_LOST, 0},
      {START, 1},
      {CHANGE, 0},
      {RUN, 500},
      {EQUAL, 0},
      {END, 0}}},
    {"a silent leader knows that it does not know",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {CUT_LEADER, 0},
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
      {EQUAL, 0},
      {END, 0}}},
    {"a cut of an hour disturbs nobody when it ends",
     5,
     {{ELECT, 0},
      {CHANGE, 0},
      {CUT_LEADER, 0},
      {RUN, 3600000},
      {ELECT, 0},
      {HEAL, 0},
      {RUN, 1500},
      {STILL_LEADER, 0},
      {CHANGE, 0},
      {RUN, 500},
      {EQUAL, 0},
      {END, 0}}},
    {"restart of all",
     3,
     {{ELECT, 0},
      {MANY, 50},
      {KILL, 0},
      {KILL, 1},
      {KILL, 2},
      {RUN, 100}, /* what was on its way is gone */
      {START, 0},
      {START, 1},
      {START, 2},
      {LEADS_WITHIN, START_ALL_MS},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 500},
      {EQUAL, 0},
      {END, 0}}},
    {"a leader that goes on is not disturbed by replicas that start",
     5,
     {{ELECT, 0},
      {CHANGE, 0},
      {KILL_OTHERS, 2},
      {START_OTHERS, 0},
      {RUN, 2000},
      {STILL_LEADER, 0},
      {CHANGE, 0},
      {RUN, 500},
      {EQUAL, 0},
      {END, 0}}},
    {"a quorum starts again at once behind a silent leader",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {CUT_LEADER, 0},
      {KILL_OTHERS, 2},
      {RUN, 100},
      {START_OTHERS, 0},
      {LEADS_WITHIN, START_ALL_MS},
      {NOT_CURRENT_YET, 0},
      {CHANGE, 0},
      {HEAL, 0},
      {RUN, 1500},
      {EQUAL, 0},
      {END, 0}}},
    {"back after 300 changes",
     3,
     {{ELECT, 0},
      {KILL, 1},
      {MANY, 300},
      {START, 1},
      {RUN, 2000},
      {EQUAL, 0},
      {END, 0}}},
    {"a lost disk comes back as a learner that becomes a voter",
     3,
     {{ELECT, 0},
      {MANY, 30},
      {LOSE_DISK, 2},
      {CHANGE, 0},
      {START, 2},
      {VOTES_NOT, 2},
      {RUN, 4000},
      {VOTES, 2},
      {VOTERS, 3},
      {EQUAL, 0},
      {END, 0}}},
    {"a second machine lost right after the repair",
     3,
     {{ELECT, 0},  {MANY, 30},  {LOSE_DISK, 2}, {START, 2},  {RUN, 4000},
      {VOTERS, 3}, {CHANGE, 0}, {LOSE_DISK, 1}, {CHANGE, 0}, {START, 1},
      {RUN, 4000}, {VOTERS, 3}, {LOSE_DISK, 0}, {ELECT, 0},  {CHANGE, 0},
      {START, 0},  {RUN, 4000}, {VOTERS, 3},    {EQUAL, 0},  {END, 0}}},
    {"a lost disk alone starts no history",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {LOSE_DISK, 0},
      {KILL, 1},
      {KILL, 2},
      {START, 0},
      {RUN, 10000},
      {CHANGE_LOST, 0},
      {START, 1},
      {START, 2},
      {ELECT, 0},
      {CHANGE, 0},
      {RUN, 4000},
      {VOTERS, 3},
      {EQUAL, 0},
      {END, 0}}},
    {"a learner that cannot catch up does not vote",
     3,
     {{ELECT, 0},
      {MANY, 30},
      {LOSE_DISK, 2},
      {DEAFEN, 2},
      {START, 2},
      {RUN, 4000},
      {VOTES_NOT, 2},
      {CHANGE, 0},
      {HEAL, 0},
      {RUN, 4000},
      {VOTES, 2},
      {VOTERS, 3},
      {EQUAL, 0},
      {END, 0}}},
    {"a replica moved to another address takes the old one's place",
     3,
     {{ELECT, 0},
      {MANY, 30},
      {MOVE, 2},
      {RUN, 4000},
      {VOTERS, 3},
      {START, 2},
      {RUN, 4000},
      {VOTES, 2},
      {VOTERS, 3},
      {CHANGE, 0},
      {RUN, 500},
      {EQUAL, 0},
      {END, 0}}},
    {"two lost disks leave no quorum, and nothing is accepted",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {LOSE_DISK, 0},
      {LOSE_DISK, 1},
      {START, 0},
      {START, 1},
      {RUN, 10000},
      {CHANGE_LOST, 0},
      {END, 0}}},
    {"a full disk steps down",
     3,
     {{ELECT, 0},
      {CHANGE, 0},
      {FILL_LEADER, 0},
      {CHANGE_LOST, 0},
      {NOT_CURRENT, 0},
      {ELECT, 0},
      {CHANGE, 0},
      {END, 0}}},
};

typedef struct {
    World world;
    int leader;
    int changes;
    Instant cut_at; /* the leader, last */
} Play;

static bool
change(Play *play)
{
    char text[32];
    int len = snprintf(text, sizeof text, "c%d", play->changes++);

    return World_Change(&play->world, Str_From(text, (size_t)len),
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
votes(Play *play, int number)
{
    int leader = World_Elect(&play->world, ELECTED_WITHIN);
    const RaftReplica *found =
        Rlog_FindReplica(&play->world.replicas[leader].rlog.replicas,
                         play->world.replicas[number].identity);

    return found && found->is_voter;
}

static bool
many(Play *play, int count)
{
    for (int i = 0; i < count; i++) {
        if (!change(play)) {
            return false;
        }
    }
    return true;
}

static bool
not_current(Play *play)
{
    ReplicatedLog *rlog = &play->world.replicas[play->leader].rlog;

    return !Rlog_IsCurrentSince(rlog, play->cut_at) &&
           !Rlog_IsLeading(rlog, play->world.now) &&
           Rlog_Propose(rlog, Str_LIT("x"), play->world.now) == 0;
}

static void
kill_others(Play *play, int count)
{
    World *world = &play->world;

    for (int i = 0; i < world->count && count; i++) {
        if (i != play->leader) {
            World_Kill(world, i);
            count--;
        }
    }
}

static void
heal(World *world)
{
    for (int i = 0; i < world->count; i++) {
        world->replicas[i].cut = false;
        world->replicas[i].deaf = false;
    }
}

static bool
take_step(Play *play, const Step *step)
{
    World *world = &play->world;

    switch (step->kind) {
    case ELECT:
        play->leader = World_Elect(world, ELECTED_WITHIN);
        return play->leader >= 0;
    case LEADS_WITHIN:
        return World_Elect(world, Span_MS(step->number)) >= 0;
    case CHANGE:
        return change(play);
    case CHANGE_LOST:
        return !change(play);
    case KILL:
        World_Kill(world, step->number);
        return true;
    case KILL_LEADER:
        World_Kill(world, play->leader);
        return true;
    case START:
        World_Start(world, step->number);
        return true;
    case CUT_LEADER:
        world->replicas[play->leader].cut = true;
        play->cut_at = world->now;
        return true;
    case NOT_CURRENT:
        return not_current(play);
    case STILL_LEADER:
        return World_Leader(world) == play->leader;
    case DEAFEN:
        world->replicas[step->number].deaf = true;
        return true;
    case HEAL:
        heal(world);
        return true;
    case LOSE_DISK:
        World_LoseDisk(world, step->number);
        return true;
    case MOVE:
        World_LoseDisk(world, step->number);
        world->replicas[step->number].addr += World_REPLICAS;
        return true;
    case FILL_LEADER:
        world->replicas[play->leader].full = true;
        play->cut_at = world->now;
        return true;
    case KILL_OTHERS:
        kill_others(play, step->number);
        return true;
    case START_OTHERS:
        for (int i = 0; i < world->count; i++) {
            World_Start(world, i);
        }
        return true;
    case NOT_CURRENT_YET:
        return !Rlog_IsCurrentSince(&world->replicas[play->leader].rlog,
                                    play->cut_at);
    case RUN:
        World_Run(world, Span_MS(step->number));
        return true;
    case VOTERS:
        return World_Elect(world, ELECTED_WITHIN) >= 0 &&
               count_voters(&world->replicas[World_Leader(world)].rlog) ==
                   (uint32_t)step->number;
    case VOTES:
        return votes(play, step->number);
    case VOTES_NOT:
        return !votes(play, step->number);
    case MANY:
        return many(play, step->number);
    case EQUAL:
        return World_AllEqual(world);
    case END:
        break;
    }
    return true;
}

START_TEST(plays_steps)
{
    const StepCase *c = &cases[_i];
    static Play play;

    play = (Play){.leader = -1};
    World_Init(&play.world, c->replicas, 7);
    for (int i = 0; c->steps[i].kind != END; i++) {
        ck_assert_msg(take_step(&play, &c->steps[i]), "%s: step %d", c->name,
                      i);
        ck_assert_msg(play.world.broken == 0, "%s: step %d", c->name, i);
    }
    World_Finish(&play.world);
}
END_TEST

typedef struct {
    int replicas;
    uint64_t seed;
    uint32_t drop_permille;
    uint32_t double_permille;
    int delay_ms;
    bool lose_disks;
    size_t committed_bytes_min; /* bytes committed at least */
} ScheduleCase;

static const ScheduleCase schedules[] = {
    {3, 1, 0, 0, 50, false, 400},      {3, 2, 100, 100, 100, false, 400},
    {5, 3, 100, 100, 300, false, 400}, {5, 4, 300, 300, 600, false, 100},
    {7, 5, 50, 50, 200, false, 400},   {3, 6, 20, 20, 50, true, 400},
    {5, 7, 100, 100, 100, true, 400},  {5, 8, 50, 200, 400, true, 400},
};

enum { EVENTS = 400 };

static int
count_down(const World *world)
{
    int count = 0;

    for (int i = 0; i < world->count; i++) {
        const WorldReplica *replica = &world->replicas[i];
        count += !replica->up || replica->cut;
    }
    return count;
}

/* A disk is lost only while every replica is up, votes, and has all: more
 * than that nobody promises. */
static bool
may_lose_disk(const World *world)
{
    int leader = World_Leader(world);

    return leader >= 0 && count_down(world) == 0 && World_AllEqual(world) &&
           count_voters(&world->replicas[leader].rlog) ==
               (uint32_t)world->count &&
           world->replicas[leader].rlog.replicas.count ==
               (uint32_t)world->count;
}

static void
disturb(World *world, const ScheduleCase *c, int event)
{
    int number = (int)Rng_Below(&world->rng, (uint32_t)world->count);
    WorldReplica *replica = &world->replicas[number];
    int leader = World_Leader(world);
    char text[32];
    int len = snprintf(text, sizeof text, "e%d", event);

    switch (Rng_Below(&world->rng, 8)) {
    case 0:
        World_Kill(world, number);
        break;
    case 1:
        replica->cut = !replica->cut;
        break;
    case 2:
        if (c->lose_disks && may_lose_disk(world)) {
            World_LoseDisk(world, number);
        }
        World_Start(world, number);
        break;
    case 3:
        heal(world);
        for (int i = 0; i < world->count; i++) {
            World_Start(world, i);
        }
        break;
    default:
        if (leader >= 0) {
            Rlog_Propose(&world->replicas[leader].rlog,
                         Str_From(text, (size_t)len), world->now);
        }
    }
}

START_TEST(keeps_commits_under_any_schedule)
{
    const ScheduleCase *c = &schedules[_i];
    static World world;

    printf("schedule: replicas %d seed %llu\n", c->replicas,
           (unsigned long long)c->seed);
    World_Init(&world, c->replicas, c->seed);
    world.drop_permille = c->drop_permille;
    world.double_permille = c->double_permille;
    world.delay_max = Span_MS(c->delay_ms);
    for (int event = 0; event < EVENTS; event++) {
        disturb(&world, c, event);
        World_Run(&world, Span_MS(Rng_Below(&world.rng, 1000)));
        ck_assert_int_eq(world.broken, 0);
    }
    heal(&world);
    world.drop_permille = 0;
    world.delay_max = 0;
    for (int i = 0; i < world.count; i++) {
        World_Start(&world, i);
    }
    ck_assert_int_ge(World_Elect(&world, Span_S(60)), 0);
    ck_assert(World_Change(&world, Str_LIT("last"), ELECTED_WITHIN));
    World_Run(&world, Span_S(10));
    ck_assert(World_AllEqual(&world));
    ck_assert_int_eq(world.broken, 0);
    ck_assert_uint_gt(world.longest.len, c->committed_bytes_min);
    ck_assert_uint_gt(world.reads, EVENTS);
    ck_assert(!c->lose_disks || world.identities > (uint64_t)c->replicas);
    World_Finish(&world);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {plays_steps, ROWS(cases)},
        {keeps_commits_under_any_schedule, ROWS(schedules)},
    };

    return Suite_Run("rlog", tests, ROWS(tests), 30);
}
