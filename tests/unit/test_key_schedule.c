/* Many claims of one key under seeded random schedules: messages dropped,
 * doubled, late and out of order; holders, nodes and proposers lost.  However
 * it goes, the key runs at most once, every answer told is that run's, and
 * "not run" is told only of what did not run.
 */
#include <stdio.h>

#include "support/keyworld.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SEEDS = 400, REFUSED = 20, NOBODY = 5 };

typedef struct {
    const char *name;
    uint32_t acceptors;
    uint32_t loss_percent; /* of a hundred messages */
    uint32_t holder_deaths;
    uint32_t node_deaths;
    uint32_t claim_deaths;
    Span deaths_within;
} Weather;

static const Weather weathers[] = {
    {"calm", 3, 0, 0, 0, 0, Span_S(8)},
    {"loss", 3, 15, 0, 0, 0, Span_S(8)},
    {"holders restart", 3, 5, 4, 0, 0, Span_S(8)},
    {"nodes restart", 3, 5, 0, 3, 0, Span_S(8)},
    {"proposers die", 3, 10, 0, 0, 4, Span_S(8)},
    {"everything", 3, 15, 4, 2, 3, Span_S(8)},
    {"everything, five holders", 5, 15, 8, 2, 3, Span_S(8)},
    {"a holder restarts at once", 3, 30, 1, 0, 0, Span_MS(400)},
    {"one holder", 1, 10, 0, 1, 2, Span_S(8)},
};

/* One run of a row. */
typedef struct {
    KeyWorld w;
    uint32_t loss_percent;
} Storm;

/* A message: mostly quick, at times late, lost or doubled. */
static void
send_in_storm(void *context, const KwEvent *event)
{
    Storm *storm = context;
    KeyWorld *w = &storm->w;
    int copies = 1;

    if (Kw_Chance(w, storm->loss_percent)) {
        copies = (int)Rng_Below(&w->rng, 2) * 2;
    }
    for (int i = 0; i < copies; i++) {
        Span delay = 200 + Rng_Below(&w->rng, 12000);
        if (Kw_Chance(w, storm->loss_percent)) {
            delay = Rng_Below(&w->rng, 3000000);
        }
        Kw_Add(w, event, delay);
    }
}

/* Nobody was told "not run" who should have heard of this attempt. */
static void
check_not_run(const KeyWorld *w, int claim)
{
    for (int i = 0; i < Kw_CLAIMS; i++) {
        const KwClaimant *c = &w->claimants[i];
        ck_assert_msg(
            !c->told_not_run || (i != claim && w->claimants[claim].granted_at >
                                                   c->promised_at),
            "seed %d: ran after claim %d was told not run", (int)w->seed, i);
    }
}

static void
check_run(KeyWorld *w, int claim)
{
    ck_assert_msg(w->runs == 1, "seed %d: the key ran twice", (int)w->seed);
    check_not_run(w, claim);
}

static void
check_told(KeyWorld *w, int claim, ClaimAction step, Str answer)
{
    const KwClaimant *c = &w->claimants[claim];

    switch (step) {
    case Clm_END_ANSWER:
        ck_assert_msg(w->runs == 1 && Str_Equal(answer, Kw_Name(w, w->ran)),
                      "seed %d: told another answer", (int)w->seed);
        break;
    case Clm_END_RAN:
        ck_assert_msg(w->runs == 1, "seed %d: told ran", (int)w->seed);
        break;
    default:
        ck_assert(step == Clm_END_NOT_RUN);
        ck_assert_msg(w->runs == 0 || (c->promised_at &&
                                       w->first_run_at >= c->promised_at),
                      "seed %d: told not run of what ran", (int)w->seed);
        break;
    }
}

static void
on_storm_run(void *context, int claim)
{
    check_run(&((Storm *)context)->w, claim);
}

static void
on_storm_told(void *context, int claim, ClaimAction step, Str answer)
{
    check_told(&((Storm *)context)->w, claim, step, answer);
}

static void
schedule(KeyWorld *w, KwKind kind, uint32_t count, uint32_t places,
         Span within)
{
    bool claims = kind == Kw_CLAIM_DIES;

    for (uint32_t i = 0; i < count; i++) {
        int number = (int)Rng_Below(&w->rng, places);
        KwEvent event = {.kind = kind,
                         .claim = claims ? number : 0,
                         .place = claims ? 0 : number};
        Kw_Add(w, &event, Rng_Below(&w->rng, (uint32_t)within));
    }
}

static void
start_storm(Storm *storm, const Weather *weather, uint64_t seed)
{
    KwSink sink = {storm, send_in_storm, on_storm_run, on_storm_told};
    KeyWorld *w = &storm->w;

    storm->loss_percent = weather->loss_percent;
    Kw_Init(w, seed, weather->acceptors, &sink);
    w->refused = REFUSED;
    w->nobody = NOBODY;
    for (int i = 0; i < Kw_CLAIMS; i++) {
        KwEvent start = {.kind = Kw_START, .claim = i};
        /* Half of them close together, the rest later. */
        Kw_Add(w, &start, Rng_Below(&w->rng, i % 2 ? 40000 : 9000000));
    }
    schedule(w, Kw_HOLDER_DIES, weather->holder_deaths, w->holders,
             weather->deaths_within);
    schedule(w, Kw_NODE_DIES, weather->node_deaths, Kw_NODES,
             weather->deaths_within);
    schedule(w, Kw_CLAIM_DIES, weather->claim_deaths, Kw_CLAIMS,
             weather->deaths_within);
}

START_TEST(runs_once_whatever_happens)
{
    static Storm storm;
    const KeyWorld *w = &storm.w;
    const Weather *weather = &weathers[_i];
    int answers = 0;
    int unknown = 0;
    int not_run = 0;
    int runs = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        start_storm(&storm, weather, seed + 1000 * (uint64_t)_i);
        Kw_Run(&storm.w);
        answers += w->told_answers;
        unknown += w->told_unknown;
        not_run += w->told_not_run;
        runs += w->runs;
        Kw_Finish(&storm.w);
    }
    printf("%s: seeds %d to %d: %d keys, %d ran, told %d answers, "
           "%d unknown, %d not run\n",
           weather->name, 1000 * _i + 1, 1000 * _i + SEEDS, SEEDS, runs,
           answers, unknown, not_run);
    fflush(stdout);
    /* A mechanism that never lets anything run would keep every promise. */
    ck_assert_int_ge(runs, SEEDS / 2);
}
END_TEST

/* Claim FIRST is accepted by all but one of a majority, and these holders
 * restart at once.  The last one that it needs hears of it late, and then all
 * their answers come.  Meanwhile claim SECOND reaches everyone but that last
 * one, as soon as the others speak again: were they silent for less time than
 * a claim counts answers, both would run. */
typedef struct {
    uint32_t acceptors;
    Span delivery_delay; /* the last one hears of it so long after its start */
} SilenceCase;

static const SilenceCase silences[] = {
    {3, Span_MS(120)},  {3, Span_MS(290)},  {3, Span_MS(600)},
    {3, Span_MS(1150)}, {3, Span_MS(1900)}, {5, Span_MS(120)},
    {5, Span_MS(290)},  {5, Span_MS(600)},  {5, Span_MS(1150)},
    {5, Span_MS(1900)},
};

#define QUICK Span_MS(1)

/* A ledger takes an origin 0 for one that it forgot. */
enum { FIRST = 1, SECOND = 2 };

typedef struct {
    KeyWorld w;
    Instant late_at;
    int last_acceptor; /* those before it restart */
} Hush;

static void
send_first_claim(Hush *hush, const KwEvent *event)
{
    bool to = event->kind == Kw_TO_HOLDER;
    bool late = !to || event->place == hush->last_acceptor;

    if (event->phase == 1 && event->place <= hush->last_acceptor) {
        Instant at = to ? hush->late_at : hush->late_at + QUICK;
        Kw_Add(&hush->w, event, late ? at - hush->w.now : QUICK);
    }
}

static void
send_in_hush(void *context, const KwEvent *event)
{
    Hush *hush = context;
    bool claims = event->kind == Kw_TO_HOLDER || event->kind == Kw_TO_CLAIM;

    if (claims && event->claim == FIRST) {
        send_first_claim(hush, event);
    }
    else if (event->kind == Kw_ENDED || event->kind == Kw_RELEASED ||
             (claims && (event->place == hush->last_acceptor ||
                         !hush->w.regs[0].is_ready))) {
        return; /* lost */
    }
    else {
        Kw_Add(&hush->w, event, QUICK);
    }
}

static void
on_hush_run(void *context, int claim)
{
    check_run(&((Hush *)context)->w, claim);
}

static void
on_hush_told(void *context, int claim, ClaimAction step, Str answer)
{
    check_told(&((Hush *)context)->w, claim, step, answer);
}

START_TEST(is_silent_longer_than_answers_count)
{
    const SilenceCase *c = &silences[_i];
    static Hush hush;
    KwSink sink = {&hush, send_in_hush, on_hush_run, on_hush_told};
    KwEvent event = {.kind = Kw_START, .claim = FIRST};

    Kw_Init(&hush.w, (uint64_t)_i, c->acceptors, &sink);
    hush.late_at = hush.w.now + c->delivery_delay;
    hush.last_acceptor = (int)c->acceptors / 2;
    Kw_Add(&hush.w, &event, 0);
    event.claim = SECOND;
    Kw_Add(&hush.w, &event, 3 * QUICK);
    event = (KwEvent){.kind = Kw_HOLDER_DIES};
    for (; event.place < hush.last_acceptor; event.place++) {
        Kw_Add(&hush.w, &event, 2 * QUICK);
    }
    Kw_Run(&hush.w);
    ck_assert_int_eq(hush.w.runs, 1);
    Kw_Finish(&hush.w);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {runs_once_whatever_happens, ROWS(weathers)},
        {is_silent_longer_than_answers_count, ROWS(silences)},
    };

    return Suite_Run("key schedule", tests, ROWS(tests), 60);
}
