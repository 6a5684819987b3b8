/* Tables of cases over the answers that are kept for a moment. */
#include <string.h>

#include "request/recent.h"
#include "support/suite.h"

enum { STEPS_MAX = 24 };

typedef enum { END, ADD, ASK, EXPIRE } Step;

typedef struct {
    Step step;
    uint64_t counter; /* of the attempt; EXPIRE: none */
    size_t bytes;     /* of the answer; ASK: expected, 0: none is kept */
    Span at;
} StepRow;

typedef struct {
    const char *name;
    int repeats; /* of the first step, with counters that follow */
    StepRow steps[STEPS_MAX];
} RecentCase;

static const RecentCase cases[] = {
    {"kept", 1, {{ADD, 1, 40, 0}, {ASK, 1, 40, 0}, {ASK, 2, 0, 0}}},
    {"kept until its time is over",
     1,
     {{ADD, 1, 40, 0},
      {ADD, 2, 50, Span_S(1)},
      {EXPIRE, 0, 0, Rcn_RETENTION - 1},
      {ASK, 1, 40, 0},
      {EXPIRE, 0, 0, Rcn_RETENTION},
      {ASK, 1, 0, 0},
      {ASK, 2, 50, 0}}},
    {"the longest",
     1,
     {{ADD, 1, Rcn_ANSWER_BYTES_MAX, 0}, {ASK, 1, Rcn_ANSWER_BYTES_MAX, 0}}},
    {"too long", 1, {{ADD, 1, Rcn_ANSWER_BYTES_MAX + 1, 0}, {ASK, 1, 0, 0}}},
    {"room for all",
     Rcn_BYTES_MAX / 65536,
     {{ADD, 1, 65536, 0}, {ASK, 1, 65536, 0}}},
    {"the oldest gives way",
     Rcn_BYTES_MAX / 65536,
     {{ADD, 1, 65536, 0},
      {ADD, 99, 1, 0},
      {ASK, 1, 0, 0},
      {ASK, 2, 65536, 0},
      {ASK, 99, 1, 0}}},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static char filler[Rcn_ANSWER_BYTES_MAX + 1];

static void
run_step(RecentAnswers *recent, const RecentCase *c, const StepRow *row)
{
    AttemptId id = {7, row->counter};
    Str answer = {0};
    bool found;

    switch (row->step) {
    case ADD:
        Rcn_Add(recent, id, Str_From(filler, row->bytes), row->at);
        break;
    case ASK:
        found = Rcn_Find(recent, id, &answer);
        ck_assert_msg(found == (row->bytes > 0) && answer.len == row->bytes,
                      "%s: %zu bytes of %d", c->name, answer.len,
                      (int)row->counter);
        break;
    case EXPIRE:
        Rcn_Expire(recent, row->at);
        break;
    case END:
        break;
    }
}

START_TEST(keeps_what_may_be_asked_for)
{
    const RecentCase *c = &cases[_i];
    RecentAnswers recent = {0};
    StepRow first = c->steps[0];

    memset(filler, 'a', sizeof filler);
    for (int i = 1; i < c->repeats; i++, first.counter++) {
        run_step(&recent, c, &first);
    }
    run_step(&recent, c, &first);
    for (int i = 1; i < STEPS_MAX; i++) {
        run_step(&recent, c, &c->steps[i]);
        ck_assert_uint_le(recent.bytes, Rcn_BYTES_MAX);
    }
    Rcn_Finish(&recent);
    ck_assert_uint_eq(recent.bytes, 0);
    ck_assert_uint_eq(recent.answers.count, 0);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{keeps_what_may_be_asked_for, CASE_COUNT}};

    return Suite_Run("recent answers", tests, 1, 20);
}
