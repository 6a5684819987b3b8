/* Shares of a split route over stretches of calls. */
#include "request/split.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { PARTS_MAX = 3, CALLS = 1000 };

typedef struct {
    const char *name;
    double weights[PARTS_MAX];
    uint32_t start; /* turns taken before */
    int stretch;    /* calls */
    double off;     /* of a share, at most */
} SplitCase;

static const SplitCase cases[] = {
    {"even", {1, 1, 0}, 0, 100, 0.02},
    {"nine to one", {90, 10, 0}, 0, 100, 0.02},
    {"nine to one, few calls", {90, 10, 0}, 12345, 20, 0.06},
    {"three", {5, 3, 2}, 99, 200, 0.02},
    {"a part without weight", {7, 0, 3}, 7, 100, 0.02},
    {"turns run over", {1, 3, 0}, UINT32_MAX - 5, 100, 0.02},
};

START_TEST(shares_follow_weights)
{
    const SplitCase *c = &cases[_i];
    PstPart parts[PARTS_MAX] = {{{0}, 0}};
    uint32_t turn = c->start;
    PstRoute route = {.parts = parts, .part_count = PARTS_MAX, .turn = &turn};
    static const Str names[] = {Str_LIT("a"), Str_LIT("b"), Str_LIT("c")};
    double total = 0;

    for (int i = 0; i < PARTS_MAX; i++) {
        StrBuf_Set(&parts[i].service, names[i]);
        parts[i].weight = c->weights[i];
        total += c->weights[i];
    }
    for (int from = 0; from + c->stretch <= CALLS; from += c->stretch) {
        int got[PARTS_MAX] = {0};
        for (int call = 0; call < c->stretch; call++) {
            Str chosen = Spl_Choose(&route);
            for (int i = 0; i < PARTS_MAX; i++) {
                got[i] += Str_Equal(chosen, names[i]);
            }
        }
        for (int i = 0; i < PARTS_MAX; i++) {
            double share = (double)got[i] / c->stretch;
            double wanted = c->weights[i] / total;
            ck_assert_msg(share - wanted <= c->off && wanted - share <= c->off,
                          "%s: part %d has %.3f", c->name, i, share);
            ck_assert(wanted > 0 || got[i] == 0);
        }
    }
    for (int i = 0; i < PARTS_MAX; i++) {
        StrBuf_Finish(&parts[i].service);
    }
}
END_TEST

START_TEST(no_weight_at_all_is_nobody)
{
    PstPart part = {{0}, 0};
    uint32_t turn = 0;
    PstRoute route = {.parts = &part, .part_count = 1, .turn = &turn};

    ck_assert_uint_eq(Spl_Choose(&route).len, 0);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{shares_follow_weights, ROWS(cases)},
                               {no_weight_at_all_is_nobody, 1}};

    return Suite_Run("split", tests, 2, 10);
}
