#include "value/mem.h"
#include "version/config.h"

enum { STATE_FIELDS = 9, PRESET_FIELDS = 4, RECORD_FIELDS = 12 };

void
Cfg_PackChange(Pack *pack, const CfgChange *change)
{
    Pack_U64(pack, change->verb);
    Pack_Str(pack, change->id);
    Pack_U64(pack, change->base.term);
    Pack_U64(pack, change->base.index);
    Pack_Str(pack, change->preset);
    Pack_Str(pack, change->json);
}

static Str
take_bounded(Unpack *in, size_t max)
{
    Str text = Unpack_Str(in);

    if (text.len > max) {
        Unpack_Fail(in);
        return (Str){0};
    }
    return text;
}

static CfgVersion
take_version(Unpack *in)
{
    CfgVersion version;

    version.term = Unpack_U64(in);
    version.index = Unpack_U64(in);
    return version;
}

static void
put_version(Pack *pack, CfgVersion version)
{
    Pack_U64(pack, version.term);
    Pack_U64(pack, version.index);
}

void
Cfg_TakeChange(Unpack *in, CfgChange *change)
{
    change->verb = (CfgVerb)Unpack_Bounded(in, Cfg_VERBS - 1);
    change->id = take_bounded(in, Cfg_NAME_MAX);
    change->base = take_version(in);
    change->preset = take_bounded(in, Cfg_NAME_MAX);
    change->json = take_bounded(in, Cfg_JSON_MAX);
}

static void
put_preset(Pack *pack, const CfgPreset *preset)
{
    Pack_Array(pack, PRESET_FIELDS);
    Pack_Str(pack, StrBuf_View(&preset->name));
    Pack_Str(pack, StrBuf_View(&preset->json));
    put_version(pack, preset->changed);
}

static void
put_record(Pack *pack, const CfgRecord *record)
{
    Pack_Array(pack, RECORD_FIELDS);
    Pack_Str(pack, StrBuf_View(&record->id));
    Pack_Str(pack, StrBuf_View(&record->preset));
    Pack_U64(pack, record->content);
    put_version(pack, record->base);
    put_version(pack, record->version);
    put_version(pack, record->winner);
    Pack_U64(pack, record->verb);
    Pack_U64(pack, record->outcome);
    Pack_U64(pack, record->why);
}

void
Cfg_Save(const Cfg *cfg, StrBuf *out)
{
    Pack pack;

    Pack_Init(&pack, STATE_FIELDS);
    put_version(&pack, cfg->version);
    put_version(&pack, cfg->forgotten);
    Pack_U64(&pack, cfg->revision);
    Pack_U64(&pack, cfg->forgotten_revision);
    Pack_I64(&pack, cfg->in_force);
    Pack_Array(&pack, cfg->preset_count);
    for (uint32_t i = 0; i < cfg->preset_count; i++) {
        put_preset(&pack, &cfg->presets[i]);
    }
    Pack_Array(&pack, cfg->record_count);
    for (uint32_t i = 0; i < cfg->record_count; i++) {
        put_record(&pack,
                   &cfg->records[(cfg->record_first + i) % Cfg_RECORDS_MAX]);
    }
    StrBuf_Append(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

static bool
take_preset(Unpack *list, CfgPreset *preset)
{
    Unpack in;

    Unpack_Array(list, PRESET_FIELDS, &in);
    StrBuf_Set(&preset->name, take_bounded(&in, Cfg_NAME_MAX));
    StrBuf_Set(&preset->json, take_bounded(&in, Cfg_JSON_MAX));
    preset->changed = take_version(&in);
    return Unpack_Ok(&in, NULL);
}

static bool
take_record(Unpack *list, CfgRecord *record)
{
    Unpack in;

    Unpack_Array(list, RECORD_FIELDS, &in);
    StrBuf_Set(&record->id, take_bounded(&in, Cfg_NAME_MAX));
    StrBuf_Set(&record->preset, take_bounded(&in, Cfg_NAME_MAX));
    record->content = Unpack_U64(&in);
    record->base = take_version(&in);
    record->version = take_version(&in);
    record->winner = take_version(&in);
    record->verb = (CfgVerb)Unpack_Bounded(&in, Cfg_VERBS - 1);
    record->outcome = (CfgOutcome)Unpack_Bounded(&in, Cfg_OUTCOMES - 1);
    record->why = (CfgWhy)Unpack_Bounded(&in, Cfg_WHYS - 1);
    return Unpack_Ok(&in, NULL);
}

static bool
take_state(Unpack *in, Cfg *cfg)
{
    Unpack list;
    int64_t in_force;
    uint32_t count;

    cfg->version = take_version(in);
    cfg->forgotten = take_version(in);
    cfg->revision = Unpack_U64(in);
    cfg->forgotten_revision = Unpack_U64(in);
    in_force = Unpack_I64(in);
    count = Unpack_Array(in, Cfg_PRESETS_MAX, &list);
    for (uint32_t i = 0; i < count; i++) {
        if (!take_preset(&list, &cfg->presets[i])) {
            return false;
        }
    }
    cfg->preset_count = count;
    if (in_force < -1 || in_force >= (int64_t)count) {
        return false;
    }
    cfg->in_force = (int32_t)in_force;
    count = Unpack_Array(in, Cfg_RECORDS_MAX, &list);
    for (uint32_t i = 0; i < count; i++) {
        if (!take_record(&list, &cfg->records[i])) {
            return false;
        }
    }
    cfg->record_count = count;
    return Unpack_Ok(in, NULL);
}

bool
Cfg_Load(Cfg *cfg, Str state, Err *err)
{
    Unpack in;
    Cfg loaded;
    bool good;

    if (!Unpack_Init(&in, state, err)) {
        return false;
    }
    Cfg_Init(&loaded);
    good = take_state(&in, &loaded);
    Unpack_Finish(&in);
    if (!good) {
        Cfg_Finish(&loaded);
        return Err_SET(err, Err_CORRUPT, "configuration not readable");
    }
    Cfg_Finish(cfg);
    *cfg = loaded;
    return true;
}
