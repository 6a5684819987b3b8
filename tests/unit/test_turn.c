/* Whom a node asks for the version in force, and when, after what it was
 * answered.  Each row is a series of moments. */
#include "process/versionpoll.h"
#include "support/suite.h"

#define START Span_S(100)

typedef enum { ASK, GOOD_ANSWER, UNLINKED_ANSWER, NOTHING } Event;

/* At AT after the start EVENT happens; then these hold. */
typedef struct {
    Span at;
    Event event;
    bool due;
    bool anywhere;
} Step;

enum { STEPS = 6 };

typedef struct {
    const char *name;
    Step steps[STEPS];
    int count;
    bool settled;
} TurnCase;

static const TurnCase cases[] = {
    {"answered",
     {{0, ASK, false, true},
      {Span_MS(20), GOOD_ANSWER, false, false},
      {Span_MS(900), NOTHING, false, false},
      {Span_MS(1000), NOTHING, true, false}},
     4,
     true},
    {"never answered: another one soon, anywhere",
     {{0, ASK, false, true},
      {Span_MS(200), NOTHING, false, true},
      {Span_MS(250), NOTHING, true, true},
      {Span_MS(250), ASK, false, true},
      {Span_MS(500), NOTHING, true, true}},
     5,
     true},
    {"answered by one that lost its leader",
     {{0, ASK, false, true},
      {Span_MS(20), UNLINKED_ANSWER, false, true},
      {Span_MS(250), NOTHING, true, true},
      {Span_MS(250), ASK, false, true},
      {Span_MS(300), GOOD_ANSWER, false, false},
      {Span_MS(1249), NOTHING, false, false}},
     6,
     true},
    {"not settled: at every look",
     {{0, ASK, true, true}, {Span_MS(1), NOTHING, true, true}},
     2,
     false},
};

START_TEST(asks_in_time)
{
    const TurnCase *c = &cases[_i];
    VersionPoll turn = {0};

    ck_assert(Vpl_IsDue(&turn, c->settled, START));
    for (int i = 0; i < c->count; i++) {
        const Step *step = &c->steps[i];
        Instant now = START + step->at;
        if (step->event == ASK) {
            Vpl_OnRequest(&turn, now);
        }
        else if (step->event != NOTHING) {
            Vpl_OnResponse(&turn, step->event == GOOD_ANSWER);
        }
        ck_assert_msg(Vpl_IsDue(&turn, c->settled, now) == step->due,
                      "%s, step %d: due", c->name, i);
        ck_assert_msg(Vpl_UsesAllRegions(&turn) == step->anywhere,
                      "%s, step %d: anywhere", c->name, i);
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{asks_in_time, sizeof cases / sizeof cases[0]}};

    return Suite_Run("turn", tests, 1, 10);
}
