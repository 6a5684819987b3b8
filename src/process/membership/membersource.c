#include "process/membership/membersource.h"

#include "value/mem.h"

/* A replica that left this many heartbeats unanswered cannot be the source. */
enum { MISSED_HEARTBEATS_MAX = 3 };

void
Mso_Init(SourceSelector *selector, size_t replica_count, Span heartbeat,
         bool is_replica, uint64_t node_hash)
{
    *selector = (SourceSelector){
        .heartbeat = heartbeat,
        .is_replica = is_replica,
        .node_hash = node_hash,
        .replica_count = replica_count,
        .replicas = Mem_Alloc(replica_count, sizeof *selector->replicas),
        .source = Mso_NO_REPLICA,
    };
}

void
Mso_Finish(SourceSelector *selector)
{
    Mem_Free(selector->replicas);
    *selector = (SourceSelector){0};
}

static bool
answered_within(const ReplicaContact *replica, Span limit, Instant now)
{
    return replica->answered_at && now - replica->answered_at < limit;
}

static bool
is_responsive(const SourceSelector *selector, size_t replica, Instant now)
{
    return answered_within(&selector->replicas[replica],
                           selector->heartbeat * MISSED_HEARTBEATS_MAX, now);
}

static size_t
count_responsive(const SourceSelector *selector, bool local, Instant now)
{
    size_t count = 0;

    for (size_t i = 0; i < selector->replica_count; i++) {
        count += selector->replicas[i].is_local == local &&
                 is_responsive(selector, i, now);
    }
    return count;
}

/* Picks by the node's hash among the responsive replicas that are LOCAL, or
 * that are not; Mso_NO_REPLICA: there are none. */
static size_t
pick_responsive(const SourceSelector *selector, bool local, Instant now)
{
    size_t count = count_responsive(selector, local, now);
    size_t left = count ? selector->node_hash % count : 0;

    for (size_t i = 0; i < selector->replica_count; i++) {
        if (selector->replicas[i].is_local == local &&
            is_responsive(selector, i, now) && left-- == 0) {
            return i;
        }
    }
    return Mso_NO_REPLICA;
}

static size_t
find_source(const SourceSelector *selector, Instant now)
{
    size_t found = pick_responsive(selector, true, now);

    return found != Mso_NO_REPLICA ? found
                                   : pick_responsive(selector, false, now);
}

static bool
has_local_source(const SourceSelector *selector, Instant now)
{
    return selector->source != Mso_NO_REPLICA &&
           is_responsive(selector, selector->source, now) &&
           selector->replicas[selector->source].is_local;
}

void
Mso_ChooseSource(SourceSelector *selector, Instant now)
{
    size_t found;

    if (has_local_source(selector, now)) {
        return;
    }
    found = find_source(selector, now);
    if (found != Mso_NO_REPLICA && found != selector->source) {
        selector->source = found;
        selector->replicas[found].table_id = 0;
    }
}

/* An answer normally comes well before the next heartbeat, so the source is
 * late when one and a half have passed. */
static bool
is_source_late(const SourceSelector *selector, Instant now)
{
    return !answered_within(&selector->replicas[selector->source],
                            selector->heartbeat * 3 / 2, now);
}

/* Finds the replica that also gets the record while the source is late, a
 * local one first; Mso_NO_REPLICA: there is no other. */
static size_t
find_backup(const SourceSelector *selector)
{
    size_t found = Mso_NO_REPLICA;

    for (size_t i = 0; i < selector->replica_count; i++) {
        size_t at = (selector->node_hash + i) % selector->replica_count;
        if (at != selector->source && !selector->replicas[at].is_skipped) {
            found = found == Mso_NO_REPLICA ? at : found;
            if (selector->replicas[at].is_local) {
                return at;
            }
        }
    }
    return found;
}

HeartbeatMessage
Mso_ChooseMessage(const SourceSelector *selector, size_t replica,
                  uint64_t changed_sequence, bool leaving, Instant now)
{
    const ReplicaContact *to = &selector->replicas[replica];

    if (to->is_skipped) {
        return Mso_SEND_NOTHING;
    }
    if (selector->is_replica || leaving || !has_local_source(selector, now)) {
        return Mso_SEND_RECORD;
    }
    if (replica == selector->source) {
        return to->record_sequence >= changed_sequence ? Mso_SEND_RENEWAL
                                                       : Mso_SEND_RECORD;
    }
    return is_source_late(selector, now) && replica == find_backup(selector)
               ? Mso_SEND_RECORD
               : Mso_SEND_NOTHING;
}

bool
Mso_WantsRows(const SourceSelector *selector, size_t replica)
{
    return selector->is_replica || replica == selector->source;
}

void
Mso_ForgetReplica(SourceSelector *selector, size_t replica)
{
    selector->replicas[replica] = (ReplicaContact){0};
    if (selector->source == replica) {
        selector->source = Mso_NO_REPLICA;
    }
}

void
Mso_OnRecordSent(SourceSelector *selector, size_t replica, uint64_t sequence)
{
    selector->replicas[replica].record_sequence = sequence;
}

void
Mso_OnAnswer(SourceSelector *selector, size_t replica, Instant now)
{
    selector->replicas[replica].answered_at = now;
}

void
Mso_OnRecordRequest(SourceSelector *selector, size_t replica)
{
    selector->replicas[replica].record_sequence = 0;
}
