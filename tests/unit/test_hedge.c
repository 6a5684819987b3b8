/* When a hedge is sent, after which time, and what hedges bring and cost under
 * patterns of load: slow runs, slow backend servers, more calls than there is
 * room for.  No network: one ingress node's deciders beside simulated backend
 * servers.
 */
#include <stdio.h>

#include "process/placement/placement.h"
#include "request/hedge.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

#define OBJECTIVE Span_MS(400)
#define DEADLINE Span_MS(1500)
#define USUAL Span_MS(100)

/* Durations of calls: most about the usual one, some of them longer. */
typedef struct {
    const char *name;
    int calls;
    int long_permille; /* of them, LONG */
    Span length;       /* of these; 0: given up after the deadline */
    Span objective;
    uint32_t permille;
    Span delay_min; /* 0 and 0: no hedge is sent */
    Span delay_max;
} DelayCase;

static const DelayCase delay_cases[] = {
    {"nothing known", 0, 0, 0, OBJECTIVE, 50, 0, 0},
    {"too few are known", 4, 0, 0, OBJECTIVE, 50, 0, 0},
    {"no share is allowed", 100, 30, USUAL * 7, OBJECTIVE, 0, 0, 0},
    {"few take long", 100, 30, USUAL * 7, OBJECTIVE, 50, USUAL * 5 / 4,
     USUAL * 2},
    {"few never end", 100, 30, 0, OBJECTIVE, 50, USUAL * 5 / 4, USUAL * 2},
    {"a tenth of them may be hedged", 100, 30, USUAL * 7, OBJECTIVE, 3,
     USUAL * 5 / 4, USUAL * 2},
    {"none took long yet", 100, 0, 0, OBJECTIVE, 50, USUAL * 5 / 4, USUAL * 2},
    {"no objective", 100, 30, USUAL * 7, 0, 50, USUAL * 5 / 4, USUAL * 2},
    {"the usual time misses the objective", 100, 30, USUAL * 7, USUAL / 2, 50,
     0, 0},
    {"all take long", 100, 1000, USUAL * 7, OBJECTIVE, 50, 0, 0},
};

/* Most calls take 0.75 to 1.25 of the usual duration. */
static void
record_calls(DurationHistogram *durations, const DelayCase *c)
{
    for (int i = 0; i < c->calls; i++) {
        if (i * c->long_permille / 1000 == (i + 1) * c->long_permille / 1000) {
            Dhi_Record(durations, USUAL * (75 + i * 7 % 51) / 100);
        }
        else if (c->length) {
            Dhi_Record(durations, c->length);
        }
        else {
            Dhi_RecordAtLeast(durations, DEADLINE);
        }
    }
}

START_TEST(chooses_the_delay)
{
    const DelayCase *c = &delay_cases[_i];
    DurationHistogram durations = {0};
    Span delay;

    record_calls(&durations, c);
    delay = Hdg_ChooseDelay(&durations, c->objective, c->permille);
    ck_assert_msg(delay >= c->delay_min && delay <= c->delay_max,
                  "%s: %lld us", c->name, (long long)delay);
}
END_TEST

enum { GATE_CALLS = 100 };

typedef struct {
    const char *name;
    Span waited;
    Span age;
    int long_permille;
    int late; /* of the last calls of the service */
    HedgeVerdict verdict;
    bool has_attempts;
} VerdictCase;

static const VerdictCase verdict_cases[] = {
    {"overdue", USUAL * 2, USUAL * 2, 30, 0, Hdg_SEND, true},
    {"some calls are late", USUAL * 2, USUAL * 2, 30, 3, Hdg_SEND, true},
    {"many calls are late", USUAL * 2, USUAL * 2, 30, 20, Hdg_MANY_LATE, true},
    {"no attempt is left", USUAL * 2, USUAL * 2, 30, 0, Hdg_NO_ATTEMPT, false},
    {"too late to meet the objective", OBJECTIVE - USUAL / 2,
     OBJECTIVE - USUAL / 2, 30, 0, Hdg_NO_GAIN, true},
    {"the objective is missed", OBJECTIVE * 2, OBJECTIVE * 2, 30, 0,
     Hdg_NO_GAIN, true},
    {"the attempt was only just sent", USUAL * 2, USUAL / 2, 30, 0,
     Hdg_NO_GAIN, true},
    {"all take long", USUAL * 2, USUAL * 2, 1000, 0, Hdg_NO_GAIN, true},
};

START_TEST(withholds_what_wins_nothing)
{
    const VerdictCase *c = &verdict_cases[_i];
    const DelayCase calls = {"", 100, c->long_permille, USUAL * 7, 0, 0, 0, 0};
    DurationHistogram durations = {0};
    HedgeGate gate;
    HedgeQuestion question = {
        .gate = &gate,
        .durations = &durations,
        .objective = OBJECTIVE,
        .waited = c->waited,
        .attempt_age = c->age,
        .has_attempts = c->has_attempts,
    };

    record_calls(&durations, &calls);
    Hdg_InitGate(&gate);
    for (int i = 0; i < GATE_CALLS; i++) {
        Hdg_OnCallEnd(&gate, i * c->late / GATE_CALLS ==
                                 (i + 1) * c->late / GATE_CALLS);
    }
    ck_assert_msg(Hdg_Decide(&question) == c->verdict, "%s: gain %.2f",
                  c->name, Hdg_EstimateGain(&question));
}
END_TEST

/* A service under load, and one node that sends calls to it. */
enum {
    SERVERS = 6,
    SERVERS_PER_DOMAIN = 3,
    SLOTS = 4,
    CALLS_MAX = 20000,
    RUNS_MAX = 512,
    STEP_MS = 5,
    SECONDS = 40,
    SEEDS = 10,
    LONG_FACTOR = 7 /* of a run that takes long */
};

typedef struct {
    const char *name;
    int calls_per_s; /* the service bears 240 */
    int long_permille;
    int slow_servers; /* 3: a failure domain */
    int slow_factor;
    int slow_from_s;
    int permille;
    int late_percent; /* of the late calls without hedges, at most; 101: they
                         differ by chance only */
    int hedges_min;
    int hedges_max; /* -1: as the share allows */
} LoadCase;

static const LoadCase load_cases[] = {
    {"slow runs", 80, 30, 0, 1, 0, 50, 60, 50, -1},
    {"slow runs, a small share", 80, 30, 0, 1, 0, 10, 90, 10, -1},
    {"one slow server", 80, 0, 1, 8, 0, 50, 80, 1, -1},
    {"a slow failure domain", 80, 0, 3, 8, 0, 50, 90, 1, -1},
    {"sudden slowness of one", 80, 0, 1, 8, 20, 50, 80, 1, -1},
    {"all slow", 20, 0, SERVERS, 8, 0, 50, 100, 0, 0},
    {"sudden slowness of all", 20, 0, SERVERS, 8, 20, 50, 105, 0, 25},
    {"over capacity", 300, 30, 0, 1, 0, 50, 101, 0, 0},
    {"hedges are off", 80, 30, 0, 1, 0, 0, 100, 0, 0},
};

typedef struct {
    int call; /* -1: the entry is free */
    int server;
    Instant sent_at;
    Instant ends_at; /* 0: it waits for a slot */
    bool is_hedge;
} Run;

typedef struct {
    Instant arrived_at;
    HedgeState hedge;
    bool ended;
} WorldCall;

typedef struct {
    const LoadCase *params;
    uint32_t permille; /* of the calls that may be hedged */
    Rng rng;
    PlacementTable placement;
    DurationHistogram durations;
    RetryBudget budget;
    HedgeGate gate;
    WorldCall calls[CALLS_MAX];
    int call_count;
    Run runs[RUNS_MAX];
    int hedges;
    int late;
} World;

static void
report_load(World *world, int server, Instant now)
{
    LoadReport load = {.slots = SLOTS, .service_us = (uint32_t)USUAL};

    for (int i = 0; i < RUNS_MAX; i++) {
        const Run *run = &world->runs[i];
        if (run->call >= 0 && run->server == server) {
            load.running += run->ends_at != 0;
            load.queued += run->ends_at == 0;
        }
    }
    Plc_OnLoadReport(&world->placement, (Addr)server + 1, &load, now);
}

static Span
draw_work(World *world, int server, Instant now)
{
    const LoadCase *c = world->params;
    Span work = USUAL * (Span)(75 + Rng_Below(&world->rng, 51)) / 100;

    if ((int)Rng_Below(&world->rng, 1000) < c->long_permille) {
        work *= LONG_FACTOR;
    }
    return server < c->slow_servers && now >= Span_S(c->slow_from_s)
               ? work * c->slow_factor
               : work;
}

static void
start_waiting(World *world, int server, Instant now)
{
    int running = 0;

    for (int i = 0; i < RUNS_MAX; i++) {
        const Run *run = &world->runs[i];
        running += run->call >= 0 && run->server == server && run->ends_at;
    }
    while (running++ < SLOTS) {
        Run *first = NULL;
        for (int i = 0; i < RUNS_MAX; i++) {
            Run *run = &world->runs[i];
            if (run->call >= 0 && run->server == server && !run->ends_at &&
                (!first || run->sent_at < first->sent_at)) {
                first = run;
            }
        }
        if (!first) {
            return;
        }
        first->ends_at = now + draw_work(world, server, now);
    }
}

static Run *
find_run(World *world, int call)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        if (world->runs[i].call == call) {
            return &world->runs[i];
        }
    }
    return NULL;
}

/* Sends an attempt of CALL; a hedge, if FIRST is in flight. */
static bool
send_attempt(World *world, int call, const Run *first, Instant now)
{
    Addr excluded = first ? (Addr)first->server + 1 : 0;
    PlacementRequest request = {.interactive = true,
                                .time_left = DEADLINE,
                                .excluded = &excluded,
                                .excluded_count = first != NULL};
    const BackendRow *row;
    Run *run = find_run(world, -1);

    if (!run ||
        Plc_Choose(&world->placement, &request, now, &row) != Plc_CHOSEN ||
        (first && (!Plc_HasSpareRoom(&world->placement, row->location.node) ||
                   !Rty_BudgetTake(&world->budget)))) {
        return false;
    }
    *run = (Run){.call = call,
                 .server = (int)row->location.node - 1,
                 .sent_at = now,
                 .is_hedge = first != NULL};
    Plc_OnAttemptStart(&world->placement, row->location.node, now);
    start_waiting(world, run->server, now);
    return true;
}

static void
end_run(World *world, Run *run, AttemptResult result, Instant now)
{
    Span took = now - run->sent_at;

    Plc_OnAttemptEnd(&world->placement, (Addr)run->server + 1, result, took,
                     now);
    if (result == Plc_ANSWERED) {
        Dhi_Record(&world->durations, took);
    }
    else {
        Dhi_RecordAtLeast(&world->durations, took);
    }
    run->call = -1;
    start_waiting(world, run->server, now);
    report_load(world, run->server, now);
}

/* Ends CALL; WINNER: the run that answered it, NULL at its deadline. */
static void
end_call(World *world, int call, Run *winner, Instant now)
{
    Run *loser;
    bool in_time;

    if (winner) {
        end_run(world, winner, Plc_ANSWERED, now);
    }
    while ((loser = find_run(world, call))) {
        end_run(world, loser,
                winner && !loser->is_hedge ? Plc_NO_ANSWER : Plc_CANCELLED,
                now);
    }
    world->calls[call].ended = true;
    in_time = now - world->calls[call].arrived_at <= OBJECTIVE;
    Hdg_OnCallEnd(&world->gate, in_time);
    world->late += !in_time;
}

static void
start_call(World *world, Instant now)
{
    WorldCall *call = &world->calls[world->call_count];

    call->arrived_at = now;
    Rty_BudgetOnCall(&world->budget, now);
    Hdg_Init(&call->hedge, true, 0,
             Hdg_ChooseDelay(&world->durations, OBJECTIVE, world->permille),
             now + DEADLINE, now);
    if (!send_attempt(world, world->call_count++, NULL, now)) {
        call->ended = true;
        world->late++;
    }
}

static void
hedge_if_due(World *world, const Run *first, Instant now)
{
    WorldCall *call = &world->calls[first->call];
    HedgeQuestion question = {
        .gate = &world->gate,
        .durations = &world->durations,
        .objective = OBJECTIVE,
        .waited = now - call->arrived_at,
        .attempt_age = now - first->sent_at,
        .has_attempts = true,
    };

    if (!Hdg_IsDue(&call->hedge, now)) {
        return;
    }
    if (Hdg_Decide(&question) == Hdg_SEND &&
        send_attempt(world, first->call, first, now)) {
        Hdg_End(&call->hedge);
        world->hedges++;
    }
    else {
        Hdg_Postpone(&call->hedge, now);
    }
}

static void
init_world(World *world, const LoadCase *c, int permille, uint64_t seed)
{
    static const PlacementSettings settings = {.policy = Plc_LEAST_WAIT,
                                               .sample_size = 4};
    LoadReport idle = {.slots = SLOTS, .service_us = (uint32_t)USUAL};

    *world = (World){.params = c, .permille = (uint32_t)permille};
    Rng_Init(&world->rng, seed);
    Plc_Init(&world->placement, &settings, &world->rng);
    Rty_BudgetInit(&world->budget, world->permille, 1);
    Hdg_InitGate(&world->gate);
    for (int i = 0; i < RUNS_MAX; i++) {
        world->runs[i].call = -1;
    }
    for (int i = 0; i < SERVERS; i++) {
        BackendLocation location = {.node = (Addr)i + 1,
                                    .incarnation = 1,
                                    .domain =
                                        (uint16_t)(i / SERVERS_PER_DOMAIN)};
        Plc_SetBackend(&world->placement, &location, &idle, 1);
    }
}

static void
step_world(World *world, Instant now)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        Run *run = &world->runs[i];
        if (run->call >= 0 && run->ends_at && run->ends_at <= now) {
            end_call(world, run->call, run, now);
        }
    }
    for (int i = 0; i < RUNS_MAX; i++) {
        const Run *run = &world->runs[i];
        if (run->call >= 0 &&
            now - world->calls[run->call].arrived_at >= DEADLINE) {
            end_call(world, run->call, NULL, now);
        }
        else if (run->call >= 0) {
            hedge_if_due(world, run, now);
        }
    }
}

/* Plays the load of C with hedges for PERMILLE of the calls. */
static void
play(World *world, const LoadCase *c, int permille, uint64_t seed)
{
    Instant next = Span_MS(STEP_MS);

    init_world(world, c, permille, seed);
    for (Instant now = Span_MS(STEP_MS); now < Span_S(SECONDS);
         now += Span_MS(STEP_MS)) {
        step_world(world, now);
        for (; next <= now; next += Span_S(1) / c->calls_per_s) {
            start_call(world, now);
        }
    }
    Plc_Finish(&world->placement);
    Rng_Finish(&world->rng);
}

START_TEST(pays_under_load)
{
    static World world;
    const LoadCase *c = &load_cases[_i];
    int late = 0;
    int hedged_late = 0;
    int hedges = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        play(&world, c, 0, seed);
        ck_assert_int_eq(world.hedges, 0);
        late += world.late;
        play(&world, c, c->permille, seed);
        ck_assert_int_le(world.hedges,
                         1 + world.call_count * c->permille / 1000);
        hedged_late += world.late;
        hedges += world.hedges;
    }
    printf("%s: %d calls, late %d, with %d hedges %d\n", c->name,
           SEEDS * world.call_count, late, hedges, hedged_late);
    fflush(stdout);
    ck_assert_int_ge(hedges, c->hedges_min);
    ck_assert(c->hedges_max < 0 || hedges <= c->hedges_max);
    ck_assert_int_le(hedged_late * 100, late * c->late_percent);
}
END_TEST

/* Retries and hedges of all nodes against the share of repeats that services
 * bear: rule figures of the target, the nodes asking for all that they may. */
typedef struct {
    const char *name;
    int nodes;
    int calls; /* in the window, over all nodes */
    int retry_permille;
    int hedge_permille;
    int restarts; /* of each node in the window */
    int bearable_permille;
    int bearable_slack;
} BudgetCase;

static const BudgetCase budget_cases[] = {
    {"a window of calls", 86, 4460, 100, 50, 0, 200, 212},
    {"few calls", 86, 955, 100, 50, 0, 200, 212},
    {"hardly any", 86, 86, 100, 50, 0, 200, 212},
    {"hedges off", 86, 4460, 100, 0, 0, 200, 212},
    {"each node restarts once", 86, 4460, 100, 50, 1, 200, 212},
};

START_TEST(stays_within_the_budget)
{
    const BudgetCase *c = &budget_cases[_i];
    int spent = 0;

    for (int node = 0; node < c->nodes; node++) {
        RetryBudget retries;
        RetryBudget hedges;
        int calls = c->calls / c->nodes;
        Rty_BudgetInit(&retries, (uint32_t)c->retry_permille, 1);
        Rty_BudgetInit(&hedges, (uint32_t)c->hedge_permille, 1);
        for (int i = 0; i < calls; i++) {
            if (i && i == calls / 2 && c->restarts) {
                Rty_BudgetInit(&retries, (uint32_t)c->retry_permille, 1);
                Rty_BudgetInit(&hedges, (uint32_t)c->hedge_permille, 1);
            }
            Rty_BudgetOnCall(&retries, Span_MS(1) + i * Span_MS(20));
            Rty_BudgetOnCall(&hedges, Span_MS(1) + i * Span_MS(20));
            spent += Rty_BudgetTake(&retries);
            spent += Rty_BudgetTake(&hedges);
        }
    }
    ck_assert_msg(spent * 1000 <= c->calls * c->bearable_permille +
                                      c->bearable_slack * 1000,
                  "%s: %d repeats of %d calls", c->name, spent, c->calls);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {chooses_the_delay, ROWS(delay_cases)},
        {withholds_what_wins_nothing, ROWS(verdict_cases)},
        {pays_under_load, ROWS(load_cases)},
        {stays_within_the_budget, ROWS(budget_cases)},
    };

    return Suite_Run("hedge", tests, ROWS(tests), 20);
}
