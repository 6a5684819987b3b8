#include "process/membership/announce.h"

#include <event2/keyvalq_struct.h>

#include "value/json.h"

/* A node whose last check is so long ago did not run itself. */
#define OWN_PAUSE_MIN Span_MS(100)

enum {
    SLOTS_MAX = 10000,
    SERVICE_BYTES_MAX = 64,
    ID_BYTES_MAX = 128,
    COLD_MS_MAX = 24 * 3600 * 1000
};

static bool
parse_announcement(Str body, Announcement *announcement, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    JsonObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("service"), true, &announcement->service);
    if (announcement->service.len > SERVICE_BYTES_MAX ||
        (o.object && announcement->service.len == 0)) {
        Jsn_AddFinding(&o, Str_LIT("service"), Str_LIT("no good name"),
                       Str_LIT("1 to 64 bytes"));
    }
    announcement->port =
        (uint16_t)Jsn_GetInt(&o, Str_LIT("port"), 1, UINT16_MAX, 0);
    announcement->slots =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("slots"), 1, SLOTS_MAX, 0);
    if (o.object && (announcement->port == 0 || announcement->slots == 0)) {
        Jsn_AddFinding(&o, Str_LIT("port"), Str_LIT("missing"),
                       Str_LIT("port and slots"));
    }
    announcement->draining = Jsn_GetBool(&o, Str_LIT("draining"), false);
    Jsn_Leave(&o);
    json_decref(root);
    return findings->count == 0;
}

static bool
is_named(const AnnouncementReceiver *receiver, const StrBuf *service)
{
    return receiver->preset &&
           Pst_NamesService(receiver->preset, StrBuf_View(service));
}

/* Whether ANNOUNCEMENT must not change anything, see announce.h. */
static bool
is_stray(const AnnouncementReceiver *receiver,
         const Announcement *announcement)
{
    bool stray =
        receiver->preset && Pst_NamesAnyService(receiver->preset) &&
        !is_named(receiver, &announcement->service) &&
        !(Prs_IsCurrent(&receiver->presence, &announcement->presence) &&
          Str_Equal(StrBuf_View(&receiver->service),
                    StrBuf_View(&announcement->service)));

    if (stray) {
        Lgr_Log(receiver->logger, Lgr_DEBUG, Str_LIT("announcement_stray"),
                "id=%.*s service=%.*s", Str_ARG(announcement->presence.id),
                Str_ARG(announcement->service));
    }
    return stray;
}

static void
apply_announcement(AnnouncementReceiver *receiver,
                   const Announcement *announcement, Instant now)
{
    Addr addr =
        announcement->addr
            ? announcement->addr
            : Addr_WithPort(receiver->settings->operators, announcement->port);
    bool changed = !receiver->has_backend ||
                   receiver->is_draining != announcement->draining ||
                   !Str_Equal(StrBuf_View(&receiver->service),
                              StrBuf_View(&announcement->service));

    StrBuf_Set(&receiver->service, StrBuf_View(&announcement->service));
    receiver->has_backend = true;
    receiver->is_draining = announcement->draining;
    receiver->heard_at = now;
    Bck_SetAddr(receiver->pool, addr, announcement->presence.id);
    Adm_OnAnnounce(receiver->admission, announcement->slots,
                   announcement->draining, now);
    if (announcement->cold_left) {
        Adm_OnColdWord(receiver->admission, now, announcement->cold_left, now);
    }
    if (changed) {
        receiver->on_change(receiver->context, now);
    }
}

static OperatorAnswer
on_announce(void *context, struct evhttp_request *request, Str body,
            Instant now)
{
    Announcement announcement = {0};
    FindingList findings;
    OperatorAnswer answer = {204, NULL};

    (void)request;
    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("announcement"));
    if (parse_announcement(body, &announcement, &findings)) {
        if (!is_stray(context, &announcement)) {
            apply_announcement(context, &announcement, now);
        }
    }
    else {
        StrBuf text = {0};
        Fnd_Print(&findings, &text);
        answer.status = 400;
        answer.body = Opr_Error(Str_LIT("malformed"), StrBuf_View(&text));
        StrBuf_Finish(&text);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&announcement.service);
    return answer;
}

static void
remove_backend(AnnouncementReceiver *receiver, Instant now)
{
    receiver->has_backend = false;
    Adm_OnBackendGone(receiver->admission);
    receiver->on_change(receiver->context, now);
}

static void
parse_state(JsonObject *o, Announcement *announcement)
{
    StrBuf state = {0};

    Jsn_GetStr(o, Str_LIT("state"), true, &state);
    announcement->draining =
        Str_Equal(StrBuf_View(&state), Str_LIT("draining"));
    if (o->object && !announcement->draining &&
        !Str_Equal(StrBuf_View(&state), Str_LIT("ready"))) {
        Jsn_AddFinding(o, Str_LIT("state"), Str_LIT("no such state"),
                       Str_LIT("ready or draining"));
    }
    StrBuf_Finish(&state);
}

static void
parse_addr(const AnnouncementReceiver *receiver, JsonObject *o,
           Announcement *announcement)
{
    StrBuf text = {0};

    Jsn_GetStr(o, Str_LIT("address"), true, &text);
    if (!Addr_Parse(StrBuf_View(&text), &announcement->addr) ||
        (receiver->settings->backend &&
         announcement->addr != receiver->settings->backend)) {
        Jsn_AddFinding(o, Str_LIT("address"),
                       Str_LIT("not of this VM's backend "
                               "server"),
                       Str_LIT("its IPv4 number and port"));
    }
    StrBuf_Finish(&text);
}

/* Reads an announcement of a backend server that identifies its starts. */
static bool
parse_presence(const AnnouncementReceiver *receiver, Str body,
               Announcement *announcement, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    JsonObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("service"), true, &announcement->service);
    if (announcement->service.len == 0 ||
        announcement->service.len > SERVICE_BYTES_MAX) {
        Jsn_AddFinding(&o, Str_LIT("service"), Str_LIT("no good name"),
                       Str_LIT("1 to 64 bytes"));
    }
    parse_addr(receiver, &o, announcement);
    parse_state(&o, announcement);
    announcement->slots =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("slots"), 1, SLOTS_MAX, 0);
    announcement->presence.started_at_ms =
        Jsn_GetInt(&o, Str_LIT("born"), 0, INT64_MAX, 0);
    announcement->presence.sequence =
        (uint64_t)Jsn_GetInt(&o, Str_LIT("sequence"), 0, INT64_MAX, 0);
    announcement->presence.draining = announcement->draining;
    announcement->cold_left =
        Span_MS(Jsn_GetInt(&o, Str_LIT("cold_ms"), 0, COLD_MS_MAX, 0));
    if (announcement->slots == 0) {
        Jsn_AddFinding(&o, Str_LIT("slots"), Str_LIT("missing"),
                       Str_LIT("requests that it runs at a time"));
    }
    Jsn_LeaveAllowUnknown(&o);
    json_decref(root);
    return findings->count == 0;
}

static void
apply_presence(AnnouncementReceiver *receiver, Announcement *announcement,
               Instant now)
{
    bool named = is_named(receiver, &announcement->service);

    if (is_stray(receiver, announcement)) {
        return;
    }
    if (receiver->is_unconfirmed && named &&
        !is_named(receiver, &receiver->service)) {
        Prs_Forget(&receiver->presence);
    }
    switch (Prs_OnAnnouncement(&receiver->presence, &announcement->presence,
                               now)) {
    case Prs_STALE:
        Lgr_Log(receiver->logger, Lgr_INFO, Str_LIT("announcement_late"),
                "id=%.*s born=%lld sequence=%llu",
                Str_ARG(announcement->presence.id),
                (long long)announcement->presence.started_at_ms,
                (unsigned long long)announcement->presence.sequence);
        return;
    case Prs_NEW_START:
        Lgr_Log(receiver->logger, Lgr_INFO, Str_LIT("backend_started"),
                "id=%.*s born=%lld", Str_ARG(announcement->presence.id),
                (long long)announcement->presence.started_at_ms);
        if (receiver->has_backend) {
            remove_backend(receiver, now); /* the earlier start is gone */
        }
        receiver->is_unconfirmed = !named;
        break;
    case Prs_ACCEPTED:
        receiver->is_unconfirmed &= !named;
        break;
    }
    announcement->draining = receiver->presence.draining;
    apply_announcement(receiver, announcement, now);
}

/* The backend server, which was ready, drains. */
static void
start_draining(AnnouncementReceiver *receiver, Instant now)
{
    if (receiver->has_backend && !receiver->is_draining) {
        receiver->is_draining = true;
        receiver->heard_at = now;
        Adm_OnAnnounce(receiver->admission,
                       receiver->admission->settings.slots, true, now);
        receiver->on_change(receiver->context, now);
    }
}

/* Keeps the latest announcement until LeaveSync is synced. */
static void
hold_announcement(AnnouncementReceiver *receiver,
                  const Announcement *announcement)
{
    HeldAnnouncement *held = &receiver->held;
    const PresenceAnnouncement *old = &held->announcement.presence;
    const PresenceAnnouncement *new = &announcement->presence;
    StrBuf service = held->announcement.service;

    if (held->is_set &&
        (new->started_at_ms < old->started_at_ms ||
         (new->started_at_ms == old->started_at_ms && !new->draining &&
          (old->draining || new->sequence <= old->sequence)))) {
        return;
    }
    StrBuf_Set(&service, StrBuf_View(&announcement->service));
    StrBuf_Set(&held->id, new->id);
    held->announcement = *announcement;
    held->announcement.service = service;
    held->announcement.presence.id = StrBuf_View(&held->id);
    held->is_set = true;
}

static void
apply_held(AnnouncementReceiver *receiver, Instant now)
{
    if (receiver->held.is_set) {
        receiver->held.is_set = false;
        apply_presence(receiver, &receiver->held.announcement, now);
    }
}

void
Ann_OnLeavesUpdate(void *context, Instant now)
{
    AnnouncementReceiver *receiver = context;

    if (Prs_SetLeft(&receiver->presence, receiver->leaves->own, now)) {
        start_draining(receiver, now);
    }
    if (Lvs_IsSynced(receiver->leaves)) {
        apply_held(receiver, now);
    }
    if (Lvs_IsConfirmed(receiver->leaves)) {
        Ntw_Acknowledge(&receiver->waiting);
    }
}

/* Records that START leaves, and answers the notice of it: now, when a
 * majority of the control replicas has it already, or else later. */
static OperatorAnswer
answer_notice(AnnouncementReceiver *receiver, BackendStart start,
              struct evhttp_request *request, Instant now)
{
    Lvs_Record(receiver->leaves, start, now);
    if (Lvs_IsConfirmed(receiver->leaves)) {
        return (OperatorAnswer){200, json_object()};
    }
    return Ntw_Add(&receiver->waiting, request, now)
               ? (OperatorAnswer){0, NULL}
               : (OperatorAnswer){503, Opr_Error(Str_LIT("busy"),
                                                 Str_LIT("too many wait"))};
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

static OperatorAnswer
reject(const AnnouncementReceiver *receiver, FindingList *findings)
{
    StrBuf text = {0};
    OperatorAnswer answer = {400, NULL};

    Fnd_Print(findings, &text);
    Lgr_Log(receiver->logger, Lgr_WARNING, Str_LIT("announcement_refused"),
            "%.*s", Str_ARG(text));
    answer.body = Opr_Error(Str_LIT("malformed"), StrBuf_View(&text));
    StrBuf_Finish(&text);
    return answer;
}

/* One that changes nothing is not kept to: that it drains is refused. */
static OperatorAnswer
answer_stray(const Announcement *announcement)
{
    return announcement->draining
               ? (OperatorAnswer){400,
                                  Opr_Error(Str_LIT("unknown_service"),
                                            Str_LIT("no such service is in "
                                                    "force"))}
               : (OperatorAnswer){200, json_object()};
}

static OperatorAnswer
take_presence(AnnouncementReceiver *receiver, Announcement *announcement,
              struct evhttp_request *request, Instant now)
{
    const PresenceAnnouncement *presence = &announcement->presence;

    if (is_stray(receiver, announcement)) {
        return answer_stray(announcement);
    }
    if (Lvs_IsSynced(receiver->leaves)) {
        apply_presence(receiver, announcement, now);
    }
    else {
        hold_announcement(receiver, announcement);
    }
    return presence->draining
               ? answer_notice(
                     receiver,
                     Lvt_MakeStart(presence->id, presence->started_at_ms),
                     request, now)
               : (OperatorAnswer){200, json_object()};
}

static OperatorAnswer
on_presence(void *context, struct evhttp_request *request, Str body,
            Instant now)
{
    AnnouncementReceiver *receiver = context;
    Announcement announcement = {0};
    FindingList findings;
    StrBuf id = {0};
    OperatorAnswer answer = {200, NULL};

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("announcement"));
    read_id(request, &id);
    announcement.presence.id = StrBuf_View(&id);
    if (id.len == 0 || id.len > ID_BYTES_MAX) {
        Fnd_Add(&findings, Str_LIT("id"), Str_LIT("no good id"),
                Str_LIT("1 to 128 bytes"));
    }
    if (parse_presence(receiver, body, &announcement, &findings)) {
        answer = take_presence(receiver, &announcement, request, now);
    }
    else {
        answer = reject(receiver, &findings);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&announcement.service);
    StrBuf_Finish(&id);
    return answer;
}

/* The member "born" of BODY; 0 when there is none. */
static int64_t
read_started_at(Str body)
{
    FindingList findings;
    json_t *root;
    int64_t started_at_ms = 0;

    Fnd_Init(&findings);
    root = Jsn_Load(body, &findings);
    if (root) {
        JsonObject o;
        Jsn_Enter(&o, root, (Str){0}, &findings);
        started_at_ms = Jsn_GetInt(&o, Str_LIT("born"), 0, INT64_MAX, 0);
        Jsn_LeaveAllowUnknown(&o);
        json_decref(root);
    }
    Fnd_Finish(&findings);
    return started_at_ms;
}

static OperatorAnswer
on_leave(void *context, struct evhttp_request *request, Str body, Instant now)
{
    AnnouncementReceiver *receiver = context;
    StrBuf id = {0};
    OperatorAnswer answer;

    read_id(request, &id);
    if (Prs_OnLeave(&receiver->presence, StrBuf_View(&id),
                    read_started_at(body), now)) {
        start_draining(receiver, now);
    }
    answer = answer_notice(receiver, receiver->presence.left, request, now);
    StrBuf_Finish(&id);
    return answer;
}

void
Ann_Init(AnnouncementReceiver *receiver, const Settings *settings,
         Logger *logger, AdmissionController *admission, BackendPool *pool,
         LeaveSync *leaves, BackendChangeListener on_change, void *context)
{
    *receiver = (AnnouncementReceiver){
        .settings = settings,
        .logger = logger,
        .admission = admission,
        .pool = pool,
        .leaves = leaves,
        .on_change = on_change,
        .context = context,
    };
}

void
Ann_SetPreset(AnnouncementReceiver *receiver, const Preset *preset)
{
    receiver->preset = preset;
}

void
Ann_Finish(AnnouncementReceiver *receiver)
{
    StrBuf_Finish(&receiver->service);
    Prs_Finish(&receiver->presence);
    StrBuf_Finish(&receiver->held.announcement.service);
    StrBuf_Finish(&receiver->held.id);
}

void
Ann_EndWaiting(AnnouncementReceiver *receiver)
{
    Ntw_Finish(&receiver->waiting);
}

void
Ann_RegisterPaths(AnnouncementReceiver *receiver, OperatorApi *opr)
{
    Opr_AddPath(opr, Str_LIT("/v1/announce"), false, on_announce, receiver);
    Opr_AddPath(opr, Str_LIT("/v1/backends/announce"), false, on_presence,
                receiver);
    Opr_AddPath(opr, Str_LIT("/v1/backends/leave"), false, on_leave, receiver);
}

/* Time in which this node itself did not run is not the backend server's
 * silence: its announcements were not read. */
static void
note_own_pause(AnnouncementReceiver *receiver, Instant now)
{
    Span pause = receiver->checked_at ? now - receiver->checked_at : 0;

    receiver->checked_at = now;
    if (pause >= OWN_PAUSE_MIN) {
        receiver->heard_at += pause;
        if (receiver->heard_at > now) {
            receiver->heard_at = now;
        }
    }
}

void
Ann_Expire(AnnouncementReceiver *receiver, Instant now)
{
    note_own_pause(receiver, now);
    Ntw_Expire(&receiver->waiting, now);
    if (receiver->has_backend &&
        now - receiver->heard_at >= receiver->settings->backend_expiry) {
        remove_backend(receiver, now);
    }
}

void
Ann_OnBackendLost(AnnouncementReceiver *receiver, Instant now)
{
    if (receiver->has_backend) {
        remove_backend(receiver, now);
    }
}
