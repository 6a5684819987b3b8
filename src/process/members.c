#include "process/members.h"

#include "connection/membermsg.h"
#include "value/mem.h"

#define NO_SOURCE SIZE_MAX

/* A replica that left so many heartbeats unanswered is not relied on. */
enum { UNANSWERED_BEATS = 3 };

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
    /* Without a confirmed version no call may come here. */
    own->present = members->ann->present && own->version_term > 0;
    StrBuf_Set(&own->service, StrBuf_View(&members->ann->service));
    own->load = Adm_Report(members->admission, now);
    Mbr_OnRecord(&members->membership, own, now);
}

static bool
is_fresh(const Members *members, size_t replica, Instant now)
{
    Instant at = members->seen[replica].answered_at;

    return at && now - at < members->settings->heartbeat * UNANSWERED_BEATS;
}

static bool
is_near(const Members *members, size_t replica)
{
    const MbrRow *row =
        Mbr_Find(&members->membership, members->settings->replicas[replica]);

    return row && !row->gone &&
           row->record.region == members->settings->region;
}

/* A fresh replica, of this region if there is one; NO_SOURCE when none is. */
static size_t
find_fresh(const Members *members, Instant now)
{
    size_t found = NO_SOURCE;

    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (is_fresh(members, i, now)) {
            found = i;
            if (is_near(members, i)) {
                break;
            }
        }
    }
    return found;
}

/* Rows come from one replica at a time; a new one sends all of them. */
static void
choose_source(Members *members, Instant now)
{
    size_t found;

    if (members->source != NO_SOURCE &&
        is_fresh(members, members->source, now) &&
        is_near(members, members->source)) {
        return;
    }
    found = find_fresh(members, now);
    if (found != NO_SOURCE && found != members->source) {
        members->source = found;
        members->seen[found].table = 0;
    }
}

static void
send_own(Members *members, size_t replica, Instant now)
{
    MbsSeen *seen = &members->seen[replica];
    bool wants = members->settings->control || replica == members->source;
    Pack pack;

    Membermsg_PackRecord(&pack, &members->own, seen->table,
                         wants ? seen->number : Membermsg_NO_ROWS);
    count_control(members, &pack);
    Net_Send(members->net, members->settings->replicas[replica],
             Pack_View(&pack), now);
    Pack_Finish(&pack);
}

/* Replicas tell each other; everybody else tells those of its region, or all
 * when none there answers. */
static bool
is_told(const Members *members, size_t replica, bool any)
{
    const Settings *settings = members->settings;

    return settings->replicas[replica] != settings->address &&
           (any || settings->control || is_near(members, replica));
}

void
Mbs_SendRecord(Members *members, Instant now)
{
    bool any;

    renew_own(members, now);
    choose_source(members, now);
    any = members->source == NO_SOURCE ||
          !is_fresh(members, members->source, now) ||
          !is_near(members, members->source);
    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (is_told(members, i, any)) {
            send_own(members, i, now);
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

    Mbr_Expire(&members->membership, now);
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
answer_record(Members *members, const NetOrigin *origin, bool replica,
              uint64_t table, uint64_t seen, Instant now)
{
    const Mbr *mbr = &members->membership;
    Pack pack;

    if (seen == Membermsg_NO_ROWS) {
        seen = mbr->change;
    }
    else if (table != members->own.incarnation) {
        seen = 0;
    }
    Membermsg_PackTable(&pack, replica ? Wire_EXCHANGE : Wire_TABLE, mbr,
                        members->own.incarnation, seen);
    count_control(members, &pack);
    Net_Answer(members->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
on_record(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Members *members = context;
    int64_t start = Loop_CpuNs();
    MbrRecord record;
    uint64_t table;
    uint64_t seen;
    Err err = {0};

    Mbr_RecordInit(&record);
    if (Membermsg_ReadRecord(in, &record, &table, &seen, &err)) {
        Mbr_OnRecord(&members->membership, &record, now);
        answer_record(members, origin, record.control, table, seen, now);
    }
    else {
        refuse_message(members, &err);
    }
    Mbr_RecordFinish(&record);
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static size_t
find_replica(const Members *members, Addr addr)
{
    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (members->settings->replicas[i] == addr) {
            return i;
        }
    }
    return NO_SOURCE;
}

static void
take_table(Members *members, const NetOrigin *origin, Unpack *in,
           bool exchange, Instant now)
{
    size_t replica = find_replica(members, origin->peer);
    int64_t start = Loop_CpuNs();
    MembermsgSink sink = {&members->membership, -1};
    MbsSeen *seen;
    uint64_t table;
    uint64_t number;
    Err err = {0};

    if (replica == NO_SOURCE || exchange != members->settings->control) {
        return;
    }
    seen = &members->seen[replica];
    seen->answered_at = now;
    if (exchange) {
        sink.via = (int)replica;
    }
    else if (replica != members->source) {
        return; /* it was told to send no rows */
    }
    if (Membermsg_ReadTable(in, &sink, &table, &number, now, &err)) {
        seen->table = table;
        seen->number = number;
    }
    else {
        refuse_message(members, &err);
    }
    Cnt_AddNs(members->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
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

void
Mbs_Init(Members *members, Loop *loop, Net *net, Counters *counters,
         Logger *logger, const Settings *settings, const Ann *ann,
         const Adm *admission, uint64_t incarnation, MbrListener listener,
         void *context)
{
    MbrSettings mbr = {
        .self = settings->address,
        .region = settings->region,
        .replica = settings->control,
        .replicas = settings->replica_count,
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
        .source = NO_SOURCE,
    };
    Mbr_Init(&members->membership, &mbr);
    Mbr_RecordInit(&members->own);
    members->own.node = settings->address;
    members->own.operators = settings->operators;
    members->own.incarnation = incarnation;
    members->own.region = settings->region;
    members->own.domain = settings->domain;
    members->own.control = settings->control;
    members->seen = Mem_Alloc(settings->replica_count, sizeof *members->seen);
    Net_On(net, Wire_RECORD, on_record, members);
    Net_On(net, Wire_TABLE, on_table, members);
    Net_On(net, Wire_EXCHANGE, on_exchange, members);
    LoopTimer_Init(&members->beat, loop, settings->heartbeat, on_beat,
                   members);
}

void
Mbs_Finish(Members *members)
{
    LoopTimer_Finish(&members->beat);
    Mbr_Finish(&members->membership);
    Mbr_RecordFinish(&members->own);
    Mem_Free(members->seen);
}
