#include "value/mem.h"
#include "version/config.h"

enum {
    STATE_FIELDS = 12,
    PRESET_FIELDS = 4,
    RECORD_FIELDS = 12,
    EVACUATION_FIELDS = 4
};

void
Cfg_PackChange(Pack *pack, const ConfigChange *change)
{
    Pack_U64(pack, change->verb);
    Pack_Str(pack, change->id);
    Pack_U64(pack, change->base_version.term);
    Pack_U64(pack, change->base_version.index);
    Pack_Str(pack, change->preset_name);
    Pack_Str(pack, change->json);
}

static Str
unpack_bounded_str(Unpack *in, size_t max)
{
    Str text = Unpack_Str(in);

    if (text.len > max) {
        Unpack_Fail(in);
        return (Str){0};
    }
    return text;
}

static ConfigVersion
unpack_version(Unpack *in)
{
    ConfigVersion version;

    version.term = Unpack_U64(in);
    version.index = Unpack_U64(in);
    return version;
}

static void
pack_version(Pack *pack, ConfigVersion version)
{
    Pack_U64(pack, version.term);
    Pack_U64(pack, version.index);
}

void
Cfg_UnpackChange(Unpack *in, ConfigChange *change)
{
    change->verb = (ConfigVerb)Unpack_Bounded(in, Cfg_VERBS - 1);
    change->id = unpack_bounded_str(in, Cfg_NAME_BYTES_MAX);
    change->base_version = unpack_version(in);
    change->preset_name = unpack_bounded_str(in, Cfg_NAME_BYTES_MAX);
    change->json = unpack_bounded_str(in, Cfg_JSON_BYTES_MAX);
}

static void
pack_preset(Pack *pack, const StoredPreset *preset)
{
    Pack_Array(pack, PRESET_FIELDS);
    Pack_Str(pack, StrBuf_View(&preset->name));
    Pack_Str(pack, StrBuf_View(&preset->json));
    pack_version(pack, preset->changed_in);
}

static void
pack_record(Pack *pack, const ChangeRecord *record)
{
    Pack_Array(pack, RECORD_FIELDS);
    Pack_Str(pack, StrBuf_View(&record->id));
    Pack_Str(pack, StrBuf_View(&record->preset_name));
    Pack_U64(pack, record->content_hash);
    pack_version(pack, record->base_version);
    pack_version(pack, record->version);
    pack_version(pack, record->winner_version);
    Pack_U64(pack, record->verb);
    Pack_U64(pack, record->outcome);
    Pack_U64(pack, record->reason);
}

static void
pack_evacuation(Pack *pack, const Evacuation *evacuation)
{
    Pack_Array(pack, EVACUATION_FIELDS);
    Pack_Str(pack, StrBuf_View(&evacuation->domain));
    Pack_Bool(pack, evacuation->is_ended);
    pack_version(pack, evacuation->changed_in);
}

void
Cfg_Serialize(const ConfigState *cfg, StrBuf *out)
{
    Pack pack;

    Pack_Init(&pack, STATE_FIELDS);
    pack_version(&pack, cfg->version);
    pack_version(&pack, cfg->dropped_base_max);
    Pack_U64(&pack, cfg->routing_revision);
    Pack_U64(&pack, cfg->dropped_revision_max);
    Pack_I64(&pack, cfg->in_force_index);
    Pack_Array(&pack, cfg->preset_count);
    for (uint32_t i = 0; i < cfg->preset_count; i++) {
        pack_preset(&pack, &cfg->presets[i]);
    }
    Pack_Array(&pack, cfg->record_count);
    for (uint32_t i = 0; i < cfg->record_count; i++) {
        pack_record(&pack,
                    &cfg->records[(cfg->record_first + i) % Cfg_RECORDS_MAX]);
    }
    pack_version(&pack, cfg->preset_version);
    Pack_Array(&pack, cfg->evacuation_count);
    for (uint32_t i = 0; i < cfg->evacuation_count; i++) {
        pack_evacuation(&pack, &cfg->evacuations[i]);
    }
    StrBuf_Append(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

static bool
unpack_preset(Unpack *list, StoredPreset *preset)
{
    Unpack in;

    Unpack_Array(list, PRESET_FIELDS, &in);
    StrBuf_Set(&preset->name, unpack_bounded_str(&in, Cfg_NAME_BYTES_MAX));
    StrBuf_Set(&preset->json, unpack_bounded_str(&in, Cfg_JSON_BYTES_MAX));
    preset->changed_in = unpack_version(&in);
    return Unpack_Ok(&in, NULL);
}

static bool
unpack_record(Unpack *list, ChangeRecord *record)
{
    Unpack in;

    Unpack_Array(list, RECORD_FIELDS, &in);
    StrBuf_Set(&record->id, unpack_bounded_str(&in, Cfg_NAME_BYTES_MAX));
    StrBuf_Set(&record->preset_name,
               unpack_bounded_str(&in, Cfg_NAME_BYTES_MAX));
    record->content_hash = Unpack_U64(&in);
    record->base_version = unpack_version(&in);
    record->version = unpack_version(&in);
    record->winner_version = unpack_version(&in);
    record->verb = (ConfigVerb)Unpack_Bounded(&in, Cfg_VERBS - 1);
    record->outcome = (ConfigOutcome)Unpack_Bounded(&in, Cfg_OUTCOMES - 1);
    record->reason = (ConfigRejectReason)Unpack_Bounded(&in, Cfg_REASONS - 1);
    return Unpack_Ok(&in, NULL);
}

static bool
unpack_evacuation(Unpack *list, Evacuation *evacuation)
{
    Unpack in;

    Unpack_Array(list, EVACUATION_FIELDS, &in);
    StrBuf_Set(&evacuation->domain,
               unpack_bounded_str(&in, Cfg_NAME_BYTES_MAX));
    evacuation->is_ended = Unpack_Bool(&in);
    evacuation->changed_in = unpack_version(&in);
    return Unpack_Ok(&in, NULL);
}

/* An older program stored a state without evacuations. */
static bool
unpack_evacuations(Unpack *in, ConfigState *cfg)
{
    Unpack list;
    uint32_t count;

    cfg->preset_version = cfg->version;
    if (!Unpack_HasMore(in)) {
        return true;
    }
    cfg->preset_version = unpack_version(in);
    count = Unpack_Array(in, Cfg_EVACUATIONS_MAX, &list);
    for (uint32_t i = 0; i < count; i++) {
        if (!unpack_evacuation(&list, &cfg->evacuations[i])) {
            return false;
        }
    }
    cfg->evacuation_count = count;
    return true;
}

static bool
unpack_state(Unpack *in, ConfigState *cfg)
{
    Unpack list;
    int64_t in_force;
    uint32_t count;

    cfg->version = unpack_version(in);
    cfg->dropped_base_max = unpack_version(in);
    cfg->routing_revision = Unpack_U64(in);
    cfg->dropped_revision_max = Unpack_U64(in);
    in_force = Unpack_I64(in);
    count = Unpack_Array(in, Cfg_PRESETS_MAX, &list);
    for (uint32_t i = 0; i < count; i++) {
        if (!unpack_preset(&list, &cfg->presets[i])) {
            return false;
        }
    }
    cfg->preset_count = count;
    if (in_force < -1 || in_force >= (int64_t)count) {
        return false;
    }
    cfg->in_force_index = (int32_t)in_force;
    count = Unpack_Array(in, Cfg_RECORDS_MAX, &list);
    for (uint32_t i = 0; i < count; i++) {
        if (!unpack_record(&list, &cfg->records[i])) {
            return false;
        }
    }
    cfg->record_count = count;
    return unpack_evacuations(in, cfg) && Unpack_Ok(in, NULL);
}

bool
Cfg_Deserialize(ConfigState *cfg, Str state, Err *err)
{
    Unpack in;
    ConfigState loaded;
    bool good;

    if (!Unpack_Init(&in, state, err)) {
        return false;
    }
    Cfg_Init(&loaded);
    good = unpack_state(&in, &loaded);
    Unpack_Finish(&in);
    if (!good) {
        Cfg_Finish(&loaded);
        return Err_SET(err, Err_CORRUPT, "malformed configuration state");
    }
    Cfg_Finish(cfg);
    *cfg = loaded;
    return true;
}
