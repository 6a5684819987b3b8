/* Placement: who is chosen, who is ejected, how many are known. */
#include "process/placement.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SERVERS = 4, SLOTS = 9 };

typedef struct {
    Rng rng;
    PlacementTable plc;
} World;

static const PlacementSettings ours = {
    .policy = Plc_LEAST_WAIT,
    .self = 99,
    .domain_penalty = Span_MS(2),
    .region_penalty = Span_MS(30),
    .sample_size = 3,
    .queue_max = 32,
    .patient_queue_max = 16,
};

static void
init_world(World *world, PlacementSettings settings)
{
    Rng_Init(&world->rng, 7);
    Plc_Init(&world->plc, &settings, &world->rng);
}

static void
finish_world(World *world)
{
    Plc_Finish(&world->plc);
    Rng_Finish(&world->rng);
}

static void
set_place(World *world, Addr node, uint16_t region, LoadReport load,
          Instant now)
{
    BackendLocation place = {.node = node, .incarnation = 1, .region = region};

    place.domain = (uint16_t)(node % 4);
    Plc_SetBackend(&world->plc, &place, &load, now);
}

typedef struct {
    LoadReport loads[SERVERS]; /* servers 1 and 2 at home, 3 and 4 not */
    bool interactive;
    Addr tried;
    PlacementVerdict verdict;
    uint32_t allowed; /* bit N: server N + 1 may be chosen */
} ChoiceCase;

#define IDLE                                                                  \
    {                                                                         \
        SLOTS, 0, 0, 5000, 0, false, 0, false                                 \
    }
#define BUSY                                                                  \
    {                                                                         \
        SLOTS, SLOTS, 8, 5000, 0, false, 0, false                             \
    }
#define NEARLY                                                                \
    {                                                                         \
        SLOTS, SLOTS - 1, 0, 5000, 0, false, 0, false                         \
    }
#define BOASTS                                                                \
    {                                                                         \
        4 * SLOTS, 24, 0, 6500, 0, false, 0, false                            \
    }
#define LARGE                                                                 \
    {                                                                         \
        4 * SLOTS, 24, 0, 5000, 0, false, 0, false                            \
    }
#define CROWDED                                                               \
    {                                                                         \
        SLOTS, SLOTS, 31, 20000, 0, false, 0, false                           \
    }
#define FULL                                                                  \
    {                                                                         \
        SLOTS, SLOTS, 32, 5000, 0, false, 0, false                            \
    }
#define PATIENT_FULL                                                          \
    {                                                                         \
        SLOTS, SLOTS, 16, 5000, 0, false, 0, false                            \
    }
#define DRAINING                                                              \
    {                                                                         \
        SLOTS, 0, 0, 5000, 0, true, 0, false                                  \
    }
#define ABSENT                                                                \
    {                                                                         \
        0, 0, 0, 0, 0, false, 0, false                                        \
    }

static const ChoiceCase choices[] = {
    {{IDLE, IDLE, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x3},
    {{IDLE, BUSY, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x1},
    {{IDLE, IDLE, IDLE, IDLE}, true, 1, Plc_CHOSEN, 0x2},
    {{DRAINING, IDLE, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x2},
    {{ABSENT, BUSY, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0x2},
    {{CROWDED, CROWDED, IDLE, IDLE}, true, 0, Plc_CHOSEN, 0xc},
    {{BOASTS, NEARLY, FULL, FULL}, true, 0, Plc_CHOSEN, 0x2},
    {{LARGE, NEARLY, FULL, FULL}, true, 0, Plc_CHOSEN, 0x1},
    {{FULL, FULL, FULL, FULL}, true, 0, Plc_ALL_FULL, 0},
    {{PATIENT_FULL, PATIENT_FULL, PATIENT_FULL, PATIENT_FULL},
     false,
     0,
     Plc_ALL_FULL,
     0},
    {{PATIENT_FULL, PATIENT_FULL, PATIENT_FULL, PATIENT_FULL},
     true,
     0,
     Plc_CHOSEN,
     0x3},
    {{FULL, IDLE, FULL, FULL}, true, 2, Plc_ALL_FULL, 0},
    {{DRAINING, ABSENT, DRAINING, ABSENT}, true, 0, Plc_NO_BACKEND, 0},
};

START_TEST(chooses)
{
    const ChoiceCase *c = &choices[_i];
    Instant now = Span_S(5);
    World world;
    PlacementRequest ask = {.interactive = c->interactive,
                            .time_left = Span_S(1)};

    init_world(&world, ours);
    for (int i = 0; i < SERVERS; i++) {
        set_place(&world, (Addr)i + 1, i / 2, c->loads[i], now);
    }
    ask.excluded = &c->tried;
    ask.excluded_count = c->tried ? 1 : 0;
    for (int i = 0; i < 100; i++) {
        const BackendRow *row;
        ck_assert_int_eq(Plc_Choose(&world.plc, &ask, now, &row), c->verdict);
        ck_assert(!row || c->allowed & 1u << (row->location.node - 1));
    }
    finish_world(&world);
}
END_TEST

typedef struct {
    const char *name;
    double most;       /* share of server 1 in the second second at most */
    double least;      /* share once it is well again, at least */
    Span gap;          /* between attempts */
    Span time;         /* of an attempt at server 1; else 5 ms */
    AttemptResult end; /* of it; else answered */
    int ejected;       /* after two seconds */
    bool all;          /* all servers do as server 1 does */
} FaultCase;

static const FaultCase faults[] = {
    {"well", 1.00, 0.15, 500, Span_MS(5), Plc_ANSWERED, 0, false},
    {"fails fast", 0.01, 0.15, 500, 50, Plc_FAILED, 1, false},
    {"slow", 0.05, 0.15, 500, Span_MS(100), Plc_ANSWERED, 0, false},
    {"slow, few", 0.10, 0.15, Span_MS(10), Span_MS(100), Plc_ANSWERED, 0,
     false},
    {"all fail fast", 1.00, 0.15, 500, 50, Plc_FAILED, 2, true},
    {"all silent", 1.00, 0.15, 500, Span_MS(500), Plc_NO_ANSWER, 2, true},
};

#define SECONDS 10
#define WELL_AT Span_S(3)

enum { OPEN_MAX = 4096 };

/* Attempts not ended yet. */
typedef struct {
    Instant until[OPEN_MAX];
    Instant since[OPEN_MAX];
    Addr node[OPEN_MAX];
    AttemptResult end[OPEN_MAX];
    int count;
} Open;

static const LoadReport moderate = {SLOTS, 4, 0, 5000, 0, false, 0, false};

static void
end_due(World *world, Open *open, Instant now)
{
    for (int i = 0; i < open->count;) {
        if (open->until[i] > now) {
            i++;
            continue;
        }
        Plc_OnAttemptEnd(&world->plc, open->node[i], open->end[i],
                         now - open->since[i], now);
        if (open->end[i] != Plc_NO_ANSWER) {
            Plc_OnLoadReport(&world->plc, open->node[i], &moderate, now);
        }
        open->count--;
        open->until[i] = open->until[open->count];
        open->since[i] = open->since[open->count];
        open->node[i] = open->node[open->count];
        open->end[i] = open->end[open->count];
    }
}

static void
begin(World *world, Open *open, const FaultCase *c, Addr node, Instant now)
{
    bool ill = now < WELL_AT && (c->all || node == 1);
    int i = open->count++;

    ck_assert_int_lt(i, OPEN_MAX);
    open->node[i] = node;
    open->since[i] = now;
    open->until[i] = now + (ill ? c->time : Span_MS(5));
    open->end[i] = ill ? c->end : Plc_ANSWERED;
    Plc_OnAttemptStart(&world->plc, node, now);
}

static int
count_ejected(const PlacementTable *plc)
{
    int count = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
        count += plc->rows[i].ejected;
    }
    return count;
}

START_TEST(answers_faults)
{
    const FaultCase *c = &faults[_i];
    int to_first[SECONDS] = {0};
    const double a_second = 1e6 / (double)c->gap;
    PlacementSettings settings = ours;
    static Open open;
    World world;

    open = (Open){0};
    settings.domain_penalty = 0;
    init_world(&world, settings);
    for (Instant now = 0; now < Span_S(SECONDS); now += c->gap) {
        PlacementRequest ask = {.interactive = true, .time_left = Span_S(1)};
        const BackendRow *row;
        for (Addr i = 1; now % Span_MS(500) == 0 && i <= SERVERS; i++) {
            set_place(&world, i, 0, moderate, now);
        }
        end_due(&world, &open, now);
        if (Plc_Choose(&world.plc, &ask, now, &row) == Plc_CHOSEN) {
            to_first[now / Span_S(1)] += row->location.node == 1;
            begin(&world, &open, c, row->location.node, now);
        }
        else {
            /* Shed only for attempts that are truly unanswered. */
            ck_assert_int_ge(open.count, SERVERS * (int)ours.queue_max);
        }
        ck_assert_int_le(2 * count_ejected(&world.plc), SERVERS);
        if (now == Span_S(2)) {
            ck_assert_int_eq(count_ejected(&world.plc), c->ejected);
        }
    }
    ck_assert_msg(to_first[1] <= c->most * a_second,
                  "%s: %d in the second second", c->name, to_first[1]);
    ck_assert_msg(to_first[SECONDS - 1] >= c->least * a_second,
                  "%s: %d in the last second", c->name, to_first[SECONDS - 1]);
    finish_world(&world);
}
END_TEST

typedef struct {
    uint32_t servers;
    uint32_t rows_max;
    size_t known;
    size_t of_domain; /* at least */
} BoundCase;

static const BoundCase bounds[] = {
    {5, 0, 5, 1},
    {5, 16, 5, 1},
    {40, 8, 8, 2},
    {680, 16, 16, 4},
};

START_TEST(knows_a_bounded_subset)
{
    const BoundCase *c = &bounds[_i];
    const LoadReport load = IDLE;
    PlacementSettings settings = ours;
    size_t of_domain[4] = {0};
    World worlds[2];

    settings.rows_max = c->rows_max;
    for (int w = 0; w < 2; w++) {
        init_world(&worlds[w], settings);
        for (uint32_t i = 1; i <= c->servers; i++) {
            set_place(&worlds[w], w ? c->servers + 1 - i : i, 0, load, 0);
        }
        ck_assert_uint_eq(worlds[w].plc.row_count, c->known);
    }
    for (size_t i = 0; i < worlds[0].plc.row_count; i++) {
        of_domain[worlds[0].plc.rows[i].location.domain]++;
    }
    for (int i = 0; i < 4; i++) {
        ck_assert_uint_ge(of_domain[i], c->of_domain);
    }
    finish_world(&worlds[0]);
    finish_world(&worlds[1]);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {chooses, ROWS(choices)},
        {answers_faults, ROWS(faults)},
        {knows_a_bounded_subset, ROWS(bounds)},
    };

    return Suite_Run("placement", tests, ROWS(tests), 20);
}
