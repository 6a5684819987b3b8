#include "connection/configmsg.h"
#include "process/control.h"

#define WATCH_EXPIRY Span_S(5)

static bool
is_malformed(Control *control, bool read, const Err *err)
{
    if (!read) {
        Cnt_Add(control->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(control->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), err);
    }
    return !read;
}

static void
answer(Control *control, const NetOrigin *origin, Pack *pack, Instant now)
{
    Ctl_Count(control, pack);
    Net_Answer(control->net, origin, Pack_View(pack), now);
    Pack_Finish(pack);
}

static void
answer_change(Control *control, const NetOrigin *origin, ChangedMsg *msg,
              Instant now)
{
    Pack pack;

    msg->leader = Ctl_Leader(control);
    Configmsg_PackChanged(&pack, msg);
    answer(control, origin, &pack, now);
}

void
Ctl_OnDecided(Control *control, uint64_t term, uint64_t index,
              const CfgResult *result, Instant now)
{
    for (size_t i = 0; i < Ctl_WAITERS_MAX; i++) {
        CtlWaiter *waiter = &control->waiters[i];
        if (waiter->index == index && waiter->term == term) {
            ChangedMsg msg = {.ask = waiter->ask,
                              .decided = true,
                              .result = *result,
                              .detail = Cfg_WhyText(result->why)};
            waiter->index = 0;
            answer_change(control, &waiter->origin, &msg, now);
        }
    }
}

static CtlWaiter *
find_free_waiter(Control *control)
{
    for (size_t i = 0; i < Ctl_WAITERS_MAX; i++) {
        if (control->waiters[i].index == 0) {
            return &control->waiters[i];
        }
    }
    return NULL;
}

/* Findings go back as the detail of a refusal. */
static bool
is_sound(Control *control, const ChangeMsg *msg, const NetOrigin *origin,
         Instant now)
{
    const CfgChange *change = &msg->change;
    FindingList findings;
    StrBuf text = {0};
    StrBuf json = {0};
    bool sound;

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("change"));
    sound = Cfg_Check(change, &findings);
    /* On another base it loses, sound or not. */
    if (sound && Cfg_IsRevision(change) &&
        change->base.index == control->cfg.revision) {
        sound = Cfg_Revise(&control->cfg, change, &json, &findings);
    }
    if (!sound) {
        ChangedMsg refusal = {.ask = msg->ask,
                              .decided = true,
                              .result = {.outcome = Cfg_REFUSED}};
        Fnd_Print(&findings, &text);
        refusal.detail =
            Str_Slice(StrBuf_View(&text), 0, Configmsg_DETAIL_MAX);
        answer_change(control, origin, &refusal, now);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    StrBuf_Finish(&json);
    return sound;
}

static void
propose(Control *control, const ChangeMsg *msg, CtlWaiter *waiter,
        const NetOrigin *origin, Instant now)
{
    Pack pack;

    /* A replica alone commits before Rlog_Propose returns. */
    waiter->origin = *origin;
    waiter->ask = msg->ask;
    waiter->term = control->rlog.term;
    waiter->index = Rlog_LastIndex(&control->rlog) + 1;
    Pack_Init(&pack, Cfg_CHANGE_FIELDS);
    Cfg_PackChange(&pack, &msg->change);
    Rlog_Propose(&control->rlog, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
on_change(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Control *control = context;
    ChangeMsg msg;
    ChangedMsg changed = {0};
    CtlWaiter *waiter = find_free_waiter(control);
    Err err = {0};

    if (is_malformed(control, Configmsg_ReadChange(in, &msg, &err), &err)) {
        return;
    }
    changed.ask = msg.ask;
    if (!Ctl_IsCurrent(control, now) || !waiter) {
        answer_change(control, origin, &changed, now);
        return;
    }
    if (Cfg_Recall(&control->cfg, &msg.change, &changed.result)) {
        changed.decided = true;
        changed.detail = Cfg_WhyText(changed.result.why);
        answer_change(control, origin, &changed, now);
        return;
    }
    if (!is_sound(control, &msg, origin, now)) {
        return;
    }
    propose(control, &msg, waiter, origin, now);
}

static void
fill_presets(const Control *control, const PresetsAskMsg *ask, PresetsMsg *msg)
{
    const Cfg *cfg = &control->cfg;
    const CfgPreset *in_force = Cfg_InForce(cfg);
    const CfgPreset *named =
        ask->in_force ? in_force : Cfg_Find(cfg, ask->name);

    msg->current = true;
    msg->version = cfg->version;
    if (in_force) {
        msg->in_force = StrBuf_View(&in_force->name);
    }
    if (named) {
        msg->json = StrBuf_View(&named->json);
    }
    msg->count = cfg->preset_count;
    for (uint32_t i = 0; i < cfg->preset_count; i++) {
        msg->items[i].name = StrBuf_View(&cfg->presets[i].name);
        msg->items[i].changed = cfg->presets[i].changed;
    }
}

static void
on_presets_ask(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Control *control = context;
    PresetsAskMsg ask;
    PresetsMsg msg = {0};
    Pack pack;
    Err err = {0};

    if (is_malformed(control, Configmsg_ReadPresetsAsk(in, &ask, &err),
                     &err)) {
        return;
    }
    msg.ask = ask.ask;
    msg.leader = Ctl_Leader(control);
    if (Ctl_IsCurrent(control, now)) {
        fill_presets(control, &ask, &msg);
        if (ask.versions) {
            Nvs_Fill(&msg.nodes, control->membership);
        }
    }
    Configmsg_PackPresets(&pack, &msg);
    Configmsg_FinishPresets(&msg);
    answer(control, origin, &pack, now);
}

/* A replica that has not caught up since its start knows of nothing. */
static CfgVersion
known_version(const Control *control)
{
    return control->open && Rlog_IsSettled(&control->rlog)
               ? control->cfg.version
               : (CfgVersion){0};
}

static CtlWatcher *
find_watcher(Control *control, Addr node, Instant now)
{
    CtlWatcher *free = NULL;

    for (size_t i = 0; i < control->watcher_count; i++) {
        CtlWatcher *watcher = &control->watchers[i];
        if (watcher->node == node) {
            return watcher;
        }
        if (now - watcher->asked_at >= WATCH_EXPIRY) {
            free = watcher;
        }
    }
    if (!free && control->watcher_count < Ctl_WATCHERS_MAX) {
        free = &control->watchers[control->watcher_count++];
    }
    return free;
}

static void
keep_watcher(Control *control, Addr node, const NetOrigin *origin, Instant now)
{
    CtlWatcher *watcher = find_watcher(control, node, now);

    if (watcher) {
        *watcher = (CtlWatcher){node, *origin, now};
    }
}

static void
on_version_ask(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Control *control = context;
    const CfgPreset *in_force = Cfg_InForce(&control->cfg);
    VersionAskMsg ask;
    VersionMsg msg = {0};
    Pack pack;
    Err err = {0};

    if (is_malformed(control, Configmsg_ReadVersionAsk(in, &ask, &err),
                     &err)) {
        return;
    }
    keep_watcher(control, ask.node, origin, now);
    msg.current = Ctl_IsCurrent(control, now);
    msg.linked =
        msg.current || (control->open && Rlog_IsLinked(&control->rlog, now));
    msg.leader = Ctl_Leader(control);
    msg.version = known_version(control);
    if (ask.wanted && in_force &&
        Cfg_CompareVersions(msg.version, ask.have) > 0) {
        msg.json = StrBuf_View(&in_force->json);
    }
    Configmsg_PackVersion(&pack, &msg);
    answer(control, origin, &pack, now);
}

void
Ctl_TellVersion(Control *control, Instant now)
{
    VersionMsg msg = {
        .linked = true,
        .leader = Ctl_Leader(control),
        .version = known_version(control),
    };
    Pack pack;

    if (Cfg_CompareVersions(msg.version, control->told) <= 0) {
        return;
    }
    control->told = msg.version;
    Configmsg_PackVersion(&pack, &msg);
    for (size_t i = 0; i < control->watcher_count; i++) {
        const CtlWatcher *watcher = &control->watchers[i];
        if (now - watcher->asked_at < WATCH_EXPIRY) {
            Ctl_Count(control, &pack);
            Net_Answer(control->net, &watcher->origin, Pack_View(&pack), now);
        }
    }
    Pack_Finish(&pack);
}

void
Ctl_Serve(Control *control)
{
    Net_On(control->net, Wire_CHANGE, on_change, control);
    Net_On(control->net, Wire_PRESETS_ASK, on_presets_ask, control);
    Net_On(control->net, Wire_VERSION_ASK, on_version_ask, control);
}
