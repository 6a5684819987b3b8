#include "process/suspect.h"

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
    if (sus->settings.losses_max > Sus_CRASHES_MAX) {
        sus->settings.losses_max = Sus_CRASHES_MAX;
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

static bool
is_released(const Sus *sus, const SusEntry *entry, Instant now)
{
    return now - entry->at >= sus->settings.release;
}

static bool
is_stopped(const Sus *sus, const SusEntry *entry)
{
    return entry->count >= sus->settings.losses_max;
}

SusVerdict
Sus_Ask(const Sus *sus, uint64_t fingerprint, Instant now)
{
    size_t i = find(sus, fingerprint);

    if (i == sus->count || is_released(sus, &sus->entries[i], now)) {
        return Sus_CLEAR;
    }
    return is_stopped(sus, &sus->entries[i]) ? Sus_STOPPED : Sus_ALONE;
}

bool
Sus_Find(const Sus *sus, uint64_t fingerprint, SusEntry *entry)
{
    size_t i = find(sus, fingerprint);

    if (i < sus->count) {
        *entry = sus->entries[i];
    }
    return i < sus->count;
}

size_t
Sus_CountStopped(const Sus *sus)
{
    size_t stopped = 0;

    for (size_t i = 0; i < sus->count; i++) {
        stopped += is_stopped(sus, &sus->entries[i]);
    }
    return stopped;
}

static void
drop(Sus *sus, size_t i)
{
    sus->entries[i] = sus->entries[--sus->count];
}

static void
make_room(Sus *sus)
{
    size_t least = 0;

    if (sus->count < Sus_ENTRIES_MAX) {
        return;
    }
    for (size_t i = 1; i < sus->count; i++) {
        const SusEntry *a = &sus->entries[i];
        const SusEntry *b = &sus->entries[least];
        if (a->count < b->count || (a->count == b->count && a->at < b->at)) {
            least = i;
        }
    }
    drop(sus, least);
}

static void
add_crash(SusEntry *entry, uint64_t crash)
{
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i] == crash) {
            return;
        }
    }
    if (entry->count < Sus_CRASHES_MAX) {
        entry->crashes[entry->count++] = crash;
    }
}

void
Sus_OnCrash(Sus *sus, uint64_t fingerprint, uint64_t crash, Span age,
            Instant now)
{
    size_t i = find(sus, fingerprint);
    SusEntry *entry;

    if (i == sus->count) {
        make_room(sus);
        i = sus->count++;
        sus->entries[i] = (SusEntry){.fingerprint = fingerprint};
    }
    entry = &sus->entries[i];
    if (entry->count && is_released(sus, entry, now)) {
        entry->count = 0;
    }
    add_crash(entry, crash);
    if (now - age > entry->at || entry->count == 1) {
        entry->at = now - age;
    }
}

void
Sus_OnDone(Sus *sus, uint64_t fingerprint)
{
    size_t i = find(sus, fingerprint);

    if (i < sus->count && !is_stopped(sus, &sus->entries[i])) {
        drop(sus, i);
    }
}

size_t
Sus_Expire(Sus *sus, Instant now)
{
    size_t stopped = 0;

    for (size_t i = sus->count; i > 0; i--) {
        const SusEntry *entry = &sus->entries[i - 1];
        if (is_released(sus, entry, now)) {
            stopped += is_stopped(sus, entry);
            drop(sus, i - 1);
        }
    }
    return stopped;
}

void
Sus_Clear(Sus *sus)
{
    sus->count = 0;
}
