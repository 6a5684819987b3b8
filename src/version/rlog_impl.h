/* Functions of the replicated log that only the rlog_*.c files call.
 *
 * rlog.c holds the entries and passes messages and ticks to the functions of
 * the other files: elections (rlog_vote.c), replication (rlog_append.c), reads
 * (rlog_read.c) and membership (rlog_replicas.c).  A function that returns
 * false because storing failed leaves it to its caller to call Rlog_Fail. */
#ifndef RLOG_IMPL_H
#define RLOG_IMPL_H

#include "version/rlog.h"

/* rlog.c: entries, commit, snapshots */

/* The term of the entry at INDEX, which may be the last one that the snapshot
 * covers; 0 when the term is not known here. */
uint64_t Rlog_TermAt(const ReplicatedLog *rlog, uint64_t index);

/* NULL when INDEX is covered by the snapshot or after the end of the log. */
const RaftEntry *Rlog_EntryAt(const ReplicatedLog *rlog, uint64_t index);

/* Appends copies of entries to the log without storing them. */
void Rlog_KeepEntries(ReplicatedLog *rlog, const RaftEntry *entries,
                      size_t count);

/* Stores entries and appends copies to the log; false when that failed. */
bool Rlog_StoreEntries(ReplicatedLog *rlog, const RaftEntry *entries,
                       size_t count);

/* Removes the entries from FROM_INDEX on; false when that failed. */
bool Rlog_TruncateFrom(ReplicatedLog *rlog, uint64_t from_index);

/* Raises the commit index to INDEX and passes each entry to on_commit. */
void Rlog_CommitTo(ReplicatedLog *rlog, uint64_t index);

/* Takes a snapshot once log_entries_max committed entries are kept; sets
 * has_failed when it cannot be stored. */
void Rlog_Compact(ReplicatedLog *rlog);

/* Stores a leader's snapshot and replaces the owner's state by it; false when
 * it cannot be decoded or stored. */
bool Rlog_InstallSnapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index,
                          Str snapshot);

/* Takes this replica out of service for good: a store failed, or a leader sent
 * entries that conflict with committed ones or a malformed snapshot. */
void Rlog_Fail(ReplicatedLog *rlog, Instant now);

/* How long this replica stood still more than once lately.  The others may
 * stand still as long, as their disks and processors are of the same kind. */
Span Rlog_ExpectedPause(const ReplicatedLog *rlog, Instant now);

/* rlog_vote.c: elections */

/* Follows LEADER (0: not known) in TERM; stores a TERM that is higher. */
void Rlog_BecomeFollower(ReplicatedLog *rlog, uint64_t term, uint64_t leader,
                         Instant now);

/* Sets election_at to a new random timeout from NOW. */
void Rlog_ResetElectionTimer(ReplicatedLog *rlog, Instant now);

void Rlog_OnVoteRequest(ReplicatedLog *rlog, const RaftMessage *message,
                        Instant now);
void Rlog_OnVoteReply(ReplicatedLog *rlog, const RaftMessage *message,
                      Instant now);

/* Starts a pre-vote when the election timer has expired. */
void Rlog_TickElection(ReplicatedLog *rlog, Instant now);

/* rlog_append.c: append requests and replies */

/* Starts this replica's leadership with a no-op entry of its term. */
void Rlog_BecomeLeader(ReplicatedLog *rlog, Instant now);

void Rlog_OnAppendRequest(ReplicatedLog *rlog, const RaftMessage *message,
                          Instant now);
void Rlog_OnInstallSnapshot(ReplicatedLog *rlog, const RaftMessage *message,
                            Instant now);
void Rlog_OnAppendReply(ReplicatedLog *rlog, const RaftMessage *message,
                        Instant now);

/* Sends an entry of the leader's term to all and stores it; returns its
 * index, or 0 when it could not be stored. */
uint64_t Rlog_AppendAsLeader(ReplicatedLog *rlog, RaftEntryKind kind, Str data,
                             Instant now);

/* Steps down without a quorum, else sends heartbeats that are due. */
void Rlog_TickLeader(ReplicatedLog *rlog, Instant now);

/* Whether a quorum answered appends that were sent recently enough that this
 * leader may accept changes. */
bool Rlog_HasRecentQuorum(const ReplicatedLog *rlog, Instant now);

/* Send time of the latest append that a quorum has answered; 0: none;
 * Instant_NEVER: this replica is the only voter. */
Instant Rlog_QuorumAckedAt(const ReplicatedLog *rlog);

/* As leader, sends appends to all now, or as soon as the minimum spacing after
 * the last ones has passed. */
void Rlog_ScheduleHeartbeat(ReplicatedLog *rlog, Instant now);

/* rlog_read.c: read index requests and replies */

void Rlog_OnReadIndexRequest(ReplicatedLog *rlog, const RaftMessage *message,
                             Instant now);
void Rlog_OnReadIndexReply(ReplicatedLog *rlog, const RaftMessage *message,
                           Instant now);

/* As leader, answers the requests whose arrival a quorum has confirmed. */
void Rlog_SendReadIndexReplies(ReplicatedLog *rlog);

/* rlog_replicas.c: membership */

bool Rlog_IsVoter(const ReplicatedLog *rlog, uint64_t identity);

/* Votes needed: more than half of the voters. */
uint32_t Rlog_QuorumSize(const RaftReplicaList *replicas);

/* Encode and decode a list as stored in entries; the Pack functions replace
 * the content of OUT, the Unpack functions return false on malformed bytes. */
void Rlog_PackReplicas(const RaftReplicaList *replicas, StrBuf *out);
bool Rlog_UnpackReplicas(Str bytes, RaftReplicaList *replicas);

/* Encode and decode a snapshot: the list and the owner's state. */
void Rlog_PackSnapshot(const RaftReplicaList *replicas, Str state,
                       StrBuf *out);
bool Rlog_UnpackSnapshot(Str bytes, RaftReplicaList *replicas, StrBuf *state);

/* Takes the list from its latest entry in the log, or from the snapshot, and
 * calls on_replicas_change.  Needed after each change of the entries. */
void Rlog_RefreshReplicas(ReplicatedLog *rlog);

/* As leader, proposes the next change of the list that is due. */
void Rlog_TickMembership(ReplicatedLog *rlog, Instant now);

/* NULL for this replica and for one that is not in the list. */
FollowerProgress *Rlog_FindProgress(ReplicatedLog *rlog, uint64_t identity);

#endif
