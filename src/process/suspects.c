#include "process/suspects.h"

#include <inttypes.h>

#include "process/suspectstore.h"

/* Between two writes of a control replica's file, and after a failed one. */
#define SAVE_EVERY Span_MS(100)
#define SAVE_AGAIN Span_S(1)

/* Who is told by nobody for so long after its start takes it that nobody
 * knows: to serve goes before to wait for ever. */
#define KNOW_ANYWAY Span_S(5)

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

static bool
takes_work(const MbrRecord *record, Str service)
{
    return record->present && !record->leaving && !record->load.draining &&
           Str_Equal(StrBuf_View(&record->service), service);
}

const MbrRecord *
Sps_FindTurn(const Suspects *suspects, Str service, uint64_t fingerprint)
{
    const Mbr *mbr = &suspects->members->membership;
    const MbrRecord *own = &suspects->members->own;
    const MbrRecord *first = takes_work(own, service) ? own : NULL;

    for (size_t i = 0; i < mbr->count; i++) {
        const MbrRecord *record = &mbr->rows[i].record;
        if (!mbr->rows[i].gone && record->node != own->node &&
            takes_work(record, service) &&
            (!first || Sus_GoesBefore(&suspects->sus, fingerprint,
                                      record->node, first->node))) {
            first = record;
        }
    }
    return first;
}

bool
Sps_IsTurn(const Suspects *suspects, uint64_t fingerprint)
{
    const MbrRecord *own = &suspects->members->own;
    const MbrRecord *first =
        Sps_FindTurn(suspects, StrBuf_View(&own->service), fingerprint);

    return !first || first->node == own->node ||
           Sus_GoesBefore(&suspects->sus, fingerprint, own->node, first->node);
}

void
Sps_OnLearned(Suspects *suspects, void (*learned)(void *context, Instant now),
              void *context)
{
    suspects->learned = learned;
    suspects->learned_context = context;
}

static uint64_t
crash_id(Suspects *suspects)
{
    const MbrRecord *own = &suspects->members->own;
    uint64_t parts[] = {own->node, own->incarnation, ++suspects->crashes};
    uint64_t id = Str_Hash(Str_From((const char *)parts, sizeof parts));

    return id ? id : 1;
}

bool
Sps_Take(Suspects *suspects, const SusRow *row, Instant now)
{
    SusVerdict before = Sps_Ask(suspects, row->fingerprint, now);
    bool news = Sus_OnRow(&suspects->sus, row, now);

    if (before != Sus_STOPPED &&
        Sps_Ask(suspects, row->fingerprint, now) == Sus_STOPPED) {
        Tml_Record(suspects->timeline, Tml_SUSPECT_STOPPED,
                   "fingerprint=%016" PRIx64, row->fingerprint);
    }
    suspects->unsaved |= news;
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
        Sps_Take(suspects, &row, now);
        Suspectmsg_PutRow(&pack, &row);
    }
    suspects->untold = Sps_Tell(suspects, &pack, now);
    Pack_Finish(&pack);
}

bool
Sps_IsTold(const Suspects *suspects)
{
    return suspects->untold == 0;
}

/* What is said of its crashes now. */
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
    Sps_Tell(suspects, &pack, now);
    Pack_Finish(&pack);
    suspects->unsaved = true;
    suspects->learned(suspects->learned_context, now);
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

void
Sps_SetKnown(Suspects *suspects)
{
    if (!suspects->knows) {
        suspects->knows = true;
        suspects->unsaved = true;
    }
}

static SstTime
time_at(const Suspects *suspects, Instant now)
{
    return (SstTime){now, suspects->timeline->logger->clock()};
}

void
Sps_Load(Suspects *suspects, Instant now)
{
    SstTime time = time_at(suspects, now);
    Err err = {0};

    if (!suspects->settings->control) {
        return;
    }
    suspects->knows = Sst_Load(StrBuf_View(&suspects->settings->data_folder),
                               &suspects->sus, &time, &err);
    if (suspects->knows) {
        Lgr_Log(suspects->timeline->logger, Lgr_INFO,
                Str_LIT("suspects_loaded"), "blamed=%zu stopped=%zu",
                Sus_CountBlamed(&suspects->sus),
                Sus_CountStopped(&suspects->sus));
    }
    else {
        Lgr_LogErr(suspects->timeline->logger, Lgr_INFO,
                   Str_LIT("suspects_not_loaded"), &err);
    }
}

static void
save(Suspects *suspects, Instant now)
{
    SstTime time = time_at(suspects, now);
    Err err = {0};

    suspects->unsaved =
        !Sst_Save(StrBuf_View(&suspects->settings->data_folder),
                  &suspects->sus, &time, &err);
    suspects->save_at = now + (suspects->unsaved ? SAVE_AGAIN : SAVE_EVERY);
    if (suspects->unsaved) {
        Lgr_LogErr(suspects->timeline->logger, Lgr_WARNING,
                   Str_LIT("suspects_not_saved"), &err);
    }
}

static void
know_anyway(Suspects *suspects, Instant now)
{
    if (suspects->knows || now - suspects->started_at < KNOW_ANYWAY) {
        return;
    }
    Lgr_Log(suspects->timeline->logger, Lgr_WARNING,
            Str_LIT("suspects_not_told"), "nobody told what is suspect");
    Sps_SetKnown(suspects);
}

void
Sps_Tick(Suspects *suspects, Instant now)
{
    size_t before = suspects->sus.count;
    size_t released = Sus_Expire(&suspects->sus, now);

    suspects->unsaved |= suspects->sus.count != before;
    if (released) {
        Tml_Record(suspects->timeline, Tml_SUSPECT_RELEASED,
                   "count=%zu by time", released);
    }
    know_anyway(suspects, now);
    /* A file means that its writer knew: none before it does. */
    if (suspects->settings->control && suspects->unsaved && suspects->knows &&
        now >= suspects->save_at) {
        save(suspects, now);
    }
}

void
Sps_Init(Suspects *suspects, Net *net, Counters *counters, Timeline *timeline,
         const Settings *settings, const Members *members)
{
    SusSettings none = {Sus_LOSSES_MAX, 0};

    suspects->net = net;
    suspects->counters = counters;
    suspects->timeline = timeline;
    suspects->settings = settings;
    suspects->members = members;
    suspects->started_at = Loop_Now();
    Sus_Init(&suspects->sus, &none);
    Sps_Listen(suspects);
}
