#include "process/node.h"

#include "process/incarnation.h"
#include "process/suspectops.h"

#include "request/fence.h"
#include "request/split.h"

#define TICK Span_MS(10)

/* Within so many heartbeats every node knows that another leaves. */
enum { SETTLE_BEATS = 4 };

/* A node that starts takes callers once it knows the version in force and,
 * for so long, some backend server; without one, so many heartbeats later. */
#define OPEN_SETTLE Span_MS(100)
enum { OPEN_BEATS = 2 };

/* And without knowing it after this: it tells callers so. */
#define OPEN_ANYWAY Span_S(5)

/* In the time line of the control replicas only: each node would say it. */
static void
tell_member(Node *node, MemberChange change, const MemberRecord *record)
{
    StrBuf addr = {0};

    if (node->settings->control && change != Mbr_CHANGED) {
        Addr_Print(record->node, &addr);
        Tml_Record(&node->timeline,
                   change == Mbr_JOINED ? Tml_MEMBER_CAME : Tml_MEMBER_GONE,
                   "%.*s service=%.*s%s", Str_ARG(addr),
                   Str_ARG(record->service),
                   record->is_leaving ? " left" : "");
        StrBuf_Finish(&addr);
    }
}

static void
on_member(void *context, MemberChange change, const MemberRecord *record,
          Instant now)
{
    Node *node = context;

    if (record->is_replica) {
        Rps_SetMember(&node->replicas, record->node, change != Mbr_REMOVED);
    }
    Svc_OnMember(&node->services, change, record, now);
    Svc_SetNodes(&node->services,
                 Mbr_CountBackends(&node->members.membership));
    tell_member(node, change, record);
    if (change == Mbr_REMOVED) {
        Net_Drop(&node->net, record->node);
    }
}

static void
on_backend_lost(void *context, Instant now)
{
    Node *node = context;

    Ann_OnBackendLost(&node->ann, now);
}

/* An answer of the backend server told its load. */
static void
on_load(void *context, Str text, Instant now)
{
    Node *node = context;
    BackendLoad word;

    if (Load_Parse(text, &word)) {
        Adm_OnPaceReport(&node->admission, &word, now);
    }
    else {
        Cnt_Add(&node->counters, Cnt_MALFORMED, 1);
        Lgr_Log(&node->logger, Lgr_DEBUG, Str_LIT("load_not_readable"), "%.*s",
                Str_ARG(text));
    }
}

static void
on_announced(void *context, Instant now)
{
    Node *node = context;
    const AnnouncementReceiver *ann = &node->ann;
    TimelineKind kind = !ann->has_backend  ? Tml_BACKEND_GONE
                        : ann->is_draining ? Tml_BACKEND_DRAINS
                                           : Tml_BACKEND_CAME;

    Run_SetPreset(&node->runs, &node->in_force->preset,
                  StrBuf_View(&ann->service));
    Tml_Record(&node->timeline, kind, "service=%.*s", Str_ARG(ann->service));
    Mbs_SendHeartbeat(&node->members, now);
}

static StopActivity
stop_load(const Node *node)
{
    return (StopActivity){
        .calls = node->calls.count,
        .local_attempts = node->runs.count,
        .http_exchanges = Edge_Busy(&node->edge),
        .client_connections = Edge_Callers(&node->edge),
        .last_peer_attempt_at = node->runs.last_call_at,
    };
}

static void
take_stop_step(Node *node, Instant now)
{
    StopActivity load = stop_load(node);

    switch (Stp_NextStep(&node->stop, &load, now)) {
    case Stp_WAIT:
        break;
    case Stp_LEAVE:
        Adm_Stop(&node->admission);
        Mbs_Leave(&node->members, now);
        if (node->stop.keep_alive_disabled) {
            Edge_Refuse(&node->edge);
        }
        break;
    case Stp_DISABLE_KEEP_ALIVE:
        Edge_Refuse(&node->edge);
        break;
    case Stp_STOP_LISTENING:
        Edge_StopListening(&node->edge);
        break;
    case Stp_CLOSE_IDLE_CONNECTIONS:
        Edge_CloseIdle(&node->edge);
        break;
    case Stp_EXIT:
        Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("stopped"),
                "cut=%d calls=%zu runs=%zu", node->stop.timed_out, load.calls,
                load.local_attempts);
        Loop_Stop(&node->loop);
        break;
    }
}

/* After how long each thing was there that it waited for; -1: not yet. */
static long long
ms_since_start(const Node *node, Instant at)
{
    return at ? (at - node->started_at) / 1000 : -1;
}

static void
tell_open(Node *node, Instant now)
{
    Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("callers_let_in"),
            "after_ms=%lld version_after_ms=%lld backends_after_ms=%lld "
            "registers=%d",
            ms_since_start(node, now),
            ms_since_start(node, node->confirmed_at),
            ms_since_start(node, node->served_at), Acc_IsReady(&node->holder));
}

static void
open_when_ready(Node *node, Instant now)
{
    Span beats = node->settings->heartbeat * OPEN_BEATS;
    bool settled;

    if (node->open) {
        return;
    }
    if (!node->confirmed_at && node->calls.version_confirmed) {
        node->confirmed_at = now;
    }
    if (!node->served_at && Svc_KnowsAny(&node->services)) {
        node->served_at = now;
    }
    settled = node->confirmed_at &&
              ((node->served_at && now - node->served_at >= OPEN_SETTLE) ||
               now - node->confirmed_at >= beats);
    /* Who restarts nodes in turn waits for this one: its registers count. */
    if ((settled && Acc_IsReady(&node->holder)) ||
        now - node->started_at >= OPEN_ANYWAY) {
        tell_open(node, now);
        Edge_Open(&node->edge);
        node->open = true;
    }
}

/* Whether callers are to come here. */
static bool
is_ready(void *context)
{
    const Node *node = context;

    return node->open && node->calls.version_confirmed &&
           !node->stop.signaled_at;
}

static void
on_replica_moved(void *context, size_t number)
{
    Node *node = context;

    Mbs_OnReplicaReplaced(&node->members, number);
    node->control.peers[number] = (PeerReplica){0};
}

static void
on_tick(void *context, Instant now)
{
    Node *node = context;

    Ann_Expire(&node->ann, now);
    Call_DispatcherTick(&node->calls, now);
    Run_Tick(&node->runs, now);
    if (!node->suspects.is_synced && Ctl_IsFirstStart(&node->control)) {
        Sps_SetSynced(&node->suspects);
    }
    Sps_Tick(&node->suspects, now);
    open_when_ready(node, now);
    take_stop_step(node, now);
    Psd_OnTick(&node->measure, now);
    Edge_Tick(&node->edge, now);
}

static bool
load_preset(Node *node, Err *err)
{
    StrBuf text = {0};
    FindingList findings;
    Preset preset;
    bool good;

    if (!Set_ReadFile(StrBuf_View(&node->settings->preset), &node->preset_json,
                      err)) {
        return false;
    }
    if (node->preset_json.len > Cfg_JSON_BYTES_MAX) {
        return Err_SET(err, Err_TOO_LARGE, "%.*s is over %d bytes",
                       Str_ARG(node->settings->preset), Cfg_JSON_BYTES_MAX);
    }
    Fnd_Init(&findings);
    good = Set_LoadPreset(StrBuf_View(&node->settings->preset), &preset,
                          &findings);
    if (good) {
        Spl_ContinueFrom(&preset, NULL, &node->rng);
        node->in_force = Shp_New(&preset, (ConfigVersion){0});
    }
    else {
        Fnd_Print(&findings, &text);
        Err_SET(err, Err_MALFORMED, "%.*s", Str_ARG(text));
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    return good;
}

static void
use_preset(Node *node)
{
    const PresetLimits *limits = &node->in_force->preset.limits;
    AdmissionSettings admission = {
        .queue_max = limits->queue_max,
        .patient_queue_max = limits->patient_queue_max,
        .slow_start = node->settings->ramp,
    };

    node->calls.in_force = node->in_force;
    Svc_SetLimits(&node->services, limits);
    Psd_SetLimits(&node->measure, limits, Loop_Now());
    Lnk_SetRate(&node->calls.link_budget, limits->link_bytes_per_s,
                Loop_Now());
    Adm_SetSettings(&node->admission, &admission);
    Run_SetPreset(&node->runs, &node->in_force->preset,
                  StrBuf_View(&node->ann.service));
    Acc_SetLimits(&node->holder, limits);
    Sps_SetPreset(&node->suspects, &node->in_force->preset);
}

/* A confirmed version comes into force; calls under way keep theirs. */
static bool
on_version(void *context, ConfigVersion version, Str json, Instant now)
{
    Node *node = context;
    Preset preset;
    FindingList findings;
    bool good;

    Fnd_Init(&findings);
    good = Pst_Parse(&preset, json, &findings);
    if (good) {
        Spl_ContinueFrom(&preset, &node->in_force->preset, &node->rng);
        Shp_Release(node->in_force);
        node->in_force = Shp_New(&preset, version);
        use_preset(node);
        Edge_SetPreset(&node->edge, &node->in_force->preset);
        node->calls.version_confirmed = true;
        Mbs_SetVersion(&node->members, version, now);
        Tml_Record(&node->timeline, Tml_IN_FORCE,
                   "preset=%.*s version=%llu.%llu",
                   Str_ARG(node->in_force->preset.name),
                   (unsigned long long)version.term,
                   (unsigned long long)version.index);
    }
    else {
        Lgr_Log(&node->logger, Lgr_ERROR, Str_LIT("version_not_readable"),
                "version=%llu.%llu findings=%zu",
                (unsigned long long)version.term,
                (unsigned long long)version.index, findings.count);
    }
    Fnd_Finish(&findings);
    return good;
}

static bool
init_fronts(Node *node, Err *err)
{
    Settings *settings = node->settings;

    if (!Edge_Init(&node->edge, &node->loop, settings, &node->calls, err)) {
        return false;
    }
    if (!Opr_Init(&node->opr, &node->loop, settings, &node->timeline,
                  &node->counters, err)) {
        Edge_Finish(&node->edge);
        return false;
    }
    if (!Rdy_Init(&node->ready, &node->loop, settings->ready, is_ready, node,
                  err)) {
        Opr_Finish(&node->opr);
        Edge_Finish(&node->edge);
        return false;
    }
    Ann_RegisterPaths(&node->ann, &node->opr);
    Configapi_Serve(&node->changes, &node->opr);
    node->show = (Show){
        .settings = settings,
        .timeline = &node->timeline,
        .counters = &node->counters,
        .latencies = &node->latencies,
        .members = &node->members,
        .calls = &node->calls,
        .runs = &node->runs,
        .suspects = &node->suspects,
    };
    Shw_Serve(&node->show, &node->opr);
    Sop_RegisterEndpoints(&node->suspects, &node->opr);
    return true;
}

static BackendHeaderNames
backend_names(const HeaderFieldNames *names)
{
    return (BackendHeaderNames){
        .request_id = StrBuf_View(&names->request_id),
        .deadline = StrBuf_View(&names->deadline),
        .expected_instance = StrBuf_View(&names->expect_instance),
        .not_run = StrBuf_View(&names->not_run),
        .load = StrBuf_View(&names->load),
    };
}

static bool
is_inside(void *context, Instant deadline)
{
    return Run_HasAttemptUntil(context, deadline);
}

static void
init_parts(Node *node)
{
    Settings *settings = node->settings;
    AdmissionSettings admission = {0};
    const BackendHeaderNames names = backend_names(&settings->header_fields);

    Rps_Init(&node->replicas, settings, on_replica_moved, node);
    Adm_Init(&node->admission, &admission);
    if (node->recorder.file) {
        Adm_SetObserver(&node->admission, Rec_OnAdmission, &node->recorder);
    }
    Bck_PoolInit(&node->pool, node->loop.base, Loop_Now, &names);
    Bck_SetLoadCallback(&node->pool, on_load, node);
    Ann_Init(&node->ann, settings, &node->logger, &node->admission,
             &node->pool, on_announced, node);
    Svc_Init(&node->services, settings->address, settings->region_number,
             settings->domain_index, &node->rng);
    Psd_Init(&node->measure, &node->net, &node->counters, &node->services);
    Mbs_Init(&node->members, &node->loop, &node->net, &node->counters,
             &node->logger, settings, &node->ann, &node->admission,
             node->incarnation, on_member, node);
    Call_DispatcherInit(&node->calls, &node->net, &node->counters,
                        &node->timeline, &node->latencies, &node->services,
                        &node->suspects, settings, node->incarnation);
    Sps_Init(&node->suspects, &node->net, &node->counters, &node->timeline,
             settings, &node->members);
    Run_InitRunner(&node->runs, &node->net, &node->counters, &node->timeline,
                   &node->latencies, &node->admission, &node->pool,
                   &node->suspects, node->incarnation);
    if (node->ledger_recorder.file) {
        Led_SetObserver(&node->runs.ledger, Rec_OnLedger,
                        &node->ledger_recorder);
    }
    Run_SetBackendLostCallback(&node->runs, on_backend_lost, node);
    node->calls.enclosing_run_context = &node->runs;
    node->calls.has_enclosing_run = is_inside;
    Fnc_RegisterHandlers(&node->runs);
    Acc_Init(&node->holder, &node->loop, &node->net, &node->counters,
             &node->timeline, settings, node->incarnation,
             &node->in_force->preset.limits);
    use_preset(node);
    Sps_Load(&node->suspects, Loop_Now());
    Ctl_Init(&node->control, &node->loop, &node->net, &node->counters,
             &node->timeline, settings, &node->rng, &node->members.membership,
             &node->replicas, &node->suspects,
             StrBuf_View(&node->in_force->preset.name),
             StrBuf_View(&node->preset_json));
    Fol_Init(&node->follow, &node->loop, &node->net, &node->counters,
             &node->timeline, settings, &node->members.membership,
             &node->suspects, on_version, node);
    Configapi_Init(&node->changes, &node->loop, &node->net, &node->counters,
                   settings, &node->follow, &node->members.membership,
                   &node->control, &node->in_force);
}

static void
finish_parts(Node *node)
{
    Configapi_Finish(&node->changes);
    Fol_Finish(&node->follow);
    Ctl_Finish(&node->control);
    Acc_Finish(&node->holder);
    Run_FinishRunner(&node->runs);
    Call_DispatcherFinish(&node->calls);
    Mbs_Finish(&node->members);
    Svc_Finish(&node->services);
    Ann_Finish(&node->ann);
    Bck_PoolFinish(&node->pool);
}

static bool
init_recorders(Node *node, Err *err)
{
    Str file = StrBuf_View(&node->settings->record);

    return Rec_Init(&node->recorder, Str_LIT("admission"), file, (Str){0},
                    err) &&
           Rec_Init(&node->ledger_recorder, Str_LIT("ledger"), file,
                    Str_LIT(".ledger"), err);
}

bool
Node_Init(Node *node, Settings *settings, Err *err)
{
    *node = (Node){.settings = settings};
    if (!Loop_Init(&node->loop, err)) {
        return false;
    }
    Lgr_Init(&node->logger, settings->log_level, StrBuf_View(&settings->name),
             Loop_WallClock);
    node->logger.lines_per_s = settings->log_lines_per_s;
    node->logger.counters = &node->counters;
    Tml_Init(&node->timeline, &node->logger);
    Cnt_Init(&node->counters);
    Lat_Init(&node->latencies);
    Rng_Init(&node->rng, Loop_Entropy());
    node->incarnation = Inc_Make(Loop_WallClock(), Loop_Entropy());
    if (!load_preset(node, err) || !init_recorders(node, err) ||
        !Net_Init(&node->net, &node->loop, &node->timeline, &node->counters,
                  settings, err)) {
        return false;
    }
    init_parts(node);
    if (!init_fronts(node, err)) {
        finish_parts(node);
        Net_Finish(&node->net);
        return false;
    }
    Stp_Init(&node->stop, &(StopSettings){settings->stop_bound,
                                          settings->heartbeat * SETTLE_BEATS,
                                          settings->stop_notice});
    node->started_at = Loop_Now();
    LoopTimer_Init(&node->tick, &node->loop, TICK, on_tick, node);
    Tml_Record(&node->timeline, Tml_STARTED, "incarnation=%llu",
               (unsigned long long)node->incarnation);
    return true;
}

void
Node_Finish(Node *node)
{
    LoopTimer_Finish(&node->tick);
    Configapi_Finish(&node->changes); /* answers while there is a front */
    Rdy_Finish(&node->ready);
    Opr_Finish(&node->opr);
    Edge_Finish(&node->edge);
    finish_parts(node);
    Net_Finish(&node->net);
    Rec_Finish(&node->recorder);
    Rec_Finish(&node->ledger_recorder);
    Shp_Release(node->in_force);
    StrBuf_Finish(&node->preset_json);
    Rng_Finish(&node->rng);
    Lat_Finish(&node->latencies);
    Lgr_Finish(&node->logger);
    Loop_Finish(&node->loop);
}

void
Node_Run(Node *node)
{
    Loop_Run(&node->loop);
}

void
Node_Stop(Node *node, Instant now)
{
    Tml_Record(&node->timeline, Tml_STOPPING, "calls=%zu runs=%zu",
               node->calls.count, node->runs.count);
    Stp_OnSignal(&node->stop, now);
    take_stop_step(node, now);
}
