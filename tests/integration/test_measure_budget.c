/* The cost of measuring backend servers' load (probes and load reports) stays
 * within its limits at peak load and during a partition.  Bytes on the link
 * between the regions have a limit of their own.  Calls succeed when the
 * limits allow no measuring at all.
 */
#include "fleet.h"
#include "process/loop.h"
#include "support/suite.h"

/* Pause between two calls.  Calls are so rare that the load reports
 * piggybacked on their answers become stale, so nodes have to send probes. */
#define CALL_PAUSE Span_MS(25)

static Str build;

typedef enum {
    ORDINARY,
    PEAK,        /* more calls than slots and queue places */
    PARTITIONED, /* the last node is isolated for some time */
} Condition;

/* Whether nodes must not, must or may send probes. */
typedef enum { NO_PROBES, PROBES, PROBES_OPTIONAL } ProbeExpectation;

typedef struct {
    const char *name;
    Str limits;                /* members of the preset's "limits" */
    uint64_t bytes_per_s;      /* allowed for each node */
    uint64_t link_bytes_per_s; /* the part for other regions, at most */
    uint64_t cpu_us_per_s;     /* 0: not checked */
    ProbeExpectation probes;
    Condition condition;
} BudgetCase;

/* Measuring may use one hundredth of the limit link_bytes_per_s. */
static const BudgetCase cases[] = {
    {"bytes", Str_LIT("\"measure_bytes_per_s\":300"), 300, 300, 5000, PROBES,
     ORDINARY},
    {"no bytes", Str_LIT("\"measure_bytes_per_s\":0"), 0, 0, 5000, NO_PROBES,
     ORDINARY},
    {"no processor time", Str_LIT("\"measure_cpu_permille\":0"), 0, 0, 0,
     NO_PROBES, ORDINARY},
    {"link", Str_LIT("\"link_bytes_per_s\":20000"), 2000, 200, 5000, PROBES,
     ORDINARY},
    {"no link", Str_LIT("\"link_bytes_per_s\":0"), 2000, 0, 5000, PROBES,
     ORDINARY},
    {"peak", Str_LIT("\"measure_bytes_per_s\":300,\"queue_max\":2"), 300, 300,
     5000, PROBES_OPTIONAL, PEAK},
    {"peak, link", Str_LIT("\"link_bytes_per_s\":20000,\"queue_max\":2"), 2000,
     200, 5000, PROBES_OPTIONAL, PEAK},
    {"peak, no bytes", Str_LIT("\"measure_bytes_per_s\":0,\"queue_max\":2"), 0,
     0, 5000, NO_PROBES, PEAK},
    {"partitioned", Str_LIT("\"measure_bytes_per_s\":300"), 300, 300, 5000,
     PROBES, PARTITIONED},
    {"partitioned, link", Str_LIT("\"link_bytes_per_s\":20000"), 2000, 200,
     5000, PROBES, PARTITIONED},
    {"partitioned, no bytes", Str_LIT("\"measure_bytes_per_s\":0"), 0, 0, 5000,
     NO_PROBES, PARTITIONED},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0], VMS = 4, CALLS = 160 };

static void
set_preset(Fleet *fleet, Str limits)
{
    StrBuf json = {0};

    StrBuf_AppendFmt(&json,
                     "{\"name\":\"peak\",\"limits\":{%.*s},\"routes\":[{"
                     "\"service\":\"visor\",\"route\":\"read\",\"path\":"
                     "\"/visor/\",\"interactive\":true,\"idempotent\":true}]}",
                     Str_ARG(limits));
    Fleet_SetPreset(fleet, StrBuf_View(&json));
    StrBuf_Finish(&json);
}

static void
start_fleet(Fleet *fleet, const BudgetCase *c)
{
    Fleet_Init(fleet, build, 40, VMS, 3);
    set_preset(fleet, c->limits);
    if (c->condition == PARTITIONED) {
        Fleet_UseProxy(fleet);
    }
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_Sleep(Span_MS(200));
    for (int i = 0; i < VMS; i++) {
        Fleet_StartBackend(fleet, i, Str_LIT("visor"),
                           c->condition == PEAK
                               ? Str_LIT("--slots 1 --service-us 20000")
                               : Str_LIT("--service-us 1000"));
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/a"), Span_S(10)));
    }
    Fleet_Sleep(Span_MS(500));
}

/* The cost of a node's measuring since the node started. */
typedef struct {
    uint64_t bytes;
    uint64_t link_bytes;
    uint64_t cpu_us;
} Cost;

static Cost
read_cost(Fleet *fleet, int vm)
{
    return (Cost){
        Fleet_ReadCounter(fleet, vm,
                          Str_LIT("lycheeridge_measure_bytes_total")),
        Fleet_ReadCounter(fleet, vm,
                          Str_LIT("lycheeridge_measure_link_bytes_total")),
        Fleet_ReadCounter(fleet, vm,
                          Str_LIT("lycheeridge_measure_cpu_us_total")),
    };
}

/* Makes one call through VM; returns whether the answer has status 200. */
static bool
call(Fleet *fleet, int vm)
{
    FleetAnswer answer;
    bool good;

    Fleet_Call(fleet, vm, Str_LIT("GET"), Str_LIT("/visor/a"), (Str){0},
               (Str){0}, &answer);
    ck_assert(answer.is_complete);
    good = answer.status == 200;
    Fleet_FinishAnswer(&answer);
    return good;
}

/* Makes COUNT calls through the first NODES nodes in turn.  Returns how many
 * were answered with status 200. */
static int
make_calls(Fleet *fleet, int nodes, int count)
{
    int good = 0;

    for (int i = 0; i < count; i++) {
        good += call(fleet, i % nodes);
        Fleet_Sleep(CALL_PAUSE);
    }
    return good;
}

/* Returns the sum of counter NAME over all nodes. */
static uint64_t
sum_counters(Fleet *fleet, Str name)
{
    uint64_t count = 0;

    for (int vm = 0; vm < VMS; vm++) {
        count += Fleet_ReadCounter(fleet, vm, name);
    }
    return count;
}

static void
call_at_peak(Fleet *fleet)
{
    FleetLoad load = {.method = Str_LIT("GET"),
                      .path = Str_LIT("/visor/a"),
                      .node_count = VMS,
                      .process_count = Fleet_LOAD_MAX,
                      .pause = Span_MS(1)};

    Fleet_StartLoad(fleet, &load);
    /* A refused caller sends its next call at once, so the load rises and
     * only few of these calls are answered. */
    ck_assert_int_gt(make_calls(fleet, VMS, CALLS), 0);
    ck_assert_int_gt(Fleet_StopLoad(fleet, &load).ran, 0);
    ck_assert_uint_gt(
        sum_counters(fleet, Str_LIT("lycheeridge_refused_total")) +
            sum_counters(fleet, Str_LIT("lycheeridge_calls_not_run_total")),
        0);
}

static void
call_while_partitioned(Fleet *fleet)
{
    Fleet_Isolate(fleet, VMS - 1);
    /* Wait until reads that were sent to the isolated node have been retried
     * at other nodes. */
    Fleet_Sleep(Span_S(3));
    ck_assert_int_eq(make_calls(fleet, VMS - 1, CALLS / 2), CALLS / 2);
    Fleet_Heal(fleet);
    Fleet_Sleep(Span_S(1));
    ck_assert_int_eq(make_calls(fleet, VMS - 1, CALLS / 2), CALLS / 2);
}

static void
run_calls(Fleet *fleet, Condition condition)
{
    switch (condition) {
    case ORDINARY:
        ck_assert_int_eq(make_calls(fleet, VMS, CALLS), CALLS);
        break;
    case PEAK:
        call_at_peak(fleet);
        break;
    case PARTITIONED:
        call_while_partitioned(fleet);
        break;
    }
}

/* Compares the cost with the limits.  Three seconds are added: the budget of
 * one second may be spent at once, and reading all counters takes up to two.
 */
static void
check_cost(const BudgetCase *c, const Cost *before, const Cost *after,
           Span elapsed)
{
    uint64_t seconds = (uint64_t)(elapsed / Span_S(1)) + 3;

    ck_assert_msg(after->bytes - before->bytes <= c->bytes_per_s * seconds,
                  "%s: %d bytes in %d ms", c->name,
                  (int)(after->bytes - before->bytes), (int)(elapsed / 1000));
    ck_assert_msg(after->link_bytes - before->link_bytes <=
                      c->link_bytes_per_s * seconds,
                  "%s: %d bytes to other regions in %d ms", c->name,
                  (int)(after->link_bytes - before->link_bytes),
                  (int)(elapsed / 1000));
    ck_assert_msg(!c->cpu_us_per_s || after->cpu_us - before->cpu_us <=
                                          c->cpu_us_per_s * seconds,
                  "%s: %d us in %d ms", c->name,
                  (int)(after->cpu_us - before->cpu_us),
                  (int)(elapsed / 1000));
}

START_TEST(measuring_stays_under_budget)
{
    const BudgetCase *c = &cases[_i];
    Cost before[VMS];
    uint64_t sent = 0;
    Instant start;
    Fleet fleet;

    start_fleet(&fleet, c);
    for (int vm = 0; vm < VMS; vm++) {
        before[vm] = read_cost(&fleet, vm);
    }
    start = Loop_Now();
    run_calls(&fleet, c->condition);
    for (int vm = 0; vm < VMS; vm++) {
        Cost after = read_cost(&fleet, vm);
        check_cost(c, &before[vm], &after, Loop_Now() - start);
        sent += after.bytes - before[vm].bytes;
    }
    ck_assert(c->probes == PROBES_OPTIONAL ||
              (sent > 0) == (c->probes == PROBES));
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{measuring_stays_under_budget, CASE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("measure budget", tests, 1, 60);
}
