/* Places: calls bound to regions stay there, and a failure domain is evacuated
 * when operators say so.
 */
#include <signal.h>
#include <string.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* VMs 0 and 1 are in region norte, VMs 2 and 3 in litoral; each in a failure
 * domain of its own. */
enum { SUBNET = 220, VMS = 4, REPLICAS = 3, CALLS = 20 };

/* A refusal that needs no waiting comes within this. */
#define AT_ONCE Span_MS(250)

static Str build;

static void
start_fleet(Fleet *fleet, const char *regions, const char *servers)
{
    OpsVersionWatch watch = {0};
    StrBuf route = {0};

    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(
        fleet, Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":[]}"));
    Fleet_SetExtraSettings(fleet, Str_LIT("\"operators_open\":true"));
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, &watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
    StrBuf_AppendFmt(&route,
                     "{\"name\":\"look\",\"host\":\"a.example\","
                     "\"path\":\"/visor/\",\"kind\":\"idempotent\","
                     "\"deadline_ms\":3000,\"objective_ms\":1000,"
                     "\"priority\":1,\"service\":\"visor\","
                     "\"attempts_max\":2,\"home_regions\":[%s]}",
                     regions);
    Ops_PutRoutes(fleet, 1, 0, StrBuf_View(&route));
    for (const char *vm = servers; *vm; vm++) {
        Fleet_StartBackend(fleet, *vm - '0', Str_LIT("visor"), (Str){0});
    }
    StrBuf_Finish(&route);
}

static void
call(Fleet *fleet, int vm, FleetAnswer *answer)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/barn"),
                            .headers = Str_LIT("Host: a.example")};

    Fleet_Send(fleet, vm, &request, answer);
}

/* Calls through VM until the answer has STATUS.  Returns false when it has not
 * within 5 s. */
static bool
wait_for_status(Fleet *fleet, int vm, long status)
{
    for (int i = 0; i < 100; i++) {
        FleetAnswer answer;
        call(fleet, vm, &answer);
        if (answer.status == status) {
            Fleet_FinishAnswer(&answer);
            return true;
        }
        Fleet_FinishAnswer(&answer);
        Fleet_Sleep(Span_MS(50));
    }
    return false;
}

typedef struct {
    const char *name;
    const char *regions; /* of the route, as JSON texts */
    const char *servers; /* VMs with a backend server */
    int caller;          /* the VM whose node is called */
    int lost;   /* VM whose backend server is killed first; -1: none */
    int serves; /* VM whose server gets all calls; -1: none can */
} BoundCase;

static const BoundCase bound[] = {
    {"to the caller's region", "\"norte\"", "02", 0, -1, 0},
    {"to the other region", "\"norte\"", "02", 3, -1, 0},
    {"to another region, no server there", "\"litoral\"", "01", 0, -1, -1},
    {"to this region, its last server is lost", "\"litoral\"", "02", 3, 2, -1},
    {"to a region that does not exist", "\"sur\"", "02", 0, -1, -1},
};

START_TEST(stays_in_its_regions)
{
    const BoundCase *c = &bound[_i];
    Fleet fleet;
    uint64_t served[VMS];

    start_fleet(&fleet, c->regions, c->servers);
    if (c->lost >= 0) {
        ck_assert(wait_for_status(&fleet, c->caller, 200));
        Fleet_Kill(&fleet.vms[c->lost].backend, SIGKILL);
    }
    ck_assert(wait_for_status(&fleet, c->caller, c->serves < 0 ? 503 : 200));
    Fleet_Sleep(Span_S(1)); /* all servers are known to all nodes */
    for (int vm = 0; vm < VMS; vm++) {
        served[vm] =
            fleet.vms[vm].backend
                ? Fleet_ReadBackendCount(&fleet, vm, Str_LIT("served"))
                : 0;
    }
    for (int i = 0; i < CALLS; i++) {
        FleetAnswer answer;
        call(&fleet, c->caller, &answer);
        ck_assert_int_eq(answer.status, c->serves < 0 ? 503 : 200);
        if (c->serves < 0) {
            ck_assert(
                Str_Equal(StrBuf_View(&answer.outcome), Str_LIT("not-run")));
            ck_assert_ptr_nonnull(
                strstr(StrBuf_CStr(&answer.headers), "Retry-After"));
            ck_assert_int_lt(answer.duration, AT_ONCE);
        }
        Fleet_FinishAnswer(&answer);
    }
    for (int vm = 0; vm < VMS; vm++) {
        if (fleet.vms[vm].backend) {
            uint64_t count =
                Fleet_ReadBackendCount(&fleet, vm, Str_LIT("served"));
            ck_assert_msg(
                count - served[vm] == (vm == c->serves ? (uint64_t)CALLS : 0),
                "%s: VM %d served %d", c->name, vm, (int)(count - served[vm]));
        }
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {stays_in_its_regions, ROWS(bound)},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("places", tests, ROWS(tests), 60);
}
