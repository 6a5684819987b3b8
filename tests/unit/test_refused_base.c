/* Guards against the failure that a change on a base which was never in force,
 * though it was refused, ends all changes once its record is dropped: many
 * changes follow it, with refused and repeated ones between them, over
 * snapshots.
 */
#include <stdio.h>

#include "support/suite.h"
#include "version/config.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { CHANGES = 3 * Cfg_RECORDS_MAX, AHEAD = 100000 };

typedef struct {
    const char *name;
    bool is_routing;  /* changes of the routing; else of the preset */
    int refuse_every; /* a change on a base ahead; 0: none */
    int repeat_every; /* the last change once more */
    int stale_every;  /* a change on the base before the last one */
    int snapshot_every;
    bool is_old_folder; /* an older program had counted a base ahead */
} RefusedCase;

static const RefusedCase cases[] = {
    {"none refused", false, 0, 7, 5, 100, false},
    {"one refused", false, CHANGES, 0, 0, 0, false},
    {"many refused, repeated, stale", false, 10, 7, 5, 0, false},
    {"the same, over snapshots", false, 10, 7, 5, 100, false},
    {"a folder of an older program", false, 0, 7, 0, 100, true},
    {"routing: none refused", true, 0, 7, 5, 100, false},
    {"routing: one refused", true, CHANGES, 0, 0, 0, false},
    {"routing: many refused, repeated, stale", true, 10, 7, 5, 0, false},
    {"routing: the same, over snapshots", true, 10, 7, 5, 100, false},
    {"routing: a folder of an older program", true, 0, 7, 0, 100, true},
};

/* One order of the operators. */
typedef struct {
    char id[40];
    char json[120];
    ConfigChange change;
} Order;

static void
make_order(Order *order, const RefusedCase *c, const char *kind, int number,
           uint64_t base)
{
    snprintf(order->id, sizeof order->id, "%s%d", kind, number);
    if (c->is_routing) {
        snprintf(order->json, sizeof order->json,
                 "{\"revision\":%d,\"routes\":[],\"services\":[]}",
                 number + 2);
    }
    else {
        snprintf(order->json, sizeof order->json,
                 "{\"name\":\"peak\",\"limits\":{},\"routes\":[]}");
    }
    order->change = (ConfigChange){
        .verb = c->is_routing ? Cfg_REPLACE_ROUTING : Cfg_PUT_PRESET,
        .id = Str_FromC(order->id),
        .base_version = {c->is_routing ? 0 : 1, base},
        .preset_name = c->is_routing ? (Str){0} : Str_LIT("peak"),
        .json = Str_FromC(order->json),
    };
}

static ConfigOutcome
apply(ConfigState *cfg, const Order *order, uint64_t index)
{
    ConfigResult result;

    Cfg_ApplyChange(cfg, &order->change, (ConfigVersion){1, index}, &result);
    return result.outcome;
}

static void
take_snapshot(ConfigState *cfg)
{
    StrBuf bytes = {0};
    Err err = {0};

    Cfg_Serialize(cfg, &bytes);
    ck_assert(Cfg_Deserialize(cfg, StrBuf_View(&bytes), &err));
    StrBuf_Finish(&bytes);
}

/* The base of the next change that is to be accepted. */
static uint64_t
current_base(const ConfigState *cfg, const RefusedCase *c)
{
    return c->is_routing ? cfg->routing_revision : cfg->version.index;
}

static bool
is_due(int number, int every)
{
    return every && number % every == 0;
}

START_TEST(refused_order_ends_nothing)
{
    const RefusedCase *c = &cases[_i];
    ConfigState cfg;
    Order first;
    Order order;
    Order other;
    uint64_t index = 1;
    uint64_t last_base = 0;

    Cfg_Init(&cfg);
    make_order(&first, &(RefusedCase){.is_routing = false}, "first", 0, 0);
    first.change.base_version = (ConfigVersion){0};
    ck_assert_int_eq(apply(&cfg, &first, index++), Cfg_ACCEPTED);
    if (c->is_old_folder) {
        cfg.dropped_base_max = (ConfigVersion){1, AHEAD};
        cfg.dropped_revision_max = AHEAD;
        take_snapshot(&cfg);
    }
    for (int i = 0; i < CHANGES; i++) {
        uint64_t base = current_base(&cfg, c);
        if (is_due(i, c->refuse_every)) {
            make_order(&other, c, "ahead", i, AHEAD);
            ck_assert_msg(apply(&cfg, &other, index++) == Cfg_CONFLICT,
                          "%s: order ahead %d", c->name, i);
        }
        make_order(&order, c, "change", i, base);
        ck_assert_msg(apply(&cfg, &order, index++) == Cfg_ACCEPTED,
                      "%s: change %d", c->name, i);
        if (is_due(i, c->repeat_every)) {
            ck_assert_msg(apply(&cfg, &order, index++) == Cfg_ACCEPTED,
                          "%s: repeated change %d", c->name, i);
        }
        if (i && is_due(i, c->stale_every)) {
            make_order(&other, c, "stale", i, last_base);
            ck_assert_msg(apply(&cfg, &other, index++) == Cfg_CONFLICT,
                          "%s: stale order %d", c->name, i);
        }
        last_base = base;
        if (is_due(i, c->snapshot_every)) {
            take_snapshot(&cfg);
        }
    }
    Cfg_Finish(&cfg);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{refused_order_ends_nothing, ROWS(cases)}};

    return Suite_Run("refused base", tests, 1, 60);
}
