/* When a node polls a control replica for the version in force, and in which
 * regions, after requests and responses.  Each case is a series of events. */
#include "process/versionpoll.h"
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

int
main(void)
{
    const SuiteTest tests[] = {
        {polls_when_due, sizeof cases / sizeof cases[0]}};

    return Suite_Run("turn", tests, 1, 10);
}
