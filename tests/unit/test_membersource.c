/* Tables of heartbeats: what a SourceSelector sends to each control replica,
 * and which source it chooses.  Replicas 0 and 1 are in the node's region,
 * replica 2 is not. */
#include "process/membership/membersource.h"
#include "support/suite.h"

enum { HEARTBEAT = 500, REPLICAS = 3, HEARTBEATS_MAX = 10 };

/* A heartbeat: which replicas answer, and what each of the three is expected
 * to be sent: N nothing, r a renewal, R the full record. */
typedef struct {
    /* By replica: y: answers; n: does not; u: answers and asks for the record.
     */
    const char *answers;
    const char *sent;    /* by replica */
    bool record_changed; /* since the last heartbeat */
    bool leaving;
} Heartbeat;

#define SAME(answers, sent)                                                   \
    {                                                                         \
        answers, sent, false, false                                           \
    }
#define CHANGED_RECORD(answers, sent)                                         \
    {                                                                         \
        answers, sent, true, false                                            \
    }
#define LEAVING(answers, sent)                                                \
    {                                                                         \
        answers, sent, true, true                                             \
    }

typedef struct {
    const char *name;
    bool is_replica; /* the node is replica 0 itself */
    Heartbeat heartbeats[HEARTBEATS_MAX];
    size_t source; /* at the end */
} SourceCase;

static const SourceCase cases[] = {
    {"all replicas get the record until one answers",
     false,
     {SAME("nnn", "RRR"), SAME("nnn", "RRR"), SAME("yyy", "RRR"),
      SAME("ynn", "rNN")},
     0},
    {"the source gets the record once, then renewals",
     false,
     {SAME("yyy", "RRR"), SAME("ynn", "rNN"), SAME("ynn", "rNN")},
     0},
    {"a change is sent as a full record",
     false,
     {SAME("yyy", "RRR"), SAME("ynn", "rNN"), CHANGED_RECORD("ynn", "RNN"),
      SAME("ynn", "rNN")},
     0},
    {"a leaving node sends its record to all replicas",
     false,
     {SAME("yyy", "RRR"), SAME("ynn", "rNN"), LEAVING("ynn", "RRR")},
     0},
    {"after an unanswered heartbeat a second replica gets the record",
     false,
     {SAME("yyy", "RRR"), SAME("nnn", "rNN"), SAME("nyn", "rRN"),
      SAME("ynn", "rRN"), SAME("ynn", "rNN")},
     0},
    {"after three unanswered the replica that answers is the source",
     false,
     {SAME("yyy", "RRR"), SAME("nnn", "rNN"), SAME("nyn", "rRN"),
      SAME("nyn", "rRN"), SAME("nyn", "NrN"), SAME("nyn", "NrN")},
     1},
    {"no replica of the region answers: all get the record",
     false,
     {SAME("yyy", "RRR"), SAME("nnn", "rNN"), SAME("nnn", "rRN"),
      SAME("nnn", "rRN"), SAME("nny", "RRR"), SAME("nny", "RRR")},
     2},
    {"a replica that asks for the record gets it",
     false,
     {SAME("yyy", "RRR"), SAME("unn", "rNN"), SAME("ynn", "RNN"),
      SAME("ynn", "rNN")},
     0},
    {"replicas send each other full records",
     true,
     {SAME("nyy", "NRR"), SAME("nyy", "NRR"), SAME("nyy", "NRR")},
     1},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static void
deliver_reply(SourceSelector *selector, size_t replica, char reply,
              Instant now)
{
    if (reply != 'n') {
        Mso_OnAnswer(selector, replica, now);
    }
    if (reply == 'u') {
        Mso_OnRecordRequest(selector, replica);
    }
}

static void
run_heartbeat(SourceSelector *selector, const SourceCase *c, int number,
              uint64_t sequence)
{
    static const char letters[] = {[Mso_SEND_NOTHING] = 'N',
                                   [Mso_SEND_RENEWAL] = 'r',
                                   [Mso_SEND_RECORD] = 'R'};
    const Heartbeat *heartbeat = &c->heartbeats[number];
    Instant now = (number + 1) * HEARTBEAT;

    Mso_ChooseSource(selector, now);
    for (size_t i = 0; i < REPLICAS; i++) {
        HeartbeatMessage message =
            Mso_ChooseMessage(selector, i, sequence, heartbeat->leaving, now);
        ck_assert_msg(letters[message] == heartbeat->sent[i],
                      "%s: heartbeat %d, replica %zu: %c", c->name, number, i,
                      letters[message]);
        if (message == Mso_SEND_RECORD) {
            Mso_OnRecordSent(selector, i, (uint64_t)number + 1);
        }
    }
    for (size_t i = 0; i < REPLICAS; i++) {
        deliver_reply(selector, i, heartbeat->answers[i], now + 1);
    }
}

START_TEST(sends_expected_messages)
{
    const SourceCase *c = &cases[_i];
    uint64_t sequence = 1;
    SourceSelector selector;

    Mso_Init(&selector, REPLICAS, HEARTBEAT, c->is_replica, 0);
    selector.replicas[0].is_local = true;
    selector.replicas[1].is_local = true;
    selector.replicas[0].is_skipped = c->is_replica;
    for (int i = 0; i < HEARTBEATS_MAX && c->heartbeats[i].sent; i++) {
        sequence =
            c->heartbeats[i].record_changed ? (uint64_t)i + 1 : sequence;
        run_heartbeat(&selector, c, i, sequence);
    }
    ck_assert_msg(selector.source == c->source, "%s: source %zu", c->name,
                  selector.source);
    Mso_Finish(&selector);
}
END_TEST

/* Nodes are spread over the replicas of their region. */
static const size_t hash_cases[][2] = {{0, 0}, {1, 1}, {2, 0}, {5, 1}};

enum { HASH_CASE_COUNT = sizeof hash_cases / sizeof hash_cases[0] };

START_TEST(spreads_nodes)
{
    SourceSelector selector;

    Mso_Init(&selector, REPLICAS, HEARTBEAT, false, hash_cases[_i][0]);
    selector.replicas[0].is_local = true;
    selector.replicas[1].is_local = true;
    for (size_t i = 0; i < REPLICAS; i++) {
        Mso_OnAnswer(&selector, i, 1);
    }
    Mso_ChooseSource(&selector, 2);
    ck_assert_uint_eq(selector.source, hash_cases[_i][1]);
    Mso_Finish(&selector);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{sends_expected_messages, CASE_COUNT},
                               {spreads_nodes, HASH_CASE_COUNT}};

    return Suite_Run("membersource", tests, 2, 10);
}
