#include "value/pack.h"
#include "version/rlog_impl.h"

enum { REPLICA_FIELDS = 4, SNAPSHOT_FIELDS = 2 };

const RlogReplica *
Rlog_FindReplica(const RlogReplicas *replicas, uint64_t identity)
{
    for (uint32_t i = 0; i < replicas->count; i++) {
        if (replicas->items[i].identity == identity) {
            return &replicas->items[i];
        }
    }
    return NULL;
}

bool
Rlog_IsVoter(const Rlog *rlog, uint64_t identity)
{
    const RlogReplica *found = Rlog_FindReplica(&rlog->replicas, identity);

    return found && found->voter;
}

static uint32_t
count_voters(const RlogReplicas *replicas)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < replicas->count; i++) {
        count += replicas->items[i].voter;
    }
    return count;
}

uint32_t
Rlog_Quorum(const RlogReplicas *replicas)
{
    return count_voters(replicas) / 2 + 1;
}

static void
put_replicas(Pack *pack, const RlogReplicas *replicas)
{
    for (uint32_t i = 0; i < replicas->count; i++) {
        const RlogReplica *replica = &replicas->items[i];
        Pack_Array(pack, REPLICA_FIELDS);
        Pack_U64(pack, replica->identity);
        Pack_U64(pack, replica->addr);
        Pack_Bool(pack, replica->voter);
        Pack_Bool(pack, replica->genesis);
    }
}

static bool
take_replicas(Unpack *in, RlogReplicas *replicas)
{
    uint32_t count = in->count;

    *replicas = (RlogReplicas){0};
    if (count > Rlog_REPLICAS_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        Unpack item;
        RlogReplica *replica = &replicas->items[i];
        Unpack_Array(in, REPLICA_FIELDS, &item);
        replica->identity = Unpack_U64(&item);
        replica->addr = Unpack_U64(&item);
        replica->voter = Unpack_Bool(&item);
        replica->genesis = Unpack_Bool(&item);
        if (!Unpack_Ok(&item, NULL)) {
            return false;
        }
    }
    replicas->count = count;
    return Unpack_Ok(in, NULL);
}

void
Rlog_PackReplicas(const RlogReplicas *replicas, StrBuf *out)
{
    Pack pack;

    Pack_Init(&pack, replicas->count);
    put_replicas(&pack, replicas);
    StrBuf_Set(out, Pack_View(&pack));
    Pack_Finish(&pack);
}

bool
Rlog_ReadReplicas(Str bytes, RlogReplicas *replicas)
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
Rlog_PackSnapshot(const RlogReplicas *replicas, Str state, StrBuf *out)
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
Rlog_ReadSnapshot(Str bytes, RlogReplicas *replicas, StrBuf *state)
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

RlogProgress *
Rlog_FindProgress(Rlog *rlog, uint64_t identity)
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
renew_progress(Rlog *rlog)
{
    RlogProgress kept[Rlog_REPLICAS_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        uint64_t identity = rlog->replicas.items[i].identity;
        RlogProgress *old = Rlog_FindProgress(rlog, identity);
        if (identity == rlog->settings.identity) {
            continue;
        }
        kept[count] = old ? *old
                          : (RlogProgress){.identity = identity,
                                           .next = Rlog_LastIndex(rlog) + 1};
        count++;
    }
    for (uint32_t i = 0; i < count; i++) {
        rlog->progress[i] = kept[i];
    }
    rlog->progress_count = count;
}

void
Rlog_UseReplicas(Rlog *rlog)
{
    uint64_t index = rlog->snapshot_index;
    RlogReplicas replicas = rlog->snapshot_replicas;

    for (size_t i = rlog->entry_count; i > 0; i--) {
        const RlogEntry *entry = &rlog->entries[i - 1];
        if (entry->kind == Rlog_REPLICAS) {
            Rlog_ReadReplicas(entry->data, &replicas);
            index = entry->index;
            break;
        }
    }
    rlog->replicas = replicas;
    rlog->replicas_index = index;
    renew_progress(rlog);
    rlog->out.replicas(rlog->out.context, &rlog->replicas);
}

/* One change at a time, and none before this leader has committed. */
static bool
may_change(const Rlog *rlog, Instant now)
{
    return Rlog_IsLeading(rlog, now) && rlog->replicas_index <= rlog->commit;
}

static void
propose_replicas(Rlog *rlog, const RlogReplicas *replicas, Instant now)
{
    StrBuf data = {0};

    Rlog_PackReplicas(replicas, &data);
    Rlog_AppendOwn(rlog, Rlog_REPLICAS, StrBuf_View(&data), now);
    StrBuf_Finish(&data);
}

static void
remove_at(RlogReplicas *replicas, uint32_t at)
{
    replicas->count--;
    for (uint32_t i = at; i < replicas->count; i++) {
        replicas->items[i] = replicas->items[i + 1];
    }
}

/* A learner that never caught up gives way to the next at its address. */
static void
remove_learner_at(RlogReplicas *replicas, Addr addr)
{
    for (uint32_t i = 0; i < replicas->count; i++) {
        if (replicas->items[i].addr == addr && !replicas->items[i].voter) {
            remove_at(replicas, i);
            return;
        }
    }
}

void
Rlog_OnReplica(Rlog *rlog, uint64_t identity, Addr addr, Instant heard_at,
               Instant now)
{
    RlogReplicas next = rlog->replicas;
    RlogProgress *progress = Rlog_FindProgress(rlog, identity);

    if (progress) {
        progress->here_at = heard_at;
    }
    if (!may_change(rlog, now) || Rlog_FindReplica(&next, identity)) {
        return;
    }
    remove_learner_at(&next, addr);
    if (next.count == Rlog_REPLICAS_MAX) {
        return;
    }
    next.items[next.count++] =
        (RlogReplica){.identity = identity, .addr = addr};
    propose_replicas(rlog, &next, now);
    progress = Rlog_FindProgress(rlog, identity);
    if (progress) {
        progress->here_at = heard_at;
    }
}

static bool
is_silent(Rlog *rlog, uint64_t identity, Instant now)
{
    const RlogProgress *progress = Rlog_FindProgress(rlog, identity);

    return progress && now - progress->acked >= rlog->settings.election;
}

void
Rlog_OnUnlisted(Rlog *rlog, Addr addr, uint32_t listed, Instant now)
{
    RlogReplicas next = rlog->replicas;

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
has_caught_up(Rlog *rlog, uint64_t identity, Instant now)
{
    const RlogProgress *progress = Rlog_FindProgress(rlog, identity);

    return progress && progress->match >= rlog->commit &&
           now - progress->acked < rlog->settings.election;
}

/* Another voter at the same address that is silent while NEWER is heard. */
static bool
is_replaced(Rlog *rlog, const RlogReplica *old, Instant now)
{
    if (!is_silent(rlog, old->identity, now)) {
        return false;
    }
    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        const RlogReplica *newer = &rlog->replicas.items[i];
        if (newer->addr == old->addr && newer->identity != old->identity &&
            newer->voter && has_caught_up(rlog, newer->identity, now)) {
            return true;
        }
    }
    return false;
}

/* Not heard for so many election timeouts: another may take its place. */
enum { LOST_TIMEOUTS = 2, FORGET_TIMEOUTS = 10 };

static bool
is_lost(Rlog *rlog, const RlogReplica *replica, uint32_t timeouts, Instant now)
{
    const RlogProgress *progress = Rlog_FindProgress(rlog, replica->identity);
    Instant since = rlog->led_at;

    if (!progress) {
        return false; /* this one */
    }
    if (progress->acked > since) {
        since = progress->acked;
    }
    if (progress->here_at > since) {
        since = progress->here_at;
    }
    return now - since >= rlog->settings.election * timeouts;
}

/* The voter whose place LEARNER may take: another one of its address before
 * all others. */
static uint32_t
find_lost_voter(Rlog *rlog, const RlogReplica *learner, Instant now)
{
    const RlogReplicas *replicas = &rlog->replicas;
    uint32_t found = replicas->count;

    for (uint32_t i = 0; i < replicas->count; i++) {
        const RlogReplica *replica = &replicas->items[i];
        if (!replica->voter) {
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
place_learner(Rlog *rlog, RlogReplicas *next, uint32_t at, Instant now)
{
    uint32_t lost;

    if (!has_caught_up(rlog, next->items[at].identity, now)) {
        return false;
    }
    if (count_voters(next) < rlog->settings.voters_max) {
        next->items[at].voter = true;
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
tick_bounded(Rlog *rlog, RlogReplicas *next, Instant now)
{
    for (uint32_t i = 0; i < next->count; i++) {
        if (!next->items[i].voter && place_learner(rlog, next, i, now)) {
            return;
        }
    }
    for (uint32_t i = 0; i < next->count; i++) {
        if (!next->items[i].voter &&
            is_lost(rlog, &next->items[i], FORGET_TIMEOUTS, now)) {
            remove_at(next, i);
            propose_replicas(rlog, next, now);
            return;
        }
    }
}

void
Rlog_TickReplicas(Rlog *rlog, Instant now)
{
    RlogReplicas next = rlog->replicas;

    if (!may_change(rlog, now)) {
        return;
    }
    if (rlog->settings.voters_max) {
        tick_bounded(rlog, &next, now);
        return;
    }
    for (uint32_t i = 0; i < next.count; i++) {
        RlogReplica *replica = &next.items[i];
        if (replica->voter && is_replaced(rlog, replica, now)) {
            remove_at(&next, i);
            propose_replicas(rlog, &next, now);
            return;
        }
        if (!replica->voter && has_caught_up(rlog, replica->identity, now)) {
            replica->voter = true;
            propose_replicas(rlog, &next, now);
            return;
        }
    }
}
