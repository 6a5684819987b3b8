/* Control replicas with a bound on voters: lost disks and VMs, spare ones. */
#include "support/rlogworld.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { FOUNDERS = 5, VOTERS = 5 };

/* DEAFEN: it says hello, and gets no entries. */
typedef enum { KILL, LOSE_DISK, DEAFEN, START_SPARE, START_AGAIN, RUN } Event;

typedef struct {
    Event event;
    int number; /* of the replica, or seconds */
} Step;

enum { STEPS_MAX = 10 };

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
    int count;
    uint32_t voters; /* at the end */
    uint32_t here;   /* of these, running */
} SeatCase;

static const SeatCase cases[] = {
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
    {"a VM is replaced at another address",
     {{KILL, 4}, {START_SPARE, 5}, {RUN, 8}},
     3,
     5,
     5},
    {"the new VM first",
     {{START_SPARE, 5}, {RUN, 4}, {KILL, 4}, {RUN, 8}},
     4,
     5,
     5},
    {"a disk is lost long after the election",
     {{RUN, 60}, {LOSE_DISK, 1}, {START_AGAIN, 1}, {RUN, 5}},
     4,
     5,
     5},
    {"a spare one waits", {{START_SPARE, 5}, {RUN, 8}}, 2, 5, 5},
    {"a spare one says hello, and does not catch up",
     {{RUN, 30}, {DEAFEN, 5}, {START_SPARE, 5}, {RUN, 30}},
     4,
     5,
     5},
    {"one is down for a while, and nobody is in its place",
     {{KILL, 3}, {RUN, 8}},
     2,
     5,
     4},
    {"replaced, and back again",
     {{KILL, 3}, {START_SPARE, 5}, {RUN, 8}, {START_AGAIN, 3}, {RUN, 5}},
     5,
     5,
     5},
};

static void
take_step(World *world, const Step *step)
{
    switch (step->event) {
    case KILL:
        World_Kill(world, step->number);
        break;
    case LOSE_DISK:
        World_LoseDisk(world, step->number);
        break;
    case DEAFEN:
        world->replicas[step->number].deaf = true;
        break;
    case START_SPARE:
    case START_AGAIN:
        World_Start(world, step->number);
        break;
    case RUN:
        World_Run(world, Span_S(step->number));
        break;
    }
}

/* Five found the log; further replicas of the world are spare and down. */
static void
init_world(World *world)
{
    World_Init(world, FOUNDERS, 11);
    world->voters_max = VOTERS;
    /* Answers from another region come after the leader looked again. */
    world->delay_max = Span_MS(60);
    for (int i = 0; i < FOUNDERS; i++) {
        world->replicas[i].rlog.settings.voters_max = VOTERS;
    }
    World_AddSpare(world);
    ck_assert(World_Elect(world, Span_S(5)) >= 0);
    ck_assert(World_Change(world, Str_LIT("first"), Span_S(5)));
}

START_TEST(seats_are_filled)
{
    const SeatCase *c = &cases[_i];
    World world;
    const RaftReplicaList *replicas;
    uint32_t voters = 0;
    uint32_t here = 0;
    int leader;

    init_world(&world);
    for (int i = 0; i < c->count; i++) {
        take_step(&world, &c->steps[i]);
    }
    leader = World_Elect(&world, Span_S(10));
    ck_assert(leader >= 0);
    ck_assert(World_Change(&world, Str_LIT("last"), Span_S(5)));
    replicas = &world.replicas[leader].rlog.replicas;
    for (uint32_t i = 0; i < replicas->count; i++) {
        const RaftReplica *replica = &replicas->items[i];
        voters += replica->is_voter;
        for (int k = 0; k < world.count; k++) {
            here += replica->is_voter && world.replicas[k].up &&
                    world.replicas[k].identity == replica->identity;
        }
    }
    ck_assert_msg(voters == c->voters && here == c->here,
                  "%s: %u voters, %u here", c->name, voters, here);
    /* They do not come and go: a few entries of replicas for each step. */
    ck_assert_msg(
        Rlog_LastIndex(&world.replicas[leader].rlog) < 16, "%s: %llu entries",
        c->name,
        (unsigned long long)Rlog_LastIndex(&world.replicas[leader].rlog));
    ck_assert_int_eq(world.broken, 0);
    World_Finish(&world);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{seats_are_filled, ROWS(cases)}};

    return Suite_Run("seats", tests, 1, 30);
}
