#include "process/node.h"

#include "process/lifecycle/incarnation.h"
#include "process/suspects/suspectops.h"

#include "request/fence.h"
#include "request/split.h"

#define TIMER_PERIOD Span_MS(10)

/* Heartbeats within which all nodes learn that a node leaves. */
enum { LEAVE_HEARTBEATS = 4 };

/* After its start, a node accepts callers once it knows the configuration
 * version in force, and then either has known a backend server for
 * BACKEND_SETTLE_TIME, or has waited BACKEND_WAIT_HEARTBEATS for one. */
#define BACKEND_SETTLE_TIME Span_MS(100)
enum { BACKEND_WAIT_HEARTBEATS = 2 };

/* After this time, a node accepts callers in any case.  Without a version in
 * force, it answers them with an error that says so. */
#define STARTUP_TIME_MAX Span_S(5)

/* Records in the timeline that a node joined or was removed.  Only control
 * replicas record it, because otherwise each node of the fleet would. */
static void
record_member_change(Node *node, MemberChange change,
                     const MemberRecord *record)
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
on_member_change(void *context, MemberChange change,
                 const MemberRecord *record, Instant now)
{
    Node *node = context;

    if (record->is_replica) {
        Rps_SetMember(&node->replicas, record->node, change != Mbr_REMOVED);
    }
    Svc_OnMemberChange(&node->services, change, record, now);
    Svc_SetNodeCount(&node->services,
                     Mbr_CountBackends(&node->members.membership));
    record_member_change(node, change, record);
    if (change == Mbr_REMOVED) {
        Net_ClosePeer(&node->net, record->node);
    }
}

static void
on_backend_lost(void *context, Instant now)
{
    Node *node = context;

    Ann_OnBackendLost(&node->announcements, now);
}

/* Reads the load report TEXT, which came with an answer of the backend
 * server. */
static void
on_load_report(void *context, Str text, Instant now)
{
    Node *node = context;
    BackendLoad load;

    if (Load_Parse(text, &load)) {
        Adm_OnPaceReport(&node->admission, &load, now);
    }
    else {
        Cnt_Add(&node->counters, Cnt_MALFORMED, 1);
        Lgr_Log(&node->logger, Lgr_DEBUG, Str_LIT("load_not_readable"), "%.*s",
                Str_ARG(text));
    }
}

static void
on_backend_change(void *context, Instant now)
{
    Node *node = context;
    const AnnouncementReceiver *announcements = &node->announcements;
    TimelineKind kind = !announcements->has_backend  ? Tml_BACKEND_GONE
                        : announcements->is_draining ? Tml_BACKEND_DRAINS
                                                     : Tml_BACKEND_CAME;

    Run_SetPreset(&node->runner, &node->in_force->preset,
                  StrBuf_View(&announcements->service));
    Tml_Record(&node->timeline, kind, "service=%.*s",
               Str_ARG(announcements->service));
    Mbs_SendHeartbeat(&node->members, now);
}

static StopActivity
get_stop_activity(Node *node, Instant now)
{
    return (StopActivity){
        .calls = node->dispatcher.calls.count,
        .local_attempts = node->runner.attempts.count,
        .http_exchanges = Edge_CountRequests(&node->edge),
        .caller_connections = Edge_CountConnections(&node->edge),
        .unconfirmed_peers = Run_ConfirmPieces(&node->runner, now),
        .partial_requests = Edge_CountPartialRequests(&node->edge, now),
        .last_peer_attempt_at = node->runner.last_call_at,
    };
}

/* Logs what the exit cuts off, and when the last piece of an answer was sent
 * to another node, which may not have it yet. */
static void
log_stopped(Node *node, const StopActivity *activity, Instant now)
{
    Instant last_piece_at = node->runner.last_piece_at;

    Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("stopped"),
            "cut=%d calls=%zu runs=%zu requests=%zu connections=%zu "
            "reading=%zu unsent=%zu unconfirmed=%zu last_piece_ms=%lld",
            node->stop.timed_out, activity->calls, activity->local_attempts,
            activity->http_exchanges, activity->caller_connections,
            activity->partial_requests, Edge_CountUnsentBytes(&node->edge),
            activity->unconfirmed_peers,
            last_piece_at ? (long long)(now - last_piece_at) / 1000 : -1);
}

/* Carries out the next action of a stop that is under way. */
static void
do_next_stop_step(Node *node, Instant now)
{
    StopActivity activity;

    if (!node->stop.signaled_at) {
        return;
    }
    activity = get_stop_activity(node, now);
    switch (Stp_NextStep(&node->stop, &activity, now)) {
    case Stp_WAIT:
        break;
    case Stp_LEAVE:
        Adm_Stop(&node->admission);
        Mbs_Leave(&node->members, now);
        if (node->stop.draining_at) {
            Edge_StartDraining(&node->edge);
        }
        break;
    case Stp_DISABLE_KEEP_ALIVE:
        Edge_StartDraining(&node->edge);
        break;
    case Stp_STOP_LISTENING:
        Edge_StopListening(&node->edge);
        break;
    case Stp_CLOSE_IDLE_CONNECTIONS:
        Edge_CloseIdle(&node->edge);
        break;
    case Stp_REJECT_PARTIAL:
        Edge_RejectPartialRequests(&node->edge, now);
        break;
    case Stp_EXIT:
        log_stopped(node, &activity, now);
        Loop_Stop(&node->loop);
        break;
    }
}

/* Returns the milliseconds from the node's start to AT; -1 if AT is 0. */
static long long
get_ms_since_start(const Node *node, Instant at)
{
    return at ? (at - node->started_at) / 1000 : -1;
}

static void
log_accepting_callers(Node *node, Instant now)
{
    Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("callers_accepted"),
            "after_ms=%lld version_after_ms=%lld backends_after_ms=%lld "
            "registers=%d",
            get_ms_since_start(node, now),
            get_ms_since_start(node, node->version_confirmed_at),
            get_ms_since_start(node, node->backend_known_at),
            Acc_IsReady(&node->register_acceptor));
}

static void
accept_callers_when_ready(Node *node, Instant now)
{
    Span backend_wait = node->settings->heartbeat * BACKEND_WAIT_HEARTBEATS;
    bool startup_done;

    if (node->accepts_callers) {
        return;
    }
    if (!node->version_confirmed_at && node->dispatcher.version_confirmed) {
        node->version_confirmed_at = now;
    }
    if (!node->backend_known_at && Svc_HasBackend(&node->services)) {
        node->backend_known_at = now;
    }
    startup_done = node->version_confirmed_at &&
                   ((node->backend_known_at &&
                     now - node->backend_known_at >= BACKEND_SETTLE_TIME) ||
                    now - node->version_confirmed_at >= backend_wait);
    /* Rolling restarts wait until this node accepts callers before they
     * restart the next one.  So this node waits for its registers as well:
     * until they are read again, its acceptor is missing from the quorum. */
    if ((startup_done && Acc_IsReady(&node->register_acceptor)) ||
        now - node->started_at >= STARTUP_TIME_MAX) {
        log_accepting_callers(node, now);
        Edge_StartAccepting(&node->edge);
        node->accepts_callers = true;
    }
}

/* The ReadinessCallback: true from the time when calls can be served until a
 * stop begins. */
static bool
is_ready(void *context)
{
    const Node *node = context;

    return node->accepts_callers && node->dispatcher.version_confirmed &&
           !node->stop.signaled_at;
}

static void
on_replica_replaced(void *context, size_t number)
{
    Node *node = context;

    Mbs_OnReplicaReplaced(&node->members, number);
    Lvs_OnReplicaReplaced(&node->leaves, number);
    node->control.peers[number] = (PeerReplica){0};
}

static void
on_timer(void *context, Instant now)
{
    Node *node = context;

    Stp_OnOwnPause(&node->stop, Opa_GetLateness(&node->own_pause, now), now);
    Opa_OnTick(&node->own_pause, now);
    Lvs_Tick(&node->leaves, now);
    Ann_Expire(&node->announcements, now);
    if (!Stp_MayStartCalls(&node->stop, false, now)) {
        Call_StopStarting(&node->dispatcher, false, now);
        Run_StartFlushing(&node->runner, now);
        Edge_PushOutput(&node->edge);
    }
    if (!Stp_MayStartCalls(&node->stop, true, now)) {
        Call_StopStarting(&node->dispatcher, true, now);
    }
    Qsy_Tick(&node->quota, now);
    Call_DispatcherTick(&node->dispatcher, now);
    Run_Tick(&node->runner, now);
    Svc_Tick(&node->services, now);
    if (!node->suspects.is_synced && Ctl_IsFirstStart(&node->control)) {
        Sps_SetSynced(&node->suspects);
    }
    Sps_Tick(&node->suspects, now);
    accept_callers_when_ready(node, now);
    do_next_stop_step(node, now);
    Psd_OnTick(&node->probe_sender, now);
    Edge_CheckTimeouts(&node->edge, now);
    Mch_Trim(&node->trim, node->budget.used, now);
}

/* Reads the preset that the settings name.  Its limits apply until the first
 * version is confirmed; until then calls are refused. */
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
        node->in_force = Shp_New(&preset, (ConfigVersion){0}, Loop_Entropy());
    }
    else {
        Fnd_Print(&findings, &text);
        Err_SET(err, Err_MALFORMED, "%.*s", Str_ARG(text));
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    return good;
}

/* Passes the preset in force to the modules that depend on it. */
static void
apply_preset(Node *node)
{
    const PresetLimits *limits = &node->in_force->preset.limits;
    AdmissionSettings admission = {
        .queue_max = limits->queue_max,
        .patient_queue_max = limits->patient_queue_max,
        .slow_start = node->settings->ramp,
    };

    node->dispatcher.in_force = node->in_force;
    Svc_SetLimits(&node->services, limits);
    Svc_SetBound(&node->services, Pst_HasBoundCalls(&node->in_force->preset));
    Psd_SetLimits(&node->probe_sender, limits, Loop_Now());
    Lnk_SetRate(&node->dispatcher.link_budget, limits->link_bytes_per_s,
                Loop_Now());
    Adm_SetSettings(&node->admission, &admission);
    Run_SetPreset(&node->runner, &node->in_force->preset,
                  StrBuf_View(&node->announcements.service));
    Acc_SetLimits(&node->register_acceptor, limits);
    Sps_SetPreset(&node->suspects, &node->in_force->preset);
    Qsy_SetPreset(&node->quota, &node->in_force->preset, Loop_Now());
}

/* Puts the preset of CONTENT in force.  Calls in flight keep the preset that
 * they started with.  Returns false when it can't be read. */
static bool
replace_preset(Node *node, const VersionContent *content)
{
    ConfigVersion version = content->version;
    Preset preset;
    FindingList findings;
    bool good;

    Fnd_Init(&findings);
    good = Pst_Parse(&preset, content->json, &findings);
    if (good) {
        Spl_ContinueFrom(&preset, &node->in_force->preset, &node->rng);
        Shp_Release(node->in_force);
        node->in_force = Shp_New(&preset, version, Loop_Entropy());
        apply_preset(node);
        Ann_SetPreset(&node->announcements, &node->in_force->preset);
        Edge_SetPreset(&node->edge, &node->in_force->preset);
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

/* Passes the evacuated failure domains on to all that choose where calls go,
 * and to admission beside this node's backend server. */
static void
apply_evacuated(Node *node, Str evacuated, Instant now)
{
    const Settings *settings = node->settings;
    DomainMask domains = 0;
    bool is_own;

    for (size_t i = 0; i < settings->domain_count; i++) {
        if (Cfg_IsListed(evacuated, StrBuf_View(&settings->domains[i].name))) {
            domains |= Rgm_Bit((uint16_t)i);
        }
    }
    Svc_SetEvacuated(&node->services, domains, now);
    Sps_SetEvacuated(&node->suspects, domains);
    is_own = Rgm_Has(domains, settings->domain_index);
    if (is_own != node->admission.evacuated) {
        Lgr_Log(&node->logger, Lgr_INFO,
                is_own ? Str_LIT("evacuated") : Str_LIT("evacuation_ended"),
                "running=%u queued=%u", node->admission.running,
                node->admission.queued[Adm_INTERACTIVE] +
                    node->admission.queued[Adm_PATIENT]);
    }
    Adm_SetEvacuated(&node->admission, is_own);
    Run_Tick(&node->runner, now);
}

static size_t
count_lines(Str text)
{
    size_t count = 0;

    for (size_t i = 0; i < text.len; i++) {
        count += text.ptr[i] == '\n';
    }
    return count;
}

/* The VersionApplyCallback: puts a confirmed version in force. */
static bool
apply_version(void *context, const VersionContent *content, Instant now)
{
    Node *node = context;
    ConfigVersion version = content->version;

    /* An evacuation holds also where this node can't read the preset. */
    apply_evacuated(node, content->evacuated, now);
    if (content->json.len && !replace_preset(node, content)) {
        return false;
    }
    node->in_force->version = version;
    node->dispatcher.version_confirmed = true;
    Mbs_SetVersion(&node->members, version, now);
    Tml_Record(
        &node->timeline, Tml_IN_FORCE,
        "preset=%.*s version=%llu.%llu evacuated=%zu",
        Str_ARG(node->in_force->preset.name), (unsigned long long)version.term,
        (unsigned long long)version.index, count_lines(content->evacuated));
    return true;
}

static bool
init_http_servers(Node *node, Err *err)
{
    Settings *settings = node->settings;

    if (!Edge_Init(&node->edge, &node->loop, settings, &node->dispatcher,
                   &node->budget, node->descriptors.callers, err)) {
        return false;
    }
    if (!Opr_Init(&node->operator_api, &node->loop, settings, &node->timeline,
                  &node->counters, &node->budget, node->descriptors.operators,
                  err)) {
        Edge_Finish(&node->edge);
        return false;
    }
    if (!Rdy_Init(&node->readiness, &node->loop, settings->ready, is_ready,
                  node, &node->budget, &node->counters, err)) {
        Opr_Finish(&node->operator_api);
        Edge_Finish(&node->edge);
        return false;
    }
    Ann_RegisterPaths(&node->announcements, &node->operator_api);
    Configapi_Serve(&node->config_api, &node->operator_api);
    node->status_api = (StatusApi){
        .settings = settings,
        .timeline = &node->timeline,
        .counters = &node->counters,
        .latencies = &node->latencies,
        .members = &node->members,
        .dispatcher = &node->dispatcher,
        .runner = &node->runner,
        .suspects = &node->suspects,
    };
    Statusapi_Serve(&node->status_api, &node->operator_api);
    Sop_RegisterPaths(&node->suspects, &node->operator_api);
    return true;
}

static BackendHeaderNames
get_backend_header_names(const HeaderFieldNames *names)
{
    return (BackendHeaderNames){
        .request_id = StrBuf_View(&names->request_id),
        .deadline = StrBuf_View(&names->deadline),
        .expected_instance = StrBuf_View(&names->expect_instance),
        .not_run = StrBuf_View(&names->not_run),
        .load = StrBuf_View(&names->load),
        .cold = StrBuf_View(&names->cold),
    };
}

static bool
has_enclosing_run(void *context, Instant deadline)
{
    return Run_HasAttemptUntil(context, deadline);
}

static void
init_modules(Node *node)
{
    Settings *settings = node->settings;
    AdmissionSettings admission = {0};
    const BackendHeaderNames names =
        get_backend_header_names(&settings->header_fields);

    Opa_Init(&node->own_pause, TIMER_PERIOD);
    Rps_Init(&node->replicas, settings, on_replica_replaced, node);
    Adm_Init(&node->admission, &admission);
    if (node->admission_recorder.file) {
        Adm_SetObserver(&node->admission, Rec_OnAdmission,
                        &node->admission_recorder);
    }
    Adm_OpenColdRate(&node->admission, Loop_Now());
    Bck_PoolInit(&node->pool, node->loop.base, Loop_Now, &names);
    Bck_SetLoadCallback(&node->pool, on_load_report, node);
    Ann_Init(&node->announcements, settings, &node->logger, &node->admission,
             &node->pool, &node->leaves, on_backend_change, node);
    Lvs_Init(&node->leaves, &node->net, &node->counters, &node->logger,
             settings, &node->replicas, Ann_OnLeavesUpdate,
             &node->announcements);
    Svc_Init(&node->services, settings->address, settings->region_number,
             settings->domain_index, &node->members.membership, &node->rng);
    Psd_Init(&node->probe_sender, &node->net, &node->counters,
             &node->services);
    Mbs_Init(&node->members, &node->loop, &node->net, &node->counters,
             &node->logger, settings, &node->announcements, &node->admission,
             node->incarnation, on_member_change, node);
    Call_DispatcherInit(&node->dispatcher, &node->net, &node->counters,
                        &node->timeline, &node->latencies, &node->services,
                        &node->suspects, settings, node->incarnation);
    Qsy_Init(&node->quota, &node->net, &node->counters, &node->logger,
             settings, &node->control);
    Qsy_SetCallback(&node->quota, Call_ServeCreditWaiters, &node->dispatcher);
    node->dispatcher.quota = &node->quota;
    Sps_Init(&node->suspects, &node->net, &node->counters, &node->timeline,
             settings, &node->members);
    Run_InitRunner(&node->runner, &node->net, &node->counters, &node->timeline,
                   &node->latencies, &node->admission, &node->pool,
                   &node->suspects, &node->budget, node->incarnation);
    if (node->ledger_recorder.file) {
        Led_SetObserver(&node->runner.ledger, Rec_OnLedger,
                        &node->ledger_recorder);
    }
    Run_SetBackendLostCallback(&node->runner, on_backend_lost, node);
    node->runner.own_pause = &node->own_pause;
    node->runner.cold_bounds = settings->cold;
    node->dispatcher.own_pause = &node->own_pause;
    node->dispatcher.enclosing_run_context = &node->runner;
    node->dispatcher.has_enclosing_run = has_enclosing_run;
    node->dispatcher.version_word = &node->version_follower.word;
    node->dispatcher.apply_bound = settings->apply_bound;
    node->dispatcher.revoke_bound = settings->revoke_bound;
    node->dispatcher.account_field =
        StrBuf_View(&settings->header_fields.account);
    Fnc_RegisterHandlers(&node->runner);
    Acc_Init(&node->register_acceptor, &node->loop, &node->net,
             &node->counters, &node->timeline, settings, node->incarnation,
             &node->in_force->preset.limits);
    apply_preset(node);
    Sps_Load(&node->suspects, Loop_Now());
    Ctl_Init(&node->control, &node->loop, &node->net, &node->counters,
             &node->timeline, settings, &node->rng, &node->members.membership,
             &node->replicas, &node->suspects,
             StrBuf_View(&node->in_force->preset.name),
             StrBuf_View(&node->preset_json));
    Fol_Init(&node->version_follower, &node->loop, &node->net, &node->counters,
             &node->timeline, settings, &node->members.membership,
             &node->suspects, apply_version, node);
    Configapi_Init(&node->config_api, &node->loop, &node->net, &node->counters,
                   settings, &node->version_follower,
                   &node->members.membership, &node->control, &node->in_force);
}

static void
finish_modules(Node *node)
{
    Configapi_Finish(&node->config_api);
    Fol_Finish(&node->version_follower);
    Ctl_Finish(&node->control);
    Acc_Finish(&node->register_acceptor);
    Run_FinishRunner(&node->runner);
    Call_DispatcherFinish(&node->dispatcher);
    Qsy_Finish(&node->quota);
    Mbs_Finish(&node->members);
    Svc_Finish(&node->services);
    Lvs_Finish(&node->leaves);
    Ann_Finish(&node->announcements);
    Bck_PoolFinish(&node->pool);
}

static bool
init_recorders(Node *node, Err *err)
{
    Str file = StrBuf_View(&node->settings->record);

    return Rec_Init(&node->admission_recorder, Str_LIT("admission"), file,
                    (Str){0}, err) &&
           Rec_Init(&node->ledger_recorder, Str_LIT("ledger"), file,
                    Str_LIT(".ledger"), err);
}

static void
init_budget(Node *node)
{
    const Settings *settings = node->settings;

    Bdg_Init(&node->budget, Mch_GetMemory(settings->memory_mb));
    node->descriptors =
        Bdg_ShareDescriptors(Mch_GetDescriptors(settings->descriptors_max),
                             settings->operators_connections_max);
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
    init_budget(node);
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
    init_modules(node);
    if (!init_http_servers(node, err)) {
        finish_modules(node);
        Net_Finish(&node->net);
        return false;
    }
    Stp_Init(&node->stop,
             &(StopSettings){settings->stop_bound,
                             settings->heartbeat * LEAVE_HEARTBEATS,
                             settings->stop_notice});
    node->started_at = Loop_Now();
    LoopTimer_Init(&node->timer, &node->loop, TIMER_PERIOD, on_timer, node);
    Tml_Record(&node->timeline, Tml_STARTED, "incarnation=%llu",
               (unsigned long long)node->incarnation);
    return true;
}

void
Node_Finish(Node *node)
{
    LoopTimer_Finish(&node->timer);
    /* Before Opr_Finish, because they answer requests over the operators' HTTP
     * server. */
    Configapi_Finish(&node->config_api);
    Ann_EndWaiting(&node->announcements);
    Rdy_Finish(&node->readiness);
    Opr_Finish(&node->operator_api);
    Edge_Finish(&node->edge);
    finish_modules(node);
    Net_Finish(&node->net);
    Rec_Finish(&node->admission_recorder);
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
               node->dispatcher.calls.count, node->runner.attempts.count);
    Stp_OnSignal(&node->stop, now);
    do_next_stop_step(node, now);
}
