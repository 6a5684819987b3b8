#include "process/suspecttable.h"

#include "value/str.h"

void
Sus_Init(SuspectTable *sus, const SuspectLimits *settings)
{
    sus->request_count = 0;
    Sus_SetLimits(sus, settings);
}

void
Sus_SetLimits(SuspectTable *sus, const SuspectLimits *settings)
{
    sus->limits = *settings;
    if (sus->limits.stop_threshold > Sus_STOP_THRESHOLD_MAX) {
        sus->limits.stop_threshold = Sus_STOP_THRESHOLD_MAX;
    }
}

static size_t
find(const SuspectTable *sus, uint64_t fingerprint)
{
    size_t i = 0;

    while (i < sus->request_count &&
           sus->requests[i].fingerprint != fingerprint) {
        i++;
    }
    return i;
}

const SuspectRequest *
Sus_Find(const SuspectTable *sus, uint64_t fingerprint)
{
    size_t i = find(sus, fingerprint);

    return i < sus->request_count ? &sus->requests[i] : NULL;
}

static bool
counts(const SuspectCrash *crash)
{
    return crash->state == Sus_BLAMED || crash->state == Sus_FINAL;
}

uint32_t
Sus_CountActiveCrashes(const SuspectRequest *entry)
{
    uint32_t losses = 0;

    for (uint32_t i = 0; i < entry->crash_count; i++) {
        losses += counts(&entry->crashes[i]);
    }
    return losses;
}

static bool
is_stopped(const SuspectRequest *entry)
{
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].state == Sus_FINAL) {
            return true;
        }
    }
    return false;
}

static bool
is_released(const SuspectTable *sus, const SuspectRequest *entry, Instant now)
{
    return now - entry->last_crash_at >= sus->limits.release_after;
}

SuspectVerdict
Sus_GetVerdict(const SuspectTable *sus, uint64_t fingerprint, Instant now)
{
    const SuspectRequest *entry = Sus_Find(sus, fingerprint);

    if (!entry || is_released(sus, entry, now) ||
        !Sus_CountActiveCrashes(entry)) {
        return Sus_CLEAR;
    }
    return is_stopped(entry) ? Sus_STOPPED : Sus_ALONE;
}

static bool
crashed_at(const SuspectRequest *entry, Addr node)
{
    for (uint32_t i = 0; entry && i < entry->crash_count; i++) {
        if (entry->crashes[i].node == node && counts(&entry->crashes[i])) {
            return true;
        }
    }
    return false;
}

/* Rendezvous: every node finds the same one. */
static uint64_t
weight_of(uint64_t fingerprint, Addr node)
{
    uint64_t parts[] = {fingerprint, node};

    return Str_Hash(Str_From((const char *)parts, sizeof parts));
}

bool
Sus_PrefersNode(const SuspectTable *sus, uint64_t fingerprint, Addr a, Addr b)
{
    const SuspectRequest *entry = Sus_Find(sus, fingerprint);
    bool crashed_a = crashed_at(entry, a);
    bool crashed_b = crashed_at(entry, b);

    if (crashed_a != crashed_b) {
        return crashed_b;
    }
    return weight_of(fingerprint, a) > weight_of(fingerprint, b);
}

uint32_t
Sus_CountRecords(const SuspectTable *sus)
{
    uint32_t rows = 0;

    for (size_t i = 0; i < sus->request_count; i++) {
        rows += sus->requests[i].crash_count;
    }
    return rows;
}

size_t
Sus_CountBlamed(const SuspectTable *sus)
{
    size_t blamed = 0;

    for (size_t i = 0; i < sus->request_count; i++) {
        blamed += Sus_CountActiveCrashes(&sus->requests[i]) > 0;
    }
    return blamed;
}

size_t
Sus_CountStopped(const SuspectTable *sus)
{
    size_t stopped = 0;

    for (size_t i = 0; i < sus->request_count; i++) {
        stopped += is_stopped(&sus->requests[i]);
    }
    return stopped;
}

static void
drop(SuspectTable *sus, size_t i)
{
    sus->requests[i] = sus->requests[--sus->request_count];
}

static bool
matters_less(const SuspectRequest *a, const SuspectRequest *b)
{
    uint32_t losses_a = Sus_CountActiveCrashes(a);
    uint32_t losses_b = Sus_CountActiveCrashes(b);

    return losses_a < losses_b ||
           (losses_a == losses_b && a->last_crash_at < b->last_crash_at);
}

static void
make_room(SuspectTable *sus)
{
    size_t least = 0;

    if (sus->request_count < Sus_REQUESTS_MAX) {
        return;
    }
    for (size_t i = 1; i < sus->request_count; i++) {
        if (matters_less(&sus->requests[i], &sus->requests[least])) {
            least = i;
        }
    }
    drop(sus, least);
}

static SuspectRequest *
get_entry(SuspectTable *sus, uint64_t fingerprint)
{
    size_t i = find(sus, fingerprint);

    if (i == sus->request_count) {
        make_room(sus);
        i = sus->request_count++;
        sus->requests[i] = (SuspectRequest){.fingerprint = fingerprint};
    }
    return &sus->requests[i];
}

static SuspectCrash *
find_crash(SuspectRequest *entry, uint64_t id)
{
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].id == id) {
            return &entry->crashes[i];
        }
    }
    return NULL;
}

/* A place for a crash that was not known; NULL when all of them count. */
static SuspectCrash *
add_crash(SuspectRequest *entry)
{
    if (entry->crash_count < Sus_CRASHES_PER_REQUEST_MAX) {
        return &entry->crashes[entry->crash_count++];
    }
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (!counts(&entry->crashes[i])) {
            return &entry->crashes[i];
        }
    }
    return NULL;
}

/* Too many losses: what was said for them is not taken back. */
static void
stop_if_due(const SuspectTable *sus, SuspectRequest *entry)
{
    if (Sus_CountActiveCrashes(entry) < sus->limits.stop_threshold) {
        return;
    }
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].state == Sus_BLAMED) {
            entry->crashes[i].state = Sus_FINAL;
        }
    }
}

static bool
take_row(SuspectTable *sus, SuspectRequest *entry, const SuspectRecord *row)
{
    SuspectCrash *crash = find_crash(entry, row->crash_id);

    if (crash) {
        if (crash->state >= row->state) {
            return false;
        }
        crash->state = row->state;
    }
    else if ((crash = add_crash(entry))) {
        *crash = (SuspectCrash){row->crash_id, row->node, row->state};
    }
    stop_if_due(sus, entry);
    return crash != NULL;
}

bool
Sus_MergeRecord(SuspectTable *sus, const SuspectRecord *row, Instant now)
{
    bool against = row->state == Sus_BLAMED || row->state == Sus_FINAL;
    const SuspectRequest *known = Sus_Find(sus, row->fingerprint);
    Instant at = now - row->age;
    SuspectRequest *entry;
    bool news;

    if (row->age >= sus->limits.release_after || (!known && !against)) {
        return false;
    }
    entry = get_entry(sus, row->fingerprint);
    if (entry->crash_count && is_released(sus, entry, now)) {
        entry->crash_count = 0;
    }
    news = take_row(sus, entry, row);
    if (at > entry->last_crash_at || entry->crash_count == 1) {
        entry->last_crash_at = at;
    }
    return news;
}

static bool
raise_all(SuspectTable *sus, uint64_t fingerprint, SuspectCrashState state)
{
    size_t i = find(sus, fingerprint);
    bool raised = false;

    for (uint32_t k = 0;
         i < sus->request_count && k < sus->requests[i].crash_count; k++) {
        SuspectCrash *crash = &sus->requests[i].crashes[k];
        raised |= counts(crash);
        if (counts(crash)) {
            crash->state = state;
        }
    }
    return raised;
}

bool
Sus_OnExclusiveSuccess(SuspectTable *sus, uint64_t fingerprint)
{
    const SuspectRequest *entry = Sus_Find(sus, fingerprint);

    return entry && !is_stopped(entry) &&
           raise_all(sus, fingerprint, Sus_CLEARED);
}

bool
Sus_Release(SuspectTable *sus, uint64_t fingerprint)
{
    return raise_all(sus, fingerprint, Sus_RELEASED);
}

SuspectRecord
Sus_MakeRecord(const SuspectRequest *entry, uint32_t number, Instant now)
{
    const SuspectCrash *crash = &entry->crashes[number];

    return (SuspectRecord){
        .fingerprint = entry->fingerprint,
        .crash_id = crash->id,
        .node = crash->node,
        .age = now > entry->last_crash_at ? now - entry->last_crash_at : 0,
        .state = crash->state,
    };
}

SuspectDigest
Sus_ComputeDigest(const SuspectTable *sus)
{
    SuspectDigest digest = {0};

    for (size_t i = 0; i < sus->request_count; i++) {
        const SuspectRequest *entry = &sus->requests[i];
        for (uint32_t k = 0; k < entry->crash_count; k++) {
            const SuspectCrash *crash = &entry->crashes[k];
            uint64_t parts[] = {entry->fingerprint, crash->id, crash->state};
            if (counts(crash)) {
                digest.crash_count++;
                digest.hash ^=
                    Str_Hash(Str_From((const char *)parts, sizeof parts));
            }
        }
    }
    return digest;
}

bool
Sus_DigestsAreEqual(SuspectDigest a, SuspectDigest b)
{
    return a.crash_count == b.crash_count && a.hash == b.hash;
}

size_t
Sus_Expire(SuspectTable *sus, Instant now)
{
    size_t stopped = 0;

    for (size_t i = sus->request_count; i > 0; i--) {
        const SuspectRequest *entry = &sus->requests[i - 1];
        if (is_released(sus, entry, now)) {
            stopped += is_stopped(entry);
            drop(sus, i - 1);
        }
    }
    return stopped;
}
