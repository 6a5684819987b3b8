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
put_replicas(Pack *pack, const RaftReplicaList *replicas)
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
take_replicas(Unpack *in, RaftReplicaList *replicas)
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
    put_replicas(&pack, replicas);
    StrBuf_Set(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

bool
Rlog_UnpackReplicas(Str bytes, RaftReplicaList *replicas)
{
    Unpack in;
    bool good;

    if (!Unpack_Init(&in, bytes, NULL)) {
        return false;
    }
    good = take_replicas(&in, replicas);
    Unpack_Finish(&in);
    return good;
}

void
Rlog_PackSnapshot(const RaftReplicaList *replicas, Str state, StrBuf *out)
{
    Pack pack;

    Pack_Init(&pack, SNAPSHOT_FIELDS);
    Pack_Array(&pack, replicas->count);
    put_replicas(&pack, replicas);
    Pack_Str(&pack, state);
    StrBuf_Set(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

bool
Rlog_UnpackSnapshot(Str bytes, RaftReplicaList *replicas, StrBuf *state)
{
    Unpack in;
    Unpack list;
    bool good;

    if (!Unpack_Init(&in, bytes, NULL)) {
        return false;
    }
    Unpack_Array(&in, Rlog_REPLICAS_MAX, &list);
    good = take_replicas(&list, replicas);
    StrBuf_Set(state, Unpack_Str(&in));
    good = Unpack_Ok(&in, NULL) && good;
    Unpack_Finish(&in);
    return good;
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

/* Keep what is known of replicas that stay; begin with those that came. */
static void
renew_progress(ReplicatedLog *rlog)
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
    renew_progress(rlog);
    rlog->callbacks.on_replicas_change(rlog->callbacks.context,
                                       &rlog->replicas);
}

/* One change at a time, and none before this leader has committed. */
static bool
may_change(const ReplicatedLog *rlog, Instant now)
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

/* A learner that never caught up gives way to the next at its address. */
static void
remove_learner_at(RaftReplicaList *replicas, Addr addr)
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
    if (!may_change(rlog, now) || Rlog_FindReplica(&next, identity)) {
        return;
    }
    remove_learner_at(&next, addr);
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
is_silent(ReplicatedLog *rlog, uint64_t identity, Instant now)
{
    const FollowerProgress *progress = Rlog_FindProgress(rlog, identity);

    return progress &&
           now - progress->acked_at >= rlog->settings.election_timeout;
}

void
Rlog_OnUnlistedAddr(ReplicatedLog *rlog, Addr addr, uint32_t listed,
                    Instant now)
{
    RaftReplicaList next = rlog->replicas;

    if (!may_change(rlog, now) || count_voters(&next) <= listed) {
        return;
    }
    for (uint32_t i = 0; i < next.count; i++) {
        if (next.items[i].addr == addr &&
            is_silent(rlog, next.items[i].identity, now)) {
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

/* Another voter at the same address that is silent while NEWER is heard. */
static bool
is_replaced(ReplicatedLog *rlog, const RaftReplica *old, Instant now)
{
    if (!is_silent(rlog, old->identity, now)) {
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

/* Not heard for so many election timeouts: another may take its place. */
enum { LOST_TIMEOUTS = 2, FORGET_TIMEOUTS = 10 };

static bool
is_lost(ReplicatedLog *rlog, const RaftReplica *replica, uint32_t timeouts,
        Instant now)
{
    const FollowerProgress *progress =
        Rlog_FindProgress(rlog, replica->identity);
    Instant since = rlog->leader_since;

    if (!progress) {
        return false; /* this one */
    }
    if (progress->acked_at > since) {
        since = progress->acked_at;
    }
    if (progress->seen_at > since) {
        since = progress->seen_at;
    }
    return now - since >= rlog->settings.election_timeout * timeouts;
}

/* The voter whose place LEARNER may take: another one of its address before
 * all others. */
static uint32_t
find_lost_voter(ReplicatedLog *rlog, const RaftReplica *learner, Instant now)
{
    const RaftReplicaList *replicas = &rlog->replicas;
    uint32_t found = replicas->count;

    for (uint32_t i = 0; i < replicas->count; i++) {
        const RaftReplica *replica = &replicas->items[i];
        if (!replica->is_voter) {
            continue;
        }
        if (replica->addr == learner->addr &&
            is_silent(rlog, replica->identity, now)) {
            return i;
        }
        if (is_lost(rlog, replica, LOST_TIMEOUTS, now)) {
            found = i;
        }
    }
    return found;
}

/* A learner that has caught up becomes a voter where there is a place; else
 * the place of a lost voter is made free first, so that there are never more
 * voters than wanted. */
static bool
place_learner(ReplicatedLog *rlog, RaftReplicaList *next, uint32_t at,
              Instant now)
{
    uint32_t lost;

    if (!has_caught_up(rlog, next->items[at].identity, now)) {
        return false;
    }
    if (count_voters(next) < rlog->settings.voters_max) {
        next->items[at].is_voter = true;
        propose_replicas(rlog, next, now);
        return true;
    }
    lost = find_lost_voter(rlog, &next->items[at], now);
    if (lost == next->count) {
        return false;
    }
    remove_at(next, lost);
    propose_replicas(rlog, next, now);
    return true;
}

static void
tick_bounded(ReplicatedLog *rlog, RaftReplicaList *next, Instant now)
{
    for (uint32_t i = 0; i < next->count; i++) {
        if (!next->items[i].is_voter && place_learner(rlog, next, i, now)) {
            return;
        }
    }
    for (uint32_t i = 0; i < next->count; i++) {
        if (!next->items[i].is_voter &&
            is_lost(rlog, &next->items[i], FORGET_TIMEOUTS, now)) {
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

    if (!may_change(rlog, now)) {
        return;
    }
    if (rlog->settings.voters_max) {
        tick_bounded(rlog, &next, now);
        return;
    }
    for (uint32_t i = 0; i < next.count; i++) {
        RaftReplica *replica = &next.items[i];
        if (replica->is_voter && is_replaced(rlog, replica, now)) {
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
