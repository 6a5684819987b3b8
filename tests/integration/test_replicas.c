/* Control replicas as real processes: lost data folders, a leader that is
 * stopped or isolated, a full disk, truncated and corrupted files.  No
 * accepted change is lost, and no node returns to an older version.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define IN_FORCE_TIMEOUT Span_S(5)
#define ELECTION_TIMEOUT Span_S(10)
#define REPLACEMENT_TIMEOUT Span_S(15)

enum { VMS = 4, REPLICAS = 3, CHANGES = 8 };

static Str build;

static void
start_fleet(Fleet *fleet, OpsVersionWatch *watch, int subnet, bool proxy)
{
    *watch = (OpsVersionWatch){0};
    Fleet_Init(fleet, build, subnet, VMS, REPLICAS);
    if (proxy) {
        Fleet_UseProxy(fleet);
    }
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    ck_assert_int_ge(Ops_WaitForVersion(fleet, watch, (ConfigVersion){1, 1},
                                        ELECTION_TIMEOUT),
                     0);
}

static void
finish_fleet(Fleet *fleet, const OpsVersionWatch *watch)
{
    ck_assert_int_eq(watch->regression_count, 0);
    Fleet_Finish(fleet);
}

/* Puts preset NAME through the first node, from FROM on, that accepts it.
 * Returns the newest version afterwards. */
static ConfigVersion
put_preset(Fleet *fleet, int from, const char *name)
{
    OpsChange change = {from, name, "put", name, {0}, true};

    ck_assert(Ops_RetryChange(fleet, &change, Span_S(15)));
    return Ops_GetNewestVersion(fleet, change.vm);
}

static bool
has_preset(Fleet *fleet, int vm, const char *name)
{
    StrBuf path = {0};
    OpsAnswer answer;
    bool found;

    StrBuf_AppendFmt(&path, "/v1/presets/show?name=%s", name);
    Ops_Get(fleet, vm, StrBuf_CStr(&path), &answer);
    StrBuf_Finish(&path);
    found = answer.status == 200;
    Ops_FinishAnswer(&answer);
    return found;
}

/* Sets PATH to that of file NAME in the data folder of VM. */
static void
build_data_path(const Fleet *fleet, int vm, const char *name, StrBuf *path)
{
    StrBuf_Clear(path);
    StrBuf_AppendFmt(path, "%.*s/data%d/%s", Str_ARG(fleet->folder), vm, name);
}

/* Waits until the leader lists REPLICAS voters, WANTED of which were listed
 * when the log began.  Returns false after REPLACEMENT_TIMEOUT. */
static bool
wait_for_voters(Fleet *fleet, int wanted)
{
    for (Span waited = 0; waited < REPLACEMENT_TIMEOUT;
         waited += Span_MS(100)) {
        if (Ops_CountVoters(fleet, false) == REPLICAS &&
            Ops_CountVoters(fleet, true) == wanted) {
            return true;
        }
        Fleet_Sleep(Span_MS(100));
    }
    return false;
}

/* The replica that loses its folder first, and the one that loses it right
 * after the first was replaced.  Both are counted from the leader: 0 is the
 * leader. */
typedef struct {
    int first;
    int second;
} LossCase;

static const LossCase losses[] = {{1, 2}, {1, 0}, {0, 1}};

START_TEST(second_loss_after_repair_loses_no_change)
{
    const LossCase *c = &losses[_i];
    Fleet fleet;
    OpsVersionWatch watch;
    char names[CHANGES][16];
    int leader;
    int first;
    int second;
    ConfigVersion newest = {0};

    start_fleet(&fleet, &watch, 27, false);
    leader = Ops_WaitForLeader(&fleet, ELECTION_TIMEOUT);
    first = (leader + c->first) % REPLICAS;
    second = (leader + c->second) % REPLICAS;
    for (int i = 0; i < CHANGES / 2; i++) {
        snprintf(names[i], sizeof names[i], "p%d", i);
        newest = put_preset(&fleet, 3, names[i]);
    }
    Fleet_LoseDataFolder(&fleet, first);
    Fleet_StartNode(&fleet, first);
    ck_assert(wait_for_voters(&fleet, 2));
    Fleet_LoseDataFolder(&fleet, second);
    Ops_ObserveVersions(&fleet, &watch);
    for (int i = CHANGES / 2; i < CHANGES; i++) {
        snprintf(names[i], sizeof names[i], "p%d", i);
        newest = put_preset(&fleet, 3, names[i]);
    }
    Fleet_StartNode(&fleet, second);
    ck_assert(wait_for_voters(&fleet, 1));
    ck_assert_int_ge(
        Ops_WaitForVersion(&fleet, &watch, newest, IN_FORCE_TIMEOUT), 0);
    for (int i = 0; i < CHANGES; i++) {
        ck_assert_msg(has_preset(&fleet, 3, names[i]), "%s", names[i]);
    }
    finish_fleet(&fleet, &watch);
}
END_TEST

START_TEST(lost_folders_of_a_majority_start_no_new_history)
{
    Fleet fleet;
    OpsVersionWatch watch;
    OpsAnswer answer;
    OpsChange change = {3, "x", "use", "ordinary", {2, 3}, true};

    start_fleet(&fleet, &watch, 27, false);
    put_preset(&fleet, 3, "p");
    Fleet_LoseDataFolder(&fleet, 0);
    Fleet_LoseDataFolder(&fleet, 1);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartNode(&fleet, 1);
    Fleet_Sleep(Span_S(4));
    ck_assert_int_eq(Ops_FindLeader(&fleet), -1);
    Ops_Change(&fleet, &change, &answer);
    ck_assert_int_eq(answer.status, 503);
    ck_assert_str_eq(Ops_GetOutcome(&answer), "unreachable");
    Ops_FinishAnswer(&answer);
    Ops_ObserveVersions(&fleet, &watch);
    finish_fleet(&fleet, &watch);
}
END_TEST

/* OLD_LEADER may have missed changes up to NEWEST.  It neither shows presets
 * of an older version nor accepts a change. */
static void
check_old_leader(Fleet *fleet, int old_leader, ConfigVersion newest)
{
    OpsChange change = {old_leader, "old", "use", "ordinary", {2, 3}, true};
    OpsAnswer answer;

    Ops_Get(fleet, old_leader, "/v1/presets", &answer);
    if (answer.status == 200) {
        ck_assert_int_ge(
            Cfg_CompareVersions(Ops_ParseVersion(answer.body), newest), 0);
    }
    Ops_FinishAnswer(&answer);
    Ops_Change(fleet, &change, &answer);
    ck_assert_int_ne(answer.status, 200);
    ck_assert_int_ne(answer.status, 0);
    Ops_FinishAnswer(&answer);
}

/* Returns how many replicas report that they lead with a valid lease. */
static int
count_current_leaders(Fleet *fleet)
{
    int count = 0;

    for (int vm = 0; vm < REPLICAS; vm++) {
        OpsAnswer answer;
        Ops_Get(fleet, vm, "/v1/replicas", &answer);
        count += json_is_true(json_object_get(answer.body, "current"));
        Ops_FinishAnswer(&answer);
    }
    return count;
}

static const int frozen_ms[] = {1500, 4000};

START_TEST(resumed_leader_neither_accepts_nor_serves)
{
    Fleet fleet;
    OpsVersionWatch watch;
    int old_leader;
    ConfigVersion newest;

    start_fleet(&fleet, &watch, 28, false);
    old_leader = Ops_WaitForLeader(&fleet, ELECTION_TIMEOUT);
    kill(fleet.vms[old_leader].node, SIGSTOP);
    Fleet_Sleep(Span_MS(frozen_ms[_i]));
    newest = put_preset(&fleet, 3, "while-frozen");
    kill(fleet.vms[old_leader].node, SIGCONT);
    check_old_leader(&fleet, old_leader, newest);
    ck_assert_int_le(count_current_leaders(&fleet), 1);
    ck_assert_int_ge(
        Ops_WaitForVersion(&fleet, &watch, newest, IN_FORCE_TIMEOUT), 0);
    finish_fleet(&fleet, &watch);
}
END_TEST

START_TEST(isolated_leader_neither_accepts_nor_serves)
{
    Fleet fleet;
    OpsVersionWatch watch;
    int old_leader;
    int other;
    ConfigVersion newest;
    OpsAnswer answer;

    start_fleet(&fleet, &watch, 28, true);
    old_leader = Ops_WaitForLeader(&fleet, ELECTION_TIMEOUT);
    other = (old_leader + 1) % REPLICAS;
    Fleet_Isolate(&fleet, old_leader);
    Fleet_Sleep(Span_MS(1100)); /* longer than the lease */
    Ops_Get(&fleet, old_leader, "/v1/replicas", &answer);
    ck_assert(json_is_false(json_object_get(answer.body, "current")));
    Ops_FinishAnswer(&answer);
    newest = put_preset(&fleet, other, "while-cut");
    check_old_leader(&fleet, old_leader, newest);
    Ops_ObserveVersions(&fleet, &watch);
    Fleet_Heal(&fleet);
    ck_assert_int_ge(Ops_WaitForVersion(&fleet, &watch, newest, Span_S(10)),
                     0);
    ck_assert_int_eq(count_current_leaders(&fleet), 1);
    finish_fleet(&fleet, &watch);
}
END_TEST

START_TEST(a_leader_with_a_full_disk_steps_down)
{
    Fleet fleet;
    OpsVersionWatch watch;
    int old_leader;
    struct rlimit none = {1, RLIM_INFINITY};
    struct rlimit unlimited = {RLIM_INFINITY, RLIM_INFINITY};
    ConfigVersion newest;

    start_fleet(&fleet, &watch, 29, false);
    old_leader = Ops_WaitForLeader(&fleet, ELECTION_TIMEOUT);
    ck_assert_int_eq(
        prlimit(fleet.vms[old_leader].node, RLIMIT_FSIZE, &none, NULL), 0);
    put_preset(&fleet, 3, "while-full");
    ck_assert_int_ne(Ops_WaitForLeader(&fleet, ELECTION_TIMEOUT), old_leader);
    ck_assert_int_eq(
        prlimit(fleet.vms[old_leader].node, RLIMIT_FSIZE, &unlimited, NULL),
        0);
    Fleet_Kill(&fleet.vms[(old_leader + 1) % REPLICAS].node, SIGKILL);
    /* The old leader opens its folder again.  Now it is needed for the
     * quorum. */
    newest = put_preset(&fleet, 3, "after-full");
    ck_assert_int_ge(
        Ops_WaitForVersion(&fleet, &watch, newest, IN_FORCE_TIMEOUT), 0);
    finish_fleet(&fleet, &watch);
}
END_TEST

typedef struct {
    const char *file;
    off_t offset;     /* of the changed byte, from the end; -1: append bytes */
    bool stays_voter; /* the replica runs again with its folder */
} DamageCase;

static const DamageCase damages[] = {
    {"control/log", -1, true},      /* incomplete last entry */
    {"control/log", 200, false},    /* corrupted in the middle */
    {"control/identity", 1, false}, /* corrupted */
};

static void
damage_file(const Fleet *fleet, int vm, const DamageCase *c)
{
    StrBuf path = {0};
    const char torn[] = "\x07\x00\x00";
    char byte;
    off_t end;
    int fd;

    build_data_path(fleet, vm, c->file, &path);
    fd = open(StrBuf_CStr(&path), O_RDWR);
    ck_assert_int_ge(fd, 0);
    end = lseek(fd, 0, SEEK_END);
    if (c->offset < 0) {
        ck_assert_int_eq(write(fd, torn, 3), 3);
    }
    else {
        /* The new value differs from any old one. */
        ck_assert_int_eq(pread(fd, &byte, 1, end - c->offset), 1);
        byte ^= 0x07;
        ck_assert_int_eq(pwrite(fd, &byte, 1, end - c->offset), 1);
    }
    close(fd);
    StrBuf_Finish(&path);
}

static bool
runs_replica(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    bool running;

    Ops_Get(fleet, vm, "/v1/replicas", &answer);
    running = json_is_true(json_object_get(answer.body, "running"));
    Ops_FinishAnswer(&answer);
    return running;
}

START_TEST(damaged_files_are_truncated_or_reported)
{
    const DamageCase *c = &damages[_i];
    Fleet fleet;
    OpsVersionWatch watch;
    int leader;
    int damaged;

    start_fleet(&fleet, &watch, 29, false);
    for (int i = 0; i < 4; i++) {
        char name[16];
        snprintf(name, sizeof name, "p%d", i);
        put_preset(&fleet, 3, name);
    }
    leader = Ops_WaitForLeader(&fleet, ELECTION_TIMEOUT);
    damaged = (leader + 1) % REPLICAS;
    Fleet_Kill(&fleet.vms[damaged].node, SIGKILL);
    damage_file(&fleet, damaged, c);
    Fleet_StartNode(&fleet, damaged);
    ck_assert_int_ge(Ops_WaitForVersion(&fleet, &watch,
                                        Ops_GetNewestVersion(&fleet, 3),
                                        IN_FORCE_TIMEOUT),
                     0);
    ck_assert_int_eq(runs_replica(&fleet, damaged), c->stays_voter);
    if (!c->stays_voter) { /* it has to start with an empty folder */
        Fleet_LoseDataFolder(&fleet, damaged);
        Fleet_StartNode(&fleet, damaged);
        ck_assert(wait_for_voters(&fleet, 2));
    }
    finish_fleet(&fleet, &watch);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {second_loss_after_repair_loses_no_change, ROWS(losses)},
        {lost_folders_of_a_majority_start_no_new_history, 1},
        {resumed_leader_neither_accepts_nor_serves, ROWS(frozen_ms)},
        {isolated_leader_neither_accepts_nor_serves, 1},
        {a_leader_with_a_full_disk_steps_down, 1},
        {damaged_files_are_truncated_or_reported, ROWS(damages)},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("replicas", tests, ROWS(tests), 60);
}
