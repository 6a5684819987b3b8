/* Exit statuses and output of the daemon and of the operators' tool, with a
 * fleet of three control replicas.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "operators.h"
#include "support/suite.h"

static Str build;

enum { VMS = 3, SUBNET = 67 };

typedef struct {
    /* Environment: $B is the folder of the programs, $F that of the fleet, $T
     * the operators' tool with two nodes, $R the same with the nodes in
     * reverse order.  The tool finds its key in LYCHEERIDGE_KEY. */
    const char *command;
    int status;
    Str fragment; /* part of the output */
} CommandCase;

#define EXPLAIN(id)                                                           \
    "$B/lycheeridge explain " id " tests/data/explain-others.jsonl "          \
    "tests/data/explain-vm1.jsonl"

static const CommandCase cases[] = {
    /* the daemon */
    {"$B/lycheeridged --help", 0, Str_LIT("Exit statuses")},
    {"$B/lycheeridged --version", 0, Str_LIT("lycheeridged 0.")},
    {"$B/lycheeridged", 2, Str_LIT("try --help")},
    {"$B/lycheeridged", 2, Str_LIT("expected a settings file")},
    {"$B/lycheeridged --nope x", 2, Str_LIT("try --help")},
    {"$B/lycheeridged --check $F/none.json", 3, Str_LIT("cannot open")},
    {"$B/lycheeridged --check $F/preset.json", 3, Str_LIT("/callers")},
    {"$B/lycheeridged --check $F/node0.json", 0,
     Str_LIT("accessible to other users")},
    {"$B/lycheeridged $F/node0.json", 1, Str_LIT("cannot listen")},
    /* the operators' tool, without a node */
    {"$B/lycheeridge --help", 0, Str_LIT("preset use NAME")},
    {"$B/lycheeridge --version", 0, Str_LIT("lycheeridge 0.")},
    {"$B/lycheeridge", 2, Str_LIT("no such command")},
    {"$B/lycheeridge status", 2, Str_LIT("--node")},
    {"$T status now", 2, Str_LIT("no such command")},
    {"$T preset", 2, Str_LIT("no such command")},
    {"$T preset use", 2, Str_LIT("preset use: expected NAME")},
    {"$T preset put", 2, Str_LIT("preset put: expected FILE")},
    {"$T preset use a b", 2, Str_LIT("unexpected argument b")},
    {"$B/lycheeridge check", 2, Str_LIT("check: expected FILE")},
    {"$B/lycheeridge --help", 0, Str_LIT("put a preset in force")},
    {"$T --node 1.2.3 status", 2, Str_LIT("--node")},
    {"$T --limit 0 timeline", 2, Str_LIT("--limit")},
    {"$T --wait -1 status", 2, Str_LIT("--wait")},
    {"$T --since x timeline", 2, Str_LIT("--since")},
    {"$T --base 1 preset use peak", 2, Str_LIT("--base")},
    {"$T --id a preset use peak", 2, Str_LIT("--base")},
    {"$T preset show a/b", 2, Str_LIT("invalid preset name")},
    {"$B/lycheeridge check $F/preset.json", 0, Str_LIT("is good")},
    {"$B/lycheeridge check $F/node0.json", 3, Str_LIT("/limits: missing")},
    {"$B/lycheeridge --json keys new", 0, Str_LIT("curve_secret")},
    {"$T --key-file $F/none status", 2, Str_LIT("cannot open")},
    {"LYCHEERIDGE_KEY=wrong $T status", 4, Str_LIT("key is needed")},
    {"$B/lycheeridge -n 127.0.0.1:1 status", 8, Str_LIT("no answer")},
    {"$B/lycheeridge explain", 2, Str_LIT("explain: expected ID FILE...")},
    {"$B/lycheeridge explain lot-7", 2, Str_LIT("expected ID FILE...")},
    {EXPLAIN("lot-7"), 0,
     Str_LIT("  1796460000.000700 vm3 backend_lost ran=1\n"
             "> 1796460000.001000 vm1 retry request=lot-7 attempts=1\n"
             "  1796460000.002000 vm1 member_gone 127.0.0.3:7400\n"
             "> 1796460000.300000 vm1 call_ended request=lot-7 ")},
    {EXPLAIN("lot-7"), 0,
     Str_LIT("  1796460005.000000 vm4 suspect_stopped fingerprint=107d")},
    {EXPLAIN("lot-7") " | wc -l", 0, Str_LIT("6\n")},
    {EXPLAIN("lot-77") " | grep -c '^>'", 0, Str_LIT("1\n")},
    {EXPLAIN("lot-7") " --json | tail -n 1", 0,
     Str_LIT("\"event\":\"suspect_stopped\"")},
    {EXPLAIN("lot-8"), 3, Str_LIT("no log line mentions request lot-8")},
    {"$B/lycheeridge explain lot-7 $F/none", 3, Str_LIT("cannot open")},
    /* the operators' tool, with a fleet */
    {"$T status --wait 20", 0, Str_LIT("in force on every node")},
    {"$T status --json", 0, Str_LIT("\"missing\": []")},
    {"$T preset list", 0, Str_LIT("in force")},
    {"$T preset show ordinary", 0, Str_LIT("\"routes\"")},
    {"$T preset show nix", 5, Str_LIT("404")},
    {"$T preset put $F/node0.json", 3, Str_LIT("/limits: missing")},
    {"$T preset use nix", 5, Str_LIT("no preset of that name")},
    {"$T preset put examples/salinera/peak.json --wait 5", 0,
     Str_LIT("accepted")},
    {"$T preset use peak --base 0.0", 6, Str_LIT("conflict")},
    {"$T preset use peak --base 0.0 --json", 6, Str_LIT("\"winner\"")},
    {"$T preset use peak --wait 5", 0, Str_LIT("accepted")},
    {"$T preset list", 0, Str_LIT("peak ")},
    {"$T evacuate", 2, Str_LIT("evacuate: expected DOMAIN")},
    {"$T evacuate norte-c", 5, Str_LIT("failure domain")},
    {"$T evacuate norte-b --wait 5", 0,
     Str_LIT("evacuation of norte-b accepted as version")},
    {"$T status", 0, Str_LIT("norte-b is evacuated, 0 requests")},
    {"$T status --json", 0, Str_LIT("\"evacuated\": [")},
    {"$T evacuate norte-b", 0, Str_LIT("was so already")},
    {"$T evacuate norte-b --end --wait 5", 0,
     Str_LIT("end of the evacuation of norte-b accepted")},
    {"$T status | grep -c 'is evacuated'", 1, Str_LIT("0\n")},
    {"$T suspects", 0, Str_LIT("0 suspect requests")},
    {"$T suspects --json", 0, Str_LIT("\"suspects\": []")},
    {"$T suspects release visor", 2, Str_LIT("invalid fingerprint")},
    {"$T suspects release 107dcf9bb6a7a62b", 5, Str_LIT("no such suspect")},
    {"$T timeline --limit 5", 0, Str_LIT("preset=peak")},
    {"$T timeline --json --limit 1", 0, Str_LIT("\"unreached\": []")},
};

static bool
contains(Str text, Str fragment)
{
    for (size_t i = 0; i + fragment.len <= text.len; i++) {
        if (Str_Equal(Str_Slice(text, i, fragment.len), fragment)) {
            return true;
        }
    }
    return false;
}

/* Runs COMMAND in a shell, appends its output, also that to stderr, to OUT and
 * returns its exit status. */
static int
run_command(const char *command, StrBuf *out)
{
    StrBuf line = {0};
    char bytes[1024];
    size_t byte_count;
    FILE *pipe;

    StrBuf_AppendFmt(&line, "{ %s; } 2>&1", command);
    pipe = popen(StrBuf_CStr(&line), "r");
    while ((byte_count = fread(bytes, 1, sizeof bytes, pipe)) > 0) {
        StrBuf_Append(out, Str_From(bytes, byte_count));
    }
    StrBuf_Finish(&line);
    return WEXITSTATUS(pclose(pipe));
}

/* Sets environment variable VARIABLE to the command of the operators' tool
 * with the nodes of VMs FIRST and SECOND. */
static void
set_tool_variable(Fleet *fleet, const char *variable, int first, int second)
{
    StrBuf tool = {0};

    StrBuf_AppendFmt(&tool, "%.*s/lycheeridge -n %.*s:8100 -n %.*s:8100",
                     Str_ARG(build), Str_ARG(fleet->vms[first].ip),
                     Str_ARG(fleet->vms[second].ip));
    setenv(variable, StrBuf_CStr(&tool), 1);
    StrBuf_Finish(&tool);
}

static void
set_environment(Fleet *fleet)
{
    set_tool_variable(fleet, "T", 1, 0);
    set_tool_variable(fleet, "R", 0, 1);
    setenv("B", StrBuf_CStr(&fleet->build_folder), 1);
    setenv("F", StrBuf_CStr(&fleet->folder), 1);
    setenv("LYCHEERIDGE_KEY", "test-key", 1);
}

START_TEST(commands_exit_with_status)
{
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, VMS, VMS);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(&fleet, vm);
    }
    set_environment(&fleet);
    Fleet_Sleep(Span_S(1));
    for (size_t row = 0; row < sizeof cases / sizeof cases[0]; row++) {
        StrBuf out = {0};
        int status = run_command(cases[row].command, &out);
        ck_assert_msg(status == cases[row].status, "%s: exit status %d: %s",
                      cases[row].command, status, StrBuf_CStr(&out));
        ck_assert_msg(contains(StrBuf_View(&out), cases[row].fragment),
                      "%s: %s", cases[row].command, StrBuf_CStr(&out));
        StrBuf_Finish(&out);
    }
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    int stopped_count; /* control replicas that no longer answer */
    int status;
    Span member_expiry; /* setting member_expiry_ms */
    Span stop_wait;     /* between the stop and the command */
    const char *command;
    Str fragment;
} LossCase;

static const LossCase loss_cases[] = {
    /* The stopped node is still a member; then it is removed. */
    {1, 9, Span_S(20), 0, "$T --timeout 4 preset use ordinary --wait 1",
     Str_LIT("not yet in force on: 127.")},
    {1, 0, Span_S(1), Span_MS(2500),
     "$T --timeout 4 preset use ordinary --wait 5",
     Str_LIT("gone with an older version: 127.")},
    /* There is no quorum. */
    {2, 8, Span_S(1), 0, "$T --timeout 3 preset use ordinary", {0}},
    {2, 7, Span_S(1), 0, "$T --timeout 3 preset use ordinary --base 2.3",
     Str_LIT("--base 2.3")},
    /* The first node answers with the reason, the second does not answer. */
    {2, 8, Span_S(1), Span_S(3), "$R --timeout 7 preset list",
     Str_LIT("answered 503: no leader")},
    {2, 0, Span_S(1), Span_S(3), "$R --timeout 7 status",
     Str_LIT("no leader confirms")},
};

/* Stops the processes of COUNT control replicas, which no longer answer: never
 * the first one, and not the leader when COUNT is 1. */
static void
stop_replicas(Fleet *fleet, int count)
{
    int leader = count == 1 ? Ops_WaitForLeader(fleet, Span_S(10)) : -1;

    for (int vm = VMS - 1; vm > 0 && count; vm--) {
        if (vm != leader) {
            kill(fleet->vms[vm].node, SIGSTOP);
            count--;
        }
    }
}

/* Runs a command after control replicas stopped: its exit status and output
 * say what that means for a change. */
START_TEST(reports_outcome_after_replica_loss)
{
    const LossCase *c = &loss_cases[_i];
    Fleet fleet;
    StrBuf out = {0};
    int status;

    Fleet_Init(&fleet, build, SUBNET + 1, VMS, VMS);
    fleet.member_expiry = c->member_expiry;
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(&fleet, vm);
    }
    set_environment(&fleet);
    Fleet_Sleep(Span_S(1));
    ck_assert_int_eq(run_command("$T status --wait 20", &out), 0);
    stop_replicas(&fleet, c->stopped_count);
    Fleet_Sleep(c->stop_wait);
    StrBuf_Clear(&out);
    status = run_command(c->command, &out);
    ck_assert_msg(
        status == c->status && contains(StrBuf_View(&out), c->fragment),
        "%s: exit status %d: %s", c->command, status, StrBuf_CStr(&out));
    StrBuf_Finish(&out);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {commands_exit_with_status, 1},
        {reports_outcome_after_replica_loss,
         sizeof loss_cases / sizeof loss_cases[0]},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("commands", tests, 2, 60);
}
