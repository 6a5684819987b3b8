#include "process/members.h"

#include "connection/membermsg.h"
#include "value/mem.h"

/* Answers that tell nothing new go out so many times each heartbeat. */
enum { BATCHES = 5 };

/* After its start a node renews its record so many times each heartbeat, for
 * so long: others that started with it come with each of them. */
enum { EAGER_BEATS = 5 };
#define EAGER_TIME Span_S(3)

static void
count_control(Members *members, const Pack *pack)
{
    Cnt_Add(members->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(members->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
}

static void
renew_own(Members *members, Instant now)
{
    MbrRecord *own = &members->own;

    own->sequence++;
    own->present = members->ann->present;
    StrBuf_Set(&own->service, StrBuf_View(&members->ann->service));
    own->load = Adm_GetLoadReport(members->admission, now);
    if (Mbr_OnRecord(&members->membership, own, now) || own->leaving) {
        members->said = own->sequence;
    }
}

static bool
is_near(const Members *members, size_t replica)
{
    const MbrRow *row =
        Mbr_Find(&members->membership, members->settings->replicas[replica]);

    return row && !row->gone &&
           row->record.region == members->settings->region;
}

static void
choose_source(Members *members, Instant now)
{
    for (size_t i = 0; i < members->replicas.count; i++) {
        members->replicas.replicas[i].near = is_near(members, i);
    }
    Mso_Choose(&members->replicas, now);
}

/* The table number that REPLICA is to go by. */
static uint64_t
seen_number(const Members *members, size_t replica)
{
    return Mso_Wants(&members->replicas, replica)
               ? members->replicas.replicas[replica].number
               : Membermsg_NO_ROWS;
}

static void
pack_renewal(const Members *members, size_t replica, Pack *pack)
{
    const MbrRenewal renewal = {
        .node = members->own.node,
        .incarnation = members->own.incarnation,
        .said = members->replicas.replicas[replica].said,
        .sequence = members->own.sequence,
    };

    Membermsg_PackRenewal(pack, &renewal,
                          members->replicas.replicas[replica].table,
                          seen_number(members, replica));
}

static void
send_own(Members *members, size_t replica, MsoTell tell, Instant now)
{
    Pack pack;

    if (tell == Mso_RENEWAL) {
        pack_renewal(members, replica, &pack);
    }
    else {
        Membermsg_PackRecord(&pack, &members->own,
                             members->replicas.replicas[replica].table,
                             seen_number(members, replica));
        Mso_OnSaid(&members->replicas, replica, members->own.sequence);
    }
    count_control(members, &pack);
    Net_Send(members->net, members->settings->replicas[replica],
             Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Mbs_SendRecord(Members *members, Instant now)
{
    renew_own(members, now);
    choose_source(members, now);
    for (size_t i = 0; i < members->replicas.count; i++) {
        MsoTell tell = Mso_Ask(&members->replicas, i, members->said,
                               members->own.leaving, now);
        if (tell != Mso_NOTHING) {
            send_own(members, i, tell, now);
        }
    }
}

void
Mbs_SetVersion(Members *members, CfgVersion version, Instant now)
{
    members->own.version_term = version.term;
    members->own.version_index = version.index;
    Mbs_SendRecord(members, now);
}

void
Mbs_Leave(Members *members, Instant now)
{
    members->own.leaving = true;
    Mbs_SendRecord(members, now);
}

static void
on_beat(void *context, Instant now)
{
    Members *members = context;
    int64_t start = Loop_CpuNs();

    if (!members->complete_at) {
        members->complete_at = now + members->settings->member_expiry;
    }
    Mbr_Expire(&members->membership, now);
    Mbs_SendRecord(members, now);
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
on_eager(void *context, Instant now)
{
    Members *members = context;
    int64_t start;

    if (members->settings->control || now >= members->eager_until) {
        return;
    }
    start = Loop_CpuNs();
    Mbs_SendRecord(members, now);
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
refuse_message(Members *members, const Err *err)
{
    Cnt_Add(members->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(members->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
}

static void
answer(Members *members, const NetOrigin *origin, Pack *pack, Instant now)
{
    count_control(members, pack);
    Net_Answer(members->net, origin, Pack_View(pack), now);
    Pack_Finish(pack);
}

static void
answer_short(Members *members, const NetOrigin *origin, WireKind kind,
             Instant now)
{
    Pack pack;

    Membermsg_PackShort(&pack, kind);
    answer(members, origin, &pack, now);
}

static bool
is_complete(const Members *members, Instant now)
{
    return members->complete_at && now >= members->complete_at;
}

/* A table that is not complete has another identity than the one that comes
 * after it, which is sent whole. */
static uint64_t
own_table(const Members *members, Instant now)
{
    uint64_t table = members->own.incarnation;

    return is_complete(members, now) ? table : table ^ 1;
}

/* With the others that are due the same. */
static void
answer_later(Members *members, const NetOrigin *origin, Instant now)
{
    if (members->waiting_count == Mbr_ROWS_MAX) {
        answer_short(members, origin, Wire_RENEWED, now);
        return;
    }
    if (members->waiting_count == members->waiting_cap) {
        members->waiting_cap =
            members->waiting_cap ? members->waiting_cap * 2 : 16;
        members->waiting = Mem_Resize(members->waiting, members->waiting_cap,
                                      sizeof *members->waiting);
    }
    members->waiting[members->waiting_count++] = *origin;
}

static void
on_batch(void *context, Instant now)
{
    Members *members = context;
    int64_t start;

    if (!members->waiting_count) {
        return;
    }
    start = Loop_CpuNs();
    for (size_t i = 0; i < members->waiting_count; i++) {
        answer_short(members, &members->waiting[i], Wire_RENEWED, now);
    }
    members->waiting_count = 0;
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

/* Rows for NODE, which saw number SEEN of TABLE. */
static void
answer_rows(Members *members, const NetOrigin *origin, Addr node,
            uint64_t table, uint64_t seen, Instant now)
{
    const Mbr *mbr = &members->membership;
    uint64_t own = own_table(members, now);
    Pack pack;

    if (seen == Membermsg_NO_ROWS ||
        (table == own && Mbr_IsUnchanged(mbr, seen))) {
        answer_later(members, origin, now);
        return;
    }
    Membermsg_PackTable(&pack, Wire_TABLE, mbr, own, table == own ? seen : 0,
                        node, is_complete(members, now));
    answer(members, origin, &pack, now);
}

/* To another replica: what this one hears directly, and nothing that it let
 * lie while it was stopped itself. */
static void
answer_exchange(Members *members, const NetOrigin *origin, Addr node,
                uint64_t table, uint64_t seen, Instant now)
{
    Mbr *mbr = &members->membership;
    uint64_t own = members->own.incarnation;
    Pack pack;

    Mbr_Expire(mbr, now);
    Membermsg_PackTable(&pack, Wire_EXCHANGE, mbr, own,
                        table == own ? seen : 0, node, true);
    answer(members, origin, &pack, now);
}

static void
on_record(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Members *members = context;
    MbrRecord record;
    uint64_t table;
    uint64_t seen;
    Err err = {0};

    Mbr_RecordInit(&record);
    if (!Membermsg_ReadRecord(in, &record, &table, &seen, &err)) {
        refuse_message(members, &err);
    }
    else {
        Mbr_OnRecord(&members->membership, &record, now);
        (record.control ? answer_exchange : answer_rows)(
            members, origin, record.node, table, seen, now);
    }
    Mbr_RecordFinish(&record);
}

static void
on_renewal(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Members *members = context;
    MbrRenewal renewal;
    uint64_t table;
    uint64_t seen;
    Err err = {0};

    if (!Membermsg_ReadRenewal(in, &renewal, &table, &seen, &err)) {
        refuse_message(members, &err);
        return;
    }
    switch (Mbr_OnRenewal(&members->membership, &renewal, now)) {
    case Mbr_RENEWED:
        answer_rows(members, origin, renewal.node, table, seen, now);
        break;
    case Mbr_UNKNOWN:
        answer_short(members, origin, Wire_RECORD_ASK, now);
        break;
    case Mbr_OLD:
        break;
    }
}

/* Number of the replica that ORIGIN is; Mso_NONE when it is none. */
static size_t
find_replica(const Members *members, const NetOrigin *origin)
{
    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (members->settings->replicas[i] == origin->peer) {
            return i;
        }
    }
    return Mso_NONE;
}

static void
take_rows(Members *members, size_t replica, Unpack *in, bool exchange,
          Instant now)
{
    MembermsgSink sink = {&members->membership, exchange ? (int)replica : -1};
    MsoReplica *from = &members->replicas.replicas[replica];
    MembermsgHead head;
    Err err = {0};

    if (!Membermsg_ReadTable(in, &sink, &head, now, &err)) {
        refuse_message(members, &err);
        return;
    }
    from->number = head.number;
    from->table = Membermsg_IsEqual(&sink, &head) ? head.table : 0;
}

static void
take_table(Members *members, const NetOrigin *origin, Unpack *in,
           bool exchange, Instant now)
{
    size_t replica = find_replica(members, origin);

    if (replica == Mso_NONE || exchange != members->settings->control) {
        return;
    }
    Mso_OnAnswer(&members->replicas, replica, now);
    if (Mso_Wants(&members->replicas, replica)) {
        take_rows(members, replica, in, exchange, now);
    }
}

static void
on_table(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    take_table(context, origin, in, false, now);
}

static void
on_exchange(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    take_table(context, origin, in, true, now);
}

static size_t
take_short(Members *members, const NetOrigin *origin, const Unpack *in,
           Instant now)
{
    size_t replica = find_replica(members, origin);
    Err err = {0};

    if (!Membermsg_ReadShort(in, &err)) {
        refuse_message(members, &err);
        return Mso_NONE;
    }
    if (replica != Mso_NONE) {
        Mso_OnAnswer(&members->replicas, replica, now);
    }
    return replica;
}

static void
on_renewed(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    take_short(context, origin, in, now);
}

static void
on_record_ask(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Members *members = context;
    size_t replica = take_short(members, origin, in, now);

    if (replica != Mso_NONE) {
        Mso_OnUnknown(&members->replicas, replica);
        renew_own(members, now);
        send_own(members, replica, Mso_RECORD, now);
    }
}

/* A place that is no replica's is told nothing, like this node's own. */
static void
set_self(Members *members, size_t number)
{
    Addr addr = members->settings->replicas[number];

    members->replicas.replicas[number].self =
        addr == members->settings->address || addr == Addr_NONE;
}

void
Mbs_OnReplicaMoved(Members *members, size_t number)
{
    Mso_Forget(&members->replicas, number);
    Mbr_ForgetVia(&members->membership, (unsigned)number);
    set_self(members, number);
}

static void
init_replicas(Members *members)
{
    const Settings *settings = members->settings;
    uint64_t spread = Str_Hash(
        Str_From((const char *)&settings->address, sizeof settings->address));

    Mso_Init(&members->replicas, settings->replica_count, settings->heartbeat,
             settings->control, spread);
    for (size_t i = 0; i < settings->replica_count; i++) {
        set_self(members, i);
    }
}

static void
init_own(Members *members, uint64_t incarnation)
{
    const Settings *settings = members->settings;
    MbrRecord *own = &members->own;

    Mbr_RecordInit(own);
    own->node = settings->address;
    own->operators = settings->operators;
    own->incarnation = incarnation;
    own->region = settings->region;
    own->domain = settings->domain;
    own->control = settings->control;
}

void
Mbs_Init(Members *members, Loop *loop, Net *net, Counters *counters,
         Logger *logger, const Settings *settings, const Ann *ann,
         const AdmissionController *admission, uint64_t incarnation,
         MbrListener listener, void *context)
{
    MbrSettings mbr = {
        .self = settings->address,
        .region = settings->region,
        .replica = settings->control,
        .replicas = settings->replica_count,
        .addrs = settings->replicas,
        .expiry = settings->member_expiry,
        .listener = listener,
        .context = context,
    };

    *members = (Members){
        .settings = settings,
        .net = net,
        .counters = counters,
        .logger = logger,
        .ann = ann,
        .admission = admission,
    };
    Mbr_Init(&members->membership, &mbr);
    init_own(members, incarnation);
    init_replicas(members);
    Net_On(net, Wire_RECORD, on_record, members);
    Net_On(net, Wire_TABLE, on_table, members);
    Net_On(net, Wire_EXCHANGE, on_exchange, members);
    Net_On(net, Wire_RENEWAL, on_renewal, members);
    Net_On(net, Wire_RENEWED, on_renewed, members);
    Net_On(net, Wire_RECORD_ASK, on_record_ask, members);
    if (settings->control) {
        LoopTimer_Init(&members->batch, loop, settings->heartbeat / BATCHES,
                       on_batch, members);
    }
    LoopTimer_Init(&members->beat, loop, settings->heartbeat, on_beat,
                   members);
    members->eager_until = Loop_Now() + EAGER_TIME;
    LoopTimer_Init(&members->eager, loop, settings->heartbeat / EAGER_BEATS,
                   on_eager, members);
}

void
Mbs_Finish(Members *members)
{
    LoopTimer_Finish(&members->beat);
    LoopTimer_Finish(&members->eager);
    if (members->settings->control) {
        LoopTimer_Finish(&members->batch);
    }
    Mem_Free(members->waiting);
    Mbr_Finish(&members->membership);
    Mbr_RecordFinish(&members->own);
    Mso_Finish(&members->replicas);
}
