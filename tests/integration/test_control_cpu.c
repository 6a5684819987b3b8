/* Processor time counted as control: no more than the process used, within
 * the target, and with the operators' requests in it. */
#include "fleet.h"
#include "support/suite.h"

static Str build;

/* The target: control takes at most 1.3 % of a core. */
enum { VMS = 4, CONTROL = 3, OPERATORS = 8100, TARGET_US_PER_S = 13000 };
enum { SECONDS = 3, REQUESTS = 600 };

typedef struct {
    uint64_t control;
    uint64_t measure;
    uint64_t whole;
} Used;

static Used
read_used(Fleet *fleet, int vm)
{
    Used used;

    used.control = Fleet_ReadCounter(
        fleet, vm, Str_LIT("lycheeridge_control_cpu_us_total"));
    used.measure = Fleet_ReadCounter(
        fleet, vm, Str_LIT("lycheeridge_measure_cpu_us_total"));
    used.whole = Fleet_ReadCounter(fleet, vm, Str_LIT("lycheeridge_cpu_us"));
    return used;
}

/* Let SECONDS pass, with so many requests; what VM used meanwhile. */
static Used
use(Fleet *fleet, int vm, int requests)
{
    Used before = read_used(fleet, vm);
    Used after;

    for (int i = 0; i < requests; i++) {
        StrBuf body = {0};
        ck_assert(
            Fleet_Get(fleet, vm, OPERATORS, Str_LIT("/v1/timeline"), &body));
        StrBuf_Finish(&body);
    }
    Fleet_Sleep(Span_S(SECONDS));
    after = read_used(fleet, vm);
    return (Used){after.control - before.control,
                  after.measure - before.measure, after.whole - before.whole};
}

typedef struct {
    const char *name;
    int vm;
} RoleCase;

static const RoleCase roles[] = {
    {"control replica", 0},
    {"node", VMS - 1},
};

START_TEST(counts_all_control)
{
    const RoleCase *c = &roles[_i];
    Fleet fleet;
    Used idle;
    Used asked;

    Fleet_Init(&fleet, build, 41, VMS, CONTROL);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(&fleet, vm);
    }
    Fleet_Sleep(Span_S(3)); /* they know each other, and the version */
    idle = use(&fleet, c->vm, 0);
    asked = use(&fleet, c->vm, REQUESTS);
    ck_assert_msg(idle.control > 0 &&
                      idle.control + idle.measure <= idle.whole &&
                      asked.control + asked.measure <= asked.whole,
                  "%s: idle %d + %d of %d us, asked %d + %d of %d us", c->name,
                  (int)idle.control, (int)idle.measure, (int)idle.whole,
                  (int)asked.control, (int)asked.measure, (int)asked.whole);
    ck_assert_msg(idle.control <= (uint64_t)SECONDS * TARGET_US_PER_S,
                  "%s: %d us of control while idle", c->name,
                  (int)idle.control);
    /* Answers to operators are control, and here most of it. */
    ck_assert_msg(asked.control > 2 * idle.control,
                  "%s: control %d us idle, %d us with requests", c->name,
                  (int)idle.control, (int)asked.control);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {counts_all_control, sizeof roles / sizeof roles[0]}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("control cpu", tests, 1, 60);
}
