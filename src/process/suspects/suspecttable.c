#include "process/suspects/suspecttable.h"

#include "value/str.h"

void
Sus_Init(SuspectTable *table, const SuspectLimits *limits)
{
    table->request_count = 0;
    Sus_SetLimits(table, limits);
}

void
Sus_SetLimits(SuspectTable *table, const SuspectLimits *limits)
{
    table->limits = *limits;
    if (table->limits.stop_threshold > Sus_STOP_THRESHOLD_MAX) {
        table->limits.stop_threshold = Sus_STOP_THRESHOLD_MAX;
    }
}

static size_t
find_index(const SuspectTable *table, uint64_t fingerprint)
{
    size_t i = 0;

    while (i < table->request_count &&
           table->requests[i].fingerprint != fingerprint) {
        i++;
    }
    return i;
}

const SuspectRequest *
Sus_Find(const SuspectTable *table, uint64_t fingerprint)
{
    size_t i = find_index(table, fingerprint);

    return i < table->request_count ? &table->requests[i] : NULL;
}

static bool
is_active(const SuspectCrash *crash)
{
    return crash->state == Sus_BLAMED || crash->state == Sus_FINAL;
}

uint32_t
Sus_CountActiveCrashes(const SuspectRequest *request)
{
    uint32_t active = 0;

    for (uint32_t i = 0; i < request->crash_count; i++) {
        active += is_active(&request->crashes[i]);
    }
    return active;
}

static bool
is_stopped(const SuspectRequest *request)
{
    for (uint32_t i = 0; i < request->crash_count; i++) {
        if (request->crashes[i].state == Sus_FINAL) {
            return true;
        }
    }
    return false;
}

static bool
is_expired(const SuspectTable *table, const SuspectRequest *request,
           Instant now)
{
    return now - request->last_crash_at >= table->limits.release_after;
}

SuspectVerdict
Sus_GetVerdict(const SuspectTable *table, uint64_t fingerprint, Instant now)
{
    const SuspectRequest *request = Sus_Find(table, fingerprint);

    if (!request || is_expired(table, request, now) ||
        !Sus_CountActiveCrashes(request)) {
        return Sus_CLEAR;
    }
    return is_stopped(request) ? Sus_STOPPED : Sus_EXCLUSIVE;
}

static bool
has_crash_at(const SuspectRequest *request, Addr node)
{
    for (uint32_t i = 0; request && i < request->crash_count; i++) {
        if (request->crashes[i].node == node &&
            is_active(&request->crashes[i])) {
            return true;
        }
    }
    return false;
}

/* Rendezvous hashing: every node prefers the same node for a fingerprint. */
static uint64_t
rendezvous_weight(uint64_t fingerprint, Addr node)
{
    uint64_t parts[] = {fingerprint, node};

    return Str_Hash(Str_From((const char *)parts, sizeof parts));
}

bool
Sus_PrefersNode(const SuspectTable *table, uint64_t fingerprint, Addr a,
                Addr b)
{
    const SuspectRequest *request = Sus_Find(table, fingerprint);
    bool crashed_a = has_crash_at(request, a);
    bool crashed_b = has_crash_at(request, b);

    if (crashed_a != crashed_b) {
        return crashed_b;
    }
    return rendezvous_weight(fingerprint, a) >
           rendezvous_weight(fingerprint, b);
}

uint32_t
Sus_CountRecords(const SuspectTable *table)
{
    uint32_t record_count = 0;

    for (size_t i = 0; i < table->request_count; i++) {
        record_count += table->requests[i].crash_count;
    }
    return record_count;
}

size_t
Sus_CountBlamed(const SuspectTable *table)
{
    size_t blamed = 0;

    for (size_t i = 0; i < table->request_count; i++) {
        blamed += Sus_CountActiveCrashes(&table->requests[i]) > 0;
    }
    return blamed;
}

size_t
Sus_CountStopped(const SuspectTable *table)
{
    size_t stopped = 0;

    for (size_t i = 0; i < table->request_count; i++) {
        stopped += is_stopped(&table->requests[i]);
    }
    return stopped;
}

/* Removes the request at I and moves the last request to its place. */
static void
remove_request(SuspectTable *table, size_t i)
{
    table->requests[i] = table->requests[--table->request_count];
}

static bool
is_evicted_before(const SuspectRequest *a, const SuspectRequest *b)
{
    uint32_t active_a = Sus_CountActiveCrashes(a);
    uint32_t active_b = Sus_CountActiveCrashes(b);

    return active_a < active_b ||
           (active_a == active_b && a->last_crash_at < b->last_crash_at);
}

static void
evict_if_full(SuspectTable *table)
{
    size_t victim = 0;

    if (table->request_count < Sus_REQUESTS_MAX) {
        return;
    }
    for (size_t i = 1; i < table->request_count; i++) {
        if (is_evicted_before(&table->requests[i], &table->requests[victim])) {
            victim = i;
        }
    }
    remove_request(table, victim);
}

static SuspectRequest *
find_or_add_request(SuspectTable *table, uint64_t fingerprint)
{
    size_t i = find_index(table, fingerprint);

    if (i == table->request_count) {
        evict_if_full(table);
        i = table->request_count++;
        table->requests[i] = (SuspectRequest){.fingerprint = fingerprint};
    }
    return &table->requests[i];
}

static SuspectCrash *
find_crash(SuspectRequest *request, uint64_t id)
{
    for (uint32_t i = 0; i < request->crash_count; i++) {
        if (request->crashes[i].id == id) {
            return &request->crashes[i];
        }
    }
    return NULL;
}

/* Returns the place for a new crash: a free one, or else that of a crash that
 * is not active; NULL when all known crashes are active. */
static SuspectCrash *
add_crash(SuspectRequest *request)
{
    if (request->crash_count < Sus_CRASHES_PER_REQUEST_MAX) {
        return &request->crashes[request->crash_count++];
    }
    for (uint32_t i = 0; i < request->crash_count; i++) {
        if (!is_active(&request->crashes[i])) {
            return &request->crashes[i];
        }
    }
    return NULL;
}

/* Makes the active crashes of REQUEST final once there are as many as the
 * threshold: an exclusive success at another node does not clear them any
 * more. */
static void
stop_at_threshold(const SuspectTable *table, SuspectRequest *request)
{
    if (Sus_CountActiveCrashes(request) < table->limits.stop_threshold) {
        return;
    }
    for (uint32_t i = 0; i < request->crash_count; i++) {
        if (request->crashes[i].state == Sus_BLAMED) {
            request->crashes[i].state = Sus_FINAL;
        }
    }
}

/* Returns true when RECORD changed REQUEST. */
static bool
merge_crash(SuspectTable *table, SuspectRequest *request,
            const SuspectRecord *record)
{
    SuspectCrash *crash = find_crash(request, record->crash_id);

    if (crash) {
        if (crash->state >= record->state) {
            return false;
        }
        crash->state = record->state;
    }
    else if ((crash = add_crash(request))) {
        *crash = (SuspectCrash){record->crash_id, record->node, record->state};
    }
    stop_at_threshold(table, request);
    return crash != NULL;
}

bool
Sus_MergeRecord(SuspectTable *table, const SuspectRecord *record, Instant now)
{
    bool has_active_state =
        record->state == Sus_BLAMED || record->state == Sus_FINAL;
    const SuspectRequest *existing = Sus_Find(table, record->fingerprint);
    Instant crashed_at = now - record->age;
    SuspectRequest *request;
    bool is_new;

    if (record->age >= table->limits.release_after ||
        (!existing && !has_active_state)) {
        return false;
    }
    request = find_or_add_request(table, record->fingerprint);
    if (request->crash_count && is_expired(table, request, now)) {
        request->crash_count = 0;
    }
    is_new = merge_crash(table, request, record);
    if (crashed_at > request->last_crash_at || request->crash_count == 1) {
        request->last_crash_at = crashed_at;
    }
    return is_new;
}

/* Moves all active crashes of FINGERPRINT to STATE; false when it has none. */
static bool
set_active_crashes(SuspectTable *table, uint64_t fingerprint,
                   SuspectCrashState state)
{
    size_t i = find_index(table, fingerprint);
    bool changed = false;

    for (uint32_t k = 0;
         i < table->request_count && k < table->requests[i].crash_count; k++) {
        SuspectCrash *crash = &table->requests[i].crashes[k];
        changed |= is_active(crash);
        if (is_active(crash)) {
            crash->state = state;
        }
    }
    return changed;
}

bool
Sus_OnExclusiveSuccess(SuspectTable *table, uint64_t fingerprint)
{
    const SuspectRequest *request = Sus_Find(table, fingerprint);

    return request && !is_stopped(request) &&
           set_active_crashes(table, fingerprint, Sus_CLEARED);
}

bool
Sus_Release(SuspectTable *table, uint64_t fingerprint)
{
    return set_active_crashes(table, fingerprint, Sus_RELEASED);
}

SuspectRecord
Sus_MakeRecord(const SuspectRequest *request, uint32_t index, Instant now)
{
    const SuspectCrash *crash = &request->crashes[index];

    return (SuspectRecord){
        .fingerprint = request->fingerprint,
        .crash_id = crash->id,
        .node = crash->node,
        .age = now > request->last_crash_at ? now - request->last_crash_at : 0,
        .state = crash->state,
    };
}

SuspectDigest
Sus_ComputeDigest(const SuspectTable *table)
{
    SuspectDigest digest = {0};

    for (size_t i = 0; i < table->request_count; i++) {
        const SuspectRequest *request = &table->requests[i];
        for (uint32_t k = 0; k < request->crash_count; k++) {
            const SuspectCrash *crash = &request->crashes[k];
            uint64_t parts[] = {request->fingerprint, crash->id, crash->state};
            if (is_active(crash)) {
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
Sus_Expire(SuspectTable *table, Instant now)
{
    size_t stopped = 0;

    for (size_t i = table->request_count; i > 0; i--) {
        const SuspectRequest *request = &table->requests[i - 1];
        if (is_expired(table, request, now)) {
            stopped += is_stopped(request);
            remove_request(table, i - 1);
        }
    }
    return stopped;
}
