#include "process/suspects.h"

#include <inttypes.h>

#include "connection/suspectmsg.h"

void
Sps_SetPreset(Suspects *suspects, const Preset *preset)
{
    SusSettings settings = {preset->limits.suspect_losses_max,
                            preset->limits.suspect_release};

    suspects->preset = preset;
    Sus_SetSettings(&suspects->sus, &settings);
}

SusVerdict
Sps_Ask(const Suspects *suspects, uint64_t fingerprint, Instant now)
{
    return Sus_Ask(&suspects->sus, fingerprint, now);
}

static void
send_rows(Suspects *suspects, Addr node, const Pack *pack, Instant now)
{
    Cnt_Add(suspects->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(suspects->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(suspects->net, node, Pack_View(pack), now);
}

/* Another node, that may get the same requests. */
static bool
serves_the_same(const Suspects *suspects, const MbrRecord *record)
{
    const MbrRecord *own = &suspects->members->own;
    Str theirs = StrBuf_View(&record->service);
    Str ours = StrBuf_View(&own->service);

    return record->node != own->node && theirs.len &&
           (Str_Equal(theirs, ours) ||
            Pst_ShareRoute(suspects->preset, theirs, ours));
}

/* How many nodes were told. */
static size_t
tell_others(Suspects *suspects, const Pack *pack, Instant now)
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
    return told;
}

static uint64_t
crash_id(Suspects *suspects)
{
    const MbrRecord *own = &suspects->members->own;
    uint64_t parts[] = {own->node, own->incarnation, ++suspects->crashes};
    uint64_t id = Str_Hash(Str_From((const char *)parts, sizeof parts));

    return id ? id : 1;
}

/* True when it is news. */
static bool
take_row(Suspects *suspects, const SusRow *row, Instant now)
{
    SusVerdict before = Sps_Ask(suspects, row->fingerprint, now);
    bool news = Sus_OnRow(&suspects->sus, row, now);

    if (before != Sus_STOPPED &&
        Sps_Ask(suspects, row->fingerprint, now) == Sus_STOPPED) {
        Tml_Record(suspects->timeline, Tml_SUSPECT_STOPPED,
                   "fingerprint=%016" PRIx64, row->fingerprint);
    }
    return news;
}

void
Sps_OnCrash(Suspects *suspects, const uint64_t *fingerprints, size_t count,
            Instant now)
{
    SusRow row = {.crash = crash_id(suspects),
                  .node = suspects->members->own.node};
    SuspectsHead head = {.number = suspects->crashes};
    Pack pack;

    Suspectmsg_Begin(&pack, &head, (uint32_t)count);
    for (size_t i = 0; i < count; i++) {
        row.fingerprint = fingerprints[i];
        take_row(suspects, &row, now);
        Suspectmsg_PutRow(&pack, &row);
    }
    suspects->untold = tell_others(suspects, &pack, now);
    Pack_Finish(&pack);
}

/* All crashes of ENTRY, to who may run it as well. */
static void
tell_entry(Suspects *suspects, uint64_t fingerprint, Instant now)
{
    const SusEntry *entry = Sus_Find(&suspects->sus, fingerprint);
    SuspectsHead head = {0};
    Pack pack;

    Suspectmsg_Begin(&pack, &head, entry->count);
    for (uint32_t i = 0; i < entry->count; i++) {
        SusRow row = Sus_Row(entry, i, now);
        Suspectmsg_PutRow(&pack, &row);
    }
    tell_others(suspects, &pack, now);
    Pack_Finish(&pack);
}

void
Sps_OnDone(Suspects *suspects, uint64_t fingerprint, Instant now)
{
    if (Sus_OnDone(&suspects->sus, fingerprint)) {
        tell_entry(suspects, fingerprint, now);
    }
}

bool
Sps_Release(Suspects *suspects, uint64_t fingerprint, Instant now)
{
    if (!Sus_Release(&suspects->sus, fingerprint)) {
        return false;
    }
    Tml_Record(suspects->timeline, Tml_SUSPECT_RELEASED,
               "fingerprint=%016" PRIx64 " by operators", fingerprint);
    tell_entry(suspects, fingerprint, now);
    return true;
}

static uint32_t
count_rows(const Sus *sus)
{
    uint32_t count = 0;

    for (size_t i = 0; i < sus->count; i++) {
        count += sus->entries[i].count;
    }
    return count;
}

void
Sps_OnMember(Suspects *suspects, const MbrRecord *record, Instant now)
{
    const Sus *sus = &suspects->sus;
    SuspectsHead head = {0};
    Pack pack;

    if (sus->count == 0 || !serves_the_same(suspects, record)) {
        return;
    }
    Suspectmsg_Begin(&pack, &head, count_rows(sus));
    for (size_t i = 0; i < sus->count; i++) {
        const SusEntry *entry = &sus->entries[i];
        for (uint32_t k = 0; k < entry->count; k++) {
            SusRow row = Sus_Row(entry, k, now);
            Suspectmsg_PutRow(&pack, &row);
        }
    }
    send_rows(suspects, record->node, &pack, now);
    Pack_Finish(&pack);
}

static void
confirm(Suspects *suspects, const NetOrigin *origin, uint64_t number,
        Instant now)
{
    Pack pack;

    Suspectmsg_PackTold(&pack, number);
    Cnt_Add(suspects->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(suspects->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Answer(suspects->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
log_learned(const Suspects *suspects, uint32_t rows, uint32_t news)
{
    Lgr_Log(suspects->timeline->logger, Lgr_INFO, Str_LIT("suspects_learned"),
            "rows=%u news=%u blamed=%zu stopped=%zu", rows, news,
            Sus_CountBlamed(&suspects->sus), Sus_CountStopped(&suspects->sus));
}

static void
on_suspects(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Suspects *suspects = context;
    SuspectsHead head;
    SusRow row;
    Unpack rows;
    uint32_t count = Suspectmsg_Open(in, &head, &rows);
    uint32_t news = 0;
    Err err = {0};

    for (uint32_t i = 0; i < count && Suspectmsg_TakeRow(&rows, &row); i++) {
        news += row.crash && take_row(suspects, &row, now);
    }
    if (!Unpack_Ok(&rows, &err) || !Unpack_Ok(in, &err)) {
        Cnt_Add(suspects->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(suspects->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), &err);
        return;
    }
    log_learned(suspects, count, news);
    if (head.number) {
        confirm(suspects, origin, head.number, now);
    }
}

static void
on_told(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    Suspects *suspects = context;
    uint64_t number;

    (void)origin;
    (void)now;
    if (!Suspectmsg_ReadTold(in, &number, NULL)) {
        Cnt_Add(suspects->counters, Cnt_MALFORMED, 1);
    }
    else if (number == suspects->crashes && suspects->untold) {
        suspects->untold--;
    }
}

bool
Sps_IsTold(const Suspects *suspects)
{
    return suspects->untold == 0;
}

void
Sps_Init(Suspects *suspects, Net *net, Counters *counters, Timeline *timeline,
         const Members *members)
{
    SusSettings settings = {Sus_LOSSES_MAX, 0};

    suspects->net = net;
    suspects->counters = counters;
    suspects->timeline = timeline;
    suspects->members = members;
    suspects->crashes = 0;
    suspects->untold = 0;
    Sus_Init(&suspects->sus, &settings);
    Net_On(net, Wire_SUSPECTS, on_suspects, suspects);
    Net_On(net, Wire_SUSPECTS_TOLD, on_told, suspects);
}

void
Sps_Tick(Suspects *suspects, Instant now)
{
    size_t released = Sus_Expire(&suspects->sus, now);

    if (released) {
        Tml_Record(suspects->timeline, Tml_SUSPECT_RELEASED,
                   "count=%zu by time", released);
    }
}
