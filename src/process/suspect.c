#include "process/suspect.h"

#include "value/str.h"

void
Sus_Init(Sus *sus, const SusSettings *settings)
{
    sus->count = 0;
    Sus_SetSettings(sus, settings);
}

void
Sus_SetSettings(Sus *sus, const SusSettings *settings)
{
    sus->settings = *settings;
    if (sus->settings.losses_max > Sus_LOSSES_MAX) {
        sus->settings.losses_max = Sus_LOSSES_MAX;
    }
}

static size_t
find(const Sus *sus, uint64_t fingerprint)
{
    size_t i = 0;

    while (i < sus->count && sus->entries[i].fingerprint != fingerprint) {
        i++;
    }
    return i;
}

const SusEntry *
Sus_Find(const Sus *sus, uint64_t fingerprint)
{
    size_t i = find(sus, fingerprint);

    return i < sus->count ? &sus->entries[i] : NULL;
}

static bool
counts(const SusCrash *crash)
{
    return crash->state == Sus_BLAMED || crash->state == Sus_FINAL;
}

uint32_t
Sus_CountLosses(const SusEntry *entry)
{
    uint32_t losses = 0;

    for (uint32_t i = 0; i < entry->count; i++) {
        losses += counts(&entry->crashes[i]);
    }
    return losses;
}

static bool
is_stopped(const SusEntry *entry)
{
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i].state == Sus_FINAL) {
            return true;
        }
    }
    return false;
}

static bool
is_released(const Sus *sus, const SusEntry *entry, Instant now)
{
    return now - entry->at >= sus->settings.release;
}

SusVerdict
Sus_Ask(const Sus *sus, uint64_t fingerprint, Instant now)
{
    const SusEntry *entry = Sus_Find(sus, fingerprint);

    if (!entry || is_released(sus, entry, now) || !Sus_CountLosses(entry)) {
        return Sus_CLEAR;
    }
    return is_stopped(entry) ? Sus_STOPPED : Sus_ALONE;
}

static bool
crashed_at(const SusEntry *entry, Addr node)
{
    for (uint32_t i = 0; entry && i < entry->count; i++) {
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
Sus_GoesBefore(const Sus *sus, uint64_t fingerprint, Addr a, Addr b)
{
    const SusEntry *entry = Sus_Find(sus, fingerprint);
    bool crashed_a = crashed_at(entry, a);
    bool crashed_b = crashed_at(entry, b);

    if (crashed_a != crashed_b) {
        return crashed_b;
    }
    return weight_of(fingerprint, a) > weight_of(fingerprint, b);
}

uint32_t
Sus_CountRows(const Sus *sus)
{
    uint32_t rows = 0;

    for (size_t i = 0; i < sus->count; i++) {
        rows += sus->entries[i].count;
    }
    return rows;
}

size_t
Sus_CountBlamed(const Sus *sus)
{
    size_t blamed = 0;

    for (size_t i = 0; i < sus->count; i++) {
        blamed += Sus_CountLosses(&sus->entries[i]) > 0;
    }
    return blamed;
}

size_t
Sus_CountStopped(const Sus *sus)
{
    size_t stopped = 0;

    for (size_t i = 0; i < sus->count; i++) {
        stopped += is_stopped(&sus->entries[i]);
    }
    return stopped;
}

static void
drop(Sus *sus, size_t i)
{
    sus->entries[i] = sus->entries[--sus->count];
}

static bool
matters_less(const SusEntry *a, const SusEntry *b)
{
    uint32_t losses_a = Sus_CountLosses(a);
    uint32_t losses_b = Sus_CountLosses(b);

    return losses_a < losses_b || (losses_a == losses_b && a->at < b->at);
}

static void
make_room(Sus *sus)
{
    size_t least = 0;

    if (sus->count < Sus_ENTRIES_MAX) {
        return;
    }
    for (size_t i = 1; i < sus->count; i++) {
        if (matters_less(&sus->entries[i], &sus->entries[least])) {
            least = i;
        }
    }
    drop(sus, least);
}

static SusEntry *
get_entry(Sus *sus, uint64_t fingerprint)
{
    size_t i = find(sus, fingerprint);

    if (i == sus->count) {
        make_room(sus);
        i = sus->count++;
        sus->entries[i] = (SusEntry){.fingerprint = fingerprint};
    }
    return &sus->entries[i];
}

static SusCrash *
find_crash(SusEntry *entry, uint64_t id)
{
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i].id == id) {
            return &entry->crashes[i];
        }
    }
    return NULL;
}

/* A place for a crash that was not known; NULL when all of them count. */
static SusCrash *
add_crash(SusEntry *entry)
{
    if (entry->count < Sus_CRASHES_MAX) {
        return &entry->crashes[entry->count++];
    }
    for (uint32_t i = 0; i < entry->count; i++) {
        if (!counts(&entry->crashes[i])) {
            return &entry->crashes[i];
        }
    }
    return NULL;
}

/* Too many losses: what was said for them is not taken back. */
static void
stop_if_due(const Sus *sus, SusEntry *entry)
{
    if (Sus_CountLosses(entry) < sus->settings.losses_max) {
        return;
    }
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i].state == Sus_BLAMED) {
            entry->crashes[i].state = Sus_FINAL;
        }
    }
}

static bool
take_row(Sus *sus, SusEntry *entry, const SusRow *row)
{
    SusCrash *crash = find_crash(entry, row->crash);

    if (crash) {
        if (crash->state >= row->state) {
            return false;
        }
        crash->state = row->state;
    }
    else if ((crash = add_crash(entry))) {
        *crash = (SusCrash){row->crash, row->node, row->state};
    }
    stop_if_due(sus, entry);
    return crash != NULL;
}

bool
Sus_OnRow(Sus *sus, const SusRow *row, Instant now)
{
    bool against = row->state == Sus_BLAMED || row->state == Sus_FINAL;
    const SusEntry *known = Sus_Find(sus, row->fingerprint);
    Instant at = now - row->age;
    SusEntry *entry;
    bool news;

    if (row->age >= sus->settings.release || (!known && !against)) {
        return false;
    }
    entry = get_entry(sus, row->fingerprint);
    if (entry->count && is_released(sus, entry, now)) {
        entry->count = 0;
    }
    news = take_row(sus, entry, row);
    if (at > entry->at || entry->count == 1) {
        entry->at = at;
    }
    return news;
}

static bool
raise_all(Sus *sus, uint64_t fingerprint, SusState state)
{
    size_t i = find(sus, fingerprint);
    bool raised = false;

    for (uint32_t k = 0; i < sus->count && k < sus->entries[i].count; k++) {
        SusCrash *crash = &sus->entries[i].crashes[k];
        raised |= counts(crash);
        if (counts(crash)) {
            crash->state = state;
        }
    }
    return raised;
}

bool
Sus_OnDone(Sus *sus, uint64_t fingerprint)
{
    const SusEntry *entry = Sus_Find(sus, fingerprint);

    return entry && !is_stopped(entry) &&
           raise_all(sus, fingerprint, Sus_CLEARED);
}

bool
Sus_Release(Sus *sus, uint64_t fingerprint)
{
    return raise_all(sus, fingerprint, Sus_RELEASED);
}

SusRow
Sus_Row(const SusEntry *entry, uint32_t number, Instant now)
{
    const SusCrash *crash = &entry->crashes[number];

    return (SusRow){
        .fingerprint = entry->fingerprint,
        .crash = crash->id,
        .node = crash->node,
        .age = now > entry->at ? now - entry->at : 0,
        .state = crash->state,
    };
}

SusDigest
Sus_Digest(const Sus *sus)
{
    SusDigest digest = {0};

    for (size_t i = 0; i < sus->count; i++) {
        const SusEntry *entry = &sus->entries[i];
        for (uint32_t k = 0; k < entry->count; k++) {
            const SusCrash *crash = &entry->crashes[k];
            uint64_t parts[] = {entry->fingerprint, crash->id, crash->state};
            if (counts(crash)) {
                digest.count++;
                digest.hash ^=
                    Str_Hash(Str_From((const char *)parts, sizeof parts));
            }
        }
    }
    return digest;
}

bool
Sus_IsEqual(SusDigest a, SusDigest b)
{
    return a.count == b.count && a.hash == b.hash;
}

size_t
Sus_Expire(Sus *sus, Instant now)
{
    size_t stopped = 0;

    for (size_t i = sus->count; i > 0; i--) {
        const SusEntry *entry = &sus->entries[i - 1];
        if (is_released(sus, entry, now)) {
            stopped += is_stopped(entry);
            drop(sus, i - 1);
        }
    }
    return stopped;
}
