#include "process/control/configjson.h"

#include <inttypes.h>

#include "process/operators/opjson.h"

json_t *
Configjson_Outcome(Str outcome, Str detail)
{
    return json_pack("{s:o, s:o}", "outcome", Opj_Str(outcome), "detail",
                     Opj_Str(detail));
}

static json_t *
make_json_conflict(const ConfigResult *result)
{
    json_t *body = Configjson_Outcome(
        Str_LIT("conflict"), Str_LIT("the base is not the version in force"));

    json_object_set_new(body, "version", Opj_Version(result->version));
    if (result->has_winner) {
        json_object_set_new(
            body, "winner",
            json_pack("{s:o, s:o, s:o, s:o}", "id", Opj_Str(result->winner_id),
                      "verb", Opj_Str(Cfg_VerbName(result->winner_verb)),
                      "name", Opj_Str(result->winner_preset), "version",
                      Opj_Version(result->winner_version)));
    }
    return body;
}

OperatorAnswer
Configjson_ChangeAnswer(const ConfigChangeReplyMessage *msg)
{
    const ConfigResult *result = &msg->result;

    switch (result->outcome) {
    case Cfg_ACCEPTED:
        return (OperatorAnswer){200, json_pack("{s:s, s:o, s:b}", "outcome",
                                               "accepted", "version",
                                               Opj_Version(result->version),
                                               "again", result->is_repeat)};
    case Cfg_CONFLICT:
        return (OperatorAnswer){409, make_json_conflict(result)};
    case Cfg_REJECTED:
        return (OperatorAnswer){
            400, Configjson_Outcome(Str_LIT("refused"), msg->detail)};
    default:
        return (OperatorAnswer){
            504, Configjson_Outcome(Str_LIT("unknown"),
                                    Str_LIT("the change may be older than the "
                                            "outcomes that are kept"))};
    }
}

json_t *
Configjson_Presets(const PresetsReplyMessage *msg)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < msg->count; i++) {
        json_array_append_new(
            list, json_pack("{s:o, s:o}", "name", Opj_Str(msg->items[i].name),
                            "version", Opj_Version(msg->items[i].changed_in)));
    }
    return json_pack("{s:o, s:o, s:o}", "version", Opj_Version(msg->version),
                     "in_force", Opj_Str(msg->in_force), "presets", list);
}

static ConfigVersion
find_preset_version(const PresetsReplyMessage *msg, Str name)
{
    for (uint32_t i = 0; i < msg->count; i++) {
        if (Str_Equal(msg->items[i].name, name)) {
            return msg->items[i].changed_in;
        }
    }
    return (ConfigVersion){0};
}

OperatorAnswer
Configjson_PresetAnswer(const PresetsReplyMessage *msg, Str name)
{
    json_t *preset =
        json_loadb(msg->json.ptr ? msg->json.ptr : "", msg->json.len, 0, NULL);

    if (!preset) {
        return (OperatorAnswer){
            404, Opr_Error(Str_LIT("no_preset"),
                           Str_LIT("there is none of that name"))};
    }
    return (OperatorAnswer){
        200, json_pack("{s:o, s:o, s:o, s:o}", "name", Opj_Str(name),
                       "version", Opj_Version(msg->version), "changed",
                       Opj_Version(find_preset_version(msg, name)), "preset",
                       preset)};
}

static json_t *
make_json_region(const Settings *settings, uint16_t domain)
{
    return domain < settings->domain_count
               ? Opj_Str(StrBuf_View(&settings->domains[domain].region))
               : json_null();
}

static json_t *
make_json_domain(const Settings *settings, uint16_t domain)
{
    return domain < settings->domain_count
               ? Opj_Str(StrBuf_View(&settings->domains[domain].name))
               : json_null();
}

/* An array of the lines of TEXT. */
static json_t *
make_json_list(Str text)
{
    json_t *list = json_array();

    while (text.len) {
        size_t end = Str_Find(text, '\n');
        json_array_append_new(list, Opj_Str(Str_Slice(text, 0, end)));
        text = Str_Slice(text, end + 1, text.len);
    }
    return list;
}

json_t *
Configjson_Versions(const Settings *settings, const NodeVersionTable *nodes,
                    ConfigVersion version, bool current, Str preset,
                    Str evacuated)
{
    json_t *list = json_array();
    json_t *missing = json_array();

    for (uint32_t i = 0; i < nodes->count; i++) {
        const NodeVersion *row = &nodes->rows[i];
        json_array_append_new(
            list,
            json_pack("{s:o, s:o, s:o, s:o, s:b}", "node", Opj_Addr(row->node),
                      "region", make_json_region(settings, row->domain),
                      "failure_domain",
                      make_json_domain(settings, row->domain), "version",
                      Opj_Version(row->version), "here", row->is_present));
        if (row->is_present &&
            Cfg_CompareVersions(row->version, version) < 0) {
            json_array_append_new(missing, Opj_Addr(row->node));
        }
    }
    return json_pack("{s:o, s:b, s:o, s:o, s:o, s:o}", "version",
                     Opj_Version(version), "current", current, "preset",
                     Opj_Str(preset), "evacuated", make_json_list(evacuated),
                     "nodes", list, "missing", missing);
}

static json_t *
make_json_identity(uint64_t identity)
{
    StrBuf text = {0};
    json_t *value;

    StrBuf_AppendFmt(&text, "%016" PRIx64, identity);
    value = Opj_Str(StrBuf_View(&text));
    StrBuf_Finish(&text);
    return value;
}

json_t *
Configjson_Replicas(const ControlReplica *control, bool current)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < control->replicas.count; i++) {
        const RaftReplica *replica = &control->replicas.items[i];
        json_array_append_new(list,
                              json_pack("{s:o, s:o, s:b, s:b}", "node",
                                        Opj_Addr(replica->addr), "identity",
                                        make_json_identity(replica->identity),
                                        "voter", replica->is_voter, "genesis",
                                        replica->is_initial));
    }
    return json_pack("{s:b, s:b, s:o, s:I, s:I, s:o}", "running",
                     control->is_open, "current", current, "leader",
                     Opj_Addr(Ctl_Leader(control)), "term",
                     (json_int_t)control->rlog.term, "commit",
                     (json_int_t)control->rlog.commit_index, "replicas", list);
}
