#include "process/suspects/suspectsync.h"

#include <inttypes.h>

#include "process/suspects/suspectstore.h"

/* Time between two saves of a control replica's file, and after a failed
 * one. */
#define SAVE_INTERVAL Span_MS(100)
#define SAVE_RETRY_INTERVAL Span_S(1)

/* A process that has received no table for this long after its start assumes
 * that no process has one: serving requests takes priority over waiting
 * forever. */
#define SYNC_TIMEOUT Span_S(5)

void
Sps_SetPreset(SuspectSync *sync, const Preset *preset)
{
    SuspectLimits limits = {preset->limits.suspect_losses_max,
                            preset->limits.suspect_hold_time};

    sync->preset = preset;
    Sus_SetLimits(&sync->table, &limits);
}

SuspectVerdict
Sps_GetVerdict(const SuspectSync *sync, uint64_t fingerprint, Instant now)
{
    return Sus_GetVerdict(&sync->table, fingerprint, now);
}

static bool
accepts_requests(const SuspectSync *sync, const MemberRecord *record,
                 Str service, RegionMask barred)
{
    return record->has_backend && !record->is_leaving &&
           !record->load.draining && !Rgm_Has(barred, record->region) &&
           !Rgm_Has(sync->evacuated, record->domain) &&
           Str_Equal(StrBuf_View(&record->service), service);
}

const MemberRecord *
Sps_FindExclusiveNode(const SuspectSync *sync, Str service,
                      uint64_t fingerprint, RegionMask barred)
{
    const MembershipTable *membership = &sync->members->membership;
    const MemberRecord *own = &sync->members->own_record;
    const MemberRecord *preferred =
        accepts_requests(sync, own, service, barred) ? own : NULL;

    for (size_t i = 0; i < membership->count; i++) {
        const MemberRecord *record = &membership->rows[i].record;
        if (!membership->rows[i].is_removed && record->node != own->node &&
            accepts_requests(sync, record, service, barred) &&
            (!preferred || Sus_PrefersNode(&sync->table, fingerprint,
                                           record->node, preferred->node))) {
            preferred = record;
        }
    }
    return preferred;
}

void
Sps_SetEvacuated(SuspectSync *sync, DomainMask evacuated)
{
    sync->evacuated = evacuated;
}

bool
Sps_IsExclusiveNode(const SuspectSync *sync, uint64_t fingerprint,
                    RegionMask barred)
{
    const MemberRecord *own = &sync->members->own_record;
    const MemberRecord *preferred = Sps_FindExclusiveNode(
        sync, StrBuf_View(&own->service), fingerprint, barred);

    return !preferred || preferred->node == own->node ||
           Sus_PrefersNode(&sync->table, fingerprint, own->node,
                           preferred->node);
}

void
Sps_SetUpdateCallback(SuspectSync *sync,
                      void (*callback)(void *context, Instant now),
                      void *context)
{
    sync->on_update = callback;
    sync->on_update_context = context;
}

/* A crash id that is unique in the fleet and never 0. */
static uint64_t
next_crash_id(SuspectSync *sync)
{
    const MemberRecord *own = &sync->members->own_record;
    uint64_t parts[] = {own->node, own->incarnation,
                        ++sync->last_crash_number};
    uint64_t id = Str_Hash(Str_From((const char *)parts, sizeof parts));

    return id ? id : 1;
}

bool
Sps_MergeRecord(SuspectSync *sync, const SuspectRecord *record, Instant now)
{
    SuspectVerdict before = Sps_GetVerdict(sync, record->fingerprint, now);
    bool is_new = Sus_MergeRecord(&sync->table, record, now);

    if (before != Sus_STOPPED &&
        Sps_GetVerdict(sync, record->fingerprint, now) == Sus_STOPPED) {
        Tml_Record(sync->timeline, Tml_SUSPECT_STOPPED,
                   "fingerprint=%016" PRIx64, record->fingerprint);
    }
    sync->needs_save |= is_new;
    return is_new;
}

void
Sps_OnCrash(SuspectSync *sync, const uint64_t *fingerprints, size_t count,
            Instant now)
{
    SuspectRecord record = {.crash_id = next_crash_id(sync),
                            .node = sync->members->own_record.node};
    SuspectsHeader head = {.ack_number = sync->last_crash_number};
    Pack pack;

    Suspectmsg_Begin(&pack, &head, (uint32_t)count);
    for (size_t i = 0; i < count; i++) {
        record.fingerprint = fingerprints[i];
        Sps_MergeRecord(sync, &record, now);
        Suspectmsg_PutRecord(&pack, &record);
    }
    sync->unconfirmed_nodes = Sps_SendToPeers(sync, &pack, now);
    Pack_Finish(&pack);
}

bool
Sps_IsCrashConfirmed(const SuspectSync *sync)
{
    return sync->unconfirmed_nodes == 0;
}

/* Sends the crashes of FINGERPRINT after their state has changed. */
static void
send_request_records(SuspectSync *sync, uint64_t fingerprint, Instant now)
{
    const SuspectRequest *request = Sus_Find(&sync->table, fingerprint);
    SuspectsHeader head = {0};
    Pack pack;

    Suspectmsg_Begin(&pack, &head, request->crash_count);
    for (uint32_t i = 0; i < request->crash_count; i++) {
        SuspectRecord record = Sus_MakeRecord(request, i, now);
        Suspectmsg_PutRecord(&pack, &record);
    }
    Sps_SendToPeers(sync, &pack, now);
    Pack_Finish(&pack);
    sync->needs_save = true;
    sync->on_update(sync->on_update_context, now);
}

void
Sps_OnExclusiveSuccess(SuspectSync *sync, uint64_t fingerprint, Instant now)
{
    if (Sus_OnExclusiveSuccess(&sync->table, fingerprint)) {
        send_request_records(sync, fingerprint, now);
    }
}

bool
Sps_Release(SuspectSync *sync, uint64_t fingerprint, Instant now)
{
    if (!Sus_Release(&sync->table, fingerprint)) {
        return false;
    }
    Tml_Record(sync->timeline, Tml_SUSPECT_RELEASED,
               "fingerprint=%016" PRIx64 " by operators", fingerprint);
    send_request_records(sync, fingerprint, now);
    return true;
}

void
Sps_SetSynced(SuspectSync *sync)
{
    if (!sync->is_synced) {
        sync->is_synced = true;
        sync->needs_save = true;
    }
}

static SuspectStoreTime
make_store_time(const SuspectSync *sync, Instant now)
{
    return (SuspectStoreTime){now, sync->timeline->logger->clock()};
}

void
Sps_Load(SuspectSync *sync, Instant now)
{
    SuspectStoreTime time = make_store_time(sync, now);
    Err err = {0};

    if (!sync->settings->control) {
        return;
    }
    sync->is_synced = Sst_Load(StrBuf_View(&sync->settings->data_folder),
                               &sync->table, &time, &err);
    if (sync->is_synced) {
        Lgr_Log(sync->timeline->logger, Lgr_INFO, Str_LIT("suspects_loaded"),
                "blamed=%zu stopped=%zu", Sus_CountBlamed(&sync->table),
                Sus_CountStopped(&sync->table));
    }
    else {
        Lgr_LogErr(sync->timeline->logger, Lgr_INFO,
                   Str_LIT("suspects_not_loaded"), &err);
    }
}

static void
save(SuspectSync *sync, Instant now)
{
    SuspectStoreTime time = make_store_time(sync, now);
    Err err = {0};

    sync->needs_save = !Sst_Save(StrBuf_View(&sync->settings->data_folder),
                                 &sync->table, &time, &err);
    sync->next_save_at =
        now + (sync->needs_save ? SAVE_RETRY_INTERVAL : SAVE_INTERVAL);
    if (sync->needs_save) {
        Lgr_LogErr(sync->timeline->logger, Lgr_WARNING,
                   Str_LIT("suspects_not_saved"), &err);
    }
}

static void
apply_sync_timeout(SuspectSync *sync, Instant now)
{
    if (sync->is_synced || now - sync->started_at < SYNC_TIMEOUT) {
        return;
    }
    Lgr_Log(
        sync->timeline->logger, Lgr_WARNING, Str_LIT("suspects_not_received"),
        "no process sent the suspect requests in time; serving without them");
    Sps_SetSynced(sync);
}

void
Sps_Tick(SuspectSync *sync, Instant now)
{
    size_t before = sync->table.request_count;
    size_t released = Sus_Expire(&sync->table, now);

    sync->needs_save |= sync->table.request_count != before;
    if (released) {
        Tml_Record(sync->timeline, Tml_SUSPECT_RELEASED, "count=%zu by time",
                   released);
    }
    apply_sync_timeout(sync, now);
    /* A process that loads the file counts as synced, so it is written only
     * by a process that is. */
    if (sync->settings->control && sync->needs_save && sync->is_synced &&
        now >= sync->next_save_at) {
        save(sync, now);
    }
}

void
Sps_Init(SuspectSync *sync, Net *net, Counters *counters, Timeline *timeline,
         const Settings *settings, const MembershipSync *members)
{
    SuspectLimits none = {Sus_STOP_THRESHOLD_MAX, 0};

    sync->net = net;
    sync->counters = counters;
    sync->timeline = timeline;
    sync->settings = settings;
    sync->members = members;
    sync->started_at = Loop_Now();
    Sus_Init(&sync->table, &none);
    Sps_RegisterHandlers(sync);
}
