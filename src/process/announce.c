#include "process/announce.h"

#include "value/json.h"

enum { SLOTS_MAX = 10000, SERVICE_BYTES_MAX = 64 };

typedef struct {
    StrBuf service;
    uint16_t port;
    uint32_t slots;
    bool draining;
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
take(Ann *ann, const Announcement *from, Instant now)
{
    bool changed =
        !ann->present || ann->draining != from->draining ||
        !Str_Equal(StrBuf_View(&ann->service), StrBuf_View(&from->service));

    StrBuf_Set(&ann->service, StrBuf_View(&from->service));
    ann->present = true;
    ann->draining = from->draining;
    ann->heard_at = now;
    Bck_SetAddr(ann->pool,
                Addr_WithPort(ann->settings->operators, from->port));
    Adm_OnAnnounce(ann->admission, from->slots, from->draining, now);
    if (changed) {
        ann->changed(ann->context, now);
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

void
Ann_Init(Ann *ann, const Settings *settings, Logger *logger, Adm *admission,
         BckPool *pool, AnnListener changed, void *context)
{
    *ann = (Ann){
        .settings = settings,
        .logger = logger,
        .admission = admission,
        .pool = pool,
        .changed = changed,
        .context = context,
    };
}

void
Ann_Finish(Ann *ann)
{
    StrBuf_Finish(&ann->service);
}

void
Ann_Serve(Ann *ann, Opr *opr)
{
    Opr_On(opr, Str_LIT("/v1/announce"), false, on_announce, ann);
}

static void
set_gone(Ann *ann, Instant now)
{
    ann->present = false;
    Adm_OnGone(ann->admission);
    ann->changed(ann->context, now);
}

void
Ann_Expire(Ann *ann, Instant now)
{
    if (ann->present && now - ann->heard_at >= ann->settings->backend_expiry) {
        set_gone(ann, now);
    }
}

void
Ann_OnLost(Ann *ann, Instant now)
{
    if (ann->present) {
        set_gone(ann, now);
    }
}
