#include "version/rlog_impl.h"

/* Minimum time between the rounds of appends to all replicas that reads
 * require, so that one round confirms many reads. */
#define HEARTBEAT_SPACING_MIN Span_MS(5)

/* Maximum age of a quorum's answer, in permille of the election timeout.  A
 * leader that no quorum answers stops accepting changes shortly before the
 * other replicas may elect a new leader. */
enum { QUORUM_AGE_MAX_PERMILLE = 800 };

/* A snapshot is sent again after at most 2 to the power of this, less one,
 * election timeouts. */
enum { SNAPSHOT_DOUBLINGS_MAX = 4 };

typedef uint64_t (*ProgressValue)(const FollowerProgress *progress);

/* The highest value that a quorum of voters has reached, or 0 when too few
 * voters are known.  OWN is the value of this replica. */
static uint64_t
find_quorum_value(const ReplicatedLog *rlog, uint64_t own,
                  ProgressValue value_of)
{
    uint64_t values[Rlog_REPLICAS_MAX] = {0};
    uint32_t count = 0;
    uint32_t quorum = Rlog_QuorumSize(&rlog->replicas);

    if (Rlog_IsVoter(rlog, rlog->settings.identity)) {
        values[count++] = own;
    }
    for (uint32_t i = 0; i < rlog->progress_count; i++) {
        uint64_t value = value_of(&rlog->progress[i]);
        uint32_t at = count;
        if (!Rlog_IsVoter(rlog, rlog->progress[i].identity)) {
            continue;
        }
        for (; at > 0 && values[at - 1] < value; at--) {
            values[at] = values[at - 1];
        }
        values[at] = value;
        count++;
    }
    return count >= quorum ? values[quorum - 1] : 0;
}

static uint64_t
get_acked_at(const FollowerProgress *progress)
{
    return (uint64_t)progress->acked_at;
}

static uint64_t
get_match_index(const FollowerProgress *progress)
{
    return progress->match_index;
}

Instant
Rlog_QuorumAckedAt(const ReplicatedLog *rlog)
{
    return (Instant)find_quorum_value(rlog, Instant_NEVER, get_acked_at);
}

bool
Rlog_HasRecentQuorum(const ReplicatedLog *rlog, Instant now)
{
    Instant acked = Rlog_QuorumAckedAt(rlog);

    return acked > 0 && now - acked < rlog->settings.election_timeout / 1000 *
                                          QUORUM_AGE_MAX_PERMILLE;
}

static uint32_t
collect_batch(const ReplicatedLog *rlog, uint64_t from, RaftEntry *entries)
{
    uint32_t count = 0;
    size_t bytes = 0;
    const RaftEntry *entry;

    while (count < Rlog_BATCH_ENTRIES_MAX &&
           (entry = Rlog_EntryAt(rlog, from + count))) {
        bytes += entry->data.len;
        if (count > 0 && bytes > Rlog_BATCH_BYTES_MAX) {
            break;
        }
        entries[count++] = *entry;
    }
    return count;
}

static void
send_snapshot(ReplicatedLog *rlog, FollowerProgress *to, Instant now)
{
    RaftMessage message = {
        .kind = Rlog_INSTALL_SNAPSHOT,
        .from = rlog->settings.identity,
        .to = to->identity,
        .term = rlog->term,
        .last_term = rlog->snapshot_term,
        .last_index = rlog->snapshot_index,
        .commit_index = rlog->commit_index,
        .request_sent_at = (uint64_t)now,
        .snapshot = StrBuf_View(&rlog->snapshot),
    };

    to->snapshot_sent_at = now;
    to->snapshot_tries++;
    rlog->callbacks.send(rlog->callbacks.context, &message);
}

/* A snapshot is sent again after an election timeout, then after twice as long
 * each time: a link may need longer for it. */
static bool
is_snapshot_due(const ReplicatedLog *rlog, const FollowerProgress *to,
                Instant now)
{
    uint32_t doublings = to->snapshot_tries < SNAPSHOT_DOUBLINGS_MAX
                             ? to->snapshot_tries
                             : SNAPSHOT_DOUBLINGS_MAX;
    Span wait = rlog->settings.election_timeout << doublings;

    return to->snapshot_sent_at == 0 || now - to->snapshot_sent_at >= wait / 2;
}

/* What was sent is taken as on its way, and not sent again until the follower
 * says that it lacks it: connections keep the order. */
static void
send_append(ReplicatedLog *rlog, FollowerProgress *to, Instant now)
{
    uint64_t prev_index = to->next_index - 1;
    RaftMessage message = {
        .kind = Rlog_APPEND_REQUEST,
        .from = rlog->settings.identity,
        .to = to->identity,
        .term = rlog->term,
        .commit_index = rlog->commit_index,
        .request_sent_at = (uint64_t)now,
    };

    if (prev_index < rlog->snapshot_index) {
        if (is_snapshot_due(rlog, to, now)) {
            send_snapshot(rlog, to, now);
            return;
        }
        /* The snapshot is in transit: send only a heartbeat. */
        prev_index = rlog->snapshot_index;
    }
    else {
        message.entry_count =
            collect_batch(rlog, to->next_index, message.entries);
        to->next_index += message.entry_count;
    }
    message.last_index = prev_index;
    message.last_term = Rlog_TermAt(rlog, prev_index);
    rlog->callbacks.send(rlog->callbacks.context, &message);
}

static void
send_append_to_all(ReplicatedLog *rlog, Instant now)
{
    rlog->next_heartbeat_at = now + rlog->settings.heartbeat_interval;
    rlog->heartbeat_sent_at = now;
    for (uint32_t i = 0; i < rlog->progress_count; i++) {
        send_append(rlog, &rlog->progress[i], now);
    }
}

/* Commits what a quorum stores.  Entries of earlier terms are committed only
 * together with a later entry of this term. */
static bool
advance_commit(ReplicatedLog *rlog)
{
    uint64_t index =
        find_quorum_value(rlog, Rlog_LastIndex(rlog), get_match_index);

    if (index <= rlog->commit_index ||
        Rlog_TermAt(rlog, index) != rlog->term) {
        return false;
    }
    Rlog_CommitTo(rlog, index);
    return true;
}

uint64_t
Rlog_AppendAsLeader(ReplicatedLog *rlog, RaftEntryKind kind, Str data,
                    Instant now)
{
    RaftEntry entry = {
        .term = rlog->term,
        .index = Rlog_LastIndex(rlog) + 1,
        .kind = kind,
        .data = data,
    };

    /* The followers store the entry while this replica does.  It counts itself
     * only once it has. */
    Rlog_KeepEntries(rlog, &entry, 1);
    send_append_to_all(rlog, now);
    if (!rlog->callbacks.store_entries(rlog->callbacks.context, &entry, 1)) {
        Rlog_Fail(rlog, now);
        return 0;
    }
    if (advance_commit(rlog)) {
        send_append_to_all(rlog, now);
    }
    return entry.index;
}

void
Rlog_BecomeLeader(ReplicatedLog *rlog, Instant now)
{
    rlog->role = Rlog_LEADER;
    rlog->leader_identity = rlog->settings.identity;
    rlog->leader_since = now;
    rlog->progress_count = 0;
    Rlog_RefreshReplicas(rlog);
    if (rlog->startup_commit_index == 0) {
        rlog->startup_commit_index = Rlog_LastIndex(rlog) + 1;
    }
    rlog->callbacks.on_role_change(rlog->callbacks.context, true, rlog->term,
                                   now);
    Rlog_AppendAsLeader(rlog, Rlog_ENTRY_NOOP, (Str){0}, now);
}

/* Whether no quorum answered for too long.  Followers that store an entry
 * answer only then, and what they were sent meanwhile waits as well. */
static bool
has_lost_quorum(ReplicatedLog *rlog, Instant now)
{
    Instant heard = Rlog_QuorumAckedAt(rlog);

    if (heard == Instant_NEVER) {
        return false;
    }
    heard = heard > rlog->leader_since ? heard : rlog->leader_since;
    if (heard != rlog->quorum_heard_at) {
        rlog->quorum_heard_at = heard;
        rlog->step_down_at = heard + rlog->settings.election_timeout +
                             2 * Rlog_ExpectedPause(rlog, now);
    }
    return now >= rlog->step_down_at;
}

void
Rlog_TickLeader(ReplicatedLog *rlog, Instant now)
{
    if (has_lost_quorum(rlog, now)) {
        Rlog_BecomeFollower(rlog, rlog->term, 0, now);
        return;
    }
    if (now >= rlog->next_heartbeat_at) {
        send_append_to_all(rlog, now);
    }
    Rlog_TickMembership(rlog, now);
}

void
Rlog_ScheduleHeartbeat(ReplicatedLog *rlog, Instant now)
{
    Instant due = rlog->heartbeat_sent_at + HEARTBEAT_SPACING_MIN;

    if (now >= due) {
        send_append_to_all(rlog, now);
    }
    else if (rlog->next_heartbeat_at > due) {
        rlog->next_heartbeat_at = due;
    }
}

static void
send_append_reply(ReplicatedLog *rlog, const RaftMessage *to, bool granted,
                  uint64_t index)
{
    RaftMessage message = {
        .kind = Rlog_APPEND_REPLY,
        .from = rlog->settings.identity,
        .to = to->from,
        .term = rlog->term,
        .granted = granted,
        .last_index = index,
        .request_sent_at = to->request_sent_at,
    };

    rlog->callbacks.send(rlog->callbacks.context, &message);
}

/* Becomes a follower of the sender.  Returns false, and rejects the request,
 * when the sender's term is older than this replica's. */
static bool
accept_leader(ReplicatedLog *rlog, const RaftMessage *message, Instant now)
{
    if (message->term < rlog->term) {
        send_append_reply(rlog, message, false, 0);
        return false;
    }
    if (message->term == rlog->term && rlog->role == Rlog_LEADER) {
        return false; /* a term has one leader: the message is invalid */
    }
    Rlog_BecomeFollower(rlog, message->term, message->from, now);
    rlog->leader_heard_at = now;
    return !rlog->has_failed;
}

static bool
matches_previous_entry(const ReplicatedLog *rlog, const RaftMessage *message)
{
    uint64_t index = message->last_index;

    /* Entries that a snapshot covers are committed, so they match. */
    return index < rlog->snapshot_index ||
           (index <= Rlog_LastIndex(rlog) &&
            Rlog_TermAt(rlog, index) == message->last_term);
}

/* Whether the indexes of the entries are consecutive and their terms do not
 * decrease; the message decoder does not check that. */
static bool
is_contiguous(const RaftMessage *message)
{
    uint64_t term = message->last_term;

    for (uint32_t i = 0; i < message->entry_count; i++) {
        const RaftEntry *entry = &message->entries[i];
        if (entry->index != message->last_index + 1 + i ||
            entry->term < term || entry->term > message->term) {
            return false;
        }
        term = entry->term;
    }
    return true;
}

/* Stores the entries that are new, after removing those that conflict.
 * Returns false when storing failed or a committed entry would change. */
static bool
store_new_entries(ReplicatedLog *rlog, const RaftMessage *message)
{
    uint32_t i = 0;

    while (i < message->entry_count &&
           (message->entries[i].index <= rlog->snapshot_index ||
            Rlog_TermAt(rlog, message->entries[i].index) ==
                message->entries[i].term)) {
        i++;
    }
    if (i == message->entry_count) {
        return true;
    }
    if (message->entries[i].index <= rlog->commit_index) {
        return false; /* conflicts with a committed entry */
    }
    if (message->entries[i].index <= Rlog_LastIndex(rlog) &&
        !Rlog_TruncateFrom(rlog, message->entries[i].index)) {
        return false;
    }
    return Rlog_StoreEntries(rlog, &message->entries[i],
                             message->entry_count - i);
}

void
Rlog_OnAppendRequest(ReplicatedLog *rlog, const RaftMessage *message,
                     Instant now)
{
    uint64_t last = message->last_index + message->entry_count;
    uint64_t commit =
        message->commit_index < last ? message->commit_index : last;

    if (!is_contiguous(message) || !accept_leader(rlog, message, now)) {
        return;
    }
    if (!matches_previous_entry(rlog, message)) {
        uint64_t hint = message->last_index ? message->last_index - 1 : 0;
        uint64_t own = Rlog_LastIndex(rlog);
        send_append_reply(rlog, message, false, hint < own ? hint : own);
        return;
    }
    if (!store_new_entries(rlog, message)) {
        Rlog_Fail(rlog, now);
        return;
    }
    if (rlog->startup_commit_index == 0 && message->commit_index > 0) {
        rlog->startup_commit_index = message->commit_index;
    }
    Rlog_CommitTo(rlog, commit);
    send_append_reply(rlog, message, true, last);
}

void
Rlog_OnInstallSnapshot(ReplicatedLog *rlog, const RaftMessage *message,
                       Instant now)
{
    if (!accept_leader(rlog, message, now)) {
        return;
    }
    if (message->last_index > rlog->commit_index &&
        !Rlog_InstallSnapshot(rlog, message->last_term, message->last_index,
                              message->snapshot)) {
        Rlog_Fail(rlog, now);
        return;
    }
    if (rlog->startup_commit_index == 0) {
        rlog->startup_commit_index = message->commit_index;
    }
    send_append_reply(rlog, message, true, message->last_index);
}

static void
on_append_rejected(ReplicatedLog *rlog, FollowerProgress *from,
                   const RaftMessage *message, Instant now)
{
    uint64_t next = message->last_index + 1;

    if (next < from->next_index &&
        (Instant)message->request_sent_at >= from->rewound_at) {
        from->next_index =
            next > from->match_index ? next : from->match_index + 1;
        from->rewound_at = now;
        send_append(rlog, from, now);
    }
    else if (from->next_index <= rlog->snapshot_index &&
             (Instant)message->request_sent_at > from->snapshot_sent_at) {
        /* It got what was sent after the snapshot, but not that. */
        from->snapshot_sent_at = 0;
        from->snapshot_tries = 0;
        send_append(rlog, from, now);
    }
}

void
Rlog_OnAppendReply(ReplicatedLog *rlog, const RaftMessage *message,
                   Instant now)
{
    FollowerProgress *from = Rlog_FindProgress(rlog, message->from);
    Instant sent_at = (Instant)message->request_sent_at;

    if (message->term > rlog->term) {
        Rlog_BecomeFollower(rlog, message->term, 0, now);
        return;
    }
    if (rlog->role != Rlog_LEADER || message->term != rlog->term || !from ||
        sent_at > now) {
        return;
    }
    if (sent_at > from->acked_at) {
        from->acked_at = sent_at;
    }
    if (!message->granted) {
        on_append_rejected(rlog, from, message, now);
        return;
    }
    if (message->last_index > from->match_index &&
        message->last_index <= Rlog_LastIndex(rlog)) {
        from->match_index = message->last_index;
        from->snapshot_tries = 0;
    }
    if (from->next_index <= from->match_index) {
        from->next_index = from->match_index + 1;
    }
    if (advance_commit(rlog)) {
        send_append_to_all(rlog, now); /* announces the commit index */
    }
    else if (from->next_index <= Rlog_LastIndex(rlog)) {
        send_append(rlog, from, now);
    }
    Rlog_SendReadIndexReplies(rlog);
}
