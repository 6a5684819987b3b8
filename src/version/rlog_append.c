#include "version/rlog_impl.h"

/* Many who ask at once are answered by one round. */
#define ROUNDS_APART Span_MS(5)

/* Of the election timeout: a leader that no quorum answers takes no change
 * any more, a little before others may elect the next one. */
enum { QUORUM_PERMILLE = 800 };

typedef uint64_t (*ProgressValue)(const RlogProgress *progress);

/* The highest value that a quorum of voters has reached, this replica with
 * OWN among them; 0 when there is no quorum. */
static uint64_t
quorum_value(const Rlog *rlog, uint64_t own, ProgressValue value_of)
{
    uint64_t values[Rlog_REPLICAS_MAX] = {0};
    uint32_t count = 0;
    uint32_t quorum = Rlog_Quorum(&rlog->replicas);

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
acked_of(const RlogProgress *progress)
{
    return (uint64_t)progress->acked;
}

static uint64_t
match_of(const RlogProgress *progress)
{
    return progress->match;
}

Instant
Rlog_QuorumAcked(const Rlog *rlog)
{
    return (Instant)quorum_value(rlog, Instant_NEVER, acked_of);
}

bool
Rlog_HasQuorum(const Rlog *rlog, Instant now)
{
    Instant acked = Rlog_QuorumAcked(rlog);

    return acked > 0 &&
           now - acked < rlog->settings.election / 1000 * QUORUM_PERMILLE;
}

static uint32_t
take_batch(const Rlog *rlog, uint64_t from, RlogEntry *entries)
{
    uint32_t count = 0;
    size_t bytes = 0;
    const RlogEntry *entry;

    while (count < Rlog_BATCH_MAX &&
           (entry = Rlog_EntryAt(rlog, from + count))) {
        bytes += entry->data.len;
        if (count > 0 && bytes > Rlog_BATCH_BYTES) {
            break;
        }
        entries[count++] = *entry;
    }
    return count;
}

static void
send_snapshot(Rlog *rlog, RlogProgress *to, Instant now)
{
    RlogMessage message = {
        .kind = Rlog_SNAPSHOT,
        .from = rlog->settings.identity,
        .to = to->identity,
        .term = rlog->term,
        .last_term = rlog->snapshot_term,
        .last_index = rlog->snapshot_index,
        .commit = rlog->commit,
        .round = (uint64_t)now,
        .snapshot = StrBuf_View(&rlog->snapshot),
    };

    to->snapshot_at = now;
    rlog->out.send(rlog->out.context, &message);
}

static void
send_append(Rlog *rlog, RlogProgress *to, Instant now)
{
    uint64_t before = to->next - 1;
    RlogMessage message = {
        .kind = Rlog_APPEND,
        .from = rlog->settings.identity,
        .to = to->identity,
        .term = rlog->term,
        .commit = rlog->commit,
        .round = (uint64_t)now,
    };

    if (before < rlog->snapshot_index) {
        if (to->snapshot_at == 0 ||
            now - to->snapshot_at >= rlog->settings.election) {
            send_snapshot(rlog, to, now);
            return;
        }
        /* On its way: meanwhile only a heartbeat. */
        before = rlog->snapshot_index;
    }
    else {
        message.entry_count = take_batch(rlog, to->next, message.entries);
    }
    message.last_index = before;
    message.last_term = Rlog_TermAt(rlog, before);
    rlog->out.send(rlog->out.context, &message);
}

static void
send_all(Rlog *rlog, Instant now)
{
    rlog->beat_at = now + rlog->settings.heartbeat;
    rlog->sent_at = now;
    for (uint32_t i = 0; i < rlog->progress_count; i++) {
        send_append(rlog, &rlog->progress[i], now);
    }
}

/* Entries of earlier terms are committed by one of this term after them. */
static bool
advance_commit(Rlog *rlog)
{
    uint64_t index = quorum_value(rlog, Rlog_LastIndex(rlog), match_of);

    if (index <= rlog->commit || Rlog_TermAt(rlog, index) != rlog->term) {
        return false;
    }
    Rlog_CommitTo(rlog, index);
    return true;
}

uint64_t
Rlog_AppendOwn(Rlog *rlog, RlogKind kind, Str data, Instant now)
{
    RlogEntry entry = {
        .term = rlog->term,
        .index = Rlog_LastIndex(rlog) + 1,
        .kind = kind,
        .data = data,
    };

    if (!Rlog_Store(rlog, &entry, 1)) {
        Rlog_Fail(rlog, now);
        return 0;
    }
    advance_commit(rlog);
    send_all(rlog, now);
    return entry.index;
}

void
Rlog_BecomeLeader(Rlog *rlog, Instant now)
{
    rlog->role = Rlog_LEADER;
    rlog->leader = rlog->settings.identity;
    rlog->led_at = now;
    rlog->progress_count = 0;
    Rlog_UseReplicas(rlog);
    if (rlog->settled == 0) {
        rlog->settled = Rlog_LastIndex(rlog) + 1;
    }
    rlog->out.role(rlog->out.context, true, rlog->term, now);
    Rlog_AppendOwn(rlog, Rlog_NOOP, (Str){0}, now);
}

void
Rlog_TickLeader(Rlog *rlog, Instant now)
{
    Instant acked = Rlog_QuorumAcked(rlog);
    Instant since = acked > rlog->led_at ? acked : rlog->led_at;

    if (now - since >= rlog->settings.election) {
        Rlog_BecomeFollower(rlog, rlog->term, 0, now);
        return;
    }
    if (now >= rlog->beat_at) {
        send_all(rlog, now);
    }
    Rlog_TickReplicas(rlog, now);
}

void
Rlog_AskRound(Rlog *rlog, Instant now)
{
    Instant due = rlog->sent_at + ROUNDS_APART;

    if (now >= due) {
        send_all(rlog, now);
    }
    else if (rlog->beat_at > due) {
        rlog->beat_at = due;
    }
}

static void
answer(Rlog *rlog, const RlogMessage *to, bool granted, uint64_t index)
{
    RlogMessage message = {
        .kind = Rlog_APPENDED,
        .from = rlog->settings.identity,
        .to = to->from,
        .term = rlog->term,
        .granted = granted,
        .last_index = index,
        .round = to->round,
    };

    rlog->out.send(rlog->out.context, &message);
}

/* Follow the sender, unless its term is over; false when it is. */
static bool
follow(Rlog *rlog, const RlogMessage *message, Instant now)
{
    if (message->term < rlog->term) {
        answer(rlog, message, false, 0);
        return false;
    }
    if (message->term == rlog->term && rlog->role == Rlog_LEADER) {
        return false; /* two leaders of one term: not a message of ours */
    }
    Rlog_BecomeFollower(rlog, message->term, message->from, now);
    rlog->heard_at = now;
    return !rlog->failed;
}

static bool
matches_before(const Rlog *rlog, const RlogMessage *message)
{
    uint64_t index = message->last_index;

    /* What a snapshot covers is committed, and so the same everywhere. */
    return index < rlog->snapshot_index ||
           (index <= Rlog_LastIndex(rlog) &&
            Rlog_TermAt(rlog, index) == message->last_term);
}

/* Entries must follow one another: the decoder does not check that. */
static bool
is_sequence(const RlogMessage *message)
{
    uint64_t term = message->last_term;

    for (uint32_t i = 0; i < message->entry_count; i++) {
        const RlogEntry *entry = &message->entries[i];
        if (entry->index != message->last_index + 1 + i ||
            entry->term < term || entry->term > message->term) {
            return false;
        }
        term = entry->term;
    }
    return true;
}

/* Store what is new of the entries; false when the disk or the sender is
 * wrong. */
static bool
take_entries(Rlog *rlog, const RlogMessage *message)
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
    if (message->entries[i].index <= rlog->commit) {
        return false; /* would change what is committed */
    }
    if (message->entries[i].index <= Rlog_LastIndex(rlog) &&
        !Rlog_Cut(rlog, message->entries[i].index)) {
        return false;
    }
    return Rlog_Store(rlog, &message->entries[i], message->entry_count - i);
}

void
Rlog_OnAppend(Rlog *rlog, const RlogMessage *message, Instant now)
{
    uint64_t last = message->last_index + message->entry_count;
    uint64_t commit = message->commit < last ? message->commit : last;

    if (!is_sequence(message) || !follow(rlog, message, now)) {
        return;
    }
    if (!matches_before(rlog, message)) {
        uint64_t hint = message->last_index ? message->last_index - 1 : 0;
        uint64_t own = Rlog_LastIndex(rlog);
        answer(rlog, message, false, hint < own ? hint : own);
        return;
    }
    if (!take_entries(rlog, message)) {
        Rlog_Fail(rlog, now);
        return;
    }
    if (rlog->settled == 0 && message->commit > 0) {
        rlog->settled = message->commit;
    }
    Rlog_CommitTo(rlog, commit);
    answer(rlog, message, true, last);
}

void
Rlog_OnSnapshot(Rlog *rlog, const RlogMessage *message, Instant now)
{
    if (!follow(rlog, message, now)) {
        return;
    }
    if (message->last_index > rlog->commit &&
        !Rlog_TakeSnapshot(rlog, message->last_term, message->last_index,
                           message->snapshot)) {
        Rlog_Fail(rlog, now);
        return;
    }
    if (rlog->settled == 0) {
        rlog->settled = message->commit;
    }
    answer(rlog, message, true, message->last_index);
}

static void
on_refused(Rlog *rlog, RlogProgress *from, const RlogMessage *message,
           Instant now)
{
    uint64_t next = message->last_index + 1;

    if (next < from->next) {
        from->next = next > from->match ? next : from->match + 1;
        send_append(rlog, from, now);
    }
}

void
Rlog_OnAppended(Rlog *rlog, const RlogMessage *message, Instant now)
{
    RlogProgress *from = Rlog_FindProgress(rlog, message->from);
    Instant round = (Instant)message->round;

    if (message->term > rlog->term) {
        Rlog_BecomeFollower(rlog, message->term, 0, now);
        return;
    }
    if (rlog->role != Rlog_LEADER || message->term != rlog->term || !from ||
        round > now) {
        return;
    }
    if (round > from->acked) {
        from->acked = round;
    }
    if (!message->granted) {
        on_refused(rlog, from, message, now);
        return;
    }
    if (message->last_index > from->match &&
        message->last_index <= Rlog_LastIndex(rlog)) {
        from->match = message->last_index;
    }
    if (from->next <= from->match) {
        from->next = from->match + 1;
    }
    if (advance_commit(rlog)) {
        send_all(rlog, now); /* tell the commit at once */
    }
    else if (from->next <= Rlog_LastIndex(rlog)) {
        send_append(rlog, from, now);
    }
    Rlog_AnswerReads(rlog);
}
