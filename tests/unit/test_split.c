/* The services of a split route get calls in proportion to their weights, in
 * each window of calls and across changes of version and restarts.  Guards
 * against shares that are right only on average, or that shift because every
 * node starts at the same position. */
#include "request/split.h"
#include "support/suite.h"
#include "value/mem.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { PARTS_MAX = 3, CALLS = 1000 };

typedef struct {
    const char *name;
    double weights[PARTS_MAX];
    uint32_t start;   /* position in the sequence */
    int window_calls; /* calls in which the shares are measured */
    double tolerance; /* of each share */
} SplitCase;

static const SplitCase cases[] = {
    {"even", {1, 1, 0}, 0, 100, 0.02},
    {"nine to one", {90, 10, 0}, 0, 100, 0.02},
    {"nine to one, few calls", {90, 10, 0}, 12345, 20, 0.06},
    {"three", {5, 3, 2}, 99, 200, 0.02},
    {"a part without weight", {7, 0, 3}, 7, 100, 0.02},
    {"position overflows", {1, 3, 0}, UINT32_MAX - 5, 100, 0.02},
};

START_TEST(shares_follow_weights)
{
    const SplitCase *c = &cases[_i];
    PresetSplitTarget parts[PARTS_MAX] = {{{0}, 0}};
    uint32_t position = c->start;
    PresetRoute route = {.split_targets = parts,
                         .split_target_count = PARTS_MAX,
                         .split_position = &position};
    static const Str names[] = {Str_LIT("a"), Str_LIT("b"), Str_LIT("c")};
    double total = 0;

    for (int i = 0; i < PARTS_MAX; i++) {
        StrBuf_Set(&parts[i].service, names[i]);
        parts[i].weight = c->weights[i];
        total += c->weights[i];
    }
    for (int from = 0; from + c->window_calls <= CALLS;
         from += c->window_calls) {
        int got[PARTS_MAX] = {0};
        for (int call = 0; call < c->window_calls; call++) {
            Str chosen = Spl_ChooseService(&route);
            for (int i = 0; i < PARTS_MAX; i++) {
                got[i] += Str_Equal(chosen, names[i]);
            }
        }
        for (int i = 0; i < PARTS_MAX; i++) {
            double share = (double)got[i] / c->window_calls;
            double wanted = c->weights[i] / total;
            ck_assert_msg(share - wanted <= c->tolerance &&
                              wanted - share <= c->tolerance,
                          "%s: part %d has %.3f", c->name, i, share);
            ck_assert(wanted > 0 || got[i] == 0);
        }
    }
    for (int i = 0; i < PARTS_MAX; i++) {
        StrBuf_Finish(&parts[i].service);
    }
}
END_TEST

/* Shares over all calls, with new versions or restarts in between. */
typedef struct {
    const char *name;
    double weights[2];
    int nodes;
    int calls_per_version; /* at one node */
    bool restarts;         /* instead of new versions: the position is lost */
    double tolerance;
} VersionCase;

static const VersionCase version_cases[] = {
    {"one version", {90, 10}, 1, CALLS, false, 0.02},
    {"a version for each call", {90, 10}, 1, 1, false, 0.02},
    {"a version for two calls, at many nodes", {1, 1}, 13, 2, false, 0.03},
    {"each node restarts after two calls", {1, 1}, 13, 2, true, 0.1},
};

static void
init_split(Preset *preset, const double *weights)
{
    static const Str names[] = {Str_LIT("a"), Str_LIT("b")};
    PresetRoute *route = Mem_Alloc(1, sizeof *route);

    Pst_Init(preset);
    preset->routes = route;
    preset->route_count = 1;
    StrBuf_Set(&route->path, Str_LIT("/visor/"));
    route->split_position = Mem_Alloc(1, sizeof *route->split_position);
    route->split_targets = Mem_Alloc(2, sizeof *route->split_targets);
    route->split_target_count = 2;
    for (int i = 0; i < 2; i++) {
        StrBuf_Set(&route->split_targets[i].service, names[i]);
        route->split_targets[i].weight = weights[i];
    }
}

/* Returns how many calls of one node go to the first part. */
static int
count_calls_to_first_part(const VersionCase *c, Rng *rng)
{
    Preset before = {0};
    Preset preset;
    int first = 0;

    for (int call = 0; call < CALLS; call++) {
        if (call % c->calls_per_version == 0) {
            init_split(&preset, c->weights);
            Spl_ContinueFrom(&preset, call && !c->restarts ? &before : NULL,
                             rng);
            Pst_Finish(&before);
            before = preset;
        }
        first += Str_Equal(Spl_ChooseService(&before.routes[0]), Str_LIT("a"));
    }
    Pst_Finish(&before);
    return first;
}

START_TEST(shares_hold_across_versions)
{
    const VersionCase *c = &version_cases[_i];
    double wanted = c->weights[0] / (c->weights[0] + c->weights[1]);
    double share = 0;
    Rng rng;

    Rng_Init(&rng, 7);
    for (int node = 0; node < c->nodes; node++) {
        share += (double)count_calls_to_first_part(c, &rng) / CALLS / c->nodes;
    }
    Rng_Finish(&rng);
    ck_assert_msg(
        share - wanted <= c->tolerance && wanted - share <= c->tolerance,
        "%s: the first part has %.3f for %.3f", c->name, share, wanted);
}
END_TEST

START_TEST(no_weight_chooses_no_service)
{
    PresetSplitTarget part = {{0}, 0};
    uint32_t position = 0;
    PresetRoute route = {.split_targets = &part,
                         .split_target_count = 1,
                         .split_position = &position};

    ck_assert_uint_eq(Spl_ChooseService(&route).len, 0);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {shares_follow_weights, ROWS(cases)},
        {shares_hold_across_versions, ROWS(version_cases)},
        {no_weight_chooses_no_service, 1}};

    return Suite_Run("split", tests, 3, 10);
}
