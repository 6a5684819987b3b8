/* Offers of large bodies: which may come, and when their room is free again.
 */
#include "request/offer.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { MB = 1024 * 1024, STEPS_MAX = 6 };

typedef enum { END_OF_STEPS, GRANT, REFUSE, END, EXPIRE } OfferAction;

typedef struct {
    OfferAction action; /* GRANT, REFUSE: what the answer to an offer is */
    uint64_t attempt;
    size_t bytes;
    Span at;
} OfferStep;

typedef struct {
    const char *name;
    OfferStep steps[STEPS_MAX];
    size_t left; /* open at the end */
} OfferCase;

/* Of 48 MB, attempts may keep 14 MB, large ones 13.1 MB. */
static const OfferCase offer_cases[] = {
    {"one", {{GRANT, 1, 8 * MB, 0}}, 1},
    {"the second has no room",
     {{GRANT, 1, 8 * MB, 0}, {REFUSE, 2, 8 * MB, 0}},
     1},
    {"the second has room when the first has come",
     {{GRANT, 1, 8 * MB, 0}, {END, 1, 0, 0}, {GRANT, 2, 8 * MB, 0}},
     1},
    {"offered twice, counted once",
     {{GRANT, 1, 8 * MB, 0}, {GRANT, 1, 8 * MB, 0}, {GRANT, 2, 4 * MB, 0}},
     2},
    {"one that does not come in time",
     {{GRANT, 1, 8 * MB, 0},
      {EXPIRE, 0, 0, Span_S(9)},
      {REFUSE, 2, 8 * MB, Span_S(9)},
      {EXPIRE, 0, 0, Span_S(10)},
      {GRANT, 2, 8 * MB, Span_S(10)}},
     1},
    {"the end of one that was refused",
     {{GRANT, 1, 8 * MB, 0}, {REFUSE, 2, 8 * MB, 0}, {END, 2, 0, 0}},
     1},
    {"small ones beside large ones",
     {{GRANT, 1, 13 * MB, 0}, {GRANT, 2, 64 * 1024, 0}},
     2},
};

START_TEST(grants_offers)
{
    const OfferCase *c = &offer_cases[_i];
    static OfferTable table;
    MemoryBudget budget;

    table.count = 0;
    Bdg_Init(&budget, 48 * MB);
    for (const OfferStep *step = c->steps; step->action; step++) {
        AttemptId id = {7, step->attempt};
        switch (step->action) {
        case GRANT:
        case REFUSE:
            ck_assert_msg(Ofr_Grant(&table, &budget, id, step->bytes,
                                    step->at) == (step->action == GRANT),
                          "%s: step %d", c->name, (int)(step - c->steps));
            break;
        case END:
            Ofr_End(&table, &budget, id);
            break;
        default:
            Ofr_Expire(&table, &budget, step->at);
        }
    }
    ck_assert_uint_eq(table.count, c->left);
    for (uint64_t attempt = 1; attempt <= 2; attempt++) {
        Ofr_End(&table, &budget, (AttemptId){7, attempt});
    }
    ck_assert_uint_eq(budget.used, 0);
}
END_TEST

START_TEST(bounds_open_offers)
{
    static OfferTable table;
    MemoryBudget budget;

    Bdg_Init(&budget, 160 * MB);
    for (uint64_t i = 1; i <= Ofr_OPEN_MAX; i++) {
        ck_assert(Ofr_Grant(&table, &budget, (AttemptId){7, i}, 1, 0));
    }
    ck_assert(!Ofr_Grant(&table, &budget, (AttemptId){8, 1}, 1, 0));
    ck_assert(Ofr_Grant(&table, &budget, (AttemptId){7, 1}, 1, 0));
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {grants_offers, ROWS(offer_cases)},
        {bounds_open_offers, 1},
    };

    Suite_GetBuildFolder(argc, argv);
    return Suite_Run("offers", tests, 2, 10);
}
