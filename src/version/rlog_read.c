#include "version/rlog_impl.h"

/* A read index request without a reply for this long counts as lost. */
#define READ_RETRY_DELAY Span_MS(100)

static void
send_read(ReplicatedLog *rlog, Instant now)
{
    RaftMessage message = {
        .kind = Rlog_READ_INDEX_REQUEST,
        .from = rlog->settings.identity,
        .to = rlog->leader_identity,
        .term = rlog->term,
        .request_sent_at = (uint64_t)now,
    };

    rlog->read_sent_at = now;
    rlog->is_read_pending = false;
    rlog->callbacks.send(rlog->callbacks.context, &message);
}

void
Rlog_RequestReadIndex(ReplicatedLog *rlog, Instant now)
{
    if (rlog->has_failed) {
        return;
    }
    if (rlog->role == Rlog_LEADER) {
        Rlog_ScheduleHeartbeat(rlog, now);
    }
    else if (rlog->leader_identity == 0 ||
             (rlog->read_sent_at > rlog->read_confirmed_at &&
              now - rlog->read_sent_at < READ_RETRY_DELAY)) {
        rlog->is_read_pending = true;
    }
    else {
        send_read(rlog, now);
    }
}

/* The first unanswered request of a replica is kept: replacing it by a later
 * one would delay the reply.  A request sent READ_RETRY_DELAY after the kept
 * one replaces it, because its sender no longer waits for the kept one. */
void
Rlog_OnReadIndexRequest(ReplicatedLog *rlog, const RaftMessage *message,
                        Instant now)
{
    FollowerProgress *from = Rlog_FindProgress(rlog, message->from);

    if (rlog->role != Rlog_LEADER || !from) {
        return;
    }
    if (!from->read_received_at ||
        message->request_sent_at >
            from->read_request_sent_at + READ_RETRY_DELAY) {
        from->read_received_at = now;
        from->read_request_sent_at = message->request_sent_at;
    }
    Rlog_ScheduleHeartbeat(rlog, now);
    Rlog_SendReadIndexReplies(rlog);
}

void
Rlog_SendReadIndexReplies(ReplicatedLog *rlog)
{
    for (uint32_t i = 0; i < rlog->progress_count; i++) {
        FollowerProgress *from = &rlog->progress[i];
        RaftMessage reply = {
            .kind = Rlog_READ_INDEX_REPLY,
            .from = rlog->settings.identity,
            .to = from->identity,
            .term = rlog->term,
            .last_index = rlog->commit_index,
            .request_sent_at = from->read_request_sent_at,
        };
        if (from->read_received_at &&
            Rlog_IsCurrentSince(rlog, from->read_received_at)) {
            from->read_received_at = 0;
            rlog->callbacks.send(rlog->callbacks.context, &reply);
        }
    }
}

/* A reply that names a later index must not make this replica forget when it
 * was known to be current. */
static Instant
get_read_reached_at(const ReplicatedLog *rlog)
{
    return rlog->commit_index >= rlog->read_index ? rlog->read_confirmed_at
                                                  : rlog->read_reached_at;
}

static Instant
get_lead_confirmed_at(const ReplicatedLog *rlog)
{
    return rlog->role == Rlog_LEADER &&
                   Rlog_TermAt(rlog, rlog->commit_index) == rlog->term
               ? Rlog_QuorumAckedAt(rlog)
               : 0;
}

Instant
Rlog_CurrentAsOf(const ReplicatedLog *rlog, Instant now)
{
    Instant as_of = get_read_reached_at(rlog);
    Instant lead_as_of = get_lead_confirmed_at(rlog);

    if (rlog->has_failed) {
        return 0;
    }
    if (lead_as_of > as_of) {
        as_of = lead_as_of;
    }
    return as_of < now ? as_of : now;
}

void
Rlog_OnReadIndexReply(ReplicatedLog *rlog, const RaftMessage *message,
                      Instant now)
{
    Instant sent_at = (Instant)message->request_sent_at;

    if (sent_at > rlog->read_sent_at || sent_at <= rlog->read_confirmed_at) {
        return;
    }
    rlog->read_reached_at = get_read_reached_at(rlog);
    rlog->read_confirmed_at = sent_at;
    rlog->read_index = message->last_index;
    if (rlog->is_read_pending && rlog->role != Rlog_LEADER &&
        rlog->leader_identity) {
        send_read(rlog, now);
    }
}
