#include "version/rlog_impl.h"

/* A question that a leader did not answer for so long went astray. */
#define READ_AGAIN Span_MS(100)

static void
send_read(Rlog *rlog, Instant now)
{
    RlogMessage message = {
        .kind = Rlog_READ,
        .from = rlog->settings.identity,
        .to = rlog->leader,
        .term = rlog->term,
        .round = (uint64_t)now,
    };

    rlog->read_sent = now;
    rlog->read_more = false;
    rlog->out.send(rlog->out.context, &message);
}

void
Rlog_AskCurrent(Rlog *rlog, Instant now)
{
    if (rlog->failed) {
        return;
    }
    if (rlog->role == Rlog_LEADER) {
        Rlog_AskRound(rlog, now);
    }
    else if (rlog->leader == 0 || (rlog->read_sent > rlog->read_done &&
                                   now - rlog->read_sent < READ_AGAIN)) {
        rlog->read_more = true;
    }
    else {
        send_read(rlog, now);
    }
}

/* The first question of a replica counts until it is answered: later ones
 * would put the answer off. */
void
Rlog_OnRead(Rlog *rlog, const RlogMessage *message, Instant now)
{
    RlogProgress *from = Rlog_FindProgress(rlog, message->from);

    if (rlog->role != Rlog_LEADER || !from) {
        return;
    }
    if (!from->read_at || message->round > from->read_round + READ_AGAIN) {
        from->read_at = now;
        from->read_round = message->round;
    }
    Rlog_AskRound(rlog, now);
    Rlog_AnswerReads(rlog);
}

void
Rlog_AnswerReads(Rlog *rlog)
{
    for (uint32_t i = 0; i < rlog->progress_count; i++) {
        RlogProgress *from = &rlog->progress[i];
        RlogMessage answer = {
            .kind = Rlog_READ_DONE,
            .from = rlog->settings.identity,
            .to = from->identity,
            .term = rlog->term,
            .last_index = rlog->commit,
            .round = from->read_round,
        };
        if (from->read_at && Rlog_IsCurrent(rlog, from->read_at)) {
            from->read_at = 0;
            rlog->out.send(rlog->out.context, &answer);
        }
    }
}

void
Rlog_OnReadDone(Rlog *rlog, const RlogMessage *message, Instant now)
{
    Instant round = (Instant)message->round;

    if (round > rlog->read_sent || round <= rlog->read_done) {
        return;
    }
    rlog->read_done = round;
    rlog->read_index = message->last_index;
    if (rlog->read_more && rlog->role != Rlog_LEADER && rlog->leader) {
        send_read(rlog, now);
    }
}
