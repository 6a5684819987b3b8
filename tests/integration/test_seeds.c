/* Control replicas that are found through seeds: a first start in any order,
 * starts of all, lost disks and torn files.  What was acknowledged stays in
 * force, and no node goes back.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 39, VMS = 7, REPLICAS = 5, CHANGES = 3 };

#define SETTLE Span_S(10)
#define APART Span_MS(30)

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/visor/\","
            "\"idempotent\":true}]}");

typedef enum {
    NOTHING,
    LOSE_TWO, /* disks of replicas */
    TEAR,     /* the last bytes of a replica's log */
    VOTE,     /* a replica's vote is an empty file */
    IDENTITY, /* its identity */
    REPLACE   /* a replica is gone for good, another one starts */
} Harm;

typedef struct {
    const char *name;
    Str first; /* in which order the nodes start, a digit each */
    Str seeds; /* of that start */
    Str order; /* after all were killed; empty: they were not */
    Str later; /* seeds of that start */
    Harm harm; /* while all are down */
} Case;

#define UP Str_LIT("012345")
#define DOWN Str_LIT("543210")
#define MIXED Str_LIT("351024")

static const Case cases[] = {
    {"in order", UP, Str_LIT("012"), {0}, {0}, NOTHING},
    {"the others first", DOWN, Str_LIT("012"), {0}, {0}, NOTHING},
    {"seeds last", Str_LIT("345012"), Str_LIT("012"), {0}, {0}, NOTHING},
    {"one seed", MIXED, Str_LIT("1"), {0}, {0}, NOTHING},
    {"seeds not in order", MIXED, Str_LIT("420"), {0}, {0}, NOTHING},
    {"all killed", UP, Str_LIT("012"), UP, Str_LIT("012"), NOTHING},
    {"all killed, other order", UP, Str_LIT("012"), DOWN, Str_LIT("012"),
     NOTHING},
    {"all killed, other seeds", UP, Str_LIT("012"), MIXED, Str_LIT("4"),
     NOTHING},
    {"a seed is nobody", UP, Str_LIT("012"), UP, Str_LIT("63"), NOTHING},
    {"two disks lost", UP, Str_LIT("012"), UP, Str_LIT("012"), LOSE_TWO},
    {"two disks lost, other order", UP, Str_LIT("012"), DOWN, Str_LIT("34"),
     LOSE_TWO},
    {"a torn file", UP, Str_LIT("012"), UP, Str_LIT("012"), TEAR},
    {"a torn file, started first", UP, Str_LIT("012"), MIXED, Str_LIT("01"),
     TEAR},
    {"an empty vote", UP, Str_LIT("012"), DOWN, Str_LIT("012"), VOTE},
    {"an empty identity", UP, Str_LIT("012"), DOWN, Str_LIT("012"), IDENTITY},
    {"a seed is another one", UP, Str_LIT("012"), Str_LIT("123456"),
     Str_LIT("012"), REPLACE},
};

static void
start_in(Fleet *fleet, Str order)
{
    for (size_t i = 0; i < order.len; i++) {
        Fleet_StartNode(fleet, order.ptr[i] - '0');
        Fleet_Sleep(APART);
    }
}

static void
kill_all(Fleet *fleet)
{
    for (int i = 0; i < VMS; i++) {
        Fleet_Kill(&fleet->vms[i].node, SIGKILL);
    }
}

static void
run(Fleet *fleet, const char *format, int vm)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command, format, Str_ARG(fleet->folder), vm);
    ck_assert_int_eq(system(StrBuf_CStr(&command)), 0);
    StrBuf_Finish(&command);
}

static void
do_harm(Fleet *fleet, Harm harm)
{
    switch (harm) {
    case NOTHING:
        break;
    case LOSE_TWO:
        Fleet_LoseDataFolder(fleet, 0);
        Fleet_LoseDataFolder(fleet, 1);
        break;
    case TEAR:
        run(fleet, "truncate -s -3 %.*s/data%d/control/log", 3);
        break;
    case VOTE:
        run(fleet, "truncate -s 0 %.*s/data%d/control/vote", 3);
        break;
    case IDENTITY:
        run(fleet, "truncate -s 0 %.*s/data%d/control/identity", 3);
        break;
    case REPLACE:
        /* VM 6 carries a replica from now on. */
        fleet->control_count = VMS;
        break;
    }
}

static ConfigVersion
change(Fleet *fleet, int vm, const char *id)
{
    OpsChange c = {.vm = vm, .id = id, .verb = "put", .name = "peak"};

    ck_assert_msg(Ops_RetryChange(fleet, &c, SETTLE), "%s is not accepted",
                  id);
    return Ops_GetNewestVersion(fleet, vm);
}

static void
check_in_force(Fleet *fleet, const Case *c, OpsVersionWatch *watch,
               ConfigVersion version)
{
    ck_assert_msg(Ops_WaitForVersion(fleet, watch, version, SETTLE) >= 0,
                  "%s: not in force everywhere", c->name);
    ck_assert_msg(watch->regression_count == 0, "%s: a node went back",
                  c->name);
}

START_TEST(acknowledged_stays_in_force)
{
    const Case *c = &cases[_i];
    OpsVersionWatch watch = {0};
    ConfigVersion version = {0};
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(&fleet, preset);
    Fleet_UseSeeds(&fleet, c->seeds, true);
    start_in(&fleet, c->first);
    ck_assert_msg(Ops_WaitForLeader(&fleet, SETTLE) >= 0, "%s: no leader",
                  c->name);
    for (int i = 0; i < CHANGES; i++) {
        char id[32];
        snprintf(id, sizeof id, "change-%d", i);
        version = change(&fleet, i % REPLICAS, id);
    }
    check_in_force(&fleet, c, &watch, version);
    if (c->order.len) {
        kill_all(&fleet);
        do_harm(&fleet, c->harm);
        Fleet_UseSeeds(&fleet, c->later, false);
        start_in(&fleet, c->order);
        check_in_force(&fleet, c, &watch, version);
        version = change(&fleet, 2, "after");
        check_in_force(&fleet, c, &watch, version);
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{acknowledged_stays_in_force, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("seeds", tests, 1, 60);
}
