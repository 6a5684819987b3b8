/* When a call may be retried or hedged, and that all retries stay within the
 * budget: a budget that grows too fast multiplies the load of a failure. */
#include "request/depth.h"
#include "request/hedge.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define DEADLINE Span_MS(500)

typedef struct {
    double tokens;
    Instant now;
    uint32_t attempts;
    AttemptFailure failure;
    RetryDecision decision;
    bool idempotent;
} RetryCase;

static const RetryCase retries[] = {
    {1, 0, 1, Rty_NOT_RUN, Rty_RETRY, true},
    {1, 0, 1, Rty_BACKEND_ERROR, Rty_RETRY, true},
    {1, 0, 1, Rty_UNKNOWN, Rty_RETRY, true},
    {1, 0, 1, Rty_NOT_RUN, Rty_RETRY, false},
    {1, 0, 1, Rty_BACKEND_ERROR, Rty_REPORT_FAILED, false},
    {1, 0, 1, Rty_UNKNOWN, Rty_FENCE, false},
    {0, 0, 1, Rty_UNKNOWN, Rty_FENCE, false},
    {1, DEADLINE, 1, Rty_UNKNOWN, Rty_REPORT_UNKNOWN, false},
    {0.5, 0, 1, Rty_NOT_RUN, Rty_REPORT_NOT_RUN, true},
    {9, 0, 3, Rty_NOT_RUN, Rty_REPORT_NOT_RUN, true},
    {1, DEADLINE, 1, Rty_BACKEND_ERROR, Rty_REPORT_FAILED, true},
    {0, 0, 1, Rty_UNKNOWN, Rty_REPORT_UNKNOWN, true},
    {1, 0, 1, Rty_SILENT, Rty_RETRY, true},
    {0, 0, 1, Rty_SILENT, Rty_FENCE, true},
    {9, 0, 3, Rty_SILENT, Rty_FENCE, true},
    {1, DEADLINE, 1, Rty_SILENT, Rty_REPORT_UNKNOWN, true},
    {1, 0, 1, Rty_SILENT, Rty_FENCE, false},
    {1, DEADLINE, 1, Rty_SILENT, Rty_REPORT_UNKNOWN, false},
};

START_TEST(decides_retries)
{
    const RetryCase *c = &retries[_i];
    RetryBudget budget;
    RetryState retry;

    Rty_BudgetInit(&budget, 100, 10);
    budget.tokens = c->tokens;
    Rty_Init(&retry, c->idempotent, 3, DEADLINE);
    for (uint32_t i = 0; i < c->attempts; i++) {
        Rty_OnAttempt(&retry, i + 1);
    }
    ck_assert_int_eq(Rty_Decide(&retry, &budget, c->failure, c->now),
                     c->decision);
    ck_assert(budget.tokens == c->tokens - (c->decision == Rty_RETRY));
}
END_TEST

typedef struct {
    uint32_t permille;
    int calls;
    Span interval; /* between calls */
    int starts;    /* of the node; calls are divided evenly */
    int least;     /* retries that the budget allows over all calls */
    int most;
} BudgetCase;

static const BudgetCase budgets[] = {
    {0, 10000, Span_MS(1), 1, 0, 0},
    {100, 10000, Span_MS(1), 1, 999, 1010},
    {20, 10000, Span_MS(1), 1, 199, 210},
    /* What was spent before a restart is not known after the restart. */
    {100, 10000, Span_MS(1), 1000, 1989, 2000},
    {0, 10000, Span_MS(1), 1000, 0, 0},
    /* Soon after a start, calls of a few callers can be retried too. */
    {100, 10, Span_MS(100), 1, 10, 11},
    {100, 3, Span_MS(500), 1, 10, 11},
    {0, 10, Span_MS(100), 1, 0, 0},
};

typedef struct {
    const char *name;
    uint32_t burst;
    size_t nodes;
    double most; /* at once, over all nodes */
} ShareCase;

static const ShareCase shares[] = {
    {"a small fleet", 40, 13, 40},
    {"one node", 40, 1, 40},
    {"no node known yet", 40, 0, 40},
    {"more nodes than the burst", 40, 70, 70},
    {"the largest fleet", 40, 680, 680},
    {"no retries", 0, 13, 0},
};

START_TEST(bursts_of_all_nodes_add_up_to_the_setting)
{
    const ShareCase *c = &shares[_i];
    double sum =
        Rty_BurstPerNode(c->burst, c->nodes) * (c->nodes ? c->nodes : 1);

    ck_assert_msg(sum <= c->most + 0.001 && sum >= c->most - 0.001,
                  "%s: %.2f for %.2f", c->name, sum, c->most);
}
END_TEST

START_TEST(attempts_stay_within_the_budget)
{
    const BudgetCase *c = &budgets[_i];
    RetryBudget budget;
    int given = 0;

    for (int i = 0; i < c->calls; i++) {
        if (i % (c->calls / c->starts) == 0) {
            Rty_BudgetInit(&budget, c->permille, 10);
        }
        Rty_BudgetOnCall(&budget, Span_S(1) + i * c->interval);
        for (int k = 0; k < 10; k++) {
            given += Rty_BudgetTake(&budget);
        }
    }
    ck_assert_int_le(given, c->most);
    ck_assert_int_ge(given, c->least);
}
END_TEST

typedef struct {
    double tokens;
    Span delay;
    Instant now;
    uint32_t depth;
    bool idempotent;
    bool answered;
    bool hedged;
} HedgeCase;

static const HedgeCase hedges[] = {
    {1, Span_MS(20), Span_MS(20), 0, true, false, true},
    {1, Span_MS(20), Span_MS(19), 0, true, false, false},
    {1, Span_MS(20), Span_MS(20), 0, true, true, false},
    {0, Span_MS(20), Span_MS(20), 0, true, false, false},
    {1, Span_MS(20), DEADLINE, 0, true, false, false},
    {1, DEADLINE, DEADLINE, 0, true, false, false},
    {1, Span_MS(20), Span_MS(20), 1, true, false, false},
    {1, Span_MS(20), Span_MS(20), 0, false, false, false},
};

/* A hedge is sent when it is due and the budget has a token for it. */
static bool
should_hedge(HedgeState *hedge, RetryBudget *budget, Instant now)
{
    return Hdg_IsDue(hedge, now) && Rty_BudgetTake(budget);
}

START_TEST(decides_hedges)
{
    const HedgeCase *c = &hedges[_i];
    RetryBudget budget;
    HedgeState hedge;

    Rty_BudgetInit(&budget, 100, 10);
    budget.tokens = c->tokens;
    Hdg_Init(&hedge, c->idempotent, c->depth, c->delay, DEADLINE, 0);
    if (c->answered) {
        Hdg_Disarm(&hedge);
    }
    ck_assert_int_eq(should_hedge(&hedge, &budget, c->now), c->hedged);
    ck_assert(!should_hedge(&hedge, &budget, c->now)); /* once per call */
}
END_TEST

typedef struct {
    Str value;
    uint32_t depth;
    Str next;
} DepthCase;

static const DepthCase depths[] = {
    {Str_LIT(""), 0, Str_LIT("1")},
    {Str_LIT("1"), 1, Str_LIT("2")},
    {Str_LIT("29"), 29, Str_LIT("30")},
    {Str_LIT("-1"), 0, Str_LIT("1")},
    {Str_LIT("many"), 0, Str_LIT("1")},
    {Str_LIT("99999999999"), UINT32_MAX - 1, Str_LIT("4294967295")},
};

START_TEST(reads_and_writes_the_depth)
{
    const DepthCase *c = &depths[_i];
    const Str name = Str_LIT("X-Lycheeridge-Depth");
    static FieldList fields;
    StrBuf text = {0};

    fields.count = 0;
    Field_Add(&fields, Str_LIT("Accept"), Str_LIT("*/*"));
    if (c->value.len) {
        Field_Add(&fields, name, c->value);
    }
    ck_assert_uint_eq(Dep_Read(&fields), c->depth);
    ck_assert(Dep_Write(&fields, c->depth + 1, &text));
    ck_assert(Str_Equal(Field_Get(&fields, name), c->next));
    ck_assert_uint_eq(fields.count, 2);
    StrBuf_Finish(&text);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {decides_retries, ROWS(retries)},
        {attempts_stay_within_the_budget, ROWS(budgets)},
        {bursts_of_all_nodes_add_up_to_the_setting, ROWS(shares)},
        {decides_hedges, ROWS(hedges)},
        {reads_and_writes_the_depth, ROWS(depths)},
    };

    return Suite_Run("retry", tests, ROWS(tests), 10);
}
