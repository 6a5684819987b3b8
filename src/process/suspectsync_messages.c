#include "process/suspectsync.h"

SuspectWord
Sps_MakeSummary(const SuspectSync *suspects)
{
    return (SuspectWord){Sus_ComputeDigest(&suspects->table),
                         suspects->is_synced};
}

static void
count_control(SuspectSync *suspects, const Pack *pack)
{
    Cnt_Add(suspects->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(suspects->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
}

static void
send_rows(SuspectSync *suspects, Addr node, const Pack *pack, Instant now)
{
    count_control(suspects, pack);
    Net_Send(suspects->net, node, Pack_View(pack), now);
}

static void
answer(SuspectSync *suspects, const NetOrigin *origin, Pack *pack, Instant now)
{
    count_control(suspects, pack);
    Net_Answer(suspects->net, origin, Pack_View(pack), now);
    Pack_Finish(pack);
}

/* Another node, that may get the same requests. */
static bool
serves_the_same(const SuspectSync *suspects, const MbrRecord *record)
{
    const MbrRecord *own = &suspects->members->own;
    Str theirs = StrBuf_View(&record->service);
    Str ours = StrBuf_View(&own->service);

    return record->node != own->node && theirs.len &&
           (Str_Equal(theirs, ours) ||
            Pst_ShareRoute(suspects->preset, theirs, ours));
}

/* They spread and keep it; a node among them is told as a node. */
static void
tell_replicas(SuspectSync *suspects, const Pack *pack, Instant now)
{
    const Settings *settings = suspects->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        Addr replica = settings->replicas[i];
        const MbrRow *row = Mbr_Find(&suspects->members->membership, replica);
        if (replica != Addr_NONE && replica != settings->address &&
            (!row || row->gone || !serves_the_same(suspects, &row->record))) {
            send_rows(suspects, replica, pack, now);
        }
    }
}

size_t
Sps_SendToPeers(SuspectSync *suspects, const Pack *pack, Instant now)
{
    const Mbr *mbr = &suspects->members->membership;
    size_t told = 0;

    for (size_t i = 0; i < mbr->count; i++) {
        const MbrRow *row = &mbr->rows[i];
        if (!row->gone && serves_the_same(suspects, &row->record)) {
            send_rows(suspects, row->record.node, pack, now);
            told++;
        }
    }
    tell_replicas(suspects, pack, now);
    return told;
}

/* How many entries from NEXT on fit one message, and their rows. */
static size_t
count_fitting(const SuspectSync *suspects, uint32_t *rows)
{
    const SuspectTable *sus = &suspects->table;
    size_t entries = 0;

    *rows = 0;
    while (entries < sus->request_count) {
        const SuspectRequest *entry =
            &sus->requests[(suspects->next_request + entries) %
                           sus->request_count];
        if (*rows + entry->crash_count > Sps_RECORDS_PER_MESSAGE_MAX) {
            break;
        }
        *rows += entry->crash_count;
        entries++;
    }
    return entries;
}

static void
put_entries(Pack *pack, SuspectSync *suspects, size_t entries, Instant now)
{
    const SuspectTable *sus = &suspects->table;

    for (size_t i = 0; i < entries; i++) {
        const SuspectRequest *entry =
            &sus->requests[(suspects->next_request + i) % sus->request_count];
        for (uint32_t k = 0; k < entry->crash_count; k++) {
            SuspectRecord row = Sus_MakeRecord(entry, k, now);
            Suspectmsg_PutRow(pack, &row);
        }
    }
}

/* What this process knows; where not all fits, another part each time. */
static void
tell_known(SuspectSync *suspects, const NetOrigin *origin, bool wants,
           Instant now)
{
    SuspectsHead head = {.wants = wants, .word = Sps_MakeSummary(suspects)};
    uint32_t rows;
    size_t entries = count_fitting(suspects, &rows);
    Pack pack;

    Suspectmsg_Begin(&pack, &head, rows);
    put_entries(&pack, suspects, entries, now);
    if (suspects->table.request_count) {
        suspects->next_request =
            (suspects->next_request + entries) % suspects->table.request_count;
    }
    answer(suspects, origin, &pack, now);
}

void
Sps_OnSummary(SuspectSync *suspects, const NetOrigin *origin,
              const SuspectWord *word, Instant now)
{
    bool differs = !Sus_DigestsAreEqual(word->digest,
                                        Sus_ComputeDigest(&suspects->table));

    if (differs || (!word->knows && suspects->is_synced)) {
        tell_known(suspects, origin, differs, now);
    }
}

static void
confirm(SuspectSync *suspects, const NetOrigin *origin, uint64_t number,
        Instant now)
{
    Pack pack;

    Suspectmsg_PackTold(&pack, number);
    answer(suspects, origin, &pack, now);
}

static void
log_learned(const SuspectSync *suspects, uint32_t rows, uint32_t news)
{
    Lgr_Log(suspects->timeline->logger, Lgr_INFO, Str_LIT("suspects_learned"),
            "rows=%u news=%u blamed=%zu stopped=%zu", rows, news,
            Sus_CountBlamed(&suspects->table),
            Sus_CountStopped(&suspects->table));
}

/* What follows from a message that told of rows, all taken over by now. */
static void
on_learned(SuspectSync *suspects, const NetOrigin *origin,
           const SuspectsHead *head, Instant now)
{
    if (head->word.knows) {
        Sps_SetSynced(suspects);
    }
    if (head->number) {
        confirm(suspects, origin, head->number, now);
    }
    if (head->wants &&
        !Sus_DigestsAreEqual(head->word.digest,
                             Sus_ComputeDigest(&suspects->table))) {
        tell_known(suspects, origin, false, now);
    }
}

static void
on_suspects(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    SuspectSync *suspects = context;
    SuspectsHead head;
    SuspectRecord row;
    Unpack rows;
    uint32_t count = Suspectmsg_Open(in, &head, &rows);
    uint32_t news = 0;
    Err err = {0};

    for (uint32_t i = 0; i < count && Suspectmsg_TakeRow(&rows, &row); i++) {
        news += row.crash_id && Sps_MergeRecord(suspects, &row, now);
    }
    if (!Unpack_Ok(&rows, &err) || !Unpack_Ok(in, &err)) {
        Cnt_Add(suspects->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(suspects->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), &err);
        return;
    }
    if (count) {
        log_learned(suspects, count, news);
    }
    if (news) {
        suspects->on_update(suspects->on_update_context, now);
    }
    on_learned(suspects, origin, &head, now);
}

static void
on_told(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    SuspectSync *suspects = context;
    uint64_t number;

    (void)origin;
    (void)now;
    if (!Suspectmsg_ReadTold(in, &number, NULL)) {
        Cnt_Add(suspects->counters, Cnt_MALFORMED, 1);
    }
    else if (number == suspects->last_crash_number &&
             suspects->unconfirmed_nodes) {
        suspects->unconfirmed_nodes--;
    }
}

void
Sps_RegisterHandlers(SuspectSync *suspects)
{
    Net_On(suspects->net, Wire_SUSPECTS, on_suspects, suspects);
    Net_On(suspects->net, Wire_SUSPECTS_TOLD, on_told, suspects);
}
