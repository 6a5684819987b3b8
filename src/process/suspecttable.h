/* Sus, the suspect request decider: which request crashes the backend servers
 * that run it, and when to stop running it.
 *
 * A request is named by its fingerprint, a hash of what stays the same each
 * time it is sent.  A crash blames every request that ran at that moment.  A
 * blamed request runs alone, and at one node only: it ends well, and is
 * cleared, or it crashes another backend server and is stopped.
 *
 * What is known here guards all backend servers of the fleet.  It ends by its
 * release time, by a good end alone, or by operators who name it, and by
 * nothing else.  Each crash has an id, and what is said of it only ever grows
 * (SuspectCrashState), so that processes that tell each other, in any order
 * and any number of times, come to know the same; a digest tells whether they
 * do.
 */
#ifndef SUSPECTTABLE_H
#define SUSPECTTABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "value/addr.h"
#include "value/instant.h"

typedef enum {
    Sus_CLEAR,  /* run it */
    Sus_ALONE,  /* run it only where and when nothing else runs */
    Sus_STOPPED /* refuse it until its release */
} SuspectVerdict;

/* What is said of one crash and one request; the greater word counts. */
typedef enum {
    Sus_BLAMED,
    Sus_CLEARED, /* it ran alone to a good end since */
    Sus_FINAL,   /* one of those for which it was stopped */
    Sus_RELEASED /* the operators released it */
} SuspectCrashState;

enum {
    Sus_REQUESTS_MAX = 1024,
    Sus_CRASHES_PER_REQUEST_MAX = 4,
    Sus_STOP_THRESHOLD_MAX = 2
};

/* Which crash of which request, as one process tells another. */
typedef struct {
    uint64_t fingerprint;
    uint64_t crash_id; /* its id, not 0 */
    Addr node;         /* beside the backend server that was lost */
    Span age;          /* since the crash */
    SuspectCrashState state;
} SuspectRecord;

typedef struct {
    uint64_t id;
    Addr node;
    SuspectCrashState state;
} SuspectCrash;

typedef struct {
    uint64_t fingerprint;
    SuspectCrash crashes[Sus_CRASHES_PER_REQUEST_MAX];
    uint32_t crash_count;  /* of them */
    Instant last_crash_at; /* of the last one */
} SuspectRequest;

typedef struct {
    uint32_t
        stop_threshold; /* backend servers one request may crash, 1 or 2 */
    Span release_after;
} SuspectLimits;

/* Of all that counts against a request; two processes that know the same have
 * the same. */
typedef struct {
    uint32_t crash_count;
    uint64_t hash;
} SuspectDigest;

typedef struct {
    SuspectLimits limits;
    SuspectRequest requests[Sus_REQUESTS_MAX];
    size_t request_count;
} SuspectTable;

void Sus_Init(SuspectTable *sus, const SuspectLimits *settings);

/* Limits of the preset in force; what is known stays. */
void Sus_SetLimits(SuspectTable *sus, const SuspectLimits *settings);

SuspectVerdict Sus_GetVerdict(const SuspectTable *sus, uint64_t fingerprint,
                              Instant now);

/* Of two nodes with a backend server that may run FINGERPRINT, whether it is
 * run alone at A rather than at B: where it crashed one it is run last. */
bool Sus_PrefersNode(const SuspectTable *sus, uint64_t fingerprint, Addr a,
                     Addr b);

/* What is known of FINGERPRINT; NULL: nothing. */
const SuspectRequest *Sus_Find(const SuspectTable *sus, uint64_t fingerprint);

/* Crashes that count against it. */
uint32_t Sus_CountActiveCrashes(const SuspectRequest *entry);

/* All crashes of all requests. */
uint32_t Sus_CountRecords(const SuspectTable *sus);

/* Requests that are blamed or stopped, and of these the stopped. */
size_t Sus_CountBlamed(const SuspectTable *sus);
size_t Sus_CountStopped(const SuspectTable *sus);

/* A row of this process's own, or told by another; true when it is news.
 * When there is no room, what counts least and is oldest goes. */
bool Sus_MergeRecord(SuspectTable *sus, const SuspectRecord *row, Instant now);

/* It ran alone to a good end: true when that clears it. */
bool Sus_OnExclusiveSuccess(SuspectTable *sus, uint64_t fingerprint);

/* The operators release FINGERPRINT; false when it was not blamed. */
bool Sus_Release(SuspectTable *sus, uint64_t fingerprint);

/* The row of ENTRY's crash NUMBER, to be told to others. */
SuspectRecord Sus_MakeRecord(const SuspectRequest *entry, uint32_t number,
                             Instant now);

SuspectDigest Sus_ComputeDigest(const SuspectTable *sus);
bool Sus_DigestsAreEqual(SuspectDigest a, SuspectDigest b);

/* Drop what is released by its time; returns how many of these had been
 * stopped. */
size_t Sus_Expire(SuspectTable *sus, Instant now);

#endif
