/* Rlog, the replicated log decider of one control replica: election, commit,
 * replacement of replicas, snapshots.
 *
 * Fed with messages and ticks; answers through the callbacks of RaftCallbacks.
 * A callback that stores returns only when the bytes are synced, so nothing is
 * acknowledged before; when one fails, the replica stops taking part.
 *
 * A leader is current as of a moment once a quorum has answered an append
 * that it sent at that moment or later: each append carries its send time,
 * which the answer echoes.  Another replica is current once it has committed
 * what a leader had that was current as of the replica's question.  No promise
 * rests on the clocks of two machines, so a replica that starts again may vote
 * at once.  A leader that no quorum
 * answers for the election timeout steps down, and a replica that heard from
 * a leader refuses votes as long, so that a living leader is not disturbed.
 *
 * Replicas are named by identity.  A new identity joins as a learner, becomes
 * a voter once it has the leader's commit, and then those older identities at
 * its address are removed: one replica changes an entry.
 *
 * Source: D. Ongaro and J. Ousterhout, "In search of an understandable
 * consensus algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: bridging
 * theory and practice", 2014, for pre-vote, check-quorum, reads, learners
 * and single-server membership changes.
 */
#ifndef RLOG_H
#define RLOG_H

#include "value/addr.h"
#include "value/err.h"
#include "value/instant.h"
#include "value/rng.h"

enum {
    Rlog_VOTERS_MAX = 7,
    Rlog_REPLICAS_MAX = 16, /* with learners and those to be removed */
    Rlog_BATCH_ENTRIES_MAX = 64,
    Rlog_BATCH_BYTES_MAX = 256 * 1024 /* of a batch's data, one entry apart */
};

/* A replica's identity is made when its data folder is: a folder that was
 * lost comes back as another replica. */
typedef struct {
    uint64_t identity;
    Addr addr;
    bool is_voter;   /* false: learner, catching up */
    bool is_initial; /* there since the log's first entry */
} RaftReplica;

typedef struct {
    RaftReplica items[Rlog_REPLICAS_MAX];
    uint32_t count;
} RaftReplicaList;

typedef enum {
    Rlog_ENTRY_NOOP,
    Rlog_ENTRY_CHANGE,
    Rlog_ENTRY_REPLICAS,
    Rlog_ENTRY_KINDS
} RaftEntryKind;

typedef struct {
    uint64_t term;
    uint64_t index;
    RaftEntryKind kind;
    Str data;
} RaftEntry;

typedef enum {
    Rlog_VOTE_REQUEST, /* asks for a vote */
    Rlog_VOTE_REPLY,   /* answers */
    Rlog_APPEND_REQUEST,
    Rlog_APPEND_REPLY,
    Rlog_INSTALL_SNAPSHOT,   /* answered by Rlog_APPEND_REPLY */
    Rlog_READ_INDEX_REQUEST, /* to the leader: what is committed now */
    Rlog_READ_INDEX_REPLY,
    Rlog_MESSAGE_KINDS
} RaftMessageKind;

typedef struct {
    RaftMessageKind kind;
    uint64_t from; /* identity */
    uint64_t to;
    uint64_t term;
    bool is_pre_vote;    /* of a vote: a trial that changes no term */
    bool granted;        /* of an answer */
    uint64_t last_term;  /* of the sender's log, or before the entries */
    uint64_t last_index; /* of an answer: what matches, or may match */
    uint64_t commit_index;
    uint64_t request_sent_at; /* send time of an append or a read, echoed */
    RaftEntry entries[Rlog_BATCH_ENTRIES_MAX];
    uint32_t entry_count;
    Str snapshot; /* of Rlog_INSTALL_SNAPSHOT: one whole piece, last_* its
                     place */
} RaftMessage;

/* What the decider asks its owner to do.  Messages and entries are valid
 * during the call only; a callback calls no function of this decider that
 * changes it. */
typedef struct {
    void *context;
    void (*send)(void *context, const RaftMessage *message);

    /* Store and sync; false when that failed. */
    bool (*store_vote)(void *context, uint64_t term, uint64_t voted_for);
    bool (*store_entries)(void *context, const RaftEntry *entries,
                          size_t count);
    /* Drop the entries from FROM_INDEX on. */
    bool (*truncate)(void *context, uint64_t from_index);
    /* Store a snapshot, and of the log only the entries after it. */
    bool (*store_snapshot)(void *context, uint64_t term, uint64_t index,
                           Str snapshot);

    /* An entry is committed: called once each, in order. */
    void (*on_commit)(void *context, const RaftEntry *entry);
    /* The owner's state as of the last committed entry, appended to OUT. */
    void (*save_state)(void *context, StrBuf *out);
    /* Replace the owner's state; false when it cannot be read. */
    bool (*load_state)(void *context, Str state);
    void (*on_role_change)(void *context, bool leader, uint64_t term,
                           Instant now);
    void (*on_replicas_change)(void *context, const RaftReplicaList *replicas);
} RaftCallbacks;

typedef struct {
    uint64_t identity;
    Addr addr;
    Span election_timeout;    /* timeout, at least; drawn up to half more */
    Span heartbeat_interval;  /* between appends of a leader */
    uint32_t log_entries_max; /* entries kept before a snapshot is taken */
    uint32_t voters_max; /* a learner votes only in the place of a voter that
                            is silent beyond these; 0: no bound */
} RaftSettings;

typedef enum {
    Rlog_FOLLOWER,
    Rlog_PRE_CANDIDATE, /* asks for pre-votes */
    Rlog_CANDIDATE,
    Rlog_LEADER
} RaftRole;

/* What a leader knows of another replica. */
typedef struct {
    uint64_t identity;
    uint64_t next_index;  /* index to send */
    uint64_t match_index; /* known to be the same up to here */
    Instant acked_at; /* send time of the latest append it answered; 0: none */
    Instant snapshot_sent_at;
    Instant
        seen_at; /* last sign that it runs, other than an answer; 0: none */
    Instant read_received_at;      /* its question came then; 0: none waits */
    uint64_t read_request_sent_at; /* echoed */
} FollowerProgress;

typedef struct {
    RaftSettings settings;
    RaftCallbacks callbacks;
    Rng *rng;
    RaftRole role;
    bool has_failed; /* a store failed: takes no part any more */
    uint64_t term;
    uint64_t voted_for;
    uint64_t leader_identity; /* identity; 0: not known */
    Instant leader_heard_at;  /* from a leader; 0: not since the start */
    Instant election_at;
    uint32_t elections_tried; /* elections tried since the start */
    Instant next_heartbeat_at;
    Instant heartbeat_sent_at; /* last appends to all */
    Instant leader_since;      /* when this one became leader */

    RaftEntry *entries; /* after the snapshot; their data is owned */
    size_t entry_count;
    size_t entry_capacity;
    uint64_t snapshot_term;
    uint64_t snapshot_index;
    StrBuf snapshot;
    uint64_t commit_index;
    uint64_t startup_commit_index; /* first commit told by a leader; 0: none */

    Instant read_sent_at;      /* the last question to a leader */
    Instant read_confirmed_at; /* the last one that was answered, by when it
                                  was sent */
    uint64_t read_index;       /* committed at the leader then */
    bool is_read_pending;      /* another question waits for the answer */

    RaftReplicaList replicas; /* the latest in the log, committed or not */
    uint64_t replicas_index;
    RaftReplicaList snapshot_replicas;
    uint64_t votes[Rlog_REPLICAS_MAX];
    uint32_t vote_count;
    FollowerProgress progress[Rlog_REPLICAS_MAX];
    uint32_t progress_count;
} ReplicatedLog;

/* A replica without history: it waits for Rlog_Bootstrap or for a leader. */
void Rlog_Init(ReplicatedLog *rlog, const RaftSettings *settings,
               const RaftCallbacks *out, Rng *rng, Instant now);
void Rlog_Finish(ReplicatedLog *rlog);

/* After Init, take over what was stored: the vote, the snapshot if there is
 * one, then each entry after it.  load_state is called for the snapshot. */
void Rlog_RestoreVote(ReplicatedLog *rlog, uint64_t term, uint64_t voted_for);
bool Rlog_RestoreSnapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index,
                          Str snapshot, Err *err);
bool Rlog_RestoreEntry(ReplicatedLog *rlog, const RaftEntry *entry, Err *err);

/* Begin the fleet's log with these voters.  Only where every listed replica
 * is known to be without history; false when this one has some. */
bool Rlog_Bootstrap(ReplicatedLog *rlog, const RaftReplicaList *voters,
                    Instant now);

void Rlog_OnMessage(ReplicatedLog *rlog, const RaftMessage *message,
                    Instant now);
void Rlog_OnTick(ReplicatedLog *rlog, Instant now);

/* Propose a change; its index, or 0 when this one does not lead.  It is
 * committed when the commit callback gets the same term and index. */
uint64_t Rlog_Propose(ReplicatedLog *rlog, Str data, Instant now);

/* A leader heard of IDENTITY at ADDR, the last time HEARD_AT: it joins as a
 * learner unless it is there already. */
void Rlog_OnReplicaSeen(ReplicatedLog *rlog, uint64_t identity, Addr addr,
                        Instant heard_at, Instant now);

/* A leader heard that only LISTED addresses are to carry replicas and ADDR is
 * none of them: a replica there that is silent is removed, once more vote
 * than are listed. */
void Rlog_OnUnlistedAddr(ReplicatedLog *rlog, Addr addr, uint32_t listed,
                         Instant now);

/* A leader that a quorum answered lately, and whose own term has a committed
 * entry.  Another one may have been elected since. */
bool Rlog_IsLeading(const ReplicatedLog *rlog, Instant now);

/* Whether this replica is current is to be known soon. */
void Rlog_RequestReadIndex(ReplicatedLog *rlog, Instant now);

/* It holds, committed, all that was ever accepted before SINCE. */
bool Rlog_IsCurrentSince(const ReplicatedLog *rlog, Instant since);

/* In touch with a leader, or leading. */
bool Rlog_HasLeaderContact(const ReplicatedLog *rlog, Instant now);

/* Heard, since its start, from a leader, and holds all that this leader had
 * committed then. */
bool Rlog_HasCaughtUp(const ReplicatedLog *rlog);

/* Nothing was ever stored here. */
bool Rlog_IsBlank(const ReplicatedLog *rlog);

const RaftReplica *Rlog_FindReplica(const RaftReplicaList *replicas,
                                    uint64_t identity);
uint64_t Rlog_LastIndex(const ReplicatedLog *rlog);
uint64_t Rlog_LastTerm(const ReplicatedLog *rlog);

#endif
