/* Rlog's functions that its own files share. */
#ifndef RLOG_IMPL_H
#define RLOG_IMPL_H

#include "version/rlog.h"

/* rlog.c: entries, commit, snapshots */
uint64_t Rlog_TermAt(const Rlog *rlog, uint64_t index);
const RlogEntry *Rlog_EntryAt(const Rlog *rlog, uint64_t index);
bool Rlog_Store(Rlog *rlog, const RlogEntry *entries, size_t count);
bool Rlog_Cut(Rlog *rlog, uint64_t from_index);
void Rlog_CommitTo(Rlog *rlog, uint64_t index);
void Rlog_Compact(Rlog *rlog);
bool Rlog_TakeSnapshot(Rlog *rlog, uint64_t term, uint64_t index,
                       Str snapshot);
void Rlog_Fail(Rlog *rlog, Instant now);

/* rlog_vote.c: election */
void Rlog_BecomeFollower(Rlog *rlog, uint64_t term, uint64_t leader,
                         Instant now);
void Rlog_DelayElection(Rlog *rlog, Instant now);
void Rlog_OnVote(Rlog *rlog, const RlogMessage *message, Instant now);
void Rlog_OnVoted(Rlog *rlog, const RlogMessage *message, Instant now);
void Rlog_TickElection(Rlog *rlog, Instant now);

/* rlog_append.c: a leader's appends and their answers */
void Rlog_BecomeLeader(Rlog *rlog, Instant now);
void Rlog_OnAppend(Rlog *rlog, const RlogMessage *message, Instant now);
void Rlog_OnSnapshot(Rlog *rlog, const RlogMessage *message, Instant now);
void Rlog_OnAppended(Rlog *rlog, const RlogMessage *message, Instant now);
uint64_t Rlog_AppendOwn(Rlog *rlog, RlogKind kind, Str data, Instant now);
void Rlog_TickLeader(Rlog *rlog, Instant now);
bool Rlog_HasQuorum(const Rlog *rlog, Instant now);

/* When the latest appends were sent that a quorum has answered; 0: never. */
Instant Rlog_QuorumAcked(const Rlog *rlog);

/* The leader appends to all soon. */
void Rlog_AskRound(Rlog *rlog, Instant now);

/* rlog_read.c: what another replica needs to be current */
void Rlog_OnRead(Rlog *rlog, const RlogMessage *message, Instant now);
void Rlog_OnReadDone(Rlog *rlog, const RlogMessage *message, Instant now);
void Rlog_AnswerReads(Rlog *rlog);

/* rlog_replicas.c: who votes */
bool Rlog_IsVoter(const Rlog *rlog, uint64_t identity);
uint32_t Rlog_Quorum(const RlogReplicas *replicas);
void Rlog_PackReplicas(const RlogReplicas *replicas, StrBuf *out);
bool Rlog_ReadReplicas(Str bytes, RlogReplicas *replicas);
void Rlog_PackSnapshot(const RlogReplicas *replicas, Str state, StrBuf *out);
bool Rlog_ReadSnapshot(Str bytes, RlogReplicas *replicas, StrBuf *state);
void Rlog_UseReplicas(Rlog *rlog);
void Rlog_TickReplicas(Rlog *rlog, Instant now);
RlogProgress *Rlog_FindProgress(Rlog *rlog, uint64_t identity);

#endif
