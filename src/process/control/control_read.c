#include <string.h>

#include "connection/configmsg.h"
#include "process/control/control.h"

/* A node that has not polled for this long gets no announcements. */
#define WATCH_EXPIRY Span_S(5)

/* A poll is answered at once by a replica that was known to be current so long
 * ago; else the replica asks its leader, at most as often. */
#define POLL_AGE_MAX Span_MS(250)

/* A poll that has waited this long is answered with what is known: before the
 * node gives this replica up. */
#define POLL_TIMEOUT Span_MS(150)

/* A replica whose word is older than that, although nodes ask, is behind. */
#define BEHIND_AGE Span_MS(1000)

/* A read that has waited this long is answered as not current. */
#define READ_TIMEOUT Span_MS(500)

static void
fill_presets(const ControlReplica *control,
             const PresetsRequestMessage *request, PresetsReplyMessage *msg,
             StrBuf *evacuated)
{
    const ConfigState *cfg = &control->cfg;
    const StoredPreset *in_force = Cfg_PresetInForce(cfg);
    const StoredPreset *named = request->wants_in_force
                                    ? in_force
                                    : Cfg_FindPreset(cfg, request->name);

    msg->is_current = true;
    msg->version = cfg->version;
    if (in_force) {
        msg->in_force = StrBuf_View(&in_force->name);
    }
    if (named) {
        msg->json = StrBuf_View(&named->json);
    }
    Cfg_ListEvacuated(cfg, evacuated);
    msg->evacuated = StrBuf_View(evacuated);
    msg->count = cfg->preset_count;
    for (uint32_t i = 0; i < cfg->preset_count; i++) {
        msg->items[i].name = StrBuf_View(&cfg->presets[i].name);
        msg->items[i].changed_in = cfg->presets[i].changed_in;
    }
}

static void
answer_presets(ControlReplica *control, const NetOrigin *origin,
               const PresetsRequestMessage *request, bool current, Instant now)
{
    PresetsReplyMessage msg = {.request_number = request->request_number,
                               .leader = Ctl_Leader(control)};
    StrBuf evacuated = {0};
    Pack pack;

    if (current) {
        fill_presets(control, request, &msg, &evacuated);
        if (request->wants_node_versions) {
            Nvs_Fill(&msg.nodes, control->membership);
        }
    }
    Configmsg_PackPresetsReply(&pack, &msg);
    Configmsg_FinishPresetsReply(&msg);
    StrBuf_Finish(&evacuated);
    Ctl_Answer(control, origin, &pack, now);
}

static PendingRead *
find_free_read(ControlReplica *control)
{
    for (size_t i = 0; i < Ctl_PENDING_READS_MAX; i++) {
        if (!control->pending_reads[i].received_at) {
            return &control->pending_reads[i];
        }
    }
    return NULL;
}

/* Returns false when every slot is taken, or the name is too long. */
static bool
add_pending_read(ControlReplica *control, const NetOrigin *origin,
                 const PresetsRequestMessage *request, Instant now)
{
    PendingRead *pending = find_free_read(control);

    if (!pending || request->name.len > Cfg_NAME_BYTES_MAX) {
        return false;
    }
    *pending = (PendingRead){
        .origin = *origin, .query = *request, .received_at = now};
    if (request->name.len) {
        memcpy(pending->preset_name, request->name.ptr, request->name.len);
    }
    pending->query.name = Str_From(pending->preset_name, request->name.len);
    control->has_pending_reads = true;
    return true;
}

static void
on_presets_request(void *context, const NetOrigin *origin, Unpack *in,
                   Instant now)
{
    ControlReplica *control = context;
    PresetsRequestMessage request;
    Err err = {0};

    if (Ctl_RejectMalformed(
            control, Configmsg_ReadPresetsRequest(in, &request, &err), &err)) {
        return;
    }
    if (!control->is_open ||
        (request.leader_only && !Ctl_IsLeading(control, now)) ||
        !add_pending_read(control, origin, &request, now)) {
        answer_presets(control, origin, &request, false, now);
        return;
    }
    Rlog_RequestReadIndex(&control->rlog, now);
    Ctl_AnswerReads(control, now);
}

/* {0, 0} until the replica has caught up with a leader after its start. */
static ConfigVersion
get_known_version(const ControlReplica *control)
{
    return control->is_open && Rlog_HasCaughtUp(&control->rlog)
               ? control->cfg.version
               : (ConfigVersion){0};
}

/* The watcher of NODE, else a free or expired one; NULL when there is none. */
static VersionWatcher *
find_watcher(ControlReplica *control, Addr node, Instant now)
{
    VersionWatcher *free_watcher = NULL;

    for (size_t i = 0; i < control->watcher_count; i++) {
        VersionWatcher *watcher = &control->watchers[i];
        if (watcher->node == node) {
            return watcher;
        }
        if (now - watcher->polled_at >= WATCH_EXPIRY) {
            free_watcher = watcher;
        }
    }
    if (!free_watcher && control->watcher_count < Ctl_WATCHERS_MAX) {
        free_watcher = &control->watchers[control->watcher_count++];
    }
    return free_watcher;
}

static VersionWatcher *
refresh_watcher(ControlReplica *control, const VersionRequestMessage *request,
                const NetOrigin *origin, Instant now)
{
    VersionWatcher *watcher = find_watcher(control, request->node, now);

    if (watcher) {
        *watcher =
            (VersionWatcher){.node = request->node,
                             .origin = *origin,
                             .request_sent_at = request->sent_at,
                             .known_version = request->known_version,
                             .wants_json = request->wants_json,
                             .must_be_current = request->must_be_current,
                             .polled_at = now,
                             .waits_since = now};
    }
    return watcher;
}

/* For how long this replica has not been known to hold every change. */
static Span
get_age(const ControlReplica *control, Instant now)
{
    Instant as_of =
        control->is_open ? Rlog_CurrentAsOf(&control->rlog, now) : 0;

    return as_of ? now - as_of : Configmsg_AGE_NOT_KNOWN;
}

/* Adds what is in force to MSG for a node that has version HAVE.  Its preset
 * is left out where only evacuations changed since. */
static void
fill_content(const ControlReplica *control, ConfigVersion have,
             VersionMessage *msg, StrBuf *evacuated)
{
    const ConfigState *cfg = &control->cfg;

    msg->is_same_preset =
        have.term > 0 && Cfg_CompareVersions(have, cfg->preset_version) >= 0;
    if (!msg->is_same_preset) {
        msg->json = StrBuf_View(&Cfg_PresetInForce(cfg)->json);
    }
    Cfg_ListEvacuated(cfg, evacuated);
    msg->evacuated = StrBuf_View(evacuated);
}

static void
answer_version(ControlReplica *control, const NetOrigin *origin,
               Instant request_sent_at, ConfigVersion have, bool wanted,
               bool current, Instant now)
{
    StrBuf evacuated = {0};
    VersionMessage msg = {
        .is_current = current,
        .age = get_age(control, now),
        .request_sent_at = request_sent_at,
        .leader = Ctl_Leader(control),
        .version = get_known_version(control),
    };
    Pack pack;

    if (wanted && Cfg_PresetInForce(&control->cfg) &&
        Cfg_CompareVersions(msg.version, have) > 0) {
        fill_content(control, have, &msg, &evacuated);
    }
    Configmsg_PackVersion(&pack, &msg);
    StrBuf_Finish(&evacuated);
    Ctl_Answer(control, origin, &pack, now);
}

/* Whether a read that came at SINCE can be answered now.  *CURRENT is set to
 * whether this replica is current as of SINCE; if not, the read has timed out
 * or the folder is closed. */
static bool
can_answer(const ControlReplica *control, Instant since, Instant now,
           bool *current)
{
    *current = control->is_open && Rlog_IsCurrentSince(&control->rlog, since);
    return *current || !control->is_open || now - since >= READ_TIMEOUT;
}

/* Whether the poll of WATCHER can be answered now.  A replica that does not
 * hear a leader would wait in vain. */
static bool
can_answer_poll(const ControlReplica *control, const VersionWatcher *watcher,
                Instant now, bool *current)
{
    bool is_done = can_answer(control, watcher->waits_since, now, current);

    return is_done || (!watcher->must_be_current &&
                       (get_age(control, now) <= POLL_AGE_MAX ||
                        now - watcher->waits_since >= POLL_TIMEOUT ||
                        !Rlog_HasLeaderContact(&control->rlog, now)));
}

static const char *
get_role_name(const ControlReplica *control)
{
    static const char *const names[] = {
        [Rlog_FOLLOWER] = "follower",
        [Rlog_PRE_CANDIDATE] = "pre_candidate",
        [Rlog_CANDIDATE] = "candidate",
        [Rlog_LEADER] = "leader",
    };

    return control->is_open ? names[control->rlog.role] : "closed";
}

/* Logs when this replica falls behind, and when it is current again. */
static void
note_age(ControlReplica *control, Span age, Instant now)
{
    const ReplicatedLog *rlog = &control->rlog;
    StrBuf leader = {0};

    if (control->is_behind ? age > POLL_AGE_MAX : age < BEHIND_AGE) {
        return;
    }
    control->is_behind = !control->is_behind;
    Addr_Print(Ctl_Leader(control), &leader);
    Lgr_Log(control->timeline->logger, Lgr_INFO,
            control->is_behind ? Str_LIT("replica_behind")
                               : Str_LIT("replica_current"),
            "known_ms=%lld role=%s term=%llu leader=%.*s contact=%d "
            "commit=%llu read_index=%llu",
            age < Configmsg_AGE_NOT_KNOWN ? (long long)(age / Span_MS(1)) : -1,
            get_role_name(control),
            control->is_open ? (unsigned long long)rlog->term : 0,
            Str_ARG(leader),
            control->is_open && Rlog_HasLeaderContact(rlog, now),
            control->is_open ? (unsigned long long)rlog->commit_index : 0,
            control->is_open ? (unsigned long long)rlog->read_index : 0);
    StrBuf_Finish(&leader);
}

/* Returns false while WATCHER has to wait. */
static bool
answer_watcher(ControlReplica *control, VersionWatcher *watcher, Instant now)
{
    bool current;

    if (!can_answer_poll(control, watcher, now, &current)) {
        return false;
    }
    watcher->waits_since = 0;
    note_age(control, get_age(control, now), now);
    answer_version(control, &watcher->origin, watcher->request_sent_at,
                   watcher->known_version, watcher->wants_json, current, now);
    return true;
}

/* Answers WATCHER at once if it wants a preset and there is a newer one.
 * Returns true unless what this replica knows is too old: then WATCHER gets
 * another answer. */
static bool
answer_newer(ControlReplica *control, VersionWatcher *watcher, Instant now)
{
    ConfigVersion version = get_known_version(control);

    if (!watcher->wants_json ||
        Cfg_CompareVersions(version, watcher->known_version) <= 0) {
        return false;
    }
    answer_version(control, &watcher->origin, watcher->request_sent_at,
                   watcher->known_version, true, false, now);
    watcher->known_version = version;
    if (get_age(control, now) <= POLL_AGE_MAX) {
        watcher->waits_since = 0;
    }
    return !watcher->waits_since;
}

/* One read serves all polls that wait; a node without a version does not wait
 * for the next one. */
static void
request_poll_read(ControlReplica *control, bool at_once, Instant now)
{
    if (at_once || !control->read_requested_at ||
        now - control->read_requested_at >= POLL_AGE_MAX) {
        control->read_requested_at = now;
        Rlog_RequestReadIndex(&control->rlog, now);
    }
}

static void
on_version_request(void *context, const NetOrigin *origin, Unpack *in,
                   Instant now)
{
    ControlReplica *control = context;
    VersionRequestMessage request;
    Err err = {0};
    VersionWatcher *watcher;

    if (Ctl_RejectMalformed(
            control, Configmsg_ReadVersionRequest(in, &request, &err), &err)) {
        return;
    }
    Sps_OnSummary(control->suspects, origin, &request.suspects, now);
    watcher = refresh_watcher(control, &request, origin, now);
    if (!watcher) {
        answer_version(control, origin, request.sent_at, request.known_version,
                       request.wants_json, false, now);
    }
    else if (!answer_newer(control, watcher, now) &&
             !answer_watcher(control, watcher, now)) {
        control->has_pending_reads = true;
        request_poll_read(control, watcher->must_be_current, now);
        Ctl_AnswerReads(control, now);
    }
}

void
Ctl_AnnounceVersion(ControlReplica *control, Instant now)
{
    ConfigVersion version = get_known_version(control);

    if (Cfg_CompareVersions(version, control->announced_version) <= 0) {
        return;
    }
    control->announced_version = version;
    for (size_t i = 0; i < control->watcher_count; i++) {
        const VersionWatcher *watcher = &control->watchers[i];
        if (now - watcher->polled_at < WATCH_EXPIRY) {
            answer_version(control, &watcher->origin, watcher->request_sent_at,
                           version, false, false, now);
        }
    }
}

void
Ctl_AnswerReads(ControlReplica *control, Instant now)
{
    bool current;
    bool any_pending = false;
    bool must_read;

    if (!control->has_pending_reads) {
        return;
    }
    for (size_t i = 0; i < Ctl_PENDING_READS_MAX; i++) {
        PendingRead *pending = &control->pending_reads[i];
        if (pending->received_at &&
            can_answer(control, pending->received_at, now, &current)) {
            pending->received_at = 0;
            answer_presets(control, &pending->origin, &pending->query, current,
                           now);
        }
        any_pending = any_pending || pending->received_at;
    }
    must_read = any_pending;
    for (size_t i = 0; i < control->watcher_count; i++) {
        VersionWatcher *watcher = &control->watchers[i];
        if (watcher->waits_since && !answer_watcher(control, watcher, now)) {
            any_pending = true;
            must_read = must_read || watcher->must_be_current;
        }
    }
    control->has_pending_reads = any_pending;
    if (must_read) {
        Rlog_RequestReadIndex(&control->rlog, now);
    }
}

void
Ctl_ServeReads(ControlReplica *control)
{
    Net_SetHandler(control->net, Wire_PRESETS_REQUEST, on_presets_request,
                   control);
    Net_SetHandler(control->net, Wire_VERSION_REQUEST, on_version_request,
                   control);
}
