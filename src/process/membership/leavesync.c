#include "process/membership/leavesync.h"

#include "value/mem.h"
#include "version/frame.h"

/* Time between two sends to the replicas that have not replied: while a
 * backend server waits for its acknowledgement, and later. */
#define SEND_INTERVAL Span_MS(100)
#define LATER_SEND_INTERVAL Span_S(1)
#define SEND_OFTEN_TIME Span_S(2)

#define SAVE_RETRY_INTERVAL Span_MS(500)

/* A process that reached no majority for this long after its start serves
 * without it: serving requests takes priority over waiting forever. */
#define SYNC_TIMEOUT Span_S(5)

/* Fewer replies do not count as a majority as long as more replicas than this
 * are listed: right after the start, few are known to be members. */
enum { MAJORITY_MIN = 2 };

static const char file_name[] = "leaves";

static bool
is_own_slot(const LeaveSync *sync, size_t slot)
{
    return sync->settings->replicas[slot] == sync->settings->address;
}

static bool
is_used_slot(const LeaveSync *sync, size_t slot)
{
    return sync->settings->replicas[slot] != Addr_NONE;
}

/* The number of replicas that make a majority of those that are members. */
static size_t
count_needed(const LeaveSync *sync)
{
    size_t members = 0;
    size_t listed = 0;
    size_t needed;

    for (size_t i = 0; i < sync->settings->replica_count; i++) {
        listed += is_used_slot(sync, i);
        members += is_used_slot(sync, i) && sync->replicas->is_member[i];
    }
    needed = members / 2 + 1;
    if (needed < MAJORITY_MIN && listed >= MAJORITY_MIN) {
        needed = MAJORITY_MIN;
    }
    return needed;
}

static bool
is_held_by_majority(const LeaveSync *sync)
{
    size_t count = 0;

    for (size_t i = 0; i < sync->settings->replica_count; i++) {
        count += is_used_slot(sync, i) && sync->holds[i];
    }
    return count >= count_needed(sync);
}

bool
Lvs_IsSynced(const LeaveSync *sync)
{
    return sync->is_synced;
}

bool
Lvs_IsConfirmed(const LeaveSync *sync)
{
    return is_held_by_majority(sync);
}

static void
count_message(LeaveSync *sync, const Pack *pack)
{
    Cnt_Add(sync->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(sync->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
}

static void
send_own(LeaveSync *sync, Instant now)
{
    LeaveMessage msg = {sync->settings->address, sync->own};
    Pack pack;

    sync->next_send_at =
        now + (now - sync->changed_at < SEND_OFTEN_TIME ? SEND_INTERVAL
                                                        : LATER_SEND_INTERVAL);
    Leavemsg_Pack(&pack, Wire_LEAVE, &msg);
    for (size_t i = 0; i < sync->settings->replica_count; i++) {
        if (is_used_slot(sync, i) && !is_own_slot(sync, i) &&
            !sync->holds[i]) {
            count_message(sync, &pack);
            Net_Send(sync->net, sync->settings->replicas[i], Pack_View(&pack),
                     now);
        }
    }
    Pack_Finish(&pack);
}

/* The latest start that leaves is another one now: no replica is known to
 * have it. */
static void
set_own(LeaveSync *sync, BackendStart start, Instant now)
{
    sync->own = start;
    sync->changed_at = now;
    for (size_t i = 0; i < Set_REPLICAS_MAX; i++) {
        sync->holds[i] = false;
    }
}

static void
merge_row(LeaveSync *sync, Addr node, BackendStart start, Instant now)
{
    sync->needs_save |= Lvt_Merge(&sync->table, node, start, now);
}

/* On a control replica: what its own data folder has counts like the reply of
 * another one.  The row of its own VM is kept over its retention. */
static void
check_own_folder(LeaveSync *sync, Instant now)
{
    size_t slot = Rps_Find(sync->replicas, sync->settings->address);

    if (!sync->settings->control || slot == Set_REPLICAS_MAX) {
        return;
    }
    merge_row(sync, sync->settings->address, sync->own, now);
    if (!sync->needs_save) {
        sync->holds[slot] = Lvt_StartsAreEqual(
            Lvt_Find(&sync->table, sync->settings->address), sync->own);
    }
}

/* Calls back when the state differs from what it was. */
static void
update(LeaveSync *sync, bool was_confirmed, bool has_new_start, Instant now)
{
    bool was_synced = sync->is_synced;

    check_own_folder(sync, now);
    sync->is_synced = was_synced || is_held_by_majority(sync);
    if (sync->is_synced && !was_synced) {
        Lgr_Log(sync->logger, Lgr_INFO, Str_LIT("leaves_synced"),
                "known=%d after_ms=%lld", sync->own.id_hash != 0,
                (long long)(now - sync->started_at) / 1000);
    }
    if (has_new_start || sync->is_synced != was_synced ||
        is_held_by_majority(sync) != was_confirmed) {
        sync->on_update(sync->on_update_context, now);
    }
}

void
Lvs_Record(LeaveSync *sync, BackendStart start, Instant now)
{
    if (!Lvt_Replaces(start, sync->own)) {
        return;
    }
    set_own(sync, start, now);
    if (sync->settings->control) {
        merge_row(sync, sync->settings->address, start, now);
    }
    send_own(sync, now);
}

static bool
read_message(LeaveSync *sync, Unpack *in, LeaveMessage *msg)
{
    Err err = {0};

    if (Leavemsg_Read(in, msg, &err)) {
        return true;
    }
    Cnt_Add(sync->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(sync->logger, Lgr_WARNING, Str_LIT("message_refused"), &err);
    return false;
}

static void
on_reply(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    LeaveSync *sync = context;
    bool was_confirmed = is_held_by_majority(sync);
    size_t slot = Rps_Find(sync->replicas, origin->peer);
    LeaveMessage msg;
    bool is_new;

    if (!read_message(sync, in, &msg)) {
        return;
    }
    if (slot == Set_REPLICAS_MAX || msg.node != sync->settings->address) {
        return;
    }
    /* A start that this process recorded itself is not replaced by one that
     * only differs. */
    is_new = msg.start.id_hash &&
             (!sync->own.id_hash ||
              msg.start.started_at_ms > sync->own.started_at_ms);
    if (is_new) {
        set_own(sync, msg.start, now);
    }
    sync->holds[slot] = Lvt_StartsAreEqual(msg.start, sync->own);
    update(sync, was_confirmed, is_new, now);
}

static void
reply(LeaveSync *sync, const NetOrigin *origin, Addr node, Instant now)
{
    LeaveMessage msg = {node, Lvt_Find(&sync->table, node)};
    Pack pack;

    Leavemsg_Pack(&pack, Wire_LEAVE_REPLY, &msg);
    count_message(sync, &pack);
    Net_Answer(sync->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

/* One reply a node waits at most, and without room the node asks again. */
static void
queue_reply(LeaveSync *sync, const NetOrigin *origin, Addr node)
{
    size_t at = 0;

    while (at < sync->pending_count && sync->pending[at].node != node) {
        at++;
    }
    if (at < Lvs_PENDING_MAX) {
        sync->pending[at] = (LeavePendingReply){*origin, node};
        sync->pending_count += at == sync->pending_count;
    }
}

static void
on_leave(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    LeaveSync *sync = context;
    LeaveMessage msg;

    if (!read_message(sync, in, &msg)) {
        return;
    }
    merge_row(sync, msg.node, msg.start, now);
    if (sync->needs_save) {
        queue_reply(sync, origin, msg.node);
    }
    else {
        reply(sync, origin, msg.node, now);
    }
}

static void
save(LeaveSync *sync, Instant now)
{
    Err err = {0};
    Pack pack;

    Leavemsg_PackTable(&pack, &sync->table);
    sync->needs_save =
        !Frm_SavePayload(StrBuf_View(&sync->settings->data_folder), file_name,
                         Pack_View(&pack), &err);
    Pack_Finish(&pack);
    if (sync->needs_save) {
        sync->next_save_at = now + SAVE_RETRY_INTERVAL;
        Lgr_LogErr(sync->logger, Lgr_WARNING, Str_LIT("leaves_not_saved"),
                   &err);
        return;
    }
    for (size_t i = 0; i < sync->pending_count; i++) {
        reply(sync, &sync->pending[i].origin, sync->pending[i].node, now);
    }
    sync->pending_count = 0;
}

static void
load(LeaveSync *sync, Instant now)
{
    StrBuf bytes = {0};
    Str payload = {0};
    Err err = {0};

    if (!Frm_LoadPayload(StrBuf_View(&sync->settings->data_folder), file_name,
                         &bytes, &payload, &err) ||
        !Leavemsg_ReadTable(payload, &sync->table, now, &err)) {
        Lgr_LogErr(sync->logger, Lgr_INFO, Str_LIT("leaves_not_loaded"), &err);
    }
    /* The process that wrote the file may have ended before its sync. */
    sync->needs_save = sync->table.count > 0;
    StrBuf_Finish(&bytes);
}

static void
apply_sync_timeout(LeaveSync *sync, Instant now)
{
    if (sync->is_synced || now - sync->started_at < SYNC_TIMEOUT) {
        return;
    }
    Lgr_Log(sync->logger, Lgr_WARNING, Str_LIT("leaves_not_received"),
            "no majority of the control replicas told which backend servers "
            "left; serving without");
    sync->is_synced = true;
    sync->on_update(sync->on_update_context, now);
}

void
Lvs_OnReplicaReplaced(LeaveSync *sync, size_t number)
{
    sync->holds[number] = false;
}

void
Lvs_Tick(LeaveSync *sync, Instant now)
{
    bool was_confirmed = is_held_by_majority(sync);

    if (sync->settings->control) {
        Lvt_Expire(&sync->table, now);
        if (sync->needs_save && now >= sync->next_save_at) {
            save(sync, now);
        }
    }
    update(sync, was_confirmed, false, now);
    if (!is_held_by_majority(sync) && now >= sync->next_send_at) {
        send_own(sync, now);
    }
    apply_sync_timeout(sync, now);
}

void
Lvs_Init(LeaveSync *sync, Net *net, Counters *counters, Logger *logger,
         const Settings *settings, const ReplicaSet *replicas,
         LeaveUpdateCallback on_update, void *context)
{
    Instant now = Loop_Now();

    *sync = (LeaveSync){
        .net = net,
        .counters = counters,
        .logger = logger,
        .settings = settings,
        .replicas = replicas,
        .on_update = on_update,
        .on_update_context = context,
        .started_at = now,
        .changed_at = now,
    };
    Net_SetHandler(net, Wire_LEAVE_REPLY, on_reply, sync);
    if (settings->control) {
        sync->pending = Mem_Alloc(Lvs_PENDING_MAX, sizeof *sync->pending);
        Net_SetHandler(net, Wire_LEAVE, on_leave, sync);
        load(sync, now);
        sync->own = Lvt_Find(&sync->table, settings->address);
    }
}

void
Lvs_Finish(LeaveSync *sync)
{
    Lvt_Finish(&sync->table);
    Mem_Free(sync->pending);
}
