#include "process/members.h"

#include "connection/membermsg.h"
#include "value/mem.h"

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
    own->load = Adm_Report(members->admission);
    Mbr_OnRecord(&members->membership, own, 0, now);
}

static void
send_own(Members *members, size_t replica, Instant now)
{
    MbsSeen *seen = &members->seen[replica];
    Pack pack;

    Membermsg_PackRecord(&pack, &members->own, seen->table, seen->number);
    count_control(members, &pack);
    Net_Send(members->net, members->settings->replicas[replica],
             Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Mbs_SendRecord(Members *members, Instant now)
{
    renew_own(members, now);
    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (members->settings->replicas[i] != members->settings->address) {
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
on_record(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Members *members = context;
    MbrRecord record;
    uint64_t table;
    uint64_t seen;
    Err err = {0};
    Pack pack;

    Mbr_RecordInit(&record);
    if (!Membermsg_ReadRecord(in, &record, &table, &seen, &err)) {
        Cnt_Add(members->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(members->logger, Lgr_WARNING, Str_LIT("message_refused"),
                   &err);
        Mbr_RecordFinish(&record);
        return;
    }
    Mbr_OnRecord(&members->membership, &record, 0, now);
    Mbr_RecordFinish(&record);
    if (table != members->own.incarnation) {
        seen = 0;
    }
    Membermsg_PackTable(&pack, Wire_TABLE, &members->membership,
                        members->own.incarnation, seen, now);
    count_control(members, &pack);
    Net_Answer(members->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static MbsSeen *
find_seen(Members *members, Addr replica)
{
    for (size_t i = 0; i < members->settings->replica_count; i++) {
        if (members->settings->replicas[i] == replica) {
            return &members->seen[i];
        }
    }
    return NULL;
}

static void
on_table(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Members *members = context;
    MbsSeen *seen = find_seen(members, origin->peer);
    uint64_t table;
    uint64_t number;
    Err err = {0};

    if (!Membermsg_ReadTable(in, &members->membership, &table, &number, now,
                             &err)) {
        Cnt_Add(members->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(members->logger, Lgr_WARNING, Str_LIT("message_refused"),
                   &err);
        return;
    }
    if (seen) {
        *seen = (MbsSeen){table, number};
    }
}

void
Mbs_Init(Members *members, Loop *loop, Net *net, Counters *counters,
         Logger *logger, const Settings *settings, const Ann *ann,
         const Adm *admission, uint64_t incarnation, MbrListener listener,
         void *context)
{
    MbrSettings mbr = {settings->member_expiry, listener, context};

    *members = (Members){
        .settings = settings,
        .net = net,
        .counters = counters,
        .logger = logger,
        .ann = ann,
        .admission = admission,
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
