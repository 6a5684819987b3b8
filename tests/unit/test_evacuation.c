/* Evacuations: which orders about failure domains are accepted, what they make
 * of changes of presets, and that the state is kept. */
#include "support/suite.h"
#include "version/config.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { STEPS_MAX = 8 };

/* One committed order.  Its entry in the log is its position in the row,
 * counted from 2; entry 1 puts the first preset in force. */
typedef struct {
    char verb; /* 's': start, 'e': end, 'p': put a preset; 0: no more */
    const char *domain;
    uint64_t base; /* index of the version that the sender knew */
    ConfigOutcome outcome;
    uint64_t version; /* index of the version in force afterwards */
} OrderStep;

typedef struct {
    const char *name;
    OrderStep steps[STEPS_MAX];
    const char *evacuated; /* at the end */
} OrderCase;

static const OrderCase orders[] = {
    {"start", {{'s', "a", 1, Cfg_ACCEPTED, 2}}, "a\n"},
    {"start, sent again",
     {{'s', "a", 1, Cfg_ACCEPTED, 2}, {'s', "a", 1, Cfg_ACCEPTED, 2}},
     "a\n"},
    {"end of what never began", {{'e', "a", 1, Cfg_ACCEPTED, 1}}, ""},
    {"start and end",
     {{'s', "a", 1, Cfg_ACCEPTED, 2}, {'e', "a", 2, Cfg_ACCEPTED, 3}},
     ""},
    {"a start that was resent late does not undo the end",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'e', "a", 2, Cfg_ACCEPTED, 3},
      {'s', "a", 1, Cfg_CONFLICT, 3}},
     ""},
    {"an end that was resent late does not undo the next start",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'e', "a", 2, Cfg_ACCEPTED, 3},
      {'s', "a", 3, Cfg_ACCEPTED, 4},
      {'e', "a", 2, Cfg_CONFLICT, 4}},
     "a\n"},
    {"an end that was resent late does not undo a start that was confirmed",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'s', "a", 2, Cfg_ACCEPTED, 3},
      {'e', "a", 2, Cfg_CONFLICT, 3}},
     "a\n"},
    {"the end through a node that lags, and once it does not",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'e', "a", 1, Cfg_CONFLICT, 2},
      {'e', "a", 2, Cfg_ACCEPTED, 4}},
     ""},
    {"several, one order before the other is known",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'s', "b", 1, Cfg_ACCEPTED, 3},
      {'s', "c", 1, Cfg_ACCEPTED, 4},
      {'e', "b", 3, Cfg_ACCEPTED, 5}},
     "a\nc\n"},
    {"a preset on the version before an evacuation",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'p', "", 1, Cfg_ACCEPTED, 3},
      {'p', "", 2, Cfg_CONFLICT, 3},
      {'p', "", 3, Cfg_ACCEPTED, 5}},
     "a\n"},
    {"a preset on the version of an evacuation",
     {{'s', "a", 1, Cfg_ACCEPTED, 2},
      {'p', "", 2, Cfg_ACCEPTED, 3},
      {'e', "a", 2, Cfg_ACCEPTED, 4},
      {'p', "", 2, Cfg_CONFLICT, 4}},
     ""},
    {"a preset on a version that does not exist",
     {{'s', "a", 1, Cfg_ACCEPTED, 2}, {'p', "", 9, Cfg_CONFLICT, 2}},
     "a\n"},
};

static ConfigResult
apply(ConfigState *cfg, const OrderStep *step, uint64_t entry)
{
    StrBuf id = {0};
    StrBuf json = {0};
    ConfigChange change = {.base_version = {1, step->base}};
    ConfigResult result;

    if (step->verb == 'p') {
        StrBuf_AppendFmt(&id, "id-%d", (int)entry);
        StrBuf_AppendFmt(&json,
                         "{\"name\":\"p\",\"limits\":{},\"routes\":[]}");
        change.verb = Cfg_PUT_PRESET;
        change.preset_name = Str_LIT("p");
        change.json = StrBuf_View(&json);
        change.id = StrBuf_View(&id);
    }
    else {
        change.verb =
            step->verb == 's' ? Cfg_START_EVACUATION : Cfg_END_EVACUATION;
        change.preset_name = Str_FromC(step->domain);
    }
    Cfg_ApplyChange(cfg, &change, (ConfigVersion){1, entry}, &result);
    StrBuf_Finish(&id);
    StrBuf_Finish(&json);
    return result;
}

static void
init_state(ConfigState *cfg)
{
    static const OrderStep first = {'p', "", 0, Cfg_ACCEPTED, 1};
    ConfigState blank;

    Cfg_Init(&blank);
    *cfg = blank;
    cfg->version = (ConfigVersion){1, 0};
    cfg->preset_version = cfg->version;
    ck_assert_int_eq(apply(cfg, &first, 1).outcome, Cfg_ACCEPTED);
}

static void
check_evacuated(const ConfigState *cfg, const char *expected)
{
    StrBuf list = {0};

    Cfg_ListEvacuated(cfg, &list);
    ck_assert_msg(Str_Equal(StrBuf_View(&list), Str_FromC(expected)),
                  "\"%.*s\", not \"%s\"", Str_ARG(list), expected);
    StrBuf_Finish(&list);
}

START_TEST(decides_orders)
{
    const OrderCase *c = &orders[_i];
    ConfigState cfg;
    ConfigState copy;
    StrBuf stored = {0};

    init_state(&cfg);
    for (int i = 0; i < STEPS_MAX && c->steps[i].verb; i++) {
        const OrderStep *step = &c->steps[i];
        ConfigResult result = apply(&cfg, step, (uint64_t)i + 2);
        ck_assert_msg(result.outcome == step->outcome, "%s: step %d got %d",
                      c->name, i, (int)result.outcome);
        ck_assert_uint_eq(cfg.version.index, step->version);
        ck_assert_uint_eq(result.version.index, step->version);
    }
    check_evacuated(&cfg, c->evacuated);
    Cfg_Serialize(&cfg, &stored);
    Cfg_Init(&copy);
    ck_assert(Cfg_Deserialize(&copy, StrBuf_View(&stored), NULL));
    check_evacuated(&copy, c->evacuated);
    ck_assert_int_eq(
        Cfg_CompareVersions(copy.preset_version, cfg.preset_version), 0);
    StrBuf_Finish(&stored);
    Cfg_Finish(&copy);
    Cfg_Finish(&cfg);
}
END_TEST

/* A snapshot of a program that knew no evacuations. */
START_TEST(reads_states_without_evacuations)
{
    static const uint64_t last_changes[] = {3, 9};
    ConfigState cfg;
    Pack pack;

    Pack_Init(&pack, 9);
    for (int i = 0; i < 2; i++) {
        Pack_U64(&pack, i ? 0 : 2);
        Pack_U64(&pack, i ? 0 : last_changes[_i]);
    }
    Pack_U64(&pack, 0);
    Pack_U64(&pack, 0);
    Pack_I64(&pack, -1);
    Pack_Array(&pack, 0);
    Pack_Array(&pack, 0);
    Cfg_Init(&cfg);
    ck_assert(Cfg_Deserialize(&cfg, Pack_View(&pack), NULL));
    check_evacuated(&cfg, "");
    ck_assert_uint_eq(cfg.preset_version.index, last_changes[_i]);
    Pack_Finish(&pack);
    Cfg_Finish(&cfg);
}
END_TEST

typedef struct {
    int started; /* failure domains that are evacuated one after the other */
    int ended;   /* of these, from the first one on */
    ConfigOutcome outcome; /* of one more */
} RoomCase;

static const RoomCase rooms[] = {
    {Cfg_EVACUATIONS_MAX - 1, 0, Cfg_ACCEPTED},
    {Cfg_EVACUATIONS_MAX, 0, Cfg_REJECTED},
    {Cfg_EVACUATIONS_MAX, 1, Cfg_ACCEPTED},
};

/* What has ended gives way to another one. */
START_TEST(bounds_the_list)
{
    const RoomCase *c = &rooms[_i];
    OrderStep step = {.base = 1000};
    ConfigState cfg;
    uint64_t entry = 1;

    init_state(&cfg);
    for (int i = 0; i < c->started + c->ended; i++) {
        StrBuf name = {0};
        StrBuf_AppendFmt(&name, "d%d", i < c->started ? i : i - c->started);
        step.verb = i < c->started ? 's' : 'e';
        step.domain = StrBuf_CStr(&name);
        ck_assert_int_eq(apply(&cfg, &step, ++entry).outcome, Cfg_ACCEPTED);
        StrBuf_Finish(&name);
    }
    step.verb = 's';
    step.domain = "one-more";
    ck_assert_int_eq(apply(&cfg, &step, ++entry).outcome, c->outcome);
    Cfg_Finish(&cfg);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {decides_orders, ROWS(orders)},
        {reads_states_without_evacuations, 2},
        {bounds_the_list, ROWS(rooms)},
    };

    return Suite_Run("evacuation", tests, ROWS(tests), 20);
}
