/* When a node polls a control replica for the version in force, and in which
 * regions, after requests and responses; and as of when it knows its version.
 * Each case is a series of events. */
#include "process/versionpoll.h"
#include "process/versionword.h"
#include "support/suite.h"

#define START Span_S(100)

typedef enum { REQUEST, RESPONSE, RESPONSE_WITHOUT_LEADER, NOTHING } Event;

/* EVENT happens at AT after the start; DUE and ALL_REGIONS hold after it. */
typedef struct {
    Span at;
    Event event;
    bool due;
    bool all_regions;
} Step;

enum { STEPS = 6 };

typedef struct {
    const char *name;
    Step steps[STEPS];
    int count;
    bool is_up_to_date;
} PollCase;

static const PollCase cases[] = {
    {"answered",
     {{0, REQUEST, false, true},
      {Span_MS(20), RESPONSE, false, false},
      {Span_MS(900), NOTHING, false, false},
      {Span_MS(1000), NOTHING, true, false}},
     4,
     true},
    {"no response: another request soon, in any region",
     {{0, REQUEST, false, true},
      {Span_MS(200), NOTHING, false, true},
      {Span_MS(250), NOTHING, true, true},
      {Span_MS(250), REQUEST, false, true},
      {Span_MS(500), NOTHING, true, true}},
     5,
     true},
    {"a response from a replica without a leader",
     {{0, REQUEST, false, true},
      {Span_MS(20), RESPONSE_WITHOUT_LEADER, false, true},
      {Span_MS(250), NOTHING, true, true},
      {Span_MS(250), REQUEST, false, true},
      {Span_MS(300), RESPONSE, false, false},
      {Span_MS(1249), NOTHING, false, false}},
     6,
     true},
    {"not up to date: always due",
     {{0, REQUEST, true, true}, {Span_MS(1), NOTHING, true, true}},
     2,
     false},
};

START_TEST(polls_when_due)
{
    const PollCase *c = &cases[_i];
    VersionPoll poll = {0};

    ck_assert(Vpl_IsDue(&poll, c->is_up_to_date, START));
    for (int i = 0; i < c->count; i++) {
        const Step *step = &c->steps[i];
        Instant now = START + step->at;
        if (step->event == REQUEST) {
            Vpl_OnRequest(&poll, now);
        }
        else if (step->event != NOTHING) {
            Vpl_OnResponse(&poll, step->event == RESPONSE);
        }
        ck_assert_msg(Vpl_IsDue(&poll, c->is_up_to_date, now) == step->due,
                      "%s, step %d: due", c->name, i);
        ck_assert_msg(Vpl_UsesAllRegions(&poll) == step->all_regions,
                      "%s, step %d: all regions", c->name, i);
    }
}
END_TEST

/* A word that answers the request sent at SENT_AT and came at AT, both after
 * the start, when the first request was sent. */
typedef struct {
    Span at;
    Span sent_at;
    Span age;
    Addr from;
} Word;

typedef struct {
    const char *name;
    Word words[3];
    int count;
    Span as_of; /* after the start; Vwd_NOT_KNOWN: nothing is known */
    Addr from;
} WordCase;

static const WordCase word_cases[] = {
    {"no word", {{0, 0, 0, 0}}, 0, Vwd_NOT_KNOWN, 0},
    {"of a replica that is current", {{Span_MS(24), 0, 0, 1}}, 1, 0, 1},
    {"of a replica whose log does not advance",
     {{Span_S(9), Span_S(9), Span_S(7), 1}},
     1,
     Span_S(2),
     1},
    {"counted from the request, however late the answer",
     {{Span_S(9), Span_S(2), Span_MS(100), 1}},
     1,
     Span_MS(1900),
     1},
    {"the latest one is kept",
     {{Span_S(1), Span_S(1), 0, 1}, {Span_S(3), Span_S(2), Span_S(2), 2}},
     2,
     Span_S(1),
     1},
    {"a later one replaces it",
     {{Span_S(1), Span_S(1), 0, 1}, {Span_S(3), Span_S(2), Span_MS(1), 2}},
     2,
     Span_MS(1999),
     2},
    {"before the start, of a request by another process",
     {{Span_S(1), -1, 0, 1}},
     1,
     Vwd_NOT_KNOWN,
     0},
    {"of a request that is not sent yet",
     {{Span_S(1), Span_S(2), 0, 1}},
     1,
     Vwd_NOT_KNOWN,
     0},
    {"older than the clock", {{0, 0, START, 1}}, 1, Vwd_NOT_KNOWN, 0},
};

START_TEST(knows_version_as_of_request)
{
    const WordCase *c = &word_cases[_i];
    VersionWord word = {0};
    Span age;

    for (int i = 0; i < c->count; i++) {
        const Word *w = &c->words[i];
        Vwd_Advance(
            &word,
            Vwd_ComputeAsOf(START + w->sent_at, w->age, START, START + w->at),
            w->from);
    }
    age = c->as_of == Vwd_NOT_KNOWN ? Vwd_NOT_KNOWN : Span_S(10) - c->as_of;
    ck_assert_msg(Vwd_Age(&word, START + Span_S(10)) == age, "%s", c->name);
    ck_assert_msg(word.from == c->from, "%s", c->name);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {polls_when_due, sizeof cases / sizeof cases[0]},
        {knows_version_as_of_request,
         sizeof word_cases / sizeof word_cases[0]},
    };

    return Suite_Run("turn", tests, 2, 10);
}
