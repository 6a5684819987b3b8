#include "process/announce.h"

#include <event2/keyvalq_struct.h>

#include "value/json.h"

enum { SLOTS_MAX = 10000, SERVICE_BYTES_MAX = 64, ID_BYTES_MAX = 128 };

typedef struct {
    StrBuf service;
    Addr addr; /* Addr_NONE: this VM's, at the port */
    uint16_t port;
    uint32_t slots;
    bool draining;
    PresenceAnnouncement presence; /* of one that tells its starts apart */
} Announcement;

static bool
parse(Str body, Announcement *to, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    JsnObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("service"), true, &to->service);
    if (to->service.len > SERVICE_BYTES_MAX ||
        (o.object && to->service.len == 0)) {
        Jsn_Find(&o, Str_LIT("service"), Str_LIT("no good name"),
                 Str_LIT("1 to 64 bytes"));
    }
    to->port = (uint16_t)Jsn_GetInt(&o, Str_LIT("port"), 1, UINT16_MAX, 0);
    to->slots = (uint32_t)Jsn_GetInt(&o, Str_LIT("slots"), 1, SLOTS_MAX, 0);
    if (o.object && (to->port == 0 || to->slots == 0)) {
        Jsn_Find(&o, Str_LIT("port"), Str_LIT("missing"),
                 Str_LIT("port and slots"));
    }
    to->draining = Jsn_GetBool(&o, Str_LIT("draining"), false);
    Jsn_Leave(&o);
    json_decref(root);
    return findings->count == 0;
}

static void
take(AnnouncementReceiver *ann, const Announcement *from, Instant now)
{
    Addr addr = from->addr
                    ? from->addr
                    : Addr_WithPort(ann->settings->operators, from->port);
    bool changed =
        !ann->has_backend || ann->is_draining != from->draining ||
        !Str_Equal(StrBuf_View(&ann->service), StrBuf_View(&from->service));

    StrBuf_Set(&ann->service, StrBuf_View(&from->service));
    ann->has_backend = true;
    ann->is_draining = from->draining;
    ann->heard_at = now;
    Bck_SetAddr(ann->pool, addr, from->presence.id);
    Adm_OnAnnounce(ann->admission, from->slots, from->draining, now);
    if (changed) {
        ann->on_change(ann->context, now);
    }
}

static OprAnswer
on_announce(void *context, struct evhttp_request *request, Str body,
            Instant now)
{
    Announcement from = {0};
    FindingList findings;
    OprAnswer answer = {204, NULL};

    (void)request;
    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("announcement"));
    if (parse(body, &from, &findings)) {
        take(context, &from, now);
    }
    else {
        StrBuf text = {0};
        Fnd_Print(&findings, &text);
        answer.status = 400;
        answer.body = Opr_Error(Str_LIT("malformed"), StrBuf_View(&text));
        StrBuf_Finish(&text);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&from.service);
    return answer;
}

static void
set_gone(AnnouncementReceiver *ann, Instant now)
{
    ann->has_backend = false;
    Adm_OnBackendGone(ann->admission);
    ann->on_change(ann->context, now);
}

static void
parse_state(JsnObject *o, Announcement *to)
{
    StrBuf state = {0};

    Jsn_GetStr(o, Str_LIT("state"), true, &state);
    to->draining = Str_Equal(StrBuf_View(&state), Str_LIT("draining"));
    if (o->object && !to->draining &&
        !Str_Equal(StrBuf_View(&state), Str_LIT("ready"))) {
        Jsn_Find(o, Str_LIT("state"), Str_LIT("no such state"),
                 Str_LIT("ready or draining"));
    }
    StrBuf_Finish(&state);
}

static void
parse_addr(const AnnouncementReceiver *ann, JsnObject *o, Announcement *to)
{
    StrBuf text = {0};

    Jsn_GetStr(o, Str_LIT("address"), true, &text);
    if (!Addr_Parse(StrBuf_View(&text), &to->addr) ||
        (ann->settings->backend && to->addr != ann->settings->backend)) {
        Jsn_Find(o, Str_LIT("address"),
                 Str_LIT("not of this VM's backend "
                         "server"),
                 Str_LIT("its IPv4 number and port"));
    }
    StrBuf_Finish(&text);
}

/* What one that tells its starts apart says. */
static bool
parse_word(const AnnouncementReceiver *ann, Str body, Announcement *to,
           FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    JsnObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("service"), true, &to->service);
    if (to->service.len == 0 || to->service.len > SERVICE_BYTES_MAX) {
        Jsn_Find(&o, Str_LIT("service"), Str_LIT("no good name"),
                 Str_LIT("1 to 64 bytes"));
    }
    parse_addr(ann, &o, to);
    parse_state(&o, to);
    to->slots = (uint32_t)Jsn_GetInt(&o, Str_LIT("slots"), 1, SLOTS_MAX, 0);
    to->presence.started_at_ms =
        Jsn_GetInt(&o, Str_LIT("born"), 0, INT64_MAX, 0);
    to->presence.sequence =
        (uint64_t)Jsn_GetInt(&o, Str_LIT("sequence"), 0, INT64_MAX, 0);
    to->presence.draining = to->draining;
    if (to->slots == 0) {
        Jsn_Find(&o, Str_LIT("slots"), Str_LIT("missing"),
                 Str_LIT("requests that it runs at a time"));
    }
    Jsn_LeaveOpen(&o);
    json_decref(root);
    return findings->count == 0;
}

static void
take_word(AnnouncementReceiver *ann, Announcement *from, Instant now)
{
    switch (Prs_OnAnnouncement(&ann->presence, &from->presence)) {
    case Prs_STALE:
        Lgr_Log(ann->logger, Lgr_INFO, Str_LIT("announcement_late"),
                "id=%.*s born=%lld sequence=%llu", Str_ARG(from->presence.id),
                (long long)from->presence.started_at_ms,
                (unsigned long long)from->presence.sequence);
        return;
    case Prs_NEW_START:
        Lgr_Log(ann->logger, Lgr_INFO, Str_LIT("backend_started"),
                "id=%.*s born=%lld", Str_ARG(from->presence.id),
                (long long)from->presence.started_at_ms);
        if (ann->has_backend) {
            set_gone(ann, now); /* the earlier start */
        }
        break;
    case Prs_ACCEPTED:
        break;
    }
    from->draining = ann->presence.draining;
    take(ann, from, now);
}

static void
read_id(struct evhttp_request *request, StrBuf *id)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq fields;

    if (query && evhttp_parse_query_str(query, &fields) == 0) {
        StrBuf_Set(id, Str_FromC(evhttp_find_header(&fields, "id")));
        evhttp_clear_headers(&fields);
    }
}

static OprAnswer
refuse(const AnnouncementReceiver *ann, FindingList *findings)
{
    StrBuf text = {0};
    OprAnswer answer = {400, NULL};

    Fnd_Print(findings, &text);
    Lgr_Log(ann->logger, Lgr_WARNING, Str_LIT("announcement_refused"), "%.*s",
            Str_ARG(text));
    answer.body = Opr_Error(Str_LIT("malformed"), StrBuf_View(&text));
    StrBuf_Finish(&text);
    return answer;
}

static OprAnswer
on_word(void *context, struct evhttp_request *request, Str body, Instant now)
{
    AnnouncementReceiver *ann = context;
    Announcement from = {0};
    FindingList findings;
    StrBuf id = {0};
    OprAnswer answer = {200, NULL};

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("announcement"));
    read_id(request, &id);
    from.presence.id = StrBuf_View(&id);
    if (id.len == 0 || id.len > ID_BYTES_MAX) {
        Fnd_Add(&findings, Str_LIT("id"), Str_LIT("no good id"),
                Str_LIT("1 to 128 bytes"));
    }
    if (parse_word(ann, body, &from, &findings)) {
        take_word(ann, &from, now);
        answer.body = json_object();
    }
    else {
        answer = refuse(ann, &findings);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&from.service);
    StrBuf_Finish(&id);
    return answer;
}

static OprAnswer
on_leave(void *context, struct evhttp_request *request, Str body, Instant now)
{
    AnnouncementReceiver *ann = context;
    StrBuf id = {0};

    (void)body;
    read_id(request, &id);
    if (Prs_OnLeave(&ann->presence, StrBuf_View(&id)) && ann->has_backend &&
        !ann->is_draining) {
        ann->is_draining = true;
        ann->heard_at = now;
        Adm_OnAnnounce(ann->admission, ann->admission->settings.slots, true,
                       now);
        ann->on_change(ann->context, now);
    }
    StrBuf_Finish(&id);
    return (OprAnswer){200, json_object()};
}

void
Ann_Init(AnnouncementReceiver *ann, const Settings *settings, Logger *logger,
         AdmissionController *admission, BckPool *pool,
         BackendChangeListener changed, void *context)
{
    *ann = (AnnouncementReceiver){
        .settings = settings,
        .logger = logger,
        .admission = admission,
        .pool = pool,
        .on_change = changed,
        .context = context,
    };
}

void
Ann_Finish(AnnouncementReceiver *ann)
{
    StrBuf_Finish(&ann->service);
    Prs_Finish(&ann->presence);
}

void
Ann_RegisterPaths(AnnouncementReceiver *ann, Opr *opr)
{
    Opr_On(opr, Str_LIT("/v1/announce"), false, on_announce, ann);
    Opr_On(opr, Str_LIT("/v1/backends/announce"), false, on_word, ann);
    Opr_On(opr, Str_LIT("/v1/backends/leave"), false, on_leave, ann);
}

void
Ann_Expire(AnnouncementReceiver *ann, Instant now)
{
    if (ann->has_backend &&
        now - ann->heard_at >= ann->settings->backend_expiry) {
        set_gone(ann, now);
    }
}

void
Ann_OnBackendLost(AnnouncementReceiver *ann, Instant now)
{
    if (ann->has_backend) {
        set_gone(ann, now);
    }
}
