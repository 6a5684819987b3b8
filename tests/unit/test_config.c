/* The configuration decider: races, repeats, bounds, snapshots. */
#include <stdio.h>

#include "support/suite.h"
#include "version/config.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

typedef enum {
    END,
    PUT,
    USE,
    RESTORE,  /* save and load the state in between */
    FILL,     /* with NUMBER more accepted changes */
    IN_FORCE, /* is preset NAME */
} OpKind;

/* Index 0 of base stands for version {0, 0}; else the version's term is 1. */
typedef struct {
    OpKind kind;
    const char *id;
    const char *name;
    uint64_t base;
    uint64_t index; /* it is committed at */
    ConfigOutcome outcome;
    uint64_t version; /* index told */
    const char *winner;
    ConfigRejectReason reason;
    bool is_repeat;
} Op;

typedef struct {
    const char *title;
    Op ops[12];
} OpCase;

#define FIRST                                                                 \
    {                                                                         \
        PUT, "a", "ordinary", 0, 1, Cfg_ACCEPTED, 1, NULL, Cfg_REASON_NONE,   \
            false                                                             \
    }
#define PEAK                                                                  \
    {                                                                         \
        PUT, "b", "peak", 1, 2, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE, false \
    }
#define LAST                                                                  \
    {                                                                         \
        END, NULL, NULL, 0, 0, Cfg_ACCEPTED, 0, NULL, Cfg_REASON_NONE, false  \
    }
#define FORCE(name)                                                           \
    {                                                                         \
        IN_FORCE, NULL, name, 0, 0, Cfg_ACCEPTED, 0, NULL, Cfg_REASON_NONE,   \
            false                                                             \
    }
#define RELOAD                                                                \
    {                                                                         \
        RESTORE, NULL, NULL, 0, 0, Cfg_ACCEPTED, 0, NULL, Cfg_REASON_NONE,    \
            false                                                             \
    }

static const OpCase cases[] = {
    {"the first one put is in force",
     {FIRST, FORCE("ordinary"), PEAK, FORCE("ordinary"), LAST}},
    {"use",
     {FIRST,
      PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      FORCE("peak"),
      LAST}},
    {"two on one base",
     {FIRST,
      PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {PUT, "d", "peak", 2, 4, Cfg_CONFLICT, 3, "c", Cfg_REASON_NONE, false},
      FORCE("peak"),
      LAST}},
    {"told the one on its base, not the latest",
     {FIRST,
      PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "d", "peak", 1, 4, Cfg_CONFLICT, 3, "b", Cfg_REASON_NONE, false},
      LAST}},
    {"a base that never was",
     {FIRST,
      {USE, "c", "ordinary", 7, 8, Cfg_CONFLICT, 1, "a", Cfg_REASON_NONE,
       false},
      LAST}},
    {"accepted again",
     {FIRST,
      PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "d", "ordinary", 3, 4, Cfg_ACCEPTED, 4, NULL, Cfg_REASON_NONE,
       false},
      {USE, "c", "peak", 2, 5, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, true},
      FORCE("ordinary"),
      LAST}},
    {"conflict again",
     {FIRST,
      PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "d", "ordinary", 2, 4, Cfg_CONFLICT, 3, "c", Cfg_REASON_NONE,
       false},
      {USE, "e", "ordinary", 3, 5, Cfg_ACCEPTED, 5, NULL, Cfg_REASON_NONE,
       false},
      RELOAD,
      {USE, "d", "ordinary", 2, 6, Cfg_CONFLICT, 3, "c", Cfg_REASON_NONE,
       true},
      LAST}},
    {"refused, and again after the preset came",
     {FIRST,
      {USE, "c", "peak", 1, 2, Cfg_REJECTED, 1, NULL, Cfg_REASON_NO_PRESET,
       false},
      {PUT, "d", "peak", 1, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "c", "peak", 1, 4, Cfg_REJECTED, 1, NULL, Cfg_REASON_NO_PRESET,
       true},
      FORCE("ordinary"),
      LAST}},
    {"again on the base that it made itself",
     {FIRST,
      PEAK,
      {PUT, "b", "peak", 2, 3, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE, true},
      LAST}},
    {"the same id for something else",
     {FIRST,
      PEAK,
      {USE, "b", "peak", 2, 3, Cfg_REJECTED, 2, NULL, Cfg_REASON_ID_REUSED,
       false},
      FORCE("ordinary"),
      LAST}},
    {"a snapshot keeps outcomes and presets",
     {FIRST,
      PEAK,
      RELOAD,
      FORCE("ordinary"),
      {PUT, "b", "peak", 1, 3, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE, true},
      {USE, "c", "peak", 2, 4, Cfg_ACCEPTED, 4, NULL, Cfg_REASON_NONE, false},
      FORCE("peak"),
      LAST}},
    {"the last 1024 outcomes are kept",
     {FIRST,
      PEAK,
      {FILL, "f", "peak", 2, 3, Cfg_ACCEPTED, Cfg_RECORDS_MAX - 1, NULL,
       Cfg_REASON_NONE, false},
      {PUT, "b", "peak", 1, 2000, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE,
       true},
      LAST}},
    {"an older one does not run",
     {FIRST,
      PEAK,
      {FILL, "f", "peak", 2, 3, Cfg_ACCEPTED, Cfg_RECORDS_MAX, NULL,
       Cfg_REASON_NONE, false},
      {PUT, "b", "peak", 1, 2000, Cfg_TOO_OLD, Cfg_RECORDS_MAX + 2, NULL,
       Cfg_REASON_NONE, false},
      RELOAD,
      {PUT, "b", "peak", 1, 2000, Cfg_TOO_OLD, Cfg_RECORDS_MAX + 2, NULL,
       Cfg_REASON_NONE, false},
      LAST}},
};

static void
apply(ConfigState *cfg, const Op *op, const char *id, uint64_t base,
      uint64_t index, ConfigResult *result)
{
    ConfigChange change = {
        .verb = op->kind == USE ? Cfg_USE_PRESET : Cfg_PUT_PRESET,
        .id = Str_FromC(id),
        .base_version = {base ? 1 : 0, base},
        .preset_name = Str_FromC(op->name),
        .json = op->kind == USE ? (Str){0} : Str_LIT("{}"),
    };

    Cfg_ApplyChange(cfg, &change, (ConfigVersion){1, index}, result);
}

static void
check(ConfigState *cfg, const Op *op, const char *title)
{
    ConfigResult result;

    apply(cfg, op, op->id, op->base, op->index, &result);
    ck_assert_msg(result.outcome == op->outcome, "%s %s", title, op->id);
    ck_assert_msg(result.version.index == op->version, "%s %s", title, op->id);
    ck_assert_msg(result.reason == op->reason, "%s %s", title, op->id);
    ck_assert_msg(result.is_repeat == op->is_repeat, "%s %s", title, op->id);
    ck_assert_msg(Str_Equal(result.winner_id, Str_FromC(op->winner)),
                  "%s %s: %.*s", title, op->id, Str_ARG(result.winner_id));
}

static void
fill(ConfigState *cfg, const Op *op)
{
    for (uint64_t i = 0; i < op->version; i++) {
        char id[32];
        ConfigResult result;
        snprintf(id, sizeof id, "f%u", (unsigned)i);
        apply(cfg, op, id, op->base + i, op->index + i, &result);
        ck_assert_int_eq(result.outcome, Cfg_ACCEPTED);
    }
}

static void
reload(ConfigState *cfg)
{
    StrBuf state = {0};
    ConfigState other;

    Cfg_Init(&other);
    Cfg_Serialize(cfg, &state);
    ck_assert(Cfg_Deserialize(&other, StrBuf_View(&state), NULL));
    Cfg_Finish(cfg);
    *cfg = other;
    StrBuf_Finish(&state);
}

START_TEST(decides)
{
    const OpCase *c = &cases[_i];
    ConfigState cfg;

    Cfg_Init(&cfg);
    for (const Op *op = c->ops; op->kind != END; op++) {
        switch (op->kind) {
        case RESTORE:
            reload(&cfg);
            break;
        case FILL:
            fill(&cfg, op);
            break;
        case IN_FORCE:
            ck_assert_msg(
                Str_Equal(StrBuf_View(&Cfg_PresetInForce(&cfg)->name),
                          Str_FromC(op->name)),
                "%s", c->title);
            break;
        default:
            check(&cfg, op, c->title);
        }
    }
    Cfg_Finish(&cfg);
}
END_TEST

typedef struct {
    Str id;
    Str name;
    Str json;
    int findings;
} CheckCase;

#define LONG16 "0123456789abcdef"
#define LONG65 LONG16 LONG16 LONG16 LONG16 "x"

static const CheckCase checks[] = {
    {Str_LIT("i"), Str_LIT("n"),
     Str_LIT("{\"name\":\"n\",\"limits\":{},\"routes\":[]}"), 0},
    {Str_LIT("i"), Str_LIT("m"),
     Str_LIT("{\"name\":\"n\",\"limits\":{},\"routes\":[]}"), 1},
    {Str_LIT(""), Str_LIT("n"),
     Str_LIT("{\"name\":\"n\",\"limits\":{},\"routes\":[]}"), 1},
    {Str_LIT(LONG65), Str_LIT("n"),
     Str_LIT("{\"name\":\"n\",\"limits\":{},\"routes\":[]}"), 1},
    {Str_LIT("i"), Str_LIT("n"),
     Str_LIT("{\"name\":\"n\",\"limits\":{},\"routes\":[],\"x\":1,\"y\":2}"),
     2},
    {Str_LIT("i"), Str_LIT("n"), Str_LIT("{\"name\":"), 1},
    {Str_LIT("i"), Str_LIT("n"), Str_LIT(""), 1},
};

START_TEST(checks_before_it_proposes)
{
    const CheckCase *c = &checks[_i];
    ConfigChange change = {Cfg_PUT_PRESET, c->id, {0, 0}, c->name, c->json};
    FindingList findings;

    Fnd_Init(&findings);
    ck_assert_int_eq(Cfg_ValidateChange(&change, &findings), c->findings == 0);
    ck_assert_int_eq((int)findings.count, c->findings);
    Fnd_Finish(&findings);
}
END_TEST

START_TEST(refuses_one_preset_too_many)
{
    ConfigState cfg;
    ConfigResult result;
    char names[Cfg_PRESETS_MAX + 1][16];

    Cfg_Init(&cfg);
    for (int i = 0; i <= Cfg_PRESETS_MAX; i++) {
        Op op = {.kind = PUT, .name = names[i]};
        snprintf(names[i], sizeof names[i], "p%d", i);
        apply(&cfg, &op, names[i], (uint64_t)i, (uint64_t)i + 1, &result);
    }
    ck_assert_int_eq(result.outcome, Cfg_REJECTED);
    ck_assert_int_eq(result.reason, Cfg_REASON_TOO_MANY_PRESETS);
    ck_assert_uint_eq(cfg.version.index, Cfg_PRESETS_MAX);
    Cfg_Finish(&cfg);
}
END_TEST

/* A state cut short or changed is refused, and the old one stays. */
START_TEST(refuses_a_cut_state)
{
    ConfigState cfg;
    ConfigResult result;
    Op op = {.kind = PUT, .name = "ordinary"};
    StrBuf state = {0};

    Cfg_Init(&cfg);
    apply(&cfg, &op, "a", 0, 1, &result);
    Cfg_Serialize(&cfg, &state);
    for (size_t len = 0; len < state.len; len++) {
        Err err = {0};
        ck_assert(!Cfg_Deserialize(&cfg, Str_From(state.ptr, len), &err));
        ck_assert(err.code != Err_NONE);
        ck_assert_uint_eq(cfg.version.index, 1);
    }
    StrBuf_Finish(&state);
    Cfg_Finish(&cfg);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {decides, ROWS(cases)},
        {checks_before_it_proposes, ROWS(checks)},
        {refuses_one_preset_too_many, 1},
        {refuses_a_cut_state, 1},
    };

    return Suite_Run("config", tests, ROWS(tests), 30);
}
