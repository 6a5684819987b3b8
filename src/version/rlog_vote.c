#include "version/rlog_impl.h"

/* Where no leader was heard since the start there may be none: the first
 * tries follow one another so many times sooner, then half as many.  A living
 * leader is not disturbed by a trial. */
enum { SOONER = 4, SOONER_TRIES = 2 };

void
Rlog_DelayElection(Rlog *rlog, Instant now)
{
    Span least = rlog->settings.election;

    if (!rlog->heard_at && rlog->tries < SOONER_TRIES) {
        least = least / SOONER << rlog->tries;
    }
    rlog->election_at =
        now + least + Rng_Below(rlog->rng, (uint32_t)least / 2);
}

/* Take a higher TERM over; false when it could not be stored. */
static bool
raise_term(Rlog *rlog, uint64_t term, uint64_t voted_for, Instant now)
{
    if (!rlog->out.store_vote(rlog->out.context, term, voted_for)) {
        Rlog_Fail(rlog, now);
        return false;
    }
    rlog->term = term;
    rlog->voted_for = voted_for;
    return true;
}

void
Rlog_BecomeFollower(Rlog *rlog, uint64_t term, uint64_t leader, Instant now)
{
    bool led = rlog->role == Rlog_LEADER;

    if (term > rlog->term && !raise_term(rlog, term, 0, now)) {
        return;
    }
    rlog->role = Rlog_FOLLOWER;
    rlog->leader = leader;
    Rlog_DelayElection(rlog, now);
    if (led) {
        rlog->out.role(rlog->out.context, false, rlog->term, now);
    }
}

static void
ask_votes(Rlog *rlog, bool pre)
{
    RlogMessage message = {
        .kind = Rlog_VOTE,
        .from = rlog->settings.identity,
        .term = pre ? rlog->term + 1 : rlog->term,
        .pre = pre,
        .last_term = Rlog_LastTerm(rlog),
        .last_index = Rlog_LastIndex(rlog),
    };

    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        const RlogReplica *replica = &rlog->replicas.items[i];
        if (replica->voter && replica->identity != message.from) {
            message.to = replica->identity;
            rlog->out.send(rlog->out.context, &message);
        }
    }
}

static void
count_vote(Rlog *rlog, uint64_t identity)
{
    if (!Rlog_IsVoter(rlog, identity)) {
        return;
    }
    for (uint32_t i = 0; i < rlog->vote_count; i++) {
        if (rlog->votes[i] == identity) {
            return;
        }
    }
    rlog->votes[rlog->vote_count++] = identity;
}

static bool
is_elected(const Rlog *rlog)
{
    return rlog->vote_count >= Rlog_Quorum(&rlog->replicas);
}

static void
become_candidate(Rlog *rlog, Instant now)
{
    uint64_t own = rlog->settings.identity;

    if (!raise_term(rlog, rlog->term + 1, own, now)) {
        return;
    }
    rlog->role = Rlog_CANDIDATE;
    rlog->leader = 0;
    rlog->vote_count = 0;
    count_vote(rlog, own);
    Rlog_DelayElection(rlog, now);
    if (is_elected(rlog)) {
        Rlog_BecomeLeader(rlog, now);
        return;
    }
    ask_votes(rlog, false);
}

static void
become_trial(Rlog *rlog, Instant now)
{
    rlog->role = Rlog_TRIAL;
    rlog->leader = 0;
    rlog->vote_count = 0;
    rlog->tries++;
    count_vote(rlog, rlog->settings.identity);
    Rlog_DelayElection(rlog, now);
    if (is_elected(rlog)) {
        become_candidate(rlog, now);
        return;
    }
    ask_votes(rlog, true);
}

void
Rlog_TickElection(Rlog *rlog, Instant now)
{
    if (now < rlog->election_at) {
        return;
    }
    if (Rlog_IsVoter(rlog, rlog->settings.identity)) {
        become_trial(rlog, now);
    }
    else {
        Rlog_DelayElection(rlog, now);
    }
}

static bool
is_up_to_date(const Rlog *rlog, const RlogMessage *message)
{
    uint64_t term = Rlog_LastTerm(rlog);

    if (message->last_term != term) {
        return message->last_term > term;
    }
    return message->last_index >= Rlog_LastIndex(rlog);
}

/* In touch with a leader, or a quorum: no other leader is needed. */
static bool
is_bound(const Rlog *rlog, Instant now)
{
    if (rlog->role == Rlog_LEADER) {
        return Rlog_HasQuorum(rlog, now);
    }
    return rlog->heard_at && now - rlog->heard_at < rlog->settings.election;
}

static bool
grants(Rlog *rlog, const RlogMessage *message, Instant now)
{
    if (is_bound(rlog, now) || message->term < rlog->term ||
        !is_up_to_date(rlog, message)) {
        return false;
    }
    if (message->pre) {
        return message->term > rlog->term;
    }
    return message->term > rlog->term || rlog->voted_for == 0 ||
           rlog->voted_for == message->from;
}

void
Rlog_OnVote(Rlog *rlog, const RlogMessage *message, Instant now)
{
    RlogMessage answer = {
        .kind = Rlog_VOTED,
        .from = rlog->settings.identity,
        .to = message->from,
        .pre = message->pre,
        .granted = grants(rlog, message, now),
    };

    if (!message->pre && message->term > rlog->term && !is_bound(rlog, now)) {
        Rlog_BecomeFollower(rlog, message->term, 0, now);
    }
    if (!message->pre && answer.granted) {
        if (!raise_term(rlog, message->term, message->from, now)) {
            return;
        }
        Rlog_DelayElection(rlog, now);
    }
    if (rlog->failed) {
        return;
    }
    answer.term = message->pre && answer.granted ? message->term : rlog->term;
    rlog->out.send(rlog->out.context, &answer);
}

void
Rlog_OnVoted(Rlog *rlog, const RlogMessage *message, Instant now)
{
    bool trial = message->pre && rlog->role == Rlog_TRIAL &&
                 message->term == rlog->term + 1;
    bool real = !message->pre && rlog->role == Rlog_CANDIDATE &&
                message->term == rlog->term;

    if (!message->granted) {
        if (message->term > rlog->term) {
            Rlog_BecomeFollower(rlog, message->term, 0, now);
        }
        return;
    }
    if (!trial && !real) {
        return;
    }
    count_vote(rlog, message->from);
    if (!is_elected(rlog)) {
        return;
    }
    if (trial) {
        become_candidate(rlog, now);
    }
    else {
        Rlog_BecomeLeader(rlog, now);
    }
}
