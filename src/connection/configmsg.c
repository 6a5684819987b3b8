#include "connection/configmsg.h"

enum {
    CHANGE_REPLY_FIELDS = 15,
    VERSION_REQUEST_FIELDS = 7,
    VERSION_FIELDS = 9,
    PRESETS_REQUEST_FIELDS = 5,
    PRESETS_REPLY_FIELDS = 10,
    SUMMARY_FIELDS = 3,
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
Configmsg_PackChange(Pack *pack, const ConfigChangeMessage *msg)
{
    Wire_Begin(pack, Wire_CONFIG_CHANGE, Cfg_CHANGE_FIELDS + 1);
    Pack_U64(pack, msg->request_number);
    Cfg_PackChange(pack, &msg->change);
}

bool
Configmsg_ReadChange(Unpack *in, ConfigChangeMessage *msg, Err *err)
{
    msg->request_number = Unpack_U64(in);
    Cfg_UnpackChange(in, &msg->change);
    return Unpack_Ok(in, err);
}

void
Configmsg_PackChangeReply(Pack *pack, const ConfigChangeReplyMessage *msg)
{
    const ConfigResult *result = &msg->result;

    Wire_Begin(pack, Wire_CONFIG_CHANGE_REPLY, CHANGE_REPLY_FIELDS);
    Pack_U64(pack, msg->request_number);
    Pack_Bool(pack, msg->is_decided);
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
Configmsg_ReadChangeReply(Unpack *in, ConfigChangeReplyMessage *msg, Err *err)
{
    ConfigResult *result = &msg->result;

    msg->request_number = Unpack_U64(in);
    msg->is_decided = Unpack_Bool(in);
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
Configmsg_PackVersionRequest(Pack *pack, const VersionRequestMessage *msg)
{
    Wire_Begin(pack, Wire_VERSION_REQUEST, VERSION_REQUEST_FIELDS);
    Pack_U64(pack, msg->node);
    put_version(pack, msg->known_version);
    Pack_Bool(pack, msg->wants_json);
    Pack_Bool(pack, msg->must_be_current);
    Pack_U64(pack, (uint64_t)msg->sent_at);
    Suspectmsg_PutSummary(pack, &msg->suspects);
}

bool
Configmsg_ReadVersionRequest(Unpack *in, VersionRequestMessage *msg, Err *err)
{
    msg->node = Unpack_U64(in);
    msg->known_version = take_version(in);
    msg->wants_json = Unpack_Bool(in);
    msg->must_be_current = Unpack_Bool(in);
    msg->sent_at = (Instant)Unpack_Bounded(in, INT64_MAX);
    Suspectmsg_TakeSummary(in, &msg->suspects);
    return Unpack_Ok(in, err);
}

static uint64_t
round_up_to_ms(Span age)
{
    return age < Configmsg_AGE_NOT_KNOWN
               ? (uint64_t)((age + Span_MS(1) - 1) / Span_MS(1))
               : UINT32_MAX;
}

void
Configmsg_PackVersion(Pack *pack, const VersionMessage *msg)
{
    Wire_Begin(pack, Wire_VERSION, VERSION_FIELDS);
    Pack_Bool(pack, msg->is_current);
    Pack_U64(pack, round_up_to_ms(msg->age));
    Pack_U64(pack, (uint64_t)msg->request_sent_at);
    Pack_U64(pack, msg->leader);
    put_version(pack, msg->version);
    Pack_Str(pack, msg->json);
    Pack_Bool(pack, msg->is_same_preset);
    Pack_Str(pack, msg->evacuated);
}

bool
Configmsg_ReadVersion(Unpack *in, VersionMessage *msg, Err *err)
{
    msg->is_current = Unpack_Bool(in);
    msg->age = Span_MS(Unpack_Bounded(in, UINT32_MAX));
    msg->request_sent_at = (Instant)Unpack_Bounded(in, INT64_MAX);
    msg->leader = Unpack_U64(in);
    msg->version = take_version(in);
    msg->json = take_bounded(in, Cfg_JSON_BYTES_MAX);
    msg->is_same_preset = Unpack_Bool(in);
    msg->evacuated = take_bounded(in, Cfg_EVACUATED_BYTES_MAX);
    return Unpack_Ok(in, err);
}

void
Configmsg_PackPresetsRequest(Pack *pack, const PresetsRequestMessage *msg)
{
    Wire_Begin(pack, Wire_PRESETS_REQUEST, PRESETS_REQUEST_FIELDS);
    Pack_U64(pack, msg->request_number);
    Pack_Str(pack, msg->name);
    Pack_Bool(pack, msg->wants_in_force);
    Pack_Bool(pack, msg->wants_node_versions);
    Pack_Bool(pack, msg->leader_only);
}

bool
Configmsg_ReadPresetsRequest(Unpack *in, PresetsRequestMessage *msg, Err *err)
{
    msg->request_number = Unpack_U64(in);
    msg->name = take_bounded(in, Cfg_NAME_BYTES_MAX);
    msg->wants_in_force = Unpack_Bool(in);
    msg->wants_node_versions = Unpack_Bool(in);
    msg->leader_only = Unpack_Bool(in);
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
Configmsg_PackPresetsReply(Pack *pack, const PresetsReplyMessage *msg)
{
    Wire_Begin(pack, Wire_PRESETS_REPLY, PRESETS_REPLY_FIELDS);
    Pack_U64(pack, msg->request_number);
    Pack_Bool(pack, msg->is_current);
    Pack_U64(pack, msg->leader);
    put_version(pack, msg->version);
    Pack_Str(pack, msg->in_force);
    Pack_Str(pack, msg->json);
    Pack_Str(pack, msg->evacuated);
    Pack_Array(pack, msg->count);
    for (uint32_t i = 0; i < msg->count; i++) {
        Pack_Array(pack, SUMMARY_FIELDS);
        Pack_Str(pack, msg->items[i].name);
        put_version(pack, msg->items[i].changed_in);
    }
    put_nodes(pack, &msg->nodes);
}

static bool
take_summary(Unpack *list, PresetSummary *summary)
{
    Unpack in;

    Unpack_Array(list, SUMMARY_FIELDS, &in);
    summary->name = take_bounded(&in, Cfg_NAME_BYTES_MAX);
    summary->changed_in = take_version(&in);
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
Configmsg_ReadPresetsReply(Unpack *in, PresetsReplyMessage *msg, Err *err)
{
    Unpack list;
    uint32_t count;

    msg->request_number = Unpack_U64(in);
    msg->is_current = Unpack_Bool(in);
    msg->leader = Unpack_U64(in);
    msg->version = take_version(in);
    msg->in_force = take_bounded(in, Cfg_NAME_BYTES_MAX);
    msg->json = take_bounded(in, Cfg_JSON_BYTES_MAX);
    msg->evacuated = take_bounded(in, Cfg_EVACUATED_BYTES_MAX);
    msg->nodes = (NodeVersionTable){0};
    count = Unpack_Array(in, Cfg_PRESETS_MAX, &list);
    msg->count = count;
    for (uint32_t i = 0; i < count; i++) {
        if (!take_summary(&list, &msg->items[i])) {
            Unpack_Fail(in);
            break;
        }
    }
    take_nodes(in, &msg->nodes);
    return Unpack_Ok(in, err);
}

void
Configmsg_FinishPresetsReply(PresetsReplyMessage *msg)
{
    Nvs_Finish(&msg->nodes);
}
