/* The budget of bytes: who gets room, who is refused, and who is given up
 * first; and how descriptors are shared. */
#include "process/memory/budget.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { KB = 1024, MB = 1024 * KB, STEPS_MAX = 6, HOLDERS = 4 };

/* One change: HOLDER of KIND comes to BYTES, and whether that is granted. */
typedef struct {
    int holder;
    BudgetKind kind;
    size_t bytes;
    bool granted;
} ResizeStep;

typedef struct {
    const char *name;
    size_t memory;
    ResizeStep steps[STEPS_MAX]; /* up to one with 0 bytes and not granted */
} ResizeCase;

static const ResizeCase resize_cases[] = {
    {"the largest body, at its ingress node and beside the backend server",
     160 * MB,
     {{0, Bdg_CALLERS, 64 * MB + 64 * KB, true},
      {1, Bdg_ATTEMPTS, 64 * MB + 64 * KB, true}}},
    {"a second largest body at one node",
     160 * MB,
     {{0, Bdg_CALLERS, 64 * MB, true}, {1, Bdg_CALLERS, 64 * MB, false}}},
    {"a small one beside all that large ones get",
     160 * MB,
     {{0, Bdg_CALLERS, 65 * MB, true},
      {1, Bdg_CALLERS, 2 * MB, false},
      {1, Bdg_CALLERS, 64 * KB, true}}},
    {"small ones until the share is spent",
     48 * MB,
     {{0, Bdg_CALLERS, 13 * MB, true},
      {1, Bdg_CALLERS, 64 * KB, true},
      {2, Bdg_CALLERS, 65 * KB, false}}},
    {"room that was given back",
     48 * MB,
     {{0, Bdg_CALLERS, 13 * MB, true},
      {1, Bdg_CALLERS, 1 * MB, false},
      {0, Bdg_CALLERS, 12 * MB, true},
      {1, Bdg_CALLERS, 1 * MB, true}}},
    {"a holder that grows keeps what it has",
     48 * MB,
     {{0, Bdg_ANSWERS, 4 * MB, true},
      {0, Bdg_ANSWERS, 8 * MB, false},
      {0, Bdg_ANSWERS, 6 * MB, true}}},
    {"a kind does not take the share of another",
     48 * MB,
     {{0, Bdg_ATTEMPTS, 13 * MB, true},
      {1, Bdg_CALLERS, 13 * MB, true},
      {2, Bdg_ATTEMPTS, 1 * MB, false},
      {3, Bdg_CONNECTIONS, 8 * KB, true}}},
    {"the whole bounds all kinds together",
     48 * MB,
     {{0, Bdg_ATTEMPTS, 13 * MB, true},
      {1, Bdg_CALLERS, 13 * MB, true},
      {2, Bdg_ANSWERS, 1 * MB, false},
      {3, Bdg_ANSWERS, 64 * KB, true}}},
    {"a machine with little memory has a budget too",
     16 * MB,
     {{0, Bdg_CALLERS, 3 * MB, true}, {1, Bdg_CALLERS, 2 * MB, false}}},
    {"a machine with much memory: no share grows without end",
     4096UL * MB,
     {{0, Bdg_CALLERS, 68 * MB, false}, {0, Bdg_CALLERS, 67 * MB, true}}},
};

START_TEST(grants_room)
{
    const ResizeCase *c = &resize_cases[_i];
    MemoryBudget budget;
    size_t held[HOLDERS] = {0};

    Bdg_Init(&budget, c->memory);
    for (int i = 0; i < STEPS_MAX; i++) {
        const ResizeStep *step = &c->steps[i];
        size_t before = held[step->holder];
        if (!step->bytes && !step->granted) {
            break;
        }
        ck_assert_msg(Bdg_Resize(&budget, step->kind, &held[step->holder],
                                 step->bytes) == step->granted,
                      "%s: step %d", c->name, i);
        ck_assert_uint_eq(held[step->holder],
                          step->granted ? step->bytes : before);
        ck_assert_uint_eq(budget.used, held[0] + held[1] + held[2] + held[3]);
    }
    ck_assert_uint_le(budget.used, budget.max);
    ck_assert_uint_lt(budget.max, c->memory);
}
END_TEST

/* What is forced, and what then is over and has slack. */
typedef struct {
    const char *name;
    size_t answers; /* bytes */
    size_t others;  /* of attempts */
    bool is_over;   /* answers are */
    bool has_slack;
} OverCase;

static const OverCase over_cases[] = {
    {"nothing", 0, 0, false, true},
    {"a half of its share", 4 * MB, 0, false, true},
    {"all of its share", 7 * MB, 0, false, false},
    {"more than its share", 7 * MB + 1, 0, true, false},
    {"more than a half while the whole is spent", 4 * MB, 25 * MB, true,
     false},
    {"less than a half while the whole is spent", 3 * MB, 26 * MB, false,
     false},
    {"the whole is nearly spent", 1 * MB, 25 * MB, false, false},
};

START_TEST(tells_who_is_over)
{
    const OverCase *c = &over_cases[_i];
    MemoryBudget budget;
    size_t answers = 0;
    size_t others = 0;

    Bdg_Init(&budget, 48 * MB);
    Bdg_Force(&budget, Bdg_ANSWERS, &answers, c->answers);
    Bdg_Force(&budget, Bdg_ATTEMPTS, &others, c->others);
    ck_assert_msg(Bdg_IsOver(&budget, Bdg_ANSWERS) == c->is_over, "%s",
                  c->name);
    ck_assert_msg(Bdg_HasSlack(&budget, Bdg_ANSWERS) == c->has_slack, "%s",
                  c->name);
    Bdg_Force(&budget, Bdg_ANSWERS, &answers, 0);
    Bdg_Force(&budget, Bdg_ATTEMPTS, &others, 0);
    ck_assert_uint_eq(budget.used, 0);
}
END_TEST

/* Two holders; the first one is chosen or the second one. */
typedef struct {
    const char *name;
    size_t bytes[2];
    Span ages[2];
    int chosen;
} ChoiceCase;

static const ChoiceCase choice_cases[] = {
    {"the larger one", {4 * KB, 64 * KB}, {Span_S(1), Span_S(1)}, 1},
    {"the slower one", {4 * KB, 4 * KB}, {Span_S(2), Span_S(1)}, 0},
    {"a small slow one before a large quick one",
     {4 * KB, 64 * KB},
     {Span_S(20), Span_MS(1)},
     0},
    {"a large slow one before a small slow one",
     {4 * KB, 1 * MB},
     {Span_S(20), Span_S(10)},
     1},
    {"the first of two alike", {4 * KB, 4 * KB}, {Span_S(1), Span_S(1)}, 0},
    {"ages that are not positive", {4 * KB, 8 * KB}, {-5, 0}, 1},
    {"no bytes yet, but old", {0, 0}, {Span_S(1), Span_S(9)}, 1},
    {"a weight past all numbers", {1, SIZE_MAX}, {Span_S(9), Span_S(9)}, 1},
};

START_TEST(chooses_large_and_slow)
{
    const ChoiceCase *c = &choice_cases[_i];
    BudgetChoice choice = {0};
    int items[2];

    ck_assert_ptr_null(choice.item);
    for (int i = 0; i < 2; i++) {
        Bdg_Consider(&choice, &items[i], c->bytes[i], c->ages[i]);
    }
    ck_assert_msg(choice.item == &items[c->chosen], "%s", c->name);
}
END_TEST

typedef struct {
    uint32_t descriptors;
    uint32_t operators_max;
    uint32_t callers;
    uint32_t operators;
} DescriptorCase;

static const DescriptorCase descriptor_cases[] = {
    {4100, 128, 2836, 128}, {1024, 128, 625, 64}, {200, 128, 85, 12},
    {128, 128, 37, 8},      {16, 128, 1, 4},      {4100, 1, 3022, 4},
};

START_TEST(shares_descriptors)
{
    const DescriptorCase *c = &descriptor_cases[_i];
    DescriptorShares shares =
        Bdg_ShareDescriptors(c->descriptors, c->operators_max);

    ck_assert_uint_eq(shares.callers, c->callers);
    ck_assert_uint_eq(shares.operators, c->operators);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {grants_room, ROWS(resize_cases)},
        {tells_who_is_over, ROWS(over_cases)},
        {chooses_large_and_slow, ROWS(choice_cases)},
        {shares_descriptors, ROWS(descriptor_cases)},
    };

    Suite_GetBuildFolder(argc, argv);
    return Suite_Run("memory budget", tests, 4, 10);
}
