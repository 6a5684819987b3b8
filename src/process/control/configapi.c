#include "process/control/configapi.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>

#include "connection/configmsg.h"
#include "process/control/configapi_request.h"
#include "process/control/configjson.h"
#include "value/json.h"
#include "value/mem.h"

#define TICK Span_MS(50)
#define LEADER_QUERY_RETRY Span_MS(200) /* query another replica */
#define CHANGE_RETRY Span_MS(1000)      /* look for the leader, send again */
#define REQUEST_TIMEOUT Span_MS(6000)   /* of the kinds not named below */
#define VERSIONS_TIMEOUT Span_MS(1000)  /* then the local table is used */

/* Programs that keep the routing ask another node when this one has been
 * silent for a second; an answer before that tells them more. */
#define ROUTING_TIMEOUT Span_MS(800)

void
Configapi_EndRequest(ConfigRequest *pending, OperatorAnswer answer)
{
    ConfigRequest **link = &pending->api->requests;

    while (*link != pending) {
        link = &(*link)->next;
    }
    *link = pending->next;
    Opr_Answer(pending->http_request, answer.status, answer.body);
    StrBuf_Finish(&pending->preset_name);
    StrBuf_Finish(&pending->change_id);
    StrBuf_Finish(&pending->change_json);
    Mem_Free(pending);
}

static ConfigRequest *
find_request(ConfigApi *api, uint64_t number)
{
    for (ConfigRequest *pending = api->requests; pending;
         pending = pending->next) {
        if (pending->number == number) {
            return pending;
        }
    }
    return NULL;
}

static void
send_message(ConfigApi *api, Addr to, Pack *pack, Instant now)
{
    Cnt_Add(api->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(api->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(api->net, to, Pack_View(pack), now);
    Pack_Finish(pack);
}

static bool
needs_leader(const ConfigRequest *pending)
{
    return pending->kind == Configapi_CHANGE ||
           pending->kind == Configapi_CHANGE_ROUTING ||
           pending->kind == Configapi_EVACUATE ||
           pending->kind == Configapi_LIST_VERSIONS;
}

static void
query_replica(ConfigRequest *pending, Instant now)
{
    PresetsRequestMessage msg = {
        .request_number = pending->number,
        .wants_in_force = pending->kind == Configapi_GET_ROUTING,
        .wants_node_versions = pending->kind == Configapi_LIST_VERSIONS,
        .leader_only = needs_leader(pending),
    };
    Pack pack;

    if (pending->kind == Configapi_GET_PRESET) {
        msg.name = StrBuf_View(&pending->preset_name);
    }
    pending->replica_is_leader = false;
    pending->retry_at = now + LEADER_QUERY_RETRY;
    Configmsg_PackPresetsRequest(&pack, &msg);
    send_message(pending->api, pending->replica, &pack, now);
}

static void
send_change(ConfigRequest *pending, Instant now)
{
    ConfigChangeMessage msg = {
        .request_number = pending->number,
        .change = {.verb = pending->verb,
                   .id = StrBuf_View(&pending->change_id),
                   .base_version = pending->base_version,
                   .preset_name = StrBuf_View(&pending->preset_name),
                   .json = StrBuf_View(&pending->change_json)},
    };
    Pack pack;

    pending->replica_is_leader = true;
    pending->unanswered_changes++;
    pending->retry_at = now + CHANGE_RETRY;
    Configmsg_PackChange(&pack, &msg);
    send_message(pending->api, pending->replica, &pack, now);
}

static Addr
choose_next_replica(ConfigApi *api)
{
    const Settings *settings = api->settings;
    Addr replica = Addr_NONE;

    for (size_t i = 0; i < settings->replica_count && !replica; i++) {
        replica = settings->replicas[api->next_replica];
        api->next_replica = api->next_replica + 1 < settings->replica_count
                                ? api->next_replica + 1
                                : 0;
    }
    return replica;
}

/* Queries this node's own replica first, if it has one and any replica can
 * answer.  Otherwise queries the last known leader or, if the leader was
 * queried just now, the next replica of the list. */
void
Configapi_QueryNextReplica(ConfigRequest *pending, Instant now)
{
    ConfigApi *api = pending->api;
    Addr leader = api->version_follower->leader;

    if (!needs_leader(pending) && !pending->replica && api->control->is_open) {
        pending->replica = api->settings->address;
    }
    else if (leader && leader != pending->replica) {
        pending->replica = leader;
    }
    else {
        pending->replica = choose_next_replica(api);
    }
    query_replica(pending, now);
}

static void
answer_versions(ConfigRequest *pending, const NodeVersionTable *nodes,
                ConfigVersion version, Str evacuated, bool current)
{
    const ConfigApi *api = pending->api;
    const Preset *preset = &(*api->in_force)->preset;

    Configapi_EndRequest(
        pending,
        (OperatorAnswer){
            200, Configjson_Versions(api->settings, nodes, version, current,
                                     StrBuf_View(&preset->name), evacuated)});
}

/* Without an answer of the leader, the versions come from this node's own
 * table, which may be out of date. */
static void
answer_local_versions(ConfigRequest *pending)
{
    const ConfigApi *api = pending->api;
    NodeVersionTable nodes = {0};

    Nvs_Fill(&nodes, api->membership);
    answer_versions(pending, &nodes, api->version_follower->newest_heard,
                    StrBuf_View(&api->version_follower->evacuated), false);
    Nvs_Finish(&nodes);
}

static void
end_unanswered(ConfigRequest *pending)
{
    if (pending->kind == Configapi_LIST_VERSIONS) {
        answer_local_versions(pending);
    }
    else if (pending->unanswered_changes) {
        Configapi_EndRequest(
            pending,
            (OperatorAnswer){
                504, Configjson_Outcome(Str_LIT("unknown"),
                                        Str_LIT("no outcome came back: "
                                                "send it again, a change "
                                                "with the same id"))});
    }
    else {
        Configapi_EndRequest(
            pending, (OperatorAnswer){
                         503, Configjson_Outcome(Str_LIT("unreachable"),
                                                 Str_LIT("no leader of the "
                                                         "control replicas "
                                                         "answers"))});
    }
}

/* A change that was sent waits for its outcome, whatever its caller does:
 * sending it again makes the outcome known. */
static Instant
get_deadline(const ConfigRequest *pending)
{
    return pending->began_at +
           (pending->unanswered_changes ? REQUEST_TIMEOUT : pending->patience);
}

static void
on_tick(void *context, Instant now)
{
    ConfigApi *api = context;
    int64_t start = Loop_CpuNs();
    ConfigRequest *next;

    for (ConfigRequest *pending = api->requests; pending; pending = next) {
        next = pending->next;
        if (now >= get_deadline(pending)) {
            end_unanswered(pending);
        }
        else if (now >= pending->retry_at) {
            Configapi_QueryNextReplica(pending, now);
        }
    }
    Cnt_AddNs(api->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static Span
get_patience(ConfigRequestKind kind)
{
    switch (kind) {
    case Configapi_GET_ROUTING:
    case Configapi_CHANGE_ROUTING:
    case Configapi_EVACUATE:
        return ROUTING_TIMEOUT;
    case Configapi_LIST_VERSIONS:
        return VERSIONS_TIMEOUT;
    default:
        return REQUEST_TIMEOUT;
    }
}

ConfigRequest *
Configapi_BeginRequest(ConfigApi *api, struct evhttp_request *request,
                       ConfigRequestKind kind, Instant now)
{
    ConfigRequest *pending = Mem_Alloc(1, sizeof *pending);

    pending->api = api;
    pending->http_request = request;
    pending->kind = kind;
    pending->number = ++api->last_number;
    pending->began_at = now;
    pending->patience = get_patience(kind);
    pending->next = api->requests;
    api->requests = pending;
    return pending;
}

/* Queries LEADER at once, unless the answer that names it came from there. */
static void
redirect_to_leader(ConfigRequest *pending, Addr leader, Instant now)
{
    if (leader && leader != pending->replica) {
        pending->replica = leader;
        query_replica(pending, now);
    }
}

static void
handle_current_presets(ConfigRequest *pending, PresetsReplyMessage *msg,
                       Instant now)
{
    switch (pending->kind) {
    case Configapi_LIST_PRESETS:
        Configapi_EndRequest(pending,
                             (OperatorAnswer){200, Configjson_Presets(msg)});
        break;
    case Configapi_GET_PRESET:
        Configapi_EndRequest(
            pending,
            Configjson_PresetAnswer(msg, StrBuf_View(&pending->preset_name)));
        break;
    case Configapi_GET_ROUTING:
        Configapi_EndRequest(pending, Configapi_RoutingAnswer(msg));
        break;
    case Configapi_LIST_VERSIONS:
        Nvs_AddMissing(&msg->nodes, pending->api->membership);
        answer_versions(pending, &msg->nodes, msg->version, msg->evacuated,
                        true);
        break;
    case Configapi_CHANGE:
    case Configapi_CHANGE_ROUTING:
    case Configapi_EVACUATE:
        if (!pending->replica_is_leader) {
            send_change(pending, now);
        }
        break;
    }
}

static bool
is_replica(const ConfigApi *api, Addr address)
{
    const Settings *settings = api->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] == address) {
            return true;
        }
    }
    return address == settings->address ||
           address == api->version_follower->leader;
}

/* An answer that comes after the next replica was queried counts as well: it
 * was current after the request began. */
static void
handle_presets(ConfigApi *api, Addr from, PresetsReplyMessage *msg,
               Instant now)
{
    ConfigRequest *pending = find_request(api, msg->request_number);

    if (!pending || (from != pending->replica && !is_replica(api, from))) {
        return;
    }
    if (msg->is_current) {
        if (!pending->replica_is_leader) {
            pending->replica = from;
        }
        handle_current_presets(pending, msg, now);
    }
    else if (from == pending->replica) {
        redirect_to_leader(pending, msg->leader, now);
    }
}

static void
on_presets_reply(void *context, const NetOrigin *origin, Unpack *in,
                 Instant now)
{
    ConfigApi *api = context;
    PresetsReplyMessage msg;
    Err err = {0};

    if (Configmsg_ReadPresetsReply(in, &msg, &err)) {
        handle_presets(api, origin->peer, &msg, now);
    }
    else {
        Cnt_Add(api->counters, Cnt_MALFORMED, 1);
    }
    Configmsg_FinishPresetsReply(&msg);
}

static OperatorAnswer
make_change_answer(ConfigRequestKind kind, const ConfigChangeReplyMessage *msg)
{
    switch (kind) {
    case Configapi_CHANGE_ROUTING:
        return Configapi_RevisionAnswer(msg);
    case Configapi_EVACUATE:
        return Configapi_EvacuationAnswer(msg);
    default:
        return Configjson_ChangeAnswer(msg);
    }
}

static void
on_change_reply(void *context, const NetOrigin *origin, Unpack *in,
                Instant now)
{
    ConfigApi *api = context;
    ConfigChangeReplyMessage msg;
    Err err = {0};
    ConfigRequest *pending;

    (void)origin;
    if (!Configmsg_ReadChangeReply(in, &msg, &err)) {
        Cnt_Add(api->counters, Cnt_MALFORMED, 1);
        return;
    }
    pending = find_request(api, msg.request_number);
    if (!pending) {
        return;
    }
    if (msg.is_decided) {
        Configapi_EndRequest(pending, make_change_answer(pending->kind, &msg));
        return;
    }
    pending->unanswered_changes -= pending->unanswered_changes > 0;
    pending->replica_is_leader = false;
    redirect_to_leader(pending, msg.leader, now);
}

static OperatorAnswer
show_presets(void *context, struct evhttp_request *request, Str body,
             Instant now)
{
    (void)body;
    Configapi_QueryNextReplica(
        Configapi_BeginRequest(context, request, Configapi_LIST_PRESETS, now),
        now);
    return (OperatorAnswer){0};
}

static OperatorAnswer
show_versions(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    (void)body;
    Configapi_QueryNextReplica(
        Configapi_BeginRequest(context, request, Configapi_LIST_VERSIONS, now),
        now);
    return (OperatorAnswer){0};
}

static void
read_preset_name(struct evhttp_request *request, StrBuf *name)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq fields;

    if (query && evhttp_parse_query_str(query, &fields) == 0) {
        StrBuf_Set(name, Str_FromC(evhttp_find_header(&fields, "name")));
        evhttp_clear_headers(&fields);
    }
}

static OperatorAnswer
show_preset(void *context, struct evhttp_request *request, Str body,
            Instant now)
{
    ConfigRequest *pending;
    StrBuf name = {0};

    (void)body;
    read_preset_name(request, &name);
    if (name.len == 0 || name.len > Cfg_NAME_BYTES_MAX) {
        StrBuf_Finish(&name);
        return (OperatorAnswer){
            400,
            Opr_Error(Str_LIT("malformed"), Str_LIT("name: 1 to 64 bytes"))};
    }
    pending =
        Configapi_BeginRequest(context, request, Configapi_GET_PRESET, now);
    pending->preset_name = name;
    Configapi_QueryNextReplica(pending, now);
    return (OperatorAnswer){0};
}

static OperatorAnswer
show_replicas(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    const ConfigApi *api = context;

    (void)request;
    (void)body;
    if (!api->settings->control) {
        return (OperatorAnswer){
            404,
            Opr_Error(Str_LIT("no_replica"), Str_LIT("this node is no control "
                                                     "replica"))};
    }
    return (OperatorAnswer){
        200,
        Configjson_Replicas(api->control, Ctl_IsLeading(api->control, now))};
}

static void
read_base(JsonObject *change, ConfigVersion *base, FindingList *findings)
{
    JsonObject o;

    Jsn_Enter(&o, Jsn_Get(change, Str_LIT("base")), Str_LIT("/base"),
              findings);
    base->term = (uint64_t)Jsn_GetInt(&o, Str_LIT("term"), 0, INT64_MAX, 0);
    base->index = (uint64_t)Jsn_GetInt(&o, Str_LIT("index"), 0, INT64_MAX, 0);
    Jsn_Leave(&o);
}

static void
read_preset(ConfigRequest *pending, JsonObject *change)
{
    json_t *preset = Jsn_Get(change, Str_LIT("preset"));
    char *text;

    if ((pending->verb == Cfg_PUT_PRESET) != json_is_object(preset)) {
        Jsn_AddFinding(change, Str_LIT("preset"),
                       Str_LIT("does not fit the verb"),
                       Str_LIT("an object with put, nothing with use"));
        return;
    }
    text = preset ? json_dumps(preset, JSON_COMPACT) : NULL;
    StrBuf_Set(&pending->change_json, Str_FromC(text));
    free(text);
}

/* The control replica would reject the whole message if a bound were
 * exceeded, so the bounds are checked here, where the operator gets
 * findings. */
static void
check_bounds(const ConfigRequest *pending, FindingList *findings)
{
    ConfigChange change = {
        .verb = pending->verb,
        .id = StrBuf_View(&pending->change_id),
        .preset_name = StrBuf_View(&pending->preset_name),
        .json = StrBuf_View(&pending->change_json),
    };

    Cfg_ValidateChange(&change, findings);
}

static bool
read_change(ConfigRequest *pending, Str body, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    StrBuf verb = {0};
    JsonObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("id"), true, &pending->change_id);
    Jsn_GetStr(&o, Str_LIT("name"), true, &pending->preset_name);
    Jsn_GetStr(&o, Str_LIT("verb"), true, &verb);
    read_base(&o, &pending->base_version, findings);
    if (!Cfg_ParseVerb(StrBuf_View(&verb), &pending->verb) ||
        pending->verb > Cfg_USE_PRESET) {
        Jsn_AddFinding(&o, Str_LIT("verb"), Str_LIT("no such verb"),
                       Str_LIT("put or use"));
    }
    read_preset(pending, &o);
    Jsn_Leave(&o);
    if (findings->count == 0) {
        check_bounds(pending, findings);
    }
    json_decref(root);
    StrBuf_Finish(&verb);
    return findings->count == 0;
}

static OperatorAnswer
on_change(void *context, struct evhttp_request *request, Str body, Instant now)
{
    ConfigRequest *pending =
        Configapi_BeginRequest(context, request, Configapi_CHANGE, now);
    FindingList findings;
    StrBuf text = {0};

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("change"));
    if (read_change(pending, body, &findings)) {
        Configapi_QueryNextReplica(pending, now);
    }
    else {
        Fnd_Print(&findings, &text);
        Configapi_EndRequest(
            pending,
            (OperatorAnswer){400, Configjson_Outcome(Str_LIT("refused"),
                                                     StrBuf_View(&text))});
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    return (OperatorAnswer){0};
}

void
Configapi_Init(ConfigApi *api, Loop *loop, Net *net, Counters *counters,
               const Settings *settings,
               const VersionFollower *version_follower,
               const MembershipTable *membership,
               const ControlReplica *control, SharedPreset *const *in_force)
{
    *api = (ConfigApi){
        .settings = settings,
        .net = net,
        .counters = counters,
        .version_follower = version_follower,
        .membership = membership,
        .control = control,
        .in_force = in_force,
    };
    Net_SetHandler(net, Wire_PRESETS_REPLY, on_presets_reply, api);
    Net_SetHandler(net, Wire_CONFIG_CHANGE_REPLY, on_change_reply, api);
    LoopTimer_Init(&api->tick, loop, TICK, on_tick, api);
}

void
Configapi_Finish(ConfigApi *api)
{
    LoopTimer_Finish(&api->tick);
    while (api->requests) {
        end_unanswered(api->requests);
    }
}

void
Configapi_Serve(ConfigApi *api, OperatorApi *opr)
{
    Opr_AddPath(opr, Str_LIT("/v1/presets"), true, show_presets, api);
    Opr_AddPath(opr, Str_LIT("/v1/presets/show"), true, show_preset, api);
    Opr_AddPath(opr, Str_LIT("/v1/change"), true, on_change, api);
    Opr_AddPath(opr, Str_LIT("/v1/versions"), true, show_versions, api);
    Opr_AddPath(opr, Str_LIT("/v1/replicas"), true, show_replicas, api);
    Configapi_ServeRouting(api, opr);
    Configapi_ServeEvacuations(api, opr);
}
