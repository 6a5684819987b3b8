/* A client account that calls through every node with several times its limit,
 * while the grantor of its credit is killed, cut off or frozen, and while a
 * node is frozen over the end of its credit's life: no window has more runs
 * than the bounds allow, and the account soon has its rate again. */
#include <signal.h>
#include <stdio.h>

#include "operators.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* Times of one row: until the fault, of the fault, after it. */
#define BEFORE_TIME Span_S(3)
#define AFTER_TIME Span_S(6)

/* From the end of the fault until the rate is expected again. */
#define RECOVERY_TIME Span_MS(2500)
#define SAMPLE_PAUSE Span_MS(50)
#define WINDOW Span_S(2)

enum {
    SUBNET = 210,
    VMS = 6,
    REPLICAS = 3,
    FROZEN_NODE = 3,
    FIRST_BACKEND = 4, /* backend servers are beside the last VMs */
    PER_S = 40,
    BURST = 10,
    OVERAGE_PERCENT = 10,
    SLACK = 10,
    SAMPLES_MAX = 1024,
    PERCENT = 100,
    SHARE_MIN_PERCENT = 95 /* of the rate, in calm */
};

static Str build;

static const Str preset = Str_LIT(
    "{\"name\":\"ordinary\",\"limits\":{},\"routes\":[],\"routing\":{"
    "\"revision\":1,\"services\":[{\"name\":\"visor\"}],\"routes\":["
    "{\"name\":\"read\",\"host\":\"a.example\",\"path\":\"/visor/\","
    "\"kind\":\"non_idempotent\",\"deadline_ms\":2000,\"objective_ms\":500,"
    "\"service\":\"visor\"},"
    "{\"name\":\"open\",\"host\":\"\",\"path\":\"/open/\","
    "\"kind\":\"idempotent\",\"deadline_ms\":2000,\"public\":true,"
    "\"service\":\"visor\"}],"
    "\"accounts\":[{\"name\":\"clinic\",\"keys\":[\"k-clinic\"],"
    "\"rate_per_s\":40,\"burst\":10}]}}");

static const Str settings =
    Str_LIT("\"bounds\":[\"quota_window_s=2\",\"quota_overage=0.1\","
            "\"quota_slack=10\"]");

typedef enum {
    CALM,
    KILL_GRANTOR,
    CUT_GRANTOR,
    FREEZE_GRANTOR,
    FREEZE_NODE
} Fault;

typedef struct {
    const char *name;
    Fault fault;
    Span time;
} Case;

static const Case cases[] = {
    {"calm", CALM, 0},
    {"grantor killed", KILL_GRANTOR, Span_MS(1500)},
    {"grantor cut off", CUT_GRANTOR, Span_S(3)},
    {"grantor frozen", FREEZE_GRANTOR, Span_MS(1500)},
    {"grantor frozen briefly", FREEZE_GRANTOR, Span_MS(250)},
    {"node frozen", FREEZE_NODE, Span_MS(1500)},
};

/* Runs of all backend servers, read between two moments. */
typedef struct {
    Instant begun_at;
    Instant ended_at;
    uint64_t runs;
} Sample;

typedef struct {
    Sample items[SAMPLES_MAX];
    int count;
} Samples;

static void
take_sample(Fleet *fleet, Samples *samples)
{
    Sample sample = {.begun_at = Loop_Now()};

    for (int vm = FIRST_BACKEND; vm < VMS; vm++) {
        sample.runs += Fleet_ReadBackendCount(fleet, vm, Str_LIT("served"));
    }
    sample.ended_at = Loop_Now();
    if (samples->count < SAMPLES_MAX) {
        samples->items[samples->count++] = sample;
    }
}

static void
watch(Fleet *fleet, Samples *samples, Span time)
{
    for (Instant end = Loop_Now() + time; Loop_Now() < end;) {
        take_sample(fleet, samples);
        Fleet_Sleep(SAMPLE_PAUSE);
    }
}

/* The most runs in a window, as far as the samples prove them. */
static uint64_t
count_most(const Samples *samples)
{
    uint64_t most = 0;

    for (int i = 0; i < samples->count; i++) {
        const Sample *first = &samples->items[i];

        for (int j = i; j < samples->count; j++) {
            const Sample *last = &samples->items[j];

            if (last->ended_at - first->begun_at <= WINDOW &&
                last->runs - first->runs > most) {
                most = last->runs - first->runs;
            }
        }
    }
    return most;
}

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(fleet, preset);
    Fleet_SetExtraSettings(fleet, settings);
    Fleet_UseProxy(fleet);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    for (int vm = FIRST_BACKEND; vm < VMS; vm++) {
        Fleet_StartBackend(fleet, vm, Str_LIT("visor"), Str_LIT("--slots 40"));
    }
    for (int vm = 0; vm < VMS; vm++) {
        ck_assert(
            Fleet_WaitForPath(fleet, vm, Str_LIT("/open/x"), Span_S(10)));
    }
}

static void
disturb(Fleet *fleet, Samples *samples, const Case *c)
{
    int leader = Ops_WaitForLeader(fleet, Span_S(5));

    ck_assert_int_ge(leader, 0);
    switch (c->fault) {
    case CALM:
        break;
    case KILL_GRANTOR:
        Fleet_Kill(&fleet->vms[leader].node, SIGKILL);
        watch(fleet, samples, c->time);
        Fleet_StartNode(fleet, leader);
        break;
    case CUT_GRANTOR:
        Fleet_Isolate(fleet, leader);
        watch(fleet, samples, c->time);
        Fleet_Heal(fleet);
        break;
    case FREEZE_GRANTOR:
    case FREEZE_NODE:
        if (c->fault == FREEZE_NODE) {
            leader = FROZEN_NODE;
        }
        kill(fleet->vms[leader].node, SIGSTOP);
        watch(fleet, samples, c->time);
        kill(fleet->vms[leader].node, SIGCONT);
        break;
    }
}

/* Runs since FROM, as a share of the account's rate in that time. */
static uint64_t
get_percent_of_rate(const Samples *samples, Instant from)
{
    const Sample *last = &samples->items[samples->count - 1];
    int first = 0;
    double owed;

    while (samples->items[first].begun_at < from) {
        first++;
    }
    owed = PER_S * (double)(last->begun_at - samples->items[first].ended_at) /
           Span_S(1);
    return (uint64_t)((double)(last->runs - samples->items[first].runs) *
                      PERCENT / owed);
}

static uint64_t
sum_counter(Fleet *fleet, const char *name)
{
    uint64_t sum = 0;

    for (int vm = 0; vm < VMS; vm++) {
        sum += Fleet_ReadCounter(fleet, vm, Str_FromC(name));
    }
    return sum;
}

START_TEST(account_exceeds_or_loses_its_limit)
{
    const Case *c = &cases[_i];
    const uint64_t allowed = (PER_S * (WINDOW / Span_S(1)) + BURST) *
                                 (PERCENT + OVERAGE_PERCENT) / PERCENT +
                             SLACK;
    FleetLoad load = {
        .method = Str_LIT("GET"),
        .path = Str_LIT("/visor/x"),
        .headers = Str_LIT("Host: a.example\nAuthorization: Bearer k-clinic"),
        .node_count = VMS,
        .process_count = 8,
        .pause = Span_MS(30),
    };
    static Samples samples;
    FleetTotals totals;
    Instant calm_at;
    Fleet fleet;

    samples.count = 0;
    start_fleet(&fleet);
    Fleet_StartLoad(&fleet, &load);
    watch(&fleet, &samples, BEFORE_TIME);
    disturb(&fleet, &samples, c);
    calm_at = Loop_Now() + RECOVERY_TIME;
    watch(&fleet, &samples, AFTER_TIME);
    totals = Fleet_StopLoad(&fleet, &load);
    printf("%s: most %llu of %llu in a window, %llu %% of the rate after, "
           "%d calls, %llu messages of %llu bytes for credit\n",
           c->name, (unsigned long long)count_most(&samples),
           (unsigned long long)allowed,
           (unsigned long long)get_percent_of_rate(&samples, calm_at),
           totals.calls,
           (unsigned long long)sum_counter(&fleet,
                                           "lycheeridge_quota_messages_total"),
           (unsigned long long)sum_counter(&fleet,
                                           "lycheeridge_quota_bytes_total"));
    ck_assert_int_eq(totals.contradicted, 0);
    ck_assert_int_gt(totals.not_run, 0);
    ck_assert_uint_le(count_most(&samples), allowed);
    ck_assert_uint_ge(get_percent_of_rate(&samples, calm_at),
                      SHARE_MIN_PERCENT);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {account_exceeds_or_loses_its_limit, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("account limits", tests, 1, 60);
}
