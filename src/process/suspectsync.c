#include "process/suspectsync.h"

#include <inttypes.h>

#include "process/suspectstore.h"

/* Between two writes of a control replica's file, and after a failed one. */
#define SAVE_EVERY Span_MS(100)
#define SAVE_AGAIN Span_S(1)

/* Who is told by nobody for so long after its start takes it that nobody
 * knows: to serve goes before to wait for ever. */
#define KNOW_ANYWAY Span_S(5)

void
Sps_SetPreset(SuspectSync *suspects, const Preset *preset)
{
    SuspectLimits settings = {preset->limits.suspect_losses_max,
                              preset->limits.suspect_release};

    suspects->preset = preset;
    Sus_SetLimits(&suspects->table, &settings);
}

SuspectVerdict
Sps_GetVerdict(const SuspectSync *suspects, uint64_t fingerprint, Instant now)
{
    return Sus_GetVerdict(&suspects->table, fingerprint, now);
}

static bool
takes_work(const MbrRecord *record, Str service)
{
    return record->present && !record->leaving && !record->load.draining &&
           Str_Equal(StrBuf_View(&record->service), service);
}

const MbrRecord *
Sps_FindExclusiveNode(const SuspectSync *suspects, Str service,
                      uint64_t fingerprint)
{
    const Mbr *mbr = &suspects->members->membership;
    const MbrRecord *own = &suspects->members->own;
    const MbrRecord *first = takes_work(own, service) ? own : NULL;

    for (size_t i = 0; i < mbr->count; i++) {
        const MbrRecord *record = &mbr->rows[i].record;
        if (!mbr->rows[i].gone && record->node != own->node &&
            takes_work(record, service) &&
            (!first || Sus_PrefersNode(&suspects->table, fingerprint,
                                       record->node, first->node))) {
            first = record;
        }
    }
    return first;
}

bool
Sps_IsExclusiveNode(const SuspectSync *suspects, uint64_t fingerprint)
{
    const MbrRecord *own = &suspects->members->own;
    const MbrRecord *first = Sps_FindExclusiveNode(
        suspects, StrBuf_View(&own->service), fingerprint);

    return !first || first->node == own->node ||
           Sus_PrefersNode(&suspects->table, fingerprint, own->node,
                           first->node);
}

void
Sps_SetUpdateCallback(SuspectSync *suspects,
                      void (*learned)(void *context, Instant now),
                      void *context)
{
    suspects->on_update = learned;
    suspects->on_update_context = context;
}

static uint64_t
crash_id(SuspectSync *suspects)
{
    const MbrRecord *own = &suspects->members->own;
    uint64_t parts[] = {own->node, own->incarnation,
                        ++suspects->last_crash_number};
    uint64_t id = Str_Hash(Str_From((const char *)parts, sizeof parts));

    return id ? id : 1;
}

bool
Sps_MergeRecord(SuspectSync *suspects, const SuspectRecord *row, Instant now)
{
    SuspectVerdict before = Sps_GetVerdict(suspects, row->fingerprint, now);
    bool news = Sus_MergeRecord(&suspects->table, row, now);

    if (before != Sus_STOPPED &&
        Sps_GetVerdict(suspects, row->fingerprint, now) == Sus_STOPPED) {
        Tml_Record(suspects->timeline, Tml_SUSPECT_STOPPED,
                   "fingerprint=%016" PRIx64, row->fingerprint);
    }
    suspects->needs_save |= news;
    return news;
}

void
Sps_OnCrash(SuspectSync *suspects, const uint64_t *fingerprints, size_t count,
            Instant now)
{
    SuspectRecord row = {.crash_id = crash_id(suspects),
                         .node = suspects->members->own.node};
    SuspectsHead head = {.number = suspects->last_crash_number};
    Pack pack;

    Suspectmsg_Begin(&pack, &head, (uint32_t)count);
    for (size_t i = 0; i < count; i++) {
        row.fingerprint = fingerprints[i];
        Sps_MergeRecord(suspects, &row, now);
        Suspectmsg_PutRow(&pack, &row);
    }
    suspects->unconfirmed_nodes = Sps_SendToPeers(suspects, &pack, now);
    Pack_Finish(&pack);
}

bool
Sps_IsCrashConfirmed(const SuspectSync *suspects)
{
    return suspects->unconfirmed_nodes == 0;
}

/* What is said of its crashes now. */
static void
tell_entry(SuspectSync *suspects, uint64_t fingerprint, Instant now)
{
    const SuspectRequest *entry = Sus_Find(&suspects->table, fingerprint);
    SuspectsHead head = {0};
    Pack pack;

    Suspectmsg_Begin(&pack, &head, entry->crash_count);
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        SuspectRecord row = Sus_MakeRecord(entry, i, now);
        Suspectmsg_PutRow(&pack, &row);
    }
    Sps_SendToPeers(suspects, &pack, now);
    Pack_Finish(&pack);
    suspects->needs_save = true;
    suspects->on_update(suspects->on_update_context, now);
}

void
Sps_OnExclusiveSuccess(SuspectSync *suspects, uint64_t fingerprint,
                       Instant now)
{
    if (Sus_OnExclusiveSuccess(&suspects->table, fingerprint)) {
        tell_entry(suspects, fingerprint, now);
    }
}

bool
Sps_Release(SuspectSync *suspects, uint64_t fingerprint, Instant now)
{
    if (!Sus_Release(&suspects->table, fingerprint)) {
        return false;
    }
    Tml_Record(suspects->timeline, Tml_SUSPECT_RELEASED,
               "fingerprint=%016" PRIx64 " by operators", fingerprint);
    tell_entry(suspects, fingerprint, now);
    return true;
}

void
Sps_SetSynced(SuspectSync *suspects)
{
    if (!suspects->is_synced) {
        suspects->is_synced = true;
        suspects->needs_save = true;
    }
}

static SuspectStoreTime
time_at(const SuspectSync *suspects, Instant now)
{
    return (SuspectStoreTime){now, suspects->timeline->logger->clock()};
}

void
Sps_Load(SuspectSync *suspects, Instant now)
{
    SuspectStoreTime time = time_at(suspects, now);
    Err err = {0};

    if (!suspects->settings->control) {
        return;
    }
    suspects->is_synced =
        Sst_Load(StrBuf_View(&suspects->settings->data_folder),
                 &suspects->table, &time, &err);
    if (suspects->is_synced) {
        Lgr_Log(suspects->timeline->logger, Lgr_INFO,
                Str_LIT("suspects_loaded"), "blamed=%zu stopped=%zu",
                Sus_CountBlamed(&suspects->table),
                Sus_CountStopped(&suspects->table));
    }
    else {
        Lgr_LogErr(suspects->timeline->logger, Lgr_INFO,
                   Str_LIT("suspects_not_loaded"), &err);
    }
}

static void
save(SuspectSync *suspects, Instant now)
{
    SuspectStoreTime time = time_at(suspects, now);
    Err err = {0};

    suspects->needs_save =
        !Sst_Save(StrBuf_View(&suspects->settings->data_folder),
                  &suspects->table, &time, &err);
    suspects->next_save_at =
        now + (suspects->needs_save ? SAVE_AGAIN : SAVE_EVERY);
    if (suspects->needs_save) {
        Lgr_LogErr(suspects->timeline->logger, Lgr_WARNING,
                   Str_LIT("suspects_not_saved"), &err);
    }
}

static void
know_anyway(SuspectSync *suspects, Instant now)
{
    if (suspects->is_synced || now - suspects->started_at < KNOW_ANYWAY) {
        return;
    }
    Lgr_Log(suspects->timeline->logger, Lgr_WARNING,
            Str_LIT("suspects_not_told"), "nobody told what is suspect");
    Sps_SetSynced(suspects);
}

void
Sps_Tick(SuspectSync *suspects, Instant now)
{
    size_t before = suspects->table.request_count;
    size_t released = Sus_Expire(&suspects->table, now);

    suspects->needs_save |= suspects->table.request_count != before;
    if (released) {
        Tml_Record(suspects->timeline, Tml_SUSPECT_RELEASED,
                   "count=%zu by time", released);
    }
    know_anyway(suspects, now);
    /* A file means that its writer knew: none before it does. */
    if (suspects->settings->control && suspects->needs_save &&
        suspects->is_synced && now >= suspects->next_save_at) {
        save(suspects, now);
    }
}

void
Sps_Init(SuspectSync *suspects, Net *net, Counters *counters,
         Timeline *timeline, const Settings *settings, const Members *members)
{
    SuspectLimits none = {Sus_STOP_THRESHOLD_MAX, 0};

    suspects->net = net;
    suspects->counters = counters;
    suspects->timeline = timeline;
    suspects->settings = settings;
    suspects->members = members;
    suspects->started_at = Loop_Now();
    Sus_Init(&suspects->table, &none);
    Sps_RegisterHandlers(suspects);
}
