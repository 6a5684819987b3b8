#include "version/rlog.h"

#include "value/mem.h"
#include "version/rlog_impl.h"

/* A pause counts from this part of the election timeout on. */
enum { PAUSE_MIN_DIVISOR = 10 };

/* A pause is expected again for at most this many election timeouts, and
 * remembered for one to two periods. */
enum { PAUSE_MAX_TIMEOUTS = 4 };
#define PAUSE_PERIOD Span_S(10)

void
Rlog_Init(ReplicatedLog *rlog, const RaftSettings *settings,
          const RaftCallbacks *callbacks, Rng *rng, Instant now)
{
    *rlog = (ReplicatedLog){
        .settings = *settings,
        .callbacks = *callbacks,
        .rng = rng,
    };
    Rlog_ResetElectionTimer(rlog, now);
    rlog->election_at = now + (rlog->election_at - now) / 2;
}

static void
free_entries_from(ReplicatedLog *rlog, size_t from)
{
    for (size_t i = from; i < rlog->entry_count; i++) {
        Mem_Free((char *)rlog->entries[i].data.ptr);
    }
    rlog->entry_count = from;
}

void
Rlog_Finish(ReplicatedLog *rlog)
{
    free_entries_from(rlog, 0);
    Mem_Free(rlog->entries);
    StrBuf_Finish(&rlog->snapshot);
    *rlog = (ReplicatedLog){0};
}

uint64_t
Rlog_LastIndex(const ReplicatedLog *rlog)
{
    return rlog->snapshot_index + rlog->entry_count;
}

uint64_t
Rlog_LastTerm(const ReplicatedLog *rlog)
{
    return Rlog_TermAt(rlog, Rlog_LastIndex(rlog));
}

const RaftEntry *
Rlog_EntryAt(const ReplicatedLog *rlog, uint64_t index)
{
    if (index <= rlog->snapshot_index || index > Rlog_LastIndex(rlog)) {
        return NULL;
    }
    return &rlog->entries[index - rlog->snapshot_index - 1];
}

uint64_t
Rlog_TermAt(const ReplicatedLog *rlog, uint64_t index)
{
    const RaftEntry *entry = Rlog_EntryAt(rlog, index);

    if (entry) {
        return entry->term;
    }
    return index == rlog->snapshot_index ? rlog->snapshot_term : 0;
}

static void
append_copy(ReplicatedLog *rlog, const RaftEntry *entry)
{
    StrBuf copy = {0};

    if (rlog->entry_count == rlog->entry_capacity) {
        rlog->entry_capacity =
            rlog->entry_capacity ? rlog->entry_capacity * 2 : 16;
        rlog->entries =
            Mem_Resize(rlog->entries, rlog->entry_capacity, sizeof(RaftEntry));
    }
    StrBuf_Append(&copy, entry->data);
    rlog->entries[rlog->entry_count] = *entry;
    rlog->entries[rlog->entry_count].data = StrBuf_View(&copy);
    rlog->entry_count++;
}

void
Rlog_KeepEntries(ReplicatedLog *rlog, const RaftEntry *entries, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        append_copy(rlog, &entries[i]);
    }
    Rlog_RefreshReplicas(rlog);
}

bool
Rlog_StoreEntries(ReplicatedLog *rlog, const RaftEntry *entries, size_t count)
{
    if (!rlog->callbacks.store_entries(rlog->callbacks.context, entries,
                                       count)) {
        return false;
    }
    Rlog_KeepEntries(rlog, entries, count);
    return true;
}

bool
Rlog_TruncateFrom(ReplicatedLog *rlog, uint64_t from_index)
{
    if (!rlog->callbacks.truncate(rlog->callbacks.context, from_index)) {
        return false;
    }
    free_entries_from(rlog, from_index - rlog->snapshot_index - 1);
    Rlog_RefreshReplicas(rlog);
    return true;
}

void
Rlog_CommitTo(ReplicatedLog *rlog, uint64_t index)
{
    while (rlog->commit_index < index) {
        const RaftEntry *entry = Rlog_EntryAt(rlog, rlog->commit_index + 1);
        rlog->commit_index++;
        rlog->callbacks.on_commit(rlog->callbacks.context, entry);
    }
}

/* Sets REPLICAS to the list as of the last committed entry. */
static void
find_committed_replicas(const ReplicatedLog *rlog, RaftReplicaList *replicas)
{
    *replicas = rlog->snapshot_replicas;
    for (size_t i = 0; i < rlog->entry_count; i++) {
        const RaftEntry *entry = &rlog->entries[i];
        if (entry->kind == Rlog_ENTRY_REPLICAS &&
            entry->index <= rlog->commit_index) {
            Rlog_UnpackReplicas(entry->data, replicas);
        }
    }
}

/* Discards the entries that a snapshot up to INDEX covers, or all when the
 * entry at INDEX differs or is missing. */
static void
discard_covered_entries(ReplicatedLog *rlog, uint64_t term, uint64_t index)
{
    size_t dropped = 0;

    if (index < Rlog_LastIndex(rlog) && Rlog_TermAt(rlog, index) == term) {
        dropped = index - rlog->snapshot_index;
        for (size_t i = 0; i < dropped; i++) {
            Mem_Free((char *)rlog->entries[i].data.ptr);
        }
        rlog->entry_count -= dropped;
        for (size_t i = 0; i < rlog->entry_count; i++) {
            rlog->entries[i] = rlog->entries[i + dropped];
        }
    }
    else {
        free_entries_from(rlog, 0);
    }
    rlog->snapshot_term = term;
    rlog->snapshot_index = index;
    Rlog_RefreshReplicas(rlog);
}

void
Rlog_Compact(ReplicatedLog *rlog)
{
    StrBuf state = {0};
    StrBuf blob = {0};
    RaftReplicaList replicas;
    uint64_t term = Rlog_TermAt(rlog, rlog->commit_index);

    if (rlog->commit_index - rlog->snapshot_index <
        rlog->settings.log_entries_max) {
        return;
    }
    find_committed_replicas(rlog, &replicas);
    rlog->callbacks.save_state(rlog->callbacks.context, &state);
    Rlog_PackSnapshot(&replicas, StrBuf_View(&state), &blob);
    if (rlog->callbacks.store_snapshot(rlog->callbacks.context, term,
                                       rlog->commit_index,
                                       StrBuf_View(&blob))) {
        rlog->snapshot_replicas = replicas;
        StrBuf_Set(&rlog->snapshot, StrBuf_View(&blob));
        discard_covered_entries(rlog, term, rlog->commit_index);
    }
    else {
        rlog->has_failed = true;
    }
    StrBuf_Finish(&state);
    StrBuf_Finish(&blob);
}

/* Decodes BLOB, passes its state to load_state, and makes INDEX the commit
 * index. */
static bool
load_snapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index, Str blob)
{
    StrBuf state = {0};
    RaftReplicaList replicas;
    bool ok;

    ok = Rlog_UnpackSnapshot(blob, &replicas, &state) &&
         rlog->callbacks.load_state(rlog->callbacks.context,
                                    StrBuf_View(&state));
    StrBuf_Finish(&state);
    if (ok) {
        rlog->snapshot_replicas = replicas;
        StrBuf_Set(&rlog->snapshot, blob);
        rlog->commit_index = index;
        discard_covered_entries(rlog, term, index);
    }
    return ok;
}

bool
Rlog_InstallSnapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index,
                     Str snapshot)
{
    RaftReplicaList replicas;
    StrBuf state = {0};
    bool readable = Rlog_UnpackSnapshot(snapshot, &replicas, &state);

    StrBuf_Finish(&state);
    return readable &&
           rlog->callbacks.store_snapshot(rlog->callbacks.context, term, index,
                                          snapshot) &&
           load_snapshot(rlog, term, index, snapshot);
}

void
Rlog_RestoreVote(ReplicatedLog *rlog, uint64_t term, uint64_t voted_for)
{
    rlog->term = term;
    rlog->voted_for = voted_for;
}

bool
Rlog_RestoreSnapshot(ReplicatedLog *rlog, uint64_t term, uint64_t index,
                     Str snapshot, Err *err)
{
    return load_snapshot(rlog, term, index, snapshot) ||
           Err_SET(err, Err_CORRUPT,
                   "cannot decode the snapshot at log index %llu",
                   (unsigned long long)index);
}

bool
Rlog_RestoreEntry(ReplicatedLog *rlog, const RaftEntry *entry, Err *err)
{
    if (entry->index != Rlog_LastIndex(rlog) + 1 ||
        entry->term < Rlog_LastTerm(rlog)) {
        return Err_SET(err, Err_CORRUPT,
                       "log entry %llu cannot follow entry %llu",
                       (unsigned long long)entry->index,
                       (unsigned long long)Rlog_LastIndex(rlog));
    }
    append_copy(rlog, entry);
    Rlog_RefreshReplicas(rlog);
    if (rlog->term < entry->term) {
        rlog->term = entry->term;
        rlog->voted_for = 0;
    }
    return true;
}

void
Rlog_Fail(ReplicatedLog *rlog, Instant now)
{
    bool was_leader = rlog->role == Rlog_LEADER;

    rlog->has_failed = true;
    rlog->role = Rlog_FOLLOWER;
    rlog->leader_identity = 0;
    if (was_leader) {
        rlog->callbacks.on_role_change(rlog->callbacks.context, false,
                                       rlog->term, now);
    }
}

bool
Rlog_Bootstrap(ReplicatedLog *rlog, const RaftReplicaList *voters, Instant now)
{
    StrBuf data = {0};
    RaftEntry entry = {.term = 1, .index = 1, .kind = Rlog_ENTRY_REPLICAS};
    bool ok;

    if (!Rlog_IsBlank(rlog) || rlog->has_failed) {
        return false;
    }
    Rlog_PackReplicas(voters, &data);
    entry.data = StrBuf_View(&data);
    ok = rlog->callbacks.store_vote(rlog->callbacks.context, 1, 0) &&
         Rlog_StoreEntries(rlog, &entry, 1);
    StrBuf_Finish(&data);
    if (!ok) {
        Rlog_Fail(rlog, now);
        return false;
    }
    rlog->term = 1;
    rlog->election_at = now;
    return true;
}

Span
Rlog_ExpectedPause(const ReplicatedLog *rlog, Instant now)
{
    Span expected = rlog->pauses.second > rlog->earlier_pauses.second
                        ? rlog->pauses.second
                        : rlog->earlier_pauses.second;

    return now - rlog->period_began < 2 * PAUSE_PERIOD ? expected : 0;
}

static Span
limit_pause(const ReplicatedLog *rlog, Span pause)
{
    Span max = rlog->settings.election_timeout * PAUSE_MAX_TIMEOUTS;

    return pause < max ? pause : max;
}

static void
remember_pause(ReplicatedLog *rlog, Span pause, Instant now)
{
    if (now - rlog->period_began >= PAUSE_PERIOD) {
        rlog->earlier_pauses = now - rlog->period_began < 2 * PAUSE_PERIOD
                                   ? rlog->pauses
                                   : (RaftPauses){0};
        rlog->pauses = (RaftPauses){0};
        rlog->period_began = now;
    }
    if (pause > rlog->pauses.longest) {
        rlog->pauses.second = rlog->pauses.longest;
        rlog->pauses.longest = pause;
    }
    else if (pause > rlog->pauses.second) {
        rlog->pauses.second = pause;
    }
}

/* The first pause moves the election timer by its length, and that of a
 * candidate by twice as much, since its voters store their votes after it has
 * stored its own.  Further ones move it by one election timeout at most: else
 * a replica that hardly runs never calls an election. */
static void
shift_election(ReplicatedLog *rlog, Span pause)
{
    Span shift = pause;

    if (rlog->role == Rlog_CANDIDATE) {
        shift += limit_pause(rlog, pause);
    }
    if (rlog->is_election_shifted) {
        shift = pause < rlog->election_shift_left ? pause
                                                  : rlog->election_shift_left;
        rlog->election_shift_left -= shift;
    }
    rlog->is_election_shifted = true;
    rlog->election_at += shift;
}

/* To be called first with each message and tick. */
static void
note_own_pause(ReplicatedLog *rlog, Instant now)
{
    Span pause = rlog->active_at ? now - rlog->active_at : 0;

    rlog->active_at = now;
    if (pause >= rlog->settings.election_timeout / PAUSE_MIN_DIVISOR) {
        remember_pause(rlog, limit_pause(rlog, pause), now);
        shift_election(rlog, pause);
        rlog->step_down_at += pause;
    }
}

void
Rlog_OnMessage(ReplicatedLog *rlog, const RaftMessage *message, Instant now)
{
    if (rlog->has_failed || message->to != rlog->settings.identity ||
        message->from == rlog->settings.identity) {
        return;
    }
    note_own_pause(rlog, now);
    switch (message->kind) {
    case Rlog_VOTE_REQUEST:
        Rlog_OnVoteRequest(rlog, message, now);
        break;
    case Rlog_VOTE_REPLY:
        Rlog_OnVoteReply(rlog, message, now);
        break;
    case Rlog_APPEND_REQUEST:
        Rlog_OnAppendRequest(rlog, message, now);
        break;
    case Rlog_APPEND_REPLY:
        Rlog_OnAppendReply(rlog, message, now);
        break;
    case Rlog_INSTALL_SNAPSHOT:
        Rlog_OnInstallSnapshot(rlog, message, now);
        break;
    case Rlog_READ_INDEX_REQUEST:
        Rlog_OnReadIndexRequest(rlog, message, now);
        break;
    case Rlog_READ_INDEX_REPLY:
        Rlog_OnReadIndexReply(rlog, message, now);
        break;
    case Rlog_MESSAGE_KINDS:
        break;
    }
}

void
Rlog_OnTick(ReplicatedLog *rlog, Instant now)
{
    if (rlog->has_failed) {
        return;
    }
    note_own_pause(rlog, now);
    if (rlog->role == Rlog_LEADER) {
        Rlog_TickLeader(rlog, now);
    }
    else {
        Rlog_TickElection(rlog, now);
    }
    Rlog_Compact(rlog);
    if (rlog->has_failed) {
        Rlog_Fail(rlog, now);
    }
}

uint64_t
Rlog_Propose(ReplicatedLog *rlog, Str data, Instant now)
{
    if (!Rlog_IsLeading(rlog, now)) {
        return 0;
    }
    return Rlog_AppendAsLeader(rlog, Rlog_ENTRY_CHANGE, data, now);
}

static bool
is_ready_leader(const ReplicatedLog *rlog)
{
    return rlog->role == Rlog_LEADER && !rlog->has_failed &&
           Rlog_TermAt(rlog, rlog->commit_index) == rlog->term;
}

bool
Rlog_IsLeading(const ReplicatedLog *rlog, Instant now)
{
    return is_ready_leader(rlog) && Rlog_HasRecentQuorum(rlog, now);
}

/* An earlier leader's last answer of a quorum was to an append from before the
 * votes for this one: who has voted in a later term answers no earlier one. */
bool
Rlog_LeadsAlone(const ReplicatedLog *rlog, Instant now)
{
    return Rlog_IsLeading(rlog, now) &&
           now - rlog->leader_since >= rlog->settings.election_timeout;
}

bool
Rlog_IsCurrentSince(const ReplicatedLog *rlog, Instant since)
{
    if (is_ready_leader(rlog) && Rlog_QuorumAckedAt(rlog) >= since) {
        return true;
    }
    return !rlog->has_failed && rlog->read_confirmed_at >= since &&
           rlog->commit_index >= rlog->read_index;
}

bool
Rlog_HasLeaderContact(const ReplicatedLog *rlog, Instant now)
{
    return Rlog_IsLeading(rlog, now) ||
           (rlog->leader_identity != 0 &&
            now - rlog->leader_heard_at < rlog->settings.election_timeout);
}

bool
Rlog_HasCaughtUp(const ReplicatedLog *rlog)
{
    return rlog->startup_commit_index > 0 &&
           rlog->commit_index >= rlog->startup_commit_index;
}

bool
Rlog_IsBlank(const ReplicatedLog *rlog)
{
    return rlog->term == 0 && Rlog_LastIndex(rlog) == 0;
}
