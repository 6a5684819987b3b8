/* Sus, the suspect request decider: which request crashes the backend servers
 * that run it, and when to stop running it.
 *
 * A request is named by its fingerprint (service, route, digest).  Each crash
 * blames the requests that ran at that moment; blame decays with time.  A
 * fingerprint whose blame passes the bound is refused until its release.
 * While a fingerprint is suspect it runs alone on at most one backend server,
 * which clears the innocent and convicts the guilty.
 */
#ifndef SUSPECT_H
#define SUSPECT_H

#include "value/addr.h"
#include "value/instant.h"

typedef enum {
    Sus_CLEAR,  /* run it */
    Sus_ALONE,  /* run it only where and when nothing else runs */
    Sus_STOPPED /* refuse it until its release */
} SusVerdict;

enum { Sus_ENTRIES_MAX = 1024 };

typedef struct {
    uint64_t fingerprint;
    double blame;
    Instant blame_at;
    uint32_t crashes; /* while it ran alone or not */
    uint32_t crashes_alone;
    Instant stopped_until;
} SusEntry;

typedef struct {
    uint32_t losses_max;
    Span half_life; /* of blame */
    Span release;
} SusSettings;

typedef struct {
    SusSettings settings;
    SusEntry entries[Sus_ENTRIES_MAX]; /* open addressing, lowest blame out */
    size_t count;
} Sus;

void Sus_Init(Sus *sus, const SusSettings *settings);
void Sus_SetSettings(Sus *sus, const SusSettings *settings);

SusVerdict Sus_Ask(const Sus *sus, uint64_t fingerprint, Instant now);

/* A backend server was lost while these ran. */
void Sus_OnCrash(Sus *sus, const uint64_t *fingerprints, size_t count,
                 Instant now);

/* It ran to its end: blame shrinks. */
void Sus_OnDone(Sus *sus, uint64_t fingerprint, Instant now);

/* Another node's knowledge. */
void Sus_Merge(Sus *sus, const SusEntry *entry, Instant now);

/* The operators released every request by a change of preset. */
void Sus_Clear(Sus *sus);

#endif
