/* Raft's rules for a single replica: when it grants a vote, and which entries
 * it commits as leader. */
#include "support/rlog_simulation.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* A replica that gets one vote request or pre-vote request. */
typedef struct {
    const char *name;
    Span since_heard; /* since a leader's message; 0: none since the start */
    uint64_t term;
    uint64_t voted_for;
    uint64_t candidate;
    uint64_t request_term;
    uint64_t last_term;
    uint64_t last_index;
    uint64_t stored_term; /* on disk after the request */
    uint64_t stored_voted_for;
    bool is_pre_vote;
    bool granted;
} VoteCase;

#define LEADER_TIMED_OUT Span_MS(1000)
#define LEADER_LIVE Span_MS(990)

/* The replica's log ends with entry 3 of term 2. */
static const VoteCase vote_cases[] = {
    {"no live leader", LEADER_TIMED_OUT, 2, 0, 8, 3, 2, 3, 3, 8, false, true},
    {"live leader", LEADER_LIVE, 2, 0, 8, 3, 2, 3, 2, 0, false, false},
    {"live leader, pre-vote", LEADER_LIVE, 2, 0, 8, 3, 2, 3, 2, 0, true,
     false},
    {"no leader heard since the start", 0, 2, 0, 8, 3, 2, 3, 3, 8, false,
     true},
    {"no leader heard since the start, pre-vote", 0, 2, 0, 8, 3, 2, 3, 2, 0,
     true, true},
    {"no leader heard since the start, voted for another", 0, 3, 9, 8, 3, 2, 3,
     3, 9, false, false},
    {"a pre-vote stores nothing", LEADER_TIMED_OUT, 2, 0, 8, 3, 2, 3, 2, 0,
     true, true},
    {"a pre-vote for the same term", LEADER_TIMED_OUT, 3, 0, 8, 3, 2, 3, 3, 0,
     true, false},
    {"voted for another", LEADER_TIMED_OUT, 3, 9, 8, 3, 2, 3, 3, 9, false,
     false},
    {"voted for the same candidate", LEADER_TIMED_OUT, 3, 8, 8, 3, 2, 3, 3, 8,
     false, true},
    {"an older term", LEADER_TIMED_OUT, 4, 0, 8, 3, 2, 3, 4, 0, false, false},
    {"shorter log", LEADER_TIMED_OUT, 2, 0, 8, 3, 2, 2, 3, 0, false, false},
    {"log of an older term", LEADER_TIMED_OUT, 2, 0, 8, 3, 1, 9, 3, 0, false,
     false},
    {"shorter log of a newer term", LEADER_TIMED_OUT, 2, 0, 8, 4, 3, 1, 4, 8,
     false, true},
    {"shorter log, pre-vote", LEADER_TIMED_OUT, 2, 0, 8, 3, 2, 2, 2, 0, true,
     false},
};

static RaftMessage last_sent;

static void
record_sent(void *context, const RaftMessage *message)
{
    (void)context;
    last_sent = *message;
}

/* Initialises SIM and returns the log of replica 0, whose messages are
 * recorded instead of delivered.  The log has one entry for each of the
 * COUNT terms in TERMS. */
static ReplicatedLog *
init_single_replica(RlogSimulation *sim, const uint64_t *terms, int count)
{
    ReplicatedLog *rlog = &sim->replicas[0].rlog;

    Rsim_Init(sim, 3, 1);
    rlog->callbacks.send = record_sent;
    for (int i = 1; i < count; i++) {
        RaftEntry entry = {terms[i], (uint64_t)i + 1, Rlog_ENTRY_CHANGE,
                           Str_LIT("x")};
        ck_assert(Rlog_RestoreEntry(rlog, &entry, NULL));
    }
    return rlog;
}

START_TEST(applies_vote_rules)
{
    const VoteCase *c = &vote_cases[_i];
    const uint64_t terms[] = {1, 2, 2};
    static RlogSimulation sim;
    ReplicatedLog *rlog = init_single_replica(&sim, terms, 3);
    RaftMessage request = {.kind = Rlog_VOTE_REQUEST,
                           .from = c->candidate,
                           .to = rlog->settings.identity,
                           .term = c->request_term,
                           .is_pre_vote = c->is_pre_vote,
                           .last_term = c->last_term,
                           .last_index = c->last_index};

    sim.replicas[0].term = c->term;
    sim.replicas[0].voted_for = c->voted_for;
    Rlog_RestoreVote(rlog, c->term, c->voted_for);
    rlog->leader_heard_at = c->since_heard ? sim.now : 0;
    Rlog_OnMessage(rlog, &request, sim.now + c->since_heard);
    ck_assert_int_eq(last_sent.kind, Rlog_VOTE_REPLY);
    ck_assert_msg(last_sent.granted == c->granted, "%s", c->name);
    ck_assert_msg(sim.replicas[0].term == c->stored_term, "%s", c->name);
    ck_assert_msg(sim.replicas[0].voted_for == c->stored_voted_for, "%s",
                  c->name);
    Rsim_Finish(&sim);
}
END_TEST

/* A new leader of term 4 whose log holds entries of terms 1, 2, 2 and then its
 * own no-op; two of three replicas store the log up to MATCH. */
typedef struct {
    uint64_t match;
    uint64_t commit;
} CommitCase;

static const CommitCase commit_cases[] = {{2, 0}, {3, 0}, {4, 4}};

START_TEST(commits_only_entries_of_own_term)
{
    const CommitCase *c = &commit_cases[_i];
    const uint64_t terms[] = {1, 2, 2};
    static RlogSimulation sim;
    ReplicatedLog *rlog = init_single_replica(&sim, terms, 3);
    RaftMessage message = {.kind = Rlog_VOTE_REPLY,
                           .from = sim.replicas[1].identity,
                           .to = rlog->settings.identity,
                           .term = 4,
                           .is_pre_vote = true,
                           .granted = true};

    Rlog_RestoreVote(rlog, 3, 0);
    Rlog_OnTick(rlog, sim.now + Span_S(3));
    Rlog_OnMessage(rlog, &message, sim.now + Span_S(3));
    message.is_pre_vote = false;
    Rlog_OnMessage(rlog, &message, sim.now + Span_S(3));
    ck_assert_int_eq(rlog->role, Rlog_LEADER);
    message.kind = Rlog_APPEND_REPLY;
    message.last_index = c->match;
    Rlog_OnMessage(rlog, &message, sim.now + Span_S(3));
    ck_assert_uint_eq(rlog->commit_index, c->commit);
    Rsim_Finish(&sim);
}
END_TEST

/* A follower's read index requests and the replies to them.  Its log holds
 * three entries, all of the leader's term; those up to COMMITTED are. */
typedef struct {
    const char *name;
    uint64_t committed;
    struct {
        Span sent_at;         /* of the request, after the start; 0: none */
        uint64_t reply_index; /* the leader's commit index; 0: no reply */
    } reads[3];
    uint64_t committed_later; /* after the replies */
    bool has_failed;
    Span as_of; /* after the start; 0: not known */
} AsOfCase;

static const AsOfCase as_of_cases[] = {
    {"no request", 1, {{0, 0}}, 1, false, 0},
    {"no reply", 1, {{Span_MS(10), 0}}, 1, false, 0},
    {"index committed", 2, {{Span_MS(10), 2}}, 2, false, Span_MS(10)},
    {"index not committed", 1, {{Span_MS(10), 2}}, 1, false, 0},
    {"index committed later", 1, {{Span_MS(10), 2}}, 2, false, Span_MS(10)},
    {"the log does not advance",
     2,
     {{Span_MS(10), 2}, {Span_MS(200), 3}, {Span_MS(400), 3}},
     2,
     false,
     Span_MS(10)},
    {"the log advances again",
     2,
     {{Span_MS(10), 2}, {Span_MS(200), 3}, {Span_MS(400), 3}},
     3,
     false,
     Span_MS(400)},
    {"a store failed", 2, {{Span_MS(10), 2}}, 2, true, 0},
};

START_TEST(current_as_of_last_index_that_is_committed)
{
    const AsOfCase *c = &as_of_cases[_i];
    const uint64_t terms[] = {1, 1, 1};
    static RlogSimulation sim;
    ReplicatedLog *rlog = init_single_replica(&sim, terms, 3);
    Instant start = sim.now;

    rlog->role = Rlog_FOLLOWER;
    rlog->term = 1;
    rlog->leader_identity = sim.replicas[1].identity;
    rlog->commit_index = c->committed;
    for (int i = 0; i < 3 && c->reads[i].sent_at; i++) {
        RaftMessage reply = {.kind = Rlog_READ_INDEX_REPLY,
                             .from = rlog->leader_identity,
                             .to = rlog->settings.identity,
                             .term = 1,
                             .last_index = c->reads[i].reply_index};
        Rlog_RequestReadIndex(rlog, start + c->reads[i].sent_at);
        reply.request_sent_at = last_sent.request_sent_at;
        if (reply.last_index) {
            Rlog_OnMessage(rlog, &reply, start + c->reads[i].sent_at);
        }
    }
    rlog->commit_index = c->committed_later;
    rlog->has_failed = c->has_failed;
    ck_assert_msg(Rlog_CurrentAsOf(rlog, start + Span_S(1)) ==
                      (c->as_of ? start + c->as_of : 0),
                  "%s", c->name);
    Rsim_Finish(&sim);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {applies_vote_rules, ROWS(vote_cases)},
        {commits_only_entries_of_own_term, ROWS(commit_cases)},
        {current_as_of_last_index_that_is_committed, ROWS(as_of_cases)},
    };

    return Suite_Run("rlog rules", tests, ROWS(tests), 30);
}
