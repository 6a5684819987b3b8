/* Configuration changes in fleets of real processes: concurrent changes,
 * repeated changes, a killed leader, a node that missed many changes, lost
 * links.  No node goes back to an older version.
 */
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define IN_FORCE_TIMEOUT Span_S(5)

enum { VMS = 5, CONTROL = 3, RACE_ROUNDS = 8, MISSED_CHANGES = 300 };

static Str build;

static void
start_fleet(Fleet *fleet, OpsVersionWatch *watch, int subnet, int vms,
            int control)
{
    *watch = (OpsVersionWatch){0};
    Fleet_Init(fleet, build, subnet, vms, control);
    for (int i = 0; i < vms; i++) {
        Fleet_StartNode(fleet, i);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
}

static void
finish_fleet(Fleet *fleet, const OpsVersionWatch *watch)
{
    ck_assert_int_eq(watch->regression_count, 0);
    Fleet_Finish(fleet);
}

typedef struct {
    int vms;
    int control; /* control replicas */
} FleetSizeCase;

static const FleetSizeCase sizes[] = {{5, 3}, {7, 5}};

/* Sends two changes of the same base version through two nodes, as two
 * operators would.  One is accepted; the other gets 409 and the id of the
 * accepted one. */
static void
run_race(Fleet *fleet, int round)
{
    ConfigVersion base = Ops_GetNewestVersion(fleet, 0);
    char ids[2][32];
    OpsChange changes[2];
    int fds[2];
    OpsAnswer answers[2];
    int winner;

    for (int i = 0; i < 2; i++) {
        snprintf(ids[i], sizeof ids[i], "race-%d-%d", round, i);
        changes[i] =
            (OpsChange){(round + i * 2) % fleet->vm_count, ids[i], "put",
                        i ? "peak" : "ordinary",           base,   true};
        fds[i] = Ops_SendChange(fleet, &changes[i]);
    }
    for (int i = 0; i < 2; i++) {
        Ops_ReadAnswer(fds[i], Span_S(10), &answers[i]);
    }
    winner = answers[0].status == 200 ? 0 : 1;
    ck_assert_int_eq(answers[winner].status, 200);
    ck_assert_int_eq(answers[1 - winner].status, 409);
    ck_assert_str_eq(
        json_string_value(json_object_get(
            json_object_get(answers[1 - winner].body, "winner"), "id")),
        ids[winner]);
    Ops_FinishAnswer(&answers[0]);
    Ops_FinishAnswer(&answers[1]);
}

START_TEST(one_of_two_concurrent_changes_wins)
{
    const FleetSizeCase *c = &sizes[_i];
    Fleet fleet;
    OpsVersionWatch watch;
    Span longest = 0;

    start_fleet(&fleet, &watch, 20 + _i, c->vms, c->control);
    for (int round = 0; round < RACE_ROUNDS; round++) {
        Span duration;
        run_race(&fleet, round);
        duration = Ops_WaitForVersion(
            &fleet, &watch, Ops_GetNewestVersion(&fleet, 0), IN_FORCE_TIMEOUT);
        ck_assert_int_ge(duration, 0);
        longest = duration > longest ? duration : longest;
    }
    printf("in force at %d nodes within %d ms\n", c->vms,
           (int)(longest / 1000));
    finish_fleet(&fleet, &watch);
}
END_TEST

/* VMs through which one change is sent first and again, without waiting for
 * the first answer. */
typedef struct {
    int first_vm;
    int second_vm;
} ResendCase;

static const ResendCase resend_cases[] = {{0, 0}, {4, 0}, {1, 3}};

START_TEST(resent_change_gets_first_outcome)
{
    const ResendCase *c = &resend_cases[_i];
    Fleet fleet;
    OpsVersionWatch watch;
    OpsAnswer answer;
    OpsChange change = {c->first_vm, "lost", "put", "peak", {0}, true};
    OpsChange later_change = {2, "later", "use", "peak", {0}, true};
    ConfigVersion accepted;

    start_fleet(&fleet, &watch, 22, VMS, CONTROL);
    change.base = Ops_GetNewestVersion(&fleet, 0);
    Fleet_RawClose(Ops_SendChange(&fleet, &change));
    accepted = (ConfigVersion){change.base.term, change.base.index + 1};
    ck_assert_int_ge(
        Ops_WaitForVersion(&fleet, &watch, accepted, IN_FORCE_TIMEOUT), 0);
    ck_assert(Ops_RetryChange(&fleet, &later_change, Span_S(5)));
    change.vm = c->second_vm;
    Ops_Change(&fleet, &change, &answer);
    ck_assert_int_eq(answer.status, 200);
    ck_assert(json_is_true(json_object_get(answer.body, "again")));
    ck_assert_int_eq(
        Cfg_CompareVersions(Ops_ParseVersion(answer.body), accepted), 0);
    Ops_FinishAnswer(&answer);
    finish_fleet(&fleet, &watch);
}
END_TEST

START_TEST(accepted_change_survives_killed_leader)
{
    Fleet fleet;
    OpsVersionWatch watch;
    ConfigVersion before;

    start_fleet(&fleet, &watch, 23, VMS, CONTROL);
    for (int round = 0; round < 4; round++) {
        char id[32];
        OpsChange change = {4, id, "put", "peak", {0}, true};
        int leader = Ops_WaitForLeader(&fleet, Span_S(10));
        ck_assert_int_ge(leader, 0);
        snprintf(id, sizeof id, "kill-%d", round);
        change.base = before = Ops_GetNewestVersion(&fleet, 4);
        Fleet_RawClose(Ops_SendChange(&fleet, &change));
        Fleet_Kill(&fleet.vms[leader].node, SIGKILL);
        ck_assert(Ops_RetryChange(&fleet, &change, Span_S(15)));
        ck_assert_int_gt(
            Cfg_CompareVersions(Ops_GetNewestVersion(&fleet, 4), before), 0);
        Ops_ObserveVersions(&fleet, &watch);
        Fleet_StartNode(&fleet, leader);
        ck_assert_int_ge(Ops_WaitForVersion(&fleet, &watch,
                                            Ops_GetNewestVersion(&fleet, 4),
                                            IN_FORCE_TIMEOUT),
                         0);
    }
    finish_fleet(&fleet, &watch);
}
END_TEST

/* Calls through VM for TIME and returns how many calls were routed.  Only the
 * first preset has a route for /visor/, so a node that routes a call applies
 * an older version. */
static int
count_served(Fleet *fleet, int vm, Span time)
{
    int served = 0;

    for (Span waited = 0; waited < time; waited += Span_MS(5)) {
        FleetAnswer answer;
        Fleet_Call(fleet, vm, Str_LIT("GET"), Str_LIT("/visor/x"), (Str){0},
                   (Str){0}, &answer);
        served += answer.status != 0 && answer.status != 404 &&
                  !Str_Equal(StrBuf_View(&answer.body),
                             Str_LIT("which preset is in force is not known "
                                     "yet\n"));
        Fleet_FinishAnswer(&answer);
        Fleet_Sleep(Span_MS(5));
    }
    return served;
}

/* Makes COUNT changes, one after another; their presets have no route for
 * /visor/. */
static void
make_changes(Fleet *fleet, int count)
{
    ConfigVersion base = Ops_GetNewestVersion(fleet, 0);
    struct timespec before;
    struct timespec after;

    clock_gettime(CLOCK_MONOTONIC, &before);
    for (int i = 0; i < count; i++) {
        char id[32];
        OpsChange change = {0, id, "put", "ordinary", base, false};
        OpsAnswer answer;
        snprintf(id, sizeof id, "many-%d", i);
        Ops_Change(fleet, &change, &answer);
        ck_assert_int_eq(answer.status, 200);
        base = Ops_ParseVersion(answer.body);
        Ops_FinishAnswer(&answer);
    }
    clock_gettime(CLOCK_MONOTONIC, &after);
    printf("%d changes in %ld s\n", count, after.tv_sec - before.tv_sec);
    fflush(stdout);
}

/* A control replica, and a node without one. */
static const int absent_vms[] = {2, 4};

START_TEST(restarted_node_serves_no_older_state)
{
    int absent = absent_vms[_i];
    Fleet fleet;
    OpsVersionWatch watch;

    start_fleet(&fleet, &watch, 24, VMS, CONTROL);
    ck_assert_int_gt(count_served(&fleet, absent, Span_MS(50)), 0);
    Fleet_Kill(&fleet.vms[absent].node, SIGKILL);
    make_changes(&fleet, MISSED_CHANGES);
    Fleet_StartNode(&fleet, absent);
    ck_assert_int_eq(count_served(&fleet, absent, Span_MS(1500)), 0);
    ck_assert_int_ge(Ops_WaitForVersion(&fleet, &watch,
                                        Ops_GetNewestVersion(&fleet, 0),
                                        IN_FORCE_TIMEOUT),
                     0);
    finish_fleet(&fleet, &watch);
}
END_TEST

START_TEST(restarted_node_rejects_calls_without_leader)
{
    Fleet fleet;
    OpsVersionWatch watch;
    OpsAnswer answer;

    start_fleet(&fleet, &watch, 25, VMS, CONTROL);
    make_changes(&fleet, 2);
    Fleet_Kill(&fleet.vms[0].node, SIGKILL);
    Fleet_Kill(&fleet.vms[1].node, SIGKILL);
    Fleet_Kill(&fleet.vms[4].node, SIGKILL);
    Fleet_StartNode(&fleet, 4);
    ck_assert_int_eq(count_served(&fleet, 4, Span_MS(2500)), 0);
    Ops_Get(&fleet, 4, "/v1/presets", &answer);
    ck_assert_int_eq(answer.status, 503);
    ck_assert_str_eq(Ops_GetOutcome(&answer), "unreachable");
    Ops_FinishAnswer(&answer);
    Fleet_StartNode(&fleet, 1);
    ck_assert_int_ge(
        Ops_WaitForVersion(&fleet, &watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
    finish_fleet(&fleet, &watch);
}
END_TEST

/* Links that separate VM 2, which has a control replica, and VM 3 from the
 * control replicas of VMs 0 and 1. */
static const char *const cut_links[] = {"n0-2", "n2-0", "n1-2", "n2-1",
                                        "n0-3", "n3-0", "n1-3", "n3-1"};

static void
send_proxy_command(Fleet *fleet, const char *text)
{
    ck_assert_msg(Fleet_SendProxyCommand(fleet, Str_FromC(text)), "%s", text);
}

/* Separates the regions: VMs 0 and 1, with two of the three control replicas,
 * are in norte. */
static void
partition_regions(Fleet *fleet)
{
    for (int i = 0; i < ROWS(cut_links); i++) {
        char command[32];
        snprintf(command, sizeof command, "hold %s both", cut_links[i]);
        send_proxy_command(fleet, command);
    }
}

START_TEST(node_with_cut_off_replica_rejects_calls)
{
    Fleet fleet;
    OpsVersionWatch watch = {0};

    Fleet_Init(&fleet, build, 25, 4, 3);
    Fleet_UseProxy(&fleet);
    for (int i = 0; i < 4; i++) {
        Fleet_StartNode(&fleet, i);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(&fleet, &watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
    partition_regions(&fleet);
    Fleet_Kill(&fleet.vms[3].node, SIGKILL);
    ck_assert_int_ge(Ops_WaitForLeader(&fleet, Span_S(10)), 0);
    Fleet_Sleep(Span_MS(1500)); /* a leader that was cut off steps down */
    ck_assert_int_ge(Ops_WaitForLeader(&fleet, Span_S(10)), 0);
    make_changes(&fleet, 2);
    Fleet_StartNode(&fleet, 3);
    ck_assert_int_eq(count_served(&fleet, 3, Span_MS(2500)), 0);
    Fleet_Heal(&fleet);
    ck_assert_int_ge(Ops_WaitForVersion(&fleet, &watch,
                                        Ops_GetNewestVersion(&fleet, 0),
                                        Span_S(10)),
                     0);
    finish_fleet(&fleet, &watch);
}
END_TEST

typedef struct {
    int kill_follower;
    int kill_leader;
    bool partition; /* the regions cannot reach each other */
    /* VM 2 has the only control replica in the region of VM 3: */
    bool kill_near_replica;
    bool hold_near_replica; /* its links with VM 3 deliver nothing */
} LinkCase;

static const LinkCase link_cases[] = {
    {0, 0, false, false, false}, {1, 0, false, false, false},
    {0, 1, false, false, false}, {0, 0, true, false, false},
    {0, 0, false, true, false},  {0, 0, false, false, true},
};

/* The link between the regions: 12 ms one way and 30 Mbit/s. */
static const char *const slow_link_commands[] = {
    "delay norte>litoral 12000", "delay litoral>norte 12000",
    "rate norte>litoral 3750000", "rate litoral>norte 3750000"};

static void
start_slow_fleet(Fleet *fleet, OpsVersionWatch *watch)
{
    *watch = (OpsVersionWatch){0};
    Fleet_Init(fleet, build, 26, 4, 3);
    Fleet_UseProxy(fleet);
    for (int i = 0; i < ROWS(slow_link_commands); i++) {
        send_proxy_command(fleet, slow_link_commands[i]);
    }
    for (int i = 0; i < 4; i++) {
        Fleet_StartNode(fleet, i);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
}

/* Separates VM 3 from the control replica in its region if C says so.  A
 * control replica notifies VM 3 of changes for 5 s after VM 3 asked it, so the
 * wait of 6 s ends notifications that earlier requests caused. */
static void
lose_near_replica(Fleet *fleet, const LinkCase *c)
{
    if (c->kill_near_replica) {
        Fleet_Kill(&fleet->vms[2].node, SIGKILL);
    }
    if (c->hold_near_replica) {
        send_proxy_command(fleet, "hold n3-2 both");
        send_proxy_command(fleet, "hold n2-3 both");
    }
    if (c->kill_near_replica || c->hold_near_replica) {
        Fleet_Sleep(Span_S(6));
    }
}

/* Checks that VMs 2 and 3 keep a version older than NEWEST while the regions
 * are separated and that VMs 0 and 1 have it, then ends the partition. */
static void
check_partition(Fleet *fleet, OpsVersionWatch *watch, ConfigVersion newest)
{
    for (int i = 0; i < 20; i++) {
        Ops_ObserveVersions(fleet, watch);
        Fleet_Sleep(Span_MS(50));
    }
    for (int vm = 0; vm < 4; vm++) {
        ConfigVersion in_force = Ops_GetVersionInForce(fleet, vm);
        ck_assert_int_gt((int)in_force.term, 0); /* a version stays in force */
        ck_assert_int_eq(Cfg_CompareVersions(in_force, newest) < 0, vm >= 2);
    }
    Fleet_Heal(fleet);
}

START_TEST(change_crosses_region_link)
{
    const LinkCase *c = &link_cases[_i];
    Fleet fleet;
    OpsVersionWatch watch;
    OpsChange change = {0, "link", "put", "ordinary", {0}, true};
    ConfigVersion newest;
    int leader;
    Span duration;

    start_slow_fleet(&fleet, &watch);
    lose_near_replica(&fleet, c);
    leader = Ops_WaitForLeader(&fleet, Span_S(10));
    if (c->kill_follower) {
        Fleet_Kill(&fleet.vms[(leader + 1) % 3].node, SIGKILL);
    }
    if (c->kill_leader) {
        Fleet_Kill(&fleet.vms[leader].node, SIGKILL);
    }
    if (c->partition) {
        partition_regions(&fleet);
        Fleet_Sleep(Span_MS(2500)); /* a leader that was cut off steps down */
    }
    ck_assert(Ops_RetryChange(&fleet, &change, Span_S(15)));
    newest = Ops_GetNewestVersion(&fleet, change.vm);
    if (c->partition) {
        check_partition(&fleet, &watch, newest);
    }
    duration = Ops_WaitForVersion(&fleet, &watch, newest, IN_FORCE_TIMEOUT);
    ck_assert_int_ge(duration, 0);
    printf("over the link, row %d: in force within %d ms\n", _i,
           (int)(duration / 1000));
    finish_fleet(&fleet, &watch);
}
END_TEST

typedef struct {
    const char *method;
    const char *path;
    Str body;
    int status;
    const char *outcome;
} BadRequestCase;

static const BadRequestCase bad_requests[] = {
    {"POST", "/v1/change", Str_LIT(""), 400, "refused"},
    {"POST", "/v1/change", Str_LIT("[]"), 400, "refused"},
    {"POST", "/v1/change", Str_LIT("{\"id\":\"a\"}"), 400, "refused"},
    {"POST", "/v1/change",
     Str_LIT("{\"id\":\"a\",\"base\":{\"term\":2,\"index\":3},"
             "\"verb\":\"drop\",\"name\":\"x\"}"),
     400, "refused"},
    {"POST", "/v1/change",
     Str_LIT("{\"id\":\"a\",\"base\":{\"term\":2,\"index\":3},"
             "\"verb\":\"put\",\"name\":\"x\",\"preset\":{\"name\":\"y\","
             "\"limits\":{},\"routes\":[]}}"),
     400, "refused"},
    {"POST", "/v1/change",
     Str_LIT("{\"id\":\"a\",\"base\":{\"term\":2,\"index\":3},"
             "\"verb\":\"use\",\"name\":\"nowhere\"}"),
     400, "refused"},
    {"POST", "/v1/change",
     Str_LIT("{\"id\":\"b\",\"base\":{\"term\":2,\"index\":9},"
             "\"verb\":\"use\",\"name\":\"ordinary\"}"),
     409, "conflict"},
    {"GET", "/v1/presets/show?name=nowhere", {0}, 404, ""},
    {"GET", "/v1/presets/show", {0}, 400, ""},
};

START_TEST(bad_input_changes_nothing)
{
    Fleet fleet;
    OpsVersionWatch watch;
    ConfigVersion before;

    start_fleet(&fleet, &watch, 26, 1, 1);
    before = Ops_GetNewestVersion(&fleet, 0);
    for (int i = 0; i < ROWS(bad_requests); i++) {
        const BadRequestCase *c = &bad_requests[i];
        OpsAnswer answer;
        Ops_ReadAnswer(Ops_SendRequest(&fleet, 0, c->method, c->path, c->body),
                       Span_S(10), &answer);
        ck_assert_msg(answer.status == c->status, "row %d: status %d", i,
                      answer.status);
        ck_assert_str_eq(Ops_GetOutcome(&answer), c->outcome);
        Ops_FinishAnswer(&answer);
    }
    ck_assert_int_eq(
        Cfg_CompareVersions(Ops_GetNewestVersion(&fleet, 0), before), 0);
    finish_fleet(&fleet, &watch);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {one_of_two_concurrent_changes_wins, ROWS(sizes)},
        {resent_change_gets_first_outcome, ROWS(resend_cases)},
        {accepted_change_survives_killed_leader, 1},
        {restarted_node_serves_no_older_state, ROWS(absent_vms)},
        {restarted_node_rejects_calls_without_leader, 1},
        {node_with_cut_off_replica_rejects_calls, 1},
        {change_crosses_region_link, ROWS(link_cases)},
        {bad_input_changes_nothing, 1},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("changes", tests, ROWS(tests), 60);
}
