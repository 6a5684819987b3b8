#include "process/membership/membershipsync.h"

#include "connection/membermsg.h"
#include "value/mem.h"

/* Pending acks are sent this many times per heartbeat. */
enum { ACK_BATCHES_PER_HEARTBEAT = 5 };

/* For this long after its start, a node sends heartbeats this many times as
 * often: each answer brings further nodes that started at the same time. */
enum { STARTUP_SENDS_PER_HEARTBEAT = 5 };
#define STARTUP_TIME Span_S(3)

static void
count_control_message(MembershipSync *members, const Pack *pack)
{
    Cnt_Add(members->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(members->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
}

static void
update_own_record(MembershipSync *members, Instant now)
{
    MemberRecord *own = &members->own_record;

    own->sequence++;
    own->has_backend = members->announcements->has_backend;
    StrBuf_Set(&own->service, StrBuf_View(&members->announcements->service));
    own->load = Adm_GetLoadReport(members->admission, now);
    if (Mbr_OnRecord(&members->membership, own, now) || own->is_leaving) {
        members->changed_sequence = own->sequence;
    }
}

static bool
is_local_replica(const MembershipSync *members, size_t replica)
{
    const MemberRow *row =
        Mbr_Find(&members->membership, members->settings->replicas[replica]);

    return row && !row->is_removed &&
           row->record.region == members->settings->region_number;
}

static void
choose_source(MembershipSync *members, Instant now)
{
    for (size_t i = 0; i < members->selector.replica_count; i++) {
        members->selector.replicas[i].is_local = is_local_replica(members, i);
    }
    Mso_ChooseSource(&members->selector, now);
}

/* Last change number received from REPLICA, or Membermsg_NO_ROWS. */
static uint64_t
get_seen_change(const MembershipSync *members, size_t replica)
{
    return Mso_WantsRows(&members->selector, replica)
               ? members->selector.replicas[replica].last_change
               : Membermsg_NO_ROWS;
}

static void
pack_renewal(const MembershipSync *members, size_t replica, Pack *pack)
{
    const MemberRenewal renewal = {
        .node = members->own_record.node,
        .incarnation = members->own_record.incarnation,
        .record_sequence = members->selector.replicas[replica].record_sequence,
        .sequence = members->own_record.sequence,
    };

    Membermsg_PackRenewal(pack, &renewal,
                          members->selector.replicas[replica].table_id,
                          get_seen_change(members, replica));
}

static void
send_message(MembershipSync *members, size_t replica, HeartbeatMessage message,
             Instant now)
{
    Pack pack;

    if (message == Mso_SEND_RENEWAL) {
        pack_renewal(members, replica, &pack);
    }
    else {
        Membermsg_PackRecord(&pack, &members->own_record,
                             members->selector.replicas[replica].table_id,
                             get_seen_change(members, replica));
        Mso_OnRecordSent(&members->selector, replica,
                         members->own_record.sequence);
    }
    count_control_message(members, &pack);
    Net_Send(members->net, members->settings->replicas[replica],
             Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Mbs_SendHeartbeat(MembershipSync *members, Instant now)
{
    update_own_record(members, now);
    choose_source(members, now);
    for (size_t i = 0; i < members->selector.replica_count; i++) {
        HeartbeatMessage message =
            Mso_ChooseMessage(&members->selector, i, members->changed_sequence,
                              members->own_record.is_leaving, now);
        if (message != Mso_SEND_NOTHING) {
            send_message(members, i, message, now);
        }
    }
}

void
Mbs_SetVersion(MembershipSync *members, ConfigVersion version, Instant now)
{
    members->own_record.version_term = version.term;
    members->own_record.version_index = version.index;
    Mbs_SendHeartbeat(members, now);
}

void
Mbs_Leave(MembershipSync *members, Instant now)
{
    members->own_record.is_leaving = true;
    Mbs_SendHeartbeat(members, now);
}

static void
on_heartbeat(void *context, Instant now)
{
    MembershipSync *members = context;
    int64_t start = Loop_CpuNs();

    if (!members->table_complete_at) {
        members->table_complete_at = now + members->settings->member_expiry;
    }
    Mbr_Expire(&members->membership, now);
    Mbs_SendHeartbeat(members, now);
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
on_startup_timer(void *context, Instant now)
{
    MembershipSync *members = context;
    int64_t start;

    if (members->settings->control || now >= members->startup_ends_at) {
        return;
    }
    start = Loop_CpuNs();
    Mbs_SendHeartbeat(members, now);
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
reject_message(MembershipSync *members, const Err *err)
{
    Cnt_Add(members->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(members->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
}

static void
reply(MembershipSync *members, const NetOrigin *origin, Pack *pack,
      Instant now)
{
    count_control_message(members, pack);
    Net_Answer(members->net, origin, Pack_View(pack), now);
    Pack_Finish(pack);
}

static void
reply_empty(MembershipSync *members, const NetOrigin *origin, MessageKind kind,
            Instant now)
{
    Pack pack;

    Membermsg_PackEmpty(&pack, kind);
    reply(members, origin, &pack, now);
}

static bool
is_table_complete(const MembershipSync *members, Instant now)
{
    return members->table_complete_at && now >= members->table_complete_at;
}

/* While this replica's table is incomplete, the table has another id, so that
 * the complete table is later sent in full. */
static uint64_t
get_own_table_id(const MembershipSync *members, Instant now)
{
    uint64_t table_id = members->own_record.incarnation;

    return is_table_complete(members, now) ? table_id : table_id ^ 1;
}

/* Answers with Wire_RENEWAL_ACK in the next batch; at once if the queue is
 * full. */
static void
queue_ack(MembershipSync *members, const NetOrigin *origin, Instant now)
{
    if (members->pending_ack_count == Mbr_ROWS_MAX) {
        reply_empty(members, origin, Wire_RENEWAL_ACK, now);
        return;
    }
    if (members->pending_ack_count == members->pending_ack_cap) {
        members->pending_ack_cap =
            members->pending_ack_cap ? members->pending_ack_cap * 2 : 16;
        members->pending_acks =
            Mem_Resize(members->pending_acks, members->pending_ack_cap,
                       sizeof *members->pending_acks);
    }
    members->pending_acks[members->pending_ack_count++] = *origin;
}

static void
on_ack_timer(void *context, Instant now)
{
    MembershipSync *members = context;
    int64_t start;

    if (!members->pending_ack_count) {
        return;
    }
    start = Loop_CpuNs();
    for (size_t i = 0; i < members->pending_ack_count; i++) {
        reply_empty(members, &members->pending_acks[i], Wire_RENEWAL_ACK, now);
    }
    members->pending_ack_count = 0;
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

/* Answers NODE, which has seen change number SEEN of table TABLE_ID. */
static void
reply_rows(MembershipSync *members, const NetOrigin *origin, Addr node,
           uint64_t table_id, uint64_t seen, Instant now)
{
    const MembershipTable *table = &members->membership;
    uint64_t own = get_own_table_id(members, now);
    Pack pack;

    if (seen == Membermsg_NO_ROWS ||
        (table_id == own && Mbr_IsUnchanged(table, seen))) {
        queue_ack(members, origin, now);
        return;
    }
    Membermsg_PackTable(&pack, Wire_MEMBER_TABLE, table, own,
                        table_id == own ? seen : 0, node,
                        is_table_complete(members, now));
    reply(members, origin, &pack, now);
}

/* Answers another replica with the nodes that this one hears directly.  Rows
 * expire first, so that after a pause of this process the answer has no node
 * whose record expired meanwhile. */
static void
reply_exchange(MembershipSync *members, const NetOrigin *origin, Addr node,
               uint64_t table_id, uint64_t seen, Instant now)
{
    MembershipTable *table = &members->membership;
    uint64_t own = members->own_record.incarnation;
    Pack pack;

    Mbr_Expire(table, now);
    Membermsg_PackTable(&pack, Wire_MEMBER_EXCHANGE, table, own,
                        table_id == own ? seen : 0, node, true);
    reply(members, origin, &pack, now);
}

static void
on_record(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    MembershipSync *members = context;
    MemberRecord record;
    uint64_t table_id;
    uint64_t seen;
    Err err = {0};

    Mbr_RecordInit(&record);
    if (!Membermsg_ReadRecord(in, &record, &table_id, &seen, &err)) {
        reject_message(members, &err);
    }
    else {
        Mbr_OnRecord(&members->membership, &record, now);
        (record.is_replica ? reply_exchange : reply_rows)(
            members, origin, record.node, table_id, seen, now);
    }
    Mbr_RecordFinish(&record);
}

static void
on_renewal(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    MembershipSync *members = context;
    MemberRenewal renewal;
    uint64_t table_id;
    uint64_t seen;
    Err err = {0};

    if (!Membermsg_ReadRenewal(in, &renewal, &table_id, &seen, &err)) {
        reject_message(members, &err);
        return;
    }
    switch (Mbr_OnRenewal(&members->membership, &renewal, now)) {
    case Mbr_RENEWED:
        reply_rows(members, origin, renewal.node, table_id, seen, now);
        break;
    case Mbr_NEEDS_RECORD:
        reply_empty(members, origin, Wire_MEMBER_RECORD_REQUEST, now);
        break;
    case Mbr_STALE:
        break;
    }
}

/* Number of the replica that sent the message; Mso_NO_REPLICA: no replica. */
static size_t
find_replica(const MembershipSync *members, const NetOrigin *origin)
{
    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (members->settings->replicas[i] == origin->peer) {
            return i;
        }
    }
    return Mso_NO_REPLICA;
}

static void
apply_rows(MembershipSync *members, size_t replica, Unpack *in, bool exchange,
           Instant now)
{
    MemberTableTarget target = {&members->membership,
                                exchange ? (int)replica : -1};
    ReplicaContact *from = &members->selector.replicas[replica];
    MemberTableHeader header;
    Err err = {0};

    if (!Membermsg_ReadTable(in, &target, &header, now, &err)) {
        reject_message(members, &err);
        return;
    }
    from->last_change = header.change_number;
    from->table_id =
        Membermsg_MatchesDigest(&target, &header) ? header.table_id : 0;
}

static void
receive_rows(MembershipSync *members, const NetOrigin *origin, Unpack *in,
             bool exchange, Instant now)
{
    size_t replica = find_replica(members, origin);

    if (replica == Mso_NO_REPLICA || exchange != members->settings->control) {
        return;
    }
    Mso_OnAnswer(&members->selector, replica, now);
    if (Mso_WantsRows(&members->selector, replica)) {
        apply_rows(members, replica, in, exchange, now);
    }
}

static void
on_table(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    receive_rows(context, origin, in, false, now);
}

static void
on_exchange(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    receive_rows(context, origin, in, true, now);
}

static size_t
receive_empty_reply(MembershipSync *members, const NetOrigin *origin,
                    const Unpack *in, Instant now)
{
    size_t replica = find_replica(members, origin);
    Err err = {0};

    if (!Membermsg_ReadEmpty(in, &err)) {
        reject_message(members, &err);
        return Mso_NO_REPLICA;
    }
    if (replica != Mso_NO_REPLICA) {
        Mso_OnAnswer(&members->selector, replica, now);
    }
    return replica;
}

static void
on_renewal_ack(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    receive_empty_reply(context, origin, in, now);
}

static void
on_record_request(void *context, const NetOrigin *origin, Unpack *in,
                  Instant now)
{
    MembershipSync *members = context;
    size_t replica = receive_empty_reply(members, origin, in, now);

    if (replica != Mso_NO_REPLICA) {
        Mso_OnRecordRequest(&members->selector, replica);
        update_own_record(members, now);
        send_message(members, replica, Mso_SEND_RECORD, now);
    }
}

/* Skips a number without a replica, and this node itself. */
static void
update_is_skipped(MembershipSync *members, size_t number)
{
    Addr addr = members->settings->replicas[number];

    members->selector.replicas[number].is_skipped =
        addr == members->settings->address || addr == Addr_NONE;
}

void
Mbs_OnReplicaReplaced(MembershipSync *members, size_t number)
{
    Mso_ForgetReplica(&members->selector, number);
    Mbr_ForgetReplica(&members->membership, (unsigned)number);
    update_is_skipped(members, number);
}

static void
init_replicas(MembershipSync *members)
{
    const Settings *settings = members->settings;
    uint64_t node_hash = Str_Hash(
        Str_From((const char *)&settings->address, sizeof settings->address));

    Mso_Init(&members->selector, settings->replica_count, settings->heartbeat,
             settings->control, node_hash);
    for (size_t i = 0; i < settings->replica_count; i++) {
        update_is_skipped(members, i);
    }
}

static void
init_own_record(MembershipSync *members, uint64_t incarnation)
{
    const Settings *settings = members->settings;
    MemberRecord *own = &members->own_record;

    Mbr_RecordInit(own);
    own->node = settings->address;
    own->operator_addr = settings->operators;
    own->incarnation = incarnation;
    own->region = settings->region_number;
    own->domain = settings->domain_index;
    own->is_replica = settings->control;
}

void
Mbs_Init(MembershipSync *members, Loop *loop, Net *net, Counters *counters,
         Logger *logger, const Settings *settings,
         const AnnouncementReceiver *announcements,
         const AdmissionController *admission, uint64_t incarnation,
         MemberListener listener, void *context)
{
    MembershipSettings table_settings = {
        .self = settings->address,
        .region = settings->region_number,
        .is_replica = settings->control,
        .replica_count = settings->replica_count,
        .replica_addrs = settings->replicas,
        .expiry = settings->member_expiry,
        .listener = listener,
        .context = context,
    };

    *members = (MembershipSync){
        .settings = settings,
        .net = net,
        .counters = counters,
        .logger = logger,
        .announcements = announcements,
        .admission = admission,
    };
    Mbr_Init(&members->membership, &table_settings);
    init_own_record(members, incarnation);
    init_replicas(members);
    Net_SetHandler(net, Wire_MEMBER_RECORD, on_record, members);
    Net_SetHandler(net, Wire_MEMBER_TABLE, on_table, members);
    Net_SetHandler(net, Wire_MEMBER_EXCHANGE, on_exchange, members);
    Net_SetHandler(net, Wire_RENEWAL, on_renewal, members);
    Net_SetHandler(net, Wire_RENEWAL_ACK, on_renewal_ack, members);
    Net_SetHandler(net, Wire_MEMBER_RECORD_REQUEST, on_record_request,
                   members);
    if (settings->control) {
        LoopTimer_Init(&members->ack_timer, loop,
                       settings->heartbeat / ACK_BATCHES_PER_HEARTBEAT,
                       on_ack_timer, members);
    }
    LoopTimer_Init(&members->heartbeat_timer, loop, settings->heartbeat,
                   on_heartbeat, members);
    members->startup_ends_at = Loop_Now() + STARTUP_TIME;
    LoopTimer_Init(&members->startup_timer, loop,
                   settings->heartbeat / STARTUP_SENDS_PER_HEARTBEAT,
                   on_startup_timer, members);
}

void
Mbs_Finish(MembershipSync *members)
{
    LoopTimer_Finish(&members->heartbeat_timer);
    LoopTimer_Finish(&members->startup_timer);
    if (members->settings->control) {
        LoopTimer_Finish(&members->ack_timer);
    }
    Mem_Free(members->pending_acks);
    Mbr_Finish(&members->membership);
    Mbr_RecordFinish(&members->own_record);
    Mso_Finish(&members->selector);
}
