/* Rlog's functions that its own files share. */
#ifndef RLOG_IMPL_H
#define RLOG_IMPL_H

#include "version/rlog.h"

/* rlog.c: entries, commit, snapshots */
uint64_t Rlog_TermAt(const ReplicatedLog *rlog, uint64_t index);
const RaftEntry *Rlog_EntryAt(const ReplicatedLog *rlog, uint64_t index);
bool Rlog_StoreEntries(ReplicatedLog *rlog, const RaftEntry *entries,
                       size_t count);
bool Rlog_TruncateFrom(ReplicatedLog *rlog, uint64_t from_index);
void Rlog_CommitTo(ReplicatedLog *rlog, uint64_t index);
void Rlog_Compact(ReplicatedLog *rlog);
bool Rlog_InstallSnapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index,
                          Str snapshot);
void Rlog_Fail(ReplicatedLog *rlog, Instant now);

/* rlog_vote.c: election */
void Rlog_BecomeFollower(ReplicatedLog *rlog, uint64_t term, uint64_t leader,
                         Instant now);
void Rlog_ResetElectionTimer(ReplicatedLog *rlog, Instant now);
void Rlog_OnVoteRequest(ReplicatedLog *rlog, const RaftMessage *message,
                        Instant now);
void Rlog_OnVoteReply(ReplicatedLog *rlog, const RaftMessage *message,
                      Instant now);
void Rlog_TickElection(ReplicatedLog *rlog, Instant now);

/* rlog_append.c: a leader's appends and their answers */
void Rlog_BecomeLeader(ReplicatedLog *rlog, Instant now);
void Rlog_OnAppendRequest(ReplicatedLog *rlog, const RaftMessage *message,
                          Instant now);
void Rlog_OnInstallSnapshot(ReplicatedLog *rlog, const RaftMessage *message,
                            Instant now);
void Rlog_OnAppendReply(ReplicatedLog *rlog, const RaftMessage *message,
                        Instant now);
uint64_t Rlog_AppendAsLeader(ReplicatedLog *rlog, RaftEntryKind kind, Str data,
                             Instant now);
void Rlog_TickLeader(ReplicatedLog *rlog, Instant now);
bool Rlog_HasRecentQuorum(const ReplicatedLog *rlog, Instant now);

/* When the latest appends were sent that a quorum has answered; 0: never. */
Instant Rlog_QuorumAckedAt(const ReplicatedLog *rlog);

/* The leader appends to all soon. */
void Rlog_ScheduleHeartbeat(ReplicatedLog *rlog, Instant now);

/* rlog_read.c: what another replica needs to be current */
void Rlog_OnReadIndexRequest(ReplicatedLog *rlog, const RaftMessage *message,
                             Instant now);
void Rlog_OnReadIndexReply(ReplicatedLog *rlog, const RaftMessage *message,
                           Instant now);
void Rlog_SendReadIndexReplies(ReplicatedLog *rlog);

/* rlog_replicas.c: who votes */
bool Rlog_IsVoter(const ReplicatedLog *rlog, uint64_t identity);
uint32_t Rlog_QuorumSize(const RaftReplicaList *replicas);
void Rlog_PackReplicas(const RaftReplicaList *replicas, StrBuf *out);
bool Rlog_UnpackReplicas(Str bytes, RaftReplicaList *replicas);
void Rlog_PackSnapshot(const RaftReplicaList *replicas, Str state,
                       StrBuf *out);
bool Rlog_UnpackSnapshot(Str bytes, RaftReplicaList *replicas, StrBuf *state);
void Rlog_RefreshReplicas(ReplicatedLog *rlog);
void Rlog_TickMembership(ReplicatedLog *rlog, Instant now);
FollowerProgress *Rlog_FindProgress(ReplicatedLog *rlog, uint64_t identity);

#endif
