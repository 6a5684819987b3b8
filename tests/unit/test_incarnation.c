/* Incarnations are unique among nodes and rise with each start of one node. */
#include "process/lifecycle/incarnation.h"
#include "support/suite.h"

typedef enum { LOWER, DIFFERENT } Expectation;

typedef struct {
    int64_t first_us;
    uint64_t first_entropy;
    int64_t second_us;
    uint64_t second_entropy;
    Expectation expected;
} StartCase;

#define NOW INT64_C(1796385364948129)

static const StartCase cases[] = {
    /* Two nodes that start in the same microsecond. */
    {NOW, 1, NOW, 2, DIFFERENT},
    {NOW, UINT64_MAX, NOW, UINT64_MAX - 1, DIFFERENT},
    /* One node that starts again. */
    {NOW, UINT64_MAX, NOW + 20000, 0, LOWER},
    {NOW, 7, NOW + 1000000, 7, LOWER},
    {NOW, UINT64_MAX, NOW + INT64_C(315360000000000), 0, LOWER},
};

START_TEST(is_unique_and_increasing)
{
    const StartCase *c = &cases[_i];
    uint64_t first = Inc_Make(c->first_us, c->first_entropy);
    uint64_t second = Inc_Make(c->second_us, c->second_entropy);

    ck_assert(first != second);
    ck_assert(c->expected != LOWER || first < second);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {is_unique_and_increasing, sizeof cases / sizeof cases[0]}};

    return Suite_Run("incarnation", tests, 1, 10);
}
