/* Places: calls bound to regions stay there, and a failure domain is evacuated
 * when operators say so.
 */
#include <signal.h>
#include <string.h>

#include "operators.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* VMs 0, 1, 4 and 5 are in region norte, VMs 2 and 3 in litoral.  VMs 1 and 5
 * are in failure domain norte-b. */
enum {
    SUBNET = 220,
    VMS = 6,
    REPLICAS = 5,
    CALLS = 20,
    CALLERS_PORT = 8000,
    EVACUATED_VM = 1
};

/* An evacuation is in force everywhere within this. */
#define EVACUATE_BOUND Span_S(5)

/* An order is acknowledged within this. */
#define ACK_BOUND Span_S(1)

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

/* Sends an order about norte-b through VM until it is accepted.  Returns how
 * long the last try took. */
static Span
order(Fleet *fleet, int vm, const char *path)
{
    for (int i = 0; i < 50; i++) {
        Instant began = Loop_Now();
        OpsAnswer answer;
        int status;
        Ops_ReadAnswer(Ops_SendRequest(fleet, vm, "POST", path, (Str){0}),
                       Span_S(5), &answer);
        status = answer.status;
        Ops_FinishAnswer(&answer);
        if (status == 200) {
            return Loop_Now() - began;
        }
        Fleet_Sleep(Span_MS(100));
    }
    ck_abort_msg("no acknowledgement of %s", path);
    return 0;
}

static uint64_t
count_served(Fleet *fleet)
{
    return Fleet_ReadBackendCount(fleet, EVACUATED_VM, Str_LIT("served"));
}

/* Calls through each node that runs for TIME.  Returns how many were not
 * answered. */
static int
call_all(Fleet *fleet, Span time)
{
    Instant end = Loop_Now() + time;
    int failed = 0;

    while (Loop_Now() < end) {
        for (int vm = 0; vm < VMS; vm++) {
            FleetAnswer answer;
            call(fleet, vm, &answer);
            failed += answer.status != 200;
            Fleet_FinishAnswer(&answer);
        }
    }
    return failed;
}

typedef struct {
    const char *name;
    const char *lost;      /* replicas that lose their disks, right after the
                              acknowledgement */
    const char *restarted; /* other nodes that are killed and started then */
    bool changes_routing;  /* the routing is replaced meanwhile */
} EvacuationCase;

static const EvacuationCase evacuations[] = {
    {"nothing happens", "", "", false},
    {"two disks are lost", "02", "", false},
    {"the node of the failure domain restarts", "", "1", false},
    {"all nodes restart", "", "012345", false},
    {"the routing changes", "", "", true},
};

static const char one_route[] =
    "{\"name\":\"look\",\"host\":\"a.example\",\"path\":\"/visor/\","
    "\"kind\":\"idempotent\",\"deadline_ms\":3000,"
    "\"objective_ms\":900,\"priority\":1,\"service\":\"visor\","
    "\"attempts_max\":2}";

/* An acknowledged evacuation is in force at all nodes within its bound,
 * whatever is lost, and until it is taken back. */
START_TEST(keeps_evacuated)
{
    const EvacuationCase *c = &evacuations[_i];
    Fleet fleet;
    uint64_t served;

    start_fleet(&fleet, "", "012");
    for (int vm = 0; vm < VMS; vm++) {
        ck_assert(wait_for_status(&fleet, vm, 200));
    }
    ck_assert_int_eq(call_all(&fleet, Span_S(1)), 0);
    ck_assert_uint_gt(count_served(&fleet), 0);
    ck_assert_int_lt(order(&fleet, 3, "/v1/evacuations/start?domain=norte-b"),
                     ACK_BOUND);
    for (const char *vm = c->lost; *vm; vm++) {
        Fleet_LoseDataFolder(&fleet, *vm - '0');
    }
    for (const char *vm = c->restarted; *vm; vm++) {
        Fleet_Kill(&fleet.vms[*vm - '0'].node, SIGKILL);
    }
    for (int vm = 0; vm < VMS; vm++) {
        if (!fleet.vms[vm].node) {
            Fleet_StartNode(&fleet, vm);
        }
    }
    if (c->changes_routing) {
        Ops_PutRoutes(&fleet, 2, 1, Str_FromC(one_route));
    }
    call_all(&fleet, EVACUATE_BOUND);
    served = count_served(&fleet);
    ck_assert_int_eq(call_all(&fleet, Span_S(2)), 0);
    ck_assert_uint_eq(count_served(&fleet), served);
    order(&fleet, 3, "/v1/evacuations/end?domain=norte-b");
    call_all(&fleet, Span_S(2));
    ck_assert_uint_gt(count_served(&fleet), served);
    Fleet_Finish(&fleet);
}
END_TEST

static const int slowdowns[] = {10, 100}; /* times 20 ms */

/* What runs in the failure domain ends whole; what comes later is refused,
 * since nothing else serves it. */
START_TEST(lets_runs_end)
{
    Fleet fleet;
    StrBuf text = {0};
    StrBuf answer = {0};
    uint64_t served;
    int fd;

    start_fleet(&fleet, "", "1");
    ck_assert(wait_for_status(&fleet, 0, 200));
    StrBuf_AppendFmt(&text, "service_us=20000&slow=%d", slowdowns[_i]);
    ck_assert(Fleet_ControlBackend(&fleet, EVACUATED_VM, StrBuf_View(&text)));
    served = count_served(&fleet);
    fd = Fleet_RawOpen(&fleet, 0, CALLERS_PORT);
    ck_assert_int_ge(fd, 0);
    Fleet_RawSend(fd, Str_LIT("GET /visor/barn HTTP/1.1\r\n"
                              "Host: a.example\r\n"
                              "Connection: close\r\n\r\n"));
    Fleet_Sleep(Span_MS(100));
    order(&fleet, 3, "/v1/evacuations/start?domain=norte-b");
    Fleet_RawRead(fd, Span_S(4), &answer);
    Fleet_RawClose(fd);
    ck_assert_msg(
        Str_StartsWith(StrBuf_View(&answer), Str_LIT("HTTP/1.1 200 ")), "%.*s",
        Str_ARG(answer));
    ck_assert(wait_for_status(&fleet, 0, 503));
    ck_assert_uint_eq(count_served(&fleet), served + 1);
    StrBuf_Finish(&text);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *method;
    const char *path;
    int status;
} OrderCase;

static const OrderCase orders[] = {
    {"GET", "/v1/evacuations/start?domain=norte-b", 405},
    {"POST", "/v1/evacuations/start?domain=norte-c", 404},
    {"POST", "/v1/evacuations/start", 404},
    {"POST", "/v1/evacuations/end?domain=norte-b",
     200}, /* there is none: repeated */
};

START_TEST(answers_orders)
{
    const OrderCase *c = &orders[_i];
    Fleet fleet;
    OpsAnswer answer;

    start_fleet(&fleet, "", "");
    Ops_ReadAnswer(Ops_SendRequest(&fleet, 1, c->method, c->path, (Str){0}),
                   Span_S(5), &answer);
    ck_assert_int_eq(answer.status, c->status);
    Ops_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {stays_in_its_regions, ROWS(bound)},
        {keeps_evacuated, ROWS(evacuations)},
        {lets_runs_end, ROWS(slowdowns)},
        {answers_orders, ROWS(orders)},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("places", tests, ROWS(tests), 60);
}
