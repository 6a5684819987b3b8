/* Sus: the table of suspect requests.  It decides whether a request that may
 * have crashed a backend server runs, runs exclusively or is refused.
 *
 * A request is named by its fingerprint, a hash of the parts that stay the
 * same each time it is sent.  A crash blames every request that ran on the
 * backend server at that moment.  A blamed request runs exclusively, and at
 * one node only: either it succeeds and is cleared, or it crashes another
 * backend server and is stopped.
 *
 * The table protects all backend servers of the fleet.  A request leaves it
 * only when its release time has passed, when an exclusive run succeeds, or
 * when operators release its fingerprint.  Each crash has an id, and the state
 * of a crash only ever rises (SuspectCrashState).  Processes can therefore
 * merge each other's records in any order and any number of times, and arrive
 * at the same table; a digest tells whether two tables agree.
 *
 * process/suspects/suspectsync.h owns the table of a process and sends its
 * records; process/suspects/suspectstore.h keeps it in a file.  The functions
 * here only decide: they do no input or output.
 */
#ifndef SUSPECTTABLE_H
#define SUSPECTTABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "value/addr.h"
#include "value/instant.h"

typedef enum {
    Sus_CLEAR,     /* run the request */
    Sus_EXCLUSIVE, /* run it at its exclusive node, and nothing else there */
    Sus_STOPPED    /* refuse it until it is released */
} SuspectVerdict;

/* What is known of one crash of one request.  When two processes differ, the
 * higher value wins.  Sus_BLAMED and Sus_FINAL count against the request: such
 * a crash is active. */
typedef enum {
    Sus_BLAMED,  /* the request ran when the backend server crashed */
    Sus_CLEARED, /* the request has since succeeded in an exclusive run */
    Sus_FINAL,   /* one of the crashes for which the request was stopped */
    Sus_RELEASED /* operators released the request */
} SuspectCrashState;

enum {
    Sus_REQUESTS_MAX = 1024,
    Sus_CRASHES_PER_REQUEST_MAX = 4,
    Sus_STOP_THRESHOLD_MAX = 2
};

/* One crash of one request, as it is sent to other processes and stored. */
typedef struct {
    uint64_t fingerprint;
    uint64_t crash_id; /* never 0 */
    Addr node;         /* the node beside the crashed backend server */
    Span age;          /* since the last known crash of the request */
    SuspectCrashState state;
} SuspectRecord;

/* One crash of one request, as the table keeps it. */
typedef struct {
    uint64_t id;
    Addr node; /* the node beside the crashed backend server */
    SuspectCrashState state;
} SuspectCrash;

/* One suspect request and its known crashes. */
typedef struct {
    uint64_t fingerprint;
    SuspectCrash crashes[Sus_CRASHES_PER_REQUEST_MAX];
    uint32_t crash_count;  /* active or not */
    Instant last_crash_at; /* the release time counts from here */
} SuspectRequest;

typedef struct {
    /* A request with this many active crashes is stopped: 1 or 2. */
    uint32_t stop_threshold;
    Span release_after; /* time from the last crash to the release */
} SuspectLimits;

/* Digest of all active crashes; equal in two processes whose tables agree. */
typedef struct {
    uint32_t crash_count;
    uint64_t hash;
} SuspectDigest;

typedef struct {
    SuspectLimits limits;
    SuspectRequest requests[Sus_REQUESTS_MAX]; /* in no order */
    size_t request_count;
} SuspectTable;

/* Makes TABLE empty and copies LIMITS. */
void Sus_Init(SuspectTable *table, const SuspectLimits *limits);

/* Applies the limits of the preset in force.  The requests stay. */
void Sus_SetLimits(SuspectTable *table, const SuspectLimits *limits);

/* Returns what to do with a request now; Sus_CLEAR when FINGERPRINT is not in
 * the table. */
SuspectVerdict Sus_GetVerdict(const SuspectTable *table, uint64_t fingerprint,
                              Instant now);

/* True when node A is preferred over node B for an exclusive run of
 * FINGERPRINT.  Both have a backend server that may run it.  A node where the
 * request has crashed one comes last. */
bool Sus_PrefersNode(const SuspectTable *table, uint64_t fingerprint, Addr a,
                     Addr b);

/* NULL when FINGERPRINT is not in the table. */
const SuspectRequest *Sus_Find(const SuspectTable *table,
                               uint64_t fingerprint);

/* Number of crashes that count against REQUEST. */
uint32_t Sus_CountActiveCrashes(const SuspectRequest *request);

/* Number of crashes of all requests, active or not. */
uint32_t Sus_CountRecords(const SuspectTable *table);

/* Number of requests with an active crash, and of those that are stopped. */
size_t Sus_CountBlamed(const SuspectTable *table);
size_t Sus_CountStopped(const SuspectTable *table);

/* Merges a record that this process made or received.  Returns true when it
 * changed the table.  A full table evicts the request with the fewest active
 * crashes, and among these the one whose last crash is oldest. */
bool Sus_MergeRecord(SuspectTable *table, const SuspectRecord *record,
                     Instant now);

/* The request succeeded in an exclusive run.  Returns true when that clears
 * it; a stopped request stays stopped. */
bool Sus_OnExclusiveSuccess(SuspectTable *table, uint64_t fingerprint);

/* Operators release FINGERPRINT.  Returns false when it has no active
 * crash. */
bool Sus_Release(SuspectTable *table, uint64_t fingerprint);

/* The record of REQUEST's crash at INDEX, to send or store. */
SuspectRecord Sus_MakeRecord(const SuspectRequest *request, uint32_t index,
                             Instant now);

SuspectDigest Sus_ComputeDigest(const SuspectTable *table);
bool Sus_DigestsAreEqual(SuspectDigest a, SuspectDigest b);

/* Removes the requests whose release time has passed.  Returns how many of
 * them were stopped. */
size_t Sus_Expire(SuspectTable *table, Instant now);

#endif
