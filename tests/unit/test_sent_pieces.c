/* Tables of cases over the pieces of answers that are kept for a moment. */
#include "request/sentpieces.h"
#include "support/suite.h"

enum { STEPS_MAX = 12, PIECE = 65536, FULL = Snt_BYTES_MAX / (PIECE + 128) };

typedef enum { END, ADD, ADD_LAST, EXPIRE, ALL, NOT_ALL } Step;

typedef struct {
    Step step;
    uint64_t counter;  /* of the attempt */
    uint32_t sequence; /* ADD; first of ALL and NOT_ALL */
    uint32_t end;      /* of ALL and NOT_ALL; 0: the last piece */
    Span at;
} StepRow;

typedef struct {
    const char *name;
    int others; /* pieces of another attempt that are sent afterwards */
    StepRow steps[STEPS_MAX];
} SentCase;

static const SentCase cases[] = {
    {"what was sent, to the last",
     0,
     {{ADD, 1, 0, 0, 0},
      {ADD, 1, 1, 0, 0},
      {ADD_LAST, 1, 2, 0, 0},
      {ALL, 1, 0, 0, 0},
      {ALL, 1, 2, 0, 0},
      {ALL, 1, 0, 3, 0},
      {NOT_ALL, 1, 3, 0, 0},
      {NOT_ALL, 2, 0, 0, 0}}},
    {"more is to come",
     0,
     {{ADD, 1, 0, 0, 0},
      {ADD, 1, 1, 0, 0},
      {ALL, 1, 1, 2, 0},
      {ALL, 1, 2, 2, 0},
      {NOT_ALL, 1, 0, 3, 0},
      {NOT_ALL, 1, 0, 0, 0}}},
    {"a gap",
     0,
     {{ADD, 1, 0, 0, 0},
      {ADD_LAST, 1, 2, 0, 0},
      {NOT_ALL, 1, 0, 0, 0},
      {ALL, 1, 2, 0, 0}}},
    {"two attempts",
     0,
     {{ADD, 1, 0, 0, 0},
      {ADD_LAST, 2, 1, 0, 0},
      {NOT_ALL, 1, 0, 0, 0},
      {NOT_ALL, 2, 0, 0, 0},
      {ALL, 2, 1, 0, 0}}},
    {"until its time is over",
     0,
     {{ADD, 1, 0, 0, 0},
      {ADD_LAST, 1, 1, 0, Span_S(1)},
      {EXPIRE, 0, 0, 0, Snt_RETENTION - 1},
      {ALL, 1, 0, 0, 0},
      {EXPIRE, 0, 0, 0, Snt_RETENTION},
      {NOT_ALL, 1, 0, 0, 0},
      {ALL, 1, 1, 0, 0}}},
    {"room for others", FULL - 1, {{ADD_LAST, 1, 0, 0, 0}, {ALL, 1, 0, 0, 0}}},
    {"the oldest gives way",
     FULL,
     {{ADD_LAST, 1, 0, 0, 0}, {NOT_ALL, 1, 0, 0, 0}}},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static char filler[PIECE];

static void
add(SentPieces *sent, uint64_t counter, const StepRow *row)
{
    AttemptId id = {7, counter};
    SentPiece piece = {Str_From(filler, PIECE), PIECE, row->step == ADD_LAST};

    Snt_Add(sent, id, row->sequence, &piece, row->at);
}

static void
run_step(SentPieces *sent, const SentCase *c, const StepRow *row)
{
    AttemptId id = {7, row->counter};
    uint32_t end = row->end ? row->end : UINT32_MAX;

    switch (row->step) {
    case ADD:
    case ADD_LAST:
        add(sent, row->counter, row);
        break;
    case EXPIRE:
        Snt_Expire(sent, row->at);
        break;
    case ALL:
    case NOT_ALL:
        ck_assert_msg(Snt_HasAll(sent, id, row->sequence, end) ==
                          (row->step == ALL),
                      "%s: from %u to %u", c->name, row->sequence, row->end);
        break;
    case END:
        break;
    }
}

START_TEST(keeps_what_may_be_sent_again)
{
    const SentCase *c = &cases[_i];
    const StepRow other = {.step = ADD};
    SentPieces sent = {0};

    run_step(&sent, c, &c->steps[0]);
    for (int i = 0; i < c->others; i++) {
        add(&sent, 1000, &other);
    }
    for (int i = 1; i < STEPS_MAX; i++) {
        run_step(&sent, c, &c->steps[i]);
        ck_assert_uint_le(sent.bytes, Snt_BYTES_MAX);
    }
    Snt_Finish(&sent);
    ck_assert_uint_eq(sent.bytes, 0);
    ck_assert_uint_eq(sent.pieces.count, 0);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{keeps_what_may_be_sent_again, CASE_COUNT}};

    return Suite_Run("sent pieces", tests, 1, 20);
}
