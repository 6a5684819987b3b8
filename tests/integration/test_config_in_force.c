/* Changes of the routing while the disks of control replicas are slow: each is
 * acknowledged in time, soon in force at every node, and can be read.
 */
#include <signal.h>
#include <stdio.h>

#include "fleet_watch.h"
#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define CHANGE_GAP Span_MS(300)
#define HANG Span_MS(3500)
#define RUN_TIMEOUT Span_S(15)

/* Calm at the end: longer than a read or a change may take then. */
#define CALM_TIME Span_S(8)

enum { SUBNET = 90, VMS = 9, REPLICAS = 5, CHANGES = 3, SEED = 20261206 };

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":[]}");

typedef enum {
    NO_FAULT,
    LEADER_DISK_HANGS,
    ALL_KILLED /* and two of them lose their data folders */
} Fault;

typedef struct {
    const char *name;
    int sync_ms;    /* each sync of a file takes so much longer */
    int slow_count; /* at the last so many replicas */
    Fault fault;
} Case;

static const Case cases[] = {
    {"slow disks", 100, REPLICAS, NO_FAULT},
    {"very slow disks", 250, REPLICAS, NO_FAULT},
    {"two disks that crawl", 600, 2, NO_FAULT},
    {"the leader's disk hangs", 0, 0, LEADER_DISK_HANGS},
    {"all killed, two folders lost, slow disks", 100, REPLICAS, ALL_KILLED},
};

static void
start_replicas(Fleet *fleet)
{
    for (int vm = 0; vm < REPLICAS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
}

static void
start_fleet(Fleet *fleet, const Case *c)
{
    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(fleet, preset);
    Fleet_UseSeeds(fleet, Str_LIT("023"), true);
    for (int vm = 0; vm < REPLICAS; vm++) {
        Fleet_DelaySyncs(fleet, vm,
                         vm >= REPLICAS - c->slow_count ? Span_MS(c->sync_ms)
                                                        : 0);
    }
    start_replicas(fleet);
    for (int vm = REPLICAS; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
}

static void
hang_leader(Fleet *fleet, FleetWatch *watch)
{
    int leader = Ops_WaitForLeader(fleet, Span_S(5));

    ck_assert_int_ge(leader, 0);
    Fwt_Disturb(watch, HANG);
    Fleet_DelaySyncs(fleet, leader, HANG);
    Fwt_Pass(watch, Span_MS(100)); /* a sync has begun */
    Fleet_DelaySyncs(fleet, leader, 0);
}

static void
kill_all(Fleet *fleet, FleetWatch *watch)
{
    for (int vm = 0; vm < REPLICAS; vm++) {
        Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
    }
    Fleet_LoseDataFolder(fleet, 1);
    Fleet_LoseDataFolder(fleet, 3);
    Fleet_UseSeeds(fleet, Str_LIT("023"), false);
    Fwt_Disturb(watch, 0);
    start_replicas(fleet);
}

START_TEST(acknowledged_change_is_not_in_force_and_not_readable)
{
    const Case *c = &cases[_i];
    Fleet fleet;
    FleetWatch watch;

    start_fleet(&fleet, c);
    Fwt_Init(&watch, &fleet, SEED + (uint64_t)_i, CHANGE_GAP);
    Fwt_Run(&watch, CHANGES, RUN_TIMEOUT);
    if (c->fault == LEADER_DISK_HANGS) {
        watch.wanted++;
        hang_leader(&fleet, &watch);
    }
    else if (c->fault == ALL_KILLED) {
        kill_all(&fleet, &watch);
    }
    if (c->fault != NO_FAULT) {
        Fwt_Run(&watch, CHANGES, RUN_TIMEOUT);
    }
    Fwt_Pass(&watch, CALM_TIME);
    ck_assert_msg(watch.fault_count == 0, "%s, seed %d:\n%.*s", c->name,
                  SEED + _i, Str_ARG(watch.faults));
    Fwt_Finish(&watch);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {acknowledged_change_is_not_in_force_and_not_readable, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("config in force", tests, 1, 60);
}
