/* Announcements of a backend server's starts, in and out of order, and the
 * load that it tells. */
#include "process/presence.h"
#include "support/suite.h"
#include "value/load.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { STEPS_MAX = 5 };

typedef struct {
    const char *id; /* NULL: the end */
    int64_t born;
    uint64_t sequence;
    bool draining; /* it says */
    bool leaves;   /* says that it leaves, instead */
    PresenceVerdict verdict;
    bool drains; /* afterwards */
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} PresenceCase;

static const PresenceCase cases[] = {
    {"in order",
     {{"a", 10, 1, false, false, Prs_NEW_START, false},
      {"a", 10, 2, false, false, Prs_ACCEPTED, false},
      {"a", 10, 3, true, false, Prs_ACCEPTED, true}}},
    {"overtaken",
     {{"a", 10, 5, false, false, Prs_NEW_START, false},
      {"a", 10, 4, false, false, Prs_STALE, false},
      {"a", 10, 5, false, false, Prs_STALE, false}}},
    {"a late word of leaving counts",
     {{"a", 10, 5, false, false, Prs_NEW_START, false},
      {"a", 10, 4, true, false, Prs_ACCEPTED, true},
      {"a", 10, 6, false, false, Prs_ACCEPTED, true}}},
    {"started again under its id",
     {{"a", 10, 900, false, false, Prs_NEW_START, false},
      {"a", 20, 1, false, false, Prs_NEW_START, false},
      {"a", 10, 901, false, false, Prs_STALE, false}}},
    {"another after it, and a word of the dead",
     {{"a", 10, 9, true, false, Prs_NEW_START, true},
      {"b", 20, 1, false, false, Prs_NEW_START, false},
      {"a", 10, 10, true, false, Prs_STALE, false}}},
    {"leaves without draining",
     {{"a", 10, 1, false, false, Prs_NEW_START, false},
      {"a", 0, 0, false, true, Prs_ACCEPTED, true},
      {"a", 10, 2, false, false, Prs_ACCEPTED, true}}},
    {"another leaves",
     {{"a", 10, 1, false, false, Prs_NEW_START, false},
      {"b", 0, 0, false, true, Prs_STALE, false}}},
};

START_TEST(goes_by_the_latest_start)
{
    const PresenceCase *c = &cases[_i];
    BackendPresence prs = {{0}, 0, 0, false};

    for (int i = 0; i < STEPS_MAX && c->steps[i].id; i++) {
        const Step *step = &c->steps[i];
        PresenceAnnouncement word = {Str_FromC(step->id), step->born,
                                     step->sequence, step->draining};
        PresenceVerdict verdict =
            step->leaves
                ? (Prs_OnLeave(&prs, word.id) ? Prs_ACCEPTED : Prs_STALE)
                : Prs_OnAnnouncement(&prs, &word);
        ck_assert_msg(verdict == step->verdict && prs.draining == step->drains,
                      "%s, step %d: %d, drains %d", c->name, i, (int)verdict,
                      prs.draining);
    }
    Prs_Finish(&prs);
}
END_TEST

typedef struct {
    const char *text;
    bool good;
    LoadWord word;
} WordCase;

static const WordCase words[] = {
    {"3,0,8", true, {3, 0, 8, 0}},
    {"3,1,8,700", true, {3, 1, 8, 700}},
    {" 3, 1 ,8,100", true, {3, 1, 8, 100}},
    {"3,1", false, {0, 0, 0, 0}},
    {"", false, {0, 0, 0, 0}},
    {"3,1,8,", false, {0, 0, 0, 0}},
    {"-3,1,8", false, {0, 0, 0, 0}},
    {"3,1,8,99999999", false, {0, 0, 0, 0}},
    {"a,b,c", false, {0, 0, 0, 0}},
};

START_TEST(reads_what_is_said_of_load)
{
    const WordCase *c = &words[_i];
    LoadWord word;

    ck_assert_int_eq(Load_Parse(Str_FromC(c->text), &word), c->good);
    if (c->good) {
        ck_assert(word.running == c->word.running &&
                  word.waiting == c->word.waiting &&
                  word.slots == c->word.slots && word.pace == c->word.pace);
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{goes_by_the_latest_start, ROWS(cases)},
                               {reads_what_is_said_of_load, ROWS(words)}};

    return Suite_Run("presence", tests, 2, 10);
}
