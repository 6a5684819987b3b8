#include "connection/configmsg.h"

enum {
    CHANGED_FIELDS = 15,
    VERSION_ASK_FIELDS = 6,
    VERSION_FIELDS = 6,
    PRESETS_ASK_FIELDS = 5,
    PRESETS_FIELDS = 9,
    ITEM_FIELDS = 3,
    NODE_FIELDS = 5
};

static void
put_version(Pack *pack, ConfigVersion version)
{
    Pack_U64(pack, version.term);
    Pack_U64(pack, version.index);
}

static ConfigVersion
take_version(Unpack *in)
{
    ConfigVersion version;

    version.term = Unpack_U64(in);
    version.index = Unpack_U64(in);
    return version;
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

void
Configmsg_PackChange(Pack *pack, const ChangeMsg *msg)
{
    Wire_Begin(pack, Wire_CHANGE, Cfg_CHANGE_FIELDS + 1);
    Pack_U64(pack, msg->ask);
    Cfg_PackChange(pack, &msg->change);
}

bool
Configmsg_ReadChange(Unpack *in, ChangeMsg *msg, Err *err)
{
    msg->ask = Unpack_U64(in);
    Cfg_UnpackChange(in, &msg->change);
    return Unpack_Ok(in, err);
}

void
Configmsg_PackChanged(Pack *pack, const ChangedMsg *msg)
{
    const ConfigResult *result = &msg->result;

    Wire_Begin(pack, Wire_CHANGED, CHANGED_FIELDS);
    Pack_U64(pack, msg->ask);
    Pack_Bool(pack, msg->decided);
    Pack_U64(pack, msg->leader);
    Pack_U64(pack, result->outcome);
    Pack_U64(pack, result->reason);
    Pack_Bool(pack, result->is_repeat);
    put_version(pack, result->version);
    Pack_Bool(pack, result->has_winner);
    Pack_Str(pack, result->winner_id);
    Pack_U64(pack, result->winner_verb);
    Pack_Str(pack, result->winner_preset);
    put_version(pack, result->winner_version);
    Pack_Str(pack, msg->detail);
}

bool
Configmsg_ReadChanged(Unpack *in, ChangedMsg *msg, Err *err)
{
    ConfigResult *result = &msg->result;

    msg->ask = Unpack_U64(in);
    msg->decided = Unpack_Bool(in);
    msg->leader = Unpack_U64(in);
    result->outcome = (ConfigOutcome)Unpack_Bounded(in, Cfg_OUTCOMES - 1);
    result->reason = (ConfigRejectReason)Unpack_Bounded(in, Cfg_REASONS - 1);
    result->is_repeat = Unpack_Bool(in);
    result->version = take_version(in);
    result->has_winner = Unpack_Bool(in);
    result->winner_id = take_bounded(in, Cfg_NAME_BYTES_MAX);
    result->winner_verb = (ConfigVerb)Unpack_Bounded(in, Cfg_VERBS - 1);
    result->winner_preset = take_bounded(in, Cfg_NAME_BYTES_MAX);
    result->winner_version = take_version(in);
    msg->detail = take_bounded(in, Configmsg_DETAIL_MAX);
    return Unpack_Ok(in, err);
}

void
Configmsg_PackVersionAsk(Pack *pack, const VersionAskMsg *msg)
{
    Wire_Begin(pack, Wire_VERSION_ASK, VERSION_ASK_FIELDS);
    Pack_U64(pack, msg->node);
    put_version(pack, msg->have);
    Pack_Bool(pack, msg->wanted);
    Pack_Bool(pack, msg->confirm);
    Suspectmsg_PutWord(pack, &msg->suspects);
}

bool
Configmsg_ReadVersionAsk(Unpack *in, VersionAskMsg *msg, Err *err)
{
    msg->node = Unpack_U64(in);
    msg->have = take_version(in);
    msg->wanted = Unpack_Bool(in);
    msg->confirm = Unpack_Bool(in);
    Suspectmsg_TakeWord(in, &msg->suspects);
    return Unpack_Ok(in, err);
}

void
Configmsg_PackVersion(Pack *pack, const VersionMsg *msg)
{
    Wire_Begin(pack, Wire_VERSION, VERSION_FIELDS);
    Pack_Bool(pack, msg->current);
    Pack_Bool(pack, msg->linked);
    Pack_U64(pack, msg->leader);
    put_version(pack, msg->version);
    Pack_Str(pack, msg->json);
}

bool
Configmsg_ReadVersion(Unpack *in, VersionMsg *msg, Err *err)
{
    msg->current = Unpack_Bool(in);
    msg->linked = Unpack_Bool(in);
    msg->leader = Unpack_U64(in);
    msg->version = take_version(in);
    msg->json = take_bounded(in, Cfg_JSON_BYTES_MAX);
    return Unpack_Ok(in, err);
}

void
Configmsg_PackPresetsAsk(Pack *pack, const PresetsAskMsg *msg)
{
    Wire_Begin(pack, Wire_PRESETS_ASK, PRESETS_ASK_FIELDS);
    Pack_U64(pack, msg->ask);
    Pack_Str(pack, msg->name);
    Pack_Bool(pack, msg->in_force);
    Pack_Bool(pack, msg->versions);
    Pack_Bool(pack, msg->leader);
}

bool
Configmsg_ReadPresetsAsk(Unpack *in, PresetsAskMsg *msg, Err *err)
{
    msg->ask = Unpack_U64(in);
    msg->name = take_bounded(in, Cfg_NAME_BYTES_MAX);
    msg->in_force = Unpack_Bool(in);
    msg->versions = Unpack_Bool(in);
    msg->leader = Unpack_Bool(in);
    return Unpack_Ok(in, err);
}

static void
put_nodes(Pack *pack, const NodeVersionTable *nodes)
{
    Pack_Array(pack, nodes->count);
    for (uint32_t i = 0; i < nodes->count; i++) {
        const NodeVersion *row = &nodes->rows[i];
        Pack_Array(pack, NODE_FIELDS);
        Pack_U64(pack, row->node);
        Pack_U64(pack, row->domain);
        put_version(pack, row->version);
        Pack_Bool(pack, row->is_present);
    }
}

void
Configmsg_PackPresets(Pack *pack, const PresetsMsg *msg)
{
    Wire_Begin(pack, Wire_PRESETS, PRESETS_FIELDS);
    Pack_U64(pack, msg->ask);
    Pack_Bool(pack, msg->current);
    Pack_U64(pack, msg->leader);
    put_version(pack, msg->version);
    Pack_Str(pack, msg->in_force);
    Pack_Str(pack, msg->json);
    Pack_Array(pack, msg->count);
    for (uint32_t i = 0; i < msg->count; i++) {
        Pack_Array(pack, ITEM_FIELDS);
        Pack_Str(pack, msg->items[i].name);
        put_version(pack, msg->items[i].changed);
    }
    put_nodes(pack, &msg->nodes);
}

static bool
take_item(Unpack *list, PresetsItem *item)
{
    Unpack in;

    Unpack_Array(list, ITEM_FIELDS, &in);
    item->name = take_bounded(&in, Cfg_NAME_BYTES_MAX);
    item->changed = take_version(&in);
    return Unpack_Ok(&in, NULL);
}

static bool
take_node(Unpack *list, NodeVersion *row)
{
    Unpack in;

    Unpack_Array(list, NODE_FIELDS, &in);
    row->node = Unpack_U64(&in);
    row->domain = (uint16_t)Unpack_Bounded(&in, UINT16_MAX);
    row->version = take_version(&in);
    row->is_present = Unpack_Bool(&in);
    return Unpack_Ok(&in, NULL);
}

static void
take_nodes(Unpack *in, NodeVersionTable *nodes)
{
    Unpack list;
    uint32_t count = Unpack_Array(in, Mbr_ROWS_MAX, &list);

    Nvs_Resize(nodes, count);
    for (uint32_t i = 0; i < count; i++) {
        if (!take_node(&list, &nodes->rows[i])) {
            nodes->count = i;
            Unpack_Fail(in);
            break;
        }
    }
}

bool
Configmsg_ReadPresets(Unpack *in, PresetsMsg *msg, Err *err)
{
    Unpack list;
    uint32_t count;

    msg->ask = Unpack_U64(in);
    msg->current = Unpack_Bool(in);
    msg->leader = Unpack_U64(in);
    msg->version = take_version(in);
    msg->in_force = take_bounded(in, Cfg_NAME_BYTES_MAX);
    msg->json = take_bounded(in, Cfg_JSON_BYTES_MAX);
    msg->nodes = (NodeVersionTable){0};
    count = Unpack_Array(in, Cfg_PRESETS_MAX, &list);
    msg->count = count;
    for (uint32_t i = 0; i < count; i++) {
        if (!take_item(&list, &msg->items[i])) {
            Unpack_Fail(in);
            break;
        }
    }
    take_nodes(in, &msg->nodes);
    return Unpack_Ok(in, err);
}

void
Configmsg_FinishPresets(PresetsMsg *msg)
{
    Nvs_Finish(&msg->nodes);
}
