#include "process/suspects/suspectsync.h"

SuspectSummary
Sps_MakeSummary(const SuspectSync *sync)
{
    return (SuspectSummary){Sus_ComputeDigest(&sync->table), sync->is_synced};
}

static void
count_message(SuspectSync *sync, const Pack *message)
{
    Cnt_Add(sync->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(sync->counters, Cnt_CONTROL_BYTES, Pack_View(message).len);
}

static void
send_records(SuspectSync *sync, Addr node, const Pack *message, Instant now)
{
    count_message(sync, message);
    Net_Send(sync->net, node, Pack_View(message), now);
}

/* Sends MESSAGE to the sender of the message from ORIGIN, and frees it. */
static void
send_reply(SuspectSync *sync, const NetOrigin *origin, Pack *message,
           Instant now)
{
    count_message(sync, message);
    Net_Answer(sync->net, origin, Pack_View(message), now);
    Pack_Finish(message);
}

/* True when RECORD is of another node that may get the same requests: its
 * service is this node's, or shares a route with it. */
static bool
may_get_same_requests(const SuspectSync *sync, const MemberRecord *record)
{
    const MemberRecord *own = &sync->members->own_record;
    Str peer_service = StrBuf_View(&record->service);
    Str own_service = StrBuf_View(&own->service);

    return record->node != own->node && peer_service.len &&
           (Str_Equal(peer_service, own_service) ||
            Pst_HasSplitBetween(sync->preset, peer_service, own_service));
}

/* Control replicas store the records and pass them on.  A replica that may get
 * the same requests is left out: it is among the nodes of Sps_SendToPeers. */
static void
send_to_replicas(SuspectSync *sync, const Pack *message, Instant now)
{
    const Settings *settings = sync->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        Addr replica = settings->replicas[i];
        const MemberRow *row = Mbr_Find(&sync->members->membership, replica);
        if (replica != Addr_NONE && replica != settings->address &&
            (!row || row->is_removed ||
             !may_get_same_requests(sync, &row->record))) {
            send_records(sync, replica, message, now);
        }
    }
}

size_t
Sps_SendToPeers(SuspectSync *sync, const Pack *message, Instant now)
{
    const MembershipTable *membership = &sync->members->membership;
    size_t receiver_count = 0;

    for (size_t i = 0; i < membership->count; i++) {
        const MemberRow *row = &membership->rows[i];
        if (!row->is_removed && may_get_same_requests(sync, &row->record)) {
            send_records(sync, row->record.node, message, now);
            receiver_count++;
        }
    }
    send_to_replicas(sync, message, now);
    return receiver_count;
}

/* The number of requests, from next_request on, whose records fit into one
 * message, and in RECORD_COUNT the number of these records. */
static size_t
count_fitting(const SuspectSync *sync, uint32_t *record_count)
{
    const SuspectTable *suspects = &sync->table;
    size_t fitting = 0;

    *record_count = 0;
    while (fitting < suspects->request_count) {
        const SuspectRequest *request =
            &suspects->requests[(sync->next_request + fitting) %
                                suspects->request_count];
        if (*record_count + request->crash_count >
            Sps_RECORDS_PER_MESSAGE_MAX) {
            break;
        }
        *record_count += request->crash_count;
        fitting++;
    }
    return fitting;
}

static void
put_request_records(Pack *pack, SuspectSync *sync, size_t fitting, Instant now)
{
    const SuspectTable *suspects = &sync->table;

    for (size_t i = 0; i < fitting; i++) {
        const SuspectRequest *request =
            &suspects->requests[(sync->next_request + i) %
                                suspects->request_count];
        for (uint32_t k = 0; k < request->crash_count; k++) {
            SuspectRecord record = Sus_MakeRecord(request, k, now);
            Suspectmsg_PutRecord(pack, &record);
        }
    }
}

/* Answers with the records of this process and its summary.  When the records
 * do not fit into one message, each message continues where the last ended.
 * WANTS_REPLY: the receiver is to send the records that this process lacks. */
static void
send_known_records(SuspectSync *sync, const NetOrigin *origin,
                   bool wants_reply, Instant now)
{
    SuspectsHeader header = {.wants_missing = wants_reply,
                             .summary = Sps_MakeSummary(sync)};
    uint32_t record_count;
    size_t fitting = count_fitting(sync, &record_count);
    Pack pack;

    Suspectmsg_Begin(&pack, &header, record_count);
    put_request_records(&pack, sync, fitting, now);
    if (sync->table.request_count) {
        sync->next_request =
            (sync->next_request + fitting) % sync->table.request_count;
    }
    send_reply(sync, origin, &pack, now);
}

void
Sps_OnSummary(SuspectSync *sync, const NetOrigin *origin,
              const SuspectSummary *summary, Instant now)
{
    bool differs =
        !Sus_DigestsAreEqual(summary->digest, Sus_ComputeDigest(&sync->table));

    if (differs || (!summary->is_synced && sync->is_synced)) {
        send_known_records(sync, origin, differs, now);
    }
}

static void
send_confirmation(SuspectSync *sync, const NetOrigin *origin, uint64_t number,
                  Instant now)
{
    Pack pack;

    Suspectmsg_PackAck(&pack, number);
    send_reply(sync, origin, &pack, now);
}

static void
log_received_records(const SuspectSync *sync, uint32_t record_count,
                     uint32_t new_count)
{
    Lgr_Log(sync->timeline->logger, Lgr_INFO, Str_LIT("suspects_received"),
            "rows=%u news=%u blamed=%zu stopped=%zu", record_count, new_count,
            Sus_CountBlamed(&sync->table), Sus_CountStopped(&sync->table));
}

/* Acts on the header of a message whose records have been merged. */
static void
apply_header(SuspectSync *sync, const NetOrigin *origin,
             const SuspectsHeader *header, Instant now)
{
    if (header->summary.is_synced) {
        Sps_SetSynced(sync);
    }
    if (header->ack_number) {
        send_confirmation(sync, origin, header->ack_number, now);
    }
    if (header->wants_missing &&
        !Sus_DigestsAreEqual(header->summary.digest,
                             Sus_ComputeDigest(&sync->table))) {
        send_known_records(sync, origin, false, now);
    }
}

static void
on_records(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    SuspectSync *sync = context;
    SuspectsHeader header;
    SuspectRecord record;
    Unpack records;
    uint32_t count = Suspectmsg_Open(in, &header, &records);
    uint32_t new_count = 0;
    Err err = {0};

    for (uint32_t i = 0; i < count && Suspectmsg_TakeRecord(&records, &record);
         i++) {
        new_count += record.crash_id && Sps_MergeRecord(sync, &record, now);
    }
    if (!Unpack_Ok(&records, &err) || !Unpack_Ok(in, &err)) {
        Cnt_Add(sync->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(sync->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), &err);
        return;
    }
    if (count) {
        log_received_records(sync, count, new_count);
    }
    if (new_count) {
        sync->on_update(sync->on_update_context, now);
    }
    apply_header(sync, origin, &header, now);
}

static void
on_confirmation(void *context, const NetOrigin *origin, Unpack *in,
                Instant now)
{
    SuspectSync *sync = context;
    uint64_t number;

    (void)origin;
    (void)now;
    if (!Suspectmsg_ReadAck(in, &number, NULL)) {
        Cnt_Add(sync->counters, Cnt_MALFORMED, 1);
    }
    else if (number == sync->last_crash_number && sync->unconfirmed_nodes) {
        sync->unconfirmed_nodes--;
    }
}

void
Sps_RegisterHandlers(SuspectSync *sync)
{
    Net_SetHandler(sync->net, Wire_SUSPECTS, on_records, sync);
    Net_SetHandler(sync->net, Wire_SUSPECTS_ACK, on_confirmation, sync);
}
