/* Many claims of one key under seeded random schedules: messages dropped,
 * doubled, late and out of order; holders, nodes and proposers lost.  However
 * it goes, the key runs at most once, every answer told is that run's, and
 * "not run" is told only of what did not run.
 */
#include <stdio.h>

#include "process/ledger.h"
#include "process/register.h"
#include "request/claim.h"
#include "support/suite.h"
#include "value/rng.h"

enum {
    HOLDERS_MAX = 5,
    NODES = 3,
    CLAIMS = 10,
    EVENTS_MAX = 4096,
    ATTEMPTS_MAX = 24,
    NAME_MAX_LEN = 16,
    SEEDS = 400
};

#define KEY Str_LIT("k")
#define HORIZON Span_S(20)
#define DEADLINE Span_S(3)
#define SETTLE Span_S(1)
#define ANSWER_WAIT Span_MS(250)

typedef enum {
    TO_HOLDER,
    TO_CLAIM,
    ENDED,
    RELEASED,
    FATE_ASK,
    FATE,
    CALL,
    RUN_ENDS,
    ANSWER,
    REFUSED,
    FENCE,
    FENCED,
    TICK,
    START,
    HOLDER_DIES,
    HOLDER_ASKS,
    HOLDER_READS,
    HOLDER_ROWS,
    NODE_DIES,
    CLAIM_DIES
} Kind;

typedef struct {
    Instant at;
    Kind kind;
    int claim;
    int place; /* holder or node */
    int other; /* holder that is read */
    uint32_t phase;
    bool promise;
    uint64_t start; /* of the holder that catches up */
    RegValue value;
    RegAnswer answer;
    LedState fate;
    bool ready;
} Event;

typedef enum { IDLE, CLAIMING, RUNNING, TOLD, DEAD } Progress;

typedef struct {
    Clm clm;
    Progress progress;
    Instant started_at;
    Instant sent_at;
    uint64_t counter;
    bool told_not_run;
    Instant promised_at; /* it last asked for promises */
    Instant granted_at;
} Claimant;

typedef struct {
    Rng rng;
    Instant now;
    Event events[EVENTS_MAX];
    size_t count;
    uint32_t holders;
    uint32_t loss; /* drops and doubles, of a hundred */
    Reg regs[HOLDERS_MAX];
    uint64_t starts[HOLDERS_MAX];
    Instant started_at[HOLDERS_MAX];
    bool read[HOLDERS_MAX][HOLDERS_MAX];
    Led leds[NODES];
    uint64_t incarnations[NODES];
    Claimant claimants[CLAIMS];
    char names[CLAIMS][ATTEMPTS_MAX][NAME_MAX_LEN];
    int runs;
    AttemptId ran;
    Instant first_run_at;
    int told_answers;
    int told_unknown;
    int told_not_run;
    uint64_t seed;
} World;

static const RegSettings reg_settings = {Span_S(600), 100, 1000, 100};
static const LedSettings led_settings = {Span_S(10), Span_S(600), 1000,
                                         100,        1000,        100};

static uint32_t
chance(World *w, uint32_t percent)
{
    return Rng_Below(&w->rng, 100) < percent;
}

static Event *
add_event(World *w, const Event *event, Span delay)
{
    ck_assert(w->count < EVENTS_MAX);
    w->events[w->count] = *event;
    w->events[w->count].at = w->now + delay;
    return &w->events[w->count++];
}

/* A message: mostly quick, at times late, lost or doubled. */
static void
send(World *w, const Event *event)
{
    int copies = 1;

    if (chance(w, w->loss)) {
        copies = (int)Rng_Below(&w->rng, 2) * 2;
    }
    for (int i = 0; i < copies; i++) {
        Span delay = 200 + Rng_Below(&w->rng, 12000);
        if (chance(w, w->loss)) {
            delay = Rng_Below(&w->rng, 3000000);
        }
        add_event(w, event, delay);
    }
}

static Str
name_of(World *w, AttemptId id)
{
    char *name = w->names[id.incarnation][id.counter];
    int len = snprintf(name, NAME_MAX_LEN, "a%d-%d", (int)id.incarnation,
                       (int)id.counter);

    return Str_From(name, (size_t)len);
}

static void
tell_answer(World *w, Claimant *c, Str answer)
{
    ck_assert_msg(w->runs == 1 && Str_Equal(answer, name_of(w, w->ran)),
                  "seed %d: told another answer", (int)w->seed);
    c->progress = TOLD;
    w->told_answers++;
}

static void
to_all(World *w, int claim, Kind kind, const RegValue *value, bool promise)
{
    Event event = {.kind = kind,
                   .claim = claim,
                   .phase = w->claimants[claim].clm.phase,
                   .value = *value,
                   .promise = promise};

    for (uint32_t i = 0; i < w->holders; i++) {
        event.place = (int)i;
        send(w, &event);
    }
}

static void
send_call(World *w, int claim, Kind kind)
{
    Claimant *c = &w->claimants[claim];
    Event event = {.kind = kind,
                   .claim = claim,
                   .place = (int)c->clm.value.node,
                   .value = c->clm.value};

    c->sent_at = w->now;
    send(w, &event);
}

static void carry_out(World *w, int claim, ClmStep step);

static ClmStep
place(World *w, int claim)
{
    Claimant *c = &w->claimants[claim];
    uint32_t node = Rng_Below(&w->rng, NODES);

    if (chance(w, 5) || c->counter + 1 >= ATTEMPTS_MAX) {
        return Clm_OnNobody(&c->clm, w->now);
    }
    c->counter++;
    return Clm_OnPlaced(&c->clm, (AttemptId){(uint64_t)claim, c->counter},
                        node, w->incarnations[node], w->now);
}

static void
tell(World *w, int claim, ClmStep step)
{
    Claimant *c = &w->claimants[claim];

    c->progress = TOLD;
    for (size_t i = 0; i < c->clm.own_count; i++) {
        RegValue value = {.attempt = c->clm.own[i]};
        to_all(w, claim, RELEASED, &value, false);
    }
    switch (step) {
    case Clm_TELL_ANSWER:
        tell_answer(w, c, StrBuf_View(&c->clm.answer));
        break;
    case Clm_TELL_RAN:
        ck_assert_msg(w->runs == 1, "seed %d: told ran", (int)w->seed);
        break;
    case Clm_TELL_NOT_RUN:
        w->told_not_run++;
        c->told_not_run = true;
        ck_assert_msg(w->runs == 0 || (c->promised_at &&
                                       w->first_run_at >= c->promised_at),
                      "seed %d: told not run of what ran", (int)w->seed);
        break;
    default:
        ck_assert(step == Clm_TELL_UNKNOWN);
        w->told_unknown++;
        break;
    }
}

static void
carry_out(World *w, int claim, ClmStep step)
{
    Claimant *c = &w->claimants[claim];
    RegValue promise = {0};
    Event ask = {.kind = FATE_ASK, .claim = claim};

    if (step == Clm_PLACE) {
        step = place(w, claim);
    }
    promise.ballot = c->clm.ballot;
    switch (step) {
    case Clm_WAIT:
    case Clm_PLACE:
        break;
    case Clm_SEND_ACCEPT:
        to_all(w, claim, TO_HOLDER, &c->clm.value, false);
        break;
    case Clm_SEND_PROMISE:
        c->promised_at = w->now;
        to_all(w, claim, TO_HOLDER, &promise, true);
        break;
    case Clm_ASK:
        ask.place = (int)c->clm.asked.node;
        ask.value = c->clm.asked;
        send(w, &ask);
        break;
    case Clm_RUN:
        c->progress = RUNNING;
        c->granted_at = w->now;
        send_call(w, claim, CALL);
        break;
    default:
        tell(w, claim, step);
        break;
    }
}

static void
on_holder_message(World *w, Event *e)
{
    Reg *reg = &w->regs[e->place];
    Event back = *e;

    back.kind = TO_CLAIM;
    back.answer = e->promise ? Reg_Promise(reg, KEY, e->value.ballot, w->now)
                             : Reg_Accept(reg, KEY, &e->value, w->now);
    if (back.answer.held.answer.len) {
        back.answer.held.answer = name_of(w, back.answer.held.attempt);
    }
    send(w, &back);
}

/* Nobody was told "not run" who should have heard of this attempt. */
static void
check_not_run(const World *w, int claim)
{
    for (int i = 0; i < CLAIMS; i++) {
        const Claimant *c = &w->claimants[i];
        ck_assert_msg(
            !c->told_not_run || (i != claim && w->claimants[claim].granted_at >
                                                   c->promised_at),
            "seed %d: ran after claim %d was told not run", (int)w->seed, i);
    }
}

static void
on_call(World *w, const Event *e)
{
    Event next = *e;

    if (Led_OnAttempt(&w->leds[e->place], e->value.attempt,
                      e->value.incarnation, true, w->now) != Led_FIRST) {
        return;
    }
    if (chance(w, 20)) {
        Led_OnRefused(&w->leds[e->place], e->value.attempt, w->now);
        next.kind = REFUSED;
        send(w, &next);
        return;
    }
    w->runs++;
    w->ran = e->value.attempt;
    w->first_run_at = w->now;
    ck_assert_msg(w->runs == 1, "seed %d: the key ran twice", (int)w->seed);
    check_not_run(w, e->claim);
    next.kind = RUN_ENDS;
    add_event(w, &next, Rng_Below(&w->rng, 400000));
}

static void
on_run_ends(World *w, const Event *e)
{
    Event back = *e;

    if (w->incarnations[e->place] != e->value.incarnation) {
        return; /* it died with its node */
    }
    Led_OnDone(&w->leds[e->place], e->value.attempt, true,
               name_of(w, e->value.attempt), w->now);
    back.kind = ANSWER;
    send(w, &back);
}

static void
on_answer(World *w, const Event *e)
{
    Claimant *c = &w->claimants[e->claim];
    RegValue value = c->clm.value;

    if (c->progress == RUNNING &&
        AttemptId_Equal(c->clm.value.attempt, e->value.attempt)) {
        value.answer = name_of(w, value.attempt);
        to_all(w, e->claim, ENDED, &value, false);
        tell_answer(w, c, value.answer);
    }
}

static void
on_not_run(World *w, const Event *e)
{
    Claimant *c = &w->claimants[e->claim];

    if (c->progress == RUNNING &&
        AttemptId_Equal(c->clm.value.attempt, e->value.attempt)) {
        c->progress = CLAIMING;
        carry_out(w, e->claim, Clm_OnRefused(&c->clm));
    }
}

static void
on_fenced(World *w, const Event *e)
{
    Claimant *c = &w->claimants[e->claim];

    if (e->fate == Led_NEVER) {
        on_not_run(w, e);
    }
    else if (e->fate == Led_DONE) {
        on_answer(w, e);
    }
    else if (e->fate != Led_RUNNING && c->progress == RUNNING) {
        c->progress = TOLD;
        w->told_unknown++;
    }
}

static void
on_question(World *w, const Event *e)
{
    Event back = *e;
    Str answer;

    back.kind = e->kind == FENCE ? FENCED : FATE;
    back.fate = Led_Fence(&w->leds[e->place], e->value.attempt,
                          e->value.incarnation, true, w->now, &answer);
    send(w, &back);
}

static void
on_fate(World *w, const Event *e)
{
    static const ClmFate fates[] = {
        [Led_NEVER] = Clm_NEVER, [Led_RUNNING] = Clm_RUNNING,
        [Led_DONE] = Clm_DONE,   [Led_ENDED] = Clm_ENDED,
        [Led_LOST] = Clm_LOST,
    };
    Claimant *c = &w->claimants[e->claim];

    if (c->progress == CLAIMING) {
        carry_out(w, e->claim,
                  Clm_OnFate(&c->clm, e->value.attempt, fates[e->fate],
                             name_of(w, e->value.attempt), w->now));
    }
}

static void
on_tick(World *w, const Event *e)
{
    Claimant *c = &w->claimants[e->claim];

    if (c->progress == CLAIMING) {
        carry_out(w, e->claim, Clm_Tick(&c->clm, w->now));
    }
    else if (c->progress == RUNNING && w->now >= c->started_at + DEADLINE) {
        c->progress = TOLD;
        w->told_unknown++;
    }
    else if (c->progress == RUNNING && w->now >= c->sent_at + ANSWER_WAIT) {
        send_call(w, e->claim, FENCE);
    }
    if (c->progress == CLAIMING || c->progress == RUNNING) {
        add_event(w, e, Span_MS(10));
    }
}

static void
on_start(World *w, const Event *e)
{
    Claimant *c = &w->claimants[e->claim];
    Event tick = {.kind = TICK, .claim = e->claim};

    c->progress = CLAIMING;
    c->started_at = w->now;
    Clm_Init(&c->clm, w->holders, (AttemptId){(uint64_t)e->claim, 0}, 1,
             w->now + DEADLINE);
    carry_out(w, e->claim, Clm_PLACE);
    add_event(w, &tick, Span_MS(10));
}

static void
on_holder_dies(World *w, const Event *e)
{
    Event ask = {.kind = HOLDER_ASKS, .place = e->place};

    Reg_Finish(&w->regs[e->place]);
    Reg_Init(&w->regs[e->place], &reg_settings, false, w->now);
    w->starts[e->place]++;
    w->started_at[e->place] = w->now;
    for (uint32_t i = 0; i < w->holders; i++) {
        w->read[e->place][i] = false;
    }
    ask.start = w->starts[e->place];
    add_event(w, &ask, SETTLE);
}

static void
on_holder_asks(World *w, const Event *e)
{
    Event read = *e;

    if (e->start != w->starts[e->place] || w->regs[e->place].ready) {
        return;
    }
    read.kind = HOLDER_READS;
    for (uint32_t i = 0; i < w->holders; i++) {
        read.other = (int)i;
        if (read.other != e->place) {
            send(w, &read);
        }
    }
    add_event(w, e, Span_MS(500));
}

static void
take_row(void *context, Str key, RegBallot promised, const RegValue *value,
         bool mixed)
{
    Event *row = context;

    (void)key;
    row->answer.promised = promised;
    row->value = *value;
    row->promise = mixed;
}

static void
on_holder_reads(World *w, const Event *e)
{
    Event rows = *e;

    rows.kind = HOLDER_ROWS;
    rows.ready = w->regs[e->other].ready;
    rows.value = (RegValue){0};
    if (rows.ready) {
        Reg_Each(&w->regs[e->other], take_row, &rows);
        if (rows.value.answer.len) {
            rows.value.answer = name_of(w, rows.value.attempt);
        }
        send(w, &rows);
    }
}

static void
on_holder_rows(World *w, const Event *e)
{
    uint32_t read = 0;
    Reg *reg = &w->regs[e->place];

    if (e->start != w->starts[e->place] || reg->ready ||
        w->read[e->place][e->other]) {
        return;
    }
    ck_assert(Reg_Merge(reg, KEY, e->answer.promised, &e->value, e->promise,
                        w->now));
    w->read[e->place][e->other] = true;
    for (uint32_t i = 0; i < w->holders; i++) {
        read += w->read[e->place][i];
    }
    if (read >= w->holders - w->holders / 2) {
        Reg_SetReady(reg);
    }
}

static void
on_node_dies(World *w, const Event *e)
{
    Led_Finish(&w->leds[e->place]);
    w->incarnations[e->place]++;
    Led_Init(&w->leds[e->place], &led_settings, w->incarnations[e->place]);
}

static void
play(World *w, Event *e)
{
    Claimant *c = &w->claimants[e->claim];

    switch (e->kind) {
    case TO_HOLDER:
        on_holder_message(w, e);
        break;
    case TO_CLAIM:
        if (c->progress == CLAIMING) {
            carry_out(w, e->claim,
                      Clm_OnHolder(&c->clm, (uint32_t)e->place, e->phase,
                                   &e->answer, w->now));
        }
        break;
    case ENDED:
        Reg_OnEnded(&w->regs[e->place], KEY, &e->value, w->now);
        break;
    case RELEASED:
        Reg_OnReleased(&w->regs[e->place], KEY, e->value.attempt);
        break;
    case FATE_ASK:
    case FENCE:
        on_question(w, e);
        break;
    case FATE:
        on_fate(w, e);
        break;
    case CALL:
        on_call(w, e);
        break;
    case RUN_ENDS:
        on_run_ends(w, e);
        break;
    case ANSWER:
        on_answer(w, e);
        break;
    case REFUSED:
        on_not_run(w, e);
        break;
    case FENCED:
        on_fenced(w, e);
        break;
    case TICK:
        on_tick(w, e);
        break;
    case START:
        on_start(w, e);
        break;
    case HOLDER_DIES:
        on_holder_dies(w, e);
        break;
    case HOLDER_ASKS:
        on_holder_asks(w, e);
        break;
    case HOLDER_READS:
        on_holder_reads(w, e);
        break;
    case HOLDER_ROWS:
        on_holder_rows(w, e);
        break;
    case NODE_DIES:
        on_node_dies(w, e);
        break;
    case CLAIM_DIES:
        c->progress = c->progress == IDLE ? IDLE : DEAD;
        break;
    }
}

static Event
take_first(World *w)
{
    size_t first = 0;
    Event event;

    for (size_t i = 1; i < w->count; i++) {
        if (w->events[i].at < w->events[first].at) {
            first = i;
        }
    }
    event = w->events[first];
    w->events[first] = w->events[--w->count];
    return event;
}

typedef struct {
    const char *name;
    uint32_t holders;
    uint32_t loss; /* of a hundred messages */
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

enum { WEATHER_COUNT = sizeof weathers / sizeof weathers[0] };

static void
schedule(World *w, Kind kind, uint32_t count, uint32_t places, Span within)
{
    bool claims = kind == CLAIM_DIES;

    for (uint32_t i = 0; i < count; i++) {
        int number = (int)Rng_Below(&w->rng, places);
        Event event = {.kind = kind,
                       .claim = claims ? number : 0,
                       .place = claims ? 0 : number};
        add_event(w, &event, Rng_Below(&w->rng, (uint32_t)within));
    }
}

static void
init_world(World *w, const Weather *weather, uint64_t seed)
{
    *w = (World){.seed = seed,
                 .now = Span_S(1),
                 .holders = weather->holders,
                 .loss = weather->loss};
    Rng_Init(&w->rng, seed);
    for (uint32_t i = 0; i < w->holders; i++) {
        Reg_Init(&w->regs[i], &reg_settings, true, w->now);
    }
    for (int i = 0; i < NODES; i++) {
        w->incarnations[i] = 1;
        Led_Init(&w->leds[i], &led_settings, 1);
    }
    for (int i = 0; i < CLAIMS; i++) {
        Event start = {.kind = START, .claim = i};
        /* Half of them close together, the rest later. */
        add_event(w, &start, Rng_Below(&w->rng, i % 2 ? 40000 : 9000000));
    }
    schedule(w, HOLDER_DIES, weather->holder_deaths, w->holders,
             weather->deaths_within);
    schedule(w, NODE_DIES, weather->node_deaths, NODES,
             weather->deaths_within);
    schedule(w, CLAIM_DIES, weather->claim_deaths, CLAIMS,
             weather->deaths_within);
}

static void
finish_world(World *w)
{
    for (uint32_t i = 0; i < w->holders; i++) {
        Reg_Finish(&w->regs[i]);
    }
    for (int i = 0; i < NODES; i++) {
        Led_Finish(&w->leds[i]);
    }
    for (int i = 0; i < CLAIMS; i++) {
        Clm_Finish(&w->claimants[i].clm);
    }
    Rng_Finish(&w->rng);
}

START_TEST(runs_once_whatever_happens)
{
    static World w;
    const Weather *weather = &weathers[_i];
    int answers = 0;
    int unknown = 0;
    int not_run = 0;
    int runs = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        init_world(&w, weather, seed + 1000 * (uint64_t)_i);
        while (w.count && w.now < HORIZON) {
            Event event = take_first(&w);
            w.now = event.at;
            play(&w, &event);
        }
        answers += w.told_answers;
        unknown += w.told_unknown;
        not_run += w.told_not_run;
        runs += w.runs;
        finish_world(&w);
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

int
main(void)
{
    const SuiteTest tests[] = {{runs_once_whatever_happens, WEATHER_COUNT}};

    return Suite_Run("key schedule", tests, 1, 60);
}
