/* Tables of heartbeats over the decider of what a node tells which control
 * replica.  Replicas 0 and 1 are of the node's region, replica 2 is not. */
#include "process/membersource.h"
#include "support/suite.h"

enum { BEAT = 500, REPLICAS = 3, BEATS_MAX = 10 };

/* A heartbeat: who answers it, and what is expected to have been told to the
 * three replicas: N nothing, r a renewal, R the whole record. */
typedef struct {
    const char *answers; /* y, n; u: knows no such node */
    const char *told;
    bool changed; /* the record did since the last heartbeat */
    bool leaving;
} Beat;

#define TOLD(answers, told)                                                   \
    {                                                                         \
        answers, told, false, false                                           \
    }
#define CHANGED(answers, told)                                                \
    {                                                                         \
        answers, told, true, false                                            \
    }
#define LEAVES(answers, told)                                                 \
    {                                                                         \
        answers, told, true, true                                             \
    }

typedef struct {
    const char *name;
    bool control; /* the node is replica 0 itself */
    Beat beats[BEATS_MAX];
    size_t source; /* at the end */
} SourceCase;

static const SourceCase cases[] = {
    {"all are told until one answers",
     false,
     {TOLD("nnn", "RRR"), TOLD("nnn", "RRR"), TOLD("yyy", "RRR"),
      TOLD("ynn", "rNN")},
     0},
    {"the record once, then renewals",
     false,
     {TOLD("yyy", "RRR"), TOLD("ynn", "rNN"), TOLD("ynn", "rNN")},
     0},
    {"a change is told whole",
     false,
     {TOLD("yyy", "RRR"), TOLD("ynn", "rNN"), CHANGED("ynn", "RNN"),
      TOLD("ynn", "rNN")},
     0},
    {"leaving is told to all",
     false,
     {TOLD("yyy", "RRR"), TOLD("ynn", "rNN"), LEAVES("ynn", "RRR")},
     0},
    {"a silent heartbeat brings in a second one",
     false,
     {TOLD("yyy", "RRR"), TOLD("nnn", "rNN"), TOLD("nyn", "rRN"),
      TOLD("ynn", "rRN"), TOLD("ynn", "rNN")},
     0},
    {"after three the one that answers is the source",
     false,
     {TOLD("yyy", "RRR"), TOLD("nnn", "rNN"), TOLD("nyn", "rRN"),
      TOLD("nyn", "rRN"), TOLD("nyn", "NrN"), TOLD("nyn", "NrN")},
     1},
    {"none of the region answers: all are told",
     false,
     {TOLD("yyy", "RRR"), TOLD("nnn", "rNN"), TOLD("nnn", "rRN"),
      TOLD("nnn", "rRN"), TOLD("nny", "RRR"), TOLD("nny", "RRR")},
     2},
    {"a replica that knows no such node is told whole",
     false,
     {TOLD("yyy", "RRR"), TOLD("unn", "rNN"), TOLD("ynn", "RNN"),
      TOLD("ynn", "rNN")},
     0},
    {"replicas tell each other whole records",
     true,
     {TOLD("nyy", "NRR"), TOLD("nyy", "NRR"), TOLD("nyy", "NRR")},
     1},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static void
answer(SourceSelector *mso, size_t replica, char how, Instant now)
{
    if (how != 'n') {
        Mso_OnAnswer(mso, replica, now);
    }
    if (how == 'u') {
        Mso_OnRecordRequest(mso, replica);
    }
}

static void
beat(SourceSelector *mso, const SourceCase *c, int number, uint64_t said)
{
    static const char letters[] = {[Mso_SEND_NOTHING] = 'N',
                                   [Mso_SEND_RENEWAL] = 'r',
                                   [Mso_SEND_RECORD] = 'R'};
    const Beat *b = &c->beats[number];
    Instant now = (number + 1) * BEAT;

    Mso_ChooseSource(mso, now);
    for (size_t i = 0; i < REPLICAS; i++) {
        HeartbeatMessage tell =
            Mso_ChooseMessage(mso, i, said, b->leaving, now);
        ck_assert_msg(letters[tell] == b->told[i],
                      "%s: heartbeat %d, replica %zu: %c", c->name, number, i,
                      letters[tell]);
        if (tell == Mso_SEND_RECORD) {
            Mso_OnRecordSent(mso, i, (uint64_t)number + 1);
        }
    }
    for (size_t i = 0; i < REPLICAS; i++) {
        answer(mso, i, b->answers[i], now + 1);
    }
}

START_TEST(tells_the_right_ones)
{
    const SourceCase *c = &cases[_i];
    uint64_t said = 1;
    SourceSelector mso;

    Mso_Init(&mso, REPLICAS, BEAT, c->control, 0);
    mso.replicas[0].is_local = true;
    mso.replicas[1].is_local = true;
    mso.replicas[0].is_skipped = c->control;
    for (int i = 0; i < BEATS_MAX && c->beats[i].told; i++) {
        said = c->beats[i].changed ? (uint64_t)i + 1 : said;
        beat(&mso, c, i, said);
    }
    ck_assert_msg(mso.source == c->source, "%s: source %zu", c->name,
                  mso.source);
    Mso_Finish(&mso);
}
END_TEST

/* Nodes are spread over the replicas of their region. */
static const size_t spreads[][2] = {{0, 0}, {1, 1}, {2, 0}, {5, 1}};

enum { SPREAD_COUNT = sizeof spreads / sizeof spreads[0] };

START_TEST(spreads_nodes)
{
    SourceSelector mso;

    Mso_Init(&mso, REPLICAS, BEAT, false, spreads[_i][0]);
    mso.replicas[0].is_local = true;
    mso.replicas[1].is_local = true;
    for (size_t i = 0; i < REPLICAS; i++) {
        Mso_OnAnswer(&mso, i, 1);
    }
    Mso_ChooseSource(&mso, 2);
    ck_assert_uint_eq(mso.source, spreads[_i][1]);
    Mso_Finish(&mso);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{tells_the_right_ones, CASE_COUNT},
                               {spreads_nodes, SPREAD_COUNT}};

    return Suite_Run("membersource", tests, 2, 10);
}
