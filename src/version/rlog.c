#include "version/rlog.h"

#include "value/mem.h"
#include "version/rlog_impl.h"

void
Rlog_Init(Rlog *rlog, const RlogSettings *settings, const RlogOut *out,
          Rng *rng, Instant now)
{
    *rlog = (Rlog){
        .settings = *settings,
        .out = *out,
        .rng = rng,
    };
    Rlog_DelayElection(rlog, now);
    rlog->election_at = now + (rlog->election_at - now) / 2;
}

static void
drop_entries(Rlog *rlog, size_t from)
{
    for (size_t i = from; i < rlog->entry_count; i++) {
        Mem_Free((char *)rlog->entries[i].data.ptr);
    }
    rlog->entry_count = from;
}

void
Rlog_Finish(Rlog *rlog)
{
    drop_entries(rlog, 0);
    Mem_Free(rlog->entries);
    StrBuf_Finish(&rlog->snapshot);
    *rlog = (Rlog){0};
}

uint64_t
Rlog_LastIndex(const Rlog *rlog)
{
    return rlog->snapshot_index + rlog->entry_count;
}

uint64_t
Rlog_LastTerm(const Rlog *rlog)
{
    return Rlog_TermAt(rlog, Rlog_LastIndex(rlog));
}

const RlogEntry *
Rlog_EntryAt(const Rlog *rlog, uint64_t index)
{
    if (index <= rlog->snapshot_index || index > Rlog_LastIndex(rlog)) {
        return NULL;
    }
    return &rlog->entries[index - rlog->snapshot_index - 1];
}

uint64_t
Rlog_TermAt(const Rlog *rlog, uint64_t index)
{
    const RlogEntry *entry = Rlog_EntryAt(rlog, index);

    if (entry) {
        return entry->term;
    }
    return index == rlog->snapshot_index ? rlog->snapshot_term : 0;
}

static void
keep_entry(Rlog *rlog, const RlogEntry *entry)
{
    StrBuf copy = {0};

    if (rlog->entry_count == rlog->entry_cap) {
        rlog->entry_cap = rlog->entry_cap ? rlog->entry_cap * 2 : 16;
        rlog->entries =
            Mem_Resize(rlog->entries, rlog->entry_cap, sizeof(RlogEntry));
    }
    StrBuf_Append(&copy, entry->data);
    rlog->entries[rlog->entry_count] = *entry;
    rlog->entries[rlog->entry_count].data = StrBuf_View(&copy);
    rlog->entry_count++;
}

bool
Rlog_Store(Rlog *rlog, const RlogEntry *entries, size_t count)
{
    if (!rlog->out.store_entries(rlog->out.context, entries, count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        keep_entry(rlog, &entries[i]);
    }
    Rlog_UseReplicas(rlog);
    return true;
}

bool
Rlog_Cut(Rlog *rlog, uint64_t from_index)
{
    if (!rlog->out.truncate(rlog->out.context, from_index)) {
        return false;
    }
    drop_entries(rlog, from_index - rlog->snapshot_index - 1);
    Rlog_UseReplicas(rlog);
    return true;
}

void
Rlog_CommitTo(Rlog *rlog, uint64_t index)
{
    while (rlog->commit < index) {
        const RlogEntry *entry = Rlog_EntryAt(rlog, rlog->commit + 1);
        rlog->commit++;
        rlog->out.commit(rlog->out.context, entry);
    }
}

/* The replicas as of the last committed entry. */
static void
committed_replicas(const Rlog *rlog, RlogReplicas *replicas)
{
    *replicas = rlog->snapshot_replicas;
    for (size_t i = 0; i < rlog->entry_count; i++) {
        const RlogEntry *entry = &rlog->entries[i];
        if (entry->kind == Rlog_REPLICAS && entry->index <= rlog->commit) {
            Rlog_ReadReplicas(entry->data, replicas);
        }
    }
}

/* Forget the entries up to the snapshot's, which is kept in their place. */
static void
use_snapshot(Rlog *rlog, uint64_t term, uint64_t index)
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
        drop_entries(rlog, 0);
    }
    rlog->snapshot_term = term;
    rlog->snapshot_index = index;
    Rlog_UseReplicas(rlog);
}

void
Rlog_Compact(Rlog *rlog)
{
    StrBuf state = {0};
    StrBuf blob = {0};
    RlogReplicas replicas;
    uint64_t term = Rlog_TermAt(rlog, rlog->commit);

    if (rlog->commit - rlog->snapshot_index < rlog->settings.log_max) {
        return;
    }
    committed_replicas(rlog, &replicas);
    rlog->out.save_state(rlog->out.context, &state);
    Rlog_PackSnapshot(&replicas, StrBuf_View(&state), &blob);
    if (rlog->out.store_snapshot(rlog->out.context, term, rlog->commit,
                                 StrBuf_View(&blob))) {
        rlog->snapshot_replicas = replicas;
        StrBuf_Set(&rlog->snapshot, StrBuf_View(&blob));
        use_snapshot(rlog, term, rlog->commit);
    }
    else {
        rlog->failed = true;
    }
    StrBuf_Finish(&state);
    StrBuf_Finish(&blob);
}

/* Read BLOB, hand its state to the owner, and go on from it. */
static bool
load_snapshot(Rlog *rlog, uint64_t term, uint64_t index, Str blob)
{
    StrBuf state = {0};
    RlogReplicas replicas;
    bool good;

    good = Rlog_ReadSnapshot(blob, &replicas, &state) &&
           rlog->out.load_state(rlog->out.context, StrBuf_View(&state));
    StrBuf_Finish(&state);
    if (good) {
        rlog->snapshot_replicas = replicas;
        StrBuf_Set(&rlog->snapshot, blob);
        rlog->commit = index;
        use_snapshot(rlog, term, index);
    }
    return good;
}

bool
Rlog_TakeSnapshot(Rlog *rlog, uint64_t term, uint64_t index, Str snapshot)
{
    RlogReplicas replicas;
    StrBuf state = {0};
    bool readable = Rlog_ReadSnapshot(snapshot, &replicas, &state);

    StrBuf_Finish(&state);
    return readable &&
           rlog->out.store_snapshot(rlog->out.context, term, index,
                                    snapshot) &&
           load_snapshot(rlog, term, index, snapshot);
}

void
Rlog_RestoreVote(Rlog *rlog, uint64_t term, uint64_t voted_for)
{
    rlog->term = term;
    rlog->voted_for = voted_for;
}

bool
Rlog_RestoreSnapshot(Rlog *rlog, uint64_t term, uint64_t index, Str snapshot,
                     Err *err)
{
    return load_snapshot(rlog, term, index, snapshot) ||
           Err_SET(err, Err_CORRUPT, "snapshot of entry %llu not readable",
                   (unsigned long long)index);
}

bool
Rlog_RestoreEntry(Rlog *rlog, const RlogEntry *entry, Err *err)
{
    if (entry->index != Rlog_LastIndex(rlog) + 1 ||
        entry->term < Rlog_LastTerm(rlog)) {
        return Err_SET(err, Err_CORRUPT, "entry %llu after entry %llu",
                       (unsigned long long)entry->index,
                       (unsigned long long)Rlog_LastIndex(rlog));
    }
    keep_entry(rlog, entry);
    Rlog_UseReplicas(rlog);
    if (rlog->term < entry->term) {
        rlog->term = entry->term;
        rlog->voted_for = 0;
    }
    return true;
}

void
Rlog_Fail(Rlog *rlog, Instant now)
{
    bool led = rlog->role == Rlog_LEADER;

    rlog->failed = true;
    rlog->role = Rlog_FOLLOWER;
    rlog->leader = 0;
    if (led) {
        rlog->out.role(rlog->out.context, false, rlog->term, now);
    }
}

bool
Rlog_Found(Rlog *rlog, const RlogReplicas *voters, Instant now)
{
    StrBuf data = {0};
    RlogEntry entry = {.term = 1, .index = 1, .kind = Rlog_REPLICAS};
    bool good;

    if (!Rlog_IsBlank(rlog) || rlog->failed) {
        return false;
    }
    Rlog_PackReplicas(voters, &data);
    entry.data = StrBuf_View(&data);
    good = rlog->out.store_vote(rlog->out.context, 1, 0) &&
           Rlog_Store(rlog, &entry, 1);
    StrBuf_Finish(&data);
    if (!good) {
        Rlog_Fail(rlog, now);
        return false;
    }
    rlog->term = 1;
    rlog->election_at = now;
    return true;
}

void
Rlog_OnMessage(Rlog *rlog, const RlogMessage *message, Instant now)
{
    if (rlog->failed || message->to != rlog->settings.identity ||
        message->from == rlog->settings.identity) {
        return;
    }
    switch (message->kind) {
    case Rlog_VOTE:
        Rlog_OnVote(rlog, message, now);
        break;
    case Rlog_VOTED:
        Rlog_OnVoted(rlog, message, now);
        break;
    case Rlog_APPEND:
        Rlog_OnAppend(rlog, message, now);
        break;
    case Rlog_APPENDED:
        Rlog_OnAppended(rlog, message, now);
        break;
    case Rlog_SNAPSHOT:
        Rlog_OnSnapshot(rlog, message, now);
        break;
    case Rlog_READ:
        Rlog_OnRead(rlog, message, now);
        break;
    case Rlog_READ_DONE:
        Rlog_OnReadDone(rlog, message, now);
        break;
    case Rlog_MESSAGE_KINDS:
        break;
    }
}

void
Rlog_OnTick(Rlog *rlog, Instant now)
{
    if (rlog->failed) {
        return;
    }
    if (rlog->role == Rlog_LEADER) {
        Rlog_TickLeader(rlog, now);
    }
    else {
        Rlog_TickElection(rlog, now);
    }
    Rlog_Compact(rlog);
    if (rlog->failed) {
        Rlog_Fail(rlog, now);
    }
}

uint64_t
Rlog_Propose(Rlog *rlog, Str data, Instant now)
{
    if (!Rlog_IsLeading(rlog, now)) {
        return 0;
    }
    return Rlog_AppendOwn(rlog, Rlog_CHANGE, data, now);
}

static bool
leads(const Rlog *rlog)
{
    return rlog->role == Rlog_LEADER && !rlog->failed &&
           Rlog_TermAt(rlog, rlog->commit) == rlog->term;
}

bool
Rlog_IsLeading(const Rlog *rlog, Instant now)
{
    return leads(rlog) && Rlog_HasQuorum(rlog, now);
}

bool
Rlog_IsCurrent(const Rlog *rlog, Instant since)
{
    if (leads(rlog) && Rlog_QuorumAcked(rlog) >= since) {
        return true;
    }
    return !rlog->failed && rlog->read_done >= since &&
           rlog->commit >= rlog->read_index;
}

bool
Rlog_IsLinked(const Rlog *rlog, Instant now)
{
    return Rlog_IsLeading(rlog, now) ||
           (rlog->leader != 0 &&
            now - rlog->heard_at < rlog->settings.election);
}

bool
Rlog_IsSettled(const Rlog *rlog)
{
    return rlog->settled > 0 && rlog->commit >= rlog->settled;
}

bool
Rlog_IsBlank(const Rlog *rlog)
{
    return rlog->term == 0 && Rlog_LastIndex(rlog) == 0;
}
