/* When a node polls a control replica for the version in force, and in which
 * regions, after requests and responses; and as of when it knows its version.
 * Each case is a series of events. */
#include <stdio.h>

#include "process/control/versionpoll.h"
#include "process/control/versionword.h"
#include "support/suite.h"

#define START Span_S(100)

typedef enum {
    REQUEST,
    WIDE_REQUEST,  /* as many at once as are due */
    RESPONSE,      /* to the last request, with a word of AGE at it */
    LATE_RESPONSE, /* to an earlier one */
    NOTHING
} EventKind;

/* EVENT happens at AT after the start; then DUE requests are due, and
 * ALL_REGIONS holds. */
typedef struct {
    Span at;
    EventKind event;
    Span age;
    uint32_t due;
    bool all_regions;
} Step;

enum { STEPS = 6 };

typedef struct {
    const char *name;
    Step steps[STEPS];
    int count;
    bool is_up_to_date;
} PollCase;

#define NOT_KNOWN INT64_MAX

static const PollCase cases[] = {
    {"answered",
     {{0, REQUEST, 0, 0, true},
      {Span_MS(20), RESPONSE, 0, 0, false},
      {Span_MS(900), NOTHING, 0, 0, false},
      {Span_MS(1000), NOTHING, 0, 1, false}},
     4,
     true},
    {"no response: several requests soon, in any region",
     {{0, REQUEST, 0, 0, true},
      {Span_MS(200), NOTHING, 0, 0, true},
      {Span_MS(250), NOTHING, 0, 3, true},
      {Span_MS(250), WIDE_REQUEST, 0, 0, true},
      {Span_MS(500), NOTHING, 0, 3, true}},
     5,
     true},
    {"a response after one that is too old",
     {{0, REQUEST, 0, 0, true},
      {Span_MS(20), RESPONSE, NOT_KNOWN, 3, true},
      {Span_MS(250), NOTHING, 0, 3, true},
      {Span_MS(250), WIDE_REQUEST, 0, 0, true},
      {Span_MS(300), RESPONSE, 0, 0, false},
      {Span_MS(1249), NOTHING, 0, 0, false}},
     6,
     true},
    {"a response that is too old: several requests at once",
     {{0, REQUEST, 0, 0, true},
      {Span_MS(20), RESPONSE, Span_MS(480), 3, true},
      {Span_MS(20), WIDE_REQUEST, 0, 0, true},
      {Span_MS(40), RESPONSE, Span_MS(480), 0, true},
      {Span_MS(44), RESPONSE, Span_MS(20), 0, false},
      {Span_MS(48), RESPONSE, Span_S(9), 0, false}},
     6,
     true},
    {"a response to an earlier request: no reason to ask on",
     {{0, REQUEST, 0, 0, true}, {Span_MS(20), LATE_RESPONSE, 0, 0, true}},
     2,
     true},
    {"a response that is rather old: the next request sooner",
     {{0, REQUEST, 0, 0, true},
      {Span_MS(20), RESPONSE, Span_MS(479), 0, false}},
     2,
     true},
    {"not up to date: always due",
     {{0, REQUEST, 0, 1, true}, {Span_MS(20), RESPONSE, 0, 1, false}},
     2,
     false},
};

/* As Vwd_ComputeAsOf returns it for a response to the last request. */
static Instant
get_as_of(const VersionPoll *poll, Span age)
{
    return age == NOT_KNOWN ? 0 : poll->last_request_at - age;
}

START_TEST(polls_when_due)
{
    const PollCase *c = &cases[_i];
    VersionPoll poll = {0};

    ck_assert_uint_eq(Vpl_CountDue(&poll, c->is_up_to_date, START), 1);
    for (int i = 0; i < c->count; i++) {
        const Step *step = &c->steps[i];
        Instant now = START + step->at;
        if (step->event == WIDE_REQUEST) {
            ck_assert_uint_eq(Vpl_CountDue(&poll, c->is_up_to_date, now),
                              Vpl_WIDE_REQUESTS);
            Vpl_OnRequest(&poll, now);
            Vpl_OnRequest(&poll, now);
            Vpl_OnRequest(&poll, now);
        }
        else if (step->event == REQUEST) {
            Vpl_OnRequest(&poll, now);
        }
        else if (step->event == RESPONSE) {
            Vpl_OnResponse(&poll, poll.last_request_at,
                           get_as_of(&poll, step->age), now);
        }
        else if (step->event == LATE_RESPONSE) {
            Vpl_OnResponse(&poll, START - Span_S(1), START - Span_S(1), now);
        }
        ck_assert_msg(Vpl_CountDue(&poll, c->is_up_to_date, now) == step->due,
                      "%s, step %d: due", c->name, i);
        ck_assert_msg(Vpl_UsesAllRegions(&poll) == step->all_regions,
                      "%s, step %d: all regions", c->name, i);
    }
}
END_TEST

/* When the next request is due after one at the start that is answered after
 * 20 ms with a word of AGE. */
typedef struct {
    Span age;
    Span next_at;
} NextCase;

static const NextCase next_cases[] = {
    {0, Span_MS(1000)},
    {Span_MS(250), Span_MS(1000)},
    {Span_MS(300), Span_MS(950)},
    {Span_MS(479), Span_MS(771)},
};

START_TEST(renews_old_word_sooner)
{
    const NextCase *c = &next_cases[_i];
    VersionPoll poll = {0};

    Vpl_OnRequest(&poll, START);
    Vpl_OnResponse(&poll, START, START - c->age, START + Span_MS(20));
    ck_assert_uint_eq(Vpl_CountDue(&poll, true, START + c->next_at - 1), 0);
    ck_assert_uint_eq(Vpl_CountDue(&poll, true, START + c->next_at), 1);
}
END_TEST

/* Five replicas.  Those that lag are in contact with their leader, but hold
 * nothing new; they wait for a read as long as a replica does that hears its
 * leader. */
typedef enum { GOOD, SILENT, LAGS } ReplicaState;

enum { REPLICAS = 5 };

#define TICK Span_MS(100)
#define ROUND_TRIP Span_MS(24)
/* A replica's longest wait for its leader before it answers (POLL_TIMEOUT in
 * process/control/control_read.c). */
#define ANSWER_WAIT Span_MS(150)
/* Age of the word that a replica gives without asking its leader. */
#define DIRECT_AGE Span_MS(250)
/* Within this a change must be in force everywhere. */
#define IN_FORCE_BOUND Span_MS(2000)

typedef struct {
    VersionPoll poll;
    const ReplicaState *states;
    uint32_t next; /* replica asked next */
    struct {
        Instant due;
        Instant sent_at;
        Instant as_of;
    } answers[64];
    int answer_count;
    bool is_named; /* a good replica has named the version */
    Instant named_at;
} Asker;

static void
ask(Asker *asker, Instant now)
{
    ReplicaState state = asker->states[asker->next++ % REPLICAS];
    Instant heard = now + ROUND_TRIP + ANSWER_WAIT;

    Vpl_OnRequest(&asker->poll, now);
    if (state != SILENT && asker->answer_count < 64) {
        asker->answers[asker->answer_count].due = heard;
        asker->answers[asker->answer_count].sent_at = now;
        asker->answers[asker->answer_count++].as_of = state == GOOD ? now : 0;
    }
}

static void
ask_when_due(Asker *asker, Instant now)
{
    uint32_t count = Vpl_CountDue(&asker->poll, true, now);

    for (uint32_t i = 0; i < count; i++) {
        ask(asker, now);
    }
}

static void
hear(Asker *asker, Instant now)
{
    for (int i = 0; i < asker->answer_count; i++) {
        if (asker->answers[i].due == now) {
            Vpl_OnResponse(&asker->poll, asker->answers[i].sent_at,
                           asker->answers[i].as_of, now);
            if (asker->answers[i].as_of && !asker->is_named) {
                asker->is_named = true;
                asker->named_at = now;
            }
            if (asker->poll.is_overdue) {
                ask_when_due(asker, now);
            }
        }
    }
}

/* Returns the time from the acknowledgement of a change until it is in force
 * at a node whose ticks come at TICK_PHASE.  Just before, the node got a word
 * as old as it can be without another round, and no announcement reaches it.
 */
static Span
measure_in_force(const ReplicaState *states, Span tick_phase)
{
    Asker asker = {.states = states};
    Instant known_as_of = START - DIRECT_AGE;

    Vpl_OnRequest(&asker.poll, START);
    Vpl_OnResponse(&asker.poll, START, known_as_of, START + ROUND_TRIP);
    for (Instant now = START; !asker.is_named && now < START + Span_S(10);
         now += Span_MS(1)) {
        hear(&asker, now);
        if ((now - START) % TICK == tick_phase) {
            ask_when_due(&asker, now);
        }
    }
    /* The change was acknowledged right after KNOWN_AS_OF, and the preset is
     * fetched in a round trip of its own. */
    return asker.named_at + ROUND_TRIP - known_as_of;
}

/* Two replicas are silent and one lags; a row for each place of the silent
 * ones and the lagging one among the five. */
typedef struct {
    ReplicaState states[REPLICAS];
} FaultCase;

static const FaultCase fault_cases[] = {
    {{SILENT, SILENT, LAGS, GOOD, GOOD}}, {{SILENT, LAGS, SILENT, GOOD, GOOD}},
    {{LAGS, SILENT, SILENT, GOOD, GOOD}}, {{SILENT, SILENT, GOOD, LAGS, GOOD}},
    {{SILENT, LAGS, GOOD, SILENT, GOOD}}, {{LAGS, SILENT, GOOD, SILENT, GOOD}},
    {{SILENT, GOOD, SILENT, LAGS, GOOD}}, {{SILENT, SILENT, GOOD, GOOD, LAGS}},
    {{GOOD, GOOD, GOOD, GOOD, GOOD}},
};

/* 250 ms of age, 1000 ms until the next poll, up to 100 ms until a tick; then
 * in vain 250 ms and up to 100 ms until a tick, or 174 ms until an answer that
 * is too old; then 174 ms until an answer that is not, and 24 ms for the
 * preset: at most 1.9 s. */
START_TEST(in_force_in_time_past_silent_and_lagging_replicas)
{
    Span longest = 0;

    for (Span phase = 0; phase < TICK; phase += Span_MS(1)) {
        Span took = measure_in_force(fault_cases[_i].states, phase);
        longest = took > longest ? took : longest;
    }
    printf("replicas, row %d: in force within %lld ms\n", _i,
           (long long)(longest / Span_MS(1)));
    ck_assert_int_lt(longest, IN_FORCE_BOUND);
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

/* A node that lacks a route, AGE after the moment of its word, and a request
 * for that route. */
typedef struct {
    const char *name;
    Span age; /* Vwd_NOT_KNOWN: no word */
    Span apply_bound;
    bool not_found;
} AbsenceCase;

static const AbsenceCase absences[] = {
    {"just heard", 0, Span_S(2), true},
    {"heard within the bound", Span_MS(1999), Span_S(2), true},
    {"heard of nothing for as long as the bound", Span_S(2), Span_S(2), false},
    {"heard of nothing for seconds", Span_S(9), Span_S(2), false},
    {"a platform with a longer bound", Span_S(9), Span_S(17), true},
    {"never heard", Vwd_NOT_KNOWN, Span_S(17), false},
};

START_TEST(says_not_found_only_while_it_can_know)
{
    const AbsenceCase *c = &absences[_i];
    VersionWord word = {0};

    if (c->age != Vwd_NOT_KNOWN) {
        Vwd_Advance(&word, START - c->age, 1);
    }
    ck_assert_msg(Vwd_ProvesAbsence(&word, c->apply_bound, START) ==
                      c->not_found,
                  "%s", c->name);
}
END_TEST

/* A word as of AS_OF, looked at AT. */
typedef struct {
    const char *name;
    Span as_of;
    Span at;
    bool is_old;
    bool is_changed;
} AgeStep;

static const AgeStep age_steps[] = {
    {"in calm", 0, Span_MS(1499), false, false},
    {"old", 0, Span_MS(1500), true, true},
    {"still old", 0, Span_S(3), true, false},
    {"an old word that is later", Span_S(2), Span_S(4), true, false},
    {"renewed", Span_S(4), Span_S(4), false, true},
    {"old again", Span_S(4), Span_S(6), true, true},
};

START_TEST(word_becomes_old_once)
{
    VersionWord word = {0};

    ck_assert(!Vwd_UpdateOld(&word, START)); /* nothing is known yet */
    for (size_t i = 0; i < sizeof age_steps / sizeof age_steps[0]; i++) {
        const AgeStep *step = &age_steps[i];
        Vwd_Advance(&word, START + step->as_of, 1);
        ck_assert_msg(Vwd_UpdateOld(&word, START + step->at) ==
                              step->is_changed &&
                          word.is_old == step->is_old,
                      "%s", step->name);
    }
    ck_assert_int_eq(word.old_as_of, START + Span_S(4));
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {polls_when_due, sizeof cases / sizeof cases[0]},
        {renews_old_word_sooner, sizeof next_cases / sizeof next_cases[0]},
        {in_force_in_time_past_silent_and_lagging_replicas,
         sizeof fault_cases / sizeof fault_cases[0]},
        {knows_version_as_of_request,
         sizeof word_cases / sizeof word_cases[0]},
        {says_not_found_only_while_it_can_know,
         sizeof absences / sizeof absences[0]},
        {word_becomes_old_once, 1},
    };

    return Suite_Run("turn", tests, 6, 10);
}
