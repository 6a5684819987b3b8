/* Rlog, the replicated log decider of one control replica: election, commit,
 * replacement of replicas, snapshots.
 *
 * Fed with messages, ticks and the completion of writes; answers through the
 * callbacks of RlogOut.  Nothing is acknowledged before the caller reported
 * it synced.  A leader holds a lease from a quorum; without it, it neither
 * accepts nor serves as current.
 *
 * Source: D. Ongaro and J. Ousterhout, "In search of an understandable
 * consensus algorithm", USENIX ATC 2014, with pre-vote, check-quorum,
 * non-voting learners and single-server membership changes.
 */
#ifndef RLOG_H
#define RLOG_H

#include "value/addr.h"
#include "value/err.h"
#include "value/instant.h"
#include "value/rng.h"

enum { Rlog_REPLICAS_MAX = 7 };

/* A replica's identity is made when its data folder is: a folder that was
 * lost comes back as another replica. */
typedef struct {
    uint64_t identity;
    Addr addr;
    bool voter; /* false: learner, catching up */
} RlogReplica;

typedef enum { Rlog_NOOP, Rlog_CHANGE, Rlog_REPLICAS } RlogKind;

typedef struct {
    uint64_t term;
    uint64_t index;
    RlogKind kind;
    Str data;
} RlogEntry;

typedef enum {
    Rlog_VOTE, /* asks for a vote; pre when before is set */
    Rlog_VOTED,
    Rlog_APPEND,
    Rlog_APPENDED,
    Rlog_SNAPSHOT,
    Rlog_SNAPSHOT_TAKEN
} RlogMessageKind;

enum { Rlog_BATCH_MAX = 64 };

typedef struct {
    RlogMessageKind kind;
    uint64_t from; /* identity */
    uint64_t to;
    uint64_t term;
    bool pre;           /* of a vote: a trial that changes no term */
    bool granted;       /* of an answer */
    uint64_t last_term; /* of the sender's log, or before the entries */
    uint64_t last_index;
    uint64_t commit;
    uint64_t round; /* of an append, echoed: renews the lease */
    RlogEntry entries[Rlog_BATCH_MAX];
    uint32_t entry_count;
    Str snapshot; /* of Rlog_SNAPSHOT: one whole piece, last_* its place */
} RlogMessage;

/* What the decider asks its owner to do. */
typedef struct {
    void *context;
    void (*send)(void *context, const RlogMessage *message);
    /* Store and sync, then call Rlog_OnSynced. */
    void (*store_vote)(void *context, uint64_t term, uint64_t voted_for);
    void (*store_entries)(void *context, const RlogEntry *entries,
                          size_t count);
    void (*truncate)(void *context, uint64_t from_index);
    void (*commit)(void *context, const RlogEntry *entry);
    void (*load_snapshot)(void *context, uint64_t term, uint64_t index,
                          Str snapshot);
    void (*role)(void *context, bool leader, uint64_t term);
} RlogOut;

#endif
