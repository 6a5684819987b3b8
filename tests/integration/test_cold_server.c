/* A cold backend server gets no more requests in a second than it bears, also
 * while the node beside it, or it itself, is killed and starts again.
 */
#include <signal.h>

#include "operators.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 221, VMS = 3, REPLICAS = 1, INGRESS_VMS = 2, SERVING_VM = 2 };
enum { PER_S = 16, ALLOWED = PER_S * 3 / 2 + 8, CALLERS = 16 };
enum { SAMPLES_MAX = 2000 };

#define COLD_TIME Span_S(6)
#define SAMPLE_INTERVAL Span_MS(20)

static Str build;

static const Str routing = Str_LIT(
    "{\"revision\":1,\"routes\":[{\"name\":\"look\",\"host\":\"a.example\","
    "\"path\":\"/visor/\",\"kind\":\"idempotent\",\"deadline_ms\":3000,"
    "\"objective_ms\":1000,\"priority\":1,\"service\":\"visor\","
    "\"attempts_max\":2}],\"services\":[{\"name\":\"visor\","
    "\"health_path\":\"/fake/load\",\"cold_start_s\":6,\"cold_per_s\":16}]}");

typedef struct {
    const char *name;
    bool is_cold;         /* from its start */
    bool restarts_node;   /* beside the server, 2 s after the load began */
    bool restarts_server; /* at that time; it is cold again */
} ColdCase;

static const ColdCase cases[] = {
    {"cold", true, false, false},
    {"the node beside it restarts", true, true, false},
    {"the server restarts", true, false, true},
    {"warm", false, false, false},
};

/* How many requests the server had served at which times. */
typedef struct {
    Instant time;
    uint64_t served;
} Sample;

static Sample samples[SAMPLES_MAX];
static int sample_count;

static void
start_server(Fleet *fleet, const ColdCase *c)
{
    StrBuf options = {0};

    StrBuf_AppendFmt(&options,
                     "--set service_us=2000 --set slots=9 "
                     "--set cold_slow=1 --set cold_us=%d",
                     c->is_cold ? (int)COLD_TIME : 0);
    Fleet_StartBackend(fleet, SERVING_VM, Str_LIT("visor"),
                       StrBuf_View(&options));
    StrBuf_Finish(&options);
}

static void
start_fleet(Fleet *fleet)
{
    OpsVersionWatch watch = {0};
    OpsAnswer answer;
    int fd;

    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(
        fleet, Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":[]}"));
    Fleet_SetExtraSettings(
        fleet, Str_LIT("\"operators_open\":true,"
                       "\"bounds\":[\"cold_overage=1.5\",\"cold_slack=8\"],"
                       "\"header_fields\":{\"load\":\"Fake-Load\","
                       "\"cold\":\"Fake-Cold-Ms\"}"));
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, &watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
    fd = Fleet_RawOpen(fleet, 0, 8100);
    {
        StrBuf text = {0};
        StrBuf_AppendFmt(&text,
                         "POST /v1/routing/put HTTP/1.1\r\nHost: a\r\n"
                         "If-Match: 0\r\nConnection: close\r\n"
                         "Content-Length: %zu\r\n\r\n%.*s",
                         routing.len, Str_ARG(routing));
        Fleet_RawSend(fd, StrBuf_View(&text));
        StrBuf_Finish(&text);
    }
    Ops_ReadAnswer(fd, Span_S(5), &answer);
    ck_assert_int_eq(answer.status, 200);
    Ops_FinishAnswer(&answer);
}

static void
sample_until(Fleet *fleet, Instant end)
{
    while (Loop_Now() < end && sample_count < SAMPLES_MAX) {
        uint64_t served =
            Fleet_ReadBackendCount(fleet, SERVING_VM, Str_LIT("served"));
        samples[sample_count++] = (Sample){Loop_Now(), served};
        Fleet_Sleep(SAMPLE_INTERVAL);
    }
}

/* The most that was served between two samples of FIRST to LAST that are a
 * second apart at most. */
static uint64_t
count_most(int first, int last)
{
    uint64_t most = 0;

    for (int i = first; i < last; i++) {
        for (int j = i + 1;
             j < last && samples[j].time - samples[i].time <= Span_S(1); j++) {
            uint64_t count = samples[j].served - samples[i].served;
            /* a new process counts from 0 */
            most = samples[j].served >= samples[i].served && count > most
                       ? count
                       : most;
        }
    }
    return most;
}

START_TEST(keeps_the_rate)
{
    const ColdCase *c = &cases[_i];
    FleetLoad load = {.method = Str_LIT("GET"),
                      .path = Str_LIT("/visor/barn"),
                      .headers = Str_LIT("Host: a.example"),
                      .node_count = INGRESS_VMS,
                      .process_count = CALLERS,
                      .pause = Span_MS(5)};
    Fleet fleet;
    Instant began;
    uint64_t most;
    uint64_t total;

    sample_count = 0;
    start_fleet(&fleet);
    start_server(&fleet, c);
    began = Loop_Now();
    Fleet_StartLoad(&fleet, &load);
    sample_until(&fleet, began + Span_S(2));
    if (c->restarts_node) {
        Fleet_Kill(&fleet.vms[SERVING_VM].node, SIGKILL);
        Fleet_StartNode(&fleet, SERVING_VM);
    }
    if (c->restarts_server) {
        Fleet_Kill(&fleet.vms[SERVING_VM].backend, SIGKILL);
        start_server(&fleet, c);
    }
    sample_until(&fleet, began + COLD_TIME - Span_MS(500));
    Fleet_StopLoad(&fleet, &load);
    most = count_most(0, sample_count);
    total = samples[sample_count - 1].served;
    printf("%s: at most %d in a second, %d in all\n", c->name, (int)most,
           (int)total);
    if (c->is_cold) {
        ck_assert_msg(most <= ALLOWED, "%s: %d in a second", c->name,
                      (int)most);
        ck_assert_msg(total >= 2 * PER_S, "%s: %d in all", c->name,
                      (int)total);
    }
    else {
        ck_assert_msg(most > 4 * ALLOWED, "%s: %d in a second", c->name,
                      (int)most);
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{keeps_the_rate, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("cold server", tests, 1, 60);
}
