#include "version/config.h"

#include "value/mem.h"
#include "version/preset.h"
#include "version/routing.h"

static const Str verb_names[Cfg_VERBS] = {
    Str_LIT("put"), Str_LIT("use"), Str_LIT("route"), Str_LIT("route-patch")};

static const Str why_texts[Cfg_WHYS] = {
    Str_LIT(""),
    Str_LIT("there is no preset of that name"),
    Str_LIT("there are as many presets as may be"),
    Str_LIT("the id was used for a change of other content"),
    Str_LIT("the routing would not be sound"),
};

int
Cfg_CompareVersions(CfgVersion a, CfgVersion b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    return a.index < b.index ? -1 : a.index > b.index;
}

void
Cfg_Init(Cfg *cfg)
{
    *cfg = (Cfg){.in_force = -1};
    cfg->records = Mem_Alloc(Cfg_RECORDS_MAX, sizeof *cfg->records);
}

void
Cfg_Finish(Cfg *cfg)
{
    for (uint32_t i = 0; i < Cfg_PRESETS_MAX; i++) {
        StrBuf_Finish(&cfg->presets[i].name);
        StrBuf_Finish(&cfg->presets[i].json);
    }
    for (uint32_t i = 0; i < Cfg_RECORDS_MAX; i++) {
        StrBuf_Finish(&cfg->records[i].id);
        StrBuf_Finish(&cfg->records[i].preset);
    }
    Mem_Free(cfg->records);
    *cfg = (Cfg){0};
}

Str
Cfg_VerbName(CfgVerb verb)
{
    return verb_names[verb];
}

bool
Cfg_ParseVerb(Str name, CfgVerb *verb)
{
    for (int i = 0; i < Cfg_VERBS; i++) {
        if (Str_Equal(name, verb_names[i])) {
            *verb = (CfgVerb)i;
            return true;
        }
    }
    return false;
}

Str
Cfg_WhyText(CfgWhy why)
{
    return why_texts[why];
}

static void
check_name(Str name, Str place, FindingList *findings)
{
    if (name.len == 0 || name.len > Cfg_NAME_MAX) {
        Fnd_Add(findings, place, Str_LIT("wrong length"),
                Str_LIT("1 to 64 bytes"));
    }
}

static void
check_preset(const CfgChange *change, FindingList *findings)
{
    Preset preset;

    if (change->json.len > Cfg_JSON_MAX) {
        Fnd_Add(findings, Str_LIT("/preset"), Str_LIT("too large"),
                Str_LIT("524288 bytes at most"));
        return;
    }
    if (!Pst_Parse(&preset, change->json, findings)) {
        return;
    }
    if (!Str_Equal(StrBuf_View(&preset.name), change->preset)) {
        Fnd_Add(findings, Str_LIT("/preset/name"),
                Str_LIT("not the name of the change"),
                Str_LIT("the same name in both"));
    }
    Pst_Finish(&preset);
}

bool
Cfg_Check(const CfgChange *change, FindingList *findings)
{
    size_t before = findings->count;

    check_name(change->id, Str_LIT("/id"), findings);
    if (Cfg_IsRevision(change)) {
        if (change->json.len > Cfg_JSON_MAX) {
            Fnd_Add(findings, Str_LIT("/"), Str_LIT("too large"),
                    Str_LIT("524288 bytes at most"));
        }
        return findings->count == before;
    }
    check_name(change->preset, Str_LIT("/name"), findings);
    if (change->verb == Cfg_PUT) {
        check_preset(change, findings);
    }
    return findings->count == before;
}

const CfgPreset *
Cfg_Find(const Cfg *cfg, Str name)
{
    for (uint32_t i = 0; i < cfg->preset_count; i++) {
        if (Str_Equal(StrBuf_View(&cfg->presets[i].name), name)) {
            return &cfg->presets[i];
        }
    }
    return NULL;
}

const CfgPreset *
Cfg_InForce(const Cfg *cfg)
{
    return cfg->in_force < 0 ? NULL : &cfg->presets[cfg->in_force];
}

bool
Cfg_IsRevision(const CfgChange *change)
{
    return change->verb == Cfg_ROUTE || change->verb == Cfg_ROUTE_PATCH;
}

bool
Cfg_Revise(const Cfg *cfg, const CfgChange *change, StrBuf *json,
           FindingList *findings)
{
    const CfgPreset *in_force = Cfg_InForce(cfg);
    Preset preset;

    if (!in_force) {
        Fnd_Add(findings, Str_LIT("/"), Str_LIT("no preset is in force"),
                Str_LIT("one to revise"));
        return false;
    }
    if (!Rtg_Revise(StrBuf_View(&in_force->json), change->json,
                    change->verb == Cfg_ROUTE_PATCH, json, findings) ||
        !Pst_Parse(&preset, StrBuf_View(json), findings)) {
        return false;
    }
    Pst_Finish(&preset);
    if (json->len > Cfg_JSON_MAX) {
        Fnd_Add(findings, Str_LIT("/"), Str_LIT("too large"),
                Str_LIT("524288 bytes at most"));
    }
    return json->len <= Cfg_JSON_MAX;
}

/* Without the base: who sends a change again may have read a newer one. */
static uint64_t
hash_content(const CfgChange *change)
{
    CfgChange content = *change;
    Pack pack;
    uint64_t hash;

    content.base = (CfgVersion){0};
    Pack_Init(&pack, Cfg_CHANGE_FIELDS);
    Cfg_PackChange(&pack, &content);
    hash = Str_Hash(Pack_View(&pack));
    Pack_Finish(&pack);
    return hash;
}

static CfgRecord *
record_at(const Cfg *cfg, uint32_t number)
{
    return &cfg->records[(cfg->record_first + number) % Cfg_RECORDS_MAX];
}

static const CfgRecord *
find_record(const Cfg *cfg, Str id)
{
    for (uint32_t i = 0; i < cfg->record_count; i++) {
        const CfgRecord *record = record_at(cfg, i);
        if (Str_Equal(StrBuf_View(&record->id), id)) {
            return record;
        }
    }
    return NULL;
}

/* The accepted change that made VERSION. */
static const CfgRecord *
find_maker(const Cfg *cfg, CfgVersion version)
{
    for (uint32_t i = cfg->record_count; i > 0; i--) {
        const CfgRecord *record = record_at(cfg, i - 1);
        if (record->outcome == Cfg_ACCEPTED &&
            Cfg_CompareVersions(record->version, version) == 0) {
            return record;
        }
    }
    return NULL;
}

/* The version that the accepted change on BASE made, else the latest. */
static CfgVersion
find_winner(const Cfg *cfg, CfgVersion base)
{
    for (uint32_t i = cfg->record_count; i > 0; i--) {
        const CfgRecord *record = record_at(cfg, i - 1);
        if (record->outcome == Cfg_ACCEPTED &&
            Cfg_CompareVersions(record->base, base) == 0) {
            return record->version;
        }
    }
    return cfg->version;
}

static void
tell(const Cfg *cfg, const CfgRecord *record, bool again, CfgResult *result)
{
    const CfgRecord *winner = record->outcome == Cfg_CONFLICT
                                  ? find_maker(cfg, record->winner)
                                  : NULL;

    *result = (CfgResult){
        .outcome = record->outcome,
        .why = record->why,
        .again = again,
        .version = record->version,
        .has_winner = winner != NULL,
    };
    if (winner) {
        result->winner_id = StrBuf_View(&winner->id);
        result->winner_verb = winner->verb;
        result->winner_preset = StrBuf_View(&winner->preset);
        result->winner_version = winner->version;
    }
}

static void
forget_first(Cfg *cfg)
{
    const CfgRecord *first = record_at(cfg, 0);

    bool revision = first->verb == Cfg_ROUTE || first->verb == Cfg_ROUTE_PATCH;

    /* A refused change would be refused again. */
    if (revision) {
        if (first->outcome != Cfg_REFUSED &&
            first->base.index > cfg->forgotten_revision) {
            cfg->forgotten_revision = first->base.index;
        }
    }
    else if (first->outcome != Cfg_REFUSED &&
             Cfg_CompareVersions(first->base, cfg->forgotten) > 0) {
        cfg->forgotten = first->base;
    }
    cfg->record_first = (cfg->record_first + 1) % Cfg_RECORDS_MAX;
    cfg->record_count--;
}

static CfgRecord *
add_record(Cfg *cfg)
{
    if (cfg->record_count == Cfg_RECORDS_MAX) {
        forget_first(cfg);
    }
    return record_at(cfg, cfg->record_count++);
}

static void
put_preset(CfgPreset *to, const CfgChange *change, CfgVersion version)
{
    StrBuf_Set(&to->name, change->preset);
    StrBuf_Set(&to->json, change->json);
    to->changed = version;
}

static CfgWhy
carry_out_revision(Cfg *cfg, const CfgChange *change, CfgVersion version)
{
    FindingList findings;
    StrBuf json = {0};
    CfgWhy why = Cfg_WHY_ROUTING;

    Fnd_Init(&findings);
    if (Cfg_Revise(cfg, change, &json, &findings)) {
        CfgPreset *in_force = &cfg->presets[cfg->in_force];
        StrBuf_Set(&in_force->json, StrBuf_View(&json));
        in_force->changed = version;
        why = Cfg_WHY_NONE;
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&json);
    return why;
}

/* Carry the change out; the reason when it can't be. */
static CfgWhy
carry_out(Cfg *cfg, const CfgChange *change, CfgVersion version)
{
    const CfgPreset *found = Cfg_Find(cfg, change->preset);
    int32_t number = (int32_t)cfg->preset_count;

    if (found) {
        number = (int32_t)(found - cfg->presets);
    }
    else if (change->verb == Cfg_USE) {
        return Cfg_WHY_NO_PRESET;
    }
    else if (cfg->preset_count == Cfg_PRESETS_MAX) {
        return Cfg_WHY_FULL;
    }
    if (change->verb == Cfg_PUT) {
        put_preset(&cfg->presets[number], change, version);
        cfg->preset_count += !found;
    }
    if (change->verb == Cfg_USE || cfg->in_force < 0) {
        cfg->in_force = number;
    }
    return Cfg_WHY_NONE;
}

static bool
is_on_base(const Cfg *cfg, const CfgChange *change)
{
    return Cfg_IsRevision(change)
               ? change->base.index == cfg->revision
               : Cfg_CompareVersions(change->base, cfg->version) == 0;
}

static void
decide(Cfg *cfg, const CfgChange *change, CfgVersion version,
       CfgRecord *record)
{
    record->version = cfg->version;
    if (!is_on_base(cfg, change)) {
        record->outcome = Cfg_CONFLICT;
        record->winner = find_winner(cfg, change->base);
        return;
    }
    record->why = Cfg_IsRevision(change)
                      ? carry_out_revision(cfg, change, version)
                      : carry_out(cfg, change, version);
    if (record->why) {
        record->outcome = Cfg_REFUSED;
        return;
    }
    record->outcome = Cfg_ACCEPTED;
    record->version = version;
    cfg->version = version;
    cfg->revision = Rtg_Revision(StrBuf_View(&Cfg_InForce(cfg)->json));
}

/* It may have had an outcome that is no longer kept. */
static bool
is_forgotten(const Cfg *cfg, const CfgChange *change)
{
    if (Cfg_IsRevision(change)) {
        return cfg->forgotten_revision > 0 &&
               change->base.index <= cfg->forgotten_revision;
    }
    return cfg->forgotten.term > 0 &&
           Cfg_CompareVersions(change->base, cfg->forgotten) <= 0;
}

bool
Cfg_Recall(const Cfg *cfg, const CfgChange *change, CfgResult *result)
{
    const CfgRecord *record = find_record(cfg, change->id);

    if (record && record->content != hash_content(change)) {
        *result = (CfgResult){.outcome = Cfg_REFUSED,
                              .why = Cfg_WHY_ID_USED,
                              .version = cfg->version};
        return true;
    }
    if (record) {
        tell(cfg, record, true, result);
        return true;
    }
    if (is_forgotten(cfg, change)) {
        *result =
            (CfgResult){.outcome = Cfg_FORGOTTEN, .version = cfg->version};
        return true;
    }
    return false;
}

void
Cfg_Apply(Cfg *cfg, const CfgChange *change, CfgVersion version,
          CfgResult *result)
{
    CfgRecord *record;
    CfgRecord fresh = {.base = change->base, .verb = change->verb};

    if (Cfg_Recall(cfg, change, result)) {
        return;
    }
    fresh.content = hash_content(change);
    decide(cfg, change, version, &fresh);
    record = add_record(cfg);
    fresh.id = record->id;
    fresh.preset = record->preset;
    *record = fresh;
    StrBuf_Set(&record->id, change->id);
    StrBuf_Set(&record->preset, change->preset);
    tell(cfg, record, false, result);
}
