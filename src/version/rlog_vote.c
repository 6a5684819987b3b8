#include "version/rlog_impl.h"

/* A replica that has heard from no leader since its start may belong to a
 * cluster that was restarted as a whole and has no leader.  Its election
 * timeout is divided by FAST_START_DIVISOR before its first pre-vote and by
 * half of that before its second.  A pre-vote does not disrupt a live leader.
 */
enum { FAST_START_DIVISOR = 4, FAST_START_TRIES = 2 };

void
Rlog_ResetElectionTimer(ReplicatedLog *rlog, Instant now)
{
    Span timeout_min = rlog->settings.election_timeout;

    if (!rlog->leader_heard_at && rlog->elections_tried < FAST_START_TRIES) {
        timeout_min = timeout_min / FAST_START_DIVISOR
                      << rlog->elections_tried;
    }
    timeout_min += Rlog_ExpectedPause(rlog, now);
    rlog->election_at =
        now + timeout_min + Rng_Below(rlog->rng, (uint32_t)timeout_min / 2);
    rlog->is_election_shifted = false;
    rlog->election_shift_left = rlog->settings.election_timeout;
}

/* Stores TERM and the vote in it, then adopts them; false when that failed. */
static bool
store_term(ReplicatedLog *rlog, uint64_t term, uint64_t voted_for, Instant now)
{
    if (!rlog->callbacks.store_vote(rlog->callbacks.context, term,
                                    voted_for)) {
        Rlog_Fail(rlog, now);
        return false;
    }
    rlog->term = term;
    rlog->voted_for = voted_for;
    return true;
}

void
Rlog_BecomeFollower(ReplicatedLog *rlog, uint64_t term, uint64_t leader,
                    Instant now)
{
    bool was_leader = rlog->role == Rlog_LEADER;

    if (term > rlog->term && !store_term(rlog, term, 0, now)) {
        return;
    }
    rlog->role = Rlog_FOLLOWER;
    rlog->leader_identity = leader;
    Rlog_ResetElectionTimer(rlog, now);
    if (was_leader) {
        rlog->callbacks.on_role_change(rlog->callbacks.context, false,
                                       rlog->term, now);
    }
}

static void
request_votes(ReplicatedLog *rlog, bool pre_vote)
{
    RaftMessage message = {
        .kind = Rlog_VOTE_REQUEST,
        .from = rlog->settings.identity,
        .term = pre_vote ? rlog->term + 1 : rlog->term,
        .is_pre_vote = pre_vote,
        .last_term = Rlog_LastTerm(rlog),
        .last_index = Rlog_LastIndex(rlog),
    };

    for (uint32_t i = 0; i < rlog->replicas.count; i++) {
        const RaftReplica *replica = &rlog->replicas.items[i];
        if (replica->is_voter && replica->identity != message.from) {
            message.to = replica->identity;
            rlog->callbacks.send(rlog->callbacks.context, &message);
        }
    }
}

static void
count_vote(ReplicatedLog *rlog, uint64_t identity)
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
is_elected(const ReplicatedLog *rlog)
{
    return rlog->vote_count >= Rlog_QuorumSize(&rlog->replicas);
}

static void
become_candidate(ReplicatedLog *rlog, Instant now)
{
    uint64_t own = rlog->settings.identity;

    if (!store_term(rlog, rlog->term + 1, own, now)) {
        return;
    }
    rlog->role = Rlog_CANDIDATE;
    rlog->leader_identity = 0;
    rlog->vote_count = 0;
    count_vote(rlog, own);
    Rlog_ResetElectionTimer(rlog, now);
    if (is_elected(rlog)) {
        Rlog_BecomeLeader(rlog, now);
        return;
    }
    request_votes(rlog, false);
}

static void
become_pre_candidate(ReplicatedLog *rlog, Instant now)
{
    rlog->role = Rlog_PRE_CANDIDATE;
    rlog->leader_identity = 0;
    rlog->vote_count = 0;
    rlog->elections_tried++;
    count_vote(rlog, rlog->settings.identity);
    Rlog_ResetElectionTimer(rlog, now);
    if (is_elected(rlog)) {
        become_candidate(rlog, now);
        return;
    }
    request_votes(rlog, true);
}

void
Rlog_TickElection(ReplicatedLog *rlog, Instant now)
{
    if (now < rlog->election_at) {
        return;
    }
    if (Rlog_IsVoter(rlog, rlog->settings.identity)) {
        become_pre_candidate(rlog, now);
    }
    else {
        Rlog_ResetElectionTimer(rlog, now);
    }
}

static bool
candidate_is_up_to_date(const ReplicatedLog *rlog, const RaftMessage *message)
{
    uint64_t term = Rlog_LastTerm(rlog);

    if (message->last_term != term) {
        return message->last_term > term;
    }
    return message->last_index >= Rlog_LastIndex(rlog);
}

/* Whether this replica has heard from a leader within the election timeout, or
 * is one with a quorum: it then refuses votes. */
static bool
has_live_leader(const ReplicatedLog *rlog, Instant now)
{
    if (rlog->role == Rlog_LEADER) {
        return Rlog_HasRecentQuorum(rlog, now);
    }
    return rlog->leader_heard_at &&
           now - rlog->leader_heard_at < rlog->settings.election_timeout;
}

/* Of replicas that start together, the one with the newest log and then the
 * least identity asks for votes: else they all become candidates of one term,
 * and where all but a quorum are gone, none of them has the votes of the
 * others.  For the first YIELD_TRIES pre-votes only, so that a replica that
 * can't win holds nobody up. */
enum { YIELD_TRIES = 4 };

static bool
competes_since_start(const ReplicatedLog *rlog, const RaftMessage *message)
{
    return message->is_pre_vote && rlog->role == Rlog_PRE_CANDIDATE &&
           !rlog->leader_heard_at && rlog->elections_tried <= YIELD_TRIES;
}

static bool
has_same_log(const ReplicatedLog *rlog, const RaftMessage *message)
{
    return message->last_term == Rlog_LastTerm(rlog) &&
           message->last_index == Rlog_LastIndex(rlog);
}

/* Whether this pre-candidate goes before the one that sent MESSAGE. */
static bool
goes_first(const ReplicatedLog *rlog, const RaftMessage *message)
{
    return competes_since_start(rlog, message) &&
           has_same_log(rlog, message) &&
           rlog->settings.identity < message->from;
}

static bool
grants_vote(ReplicatedLog *rlog, const RaftMessage *message, Instant now)
{
    if (has_live_leader(rlog, now) || message->term < rlog->term ||
        !candidate_is_up_to_date(rlog, message) || goes_first(rlog, message)) {
        return false;
    }
    if (message->is_pre_vote) {
        return message->term > rlog->term;
    }
    return message->term > rlog->term || rlog->voted_for == 0 ||
           rlog->voted_for == message->from;
}

void
Rlog_OnVoteRequest(ReplicatedLog *rlog, const RaftMessage *message,
                   Instant now)
{
    RaftMessage reply = {
        .kind = Rlog_VOTE_REPLY,
        .from = rlog->settings.identity,
        .to = message->from,
        .is_pre_vote = message->is_pre_vote,
        .granted = grants_vote(rlog, message, now),
    };

    /* A new term and the vote in it are stored together: each store may take
     * a large part of the election. */
    if (!message->is_pre_vote && reply.granted &&
        !store_term(rlog, message->term, message->from, now)) {
        return;
    }
    if (!message->is_pre_vote &&
        (reply.granted ||
         (message->term > rlog->term && !has_live_leader(rlog, now)))) {
        Rlog_BecomeFollower(rlog, message->term, 0, now);
    }
    if (rlog->has_failed) {
        return;
    }
    if (reply.granted && competes_since_start(rlog, message)) {
        Rlog_BecomeFollower(rlog, rlog->term, 0, now);
    }
    reply.term =
        message->is_pre_vote && reply.granted ? message->term : rlog->term;
    rlog->callbacks.send(rlog->callbacks.context, &reply);
}

void
Rlog_OnVoteReply(ReplicatedLog *rlog, const RaftMessage *message, Instant now)
{
    bool answers_pre_vote = message->is_pre_vote &&
                            rlog->role == Rlog_PRE_CANDIDATE &&
                            message->term == rlog->term + 1;
    bool answers_vote = !message->is_pre_vote &&
                        rlog->role == Rlog_CANDIDATE &&
                        message->term == rlog->term;

    if (!message->granted) {
        if (message->term > rlog->term) {
            Rlog_BecomeFollower(rlog, message->term, 0, now);
        }
        return;
    }
    if (!answers_pre_vote && !answers_vote) {
        return;
    }
    count_vote(rlog, message->from);
    if (!is_elected(rlog)) {
        return;
    }
    if (answers_pre_vote) {
        become_candidate(rlog, now);
    }
    else {
        Rlog_BecomeLeader(rlog, now);
    }
}
