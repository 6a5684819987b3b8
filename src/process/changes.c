#include "process/changes.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>

#include "connection/configmsg.h"
#include "process/chganswer.h"
#include "process/chgask.h"
#include "value/json.h"
#include "value/mem.h"

#define TICK Span_MS(50)
#define FIND_AGAIN Span_MS(300)
#define SEND_AGAIN Span_MS(1000)
#define WAIT Span_MS(6000)          /* for an outcome */
#define WAIT_VERSIONS Span_MS(1000) /* for the leader's version */

void
Chg_End(ChgAsk *ask, OprAnswer answer)
{
    ChgAsk **at = &ask->changes->first;

    while (*at != ask) {
        at = &(*at)->next;
    }
    *at = ask->next;
    Opr_Answer(ask->request, answer.status, answer.body);
    StrBuf_Finish(&ask->name);
    StrBuf_Finish(&ask->id);
    StrBuf_Finish(&ask->json);
    Mem_Free(ask);
}

static ChgAsk *
find_ask(Changes *changes, uint64_t number)
{
    for (ChgAsk *ask = changes->first; ask; ask = ask->next) {
        if (ask->number == number) {
            return ask;
        }
    }
    return NULL;
}

static void
send_message(Changes *changes, Addr to, Pack *pack, Instant now)
{
    Cnt_Add(changes->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(changes->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(changes->net, to, Pack_View(pack), now);
    Pack_Finish(pack);
}

static bool
needs_leader(const ChgAsk *ask)
{
    return ask->kind == Chg_ASK_CHANGE || ask->kind == Chg_ASK_VERSIONS;
}

static void
send_presets_ask(ChgAsk *ask, Instant now)
{
    PresetsAskMsg msg = {
        .ask = ask->number,
        .in_force = ask->kind == Chg_ASK_ROUTING,
        .versions = ask->kind == Chg_ASK_VERSIONS,
        .leader = needs_leader(ask),
    };
    Pack pack;

    if (ask->kind == Chg_ASK_PRESET) {
        msg.name = StrBuf_View(&ask->name);
    }
    ask->leads = false;
    ask->again_at = now + FIND_AGAIN;
    Configmsg_PackPresetsAsk(&pack, &msg);
    send_message(ask->changes, ask->target, &pack, now);
}

static void
send_change(ChgAsk *ask, Instant now)
{
    ChangeMsg msg = {
        .ask = ask->number,
        .change = {.verb = ask->verb,
                   .id = StrBuf_View(&ask->id),
                   .base = ask->base,
                   .preset = StrBuf_View(&ask->name),
                   .json = StrBuf_View(&ask->json)},
    };
    Pack pack;

    ask->leads = true;
    ask->out++;
    ask->again_at = now + SEND_AGAIN;
    Configmsg_PackChange(&pack, &msg);
    send_message(ask->changes, ask->target, &pack, now);
}

static Addr
next_replica(Changes *changes)
{
    const Settings *settings = changes->settings;
    Addr replica = Addr_NONE;

    for (size_t i = 0; i < settings->replica_count && !replica; i++) {
        replica = settings->replicas[changes->next];
        changes->next = changes->next + 1 < settings->replica_count
                            ? changes->next + 1
                            : 0;
    }
    return replica;
}

/* Ask the replica on this VM first where any can answer, then the leader as
 * last told, else the next replica of the list. */
void
Chg_LookForLeader(ChgAsk *ask, Instant now)
{
    Changes *changes = ask->changes;
    Addr known = changes->follow->leader;

    if (!needs_leader(ask) && !ask->target && changes->control->open) {
        ask->target = changes->settings->address;
    }
    else if (known && known != ask->target) {
        ask->target = known;
    }
    else {
        ask->target = next_replica(changes);
    }
    send_presets_ask(ask, now);
}

static void
answer_versions(ChgAsk *ask, const Nvs *nodes, CfgVersion version,
                bool current)
{
    const Changes *changes = ask->changes;
    const Preset *preset = &(*changes->in_force)->preset;

    Chg_End(ask, (OprAnswer){200, Cha_Versions(changes->settings, nodes,
                                               version, current,
                                               StrBuf_View(&preset->name))});
}

/* No leader tells: the versions are as old as this node's own table. */
static void
answer_own_versions(ChgAsk *ask)
{
    const Changes *changes = ask->changes;
    Nvs nodes = {0};

    Nvs_Fill(&nodes, changes->membership);
    answer_versions(ask, &nodes, changes->follow->newest, false);
    Nvs_Finish(&nodes);
}

static void
give_up(ChgAsk *ask)
{
    if (ask->kind == Chg_ASK_VERSIONS) {
        answer_own_versions(ask);
    }
    else if (ask->out) {
        Chg_End(ask,
                (OprAnswer){504, Cha_Outcome(Str_LIT("unknown"),
                                             Str_LIT("no outcome came back: "
                                                     "send it again with the "
                                                     "same id"))});
    }
    else {
        Chg_End(ask, (OprAnswer){503, Cha_Outcome(Str_LIT("unreachable"),
                                                  Str_LIT("no leader of the "
                                                          "control replicas "
                                                          "answers"))});
    }
}

static void
on_tick(void *context, Instant now)
{
    Changes *changes = context;
    int64_t start = Loop_CpuNs();
    ChgAsk *next;

    for (ChgAsk *ask = changes->first; ask; ask = next) {
        next = ask->next;
        if (now >= ask->deadline) {
            give_up(ask);
        }
        else if (now >= ask->again_at) {
            Chg_LookForLeader(ask, now);
        }
    }
    Cnt_AddNs(changes->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

ChgAsk *
Chg_Start(Changes *changes, struct evhttp_request *request, ChgKind kind,
          Instant now)
{
    ChgAsk *ask = Mem_Alloc(1, sizeof *ask);

    ask->changes = changes;
    ask->request = request;
    ask->kind = kind;
    ask->number = ++changes->counter;
    ask->deadline = now + (kind == Chg_ASK_VERSIONS ? WAIT_VERSIONS : WAIT);
    ask->next = changes->first;
    changes->first = ask;
    return ask;
}

/* Another replica leads: ask that one at once, unless it was asked just now.
 */
static void
turn_to(ChgAsk *ask, Addr leader, Instant now)
{
    if (leader && leader != ask->target) {
        ask->target = leader;
        send_presets_ask(ask, now);
    }
}

static void
take_presets(ChgAsk *ask, PresetsMsg *msg, Instant now)
{
    switch (ask->kind) {
    case Chg_ASK_PRESETS:
        Chg_End(ask, (OprAnswer){200, Cha_Presets(msg)});
        break;
    case Chg_ASK_PRESET:
        Chg_End(ask, Cha_Preset(msg, StrBuf_View(&ask->name)));
        break;
    case Chg_ASK_ROUTING:
        Chg_End(ask, Chg_RoutingOf(msg));
        break;
    case Chg_ASK_VERSIONS:
        Nvs_Complete(&msg->nodes, ask->changes->membership);
        answer_versions(ask, &msg->nodes, msg->version, true);
        break;
    case Chg_ASK_CHANGE:
        if (!ask->leads) {
            send_change(ask, now);
        }
        break;
    }
}

static void
take_message(Changes *changes, Addr from, PresetsMsg *msg, Instant now)
{
    ChgAsk *ask = find_ask(changes, msg->ask);

    if (!ask || from != ask->target) {
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
    Changes *changes = context;
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
    Changes *changes = context;
    ChangedMsg msg;
    Err err = {0};
    ChgAsk *ask;

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
        Chg_End(ask, ask->verb == Cfg_ROUTE || ask->verb == Cfg_ROUTE_PATCH
                         ? Chg_RevisionOf(&msg)
                         : Cha_Change(&msg));
        return;
    }
    ask->out -= ask->out > 0;
    ask->leads = false;
    turn_to(ask, msg.leader, now);
}

static OprAnswer
show_presets(void *context, struct evhttp_request *request, Str body,
             Instant now)
{
    (void)body;
    Chg_LookForLeader(Chg_Start(context, request, Chg_ASK_PRESETS, now), now);
    return (OprAnswer){0};
}

static OprAnswer
show_versions(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    (void)body;
    Chg_LookForLeader(Chg_Start(context, request, Chg_ASK_VERSIONS, now), now);
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
    ChgAsk *ask;
    StrBuf name = {0};

    (void)body;
    read_name(request, &name);
    if (name.len == 0 || name.len > Cfg_NAME_MAX) {
        StrBuf_Finish(&name);
        return (OprAnswer){400, Opr_Error(Str_LIT("malformed"),
                                          Str_LIT("name: 1 to 64 bytes"))};
    }
    ask = Chg_Start(context, request, Chg_ASK_PRESET, now);
    ask->name = name;
    Chg_LookForLeader(ask, now);
    return (OprAnswer){0};
}

static OprAnswer
show_replicas(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    const Changes *changes = context;

    (void)request;
    (void)body;
    if (!changes->settings->control) {
        return (OprAnswer){404, Opr_Error(Str_LIT("no_replica"),
                                          Str_LIT("this node is no control "
                                                  "replica"))};
    }
    return (OprAnswer){
        200,
        Cha_Replicas(changes->control, Ctl_IsLeading(changes->control, now))};
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
read_preset(ChgAsk *ask, JsnObject *change)
{
    json_t *preset = Jsn_Get(change, Str_LIT("preset"));
    char *text;

    if ((ask->verb == Cfg_PUT) != json_is_object(preset)) {
        Jsn_Find(change, Str_LIT("preset"), Str_LIT("does not fit the verb"),
                 Str_LIT("an object with put, nothing with use"));
        return;
    }
    text = preset ? json_dumps(preset, JSON_COMPACT) : NULL;
    StrBuf_Set(&ask->json, Str_FromC(text));
    free(text);
}

/* Bounds are checked here too, where the message would be refused. */
static void
check_bounds(const ChgAsk *ask, FindingList *findings)
{
    CfgChange change = {
        .verb = ask->verb,
        .id = StrBuf_View(&ask->id),
        .preset = StrBuf_View(&ask->name),
        .json = StrBuf_View(&ask->json),
    };

    Cfg_Check(&change, findings);
}

static bool
read_change(ChgAsk *ask, Str body, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    StrBuf verb = {0};
    JsnObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("id"), true, &ask->id);
    Jsn_GetStr(&o, Str_LIT("name"), true, &ask->name);
    Jsn_GetStr(&o, Str_LIT("verb"), true, &verb);
    read_base(&o, &ask->base, findings);
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
    ChgAsk *ask = Chg_Start(context, request, Chg_ASK_CHANGE, now);
    FindingList findings;
    StrBuf text = {0};

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("change"));
    if (read_change(ask, body, &findings)) {
        Chg_LookForLeader(ask, now);
    }
    else {
        Fnd_Print(&findings, &text);
        Chg_End(ask, (OprAnswer){400, Cha_Outcome(Str_LIT("refused"),
                                                  StrBuf_View(&text))});
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    return (OprAnswer){0};
}

void
Chg_Init(Changes *changes, Loop *loop, Net *net, Counters *counters,
         const Settings *settings, const Follow *follow,
         const MembershipTable *membership, const Control *control,
         InForce *const *in_force)
{
    *changes = (Changes){
        .settings = settings,
        .net = net,
        .counters = counters,
        .follow = follow,
        .membership = membership,
        .control = control,
        .in_force = in_force,
    };
    Net_On(net, Wire_PRESETS, on_presets, changes);
    Net_On(net, Wire_CHANGED, on_changed, changes);
    LoopTimer_Init(&changes->tick, loop, TICK, on_tick, changes);
}

void
Chg_Finish(Changes *changes)
{
    LoopTimer_Finish(&changes->tick);
    while (changes->first) {
        give_up(changes->first);
    }
}

void
Chg_Serve(Changes *changes, Opr *opr)
{
    Opr_On(opr, Str_LIT("/v1/presets"), true, show_presets, changes);
    Opr_On(opr, Str_LIT("/v1/presets/show"), true, show_preset, changes);
    Opr_On(opr, Str_LIT("/v1/change"), true, on_change, changes);
    Opr_On(opr, Str_LIT("/v1/versions"), true, show_versions, changes);
    Opr_On(opr, Str_LIT("/v1/replicas"), true, show_replicas, changes);
    Chg_ServeRouting(changes, opr);
}
