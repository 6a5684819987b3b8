/* Two failures at the same time while bookings run.  The reported outcomes
 * match the recorded effects.  No booking takes effect twice, not even when
 * its key is repeated, and no node returns to an older version.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>

#include "fleet_keyed.h"
#include "operators.h"
#include "process/settings/settings.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define IN_FORCE_TIMEOUT Span_S(5)

/* VMs 0, 1 and 2 are control replicas; 3, 4 and 5 have a backend server.  Only
 * VMs 2 and 3 are in region litoral, and VM 3 is the only one in its failure
 * domain. */
enum {
    REPLICAS = 3,
    VMS = 6,
    CURRENT_LEADER = -1, /* the leader at the time of the step */
    NO_VM = -2,
    STEPS_MAX = 12,
    PROCESSES = 6,
    REPEATS = 4,  /* first keys of each process, sent again */
    RAN_MIN = 100 /* calls that must run: a fleet that runs none
                   * would pass the other checks */
};

static Str build;

typedef enum {
    END,
    KILL_NODE,         /* its backend server keeps running */
    START_NODE,        /* after KILL_NODE */
    RESTART_NODE,      /* planned stop with SIGTERM, then start */
    LOSE_FOLDER,       /* kill the node, delete its data folder, start it */
    FREEZE_NODE,       /* SIGSTOP */
    RESUME_NODE,       /* SIGCONT */
    ISOLATE_NODE,      /* from all other nodes */
    PARTITION_REGIONS, /* block all links between them */
    PROXY_COMMAND,     /* send Step.command to the fault proxy */
    DRAIN_BACKEND,
    END_FAULTS,    /* those of the proxy */
    CHANGE_PRESET, /* it must be in force soon at all nodes but VM */
} Action;

typedef struct {
    Action action;
    int vm;       /* or CURRENT_LEADER; CHANGE_PRESET: the excluded one */
    int delay_ms; /* until the next step */
    Str command;
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} FailurePairCase;

static const FailurePairCase cases[] = {
    {"serving node killed, leader isolated",
     {{ISOLATE_NODE, CURRENT_LEADER, 200, {0}},
      {KILL_NODE, 4, 2500, {0}},
      {START_NODE, 4, 500, {0}},
      {END_FAULTS, 0, 500, {0}},
      {CHANGE_PRESET, NO_VM, 0, {0}}}},
    {"regions partitioned, backend server drains",
     {{PARTITION_REGIONS, 0, 200, {0}},
      {DRAIN_BACKEND, 4, 2500, {0}},
      {END_FAULTS, 0, 500, {0}},
      {CHANGE_PRESET, NO_VM, 0, {0}}}},
    {"one connection frozen, the other one closed",
     {{PROXY_COMMAND, 0, 0, Str_LIT("freeze n0-4 both")},
      {PROXY_COMMAND, 0, 600, Str_LIT("cut n0-5")},
      {PROXY_COMMAND, 0, 0, Str_LIT("freeze n1-5 back")},
      {PROXY_COMMAND, 0, 600, Str_LIT("cut n1-4")},
      {PROXY_COMMAND, 0, 0, Str_LIT("freeze n2-4 forward")},
      {PROXY_COMMAND, 0, 1000, Str_LIT("cut n2-3")},
      {CHANGE_PRESET, NO_VM, 0, {0}}}},
    {"control replica frozen during planned stops",
     {{FREEZE_NODE, 1, 200, {0}},
      {RESTART_NODE, 3, 300, {0}},
      {RESTART_NODE, 4, 300, {0}},
      {RESTART_NODE, 5, 300, {0}},
      {RESUME_NODE, 1, 1000, {0}},
      {CHANGE_PRESET, NO_VM, 0, {0}}}},
    {"replica killed, folder of another one lost",
     {{KILL_NODE, 1, 500, {0}},
      {CHANGE_PRESET, NO_VM, 0, {0}},
      {LOSE_FOLDER, 2, 1500, {0}},
      {START_NODE, 1, 2500, {0}},
      {CHANGE_PRESET, NO_VM, 0, {0}}}},
    {"replica killed and failure domain isolated during a change",
     {{KILL_NODE, 1, 0, {0}},
      {ISOLATE_NODE, 3, 1500, {0}},
      {CHANGE_PRESET, 3, 0, {0}},
      {END_FAULTS, 0, 0, {0}},
      {START_NODE, 1, 500, {0}},
      {CHANGE_PRESET, NO_VM, 0, {0}}}},
};

/* The route without a key header and the one with it. */
static const Str paths[] = {Str_LIT("/despachos/notes"),
                            Str_LIT("/despachos/orders")};

enum { KEYED = 1 };

static const Str preset = Str_LIT(
    "{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
    "{\"service\":\"despachos\",\"route\":\"note\",\"method\":\"POST\","
    "\"path\":\"/despachos/notes\"},"
    "{\"service\":\"despachos\",\"route\":\"book\",\"method\":\"POST\","
    "\"path\":\"/despachos/orders\",\"key_header\":\"Idempotency-Key\"}]}");

static void
start_fleet(Fleet *fleet, OpsVersionWatch *watch)
{
    *watch = (OpsVersionWatch){0};
    Fleet_Init(fleet, build, 70, VMS, REPLICAS);
    Fleet_SetPreset(fleet, preset);
    Fleet_UseProxy(fleet);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    for (int vm = REPLICAS; vm < VMS; vm++) {
        Fleet_StartBackend(fleet, vm, Str_LIT("despachos"), (Str){0});
    }
    for (int vm = 0; vm < VMS; vm++) {
        ck_assert(Fleet_WaitForKeyedCall(fleet, vm, paths[KEYED], Span_S(10)));
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
    Fleet_Sleep(Span_S(1));
}

/* Blocks both links between two nodes without closing connections. */
static void
block_links(Fleet *fleet, int from, int to)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command, "hold n%d-%d both\nhold n%d-%d both", from, to,
                     to, from);
    ck_assert(Fleet_SendProxyCommand(fleet, StrBuf_View(&command)));
    StrBuf_Finish(&command);
}

static void
partition_regions(Fleet *fleet)
{
    for (int vm = 0; vm < VMS; vm++) {
        if (vm % 4 < 2) {
            block_links(fleet, vm, 2);
            block_links(fleet, vm, 3);
        }
    }
}

static void
restart_without_data(Fleet *fleet, int vm)
{
    Fleet_LoseDataFolder(fleet, vm);
    Fleet_StartNode(fleet, vm);
}

static void
restart_as_planned(Fleet *fleet, int vm)
{
    int status = Fleet_Kill(&fleet->vms[vm].node, SIGTERM);

    ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
                  "node %d ended with status %x", vm, status);
    Fleet_StartNode(fleet, vm);
}

/* Returns whether all running nodes but EXCLUDED have at least VERSION. */
static bool
all_have_version(Fleet *fleet, OpsVersionWatch *watch, ConfigVersion version,
                 int excluded)
{
    bool all = true;

    Ops_ObserveVersions(fleet, watch);
    for (int vm = 0; vm < VMS; vm++) {
        all = all && (vm == excluded || !fleet->vms[vm].node ||
                      Cfg_CompareVersions(watch->last_seen[vm], version) >= 0);
    }
    return all;
}

/* Makes a change and checks that it is in force within IN_FORCE_TIMEOUT at
 * every node but EXCLUDED. */
static void
make_change(Fleet *fleet, OpsVersionWatch *watch, int number, int excluded)
{
    char id[32];
    OpsChange change = {0, id, "put", "peak", {0}, true};
    ConfigVersion newest;
    Span waited = 0;

    snprintf(id, sizeof id, "two-%d", number);
    ck_assert_msg(Ops_RetryChange(fleet, &change, Span_S(15)),
                  "change not accepted");
    newest = Ops_GetNewestVersion(fleet, change.vm);
    while (!all_have_version(fleet, watch, newest, excluded) &&
           waited < IN_FORCE_TIMEOUT) {
        Fleet_Sleep(Span_MS(20));
        waited += Span_MS(20);
    }
    ck_assert_msg(all_have_version(fleet, watch, newest, excluded),
                  "not in force everywhere");
}

static Span
get_time(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return Span_S(time.tv_sec) + time.tv_nsec / 1000;
}

/* Observes the versions of all nodes for TIME, so that WATCH counts any return
 * to an older one. */
static void
observe_versions_for(Fleet *fleet, OpsVersionWatch *watch, Span time)
{
    Span end = get_time() + time;

    do {
        Ops_ObserveVersions(fleet, watch);
        Fleet_Sleep(Span_MS(20));
    } while (get_time() < end);
}

static void
run_step(Fleet *fleet, OpsVersionWatch *watch, const Step *step, int number)
{
    int vm = step->vm == CURRENT_LEADER ? Ops_WaitForLeader(fleet, Span_S(10))
                                        : step->vm;

    switch (step->action) {
    case KILL_NODE:
        Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
        break;
    case START_NODE:
        Fleet_StartNode(fleet, vm);
        break;
    case RESTART_NODE:
        restart_as_planned(fleet, vm);
        break;
    case LOSE_FOLDER:
        restart_without_data(fleet, vm);
        break;
    case FREEZE_NODE:
        kill(fleet->vms[vm].node, SIGSTOP);
        break;
    case RESUME_NODE:
        kill(fleet->vms[vm].node, SIGCONT);
        break;
    case ISOLATE_NODE:
        Fleet_Isolate(fleet, vm);
        break;
    case PARTITION_REGIONS:
        partition_regions(fleet);
        break;
    case PROXY_COMMAND:
        ck_assert(Fleet_SendProxyCommand(fleet, step->command));
        break;
    case DRAIN_BACKEND:
        ck_assert(Fleet_ControlBackend(fleet, vm, Str_LIT("draining=1")));
        break;
    case END_FAULTS:
        Fleet_Heal(fleet);
        break;
    case CHANGE_PRESET:
        make_change(fleet, watch, number, vm);
        break;
    case END:
        break;
    }
    observe_versions_for(fleet, watch, Span_MS(step->delay_ms));
}

/* What became of the repeats of the load's first calls. */
typedef struct {
    int unknown;
    /* The key had no effect before the repeat, by process and call. */
    bool had_no_effect[PROCESSES][REPEATS];
} Repeats;

/* Sends the first calls of each process again, with the same keys, through
 * other nodes.  Their effects are counted with those of the load. */
static void
repeat_calls(Fleet *fleet, Repeats *repeats)
{
    for (int process = 0; process < PROCESSES; process++) {
        for (int call = 0; call < REPEATS; call++) {
            StrBuf key = {0};
            StrBuf answer = {0};
            PostOutcome outcome;
            StrBuf_AppendFmt(&key, "load-%d-%d", process, call);
            repeats->had_no_effect[process][call] =
                Fleet_CountEffects(fleet, StrBuf_View(&key)) == 0;
            outcome = Fleet_Post(fleet, (process + call + 1) % VMS,
                                 paths[KEYED], StrBuf_View(&key), (Str){0},
                                 (Str){0}, Span_S(8), &answer);
            repeats->unknown += outcome == Post_UNKNOWN;
            ck_assert_msg(outcome != Post_KEY_MISMATCH,
                          "key taken for another request");
            StrBuf_Finish(&key);
            StrBuf_Finish(&answer);
        }
    }
}

/* Whether CALL of PROCESS, of the load, was told OUTCOME. */
static bool
was_told(Fleet *fleet, int process, int call, const char *outcome)
{
    StrBuf path = {0};
    StrBuf text = {0};
    StrBuf line = {0};
    bool found;

    StrBuf_AppendFmt(&path, "%.*s/load%d", Str_ARG(fleet->folder), process);
    ck_assert(Set_ReadFile(StrBuf_View(&path), &text, NULL));
    StrBuf_AppendFmt(&line, "load-%d-%d %s ", process, call, outcome);
    found = memmem(text.ptr, text.len, line.ptr, line.len) != NULL;
    StrBuf_Finish(&path);
    StrBuf_Finish(&text);
    StrBuf_Finish(&line);
    return found;
}

/* Counts the calls of the load that were told "not run" and had not run until
 * their repeat, which may run.  One that was told "ran" must have run before
 * its repeat. */
static int
count_run_by_repeat(Fleet *fleet, const Repeats *repeats)
{
    int count = 0;

    for (int process = 0; process < PROCESSES; process++) {
        for (int call = 0; call < REPEATS; call++) {
            StrBuf key = {0};
            StrBuf_AppendFmt(&key, "load-%d-%d", process, call);
            if (repeats->had_no_effect[process][call]) {
                ck_assert_msg(!was_told(fleet, process, call, "ran"),
                              "%.*s was told \"ran\" before it ran",
                              Str_ARG(key));
                count += was_told(fleet, process, call, "not-run") &&
                         Fleet_CountEffects(fleet, StrBuf_View(&key)) > 0;
            }
            StrBuf_Finish(&key);
        }
    }
    return count;
}

static void
print_totals(const FailurePairCase *c, bool keyed, const FleetTotals *t,
             int repeats)
{
    printf("%s%s: %d calls, %d ran, %d not run, %d unknown, "
           "%d incomplete, %d duplicated, %d contradicted; %d of %d repeats "
           "unknown\n",
           c->name, keyed ? ", keyed" : "", t->calls, t->ran, t->not_run,
           t->unknown, t->incomplete, t->duplicated, t->contradicted, repeats,
           keyed ? PROCESSES * REPEATS : 0);
    fflush(stdout);
}

START_TEST(effects_match_reported_outcomes)
{
    const FailurePairCase *c = &cases[_i / 2];
    bool keyed = _i % 2 == KEYED;
    Fleet fleet;
    OpsVersionWatch watch;
    FleetLoad load = {.method = Str_LIT("POST"),
                      .path = paths[keyed],
                      .headers = Str_LIT("X-Lycheeridge-Deadline-Ms: 1500"),
                      .node_count = VMS,
                      .process_count = PROCESSES,
                      .pause = Span_MS(5)};
    FleetTotals totals;
    Repeats repeats = {0};

    start_fleet(&fleet, &watch);
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(Span_MS(500));
    for (int i = 0; c->steps[i].action != END; i++) {
        run_step(&fleet, &watch, &c->steps[i], i);
    }
    if (keyed) {
        repeat_calls(&fleet, &repeats);
    }
    totals = Fleet_StopLoad(&fleet, &load);
    print_totals(c, keyed, &totals, repeats.unknown);
    ck_assert_int_gt(totals.ran, RAN_MIN);
    ck_assert_int_eq(totals.duplicated, 0);
    ck_assert_int_eq(totals.contradicted,
                     count_run_by_repeat(&fleet, &repeats));
    ck_assert_int_eq(watch.regression_count, 0);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {effects_match_reported_outcomes, 2 * ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("two failures", tests, 1, 60);
}
