/* CPU time that a node counts as control: at most what its process used,
 * within the target, and including the requests of operators.
 */
#include "fleet.h"
#include "support/suite.h"

static Str build;

/* The target: control takes at most 1.3 % of a core. */
enum {
    VMS = 4,
    CONTROL = 3,
    OPERATORS_PORT = 8100,
    CONTROL_MAX_US_PER_S = 13000
};
enum { PERIOD_S = 3, REQUESTS = 600 };

/* CPU time of a node, in microseconds. */
typedef struct {
    uint64_t control;
    uint64_t measure; /* load probes; not part of control */
    uint64_t total;   /* of the process */
} CpuUsage;

static CpuUsage
read_usage(Fleet *fleet, int vm)
{
    CpuUsage usage;

    usage.control = Fleet_ReadCounter(
        fleet, vm, Str_LIT("lycheeridge_control_cpu_us_total"));
    usage.measure = Fleet_ReadCounter(
        fleet, vm, Str_LIT("lycheeridge_measure_cpu_us_total"));
    usage.total = Fleet_ReadCounter(fleet, vm, Str_LIT("lycheeridge_cpu_us"));
    return usage;
}

/* Sends REQUESTS requests of an operator to VM's node, waits PERIOD_S and
 * returns the CPU time that the node used meanwhile. */
static CpuUsage
measure_usage(Fleet *fleet, int vm, int requests)
{
    CpuUsage before = read_usage(fleet, vm);
    CpuUsage after;

    for (int i = 0; i < requests; i++) {
        StrBuf body = {0};
        ck_assert(Fleet_Get(fleet, vm, OPERATORS_PORT, Str_LIT("/v1/timeline"),
                            &body));
        StrBuf_Finish(&body);
    }
    Fleet_Sleep(Span_S(PERIOD_S));
    after = read_usage(fleet, vm);
    return (CpuUsage){after.control - before.control,
                      after.measure - before.measure,
                      after.total - before.total};
}

typedef struct {
    const char *name;
    int vm;
} RoleCase;

static const RoleCase roles[] = {
    {"control replica", 0},
    {"node", VMS - 1},
};

START_TEST(counts_control_cpu)
{
    const RoleCase *c = &roles[_i];
    Fleet fleet;
    CpuUsage idle;
    CpuUsage requested;

    Fleet_Init(&fleet, build, 41, VMS, CONTROL);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(&fleet, vm);
    }
    /* The nodes learn the membership and the version. */
    Fleet_Sleep(Span_S(3));
    idle = measure_usage(&fleet, c->vm, 0);
    requested = measure_usage(&fleet, c->vm, REQUESTS);
    ck_assert_msg(
        idle.control > 0 && idle.control + idle.measure <= idle.total &&
            requested.control + requested.measure <= requested.total,
        "%s: idle %d + %d of %d us, with requests %d + %d of %d us", c->name,
        (int)idle.control, (int)idle.measure, (int)idle.total,
        (int)requested.control, (int)requested.measure, (int)requested.total);
    ck_assert_msg(idle.control <= (uint64_t)PERIOD_S * CONTROL_MAX_US_PER_S,
                  "%s: %d us of control while idle", c->name,
                  (int)idle.control);
    /* Answers to operators count as control, and are most of it here. */
    ck_assert_msg(requested.control > 2 * idle.control,
                  "%s: control %d us idle, %d us with requests", c->name,
                  (int)idle.control, (int)requested.control);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {counts_control_cpu, sizeof roles / sizeof roles[0]}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("control cpu", tests, 1, 60);
}
