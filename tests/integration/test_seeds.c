/* Control replicas that nodes find through seeds: a first start in several
 * orders, restarts of all nodes, lost disks and truncated files.  Acknowledged
 * changes stay in force, and no node returns to an older version.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 39, VMS = 7, REPLICAS = 5, CHANGES = 3 };

#define SETTLE_TIMEOUT Span_S(10)
#define START_PAUSE Span_MS(30)

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/visor/\","
            "\"idempotent\":true}]}");

typedef enum {
    NO_FAULT,
    LOSE_TWO_DISKS, /* two replicas lose their data folders */
    TRUNCATE_LOG,   /* a replica's log loses its last bytes */
    EMPTY_VOTE,     /* a replica's vote file is empty */
    EMPTY_IDENTITY, /* a replica's identity file is empty */
    REPLACE_REPLICA /* a replica does not start again, a new one does */
} Fault;

typedef struct {
    const char *name;
    Str first_order;   /* in which the nodes start, one digit each */
    Str first_seeds;   /* of the first start */
    Str restart_order; /* after all were killed; empty: no restart */
    Str restart_seeds; /* of the restart */
    Fault fault;       /* while no node runs */
} Case;

#define ASCENDING Str_LIT("012345")
#define DESCENDING Str_LIT("543210")
#define MIXED Str_LIT("351024")

static const Case cases[] = {
    {"in order", ASCENDING, Str_LIT("012"), {0}, {0}, NO_FAULT},
    {"descending order", DESCENDING, Str_LIT("012"), {0}, {0}, NO_FAULT},
    {"seeds last", Str_LIT("345012"), Str_LIT("012"), {0}, {0}, NO_FAULT},
    {"one seed", MIXED, Str_LIT("1"), {0}, {0}, NO_FAULT},
    {"seeds not in order", MIXED, Str_LIT("420"), {0}, {0}, NO_FAULT},
    {"all killed", ASCENDING, Str_LIT("012"), ASCENDING, Str_LIT("012"),
     NO_FAULT},
    {"all killed, other order", ASCENDING, Str_LIT("012"), DESCENDING,
     Str_LIT("012"), NO_FAULT},
    {"all killed, other seeds", ASCENDING, Str_LIT("012"), MIXED, Str_LIT("4"),
     NO_FAULT},
    {"a seed that does not run", ASCENDING, Str_LIT("012"), ASCENDING,
     Str_LIT("63"), NO_FAULT},
    {"two disks lost", ASCENDING, Str_LIT("012"), ASCENDING, Str_LIT("012"),
     LOSE_TWO_DISKS},
    {"two disks lost, other order", ASCENDING, Str_LIT("012"), DESCENDING,
     Str_LIT("34"), LOSE_TWO_DISKS},
    {"a truncated log", ASCENDING, Str_LIT("012"), ASCENDING, Str_LIT("012"),
     TRUNCATE_LOG},
    {"a truncated log, started first", ASCENDING, Str_LIT("012"), MIXED,
     Str_LIT("01"), TRUNCATE_LOG},
    {"an empty vote", ASCENDING, Str_LIT("012"), DESCENDING, Str_LIT("012"),
     EMPTY_VOTE},
    {"an empty identity", ASCENDING, Str_LIT("012"), DESCENDING,
     Str_LIT("012"), EMPTY_IDENTITY},
    {"a seed was replaced", ASCENDING, Str_LIT("012"), Str_LIT("123456"),
     Str_LIT("012"), REPLACE_REPLICA},
};

static void
start_in_order(Fleet *fleet, Str order)
{
    for (size_t i = 0; i < order.len; i++) {
        Fleet_StartNode(fleet, order.ptr[i] - '0');
        Fleet_Sleep(START_PAUSE);
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
run_command(Fleet *fleet, const char *format, int vm)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command, format, Str_ARG(fleet->folder), vm);
    ck_assert_int_eq(system(StrBuf_CStr(&command)), 0);
    StrBuf_Finish(&command);
}

static void
inject_fault(Fleet *fleet, Fault fault)
{
    switch (fault) {
    case NO_FAULT:
        break;
    case LOSE_TWO_DISKS:
        Fleet_LoseDataFolder(fleet, 0);
        Fleet_LoseDataFolder(fleet, 1);
        break;
    case TRUNCATE_LOG:
        run_command(fleet, "truncate -s -3 %.*s/data%d/control/log", 3);
        break;
    case EMPTY_VOTE:
        run_command(fleet, "truncate -s 0 %.*s/data%d/control/vote", 3);
        break;
    case EMPTY_IDENTITY:
        run_command(fleet, "truncate -s 0 %.*s/data%d/control/identity", 3);
        break;
    case REPLACE_REPLICA:
        /* VM 6 is a control replica from now on. */
        fleet->control_count = VMS;
        break;
    }
}

/* Puts preset "peak" through VM.  Returns the newest version. */
static ConfigVersion
change(Fleet *fleet, int vm, const char *id)
{
    OpsChange c = {.vm = vm, .id = id, .verb = "put", .name = "peak"};

    ck_assert_msg(Ops_RetryChange(fleet, &c, SETTLE_TIMEOUT),
                  "%s is not accepted", id);
    return Ops_GetNewestVersion(fleet, vm);
}

static void
check_in_force(Fleet *fleet, const Case *c, OpsVersionWatch *watch,
               ConfigVersion version)
{
    ck_assert_msg(Ops_WaitForVersion(fleet, watch, version, SETTLE_TIMEOUT) >=
                      0,
                  "%s: not in force everywhere", c->name);
    ck_assert_msg(watch->regression_count == 0,
                  "%s: a node returned to an older version", c->name);
}

START_TEST(acknowledged_changes_stay_in_force)
{
    const Case *c = &cases[_i];
    OpsVersionWatch watch = {0};
    ConfigVersion version = {0};
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(&fleet, preset);
    Fleet_UseSeeds(&fleet, c->first_seeds, true);
    start_in_order(&fleet, c->first_order);
    ck_assert_msg(Ops_WaitForLeader(&fleet, SETTLE_TIMEOUT) >= 0,
                  "%s: no leader", c->name);
    for (int i = 0; i < CHANGES; i++) {
        char id[32];
        snprintf(id, sizeof id, "change-%d", i);
        version = change(&fleet, i % REPLICAS, id);
    }
    check_in_force(&fleet, c, &watch, version);
    if (c->restart_order.len) {
        kill_all(&fleet);
        inject_fault(&fleet, c->fault);
        Fleet_UseSeeds(&fleet, c->restart_seeds, false);
        start_in_order(&fleet, c->restart_order);
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
    const SuiteTest tests[] = {
        {acknowledged_changes_stay_in_force, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("seeds", tests, 1, 60);
}
