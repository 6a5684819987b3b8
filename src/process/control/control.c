#include "process/control/control.h"

#include <inttypes.h>

#include "connection/logmsg.h"
#include "value/mem.h"
#include "version/frame.h"

#define TICK Span_MS(20)
#define ELECTION_TIMEOUT Span_MS(350)
#define HEARTBEAT_INTERVAL Span_MS(110)
#define OPEN_RETRY Span_S(5)

/* While another process has the folder: it usually is about to end. */
#define BUSY_RETRY Span_MS(100)

/* A store that takes so long is logged. */
#define SLOW_STORE Span_MS(100)

enum { LOG_ENTRIES_MAX = 128 };

void
Ctl_CountMessage(ControlReplica *control, const Pack *pack)
{
    Cnt_Add(control->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(control->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
}

static void
on_send(void *context, const RaftMessage *message)
{
    ControlReplica *control = context;
    bool answer =
        message->kind == Rlog_VOTE_REPLY || message->kind == Rlog_APPEND_REPLY;
    const RaftReplica *to =
        Rlog_FindReplica(&control->rlog.replicas, message->to);
    Pack pack;

    if (!answer && !to) {
        return;
    }
    Logmsg_Pack(&pack, message);
    Ctl_CountMessage(control, &pack);
    if (answer) {
        Net_Answer(control->net, control->message_origin, Pack_View(&pack),
                   Loop_Now());
    }
    else {
        Net_Send(control->net, to->addr, Pack_View(&pack), Loop_Now());
    }
    Pack_Finish(&pack);
}

/* Checks the result of a store of WHAT that began at START. */
static bool
check_stored(ControlReplica *control, const char *what, Instant start, bool ok,
             const Err *err)
{
    Span took = Loop_Now() - start;

    if (took >= SLOW_STORE) {
        Cnt_Add(control->counters, Cnt_STORES_SLOW, 1);
        Lgr_Log(control->timeline->logger, Lgr_INFO, Str_LIT("store_slow"),
                "what=%s took_ms=%lld", what, (long long)(took / Span_MS(1)));
    }
    if (!ok) {
        Lgr_LogErr(control->timeline->logger, Lgr_ERROR,
                   Str_LIT("control_folder_failed"), err);
    }
    return ok;
}

static bool
on_store_vote(void *context, uint64_t term, uint64_t voted_for)
{
    ControlReplica *control = context;
    Err err = {0};
    Instant start = Loop_Now();
    bool ok = Disk_StoreVote(&control->disk, term, voted_for, &err);

    return check_stored(control, "vote", start, ok, &err);
}

static bool
on_store_entries(void *context, const RaftEntry *entries, size_t count)
{
    ControlReplica *control = context;
    Err err = {0};
    Instant start = Loop_Now();
    bool ok = Disk_StoreEntries(&control->disk, entries, count, &err);

    return check_stored(control, "entries", start, ok, &err);
}

static bool
on_truncate(void *context, uint64_t from_index)
{
    ControlReplica *control = context;
    Err err = {0};
    Instant start = Loop_Now();
    bool ok = Disk_TruncateEntries(&control->disk, from_index, &err);

    return check_stored(control, "truncation", start, ok, &err);
}

static bool
on_store_snapshot(void *context, uint64_t term, uint64_t index, Str snapshot)
{
    ControlReplica *control = context;
    Err err = {0};
    Instant start = Loop_Now();
    bool ok = Disk_StoreSnapshot(&control->disk, term, index, snapshot, &err);

    return check_stored(control, "snapshot", start, ok, &err);
}

static void
record_change(ControlReplica *control, const ConfigChange *change,
              const ConfigResult *result)
{
    static const char *const outcomes[Cfg_OUTCOMES] = {"accepted", "conflict",
                                                       "refused", "forgotten"};
    Str verb = Cfg_VerbName(change->verb);

    if (control->rlog.role == Rlog_LEADER) {
        Tml_Record(control->timeline, Tml_CHANGE,
                   "id=%.*s %.*s %.*s %s%s version=%" PRIu64 ".%" PRIu64,
                   Str_ARG(change->id), Str_ARG(verb),
                   Str_ARG(change->preset_name), outcomes[result->outcome],
                   result->is_repeat ? " again" : "", result->version.term,
                   result->version.index);
    }
}

static void
on_commit(void *context, const RaftEntry *entry)
{
    ControlReplica *control = context;
    ConfigVersion version = {entry->term, entry->index};
    ConfigChange change;
    ConfigResult result;
    Unpack in;

    if (entry->kind != Rlog_ENTRY_CHANGE ||
        !Unpack_Init(&in, entry->data, NULL)) {
        return;
    }
    Cfg_UnpackChange(&in, &change);
    if (Unpack_Ok(&in, NULL)) {
        Cfg_ApplyChange(&control->cfg, &change, version, &result);
        record_change(control, &change, &result);
        Ctl_OnChangeApplied(control, entry->term, entry->index, &result,
                            Loop_Now());
    }
    Unpack_Finish(&in);
}

static void
on_save_state(void *context, StrBuf *out)
{
    Cfg_Serialize(&((ControlReplica *)context)->cfg, out);
}

static bool
on_load_state(void *context, Str state)
{
    return Cfg_Deserialize(&((ControlReplica *)context)->cfg, state, NULL);
}

static void
on_role_change(void *context, bool leader, uint64_t term, Instant now)
{
    ControlReplica *control = context;

    (void)now;
    Tml_Record(control->timeline, leader ? Tml_ELECTED : Tml_STEPPED_DOWN,
               "term=%" PRIu64 " identity=%016" PRIx64, term,
               control->disk.identity);
    /* Another leader decides the outcomes of these changes now. */
    for (size_t i = 0; i < Ctl_PENDING_CHANGES_MAX; i++) {
        control->pending_changes[i].index = 0;
    }
}

static void
record_replica(ControlReplica *control, TimelineKind kind,
               const RaftReplica *replica)
{
    StrBuf addr = {0};

    Addr_Print(replica->addr, &addr);
    Tml_Record(control->timeline, kind, "%.*s identity=%016" PRIx64 " %s",
               Str_ARG(addr), replica->identity,
               replica->is_voter ? "voter" : "learner");
    StrBuf_Finish(&addr);
}

static void
on_replicas_change(void *context, const RaftReplicaList *replicas)
{
    ControlReplica *control = context;
    RaftReplicaList *old = &control->replicas;

    for (uint32_t i = 0; i < replicas->count; i++) {
        const RaftReplica *replica = &replicas->items[i];
        const RaftReplica *previous = Rlog_FindReplica(old, replica->identity);
        if (!previous || previous->is_voter != replica->is_voter) {
            record_replica(control, Tml_REPLICA_CAME, replica);
        }
    }
    for (uint32_t i = 0; i < old->count; i++) {
        if (!Rlog_FindReplica(replicas, old->items[i].identity)) {
            record_replica(control, Tml_REPLICA_GONE, &old->items[i]);
        }
    }
    *old = *replicas;
}

static bool
restore_vote(void *context, uint64_t term, uint64_t voted_for, Err *err)
{
    (void)err;
    if (term) {
        Rlog_RestoreVote(&((ControlReplica *)context)->rlog, term, voted_for);
    }
    return true;
}

static bool
restore_snapshot(void *context, uint64_t term, uint64_t index, Str snapshot,
                 Err *err)
{
    return Rlog_RestoreSnapshot(&((ControlReplica *)context)->rlog, term,
                                index, snapshot, err);
}

static bool
restore_entry(void *context, const RaftEntry *entry, Err *err)
{
    return Rlog_RestoreEntry(&((ControlReplica *)context)->rlog, entry, err);
}

static void
init_rlog(ControlReplica *control, Instant now)
{
    RaftSettings settings = {
        control->disk.identity,
        control->settings->address,
        ELECTION_TIMEOUT,
        HEARTBEAT_INTERVAL,
        LOG_ENTRIES_MAX,
        control->settings->seed_count ? control->settings->control_voters : 0};
    RaftCallbacks callbacks = {
        .context = control,
        .send = on_send,
        .store_vote = on_store_vote,
        .store_entries = on_store_entries,
        .truncate = on_truncate,
        .store_snapshot = on_store_snapshot,
        .on_commit = on_commit,
        .save_state = on_save_state,
        .load_state = on_load_state,
        .on_role_change = on_role_change,
        .on_replicas_change = on_replicas_change,
    };

    Rlog_Init(&control->rlog, &settings, &callbacks, control->rng, now);
}

static bool
open_folder(ControlReplica *control, Err *err)
{
    StrBuf folder = {0};
    bool ok;

    StrBuf_Set(&folder, StrBuf_View(&control->settings->data_folder));
    ok = Frm_MakeFolder(StrBuf_View(&folder), err);
    StrBuf_Append(&folder, Str_LIT("/control"));
    ok = ok &&
         Disk_Init(&control->disk, StrBuf_View(&folder), Loop_Entropy(), err);
    StrBuf_Finish(&folder);
    return ok;
}

static void
close_role(ControlReplica *control)
{
    Rlog_Finish(&control->rlog);
    Cfg_Finish(&control->cfg);
    Disk_Finish(&control->disk);
    control->is_open = false;
}

static void
plan_reopening(ControlReplica *control, const Err *err, Instant now)
{
    control->open_retry_at =
        now + (err->code == Err_BUSY ? BUSY_RETRY : OPEN_RETRY);
    if (now >= control->next_open_log_at) {
        control->next_open_log_at = now + OPEN_RETRY;
        Lgr_LogErr(control->timeline->logger, Lgr_ERROR,
                   Str_LIT("control_folder_not_opened"), err);
    }
}

static void
open_role(ControlReplica *control, Instant now)
{
    StorageLoadCallbacks callbacks = {control, restore_vote, restore_snapshot,
                                      restore_entry};
    Err err = {0};

    if (open_folder(control, &err)) {
        Cfg_Init(&control->cfg);
        init_rlog(control, now);
        control->is_open = Disk_Load(&control->disk, &callbacks, &err);
        if (!control->is_open) {
            close_role(control);
        }
    }
    if (!control->is_open) {
        plan_reopening(control, &err, now);
    }
    else if (control->disk.truncated_bytes) {
        Lgr_Log(control->timeline->logger, Lgr_WARNING,
                Str_LIT("control_log_truncated"),
                "%zu bytes of an incomplete record",
                control->disk.truncated_bytes);
    }
}

static void
run_role(ControlReplica *control, Instant now)
{
    Rlog_OnTick(&control->rlog, now);
    Ctl_OnHelloTick(control, now);
    Ctl_AnnounceVersion(control, now);
    Ctl_AnswerReads(control, now);
    if (control->rlog.has_failed) {
        control->open_retry_at = now + OPEN_RETRY;
        close_role(control);
    }
}

static void
on_tick(void *context, Instant now)
{
    ControlReplica *control = context;
    int64_t start = Loop_CpuNs();

    if (control->is_open) {
        run_role(control, now);
    }
    else if (now >= control->open_retry_at) {
        open_role(control, now);
    }
    Cnt_AddNs(control->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
on_raft_message(void *context, const NetOrigin *origin, Unpack *in,
                Instant now)
{
    ControlReplica *control = context;
    static RaftMessage message;
    Err err = {0};

    if (!Logmsg_Read(in, &message, &err)) {
        Cnt_Add(control->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(control->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), &err);
        return;
    }
    if (!control->is_open) {
        return;
    }
    control->message_origin = origin;
    Rlog_OnMessage(&control->rlog, &message, now);
    control->message_origin = NULL;
    Ctl_AnnounceVersion(control, now);
    Ctl_AnswerReads(control, now);
}

void
Ctl_Init(ControlReplica *control, Loop *loop, Net *net, Counters *counters,
         Timeline *timeline, const Settings *settings, Rng *rng,
         const MembershipTable *membership, ReplicaSet *replica_set,
         SuspectSync *suspects, Str preset_name, Str preset_json)
{
    *control = (ControlReplica){
        .settings = settings,
        .loop = loop,
        .net = net,
        .counters = counters,
        .timeline = timeline,
        .rng = rng,
        .membership = membership,
        .replica_set = replica_set,
        .suspects = suspects,
    };
    if (!settings->control) {
        return;
    }
    StrBuf_Set(&control->initial_preset_name, preset_name);
    StrBuf_Set(&control->initial_preset_json, preset_json);
    control->watchers = Mem_Alloc(Ctl_WATCHERS_MAX, sizeof *control->watchers);
    open_role(control, Loop_Now());
    Net_SetHandler(net, Wire_RAFT, on_raft_message, control);
    Ctl_ServeHello(control);
    Ctl_ServeChanges(control);
    Ctl_ServeReads(control);
    LoopTimer_Init(&control->tick, loop, TICK, on_tick, control);
}

void
Ctl_Finish(ControlReplica *control)
{
    if (!control->settings->control) {
        return;
    }
    LoopTimer_Finish(&control->tick);
    if (control->is_open) {
        close_role(control);
    }
    Mem_Free(control->watchers);
    StrBuf_Finish(&control->initial_preset_name);
    StrBuf_Finish(&control->initial_preset_json);
}

bool
Ctl_IsInitialReplica(const ControlReplica *control)
{
    const RaftReplica *own;

    if (!control->is_open) {
        return false;
    }
    own = Rlog_FindReplica(&control->rlog.replicas, control->disk.identity);
    return own && own->is_initial;
}

bool
Ctl_IsFirstStart(const ControlReplica *control)
{
    return Ctl_IsInitialReplica(control) && control->disk.is_new;
}

Addr
Ctl_Leader(const ControlReplica *control)
{
    const RaftReplica *leader;

    if (!control->is_open) {
        return Addr_NONE;
    }
    leader = Rlog_FindReplica(&control->rlog.replicas,
                              control->rlog.leader_identity);
    return leader ? leader->addr : Addr_NONE;
}

bool
Ctl_IsLeading(const ControlReplica *control, Instant now)
{
    return control->is_open && Rlog_IsLeading(&control->rlog, now);
}

bool
Ctl_LeadsAlone(const ControlReplica *control, Instant now)
{
    return control->is_open && Rlog_LeadsAlone(&control->rlog, now);
}

Addr
Ctl_LiveLeader(const ControlReplica *control, Instant now)
{
    return control->is_open && Rlog_HasLeaderContact(&control->rlog, now)
               ? Ctl_Leader(control)
               : Addr_NONE;
}
