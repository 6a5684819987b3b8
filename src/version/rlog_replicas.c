#include "value/pack.h"
#include "version/rlog_impl.h"

enum { REPLICA_FIELDS = 4, SNAPSHOT_FIELDS = 2 };

const RaftReplica *
Rlog_FindReplica(const RaftReplicaList *replicas, uint64_t identity)
{
    for (uint32_t i = 0; i < replicas->count; i++) {
        if (replicas->items[i].identity == identity) {
            return &replicas->items[i];
        }
    }
    return NULL;
}

bool
Rlog_IsVoter(const ReplicatedLog *rlog, uint64_t identity)
{
    const RaftReplica *found = Rlog_FindReplica(&rlog->replicas, identity);

    return found && found->is_voter;
}

static uint32_t
count_voters(const RaftReplicaList *replicas)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < replicas->count; i++) {
        count += replicas->items[i].is_voter;
    }
    return count;
}

uint32_t
Rlog_QuorumSize(const RaftReplicaList *replicas)
{
    return count_voters(replicas) / 2 + 1;
}

static void
pack_replica_items(Pack *pack, const RaftReplicaList *replicas)
{
    for (uint32_t i = 0; i < replicas->count; i++) {
        const RaftReplica *replica = &replicas->items[i];
        Pack_Array(pack, REPLICA_FIELDS);
        Pack_U64(pack, replica->identity);
        Pack_U64(pack, replica->addr);
        Pack_Bool(pack, replica->is_voter);
        Pack_Bool(pack, replica->is_initial);
    }
}

static bool
unpack_replica_items(Unpack *in, RaftReplicaList *replicas)
{
    uint32_t count = in->count;

    *replicas = (RaftReplicaList){0};
    if (count > Rlog_REPLICAS_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        Unpack item;
        RaftReplica *replica = &replicas->items[i];
        Unpack_Array(in, REPLICA_FIELDS, &item);
        replica->identity = Unpack_U64(&item);
        replica->addr = Unpack_U64(&item);
        replica->is_voter = Unpack_Bool(&item);
        replica->is_initial = Unpack_Bool(&item);
        if (!Unpack_Ok(&item, NULL)) {
            return false;
        }
    }
    replicas->count = count;
    return Unpack_Ok(in, NULL);
}

void
Rlog_PackReplicas(const RaftReplicaList *replicas, StrBuf *out)
{
    Pack pack;

    Pack_Init(&pack, replicas->count);
    pack_replica_items(&pack, replicas);
    StrBuf_Set(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

bool
Rlog_UnpackReplicas(Str bytes, RaftReplicaList *replicas)
{
    Unpack in;
    bool ok;

    if (!Unpack_Init(&in, bytes, NULL)) {
        return false;
    }
    ok = unpack_replica_items(&in, replicas);
    Unpack_Finish(&in);
    return ok;
}

void
Rlog_PackSnapshot(const RaftReplicaList *replicas, Str state, StrBuf *out)
{
    Pack pack;

    Pack_Init(&pack, SNAPSHOT_FIELDS);
    Pack_Array(&pack, replicas->count);
    pack_replica_items(&pack, replicas);
    Pack_Str(&pack, state);
    StrBuf_Set(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

bool
Rlog_UnpackSnapshot(Str bytes, RaftReplicaList *replicas, StrBuf *state)
{
    Unpack in;
    Unpack list;
    bool ok;

    if (!Unpack_Init(&in, bytes, NULL)) {
        return false;
    }
    Unpack_Array(&in, Rlog_REPLICAS_MAX, &list);
    ok = unpack_replica_items(&list, replicas);
    StrBuf_Set(state, Unpack_Str(&in));
    ok = Unpack_Ok(&in, NULL) && ok;
    Unpack_Finish(&in);
    return ok;
}

FollowerProgress *
Rlog_FindProgress(ReplicatedLog *rlog, uint64_t identity)
{
    for (uint32_t i = 0; i < rlog->progress_count; i++) {
        if (rlog->progress[i].identity == identity) {
            return &rlog->progress[i];
        }
    }
    return NULL;
}

/* Keeps the progress of replicas that stay in the list, and starts it for new
 * ones. */
static void
rebuild_progress(ReplicatedLog *rlog)
{
    FollowerProgress kept[Rlog_REPLICAS_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        uint64_t identity = rlog->replicas.items[i].identity;
        FollowerProgress *old = Rlog_FindProgress(rlog, identity);
        if (identity == rlog->settings.identity) {
            continue;
        }
        kept[count] =
            old ? *old
                : (FollowerProgress){.identity = identity,
                                     .next_index = Rlog_LastIndex(rlog) + 1};
        count++;
    }
    for (uint32_t i = 0; i < count; i++) {
        rlog->progress[i] = kept[i];
    }
    rlog->progress_count = count;
}

void
Rlog_RefreshReplicas(ReplicatedLog *rlog)
{
    uint64_t index = rlog->snapshot_index;
    RaftReplicaList replicas = rlog->snapshot_replicas;

    for (size_t i = rlog->entry_count; i > 0; i--) {
        const RaftEntry *entry = &rlog->entries[i - 1];
        if (entry->kind == Rlog_ENTRY_REPLICAS) {
            Rlog_UnpackReplicas(entry->data, &replicas);
            index = entry->index;
            break;
        }
    }
    rlog->replicas = replicas;
    rlog->replicas_index = index;
    rebuild_progress(rlog);
    rlog->callbacks.on_replicas_change(rlog->callbacks.context,
                                       &rlog->replicas);
}

/* Whether the list may change: the last change is committed, and so is an
 * entry of this leader's term. */
static bool
can_change_membership(const ReplicatedLog *rlog, Instant now)
{
    return Rlog_IsLeading(rlog, now) &&
           rlog->replicas_index <= rlog->commit_index;
}

static void
propose_replicas(ReplicatedLog *rlog, const RaftReplicaList *replicas,
                 Instant now)
{
    StrBuf data = {0};

    Rlog_PackReplicas(replicas, &data);
    Rlog_AppendAsLeader(rlog, Rlog_ENTRY_REPLICAS, StrBuf_View(&data), now);
    StrBuf_Finish(&data);
}

static void
remove_at(RaftReplicaList *replicas, uint32_t at)
{
    replicas->count--;
    for (uint32_t i = at; i < replicas->count; i++) {
        replicas->items[i] = replicas->items[i + 1];
    }
}

/* Removes a learner at ADDR, which has not caught up yet: a newer identity
 * there replaces it. */
static void
remove_learner_of_addr(RaftReplicaList *replicas, Addr addr)
{
    for (uint32_t i = 0; i < replicas->count; i++) {
        if (replicas->items[i].addr == addr && !replicas->items[i].is_voter) {
            remove_at(replicas, i);
            return;
        }
    }
}

void
Rlog_OnReplicaSeen(ReplicatedLog *rlog, uint64_t identity, Addr addr,
                   Instant heard_at, Instant now)
{
    RaftReplicaList next = rlog->replicas;
    FollowerProgress *progress = Rlog_FindProgress(rlog, identity);

    if (progress) {
        progress->seen_at = heard_at;
    }
    if (!can_change_membership(rlog, now) ||
        Rlog_FindReplica(&next, identity)) {
        return;
    }
    remove_learner_of_addr(&next, addr);
    if (next.count == Rlog_REPLICAS_MAX) {
        return;
    }
    next.items[next.count++] =
        (RaftReplica){.identity = identity, .addr = addr};
    propose_replicas(rlog, &next, now);
    progress = Rlog_FindProgress(rlog, identity);
    if (progress) {
        progress->seen_at = heard_at;
    }
}

static bool
is_unresponsive(ReplicatedLog *rlog, uint64_t identity, Instant now)
{
    const FollowerProgress *progress = Rlog_FindProgress(rlog, identity);

    return progress &&
           now - progress->acked_at >= rlog->settings.election_timeout;
}

void
Rlog_OnUnlistedAddr(ReplicatedLog *rlog, Addr addr, uint32_t listed_count,
                    Instant now)
{
    RaftReplicaList next = rlog->replicas;

    if (!can_change_membership(rlog, now) ||
        count_voters(&next) <= listed_count) {
        return;
    }
    for (uint32_t i = 0; i < next.count; i++) {
        if (next.items[i].addr == addr &&
            is_unresponsive(rlog, next.items[i].identity, now)) {
            remove_at(&next, i);
            propose_replicas(rlog, &next, now);
            return;
        }
    }
}

static bool
has_caught_up(ReplicatedLog *rlog, uint64_t identity, Instant now)
{
    const FollowerProgress *progress = Rlog_FindProgress(rlog, identity);

    return progress && progress->match_index >= rlog->commit_index &&
           now - progress->acked_at < rlog->settings.election_timeout;
}

/* Whether OLD is unresponsive while another voter at its address has caught
 * up. */
static bool
is_superseded(ReplicatedLog *rlog, const RaftReplica *old, Instant now)
{
    if (!is_unresponsive(rlog, old->identity, now)) {
        return false;
    }
    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        const RaftReplica *newer = &rlog->replicas.items[i];
        if (newer->addr == old->addr && newer->identity != old->identity &&
            newer->is_voter && has_caught_up(rlog, newer->identity, now)) {
            return true;
        }
    }
    return false;
}

/* Election timeouts without a sign of life after which a voter may be replaced
 * by a learner, and after which a learner is removed. */
enum { REPLACE_TIMEOUTS = 2, REMOVE_LEARNER_TIMEOUTS = 10 };

static bool
is_unreachable(ReplicatedLog *rlog, const RaftReplica *replica,
               uint32_t timeouts, Instant now)
{
    const FollowerProgress *progress =
        Rlog_FindProgress(rlog, replica->identity);
    Instant since = rlog->leader_since;

    if (!progress) {
        return false; /* this replica itself */
    }
    if (progress->acked_at > since) {
        since = progress->acked_at;
    }
    if (progress->seen_at > since) {
        since = progress->seen_at;
    }
    return now - since >= rlog->settings.election_timeout * timeouts;
}

/* Index of the voter that LEARNER may replace: preferably an unresponsive one
 * at LEARNER's address, else an unreachable one; count when there is none. */
static uint32_t
find_replaceable_voter(ReplicatedLog *rlog, const RaftReplica *learner,
                       Instant now)
{
    const RaftReplicaList *replicas = &rlog->replicas;
    uint32_t found = replicas->count;

    for (uint32_t i = 0; i < replicas->count; i++) {
        const RaftReplica *replica = &replicas->items[i];
        if (!replica->is_voter) {
            continue;
        }
        if (replica->addr == learner->addr &&
            is_unresponsive(rlog, replica->identity, now)) {
            return i;
        }
        if (is_unreachable(rlog, replica, REPLACE_TIMEOUTS, now)) {
            found = i;
        }
    }
    return found;
}

/* Makes the learner at index AT a voter once it has caught up and there are
 * fewer than voters_max voters.  Otherwise removes a replaceable voter first,
 * so that there are never more than voters_max.  Returns whether a change was
 * proposed. */
static bool
promote_or_make_room(ReplicatedLog *rlog, RaftReplicaList *next, uint32_t at,
                     Instant now)
{
    uint32_t replaceable;

    if (!has_caught_up(rlog, next->items[at].identity, now)) {
        return false;
    }
    if (count_voters(next) < rlog->settings.voters_max) {
        next->items[at].is_voter = true;
        propose_replicas(rlog, next, now);
        return true;
    }
    replaceable = find_replaceable_voter(rlog, &next->items[at], now);
    if (replaceable == next->count) {
        return false;
    }
    remove_at(next, replaceable);
    propose_replicas(rlog, next, now);
    return true;
}

static void
tick_voters_max(ReplicatedLog *rlog, RaftReplicaList *next, Instant now)
{
    for (uint32_t i = 0; i < next->count; i++) {
        if (!next->items[i].is_voter &&
            promote_or_make_room(rlog, next, i, now)) {
            return;
        }
    }
    for (uint32_t i = 0; i < next->count; i++) {
        if (!next->items[i].is_voter &&
            is_unreachable(rlog, &next->items[i], REMOVE_LEARNER_TIMEOUTS,
                           now)) {
            remove_at(next, i);
            propose_replicas(rlog, next, now);
            return;
        }
    }
}

void
Rlog_TickMembership(ReplicatedLog *rlog, Instant now)
{
    RaftReplicaList next = rlog->replicas;

    if (!can_change_membership(rlog, now)) {
        return;
    }
    if (rlog->settings.voters_max) {
        tick_voters_max(rlog, &next, now);
        return;
    }
    for (uint32_t i = 0; i < next.count; i++) {
        RaftReplica *replica = &next.items[i];
        if (replica->is_voter && is_superseded(rlog, replica, now)) {
            remove_at(&next, i);
            propose_replicas(rlog, &next, now);
            return;
        }
        if (!replica->is_voter &&
            has_caught_up(rlog, replica->identity, now)) {
            replica->is_voter = true;
            propose_replicas(rlog, &next, now);
            return;
        }
    }
}
