/* Rlog: the Raft replicated log of one control replica.
 *
 * ReplicatedLog elects a leader, replicates and commits entries, changes the
 * list of replicas and takes snapshots.  The control replica that owns it
 * calls Rlog_Init, the Rlog_Restore functions with what its disk holds, then
 * Rlog_OnMessage for each message and Rlog_OnTick regularly.  ReplicatedLog
 * sends messages and stores data only through RaftCallbacks.  A callback that
 * stores returns after the bytes are synced, so nothing is acknowledged before
 * it is durable; when a store fails, the replica stops taking part.
 *
 * Reads: a leader is current as of a moment once a quorum has answered an
 * append that the leader sent at that moment or later.  Each append carries
 * its send time, and the reply echoes it.  A follower is current once it has
 * committed what was committed at a leader that was current as of the
 * follower's read index request.  No guarantee compares clocks of two
 * machines, so a replica may vote immediately after a restart.
 *
 * Appends: what was sent to a follower is taken as on its way, since
 * connections keep the order of messages, and is sent again only when the
 * follower says that it lacks it.
 *
 * Elections: a leader that no quorum answers for the election timeout steps
 * down.  A replica that has heard from a leader refuses votes for the same
 * time, so that a live leader is not disrupted.
 *
 * Pauses: a replica that did not run for a while, since a store took long or
 * its machine stood still, does not count that time as the silence of others.
 * When that happens again and again, it gives the others as long, in an
 * election and as a leader.
 *
 * Membership: replicas are identified by identity.  A new identity joins as a
 * learner and becomes a voter once it has what the leader has committed; then
 * unresponsive older identities at its address are removed.  With a limit on
 * voters (RaftSettings.voters_max), room is made before the learner becomes a
 * voter.  One entry adds or removes at most one voter.
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
    Rlog_REPLICAS_MAX = 16, /* voters, learners and replicas to be removed */
    Rlog_BATCH_ENTRIES_MAX = 64,      /* entries of one append request */
    Rlog_BATCH_BYTES_MAX = 256 * 1024 /* data bytes of one append request; a
                                         larger entry is sent alone */
};

/* One replica of the list.  Its identity is created with its data folder: a
 * replica whose folder was lost restarts with a new identity. */
typedef struct {
    uint64_t identity;
    Addr addr;
    bool is_voter;   /* false: learner, which gets entries but has no vote */
    bool is_initial; /* listed when the log was bootstrapped */
} RaftReplica;

/* The membership: all voters and learners. */
typedef struct {
    RaftReplica items[Rlog_REPLICAS_MAX];
    uint32_t count;
} RaftReplicaList;

typedef enum {
    Rlog_ENTRY_NOOP,     /* no data; the first entry of each leader's term */
    Rlog_ENTRY_CHANGE,   /* data of the owner, from Rlog_Propose */
    Rlog_ENTRY_REPLICAS, /* a packed RaftReplicaList that takes effect as
                            soon as the entry is stored */
    Rlog_ENTRY_KINDS     /* number of kinds */
} RaftEntryKind;

/* One log entry.  Indexes count from 1. */
typedef struct {
    uint64_t term;
    uint64_t index;
    RaftEntryKind kind;
    Str data;
} RaftEntry;

typedef enum {
    Rlog_VOTE_REQUEST, /* from a candidate, or a pre-candidate (is_pre_vote) */
    Rlog_VOTE_REPLY,
    Rlog_APPEND_REQUEST, /* a leader's entries; without any, a heartbeat */
    Rlog_APPEND_REPLY,
    Rlog_INSTALL_SNAPSHOT,   /* answered by Rlog_APPEND_REPLY */
    Rlog_READ_INDEX_REQUEST, /* asks the leader for its commit index */
    Rlog_READ_INDEX_REPLY,
    Rlog_MESSAGE_KINDS /* number of kinds */
} RaftMessageKind;

/* One message between two replicas.  Members that its kind does not use are
 * 0.
 *
 * last_term and last_index name an entry:
 *   vote request       the last entry of the sender's log
 *   append request     the entry before the first one in entries
 *   install snapshot   the last entry that the snapshot covers
 *   append reply       last_index alone: when granted, the log matches the
 *                      leader's up to here; else the index to try next
 *   read index reply   last_index alone: the leader's commit index
 */
typedef struct {
    RaftMessageKind kind;
    uint64_t from;    /* identity of the sender */
    uint64_t to;      /* identity of the receiver */
    uint64_t term;    /* the sender's term; in a pre-vote request and a reply
                         that grants it, the term to be started */
    bool is_pre_vote; /* vote request and reply: no term or vote changes */
    bool granted;     /* reply: the vote was given, or the append accepted */
    uint64_t last_term;
    uint64_t last_index;
    uint64_t commit_index;    /* append, snapshot: of the leader */
    uint64_t request_sent_at; /* Instant on the requester's clock at which the
                                 append, snapshot or read index request was
                                 sent; its reply echoes the value */
    RaftEntry entries[Rlog_BATCH_ENTRIES_MAX]; /* append request */
    uint32_t entry_count;
    Str snapshot; /* install snapshot: the whole snapshot */
} RaftMessage;

/* What ReplicatedLog asks of its owner.  Messages, entries and strings passed
 * to a callback are valid only during the call.  A callback must not call a
 * function that changes the ReplicatedLog. */
typedef struct {
    void *context;

    /* Sends MESSAGE to the replica MESSAGE->to; the message may be lost. */
    void (*send)(void *context, const RaftMessage *message);

    /* The next four store data and sync it; false when that failed. */

    /* Stores the current term and the identity voted for in it; 0: none. */
    bool (*store_vote)(void *context, uint64_t term, uint64_t voted_for);
    /* Appends entries to the stored log. */
    bool (*store_entries)(void *context, const RaftEntry *entries,
                          size_t count);
    /* Removes the stored entries from FROM_INDEX on. */
    bool (*truncate)(void *context, uint64_t from_index);
    /* Stores a snapshot that covers the log up to INDEX, and keeps only the
     * log entries after INDEX. */
    bool (*store_snapshot)(void *context, uint64_t term, uint64_t index,
                           Str snapshot);

    /* Applies a committed entry: called once for each entry, in order. */
    void (*on_commit)(void *context, const RaftEntry *entry);
    /* Appends to OUT the owner's state as of the last committed entry. */
    void (*save_state)(void *context, StrBuf *out);
    /* Replaces the owner's state; false when STATE cannot be decoded. */
    bool (*load_state)(void *context, Str state);
    /* This replica became leader of TERM, or is leader no longer. */
    void (*on_role_change)(void *context, bool is_leader, uint64_t term,
                           Instant now);
    /* The list in effect was read from the log again; it may be unchanged. */
    void (*on_replicas_change)(void *context, const RaftReplicaList *replicas);
} RaftCallbacks;

typedef struct {
    uint64_t identity;        /* of this replica */
    Addr addr;                /* of this replica */
    Span election_timeout;    /* minimum; each timeout adds a random part of
                                 up to half of it */
    Span heartbeat_interval;  /* between a leader's appends to all */
    uint32_t log_entries_max; /* committed entries kept until a snapshot is
                                 taken */
    uint32_t voters_max; /* with this many voters, a learner becomes a voter
                            only in place of one that is unreachable; 0: no
                            limit */
} RaftSettings;

typedef enum {
    Rlog_FOLLOWER,
    Rlog_PRE_CANDIDATE, /* asks for pre-votes, in an unchanged term */
    Rlog_CANDIDATE,     /* asks for votes in a new term */
    Rlog_LEADER
} RaftRole;

/* What a leader knows of another replica. */
typedef struct {
    uint64_t identity;
    uint64_t next_index;  /* first entry of the next append to this replica;
                             those before it are stored there or on the way */
    Instant rewound_at;   /* when next_index was last lowered; 0: never.  A
                             rejection of an earlier append says nothing new */
    uint64_t match_index; /* its log is known to match up to this index */
    Instant acked_at;     /* send time of the latest append that it answered;
                             0: none */
    Instant snapshot_sent_at; /* 0: none sent */
    uint32_t snapshot_tries;  /* sent since the last one was answered */
    Instant seen_at; /* latest HEARD_AT of Rlog_OnReplicaSeen; 0: none */
    Instant read_received_at; /* arrival of its read index request that waits
                                 for a reply; 0: none waits */
    uint64_t read_request_sent_at; /* send time in that request */
} FollowerProgress;

/* The longest pauses of a period. */
typedef struct {
    Span longest;
    Span second;
} RaftPauses;

/* The replicated log of one replica.  Owners may read the members; only Rlog
 * functions change them. */
typedef struct {
    RaftSettings settings;
    RaftCallbacks callbacks;
    Rng *rng; /* not owned */
    RaftRole role;
    bool has_failed; /* a store failed: this replica no longer takes part */
    uint64_t term;
    uint64_t voted_for;       /* identity voted for in this term; 0: none */
    uint64_t leader_identity; /* identity of the leader; 0: not known */
    Instant leader_heard_at;  /* last message of a leader; 0: none since the
                                 start */
    Instant election_at;      /* when the election timer expires */
    uint32_t elections_tried; /* pre-votes started since the start */
    Instant next_heartbeat_at;
    Instant heartbeat_sent_at; /* last appends to all replicas */
    Instant leader_since;      /* when this replica last became leader */

    /* A store, or the machine, may hold this replica up. */
    Instant active_at;         /* last message or tick; 0: none yet */
    RaftPauses pauses;         /* of this period */
    RaftPauses earlier_pauses; /* of the one before */
    Instant period_began;
    bool is_election_shifted; /* a pause has moved election_at */
    Span election_shift_left; /* by which further pauses may move it */
    Instant quorum_heard_at;  /* leader: as of when step_down_at was set */
    Instant step_down_at;     /* leader: without an answer of a quorum */

    RaftEntry *entries; /* those after the snapshot; owned with their data */
    size_t entry_count;
    size_t entry_capacity;
    uint64_t snapshot_term;  /* of the last entry that the snapshot covers */
    uint64_t snapshot_index; /* of that entry; 0: no snapshot */
    StrBuf snapshot;         /* packed replica list and state of the owner */
    uint64_t commit_index;
    /* What the first leader heard since the start had committed; on a replica
     * that becomes leader first, the first index of its term; 0: not known. */
    uint64_t startup_commit_index;

    /* Follower: reads confirmed by the leader. */
    Instant read_sent_at;      /* last read index request */
    Instant read_confirmed_at; /* send time of the last one answered */
    uint64_t read_index;       /* the leader's commit index in that reply */
    Instant read_reached_at;   /* send time of the last one answered before,
                                  whose index is committed here; 0: none */
    bool is_read_pending; /* another request is due: one was under way, or no
                             leader was known */

    RaftReplicaList replicas; /* latest in the log, committed or not */
    uint64_t replicas_index;  /* index of the entry that holds it */
    RaftReplicaList snapshot_replicas; /* as of snapshot_index */
    uint64_t votes[Rlog_REPLICAS_MAX]; /* identities that granted a vote */
    uint32_t vote_count;
    /* one for each replica of replicas but this one */
    FollowerProgress progress[Rlog_REPLICAS_MAX];
    uint32_t progress_count;
} ReplicatedLog;

/* Makes RLOG a replica without history, which waits for Rlog_Bootstrap or for
 * a leader.  Copies SETTINGS and CALLBACKS; RNG must outlive RLOG. */
void Rlog_Init(ReplicatedLog *rlog, const RaftSettings *settings,
               const RaftCallbacks *callbacks, Rng *rng, Instant now);
void Rlog_Finish(ReplicatedLog *rlog);

/* Restores what was stored, after Rlog_Init: the vote, the snapshot if there
 * is one, then each entry after it.  Rlog_RestoreSnapshot calls load_state.
 * They return false with ERR set to Err_CORRUPT when the snapshot cannot be
 * decoded or the entry does not follow the one before it. */
void Rlog_RestoreVote(ReplicatedLog *rlog, uint64_t term, uint64_t voted_for);
bool Rlog_RestoreSnapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index,
                          Str snapshot, Err *err);
bool Rlog_RestoreEntry(ReplicatedLog *rlog, const RaftEntry *entry, Err *err);

/* Starts the cluster's log with VOTERS as its first entry.  Call it only when
 * every replica of VOTERS is known to have no history.  Returns false when
 * this replica has some, or when storing failed. */
bool Rlog_Bootstrap(ReplicatedLog *rlog, const RaftReplicaList *voters,
                    Instant now);

/* Handles a message from another replica; ignores one that is addressed to
 * another identity. */
void Rlog_OnMessage(ReplicatedLog *rlog, const RaftMessage *message,
                    Instant now);

/* Runs what is due: elections, heartbeats, membership changes, snapshots. */
void Rlog_OnTick(ReplicatedLog *rlog, Instant now);

/* Appends a change as leader.  Returns its index, or 0 when this replica does
 * not lead or could not store it; in the latter case the others may have
 * stored it, and it may be committed.  The change is committed when on_commit
 * gets the same term and index. */
uint64_t Rlog_Propose(ReplicatedLog *rlog, Str data, Instant now);

/* Reports to a leader that the replica IDENTITY runs at ADDR and was last
 * heard at HEARD_AT.  The replica is added as a learner unless it is listed
 * already. */
void Rlog_OnReplicaSeen(ReplicatedLog *rlog, uint64_t identity, Addr addr,
                        Instant heard_at, Instant now);

/* Reports to a leader that ADDR is not among the LISTED_COUNT addresses that
 * are configured to run replicas.  An unresponsive replica at ADDR is removed
 * while there are more than LISTED_COUNT voters. */
void Rlog_OnUnlistedAddr(ReplicatedLog *rlog, Addr addr, uint32_t listed_count,
                         Instant now);

/* Whether this replica is a leader that a quorum has answered recently and
 * that has committed an entry of its own term.  Another leader may have been
 * elected since. */
bool Rlog_IsLeading(const ReplicatedLog *rlog, Instant now);

/* Whether this replica is leading and no leader before it can take itself for
 * leading any more: it has led for longer than a leader without a quorum says
 * so.  Whatever was granted under this by two leaders was granted one after
 * the other; clocks need to run equally fast only. */
bool Rlog_LeadsAlone(const ReplicatedLog *rlog, Instant now);

/* Starts a check that this replica is current as of NOW: a leader sends
 * appends to all soon, a follower sends the leader a read index request.
 * Rlog_IsCurrentSince returns true once the check has succeeded. */
void Rlog_RequestReadIndex(ReplicatedLog *rlog, Instant now);

/* Whether this replica has committed every entry that was committed anywhere
 * before SINCE. */
bool Rlog_IsCurrentSince(const ReplicatedLog *rlog, Instant since);

/* The latest moment, not after NOW, for which this replica is known to have
 * committed every entry that was committed anywhere before it; 0: not known.
 * Rlog_RequestReadIndex moves it on. */
Instant Rlog_CurrentAsOf(const ReplicatedLog *rlog, Instant now);

/* Whether this replica leads, or knows a leader that it has heard from within
 * the election timeout. */
bool Rlog_HasLeaderContact(const ReplicatedLog *rlog, Instant now);

/* Whether this replica has committed, since its start, all that the first
 * leader it heard from had committed then. */
bool Rlog_HasCaughtUp(const ReplicatedLog *rlog);

/* Whether this replica has no history: no term and no entry. */
bool Rlog_IsBlank(const ReplicatedLog *rlog);

/* Returns NULL when IDENTITY is not in REPLICAS. */
const RaftReplica *Rlog_FindReplica(const RaftReplicaList *replicas,
                                    uint64_t identity);

/* Index and term of the last entry, committed or not; 0: the log is empty. */
uint64_t Rlog_LastIndex(const ReplicatedLog *rlog);
uint64_t Rlog_LastTerm(const ReplicatedLog *rlog);

#endif
