/* The rate of a cold backend server: it is never exceeded, whenever the server
 * becomes cold and whatever restarts, and a warm server is not held back. */
#include "process/admission/admission.h"
#include "support/suite.h"
#include "value/rng.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

#define STEP Span_MS(1)
#define ANSWER_TIME Span_MS(2) /* of a question; it is judged halfway */
#define BEGIN Span_S(100)

enum {
    PER_S = 16,
    OVERAGE = 1500,
    SLACK = 8,
    SECONDS = 8,
    STARTS_MAX = 65536
};
enum { ALLOWED = PER_S * OVERAGE / 1000 + SLACK };

/* All times count from BEGIN. */
typedef struct {
    const char *name;
    int offered; /* requests a second, evenly */
    int burst;   /* more of them at BURST_AT */
    Span burst_at;
    Span cold_from; /* 0 and COLD_FOR 0: never */
    Span cold_for;
    Span restart_at;      /* of this node; 0: none */
    bool is_asked;        /* the server answers questions */
    bool answers;         /* with a word */
    Span announced_every; /* 0: no announcements */
    int warm_min;         /* starts in the last second */
    int cold_min;         /* starts for each whole cold second but the first */
} ColdCase;

static const ColdCase cases[] = {
    {"warm, more than the limit", 200, 0, 0, 0, 0, 0, true, true, 0, 195, 0},
    {"warm, far more", 1000, 0, 0, 0, 0, 0, true, true, 0, 990, 0},
    {"warm, a burst", 10, 500, Span_S(7), 0, 0, 0, true, true, 0, 500, 0},
    {"cold all the time", 200, 0, 0, Span_MS(0), Span_S(8), 0, true, true, 0,
     PER_S, PER_S},
    {"becomes cold under load", 200, 0, 0, Span_MS(3010), Span_S(3), 0, true,
     true, 0, 195, PER_S},
    {"becomes cold before a burst", 10, 300, Span_MS(3015), Span_MS(3010),
     Span_S(2), 0, true, true, 0, 9, PER_S},
    {"this node restarts beside a cold server", 200, 0, 0, Span_S(2),
     Span_S(6), Span_MS(4500), true, true, 0, PER_S, 0},
    {"this node restarts as the server becomes cold", 200, 0, 0, Span_S(4),
     Span_S(2), Span_MS(4001), true, true, 0, 195, 0},
    {"this node restarts beside a warm server", 200, 0, 0, 0, 0, Span_S(7),
     true, true, 0, 190, 0},
    {"no answer to any question", 200, 0, 0, Span_S(3), Span_S(2), 0, true,
     false, 0, PER_S, PER_S},
    {"can't be asked, announces itself", 200, 0, 0, 0, 0, 0, false, false,
     Span_MS(500), 195, 0},
};

typedef struct {
    const ColdCase *row;
    ColdRate rate;
    Instant asked_at;
    bool is_answer_due;
    Instant starts[STARTS_MAX];
    size_t start_count;
} Simulation;

static bool
is_cold(const ColdCase *c, Instant now)
{
    return now >= BEGIN + c->cold_from &&
           now < BEGIN + c->cold_from + c->cold_for;
}

static Span
get_cold_left(const ColdCase *c, Instant now)
{
    return is_cold(c, now) ? BEGIN + c->cold_from + c->cold_for - now : 0;
}

static void
tell(Simulation *sim, Instant as_of, Instant judged, Instant now)
{
    Span left = get_cold_left(sim->row, judged);

    if (left) {
        Cld_OnCold(&sim->rate, left, now);
    }
    else {
        Cld_OnWarm(&sim->rate, as_of);
    }
}

static void
open_rate(Simulation *sim, Instant now)
{
    Cld_Init(&sim->rate, now);
    Cld_SetBound(&sim->rate, Cld_MakeLimit(PER_S, OVERAGE, SLACK),
                 sim->row->is_asked);
    sim->is_answer_due = false;
    sim->asked_at = 0;
}

static void
ask_and_answer(Simulation *sim, Instant now)
{
    const ColdCase *c = sim->row;

    if (sim->is_answer_due && now >= sim->asked_at + ANSWER_TIME) {
        sim->is_answer_due = false;
        tell(sim, sim->asked_at, sim->asked_at + ANSWER_TIME / 2, now);
    }
    if (c->answers && !sim->is_answer_due &&
        now - sim->asked_at >= Cld_INTERVAL &&
        Cld_NeedsWord(&sim->rate, now)) {
        sim->asked_at = now;
        sim->is_answer_due = true;
    }
    if (c->announced_every && (now - BEGIN) % c->announced_every == 0) {
        tell(sim, now, now, now);
    }
}

/* What waits is refused after a second, as where callers go elsewhere. */
static void
run(Simulation *sim, const ColdCase *c)
{
    double waiting = 0;

    *sim = (Simulation){.row = c};
    open_rate(sim, BEGIN);
    for (Instant now = BEGIN; now < BEGIN + Span_S(SECONDS); now += STEP) {
        if (c->restart_at && now == BEGIN + c->restart_at) {
            open_rate(sim, now);
        }
        waiting += c->offered * (double)STEP / Span_S(1);
        waiting += c->burst && now == BEGIN + c->burst_at ? c->burst : 0;
        waiting =
            waiting > c->offered + c->burst ? c->offered + c->burst : waiting;
        ask_and_answer(sim, now);
        while (waiting >= 1 && Cld_MayStart(&sim->rate, now)) {
            ck_assert_int_eq(Cld_EstimateWait(&sim->rate, 0, now), 0);
            Cld_OnStart(&sim->rate, now);
            ck_assert(sim->start_count < STARTS_MAX);
            sim->starts[sim->start_count++] = now;
            waiting--;
        }
    }
}

static int
count_between(const Simulation *sim, Instant from, Instant to)
{
    int count = 0;

    for (size_t i = 0; i < sim->start_count; i++) {
        count += sim->starts[i] >= from && sim->starts[i] < to;
    }
    return count;
}

/* The most starts at the cold server within a second. */
static int
count_most(const Simulation *sim)
{
    int most = 0;

    for (size_t i = 0; i < sim->start_count; i++) {
        int count = 0;
        for (size_t j = i; j < sim->start_count &&
                           sim->starts[j] < sim->starts[i] + Span_S(1);
             j++) {
            count += is_cold(sim->row, sim->starts[j]);
        }
        most =
            is_cold(sim->row, sim->starts[i]) && count > most ? count : most;
    }
    return most;
}

static Simulation simulation;

START_TEST(keeps_the_rate)
{
    const ColdCase *c = &cases[_i];
    Instant end = BEGIN + Span_S(SECONDS);
    int most;
    int last;

    run(&simulation, c);
    most = count_most(&simulation);
    last = count_between(&simulation, end - Span_S(1), end);
    ck_assert_msg(most <= ALLOWED, "%s: %d in a second, %d allowed", c->name,
                  most, ALLOWED);
    ck_assert_msg(last >= c->warm_min, "%s: %d in the last second", c->name,
                  last);
    for (Instant from = BEGIN + c->cold_from + Span_S(1);
         from + Span_S(1) <= BEGIN + c->cold_from + c->cold_for;
         from += Span_S(1)) {
        int count = count_between(&simulation, from, from + Span_S(1));
        ck_assert_msg(count >= c->cold_min, "%s: %d in a cold second", c->name,
                      count);
    }
}
END_TEST

/* Any schedule: the server becomes cold and this node restarts at any time,
 * under any load. */
START_TEST(keeps_the_rate_on_any_schedule)
{
    Rng rng;

    Rng_Init(&rng, (uint64_t)_i + 1);
    for (int i = 0; i < 20; i++) {
        ColdCase c = {
            .name = "drawn",
            .offered = 1 + (int)Rng_Below(&rng, 400),
            .burst = (int)Rng_Below(&rng, 400),
            .burst_at = Span_MS(Rng_Below(&rng, 8000)),
            .cold_from = Span_MS(Rng_Below(&rng, 8000)),
            .cold_for = Span_MS(100 + Rng_Below(&rng, 4000)),
            .restart_at = Span_MS(Rng_Below(&rng, 8000)),
            .is_asked = true,
            .answers = Rng_Below(&rng, 4) > 0,
        };
        int most;
        run(&simulation, &c);
        most = count_most(&simulation);
        ck_assert_msg(most <= ALLOWED, "seed %d, round %d: %d in a second",
                      _i + 1, i, most);
    }
    Rng_Finish(&rng);
}
END_TEST

typedef struct {
    uint32_t per_s;
    uint32_t overage;
    uint32_t slack;
    uint32_t limit;
} LimitCase;

static const LimitCase limits[] = {
    {0, 1500, 8, 0},   /* no bound */
    {16, 1500, 8, 28}, /* 4 fifths of 16 more */
    {16, 0, 0, 16},    /* no excess stated */
    {16, 1000, 0, 16}, /* none allowed */
    {16, 900, 0, 16},  /* less than the rate is no bound on an excess */
    {1, 1000, 0, 1},   {1000000, 2000, 1000, 1800800},
};

START_TEST(makes_limits)
{
    const LimitCase *c = &limits[_i];

    ck_assert_uint_eq(Cld_MakeLimit(c->per_s, c->overage, c->slack), c->limit);
}
END_TEST

typedef struct {
    uint32_t starts; /* at once, 100 ms ago */
    uint32_t ahead;
    Span at_least;
    Span at_most;
} WaitCase;

static const WaitCase waits[] = {
    {0, 0, 0, 0},
    {27, 0, 0, 0},
    {27, 1, Span_MS(880), Span_MS(940)},
    {28, 0, Span_MS(880), Span_MS(940)},
    {28, 27, Span_MS(880), Span_MS(940)},
    {28, 28, Span_S(1), Span_S(1)}, /* the second after that, or later */
};

START_TEST(estimates_waits)
{
    const WaitCase *c = &waits[_i];
    ColdRate rate;
    Span wait;

    Cld_Init(&rate, BEGIN);
    Cld_SetBound(&rate, 28, true);
    Cld_OnWarm(&rate, BEGIN + Span_S(1));
    for (uint32_t i = 0; i < c->starts; i++) {
        Cld_OnStart(&rate, BEGIN + Span_S(5));
    }
    wait = Cld_EstimateWait(&rate, c->ahead, BEGIN + Span_S(5) + Span_MS(100));
    ck_assert_msg(wait >= c->at_least && wait <= c->at_most, "%d us",
                  (int)wait);
}
END_TEST

typedef struct {
    const char *name;
    uint32_t admitted;   /* attempts before, all at once */
    bool is_warm;        /* the server says so after them */
    bool is_cold;        /* or that it stays cold */
    bool is_evacuated;   /* its failure domain is, after them */
    Span queue_time_max; /* of one more */
    AdmissionVerdict verdict;
    uint32_t slots; /* reported to other nodes then */
} AdmissionCase;

enum { SLOTS = 100, LIMIT = 28 };

/* A request takes 100 ms: the limit keeps 2 slots in use. */
static const AdmissionCase admissions[] = {
    {"below the limit", LIMIT - 1, false, false, false, Span_MS(100), Adm_RUN,
     SLOTS},
    {"at the limit, can't wait", LIMIT, false, false, false, Span_MS(100),
     Adm_REFUSE_FULL, SLOTS},
    {"at the limit, can wait", LIMIT, false, false, false, Span_S(2),
     Adm_QUEUE, SLOTS},
    {"at the limit, proved warm", LIMIT, true, false, false, Span_MS(100),
     Adm_RUN, SLOTS},
    {"at the limit, cold", LIMIT, false, true, false, Span_MS(100),
     Adm_REFUSE_FULL, 2},
    {"cold, below the limit", 1, false, true, false, Span_MS(100), Adm_RUN, 2},
    {"evacuated", 1, false, false, true, Span_S(2), Adm_REFUSE_DRAINING,
     SLOTS},
};

/* What the rate and an evacuation make of one more attempt. */
START_TEST(admits_by_rate)
{
    const AdmissionCase *c = &admissions[_i];
    AdmissionSettings settings = {.queue_max = 32, .patient_queue_max = 32};
    AttemptCompletion completion = {.normalized_time = Span_MS(100)};
    AdmissionRequest request = {.time_left = Span_S(3)};
    AdmissionController admission;
    Instant now = BEGIN;

    Adm_Init(&admission, &settings);
    Adm_OpenColdRate(&admission, now);
    Adm_SetColdBound(&admission, LIMIT, true);
    Adm_OnAnnounce(&admission, SLOTS, false, now);
    now += Span_S(5);
    ck_assert_int_eq(Adm_Admit(&admission, &request, now), Adm_RUN);
    Adm_OnAttemptEnd(&admission, &completion, now + Span_MS(100));
    now += Span_S(5);
    for (uint32_t i = 0; i < c->admitted; i++) {
        ck_assert_int_eq(Adm_Admit(&admission, &request, now), Adm_RUN);
    }
    now += Cld_INTERVAL;
    if (c->is_warm) {
        Adm_OnColdWord(&admission, now, 0, now);
    }
    if (c->is_cold) {
        Adm_OnColdWord(&admission, now, Span_S(2), now);
    }
    Adm_SetEvacuated(&admission, c->is_evacuated);
    request.queue_time_max = c->queue_time_max;
    ck_assert_msg(Adm_Admit(&admission, &request, now) == c->verdict, "%s",
                  c->name);
    ck_assert_uint_eq(Adm_GetLoadReport(&admission, now).slots, c->slots);
    ck_assert(!Adm_GetLoadReport(&admission, now).draining);
    ck_assert(Adm_IsDraining(&admission) == c->is_evacuated);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {keeps_the_rate, ROWS(cases)},
        {keeps_the_rate_on_any_schedule, 20},
        {makes_limits, ROWS(limits)},
        {estimates_waits, ROWS(waits)},
        {admits_by_rate, ROWS(admissions)},
    };

    return Suite_Run("cold rate", tests, ROWS(tests), 20);
}
