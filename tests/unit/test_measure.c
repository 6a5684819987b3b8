/* What may be spent on load probes and on the inter-region link: probe budget,
 * link budget, placement kept to a region, and throttled load reports. */
#include "process/admission/reportthrottle.h"
#include "process/placement/linkbudget.h"
#include "process/placement/probe.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define TICK Span_MS(10)
#define DURATION Span_S(20)

typedef struct {
    Span report_interval; /* between load reports on answers; 0: none */
    double cpu_us;        /* of one probe */
    ProbeLimits limits;
    uint16_t region; /* of the backend servers; this node's is 0 */
    bool is_used;
    bool probes; /* at least one is sent */
} ProbeCase;

static const ProbeCase probes[] = {
    {0, 20, {2000, 400, 5}, 0, true, true},
    {0, 20, {2000, 400, 5}, 1, true, true},
    {0, 5000, {2000, 400, 5}, 0, true, true},
    {0, 20, {160, 160, 5}, 0, true, true},
    {TICK, 20, {2000, 400, 5}, 0, true, false},
    {0, 20, {2000, 400, 5}, 0, false, false},
    {0, 20, {0, 400, 5}, 0, true, false},
    {0, 20, {2000, 0, 5}, 1, true, false},
    {0, 20, {2000, 400, 0}, 0, true, false},
};

static void
add_backend_servers(PlacementTable *plc, const ProbeCase *c)
{
    const LoadReport load = {9, 0, 0, 5000, 0, false, 0, false};

    for (Addr i = 1; i <= 4; i++) {
        BackendLocation place = {
            .node = i, .incarnation = 1, .region = c->region};
        Plc_SetBackend(plc, &place, &load, 0);
    }
}

START_TEST(probes_stay_within_budget)
{
    const ProbeCase *c = &probes[_i];
    const LoadReport load = {9, 0, 0, 5000, 0, false, 0, false};
    PlacementSettings settings = {.sample_size = 3};
    double seconds = (double)DURATION / 1e6;
    int sent = 0;
    ProbeBudget probe;
    Rng rng;
    PlacementTable plc;

    Rng_Init(&rng, 1);
    Plc_Init(&plc, &settings, &rng);
    add_backend_servers(&plc, c);
    Prb_Init(&probe, &c->limits, 0);
    for (Instant now = TICK; now < DURATION; now += TICK) {
        if (c->is_used) {
            Plc_OnAttemptStart(&plc, 1, now);
        }
        for (Addr i = 1; c->report_interval && i <= 4; i++) {
            Plc_OnLoadReport(&plc, i, &load, now);
        }
        if (Prb_ChooseTarget(&probe, &plc, now)) {
            sent++;
            Prb_ChargeCpu(&probe, c->cpu_us, now);
        }
    }
    ck_assert_int_eq(sent > 0, c->probes);
    /* The burst is what one second allows. */
    ck_assert(sent * Prb_BYTES_MAX <= c->limits.bytes_per_s * (seconds + 1));
    ck_assert(!c->region || sent * Prb_BYTES_MAX <=
                                c->limits.remote_bytes_per_s * (seconds + 1));
    ck_assert(sent * c->cpu_us <=
              c->limits.cpu_permille * 1000.0 * (seconds + 1) + c->cpu_us);
    Plc_Finish(&plc);
    Rng_Finish(&rng);
}
END_TEST

typedef struct {
    Span elapsed;     /* since the bytes were charged */
    uint32_t rate;    /* bytes/s; 0: the link is closed */
    uint32_t charged; /* bytes that crossed the link before */
    uint32_t bytes;   /* of the call */
    bool interactive;
    bool allowed;
} LinkCase;

/* The burst is what the rate allows in a quarter of a second. */
static const LinkCase links[] = {
    {0, 400000, 0, 1000, true, true},
    {0, 400000, 0, 1000, false, true},
    {0, 400000, 60000, 1000, true, true},
    {0, 400000, 60000, 1000, false, false},
    {Span_MS(100), 400000, 60000, 1000, false, true},
    {0, 400000, 150000, 1000, true, true},
    {0, 400000, 250000, 1000, true, true},
    {Span_MS(300), 400000, 9000000, 1000, false, false},
    {Span_MS(400), 400000, 9000000, 1000, false, true},
    {Span_S(1), 400000, 250000, 1000, true, true},
    {0, 0, 0, 1, true, false},
    {Span_S(9), 0, 0, 1, false, false},
};

START_TEST(interactive_goes_before_patient)
{
    const LinkCase *c = &links[_i];
    LinkBudget budget;

    Lnk_Init(&budget, c->rate, 0);
    Lnk_Charge(&budget, c->charged, 0);
    ck_assert_int_eq(
        Lnk_CanSend(&budget, c->interactive, c->bytes, c->elapsed),
        c->allowed);
}
END_TEST

typedef struct {
    bool local_only;
    bool local_full;
    PlacementVerdict verdict;
} LocalCase;

static const LocalCase local_cases[] = {
    {false, false, Plc_CHOSEN},
    {false, true, Plc_CHOSEN},
    {true, false, Plc_CHOSEN},
    {true, true, Plc_ALL_FULL},
};

START_TEST(local_only_stays_in_region)
{
    const LocalCase *c = &local_cases[_i];
    const LoadReport idle = {9, 0, 0, 5000, 0, false, 0, false};
    const LoadReport full = {9, 9, 40, 5000, 0, false, 0, false};
    PlacementSettings settings = {.sample_size = 3, .queue_max = 32};
    PlacementRequest request = {.interactive = true,
                                .local_only = c->local_only};
    const BackendRow *row;
    Rng rng;
    PlacementTable plc;

    Rng_Init(&rng, 1);
    Plc_Init(&plc, &settings, &rng);
    for (Addr i = 1; i <= 4; i++) {
        BackendLocation place = {.node = i, .incarnation = 1, .region = i > 2};
        Plc_SetBackend(&plc, &place, c->local_full && i < 3 ? &full : &idle,
                       0);
    }
    for (int i = 0; i < 100; i++) {
        ck_assert_int_eq(Plc_Choose(&plc, &request, 0, &row), c->verdict);
        ck_assert(!c->local_only || !row || row->location.region == 0);
    }
    Plc_Finish(&plc);
    Rng_Finish(&rng);
}
END_TEST

enum { STEPS_MAX = 5 };

typedef struct {
    Instant at;
    uint64_t node;
    bool is_cross_region;
    bool attached;
} ThrottleStep;

typedef struct {
    const char *name;
    ThrottleStep steps[STEPS_MAX];
} ThrottleCase;

static const ThrottleCase throttle_cases[] = {
    {"always within a region", {{1, 1, false, true}, {2, 1, false, true}}},
    {"one per interval across regions",
     {{1, 1, true, true},
      {2, 1, true, false},
      {Rpt_MIN_INTERVAL, 1, true, false},
      {1 + Rpt_MIN_INTERVAL, 1, true, true},
      {2 + Rpt_MIN_INTERVAL, 1, true, false}}},
    {"each node has its own interval",
     {{1, 1, true, true}, {2, 2, true, true}}},
    {"only an attached report starts an interval",
     {{1, 1, true, true},
      {Rpt_MIN_INTERVAL - 1, 1, true, false},
      {1 + Rpt_MIN_INTERVAL, 1, true, true}}},
};

START_TEST(attaches_once_per_interval)
{
    const ThrottleCase *c = &throttle_cases[_i];
    ReportThrottle throttle = {0};

    for (int i = 0; i < STEPS_MAX && c->steps[i].at; i++) {
        const ThrottleStep *step = &c->steps[i];
        ck_assert_msg(Rpt_ShouldAttach(&throttle, step->node,
                                       step->is_cross_region,
                                       step->at) == step->attached,
                      "%s: step %d", c->name, i);
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {probes_stay_within_budget, ROWS(probes)},
        {interactive_goes_before_patient, ROWS(links)},
        {local_only_stays_in_region, ROWS(local_cases)},
        {attaches_once_per_interval, ROWS(throttle_cases)},
    };

    return Suite_Run("measure", tests, ROWS(tests), 10);
}
