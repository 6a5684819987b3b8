/* Sus, the suspect request decider: which request crashes the backend servers
 * that run it, and when to stop running it.
 *
 * A request is named by its fingerprint, a hash of its service, method,
 * target and body.  A crash blames every request that ran at that moment.  A
 * blamed request runs alone: it ends, and is cleared, or it crashes a second
 * backend server and is stopped.  Blame goes after the release time.
 *
 * Each crash has an id, so that knowledge of it may come twice and from
 * anywhere.
 */
#ifndef SUSPECT_H
#define SUSPECT_H

#include <stdbool.h>
#include <stddef.h>

#include "value/instant.h"

typedef enum {
    Sus_CLEAR,  /* run it */
    Sus_ALONE,  /* run it only where and when nothing else runs */
    Sus_STOPPED /* refuse it until its release */
} SusVerdict;

enum { Sus_ENTRIES_MAX = 1024, Sus_CRASHES_MAX = 2 };

typedef struct {
    uint64_t fingerprint;
    uint64_t crashes[Sus_CRASHES_MAX]; /* their ids */
    uint32_t count;                    /* of them */
    Instant at;                        /* of the last one */
} SusEntry;

typedef struct {
    uint32_t losses_max; /* backend servers one request may crash, 1 or 2 */
    Span release;
} SusSettings;

typedef struct {
    SusSettings settings;
    SusEntry entries[Sus_ENTRIES_MAX];
    size_t count;
} Sus;

void Sus_Init(Sus *sus, const SusSettings *settings);
void Sus_SetSettings(Sus *sus, const SusSettings *settings);

SusVerdict Sus_Ask(const Sus *sus, uint64_t fingerprint, Instant now);

/* What is known of FINGERPRINT; false: nothing. */
bool Sus_Find(const Sus *sus, uint64_t fingerprint, SusEntry *entry);

/* Entries that are refused until their release. */
size_t Sus_CountStopped(const Sus *sus);

/* Backend server lost in crash CRASH (not 0) while FINGERPRINT ran, AGE ago.
 * When there is no room, the one blamed least and longest ago goes. */
void Sus_OnCrash(Sus *sus, uint64_t fingerprint, uint64_t crash, Span age,
                 Instant now);

/* It ran alone to its end. */
void Sus_OnDone(Sus *sus, uint64_t fingerprint);

/* Drop what is released; returns how many of these had been stopped. */
size_t Sus_Expire(Sus *sus, Instant now);

/* The operators released every request by a change of preset. */
void Sus_Clear(Sus *sus);

#endif
