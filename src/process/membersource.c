#include "process/membersource.h"

#include "value/mem.h"

/* A replica that left so many heartbeats unanswered is not relied on. */
enum { UNANSWERED_BEATS = 3 };

void
Mso_Init(SourceSelector *mso, size_t count, Span heartbeat, bool control,
         uint64_t spread)
{
    *mso = (SourceSelector){
        .heartbeat = heartbeat,
        .is_replica = control,
        .node_hash = spread,
        .replica_count = count,
        .replicas = Mem_Alloc(count, sizeof *mso->replicas),
        .source = Mso_NO_REPLICA,
    };
}

void
Mso_Finish(SourceSelector *mso)
{
    Mem_Free(mso->replicas);
    *mso = (SourceSelector){0};
}

static bool
is_fresh(const ReplicaContact *replica, Span bound, Instant now)
{
    return replica->answered_at && now - replica->answered_at < bound;
}

static bool
is_relied_on(const SourceSelector *mso, size_t replica, Instant now)
{
    return is_fresh(&mso->replicas[replica], mso->heartbeat * UNANSWERED_BEATS,
                    now);
}

static size_t
count_fresh(const SourceSelector *mso, bool near, Instant now)
{
    size_t count = 0;

    for (size_t i = 0; i < mso->replica_count; i++) {
        count +=
            mso->replicas[i].is_local == near && is_relied_on(mso, i, now);
    }
    return count;
}

/* Of those that answer and are NEAR or not, the one that the node's own number
 * points to; Mso_NO_REPLICA when none does. */
static size_t
pick_fresh(const SourceSelector *mso, bool near, Instant now)
{
    size_t count = count_fresh(mso, near, now);
    size_t left = count ? mso->node_hash % count : 0;

    for (size_t i = 0; i < mso->replica_count; i++) {
        if (mso->replicas[i].is_local == near && is_relied_on(mso, i, now) &&
            left-- == 0) {
            return i;
        }
    }
    return Mso_NO_REPLICA;
}

static size_t
find_fresh(const SourceSelector *mso, Instant now)
{
    size_t found = pick_fresh(mso, true, now);

    return found != Mso_NO_REPLICA ? found : pick_fresh(mso, false, now);
}

static bool
has_good_source(const SourceSelector *mso, Instant now)
{
    return mso->source != Mso_NO_REPLICA &&
           is_relied_on(mso, mso->source, now) &&
           mso->replicas[mso->source].is_local;
}

void
Mso_ChooseSource(SourceSelector *mso, Instant now)
{
    size_t found;

    if (has_good_source(mso, now)) {
        return;
    }
    found = find_fresh(mso, now);
    if (found != Mso_NO_REPLICA && found != mso->source) {
        mso->source = found;
        mso->replicas[found].table_id = 0;
    }
}

/* An answer is there well before the next heartbeat. */
static bool
is_late(const SourceSelector *mso, Instant now)
{
    return !is_fresh(&mso->replicas[mso->source], mso->heartbeat * 3 / 2, now);
}

/* Who hears this node while its source is late: a near one first. */
static size_t
find_second(const SourceSelector *mso)
{
    size_t found = Mso_NO_REPLICA;

    for (size_t i = 0; i < mso->replica_count; i++) {
        size_t at = (mso->node_hash + i) % mso->replica_count;
        if (at != mso->source && !mso->replicas[at].is_skipped) {
            found = found == Mso_NO_REPLICA ? at : found;
            if (mso->replicas[at].is_local) {
                return at;
            }
        }
    }
    return found;
}

HeartbeatMessage
Mso_ChooseMessage(const SourceSelector *mso, size_t replica, uint64_t said,
                  bool leaving, Instant now)
{
    const ReplicaContact *to = &mso->replicas[replica];

    if (to->is_skipped) {
        return Mso_SEND_NOTHING;
    }
    if (mso->is_replica || leaving || !has_good_source(mso, now)) {
        return Mso_SEND_RECORD;
    }
    if (replica == mso->source) {
        return to->record_sequence >= said ? Mso_SEND_RENEWAL
                                           : Mso_SEND_RECORD;
    }
    return is_late(mso, now) && replica == find_second(mso) ? Mso_SEND_RECORD
                                                            : Mso_SEND_NOTHING;
}

bool
Mso_WantsRows(const SourceSelector *mso, size_t replica)
{
    return mso->is_replica || replica == mso->source;
}

void
Mso_ForgetReplica(SourceSelector *mso, size_t replica)
{
    mso->replicas[replica] = (ReplicaContact){0};
    if (mso->source == replica) {
        mso->source = Mso_NO_REPLICA;
    }
}

void
Mso_OnRecordSent(SourceSelector *mso, size_t replica, uint64_t said)
{
    mso->replicas[replica].record_sequence = said;
}

void
Mso_OnAnswer(SourceSelector *mso, size_t replica, Instant now)
{
    mso->replicas[replica].answered_at = now;
}

void
Mso_OnRecordRequest(SourceSelector *mso, size_t replica)
{
    mso->replicas[replica].record_sequence = 0;
}
