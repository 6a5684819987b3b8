/* Routing changes in the configuration state: in order, repeated, competing
 * for one base version, invalid, and after the state is saved and loaded. */
#include "support/suite.h"
#include "version/config.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define ROUTING(revision, path)                                               \
    "{\"revision\":" revision ",\"routes\":[{\"name\":\"a\",\"host\":\"h\","  \
    "\"path\":\"" path "\",\"kind\":\"idempotent\",\"service\":\"s\"}],"      \
    "\"services\":[{\"name\":\"s\"}]}"

typedef struct {
    const char *id; /* NULL: the end */
    ConfigVerb verb;
    uint64_t base;
    const char *json;
    bool restart; /* the state is saved and loaded before */
    ConfigOutcome outcome;
    bool is_repeat;
    uint64_t revision; /* in force afterwards */
} RevisionStep;

enum { STEPS_MAX = 6 };

typedef struct {
    const char *name;
    RevisionStep steps[STEPS_MAX];
} RevisionsCase;

static const RevisionsCase cases[] = {
    {"one after the other",
     {{"a", Cfg_REPLACE_ROUTING, 0, ROUTING("2", "/x/"), false, Cfg_ACCEPTED,
       false, 2},
      {"b", Cfg_REPLACE_ROUTING, 2, ROUTING("7", "/y/"), true, Cfg_ACCEPTED,
       false, 7},
      {"c", Cfg_PATCH_ROUTING, 7,
       "{\"revision\":9,\"remove\":{\"routes\":[\"a\"]}}", false, Cfg_ACCEPTED,
       false, 9}}},
    {"repeated, also after the next change and a restart",
     {{"a", Cfg_REPLACE_ROUTING, 0, ROUTING("2", "/x/"), false, Cfg_ACCEPTED,
       false, 2},
      {"a", Cfg_REPLACE_ROUTING, 0, ROUTING("2", "/x/"), false, Cfg_ACCEPTED,
       true, 2},
      {"b", Cfg_REPLACE_ROUTING, 2, ROUTING("3", "/y/"), false, Cfg_ACCEPTED,
       false, 3},
      {"a", Cfg_REPLACE_ROUTING, 0, ROUTING("2", "/x/"), true, Cfg_ACCEPTED,
       true, 3}}},
    {"one of two changes on the same base",
     {{"a", Cfg_REPLACE_ROUTING, 0, ROUTING("2", "/x/"), false, Cfg_ACCEPTED,
       false, 2},
      {"b", Cfg_REPLACE_ROUTING, 2, ROUTING("3", "/y/"), false, Cfg_ACCEPTED,
       false, 3},
      {"c", Cfg_REPLACE_ROUTING, 2, ROUTING("3", "/z/"), false, Cfg_CONFLICT,
       false, 3},
      {"c", Cfg_REPLACE_ROUTING, 2, ROUTING("3", "/z/"), true, Cfg_CONFLICT,
       true, 3}}},
    {"not above the one in force",
     {{"a", Cfg_REPLACE_ROUTING, 0, ROUTING("2", "/x/"), false, Cfg_ACCEPTED,
       false, 2},
      {"b", Cfg_REPLACE_ROUTING, 2, ROUTING("2", "/y/"), false, Cfg_REJECTED,
       false, 2},
      {"c", Cfg_REPLACE_ROUTING, 2, ROUTING("4", "/y/"), false, Cfg_ACCEPTED,
       false, 4}}},
    {"a patch without a routing in force",
     {{"a", Cfg_PATCH_ROUTING, 0, "{\"revision\":9}", false, Cfg_REJECTED,
       false, 0}}},
};

static void
store_initial_preset(ConfigState *cfg)
{
    const ConfigChange first = {
        .verb = Cfg_PUT_PRESET,
        .id = Str_LIT("genesis"),
        .preset_name = Str_LIT("p"),
        .json = Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":[]}"),
    };
    ConfigResult result;

    Cfg_ApplyChange(cfg, &first, (ConfigVersion){1, 1}, &result);
    ck_assert_int_eq(result.outcome, Cfg_ACCEPTED);
}

static void
restart(ConfigState *cfg)
{
    StrBuf state = {0};

    Cfg_Serialize(cfg, &state);
    Cfg_Finish(cfg);
    Cfg_Init(cfg);
    ck_assert(Cfg_Deserialize(cfg, StrBuf_View(&state), NULL));
    StrBuf_Finish(&state);
}

START_TEST(decides_each_change_once)
{
    const RevisionsCase *c = &cases[_i];
    ConfigState cfg;

    Cfg_Init(&cfg);
    store_initial_preset(&cfg);
    for (int i = 0; i < STEPS_MAX && c->steps[i].id; i++) {
        const RevisionStep *step = &c->steps[i];
        ConfigChange change = {.verb = step->verb,
                               .id = Str_FromC(step->id),
                               .base_version = {0, step->base},
                               .json = Str_FromC(step->json)};
        ConfigResult result;
        if (step->restart) {
            restart(&cfg);
        }
        Cfg_ApplyChange(&cfg, &change, (ConfigVersion){1, (uint64_t)i + 2},
                        &result);
        ck_assert_msg(result.outcome == step->outcome &&
                          result.is_repeat == step->is_repeat,
                      "%s, step %d: outcome %d, is_repeat %d", c->name, i,
                      (int)result.outcome, result.is_repeat);
        ck_assert_uint_eq(cfg.routing_revision, step->revision);
    }
    Cfg_Finish(&cfg);
}
END_TEST

/* A change whose outcome is no longer kept is neither rejected nor applied
 * again: the result says that the change is too old. */
START_TEST(reports_outcomes_no_longer_kept)
{
    ConfigChange change = {.verb = Cfg_PATCH_ROUTING, .id = Str_LIT("x")};
    ConfigResult result;
    ConfigState cfg;

    Cfg_Init(&cfg);
    store_initial_preset(&cfg);
    for (uint64_t i = 0; i < Cfg_RECORDS_MAX + 10; i++) {
        StrBuf id = {0};
        StrBuf json = {0};
        StrBuf_AppendFmt(&id, "id-%llu", (unsigned long long)i);
        StrBuf_AppendFmt(&json,
                         "{\"revision\":%llu,\"routes\":[],\"services\":[]}",
                         (unsigned long long)i + 1);
        change = (ConfigChange){.verb = Cfg_REPLACE_ROUTING,
                                .id = StrBuf_View(&id),
                                .base_version = {0, i},
                                .json = StrBuf_View(&json)};
        Cfg_ApplyChange(&cfg, &change, (ConfigVersion){1, i + 2}, &result);
        ck_assert_int_eq(result.outcome, Cfg_ACCEPTED);
        StrBuf_Finish(&id);
        StrBuf_Finish(&json);
    }
    change = (ConfigChange){.verb = Cfg_REPLACE_ROUTING,
                            .id = Str_LIT("id-1"),
                            .base_version = {0, 1},
                            .json = Str_LIT("{}")};
    Cfg_ApplyChange(&cfg, &change, (ConfigVersion){1, 9999}, &result);
    ck_assert_int_eq(result.outcome, Cfg_TOO_OLD);
    Cfg_Finish(&cfg);
}
END_TEST

typedef struct {
    ConfigVerb verb;
    bool before; /* the first preset is in force */
    bool after;
} JudgeCase;

static const JudgeCase judge_cases[] = {
    {Cfg_PUT_PRESET, true, true},
    {Cfg_USE_PRESET, true, true},
    {Cfg_REPLACE_ROUTING, false, true},
    {Cfg_PATCH_ROUTING, false, true},
};

/* Guards against the failure that the first routing of a fleet is refused for
 * good, while the preset that it changes is not accepted yet. */
START_TEST(first_routing_waits_for_first_preset)
{
    const JudgeCase *c = &judge_cases[_i];
    ConfigChange change = {.verb = c->verb, .id = Str_LIT("a")};
    ConfigChange first = {
        .verb = Cfg_PUT_PRESET,
        .id = Str_LIT("first"),
        .preset_name = Str_LIT("p"),
        .json = Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":[]}"),
    };
    ConfigResult result;
    ConfigState cfg;

    Cfg_Init(&cfg);
    ck_assert_int_eq(Cfg_CanJudge(&cfg, &change), c->before);
    Cfg_ApplyChange(&cfg, &first, (ConfigVersion){1, 2}, &result);
    ck_assert_int_eq(result.outcome, Cfg_ACCEPTED);
    ck_assert_int_eq(Cfg_CanJudge(&cfg, &change), c->after);
    Cfg_Finish(&cfg);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {decides_each_change_once, ROWS(cases)},
        {first_routing_waits_for_first_preset, ROWS(judge_cases)},
        {reports_outcomes_no_longer_kept, 1}};

    return Suite_Run("revisions", tests, ROWS(tests), 30);
}
