#include "process/configapi.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>

#include "connection/configmsg.h"
#include "process/configapi_request.h"
#include "process/configjson.h"
#include "value/json.h"
#include "value/mem.h"

#define TICK Span_MS(50)
#define FIND_AGAIN Span_MS(300)
#define SEND_AGAIN Span_MS(1000)
#define WAIT Span_MS(6000)          /* for an outcome */
#define WAIT_VERSIONS Span_MS(1000) /* for the leader's version */

void
Configapi_EndRequest(ConfigRequest *ask, OprAnswer answer)
{
    ConfigRequest **at = &ask->api->requests;

    while (*at != ask) {
        at = &(*at)->next;
    }
    *at = ask->next;
    Opr_Answer(ask->http_request, answer.status, answer.body);
    StrBuf_Finish(&ask->preset_name);
    StrBuf_Finish(&ask->change_id);
    StrBuf_Finish(&ask->change_json);
    Mem_Free(ask);
}

static ConfigRequest *
find_ask(ConfigApi *changes, uint64_t number)
{
    for (ConfigRequest *ask = changes->requests; ask; ask = ask->next) {
        if (ask->number == number) {
            return ask;
        }
    }
    return NULL;
}

static void
send_message(ConfigApi *changes, Addr to, Pack *pack, Instant now)
{
    Cnt_Add(changes->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(changes->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(changes->net, to, Pack_View(pack), now);
    Pack_Finish(pack);
}

static bool
needs_leader(const ConfigRequest *ask)
{
    return ask->kind == Configapi_CHANGE ||
           ask->kind == Configapi_LIST_VERSIONS;
}

static void
send_presets_ask(ConfigRequest *ask, Instant now)
{
    PresetsAskMsg msg = {
        .ask = ask->number,
        .in_force = ask->kind == Configapi_GET_ROUTING,
        .versions = ask->kind == Configapi_LIST_VERSIONS,
        .leader = needs_leader(ask),
    };
    Pack pack;

    if (ask->kind == Configapi_GET_PRESET) {
        msg.name = StrBuf_View(&ask->preset_name);
    }
    ask->replica_is_leader = false;
    ask->retry_at = now + FIND_AGAIN;
    Configmsg_PackPresetsAsk(&pack, &msg);
    send_message(ask->api, ask->replica, &pack, now);
}

static void
send_change(ConfigRequest *ask, Instant now)
{
    ChangeMsg msg = {
        .ask = ask->number,
        .change = {.verb = ask->verb,
                   .id = StrBuf_View(&ask->change_id),
                   .base = ask->base_version,
                   .preset = StrBuf_View(&ask->preset_name),
                   .json = StrBuf_View(&ask->change_json)},
    };
    Pack pack;

    ask->replica_is_leader = true;
    ask->unanswered_changes++;
    ask->retry_at = now + SEND_AGAIN;
    Configmsg_PackChange(&pack, &msg);
    send_message(ask->api, ask->replica, &pack, now);
}

static Addr
next_replica(ConfigApi *changes)
{
    const Settings *settings = changes->settings;
    Addr replica = Addr_NONE;

    for (size_t i = 0; i < settings->replica_count && !replica; i++) {
        replica = settings->replicas[changes->next_replica];
        changes->next_replica =
            changes->next_replica + 1 < settings->replica_count
                ? changes->next_replica + 1
                : 0;
    }
    return replica;
}

/* Ask the replica on this VM first where any can answer, then the leader as
 * last told, else the next replica of the list. */
void
Configapi_QueryNextReplica(ConfigRequest *ask, Instant now)
{
    ConfigApi *changes = ask->api;
    Addr known = changes->version_follower->leader;

    if (!needs_leader(ask) && !ask->replica && changes->control->is_open) {
        ask->replica = changes->settings->address;
    }
    else if (known && known != ask->replica) {
        ask->replica = known;
    }
    else {
        ask->replica = next_replica(changes);
    }
    send_presets_ask(ask, now);
}

static void
answer_versions(ConfigRequest *ask, const NodeVersionTable *nodes,
                CfgVersion version, bool current)
{
    const ConfigApi *changes = ask->api;
    const Preset *preset = &(*changes->in_force)->preset;

    Configapi_EndRequest(
        ask, (OprAnswer){200, Configjson_Versions(
                                  changes->settings, nodes, version, current,
                                  StrBuf_View(&preset->name))});
}

/* No leader tells: the versions are as old as this node's own table. */
static void
answer_own_versions(ConfigRequest *ask)
{
    const ConfigApi *changes = ask->api;
    NodeVersionTable nodes = {0};

    Nvs_Fill(&nodes, changes->membership);
    answer_versions(ask, &nodes, changes->version_follower->newest_heard,
                    false);
    Nvs_Finish(&nodes);
}

static void
give_up(ConfigRequest *ask)
{
    if (ask->kind == Configapi_LIST_VERSIONS) {
        answer_own_versions(ask);
    }
    else if (ask->unanswered_changes) {
        Configapi_EndRequest(
            ask, (OprAnswer){
                     504, Configjson_Outcome(Str_LIT("unknown"),
                                             Str_LIT("no outcome came back: "
                                                     "send it again with the "
                                                     "same id"))});
    }
    else {
        Configapi_EndRequest(
            ask,
            (OprAnswer){503, Configjson_Outcome(Str_LIT("unreachable"),
                                                Str_LIT("no leader of the "
                                                        "control replicas "
                                                        "answers"))});
    }
}

static void
on_tick(void *context, Instant now)
{
    ConfigApi *changes = context;
    int64_t start = Loop_CpuNs();
    ConfigRequest *next;

    for (ConfigRequest *ask = changes->requests; ask; ask = next) {
        next = ask->next;
        if (now >= ask->deadline) {
            give_up(ask);
        }
        else if (now >= ask->retry_at) {
            Configapi_QueryNextReplica(ask, now);
        }
    }
    Cnt_AddNs(changes->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

ConfigRequest *
Configapi_BeginRequest(ConfigApi *changes, struct evhttp_request *request,
                       ConfigRequestKind kind, Instant now)
{
    ConfigRequest *ask = Mem_Alloc(1, sizeof *ask);

    ask->api = changes;
    ask->http_request = request;
    ask->kind = kind;
    ask->number = ++changes->last_number;
    ask->deadline =
        now + (kind == Configapi_LIST_VERSIONS ? WAIT_VERSIONS : WAIT);
    ask->next = changes->requests;
    changes->requests = ask;
    return ask;
}

/* Another replica leads: ask that one at once, unless it was asked just now.
 */
static void
turn_to(ConfigRequest *ask, Addr leader, Instant now)
{
    if (leader && leader != ask->replica) {
        ask->replica = leader;
        send_presets_ask(ask, now);
    }
}

static void
take_presets(ConfigRequest *ask, PresetsMsg *msg, Instant now)
{
    switch (ask->kind) {
    case Configapi_LIST_PRESETS:
        Configapi_EndRequest(ask, (OprAnswer){200, Configjson_Presets(msg)});
        break;
    case Configapi_GET_PRESET:
        Configapi_EndRequest(
            ask, Configjson_PresetAnswer(msg, StrBuf_View(&ask->preset_name)));
        break;
    case Configapi_GET_ROUTING:
        Configapi_EndRequest(ask, Configapi_RoutingAnswer(msg));
        break;
    case Configapi_LIST_VERSIONS:
        Nvs_AddMissing(&msg->nodes, ask->api->membership);
        answer_versions(ask, &msg->nodes, msg->version, true);
        break;
    case Configapi_CHANGE:
        if (!ask->replica_is_leader) {
            send_change(ask, now);
        }
        break;
    }
}

static void
take_message(ConfigApi *changes, Addr from, PresetsMsg *msg, Instant now)
{
    ConfigRequest *ask = find_ask(changes, msg->ask);

    if (!ask || from != ask->replica) {
        return;
    }
    if (msg->current) {
        take_presets(ask, msg, now);
    }
    else {
        turn_to(ask, msg->leader, now);
    }
}

static void
on_presets(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ConfigApi *changes = context;
    PresetsMsg msg;
    Err err = {0};

    if (Configmsg_ReadPresets(in, &msg, &err)) {
        take_message(changes, origin->peer, &msg, now);
    }
    else {
        Cnt_Add(changes->counters, Cnt_MALFORMED, 1);
    }
    Configmsg_FinishPresets(&msg);
}

static void
on_changed(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ConfigApi *changes = context;
    ChangedMsg msg;
    Err err = {0};
    ConfigRequest *ask;

    (void)origin;
    if (!Configmsg_ReadChanged(in, &msg, &err)) {
        Cnt_Add(changes->counters, Cnt_MALFORMED, 1);
        return;
    }
    ask = find_ask(changes, msg.ask);
    if (!ask) {
        return;
    }
    if (msg.decided) {
        Configapi_EndRequest(ask, ask->verb == Cfg_ROUTE ||
                                          ask->verb == Cfg_ROUTE_PATCH
                                      ? Configapi_RevisionAnswer(&msg)
                                      : Configjson_ChangeAnswer(&msg));
        return;
    }
    ask->unanswered_changes -= ask->unanswered_changes > 0;
    ask->replica_is_leader = false;
    turn_to(ask, msg.leader, now);
}

static OprAnswer
show_presets(void *context, struct evhttp_request *request, Str body,
             Instant now)
{
    (void)body;
    Configapi_QueryNextReplica(
        Configapi_BeginRequest(context, request, Configapi_LIST_PRESETS, now),
        now);
    return (OprAnswer){0};
}

static OprAnswer
show_versions(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    (void)body;
    Configapi_QueryNextReplica(
        Configapi_BeginRequest(context, request, Configapi_LIST_VERSIONS, now),
        now);
    return (OprAnswer){0};
}

static void
read_name(struct evhttp_request *request, StrBuf *name)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq fields;

    if (query && evhttp_parse_query_str(query, &fields) == 0) {
        StrBuf_Set(name, Str_FromC(evhttp_find_header(&fields, "name")));
        evhttp_clear_headers(&fields);
    }
}

static OprAnswer
show_preset(void *context, struct evhttp_request *request, Str body,
            Instant now)
{
    ConfigRequest *ask;
    StrBuf name = {0};

    (void)body;
    read_name(request, &name);
    if (name.len == 0 || name.len > Cfg_NAME_MAX) {
        StrBuf_Finish(&name);
        return (OprAnswer){400, Opr_Error(Str_LIT("malformed"),
                                          Str_LIT("name: 1 to 64 bytes"))};
    }
    ask = Configapi_BeginRequest(context, request, Configapi_GET_PRESET, now);
    ask->preset_name = name;
    Configapi_QueryNextReplica(ask, now);
    return (OprAnswer){0};
}

static OprAnswer
show_replicas(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    const ConfigApi *changes = context;

    (void)request;
    (void)body;
    if (!changes->settings->control) {
        return (OprAnswer){404, Opr_Error(Str_LIT("no_replica"),
                                          Str_LIT("this node is no control "
                                                  "replica"))};
    }
    return (OprAnswer){
        200, Configjson_Replicas(changes->control,
                                 Ctl_IsLeading(changes->control, now))};
}

static void
read_base(JsnObject *change, CfgVersion *base, FindingList *findings)
{
    JsnObject o;

    Jsn_Enter(&o, Jsn_Get(change, Str_LIT("base")), Str_LIT("/base"),
              findings);
    base->term = (uint64_t)Jsn_GetInt(&o, Str_LIT("term"), 0, INT64_MAX, 0);
    base->index = (uint64_t)Jsn_GetInt(&o, Str_LIT("index"), 0, INT64_MAX, 0);
    Jsn_Leave(&o);
}

static void
read_preset(ConfigRequest *ask, JsnObject *change)
{
    json_t *preset = Jsn_Get(change, Str_LIT("preset"));
    char *text;

    if ((ask->verb == Cfg_PUT) != json_is_object(preset)) {
        Jsn_Find(change, Str_LIT("preset"), Str_LIT("does not fit the verb"),
                 Str_LIT("an object with put, nothing with use"));
        return;
    }
    text = preset ? json_dumps(preset, JSON_COMPACT) : NULL;
    StrBuf_Set(&ask->change_json, Str_FromC(text));
    free(text);
}

/* Bounds are checked here too, where the message would be refused. */
static void
check_bounds(const ConfigRequest *ask, FindingList *findings)
{
    CfgChange change = {
        .verb = ask->verb,
        .id = StrBuf_View(&ask->change_id),
        .preset = StrBuf_View(&ask->preset_name),
        .json = StrBuf_View(&ask->change_json),
    };

    Cfg_Check(&change, findings);
}

static bool
read_change(ConfigRequest *ask, Str body, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    StrBuf verb = {0};
    JsnObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("id"), true, &ask->change_id);
    Jsn_GetStr(&o, Str_LIT("name"), true, &ask->preset_name);
    Jsn_GetStr(&o, Str_LIT("verb"), true, &verb);
    read_base(&o, &ask->base_version, findings);
    if (!Cfg_ParseVerb(StrBuf_View(&verb), &ask->verb) ||
        ask->verb > Cfg_USE) {
        Jsn_Find(&o, Str_LIT("verb"), Str_LIT("no such verb"),
                 Str_LIT("put or use"));
    }
    read_preset(ask, &o);
    Jsn_Leave(&o);
    if (findings->count == 0) {
        check_bounds(ask, findings);
    }
    json_decref(root);
    StrBuf_Finish(&verb);
    return findings->count == 0;
}

static OprAnswer
on_change(void *context, struct evhttp_request *request, Str body, Instant now)
{
    ConfigRequest *ask =
        Configapi_BeginRequest(context, request, Configapi_CHANGE, now);
    FindingList findings;
    StrBuf text = {0};

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("change"));
    if (read_change(ask, body, &findings)) {
        Configapi_QueryNextReplica(ask, now);
    }
    else {
        Fnd_Print(&findings, &text);
        Configapi_EndRequest(
            ask, (OprAnswer){400, Configjson_Outcome(Str_LIT("refused"),
                                                     StrBuf_View(&text))});
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    return (OprAnswer){0};
}

void
Configapi_Init(ConfigApi *changes, Loop *loop, Net *net, Counters *counters,
               const Settings *settings, const VersionFollower *follow,
               const MembershipTable *membership,
               const ControlReplica *control, InForce *const *in_force)
{
    *changes = (ConfigApi){
        .settings = settings,
        .net = net,
        .counters = counters,
        .version_follower = follow,
        .membership = membership,
        .control = control,
        .in_force = in_force,
    };
    Net_On(net, Wire_PRESETS, on_presets, changes);
    Net_On(net, Wire_CHANGED, on_changed, changes);
    LoopTimer_Init(&changes->tick, loop, TICK, on_tick, changes);
}

void
Configapi_Finish(ConfigApi *changes)
{
    LoopTimer_Finish(&changes->tick);
    while (changes->requests) {
        give_up(changes->requests);
    }
}

void
Configapi_Serve(ConfigApi *changes, Opr *opr)
{
    Opr_On(opr, Str_LIT("/v1/presets"), true, show_presets, changes);
    Opr_On(opr, Str_LIT("/v1/presets/show"), true, show_preset, changes);
    Opr_On(opr, Str_LIT("/v1/change"), true, on_change, changes);
    Opr_On(opr, Str_LIT("/v1/versions"), true, show_versions, changes);
    Opr_On(opr, Str_LIT("/v1/replicas"), true, show_replicas, changes);
    Configapi_ServeRouting(changes, opr);
}
