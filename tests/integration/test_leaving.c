/* A backend server that leaves gets no new work after 3 s, from any node, also
 * from one that cannot reach the control replicas.
 */
#include <signal.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

/* VMs 0 to 2 have control replicas.  The backend server beside VM LEAVING
 * leaves.  VM CUT_OFF may be cut off from the control replicas. */
enum { VMS = 5, CONTROL = 3, CUT_OFF = 3, LEAVING = 4 };

#define NO_WORK_AFTER Span_S(3) /* from the start of leaving */
#define OBSERVED Span_MS(1500)  /* without new work, after that */

typedef struct {
    const char *name;
    Str parameters;  /* set on the backend server that leaves; empty: none */
    int node_signal; /* sent to the node beside it; 0: none */
    bool is_node_cut_off; /* VM CUT_OFF */
} LeaveCase;

static const LeaveCase cases[] = {
    {"announced", Str_LIT("draining=1"), 0, false},
    {"announced, a node cut off", Str_LIT("draining=1"), 0, true},
    {"rejects all requests", Str_LIT("silent_drain=1"), 0, false},
    {"rejects all requests, a node cut off", Str_LIT("silent_drain=1"), 0,
     true},
    {"stops announcing", Str_LIT("quiet=1"), 0, false},
    {"stops announcing, a node cut off", Str_LIT("quiet=1"), 0, true},
    {"its node stops", {0}, SIGTERM, false},
    {"its node stops, a node cut off", {0}, SIGTERM, true},
    {"its node is killed", {0}, SIGKILL, false},
    {"its node freezes", {0}, SIGSTOP, true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"interactive\":true,\"idempotent\":true}]}");

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 55, VMS, CONTROL);
    Fleet_SetPreset(fleet, preset);
    Fleet_UseProxy(fleet);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
    Fleet_StartBackend(fleet, CUT_OFF, Str_LIT("visor"), (Str){0});
    Fleet_StartBackend(fleet, LEAVING, Str_LIT("visor"), (Str){0});
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Fleet_Sleep(Span_S(1));
}

/* Returns how many requests the backend server beside VM served or shed. */
static uint64_t
count_work(Fleet *fleet, int vm)
{
    return Fleet_ReadBackendCount(fleet, vm, Str_LIT("served")) +
           Fleet_ReadBackendCount(fleet, vm, Str_LIT("shed"));
}

/* Cuts VM CUT_OFF off from the control replicas. */
static void
cut_off_node(Fleet *fleet)
{
    for (int i = 0; i < CONTROL; i++) {
        StrBuf command = {0};
        StrBuf_AppendFmt(&command, "hold n%d-%d both\nhold n%d-%d both",
                         CUT_OFF, i, i, CUT_OFF);
        ck_assert(Fleet_SendProxyCommand(fleet, StrBuf_View(&command)));
        StrBuf_Finish(&command);
    }
    Fleet_Sleep(Span_S(2));
}

/* Makes the backend server beside VM LEAVING leave as C says. */
static void
start_leaving(Fleet *fleet, const LeaveCase *c)
{
    if (c->parameters.len) {
        ck_assert(Fleet_ControlBackend(fleet, LEAVING, c->parameters));
    }
    if (c->node_signal) {
        kill(fleet->vms[LEAVING].node, c->node_signal);
    }
}

/* Waits until the leaving backend server has more work than BEFORE; false
 * after 5 s.  A busy machine takes some time to start the callers. */
static bool
wait_for_work(Fleet *fleet, uint64_t before)
{
    for (Span waited = 0; waited < Span_S(5); waited += Span_MS(100)) {
        if (count_work(fleet, LEAVING) > before) {
            return true;
        }
        Fleet_Sleep(Span_MS(100));
    }
    return false;
}

START_TEST(leaving_backend_gets_no_work)
{
    const LeaveCase *c = &cases[_i];
    Fleet fleet;
    FleetLoad load = {.method = Str_LIT("GET"),
                      .path = Str_LIT("/visor/a"),
                      .node_count = LEAVING, /* through all other nodes */
                      .process_count = 8,
                      .pause = Span_MS(5)};
    uint64_t before;
    uint64_t after;

    start_fleet(&fleet);
    if (c->is_node_cut_off) {
        cut_off_node(&fleet);
    }
    before = count_work(&fleet, LEAVING);
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(Span_MS(500));
    ck_assert_msg(wait_for_work(&fleet, before),
                  "%s: no requests before it leaves", c->name);
    start_leaving(&fleet, c);
    Fleet_Sleep(NO_WORK_AFTER);
    before = count_work(&fleet, LEAVING);
    Fleet_Sleep(OBSERVED);
    after = count_work(&fleet, LEAVING);
    ck_assert_msg(after == before, "%s: %d requests after 3 s", c->name,
                  (int)(after - before));
    Fleet_StopLoad(&fleet, &load);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{leaving_backend_gets_no_work, CASE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("leaving", tests, 1, 60);
}
