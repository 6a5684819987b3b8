#include "keyworld.h"

#include <check.h>
#include <stdio.h>

#define KEY Str_LIT("k")
#define HORIZON Span_S(20)
#define DEADLINE Span_S(3)
#define LOOK Span_MS(100) /* a holder's timer */
#define ANSWER_WAIT Span_MS(250)

static const RegisterSettings reg_settings = {Span_S(600), 100, 1000, 100};
static const LedgerSettings led_settings = {Span_S(10), Span_S(600), 1000,
                                            100,        1000,        100};

bool
Kw_Chance(KeyWorld *w, uint32_t percent)
{
    return Rng_Below(&w->rng, 100) < percent;
}

void
Kw_Add(KeyWorld *w, const KwEvent *event, Span delay)
{
    ck_assert(w->count < Kw_EVENTS_MAX);
    w->events[w->count] = *event;
    w->events[w->count].at = w->now + delay;
    w->count++;
}

static void
send(KeyWorld *w, const KwEvent *event)
{
    w->sink.send(w->sink.context, event);
}

Str
Kw_Name(KeyWorld *w, AttemptId id)
{
    char *name = w->names[id.incarnation][id.counter];
    int len = snprintf(name, Kw_NAME_MAX_LEN, "a%d-%d", (int)id.incarnation,
                       (int)id.counter);

    return Str_From(name, (size_t)len);
}

static void
tell_answer(KeyWorld *w, KwClaimant *c, Str answer)
{
    c->progress = Kw_TOLD;
    w->told_answers++;
    w->sink.told(w->sink.context, (int)(c - w->claimants), Clm_END_ANSWER,
                 answer);
}

static void
to_all(KeyWorld *w, int claim, KwKind kind, const RegisterValue *value,
       bool promise)
{
    KwEvent event = {.kind = kind,
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
send_call(KeyWorld *w, int claim, KwKind kind)
{
    KwClaimant *c = &w->claimants[claim];
    KwEvent event = {.kind = kind,
                     .claim = claim,
                     .place = (int)c->clm.proposal.node,
                     .value = c->clm.proposal};

    c->sent_at = w->now;
    send(w, &event);
}

static void carry_out(KeyWorld *w, int claim, ClaimAction step);

static ClaimAction
place(KeyWorld *w, int claim)
{
    KwClaimant *c = &w->claimants[claim];
    uint32_t node = Rng_Below(&w->rng, Kw_NODES);

    if (Kw_Chance(w, w->nobody) || c->counter + 1 >= Kw_ATTEMPTS_MAX) {
        return Clm_OnNoTarget(&c->clm, w->now);
    }
    c->counter++;
    return Clm_OnTargetChosen(&c->clm,
                              (AttemptId){(uint64_t)claim, c->counter}, node,
                              w->incarnations[node], w->now);
}

static void
tell(KeyWorld *w, int claim, ClaimAction step)
{
    KwClaimant *c = &w->claimants[claim];

    c->progress = Kw_TOLD;
    for (size_t i = 0; i < c->clm.own_attempt_count; i++) {
        RegisterValue value = {.attempt = c->clm.own_attempts[i]};
        to_all(w, claim, Kw_RELEASED, &value, false);
    }
    switch (step) {
    case Clm_END_ANSWER:
        tell_answer(w, c, StrBuf_View(&c->clm.answer));
        break;
    case Clm_END_RAN:
        w->sink.told(w->sink.context, claim, step, (Str){0});
        break;
    case Clm_END_NOT_RUN:
        w->told_not_run++;
        c->told_not_run = true;
        w->sink.told(w->sink.context, claim, step, (Str){0});
        break;
    default:
        ck_assert(step == Clm_END_UNKNOWN);
        w->told_unknown++;
        break;
    }
}

static void
carry_out(KeyWorld *w, int claim, ClaimAction step)
{
    KwClaimant *c = &w->claimants[claim];
    RegisterValue promise = {0};
    KwEvent ask = {.kind = Kw_FATE_ASK, .claim = claim};

    if (step == Clm_CHOOSE_TARGET) {
        step = place(w, claim);
    }
    promise.ballot = c->clm.ballot;
    switch (step) {
    case Clm_WAIT:
    case Clm_CHOOSE_TARGET:
        break;
    case Clm_SEND_ACCEPT:
        to_all(w, claim, Kw_TO_HOLDER, &c->clm.proposal, false);
        break;
    case Clm_SEND_PREPARE:
        c->promised_at = w->now;
        to_all(w, claim, Kw_TO_HOLDER, &promise, true);
        break;
    case Clm_QUERY_FATE:
        ask.place = (int)c->clm.queried.node;
        ask.value = c->clm.queried;
        send(w, &ask);
        break;
    case Clm_START_ATTEMPT:
        c->progress = Kw_RUNNING;
        c->granted_at = w->now;
        send_call(w, claim, Kw_CALL);
        break;
    default:
        tell(w, claim, step);
        break;
    }
}

static void
on_holder_message(KeyWorld *w, KwEvent *e)
{
    KeyRegisters *reg = &w->regs[e->place];
    KwEvent back = *e;

    back.kind = Kw_TO_CLAIM;
    back.answer = e->promise ? Reg_Promise(reg, KEY, e->value.ballot, w->now)
                             : Reg_Accept(reg, KEY, &e->value, w->now);
    if (back.answer.value.answer.len) {
        back.answer.value.answer = Kw_Name(w, back.answer.value.attempt);
    }
    send(w, &back);
}

static void
on_call(KeyWorld *w, const KwEvent *e)
{
    KwEvent next = *e;

    if (Led_OnAttempt(&w->leds[e->place], e->value.attempt,
                      e->value.node_incarnation, true, w->now) != Led_NEW) {
        return;
    }
    if (Kw_Chance(w, w->refused)) {
        Led_OnRefused(&w->leds[e->place], e->value.attempt, w->now);
        next.kind = Kw_REFUSED;
        send(w, &next);
        return;
    }
    w->runs++;
    w->ran = e->value.attempt;
    w->first_run_at = w->now;
    w->sink.ran(w->sink.context, e->claim);
    next.kind = Kw_RUN_ENDS;
    Kw_Add(w, &next, Rng_Below(&w->rng, 400000));
}

static void
on_run_ends(KeyWorld *w, const KwEvent *e)
{
    KwEvent back = *e;

    if (w->incarnations[e->place] != e->value.node_incarnation) {
        return; /* it died with its node */
    }
    Led_OnEnded(&w->leds[e->place], e->value.attempt, true,
                Kw_Name(w, e->value.attempt), w->now);
    back.kind = Kw_ANSWER;
    send(w, &back);
}

static void
on_answer(KeyWorld *w, const KwEvent *e)
{
    KwClaimant *c = &w->claimants[e->claim];
    RegisterValue value = c->clm.proposal;

    if (c->progress == Kw_RUNNING &&
        AttemptId_Equal(c->clm.proposal.attempt, e->value.attempt)) {
        value.answer = Kw_Name(w, value.attempt);
        to_all(w, e->claim, Kw_ENDED, &value, false);
        tell_answer(w, c, value.answer);
    }
}

static void
on_not_run(KeyWorld *w, const KwEvent *e)
{
    KwClaimant *c = &w->claimants[e->claim];

    if (c->progress == Kw_RUNNING &&
        AttemptId_Equal(c->clm.proposal.attempt, e->value.attempt)) {
        c->progress = Kw_CLAIMING;
        carry_out(w, e->claim, Clm_OnAttemptRefused(&c->clm));
    }
}

static void
on_fenced(KeyWorld *w, const KwEvent *e)
{
    KwClaimant *c = &w->claimants[e->claim];

    if (e->fate == Led_NEVER_RAN) {
        on_not_run(w, e);
    }
    else if (e->fate == Led_ANSWERED) {
        on_answer(w, e);
    }
    else if (e->fate != Led_RUNNING && c->progress == Kw_RUNNING) {
        c->progress = Kw_TOLD;
        w->told_unknown++;
    }
}

static void
on_question(KeyWorld *w, const KwEvent *e)
{
    KwEvent back = *e;
    Str answer;

    back.kind = e->kind == Kw_FENCE ? Kw_FENCED : Kw_FATE;
    back.fate = Led_Fence(&w->leds[e->place], e->value.attempt,
                          e->value.node_incarnation, true, w->now, &answer);
    send(w, &back);
}

static void
on_fate(KeyWorld *w, const KwEvent *e)
{
    static const AttemptFate fates[] = {
        [Led_NEVER_RAN] = Clm_FATE_NEVER_RAN,
        [Led_RUNNING] = Clm_FATE_RUNNING,
        [Led_ANSWERED] = Clm_FATE_ANSWERED,
        [Led_ANSWER_DROPPED] = Clm_FATE_ANSWER_DROPPED,
        [Led_UNKNOWN] = Clm_FATE_UNKNOWN,
    };
    KwClaimant *c = &w->claimants[e->claim];

    if (c->progress == Kw_CLAIMING) {
        carry_out(w, e->claim,
                  Clm_OnFate(&c->clm, e->value.attempt, fates[e->fate],
                             Kw_Name(w, e->value.attempt), w->now));
    }
}

static void
on_tick(KeyWorld *w, const KwEvent *e)
{
    KwClaimant *c = &w->claimants[e->claim];

    if (c->progress == Kw_CLAIMING) {
        carry_out(w, e->claim, Clm_Tick(&c->clm, w->now));
    }
    else if (c->progress == Kw_RUNNING && w->now >= c->started_at + DEADLINE) {
        c->progress = Kw_TOLD;
        w->told_unknown++;
    }
    else if (c->progress == Kw_RUNNING && w->now >= c->sent_at + ANSWER_WAIT) {
        send_call(w, e->claim, Kw_FENCE);
    }
    if (c->progress == Kw_CLAIMING || c->progress == Kw_RUNNING) {
        Kw_Add(w, e, Span_MS(10));
    }
}

static void
on_start(KeyWorld *w, const KwEvent *e)
{
    KwClaimant *c = &w->claimants[e->claim];
    KwEvent tick = {.kind = Kw_TICK, .claim = e->claim};

    c->progress = Kw_CLAIMING;
    c->started_at = w->now;
    Clm_Init(&c->clm, w->holders, (AttemptId){(uint64_t)e->claim, 0}, 1,
             w->now + DEADLINE);
    carry_out(w, e->claim, Clm_CHOOSE_TARGET);
    Kw_Add(w, &tick, Span_MS(10));
}

static void
on_holder_dies(KeyWorld *w, const KwEvent *e)
{
    KwEvent ask = {.kind = Kw_HOLDER_ASKS, .place = e->place};

    Reg_Finish(&w->regs[e->place]);
    Reg_Init(&w->regs[e->place], &reg_settings, false, w->now);
    w->starts[e->place]++;
    for (uint32_t i = 0; i < w->holders; i++) {
        w->read[e->place][i] = false;
    }
    ask.start = w->starts[e->place];
    Kw_Add(w, &ask, LOOK);
}

static void
on_holder_asks(KeyWorld *w, const KwEvent *e)
{
    KwEvent read = *e;

    if (e->start != w->starts[e->place] || w->regs[e->place].is_ready) {
        return;
    }
    if (!Reg_MayCatchUp(&w->regs[e->place], w->now)) {
        Kw_Add(w, e, LOOK);
        return;
    }
    read.kind = Kw_HOLDER_READS;
    for (uint32_t i = 0; i < w->holders; i++) {
        read.other = (int)i;
        if (read.other != e->place) {
            send(w, &read);
        }
    }
    Kw_Add(w, e, Span_MS(500));
}

static void
take_row(void *context, Str key, PaxosBallot promised,
         const RegisterValue *value, bool mixed)
{
    KwEvent *row = context;

    (void)key;
    row->answer.promised = promised;
    row->value = *value;
    row->promise = mixed;
}

static void
on_holder_reads(KeyWorld *w, const KwEvent *e)
{
    KwEvent rows = *e;

    rows.kind = Kw_HOLDER_ROWS;
    rows.ready = w->regs[e->other].is_ready;
    rows.value = (RegisterValue){0};
    if (rows.ready) {
        Reg_ForEach(&w->regs[e->other], take_row, &rows);
        if (rows.value.answer.len) {
            rows.value.answer = Kw_Name(w, rows.value.attempt);
        }
        send(w, &rows);
    }
}

static void
on_holder_rows(KeyWorld *w, const KwEvent *e)
{
    uint32_t read = 0;
    KeyRegisters *reg = &w->regs[e->place];

    if (e->start != w->starts[e->place] || reg->is_ready ||
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
on_node_dies(KeyWorld *w, const KwEvent *e)
{
    Led_Finish(&w->leds[e->place]);
    w->incarnations[e->place]++;
    Led_Init(&w->leds[e->place], &led_settings, w->incarnations[e->place]);
}

static void
play(KeyWorld *w, KwEvent *e)
{
    KwClaimant *c = &w->claimants[e->claim];

    switch (e->kind) {
    case Kw_TO_HOLDER:
        on_holder_message(w, e);
        break;
    case Kw_TO_CLAIM:
        if (c->progress == Kw_CLAIMING) {
            carry_out(w, e->claim,
                      Clm_OnAcceptorReply(&c->clm, (uint32_t)e->place,
                                          e->phase, &e->answer, w->now));
        }
        break;
    case Kw_ENDED:
        Reg_OnEnded(&w->regs[e->place], KEY, &e->value, w->now);
        break;
    case Kw_RELEASED:
        Reg_OnReleased(&w->regs[e->place], KEY, e->value.attempt);
        break;
    case Kw_FATE_ASK:
    case Kw_FENCE:
        on_question(w, e);
        break;
    case Kw_FATE:
        on_fate(w, e);
        break;
    case Kw_CALL:
        on_call(w, e);
        break;
    case Kw_RUN_ENDS:
        on_run_ends(w, e);
        break;
    case Kw_ANSWER:
        on_answer(w, e);
        break;
    case Kw_REFUSED:
        on_not_run(w, e);
        break;
    case Kw_FENCED:
        on_fenced(w, e);
        break;
    case Kw_TICK:
        on_tick(w, e);
        break;
    case Kw_START:
        on_start(w, e);
        break;
    case Kw_HOLDER_DIES:
        on_holder_dies(w, e);
        break;
    case Kw_HOLDER_ASKS:
        on_holder_asks(w, e);
        break;
    case Kw_HOLDER_READS:
        on_holder_reads(w, e);
        break;
    case Kw_HOLDER_ROWS:
        on_holder_rows(w, e);
        break;
    case Kw_NODE_DIES:
        on_node_dies(w, e);
        break;
    case Kw_CLAIM_DIES:
        c->progress = c->progress == Kw_IDLE ? Kw_IDLE : Kw_DEAD;
        break;
    }
}

static KwEvent
take_first(KeyWorld *w)
{
    size_t first = 0;
    KwEvent event;

    for (size_t i = 1; i < w->count; i++) {
        if (w->events[i].at < w->events[first].at) {
            first = i;
        }
    }
    event = w->events[first];
    w->events[first] = w->events[--w->count];
    return event;
}

void
Kw_Init(KeyWorld *w, uint64_t seed, uint32_t holders, const KwSink *sink)
{
    *w = (KeyWorld){
        .seed = seed, .now = Span_S(1), .holders = holders, .sink = *sink};
    Rng_Init(&w->rng, seed);
    for (uint32_t i = 0; i < w->holders; i++) {
        Reg_Init(&w->regs[i], &reg_settings, true, w->now);
    }
    for (int i = 0; i < Kw_NODES; i++) {
        w->incarnations[i] = 1;
        Led_Init(&w->leds[i], &led_settings, 1);
    }
}

void
Kw_Run(KeyWorld *w)
{
    while (w->count && w->now < HORIZON) {
        KwEvent event = take_first(w);
        w->now = event.at;
        play(w, &event);
    }
}

void
Kw_Finish(KeyWorld *w)
{
    for (uint32_t i = 0; i < w->holders; i++) {
        Reg_Finish(&w->regs[i]);
    }
    for (int i = 0; i < Kw_NODES; i++) {
        Led_Finish(&w->leds[i]);
    }
    for (int i = 0; i < Kw_CLAIMS; i++) {
        Clm_Finish(&w->claimants[i].clm);
    }
    Rng_Finish(&w->rng);
}
