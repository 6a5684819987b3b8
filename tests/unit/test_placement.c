/* Placement: which backend servers are chosen for reported loads, that faulty
 * ones are ejected and come back once they work again. */
#include "process/placement/placement.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SERVERS = 4, SLOTS = 9 };

typedef struct {
    Rng rng;
    PlacementTable placement;
} PlacementFixture;

static const PlacementSettings default_settings = {
    .policy = Plc_LEAST_WAIT,
    .domain_penalty = Span_MS(2),
    .region_penalty = Span_MS(30),
    .sample_size = 3,
    .queue_max = 32,
    .patient_queue_max = 16,
};

static void
init_fixture(PlacementFixture *fixture, PlacementSettings settings)
{
    Rng_Init(&fixture->rng, 7);
    Plc_Init(&fixture->placement, &settings, &fixture->rng);
}

static void
finish_fixture(PlacementFixture *fixture)
{
    Plc_Finish(&fixture->placement);
    Rng_Finish(&fixture->rng);
}

static void
set_backend(PlacementFixture *fixture, Addr node, uint16_t region,
            LoadReport load, Instant now)
{
    BackendLocation location = {
        .node = node, .incarnation = 1, .region = region};

    location.domain = (uint16_t)(node % 4);
    Plc_SetBackend(&fixture->placement, &location, &load, now);
}

typedef struct {
    LoadReport loads[SERVERS]; /* servers 1 and 2 are local, 3 and 4 remote */
    bool interactive;
    Addr tried; /* server that may not be chosen; 0: none */
    PlacementVerdict verdict;
    uint32_t allowed; /* bit N: server N + 1 may be chosen */
} ChoiceCase;

#define IDLE                                                                  \
    {                                                                         \
        SLOTS, 0, 0, 5000, 0, false, 0, false                                 \
    }
#define BUSY                                                                  \
    {                                                                         \
        SLOTS, SLOTS, 8, 5000, 0, false, 0, false                             \
    }
#define NEARLY_FULL                                                           \
    {                                                                         \
        SLOTS, SLOTS - 1, 0, 5000, 0, false, 0, false                         \
    }
#define OVERSTATES_SLOTS                                                      \
    {                                                                         \
        4 * SLOTS, 24, 0, 6500, 0, false, 0, false                            \
    }
#define LARGE                                                                 \
    {                                                                         \
        4 * SLOTS, 24, 0, 5000, 0, false, 0, false                            \
    }
#define CROWDED                                                               \
    {                                                                         \
        SLOTS, SLOTS, 31, 20000, 0, false, 0, false                           \
    }
#define FULL                                                                  \
    {                                                                         \
        SLOTS, SLOTS, 32, 5000, 0, false, 0, false                            \
    }
#define PATIENT_FULL                                                          \
    {                                                                         \
        SLOTS, SLOTS, 16, 5000, 0, false, 0, false                            \
    }
#define DRAINING                                                              \
    {                                                                         \
        SLOTS, 0, 0, 5000, 0, true, 0, false                                  \
    }
#define ABSENT                                                                \
    {                                                                         \
        0, 0, 0, 0, 0, false, 0, false                                        \
    }

static const ChoiceCase choices[] = {
    {{IDLE, IDLE, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x3},
    {{IDLE, BUSY, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x1},
    {{IDLE, IDLE, IDLE, IDLE}, true, 1, Plc_CHOSEN, 0x2},
    {{DRAINING, IDLE, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x2},
    {{ABSENT, BUSY, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x2},
    {{CROWDED, CROWDED, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0xc},
    {{OVERSTATES_SLOTS, NEARLY_FULL, FULL, FULL}, true, 0, Plc_CHOSEN, 0x2},
    {{LARGE, NEARLY_FULL, FULL, FULL}, true, 0, Plc_CHOSEN, 0x1},
    {{FULL, FULL, FULL, FULL}, true, 0, Plc_ALL_FULL, 0},
    {{PATIENT_FULL, PATIENT_FULL, PATIENT_FULL, PATIENT_FULL},
     false,
     0,
     Plc_ALL_FULL,
     0},
    {{PATIENT_FULL, PATIENT_FULL, PATIENT_FULL, PATIENT_FULL},
     true,
     0,
     Plc_CHOSEN,
     0x3},
    {{FULL, IDLE, FULL, FULL}, true, 2, Plc_ALL_FULL, 0},
    {{DRAINING, ABSENT, DRAINING, ABSENT}, true, 0, Plc_NO_BACKEND, 0},
};

START_TEST(chooses_allowed_server)
{
    const ChoiceCase *c = &choices[_i];
    Instant now = Span_S(5);
    PlacementFixture fixture;
    PlacementRequest request = {.interactive = c->interactive,
                                .time_left = Span_S(1)};

    init_fixture(&fixture, default_settings);
    for (int i = 0; i < SERVERS; i++) {
        set_backend(&fixture, (Addr)i + 1, i / 2, c->loads[i], now);
    }
    request.excluded = &c->tried;
    request.excluded_count = c->tried ? 1 : 0;
    for (int i = 0; i < 100; i++) {
        const BackendRow *row;
        ck_assert_int_eq(Plc_Choose(&fixture.placement, &request, now, &row),
                         c->verdict);
        ck_assert(!row || c->allowed & 1u << (row->location.node - 1));
    }
    finish_fixture(&fixture);
}
END_TEST

typedef struct {
    const char *name;
    LoadReport loads[SERVERS]; /* servers 1 and 2 are local, 3 and 4 remote */
    RegionMask barred;
    bool local_only;
    PlacementVerdict verdict;
    uint32_t allowed; /* as in ChoiceCase */
    bool has_allowed; /* Plc_HasAllowedBackend */
} RegionCase;

static const RegionCase bound[] = {
    {"bound to this region, which is crowded",
     {CROWDED, CROWDED, IDLE, IDLE},
     0x2,
     false,
     Plc_CHOSEN,
     0x3,
     true},
    {"bound to the other region",
     {IDLE, IDLE, IDLE, IDLE},
     0x1,
     false,
     Plc_CHOSEN,
     0xc,
     true},
    {"bound to the other region, the link's budget is spent",
     {IDLE, IDLE, IDLE, IDLE},
     0x1,
     true,
     Plc_ALL_FULL,
     0,
     true},
    {"all servers of its region are full",
     {IDLE, IDLE, FULL, FULL},
     0x1,
     false,
     Plc_ALL_FULL,
     0,
     true},
    {"all servers of its region drain",
     {IDLE, IDLE, DRAINING, DRAINING},
     0x1,
     false,
     Plc_NO_BACKEND,
     0,
     false},
    {"bound to a region that does not exist",
     {IDLE, IDLE, IDLE, IDLE},
     0x3,
     false,
     Plc_NO_BACKEND,
     0,
     false},
};

/* What is bound to regions goes nowhere else, whatever the policy and however
 * crowded its servers are. */
START_TEST(stays_in_its_regions)
{
    const RegionCase *c = &bound[_i / (Plc_TWO_CHOICES + 1)];
    Instant now = Span_S(5);
    PlacementSettings settings = default_settings;
    PlacementFixture fixture;
    PlacementRequest request = {.interactive = true,
                                .time_left = Span_S(1),
                                .barred = c->barred,
                                .local_only = c->local_only};
    uint32_t chosen = 0;

    settings.policy = (PlacementPolicy)(_i % (Plc_TWO_CHOICES + 1));
    init_fixture(&fixture, settings);
    for (int i = 0; i < SERVERS; i++) {
        set_backend(&fixture, (Addr)i + 1, i / 2, c->loads[i], now);
    }
    for (int i = 0; i < 500; i++) {
        const BackendRow *row;
        PlacementVerdict verdict =
            Plc_Choose(&fixture.placement, &request, now, &row);
        chosen |= row ? 1u << (row->location.node - 1) : 0;
        ck_assert(settings.policy != Plc_LEAST_WAIT || verdict == c->verdict);
    }
    if (settings.policy == Plc_LEAST_WAIT) {
        ck_assert_msg(!(chosen & ~c->allowed) && !chosen == !c->allowed,
                      "%s: %x", c->name, chosen);
    }
    for (int i = 0; i < SERVERS; i++) {
        ck_assert_msg(
            !(chosen >> i & 1) || !Rgm_Has(c->barred, (uint16_t)(i / 2)),
            "%s: server %d, policy %d", c->name, i + 1, (int)settings.policy);
    }
    ck_assert(Plc_HasAllowedBackend(&fixture.placement, c->barred) ==
              c->has_allowed);
    finish_fixture(&fixture);
}
END_TEST

typedef struct {
    const char *name;
    double share_max;           /* server 1, of all attempts, second second */
    double recovered_share_min; /* the same in the last second */
    Span interval;              /* between attempts */
    Span duration;              /* at the faulty servers; else 5 ms */
    AttemptResult result;       /* at the faulty servers; else Plc_ANSWERED */
    int ejected;                /* rows ejected after two seconds */
    bool all_faulty;            /* all servers are; else only server 1 */
} FaultCase;

static const FaultCase faults[] = {
    {"no fault", 1.00, 0.15, 500, Span_MS(5), Plc_ANSWERED, 0, false},
    {"fails fast", 0.01, 0.15, 500, 50, Plc_FAILED, 1, false},
    {"slow", 0.05, 0.15, 500, Span_MS(100), Plc_ANSWERED, 0, false},
    {"slow, few attempts", 0.10, 0.15, Span_MS(10), Span_MS(100), Plc_ANSWERED,
     0, false},
    {"all fail fast", 1.00, 0.15, 500, 50, Plc_FAILED, 2, true},
    {"all without an answer", 1.00, 0.15, 500, Span_MS(500), Plc_NO_ANSWER, 2,
     true},
};

#define SECONDS 10
#define RECOVERS_AT Span_S(3)

enum { OPEN_MAX = 4096 };

/* Attempts in flight. */
typedef struct {
    Instant ends_at[OPEN_MAX];
    Instant started_at[OPEN_MAX];
    Addr node[OPEN_MAX];
    AttemptResult result[OPEN_MAX];
    int count;
} OpenAttempts;

static const LoadReport moderate_load = {SLOTS, 4,     0, 5000,
                                         0,     false, 0, false};

static void
end_due_attempts(PlacementFixture *fixture, OpenAttempts *open, Instant now)
{
    for (int i = 0; i < open->count;) {
        if (open->ends_at[i] > now) {
            i++;
            continue;
        }
        Plc_OnAttemptEnd(&fixture->placement, open->node[i], open->result[i],
                         now - open->started_at[i], now);
        if (open->result[i] != Plc_NO_ANSWER) {
            Plc_OnLoadReport(&fixture->placement, open->node[i],
                             &moderate_load, now);
        }
        open->count--;
        open->ends_at[i] = open->ends_at[open->count];
        open->started_at[i] = open->started_at[open->count];
        open->node[i] = open->node[open->count];
        open->result[i] = open->result[open->count];
    }
}

static void
start_attempt(PlacementFixture *fixture, OpenAttempts *open,
              const FaultCase *c, Addr node, Instant now)
{
    bool faulty = now < RECOVERS_AT && (c->all_faulty || node == 1);
    int i = open->count++;

    ck_assert_int_lt(i, OPEN_MAX);
    open->node[i] = node;
    open->started_at[i] = now;
    open->ends_at[i] = now + (faulty ? c->duration : Span_MS(5));
    open->result[i] = faulty ? c->result : Plc_ANSWERED;
    Plc_OnAttemptStart(&fixture->placement, node, now);
}

static int
count_ejected(const PlacementTable *placement)
{
    int count = 0;

    for (size_t i = 0; i < placement->row_count; i++) {
        count += placement->rows[i].ejected;
    }
    return count;
}

START_TEST(ejects_faulty_servers)
{
    const FaultCase *c = &faults[_i];
    int to_server_1[SECONDS] = {0};
    const double attempts_per_s = 1e6 / (double)c->interval;
    PlacementSettings settings = default_settings;
    static OpenAttempts open;
    PlacementFixture fixture;

    open = (OpenAttempts){0};
    settings.domain_penalty = 0;
    init_fixture(&fixture, settings);
    for (Instant now = 0; now < Span_S(SECONDS); now += c->interval) {
        PlacementRequest request = {.interactive = true,
                                    .time_left = Span_S(1)};
        const BackendRow *row;
        for (Addr i = 1; now % Span_MS(500) == 0 && i <= SERVERS; i++) {
            set_backend(&fixture, i, 0, moderate_load, now);
        }
        end_due_attempts(&fixture, &open, now);
        if (Plc_Choose(&fixture.placement, &request, now, &row) ==
            Plc_CHOSEN) {
            to_server_1[now / Span_S(1)] += row->location.node == 1;
            start_attempt(&fixture, &open, c, row->location.node, now);
        }
        else {
            /* All backend servers count as full only while that many attempts
             * are in flight. */
            ck_assert_int_ge(open.count,
                             SERVERS * (int)default_settings.queue_max);
        }
        ck_assert_int_le(2 * count_ejected(&fixture.placement), SERVERS);
        if (now == Span_S(2)) {
            ck_assert_int_eq(count_ejected(&fixture.placement), c->ejected);
        }
    }
    ck_assert_msg(to_server_1[1] <= c->share_max * attempts_per_s,
                  "%s: %d in the second second", c->name, to_server_1[1]);
    ck_assert_msg(
        to_server_1[SECONDS - 1] >= c->recovered_share_min * attempts_per_s,
        "%s: %d in the last second", c->name, to_server_1[SECONDS - 1]);
    finish_fixture(&fixture);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {chooses_allowed_server, ROWS(choices)},
        {ejects_faulty_servers, ROWS(faults)},
        {stays_in_its_regions, ROWS(bound) * (Plc_TWO_CHOICES + 1)},
    };

    return Suite_Run("placement", tests, ROWS(tests), 20);
}
