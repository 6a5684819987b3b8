/* Limits of client accounts over all nodes: what a grantor grants and a node
 * holds, and that no window of calls exceeds its bound, in whatever order
 * messages are lost, nodes stand still and grantors follow one another. */
#include <stdio.h>

#include "support/quota_simulation.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

static const QuotaBounds bounds = {Span_S(5), 100, 20};

typedef struct {
    uint32_t per_s;
    uint32_t burst;
    QuotaBounds bounds;
} TermsCase;

static const TermsCase terms_cases[] = {
    {1, 0, {Span_S(5), 100, 20}},    {3, 2, {Span_S(5), 100, 20}},
    {40, 60, {Span_S(5), 100, 20}},  {1000, 0, {Span_S(5), 100, 0}},
    {100000, 9, {Span_S(5), 50, 0}}, {10, 0, {Span_S(60), 0, 5}},
};

/* A window of calls was paid by the grants of that window and of one life. */
START_TEST(terms_stay_within_bounds)
{
    const TermsCase *c = &terms_cases[_i];
    GrantTerms terms = Grt_MakeTerms(&c->bounds, c->per_s, c->burst);
    double window = (double)c->bounds.window / Span_S(1);
    double allowed = (c->per_s * window + c->burst) *
                         (1 + c->bounds.overage_permille / 1000.0) +
                     c->bounds.slack;

    ck_assert_int_gt(terms.life, Span_MS(100));
    ck_assert(terms.depth >= 1);
    ck_assert(terms.depth +
                  c->per_s * (window + (double)terms.life / Span_S(1)) <=
              allowed);
}
END_TEST

typedef struct {
    const char *name;
    QuotaSchedule schedule;
    double served_min; /* share of the calls that are owed */
} SimulationCase;

enum { SEEDS = 10, SIMULATED_S = 20 };

static const SimulationCase simulation_cases[] = {
    {"calm, at the limit, spread", {40, 20, 16, 44, .loss = 0}, 0.95},
    {"calm, small and spread", {3, 3, 16, 3.3, .loss = 0}, 0.95},
    {"calm, eight times its limit", {40, 20, 16, 320, .loss = 0}, 0.95},
    {"calm, one node", {40, 20, 16, 60, .keeps_one_node = true}, 0.95},
    {"calls that do not run", {40, 20, 16, 200, .not_run = 3000}, 0.95},
    {"lost and late messages", {40, 20, 16, 300, .loss = 500, .late = 500}, 0},
    {"grants that lie on their way", {40, 0, 4, 900, .hold = 3}, 0},
    {"the same, much given back",
     {40, 200, 8, 900, .hold = 3, .not_run = 8000},
     0},
    {"frozen nodes", {40, 20, 8, 300, .freeze = 50, .late = 100}, 0},
    {"cut nodes", {40, 20, 8, 300, .cut = 50, .loss = 100}, 0},
    {"prompt fail-overs", {40, 60, 8, 900, .fail_over = 10}, 0},
    {"slow fail-overs",
     {40, 60, 8, 300, .fail_over = 20, .take_over_max = Span_MS(800)},
     0},
    {"fail-overs, much given back",
     {40, 400, 16, 1500, .fail_over = 40, .not_run = 8000},
     0},
    {"everything, small",
     {2, 1, 8, 40, .loss = 200, .late = 300, .freeze = 30, .cut = 30,
      .fail_over = 10, .take_over_max = Span_MS(400), .hold = 5,
      .not_run = 500},
     0},
    {"everything, large",
     {400, 100, 8, 1500, .loss = 200, .late = 300, .freeze = 30, .cut = 30,
      .fail_over = 10, .take_over_max = Span_MS(400), .hold = 5,
      .not_run = 500},
     0},
};

static size_t
get_bound(uint32_t per_s, uint32_t burst)
{
    double allowed = per_s * ((double)bounds.window / Span_S(1)) + burst;

    return (size_t)(allowed * (1 + bounds.overage_permille / 1000.0) +
                    bounds.slack);
}

START_TEST(no_window_exceeds_its_bound)
{
    const SimulationCase *c = &simulation_cases[_i / SEEDS];
    const QuotaSchedule *schedule = &c->schedule;
    uint64_t seed = 1 + (uint64_t)(_i % SEEDS);
    static QuotaSimulation sim;

    Qsim_Init(&sim, &bounds, schedule, seed);
    Qsim_Run(&sim, Span_S(SIMULATED_S));
    ck_assert_msg(Qsim_CountMost(&sim, 0, bounds.window) <=
                      get_bound(schedule->per_s, schedule->burst),
                  "%s seed %llu: %zu", c->name, (unsigned long long)seed,
                  Qsim_CountMost(&sim, 0, bounds.window));
    ck_assert_msg((double)sim.call_count >= c->served_min * (double)sim.owed,
                  "%s seed %llu: %zu ran of %zu", c->name,
                  (unsigned long long)seed, sim.call_count, sim.owed);
    Qsim_Finish(&sim);
}
END_TEST

/* Credit that was granted under the former limit ends soon: a window that
 * begins so long after the change holds the new one. */
START_TEST(lowered_limit_binds)
{
    const QuotaSchedule schedule = {
        100, 200, 8, 600, .late = 200, .freeze = 30, .fail_over = 5};
    static QuotaSimulation sim;
    Instant binds_at;

    Qsim_Init(&sim, &bounds, &schedule, 1 + (uint64_t)_i);
    Qsim_Run(&sim, Span_S(8));
    Qsim_SetLimit(&sim, 4, 2);
    binds_at = sim.now + Span_MS(2500);
    Qsim_Run(&sim, Span_S(12));
    ck_assert_msg(
        Qsim_CountMost(&sim, binds_at, bounds.window) <= get_bound(4, 2),
        "seed %d: %zu", 1 + _i, Qsim_CountMost(&sim, binds_at, bounds.window));
    Qsim_Finish(&sim);
}
END_TEST

typedef struct {
    const char *name;
    Span until_back; /* from the grant of all tokens to the give-back */
    bool is_taken_back;
} EpochCase;

static const EpochCase epoch_cases[] = {
    {"at once", 0, true},
    {"before the bucket is full", Span_MS(400), true},
    {"after it would have been full anyway", Span_MS(700), false},
};

/* Guards against the failure that a bucket filled again while credit was out
 * for which no call came, and that both were granted. */
START_TEST(takes_back_what_would_not_have_overflowed)
{
    const EpochCase *c = &epoch_cases[_i];
    PresetAccount account = {.per_s = 40, .burst = 20};
    const Preset preset = {.accounts = &account, .account_count = 1};
    uint64_t id = Grt_GetId((Str){0});
    uint32_t depth = (uint32_t)Grt_MakeTerms(&bounds, 40, 20).depth;
    uint32_t accrued = (uint32_t)(40 * c->until_back / Span_S(1));
    Instant granted_at = Span_S(9) + Span_MS(100);
    Grantor grantor;
    Grant grant;
    Grant again;

    Grt_Init(&grantor, &bounds);
    Grt_SetAccounts(&grantor, &preset, 0);
    Grt_Start(&grantor, 1, 0);
    Grt_OnAsk(&grantor, id, depth, 0, 0, Span_S(9)); /* spent */
    grant = Grt_OnAsk(&grantor, id, 3, 0, 0, granted_at);
    ck_assert_int_eq(grant.granted, 3);
    again = Grt_OnAsk(&grantor, id, 2 * depth, grant.granted, grant.epoch,
                      granted_at + c->until_back);
    if (c->is_taken_back) {
        ck_assert_int_ge(again.granted, accrued + grant.granted);
    }
    ck_assert_int_le(again.granted, depth);
    /* what came back and was lost is not there later either */
    again = Grt_OnAsk(&grantor, id, 1, grant.granted, grant.epoch,
                      granted_at + c->until_back);
    ck_assert_int_eq(again.granted, c->is_taken_back);
    Grt_Finish(&grantor);
}
END_TEST

typedef struct {
    const char *name;
    uint64_t next_term; /* of a grant that comes meanwhile */
    uint32_t next_epoch;
    uint32_t given_back; /* of 3 calls */
} HolderCase;

static const HolderCase holder_cases[] = {
    {"the same grantor and epoch", 5, 7, 3},
    {"a later epoch began", 5, 8, 3},
    {"another grantor", 6, 0, 0},
};

START_TEST(gives_back_to_who_granted)
{
    const HolderCase *c = &holder_cases[_i];
    const CreditGrant first = {
        .id = 1, .granted = 3, .epoch = 7, .life = Span_S(1)};
    const CreditGrant next = {
        .id = 2, .granted = 0, .epoch = c->next_epoch, .life = Span_S(1)};
    CreditAsk rows[Crd_ROWS_MAX];
    CreditHolder holder;
    Credit credit;

    Crd_Init(&holder);
    Crd_OnGrant(&holder, 5, &first, 0, Span_MS(20));
    Crd_OnGrant(&holder, c->next_term, &next, 0, Span_MS(30));
    ck_assert_int_eq(Crd_CountHeld(&holder, 1, Span_MS(40)), 3);
    Crd_Tick(&holder, Span_MS(1001));
    ck_assert_int_eq(Crd_Take(&holder, 1, &credit, Span_MS(1001)), Crd_WAIT);
    ck_assert_int_eq(Crd_MakeAsk(&holder, rows, Span_S(2)), c->given_back > 0);
    if (c->given_back) {
        ck_assert_int_eq(rows[0].back, c->given_back);
        ck_assert_int_eq(rows[0].epoch, 7);
        ck_assert_int_eq(rows[0].want, 0);
    }
    ck_assert_int_eq(Crd_MakeAsk(&holder, rows, Span_S(3)), 0);
    Crd_Finish(&holder);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {terms_stay_within_bounds, ROWS(terms_cases)},
        {no_window_exceeds_its_bound, ROWS(simulation_cases) * SEEDS},
        {lowered_limit_binds, SEEDS},
        {takes_back_what_would_not_have_overflowed, ROWS(epoch_cases)},
        {gives_back_to_who_granted, ROWS(holder_cases)},
    };

    (void)argc;
    (void)argv;
    return Suite_Run("quota", tests, sizeof tests / sizeof tests[0], 60);
}
