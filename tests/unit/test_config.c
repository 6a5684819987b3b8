/* Decisions about configuration changes: conflicts, repeated changes, bounds,
 * and the state in snapshots. */
#include <stdio.h>

#include "support/suite.h"
#include "version/config.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

typedef enum {
    END,
    PUT,
    USE,
    RESTORE,    /* serialize the state and load it again */
    APPLY_MANY, /* apply `version` more changes, all accepted */
    IN_FORCE,   /* check that preset `name` is in force */
} OpKind;

/* A base of 0 stands for version {0, 0}; all other versions have term 1. */
typedef struct {
    OpKind kind;
    const char *id;
    const char *name;
    uint64_t base;
    uint64_t index; /* position in the log where the change is committed */
    ConfigOutcome outcome;
    uint64_t version; /* expected index of the version in the result */
    const char *winner;
    ConfigRejectReason reason;
    bool is_repeat;
} Op;

typedef struct {
    const char *title;
    Op ops[12];
} OpCase;

#define PUT_ORDINARY                                                          \
    {                                                                         \
        PUT, "a", "ordinary", 0, 1, Cfg_ACCEPTED, 1, NULL, Cfg_REASON_NONE,   \
            false                                                             \
    }
#define PUT_PEAK                                                              \
    {                                                                         \
        PUT, "b", "peak", 1, 2, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE, false \
    }
#define END_OF_OPS                                                            \
    {                                                                         \
        END, NULL, NULL, 0, 0, Cfg_ACCEPTED, 0, NULL, Cfg_REASON_NONE, false  \
    }
#define EXPECT_IN_FORCE(name)                                                 \
    {                                                                         \
        IN_FORCE, NULL, name, 0, 0, Cfg_ACCEPTED, 0, NULL, Cfg_REASON_NONE,   \
            false                                                             \
    }
#define RESTORE_STATE                                                         \
    {                                                                         \
        RESTORE, NULL, NULL, 0, 0, Cfg_ACCEPTED, 0, NULL, Cfg_REASON_NONE,    \
            false                                                             \
    }

static const OpCase decision_cases[] = {
    {"the first preset put comes into force",
     {PUT_ORDINARY, EXPECT_IN_FORCE("ordinary"), PUT_PEAK,
      EXPECT_IN_FORCE("ordinary"), END_OF_OPS}},
    {"use puts another preset in force",
     {PUT_ORDINARY,
      PUT_PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      EXPECT_IN_FORCE("peak"),
      END_OF_OPS}},
    {"two changes on one base version",
     {PUT_ORDINARY,
      PUT_PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {PUT, "d", "peak", 2, 4, Cfg_CONFLICT, 3, "c", Cfg_REASON_NONE, false},
      EXPECT_IN_FORCE("peak"),
      END_OF_OPS}},
    {"the winner is the change on the same base, not the latest",
     {PUT_ORDINARY,
      PUT_PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "d", "peak", 1, 4, Cfg_CONFLICT, 3, "b", Cfg_REASON_NONE, false},
      END_OF_OPS}},
    {"a base version that does not exist",
     {PUT_ORDINARY,
      {USE, "c", "ordinary", 7, 8, Cfg_CONFLICT, 1, "a", Cfg_REASON_NONE,
       false},
      END_OF_OPS}},
    {"an accepted change is repeated",
     {PUT_ORDINARY,
      PUT_PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "d", "ordinary", 3, 4, Cfg_ACCEPTED, 4, NULL, Cfg_REASON_NONE,
       false},
      {USE, "c", "peak", 2, 5, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, true},
      EXPECT_IN_FORCE("ordinary"),
      END_OF_OPS}},
    {"a conflicting change is repeated",
     {PUT_ORDINARY,
      PUT_PEAK,
      {USE, "c", "peak", 2, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "d", "ordinary", 2, 4, Cfg_CONFLICT, 3, "c", Cfg_REASON_NONE,
       false},
      {USE, "e", "ordinary", 3, 5, Cfg_ACCEPTED, 5, NULL, Cfg_REASON_NONE,
       false},
      RESTORE_STATE,
      {USE, "d", "ordinary", 2, 6, Cfg_CONFLICT, 3, "c", Cfg_REASON_NONE,
       true},
      END_OF_OPS}},
    {"a rejected change is repeated after the preset was added",
     {PUT_ORDINARY,
      {USE, "c", "peak", 1, 2, Cfg_REJECTED, 1, NULL, Cfg_REASON_NO_PRESET,
       false},
      {PUT, "d", "peak", 1, 3, Cfg_ACCEPTED, 3, NULL, Cfg_REASON_NONE, false},
      {USE, "c", "peak", 1, 4, Cfg_REJECTED, 1, NULL, Cfg_REASON_NO_PRESET,
       true},
      EXPECT_IN_FORCE("ordinary"),
      END_OF_OPS}},
    {"a change is repeated on the version that it made",
     {PUT_ORDINARY,
      PUT_PEAK,
      {PUT, "b", "peak", 2, 3, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE, true},
      END_OF_OPS}},
    {"an id is reused for another change",
     {PUT_ORDINARY,
      PUT_PEAK,
      {USE, "b", "peak", 2, 3, Cfg_REJECTED, 2, NULL, Cfg_REASON_ID_REUSED,
       false},
      EXPECT_IN_FORCE("ordinary"),
      END_OF_OPS}},
    {"a snapshot keeps outcomes and presets",
     {PUT_ORDINARY,
      PUT_PEAK,
      RESTORE_STATE,
      EXPECT_IN_FORCE("ordinary"),
      {PUT, "b", "peak", 1, 3, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE, true},
      {USE, "c", "peak", 2, 4, Cfg_ACCEPTED, 4, NULL, Cfg_REASON_NONE, false},
      EXPECT_IN_FORCE("peak"),
      END_OF_OPS}},
    {"the last 1024 outcomes are kept",
     {PUT_ORDINARY,
      PUT_PEAK,
      {APPLY_MANY, "f", "peak", 2, 3, Cfg_ACCEPTED, Cfg_RECORDS_MAX - 1, NULL,
       Cfg_REASON_NONE, false},
      {PUT, "b", "peak", 1, 2000, Cfg_ACCEPTED, 2, NULL, Cfg_REASON_NONE,
       true},
      END_OF_OPS}},
    {"a change older than these is not applied",
     {PUT_ORDINARY,
      PUT_PEAK,
      {APPLY_MANY, "f", "peak", 2, 3, Cfg_ACCEPTED, Cfg_RECORDS_MAX, NULL,
       Cfg_REASON_NONE, false},
      {PUT, "b", "peak", 1, 2000, Cfg_TOO_OLD, Cfg_RECORDS_MAX + 2, NULL,
       Cfg_REASON_NONE, false},
      RESTORE_STATE,
      {PUT, "b", "peak", 1, 2000, Cfg_TOO_OLD, Cfg_RECORDS_MAX + 2, NULL,
       Cfg_REASON_NONE, false},
      END_OF_OPS}},
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
apply_and_check(ConfigState *cfg, const Op *op, const char *title)
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
apply_accepted_changes(ConfigState *cfg, const Op *op)
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
serialize_and_reload(ConfigState *cfg)
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

START_TEST(decides_changes_in_order)
{
    const OpCase *c = &decision_cases[_i];
    ConfigState cfg;

    Cfg_Init(&cfg);
    for (const Op *op = c->ops; op->kind != END; op++) {
        switch (op->kind) {
        case RESTORE:
            serialize_and_reload(&cfg);
            break;
        case APPLY_MANY:
            apply_accepted_changes(&cfg, op);
            break;
        case IN_FORCE:
            ck_assert_msg(
                Str_Equal(StrBuf_View(&Cfg_PresetInForce(&cfg)->name),
                          Str_FromC(op->name)),
                "%s", c->title);
            break;
        default:
            apply_and_check(&cfg, op, c->title);
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

static const CheckCase validation_cases[] = {
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

START_TEST(validates_before_proposing)
{
    const CheckCase *c = &validation_cases[_i];
    ConfigChange change = {Cfg_PUT_PRESET, c->id, {0, 0}, c->name, c->json};
    FindingList findings;

    Fnd_Init(&findings);
    ck_assert_int_eq(Cfg_ValidateChange(&change, &findings), c->findings == 0);
    ck_assert_int_eq((int)findings.count, c->findings);
    Fnd_Finish(&findings);
}
END_TEST

START_TEST(rejects_one_preset_too_many)
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

/* A truncated state is rejected, and the old state stays. */
START_TEST(rejects_a_truncated_state)
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
        {decides_changes_in_order, ROWS(decision_cases)},
        {validates_before_proposing, ROWS(validation_cases)},
        {rejects_one_preset_too_many, 1},
        {rejects_a_truncated_state, 1},
    };

    return Suite_Run("config", tests, ROWS(tests), 30);
}
