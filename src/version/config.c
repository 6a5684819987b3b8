#include "version/config.h"

#include "value/mem.h"
#include "version/preset.h"
#include "version/routing.h"

static const Str verb_names[Cfg_VERBS] = {
    Str_LIT("put"),         Str_LIT("use"),      Str_LIT("route"),
    Str_LIT("route-patch"), Str_LIT("evacuate"), Str_LIT("evacuate-end")};

static const Str reason_texts[Cfg_REASONS] = {
    Str_LIT(""),
    Str_LIT("there is no preset of that name"),
    Str_LIT("there are as many presets as may be"),
    Str_LIT("the id was used for a change of other content"),
    Str_LIT("the routing would not be sound"),
    Str_LIT("as many failure domains are evacuated as may be"),
};

int
Cfg_CompareVersions(ConfigVersion a, ConfigVersion b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    return a.index < b.index ? -1 : a.index > b.index;
}

void
Cfg_Init(ConfigState *cfg)
{
    *cfg = (ConfigState){.in_force_index = -1};
    cfg->records = Mem_Alloc(Cfg_RECORDS_MAX, sizeof *cfg->records);
}

void
Cfg_Finish(ConfigState *cfg)
{
    for (uint32_t i = 0; i < Cfg_PRESETS_MAX; i++) {
        StrBuf_Finish(&cfg->presets[i].name);
        StrBuf_Finish(&cfg->presets[i].json);
    }
    for (uint32_t i = 0; i < Cfg_RECORDS_MAX; i++) {
        StrBuf_Finish(&cfg->records[i].id);
        StrBuf_Finish(&cfg->records[i].preset_name);
    }
    Mem_Free(cfg->records);
    for (uint32_t i = 0; i < Cfg_EVACUATIONS_MAX; i++) {
        StrBuf_Finish(&cfg->evacuations[i].domain);
    }
    *cfg = (ConfigState){0};
}

Str
Cfg_VerbName(ConfigVerb verb)
{
    return verb_names[verb];
}

bool
Cfg_ParseVerb(Str name, ConfigVerb *verb)
{
    for (int i = 0; i < Cfg_VERBS; i++) {
        if (Str_Equal(name, verb_names[i])) {
            *verb = (ConfigVerb)i;
            return true;
        }
    }
    return false;
}

Str
Cfg_ReasonText(ConfigRejectReason reason)
{
    return reason_texts[reason];
}

static void
validate_name(Str name, Str place, FindingList *findings)
{
    if (name.len == 0 || name.len > Cfg_NAME_BYTES_MAX) {
        Fnd_Add(findings, place, Str_LIT("wrong length"),
                Str_LIT("1 to 64 bytes"));
    }
}

static void
validate_preset(const ConfigChange *change, FindingList *findings)
{
    Preset preset;

    if (change->json.len > Cfg_JSON_BYTES_MAX) {
        Fnd_Add(findings, Str_LIT("/preset"), Str_LIT("too large"),
                Str_LIT("524288 bytes at most"));
        return;
    }
    if (!Pst_Parse(&preset, change->json, findings)) {
        return;
    }
    if (!Str_Equal(StrBuf_View(&preset.name), change->preset_name)) {
        Fnd_Add(findings, Str_LIT("/preset/name"),
                Str_LIT("not the name of the change"),
                Str_LIT("the same name in both"));
    }
    Pst_Finish(&preset);
    Rtg_CheckProposed(change->json, findings);
}

bool
Cfg_ValidateChange(const ConfigChange *change, FindingList *findings)
{
    size_t before = findings->count;

    if (Cfg_IsEvacuation(change)) {
        validate_name(change->preset_name, Str_LIT("/domain"), findings);
        return findings->count == before;
    }
    validate_name(change->id, Str_LIT("/id"), findings);
    if (Cfg_IsRoutingChange(change)) {
        if (change->json.len > Cfg_JSON_BYTES_MAX) {
            Fnd_Add(findings, Str_LIT("/"), Str_LIT("too large"),
                    Str_LIT("524288 bytes at most"));
        }
        return findings->count == before;
    }
    validate_name(change->preset_name, Str_LIT("/name"), findings);
    if (change->verb == Cfg_PUT_PRESET) {
        validate_preset(change, findings);
    }
    return findings->count == before;
}

const StoredPreset *
Cfg_FindPreset(const ConfigState *cfg, Str name)
{
    for (uint32_t i = 0; i < cfg->preset_count; i++) {
        if (Str_Equal(StrBuf_View(&cfg->presets[i].name), name)) {
            return &cfg->presets[i];
        }
    }
    return NULL;
}

const StoredPreset *
Cfg_PresetInForce(const ConfigState *cfg)
{
    return cfg->in_force_index < 0 ? NULL : &cfg->presets[cfg->in_force_index];
}

bool
Cfg_IsRoutingChange(const ConfigChange *change)
{
    return change->verb == Cfg_REPLACE_ROUTING ||
           change->verb == Cfg_PATCH_ROUTING;
}

bool
Cfg_CanJudge(const ConfigState *cfg, const ConfigChange *change)
{
    return !(Cfg_IsRoutingChange(change) || Cfg_IsEvacuation(change)) ||
           Cfg_PresetInForce(cfg);
}

bool
Cfg_ReviseRouting(const ConfigState *cfg, const ConfigChange *change,
                  StrBuf *json, FindingList *findings)
{
    const StoredPreset *in_force = Cfg_PresetInForce(cfg);
    Preset preset;

    if (!in_force) {
        Fnd_Add(findings, Str_LIT("/"), Str_LIT("no preset is in force"),
                Str_LIT("one to revise"));
        return false;
    }
    if (!Rtg_Revise(StrBuf_View(&in_force->json), change->json,
                    change->verb == Cfg_PATCH_ROUTING, json, findings) ||
        !Pst_Parse(&preset, StrBuf_View(json), findings)) {
        return false;
    }
    Pst_Finish(&preset);
    if (json->len > Cfg_JSON_BYTES_MAX) {
        Fnd_Add(findings, Str_LIT("/"), Str_LIT("too large"),
                Str_LIT("524288 bytes at most"));
    }
    return json->len <= Cfg_JSON_BYTES_MAX;
}

/* Hash of all members of CHANGE except base_version: a sender that repeats a
 * change may have read a newer version in between. */
static uint64_t
hash_content(const ConfigChange *change)
{
    ConfigChange content = *change;
    Pack pack;
    uint64_t hash;

    content.base_version = (ConfigVersion){0};
    Pack_Init(&pack, Cfg_CHANGE_FIELDS);
    Cfg_PackChange(&pack, &content);
    hash = Str_Hash(Pack_View(&pack));
    Pack_Finish(&pack);
    return hash;
}

static ChangeRecord *
record_at(const ConfigState *cfg, uint32_t position)
{
    return &cfg->records[(cfg->record_first + position) % Cfg_RECORDS_MAX];
}

static const ChangeRecord *
find_record(const ConfigState *cfg, Str id)
{
    for (uint32_t i = 0; i < cfg->record_count; i++) {
        const ChangeRecord *record = record_at(cfg, i);
        if (Str_Equal(StrBuf_View(&record->id), id)) {
            return record;
        }
    }
    return NULL;
}

/* The accepted change that made VERSION; NULL when its record was dropped. */
static const ChangeRecord *
find_accepted(const ConfigState *cfg, ConfigVersion version)
{
    for (uint32_t i = cfg->record_count; i > 0; i--) {
        const ChangeRecord *record = record_at(cfg, i - 1);
        if (record->outcome == Cfg_ACCEPTED &&
            Cfg_CompareVersions(record->version, version) == 0) {
            return record;
        }
    }
    return NULL;
}

/* The version that the accepted change on BASE made; the current version when
 * no record of such a change is kept. */
static ConfigVersion
find_winner(const ConfigState *cfg, ConfigVersion base)
{
    for (uint32_t i = cfg->record_count; i > 0; i--) {
        const ChangeRecord *record = record_at(cfg, i - 1);
        if (record->outcome == Cfg_ACCEPTED &&
            Cfg_CompareVersions(record->base_version, base) == 0) {
            return record->version;
        }
    }
    return cfg->version;
}

static void
fill_result(const ConfigState *cfg, const ChangeRecord *record, bool is_repeat,
            ConfigResult *result)
{
    const ChangeRecord *winner =
        record->outcome == Cfg_CONFLICT
            ? find_accepted(cfg, record->winner_version)
            : NULL;

    *result = (ConfigResult){
        .outcome = record->outcome,
        .reason = record->reason,
        .is_repeat = is_repeat,
        .version = record->version,
        .has_winner = winner != NULL,
    };
    if (winner) {
        result->winner_id = StrBuf_View(&winner->id);
        result->winner_verb = winner->verb;
        result->winner_preset = StrBuf_View(&winner->preset_name);
        result->winner_version = winner->version;
    }
}

/* The record of a change on BASE is dropped.  A base that was never in force
 * does not count: it would for all changes that are still to come. */
static void
raise_dropped_base(ConfigState *cfg, ConfigVersion base, bool is_routing)
{
    if (is_routing) {
        if (base.index <= cfg->routing_revision &&
            base.index > cfg->dropped_revision_max) {
            cfg->dropped_revision_max = base.index;
        }
    }
    else if (Cfg_CompareVersions(base, cfg->version) <= 0 &&
             Cfg_CompareVersions(base, cfg->dropped_base_max) > 0) {
        cfg->dropped_base_max = base;
    }
}

static void
drop_oldest_record(ConfigState *cfg)
{
    const ChangeRecord *first = record_at(cfg, 0);

    /* A rejected change does not count: when it is repeated, it is rejected
     * again. */
    if (first->outcome != Cfg_REJECTED) {
        raise_dropped_base(cfg, first->base_version,
                           first->verb == Cfg_REPLACE_ROUTING ||
                               first->verb == Cfg_PATCH_ROUTING);
    }
    cfg->record_first = (cfg->record_first + 1) % Cfg_RECORDS_MAX;
    cfg->record_count--;
}

static ChangeRecord *
add_record(ConfigState *cfg)
{
    if (cfg->record_count == Cfg_RECORDS_MAX) {
        drop_oldest_record(cfg);
    }
    return record_at(cfg, cfg->record_count++);
}

static void
store_preset(StoredPreset *to, const ConfigChange *change,
             ConfigVersion version)
{
    StrBuf_Set(&to->name, change->preset_name);
    StrBuf_Set(&to->json, change->json);
    to->changed_in = version;
}

static ConfigRejectReason
apply_routing_change(ConfigState *cfg, const ConfigChange *change,
                     ConfigVersion version)
{
    FindingList findings;
    StrBuf json = {0};
    ConfigRejectReason reason = Cfg_REASON_INVALID_ROUTING;

    Fnd_Init(&findings);
    if (Cfg_ReviseRouting(cfg, change, &json, &findings)) {
        StoredPreset *in_force = &cfg->presets[cfg->in_force_index];
        StrBuf_Set(&in_force->json, StrBuf_View(&json));
        in_force->changed_in = version;
        reason = Cfg_REASON_NONE;
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&json);
    return reason;
}

/* Applies a change of presets; returns the reason when it is rejected. */
static ConfigRejectReason
apply_preset_change(ConfigState *cfg, const ConfigChange *change,
                    ConfigVersion version)
{
    const StoredPreset *found = Cfg_FindPreset(cfg, change->preset_name);
    int32_t position = (int32_t)cfg->preset_count;

    if (found) {
        position = (int32_t)(found - cfg->presets);
    }
    else if (change->verb == Cfg_USE_PRESET) {
        return Cfg_REASON_NO_PRESET;
    }
    else if (cfg->preset_count == Cfg_PRESETS_MAX) {
        return Cfg_REASON_TOO_MANY_PRESETS;
    }
    if (change->verb == Cfg_PUT_PRESET) {
        store_preset(&cfg->presets[position], change, version);
        cfg->preset_count += !found;
    }
    if (change->verb == Cfg_USE_PRESET || cfg->in_force_index < 0) {
        cfg->in_force_index = position;
    }
    return Cfg_REASON_NONE;
}

static bool
matches_base(const ConfigState *cfg, const ConfigChange *change)
{
    return Cfg_IsRoutingChange(change)
               ? change->base_version.index == cfg->routing_revision
               : Cfg_CompareVersions(change->base_version,
                                     cfg->preset_version) >= 0 &&
                     Cfg_CompareVersions(change->base_version, cfg->version) <=
                         0;
}

static void
decide_change(ConfigState *cfg, const ConfigChange *change,
              ConfigVersion version, ChangeRecord *record)
{
    record->version = cfg->version;
    if (!matches_base(cfg, change)) {
        record->outcome = Cfg_CONFLICT;
        record->winner_version = find_winner(cfg, change->base_version);
        return;
    }
    record->reason = Cfg_IsRoutingChange(change)
                         ? apply_routing_change(cfg, change, version)
                         : apply_preset_change(cfg, change, version);
    if (record->reason) {
        record->outcome = Cfg_REJECTED;
        return;
    }
    record->outcome = Cfg_ACCEPTED;
    record->version = version;
    cfg->version = version;
    cfg->preset_version = version;
    cfg->routing_revision =
        Rtg_Revision(StrBuf_View(&Cfg_PresetInForce(cfg)->json));
}

/* Whether CHANGE may have been decided by a record that was dropped since. One
 * on the current base was not accepted before, as that base would have been
 * replaced: also where an older program counted bases that were never in
 * force. */
static bool
may_be_dropped(const ConfigState *cfg, const ConfigChange *change)
{
    if (matches_base(cfg, change)) {
        return false;
    }
    if (Cfg_IsRoutingChange(change)) {
        return cfg->dropped_revision_max > 0 &&
               change->base_version.index <= cfg->dropped_revision_max;
    }
    return cfg->dropped_base_max.term > 0 &&
           Cfg_CompareVersions(change->base_version, cfg->dropped_base_max) <=
               0;
}

bool
Cfg_FindOutcome(const ConfigState *cfg, const ConfigChange *change,
                ConfigResult *result)
{
    const ChangeRecord *record = find_record(cfg, change->id);

    if (Cfg_IsEvacuation(change)) {
        return false;
    }
    if (record && record->content_hash != hash_content(change)) {
        *result = (ConfigResult){.outcome = Cfg_REJECTED,
                                 .reason = Cfg_REASON_ID_REUSED,
                                 .version = cfg->version};
        return true;
    }
    if (record) {
        fill_result(cfg, record, true, result);
        return true;
    }
    if (may_be_dropped(cfg, change)) {
        *result =
            (ConfigResult){.outcome = Cfg_TOO_OLD, .version = cfg->version};
        return true;
    }
    return false;
}

void
Cfg_ApplyChange(ConfigState *cfg, const ConfigChange *change,
                ConfigVersion version, ConfigResult *result)
{
    ChangeRecord *record;
    ChangeRecord decided = {.base_version = change->base_version,
                            .verb = change->verb};

    if (Cfg_IsEvacuation(change)) {
        Cfg_ApplyEvacuation(cfg, change, version, result);
        return;
    }
    if (Cfg_FindOutcome(cfg, change, result)) {
        return;
    }
    decided.content_hash = hash_content(change);
    decide_change(cfg, change, version, &decided);
    record = add_record(cfg);
    decided.id = record->id;
    decided.preset_name = record->preset_name;
    *record = decided;
    StrBuf_Set(&record->id, change->id);
    StrBuf_Set(&record->preset_name, change->preset_name);
    fill_result(cfg, record, false, result);
}
