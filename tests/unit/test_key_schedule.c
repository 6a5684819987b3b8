/* Many claims of one key under seeded random schedules: messages are dropped,
 * duplicated, delayed and reordered; acceptors, nodes and proposers crash.  In
 * every schedule the call of the key runs at most once, every reported answer
 * is the answer of that run, and "not run" is reported only when nothing had
 * run before the claim last asked for promises.
 */
#include <stdio.h>

#include "support/key_simulation.h"
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
    KeySimulation sim;
    uint32_t loss_percent;
} FaultRun;

/* Delivers a message within 12.2 ms, or with loss_percent drops it, sends it
 * twice or delays a copy by up to 3 s. */
static void
send_with_faults(void *context, const KeySimulationEvent *event)
{
    FaultRun *run = context;
    KeySimulation *sim = &run->sim;
    int copies = 1;

    if (Ksim_DrawChance(sim, run->loss_percent)) {
        copies = (int)Rng_Below(&sim->rng, 2) * 2;
    }
    for (int i = 0; i < copies; i++) {
        Span delay = 200 + Rng_Below(&sim->rng, 12000);
        if (Ksim_DrawChance(sim, run->loss_percent)) {
            delay = Rng_Below(&sim->rng, 3000000);
        }
        Ksim_AddEvent(sim, event, delay);
    }
}

/* Checks that the outcome "not run" was reported to no claim that must know of
 * the attempt of CLAIM.  These are CLAIM itself and each claim that asked for
 * promises after the attempt was granted. */
static void
check_not_run(const KeySimulation *sim, int claim)
{
    for (int i = 0; i < Ksim_CLAIMS; i++) {
        const SimulatedClaim *c = &sim->claims[i];
        ck_assert_msg(
            !c->reported_not_run ||
                (i != claim && sim->claims[claim].granted_at > c->prepared_at),
            "seed %d: ran after claim %d got \"not run\"", (int)sim->seed, i);
    }
}

static void
check_single_run(KeySimulation *sim, int claim)
{
    ck_assert_msg(sim->run_count == 1, "seed %d: the key ran twice",
                  (int)sim->seed);
    check_not_run(sim, claim);
}

static void
check_reported_outcome(KeySimulation *sim, int claim, ClaimAction action,
                       Str answer)
{
    const SimulatedClaim *c = &sim->claims[claim];

    switch (action) {
    case Clm_END_ANSWER:
        ck_assert_msg(
            sim->run_count == 1 &&
                Str_Equal(answer, Ksim_GetAnswer(sim, sim->last_run)),
            "seed %d: reported another answer", (int)sim->seed);
        break;
    case Clm_END_RAN:
        ck_assert_msg(sim->run_count == 1,
                      "seed %d: reported \"ran\", but nothing ran",
                      (int)sim->seed);
        break;
    default:
        ck_assert(action == Clm_END_NOT_RUN);
        ck_assert_msg(
            sim->run_count == 0 ||
                (c->prepared_at && sim->last_run_at >= c->prepared_at),
            "seed %d: reported \"not run\" after a run", (int)sim->seed);
        break;
    }
}

static void
on_fault_run(void *context, int claim)
{
    check_single_run(&((FaultRun *)context)->sim, claim);
}

static void
on_fault_outcome(void *context, int claim, ClaimAction action, Str answer)
{
    check_reported_outcome(&((FaultRun *)context)->sim, claim, action, answer);
}

static void
schedule_crashes(KeySimulation *sim, KeySimulationEventKind kind,
                 uint32_t count, uint32_t target_count, Span window)
{
    bool is_claim = kind == Ksim_CLAIM_CRASH;

    for (uint32_t i = 0; i < count; i++) {
        int target = (int)Rng_Below(&sim->rng, target_count);
        KeySimulationEvent event = {.kind = kind,
                                    .claim = is_claim ? target : 0,
                                    .peer = is_claim ? 0 : target};
        Ksim_AddEvent(sim, &event, Rng_Below(&sim->rng, (uint32_t)window));
    }
}

static void
start_fault_run(FaultRun *run, const FaultRates *rates, uint64_t seed)
{
    KeySimulationCallbacks callbacks = {run, send_with_faults, on_fault_run,
                                        on_fault_outcome};
    KeySimulation *sim = &run->sim;

    run->loss_percent = rates->loss_percent;
    Ksim_Init(sim, seed, rates->acceptors, &callbacks);
    sim->rejected_percent = REFUSED_PERCENT;
    sim->no_target_percent = NO_NODE_PERCENT;
    for (int i = 0; i < Ksim_CLAIMS; i++) {
        KeySimulationEvent start = {.kind = Ksim_CLAIM_START, .claim = i};
        /* Half of the claims start within 40 ms, the others within 9 s. */
        Ksim_AddEvent(sim, &start,
                      Rng_Below(&sim->rng, i % 2 ? 40000 : 9000000));
    }
    schedule_crashes(sim, Ksim_ACCEPTOR_RESTART, rates->acceptor_crashes,
                     sim->acceptor_count, rates->crash_window);
    schedule_crashes(sim, Ksim_NODE_RESTART, rates->node_crashes, Ksim_NODES,
                     rates->crash_window);
    schedule_crashes(sim, Ksim_CLAIM_CRASH, rates->proposer_crashes,
                     Ksim_CLAIMS, rates->crash_window);
}

START_TEST(runs_key_at_most_once)
{
    static FaultRun run;
    const KeySimulation *sim = &run.sim;
    const FaultRates *rates = &fault_rates[_i];
    int answers = 0;
    int unknown = 0;
    int not_run = 0;
    int runs = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        start_fault_run(&run, rates, seed + 1000 * (uint64_t)_i);
        Ksim_Run(&run.sim);
        answers += sim->answer_count;
        unknown += sim->unknown_count;
        not_run += sim->not_run_count;
        runs += sim->run_count;
        Ksim_Finish(&run.sim);
    }
    printf("%s: seeds %d to %d: %d keys, %d ran, %d answers, "
           "%d unknown, %d not run\n",
           rates->name, 1000 * _i + 1, 1000 * _i + SEEDS, SEEDS, runs, answers,
           unknown, not_run);
    fflush(stdout);
    /* A decider that never runs anything would pass all checks above. */
    ck_assert_int_ge(runs, SEEDS / 2);
}
END_TEST

/* After a restart an acceptor must wait before it catches up, for longer than
 * a claim counts replies to one request.  All acceptors of a majority but one
 * accept claim FIRST, restart at once and lose its value.  The last acceptor
 * of that majority gets the message late, and then FIRST gets all their
 * replies.  Claim SECOND reaches every acceptor except the last one as
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

/* The claims have numbers from 1 because a ledger treats origin 0 as a
 * forgotten one. */
enum { FIRST = 1, SECOND = 2 };

typedef struct {
    KeySimulation sim;
    Instant late_delivery_at;
    int last_acceptor; /* the acceptors with lower numbers restart */
} RestartRun;

static void
send_first_claim(RestartRun *restart, const KeySimulationEvent *event)
{
    bool is_request = event->kind == Ksim_REGISTER_REQUEST;
    bool is_late = !is_request || event->peer == restart->last_acceptor;

    if (event->phase == 1 && event->peer <= restart->last_acceptor) {
        Instant at = is_request ? restart->late_delivery_at
                                : restart->late_delivery_at + SHORT_DELAY;
        Ksim_AddEvent(&restart->sim, event,
                      is_late ? at - restart->sim.now : SHORT_DELAY);
    }
}

static void
send_around_restart(void *context, const KeySimulationEvent *event)
{
    RestartRun *restart = context;
    bool is_claim_message = event->kind == Ksim_REGISTER_REQUEST ||
                            event->kind == Ksim_REGISTER_REPLY;

    if (is_claim_message && event->claim == FIRST) {
        send_first_claim(restart, event);
    }
    else if (event->kind == Ksim_ATTEMPT_ENDED ||
             event->kind == Ksim_ATTEMPT_RELEASED ||
             (is_claim_message && (event->peer == restart->last_acceptor ||
                                   !restart->sim.registers[0].is_ready))) {
        return; /* dropped */
    }
    else {
        Ksim_AddEvent(&restart->sim, event, SHORT_DELAY);
    }
}

static void
on_restart_run(void *context, int claim)
{
    check_single_run(&((RestartRun *)context)->sim, claim);
}

static void
on_restart_outcome(void *context, int claim, ClaimAction action, Str answer)
{
    check_reported_outcome(&((RestartRun *)context)->sim, claim, action,
                           answer);
}

START_TEST(stays_silent_longer_than_replies_count)
{
    const SilenceCase *c = &silence_cases[_i];
    static RestartRun restart;
    KeySimulationCallbacks callbacks = {&restart, send_around_restart,
                                        on_restart_run, on_restart_outcome};
    KeySimulationEvent event = {.kind = Ksim_CLAIM_START, .claim = FIRST};

    Ksim_Init(&restart.sim, (uint64_t)_i, c->acceptors, &callbacks);
    restart.late_delivery_at = restart.sim.now + c->delivery_delay;
    restart.last_acceptor = (int)c->acceptors / 2;
    Ksim_AddEvent(&restart.sim, &event, 0);
    event.claim = SECOND;
    Ksim_AddEvent(&restart.sim, &event, 3 * SHORT_DELAY);
    event = (KeySimulationEvent){.kind = Ksim_ACCEPTOR_RESTART};
    for (; event.peer < restart.last_acceptor; event.peer++) {
        Ksim_AddEvent(&restart.sim, &event, 2 * SHORT_DELAY);
    }
    Ksim_Run(&restart.sim);
    ck_assert_int_eq(restart.sim.run_count, 1);
    Ksim_Finish(&restart.sim);
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
