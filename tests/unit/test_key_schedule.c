/* Many claims of one key under seeded random schedules: messages are dropped,
 * duplicated, delayed and reordered; acceptors, nodes and proposers crash.  In
 * every schedule the call of the key runs at most once, every reported answer
 * is the answer of that run, and "not run" is reported only when nothing had
 * run before the claim last asked for promises.
 */
#include <stdio.h>

#include "support/keyworld.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* Percentages of attempts that are refused, and of placements without a node.
 */
enum { SEEDS = 400, REFUSED_PERCENT = 20, NO_NODE_PERCENT = 5 };

typedef struct {
    const char *name;
    uint32_t acceptors;
    uint32_t loss_percent; /* messages dropped or duplicated; also delayed */
    uint32_t acceptor_crashes;
    uint32_t node_crashes;
    uint32_t proposer_crashes;
    Span crash_window; /* all crashes happen this soon after the start */
} FaultRates;

static const FaultRates fault_rates[] = {
    {"no faults", 3, 0, 0, 0, 0, Span_S(8)},
    {"message loss", 3, 15, 0, 0, 0, Span_S(8)},
    {"acceptors restart", 3, 5, 4, 0, 0, Span_S(8)},
    {"nodes restart", 3, 5, 0, 3, 0, Span_S(8)},
    {"proposers crash", 3, 10, 0, 0, 4, Span_S(8)},
    {"all faults", 3, 15, 4, 2, 3, Span_S(8)},
    {"all faults, five acceptors", 5, 15, 8, 2, 3, Span_S(8)},
    {"an acceptor restarts early", 3, 30, 1, 0, 0, Span_MS(400)},
    {"one acceptor", 1, 10, 0, 1, 2, Span_S(8)},
};

/* The run of one row with one seed. */
typedef struct {
    KeyWorld world;
    uint32_t loss_percent;
} FaultRun;

/* Delivers a message within 12.2 ms, or with loss_percent drops it, sends it
 * twice or delays a copy by up to 3 s. */
static void
send_with_faults(void *context, const KwEvent *event)
{
    FaultRun *run = context;
    KeyWorld *world = &run->world;
    int copies = 1;

    if (Kw_Chance(world, run->loss_percent)) {
        copies = (int)Rng_Below(&world->rng, 2) * 2;
    }
    for (int i = 0; i < copies; i++) {
        Span delay = 200 + Rng_Below(&world->rng, 12000);
        if (Kw_Chance(world, run->loss_percent)) {
            delay = Rng_Below(&world->rng, 3000000);
        }
        Kw_Add(world, event, delay);
    }
}

/* Checks that no claim was told "not run" although it must know of this
 * attempt: the claim that made it, and each claim that asked for promises
 * after the attempt was granted. */
static void
check_not_run(const KeyWorld *world, int claim)
{
    for (int i = 0; i < Kw_CLAIMS; i++) {
        const KwClaimant *c = &world->claimants[i];
        ck_assert_msg(!c->told_not_run ||
                          (i != claim && world->claimants[claim].granted_at >
                                             c->promised_at),
                      "seed %d: ran after claim %d was told \"not run\"",
                      (int)world->seed, i);
    }
}

static void
check_single_run(KeyWorld *world, int claim)
{
    ck_assert_msg(world->runs == 1, "seed %d: the key ran twice",
                  (int)world->seed);
    check_not_run(world, claim);
}

static void
check_told_outcome(KeyWorld *world, int claim, ClaimAction step, Str answer)
{
    const KwClaimant *c = &world->claimants[claim];

    switch (step) {
    case Clm_END_ANSWER:
        ck_assert_msg(world->runs == 1 &&
                          Str_Equal(answer, Kw_Name(world, world->ran)),
                      "seed %d: reported another answer", (int)world->seed);
        break;
    case Clm_END_RAN:
        ck_assert_msg(world->runs == 1,
                      "seed %d: reported \"ran\", but nothing ran",
                      (int)world->seed);
        break;
    default:
        ck_assert(step == Clm_END_NOT_RUN);
        ck_assert_msg(
            world->runs == 0 ||
                (c->promised_at && world->first_run_at >= c->promised_at),
            "seed %d: reported \"not run\" after a run", (int)world->seed);
        break;
    }
}

static void
on_fault_run(void *context, int claim)
{
    check_single_run(&((FaultRun *)context)->world, claim);
}

static void
on_fault_told(void *context, int claim, ClaimAction step, Str answer)
{
    check_told_outcome(&((FaultRun *)context)->world, claim, step, answer);
}

static void
schedule_crashes(KeyWorld *world, KwKind kind, uint32_t count,
                 uint32_t target_count, Span window)
{
    bool is_claim = kind == Kw_CLAIM_DIES;

    for (uint32_t i = 0; i < count; i++) {
        int target = (int)Rng_Below(&world->rng, target_count);
        KwEvent event = {.kind = kind,
                         .claim = is_claim ? target : 0,
                         .place = is_claim ? 0 : target};
        Kw_Add(world, &event, Rng_Below(&world->rng, (uint32_t)window));
    }
}

static void
start_fault_run(FaultRun *run, const FaultRates *rates, uint64_t seed)
{
    KwSink sink = {run, send_with_faults, on_fault_run, on_fault_told};
    KeyWorld *world = &run->world;

    run->loss_percent = rates->loss_percent;
    Kw_Init(world, seed, rates->acceptors, &sink);
    world->refused = REFUSED_PERCENT;
    world->nobody = NO_NODE_PERCENT;
    for (int i = 0; i < Kw_CLAIMS; i++) {
        KwEvent start = {.kind = Kw_START, .claim = i};
        /* Half of the claims start within 40 ms, the others within 9 s. */
        Kw_Add(world, &start, Rng_Below(&world->rng, i % 2 ? 40000 : 9000000));
    }
    schedule_crashes(world, Kw_HOLDER_DIES, rates->acceptor_crashes,
                     world->holders, rates->crash_window);
    schedule_crashes(world, Kw_NODE_DIES, rates->node_crashes, Kw_NODES,
                     rates->crash_window);
    schedule_crashes(world, Kw_CLAIM_DIES, rates->proposer_crashes, Kw_CLAIMS,
                     rates->crash_window);
}

START_TEST(runs_key_at_most_once)
{
    static FaultRun run;
    const KeyWorld *world = &run.world;
    const FaultRates *rates = &fault_rates[_i];
    int answers = 0;
    int unknown = 0;
    int not_run = 0;
    int runs = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        start_fault_run(&run, rates, seed + 1000 * (uint64_t)_i);
        Kw_Run(&run.world);
        answers += world->told_answers;
        unknown += world->told_unknown;
        not_run += world->told_not_run;
        runs += world->runs;
        Kw_Finish(&run.world);
    }
    printf("%s: seeds %d to %d: %d keys, %d ran, told %d answers, "
           "%d unknown, %d not run\n",
           rates->name, 1000 * _i + 1, 1000 * _i + SEEDS, SEEDS, runs, answers,
           unknown, not_run);
    fflush(stdout);
    /* A decider that never runs anything would pass all checks above. */
    ck_assert_int_ge(runs, SEEDS / 2);
}
END_TEST

/* An acceptor that restarts must wait longer before it catches up than a claim
 * counts replies.  Claim FIRST is accepted by all but one acceptor of a
 * majority, and these acceptors restart at once and lose its value.  The last
 * acceptor of that majority gets the message late, and then FIRST gets all
 * their replies.  Claim SECOND reaches every acceptor except the last one as
 * soon as the restarted ones reply again.  With a shorter wait both claims
 * would run. */
typedef struct {
    uint32_t acceptors;
    Span delivery_delay; /* of FIRST to the last acceptor */
} SilenceCase;

static const SilenceCase silence_cases[] = {
    {3, Span_MS(120)},  {3, Span_MS(290)},  {3, Span_MS(600)},
    {3, Span_MS(1150)}, {3, Span_MS(1900)}, {5, Span_MS(120)},
    {5, Span_MS(290)},  {5, Span_MS(600)},  {5, Span_MS(1150)},
    {5, Span_MS(1900)},
};

#define SHORT_DELAY Span_MS(1)

/* Claim 0 is not used: a ledger treats the origin 0 as a forgotten one. */
enum { FIRST = 1, SECOND = 2 };

typedef struct {
    KeyWorld world;
    Instant late_delivery_at;
    int last_acceptor; /* the acceptors with lower numbers restart */
} RestartRun;

static void
send_first_claim(RestartRun *restart, const KwEvent *event)
{
    bool is_request = event->kind == Kw_TO_HOLDER;
    bool is_late = !is_request || event->place == restart->last_acceptor;

    if (event->phase == 1 && event->place <= restart->last_acceptor) {
        Instant at = is_request ? restart->late_delivery_at
                                : restart->late_delivery_at + SHORT_DELAY;
        Kw_Add(&restart->world, event,
               is_late ? at - restart->world.now : SHORT_DELAY);
    }
}

static void
send_around_restart(void *context, const KwEvent *event)
{
    RestartRun *restart = context;
    bool is_claim_message =
        event->kind == Kw_TO_HOLDER || event->kind == Kw_TO_CLAIM;

    if (is_claim_message && event->claim == FIRST) {
        send_first_claim(restart, event);
    }
    else if (event->kind == Kw_ENDED || event->kind == Kw_RELEASED ||
             (is_claim_message && (event->place == restart->last_acceptor ||
                                   !restart->world.regs[0].is_ready))) {
        return; /* dropped */
    }
    else {
        Kw_Add(&restart->world, event, SHORT_DELAY);
    }
}

static void
on_restart_run(void *context, int claim)
{
    check_single_run(&((RestartRun *)context)->world, claim);
}

static void
on_restart_told(void *context, int claim, ClaimAction step, Str answer)
{
    check_told_outcome(&((RestartRun *)context)->world, claim, step, answer);
}

START_TEST(stays_silent_longer_than_replies_count)
{
    const SilenceCase *c = &silence_cases[_i];
    static RestartRun restart;
    KwSink sink = {&restart, send_around_restart, on_restart_run,
                   on_restart_told};
    KwEvent event = {.kind = Kw_START, .claim = FIRST};

    Kw_Init(&restart.world, (uint64_t)_i, c->acceptors, &sink);
    restart.late_delivery_at = restart.world.now + c->delivery_delay;
    restart.last_acceptor = (int)c->acceptors / 2;
    Kw_Add(&restart.world, &event, 0);
    event.claim = SECOND;
    Kw_Add(&restart.world, &event, 3 * SHORT_DELAY);
    event = (KwEvent){.kind = Kw_HOLDER_DIES};
    for (; event.place < restart.last_acceptor; event.place++) {
        Kw_Add(&restart.world, &event, 2 * SHORT_DELAY);
    }
    Kw_Run(&restart.world);
    ck_assert_int_eq(restart.world.runs, 1);
    Kw_Finish(&restart.world);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {runs_key_at_most_once, ROWS(fault_rates)},
        {stays_silent_longer_than_replies_count, ROWS(silence_cases)},
    };

    return Suite_Run("key schedule", tests, ROWS(tests), 60);
}
