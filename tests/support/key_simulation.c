#include "key_simulation.h"

#include <check.h>
#include <stdio.h>

#define KEY Str_LIT("k")
#define END_TIME Span_S(20)
#define CALL_TIMEOUT Span_S(3)
/* timer of an acceptor that has restarted and may not catch up yet */
#define CATCH_UP_POLL Span_MS(100)
/* time without an answer, after the last call or fence request */
#define FENCE_AFTER Span_MS(250)

static const RegisterSettings register_settings = {Span_S(600), 100, 1000,
                                                   100};
static const LedgerSettings ledger_settings = {Span_S(10), Span_S(600), 1000,
                                               100,        1000,        100};

bool
Ksim_DrawChance(KeySimulation *sim, uint32_t percent)
{
    return Rng_Below(&sim->rng, 100) < percent;
}

void
Ksim_AddEvent(KeySimulation *sim, const KeySimulationEvent *event, Span delay)
{
    ck_assert(sim->event_count < Ksim_EVENTS_MAX);
    sim->events[sim->event_count] = *event;
    sim->events[sim->event_count].at = sim->now + delay;
    sim->event_count++;
}

static void
send_event(KeySimulation *sim, const KeySimulationEvent *event)
{
    sim->callbacks.send(sim->callbacks.context, event);
}

Str
Ksim_GetAnswer(KeySimulation *sim, AttemptId id)
{
    char *name = sim->answers[id.incarnation][id.counter];
    int len = snprintf(name, Ksim_ANSWER_SIZE, "a%d-%d", (int)id.incarnation,
                       (int)id.counter);

    return Str_From(name, (size_t)len);
}

static void
report_answer(KeySimulation *sim, SimulatedClaim *c, Str answer)
{
    c->state = Ksim_FINISHED;
    sim->answer_count++;
    sim->callbacks.on_outcome(sim->callbacks.context, (int)(c - sim->claims),
                              Clm_END_ANSWER, answer);
}

/* Sends the same message to each acceptor.  IS_PREPARE applies to
 * Ksim_REGISTER_REQUEST only. */
static void
send_to_acceptors(KeySimulation *sim, int claim, KeySimulationEventKind kind,
                  const RegisterValue *value, bool is_prepare)
{
    KeySimulationEvent event = {.kind = kind,
                                .claim = claim,
                                .phase = sim->claims[claim].claim.phase,
                                .value = *value,
                                .is_prepare = is_prepare};

    for (uint32_t i = 0; i < sim->acceptor_count; i++) {
        event.peer = (int)i;
        send_event(sim, &event);
    }
}

/* Sends KIND, a call or a fence request, to the node of the proposal. */
static void
send_to_target(KeySimulation *sim, int claim, KeySimulationEventKind kind)
{
    SimulatedClaim *c = &sim->claims[claim];
    KeySimulationEvent event = {.kind = kind,
                                .claim = claim,
                                .peer = (int)c->claim.proposal.node,
                                .value = c->claim.proposal};

    c->sent_at = sim->now;
    send_event(sim, &event);
}

static void perform_action(KeySimulation *sim, int claim, ClaimAction action);

/* Carries out Clm_CHOOSE_TARGET and returns the next action. */
static ClaimAction
choose_target(KeySimulation *sim, int claim)
{
    SimulatedClaim *c = &sim->claims[claim];
    uint32_t node = Rng_Below(&sim->rng, Ksim_NODES);

    if (Ksim_DrawChance(sim, sim->no_target_percent) ||
        c->attempt_count + 1 >= Ksim_ATTEMPTS_MAX) {
        return Clm_OnNoTarget(&c->claim, sim->now);
    }
    c->attempt_count++;
    return Clm_OnTargetChosen(&c->claim,
                              (AttemptId){(uint64_t)claim, c->attempt_count},
                              node, sim->incarnations[node], sim->now);
}

/* Carries out ACTION, one of Clm_END_...: releases the claim's own attempts at
 * the acceptors and reports the outcome. */
static void
end_claim(KeySimulation *sim, int claim, ClaimAction action)
{
    SimulatedClaim *c = &sim->claims[claim];

    c->state = Ksim_FINISHED;
    for (size_t i = 0; i < c->claim.own_attempt_count; i++) {
        RegisterValue value = {.attempt = c->claim.own_attempts[i]};
        send_to_acceptors(sim, claim, Ksim_ATTEMPT_RELEASED, &value, false);
    }
    switch (action) {
    case Clm_END_ANSWER:
        report_answer(sim, c, StrBuf_View(&c->claim.answer));
        break;
    case Clm_END_RAN:
        sim->callbacks.on_outcome(sim->callbacks.context, claim, action,
                                  (Str){0});
        break;
    case Clm_END_NOT_RUN:
        sim->not_run_count++;
        c->reported_not_run = true;
        sim->callbacks.on_outcome(sim->callbacks.context, claim, action,
                                  (Str){0});
        break;
    default:
        ck_assert(action == Clm_END_UNKNOWN);
        sim->unknown_count++;
        break;
    }
}

static void
perform_action(KeySimulation *sim, int claim, ClaimAction action)
{
    SimulatedClaim *c = &sim->claims[claim];
    RegisterValue prepare = {0};
    KeySimulationEvent request = {.kind = Ksim_FATE_REQUEST, .claim = claim};

    if (action == Clm_CHOOSE_TARGET) {
        action = choose_target(sim, claim);
    }
    prepare.ballot = c->claim.ballot;
    switch (action) {
    case Clm_WAIT:
    case Clm_CHOOSE_TARGET:
        break;
    case Clm_SEND_ACCEPT:
        send_to_acceptors(sim, claim, Ksim_REGISTER_REQUEST,
                          &c->claim.proposal, false);
        break;
    case Clm_SEND_PREPARE:
        c->prepared_at = sim->now;
        send_to_acceptors(sim, claim, Ksim_REGISTER_REQUEST, &prepare, true);
        break;
    case Clm_QUERY_FATE:
        request.peer = (int)c->claim.queried.node;
        request.value = c->claim.queried;
        send_event(sim, &request);
        break;
    case Clm_START_ATTEMPT:
        c->state = Ksim_RUNNING;
        c->granted_at = sim->now;
        send_to_target(sim, claim, Ksim_CALL);
        break;
    default:
        end_claim(sim, claim, action);
        break;
    }
}

static void
on_register_request(KeySimulation *sim, KeySimulationEvent *e)
{
    KeyRegisters *reg = &sim->registers[e->peer];
    KeySimulationEvent response = *e;

    response.kind = Ksim_REGISTER_REPLY;
    response.reply = e->is_prepare
                         ? Reg_Promise(reg, KEY, e->value.ballot, sim->now)
                         : Reg_Accept(reg, KEY, &e->value, sim->now);
    if (response.reply.value.answer.len) {
        response.reply.value.answer =
            Ksim_GetAnswer(sim, response.reply.value.attempt);
    }
    send_event(sim, &response);
}

static void
on_call(KeySimulation *sim, const KeySimulationEvent *e)
{
    KeySimulationEvent next = *e;

    if (Led_OnAttempt(&sim->ledgers[e->peer], e->value.attempt,
                      e->value.node_incarnation, true, sim->now) != Led_NEW) {
        return;
    }
    if (Ksim_DrawChance(sim, sim->rejected_percent)) {
        Led_OnRefused(&sim->ledgers[e->peer], e->value.attempt, sim->now);
        next.kind = Ksim_CALL_REJECTED;
        send_event(sim, &next);
        return;
    }
    sim->run_count++;
    sim->last_run = e->value.attempt;
    sim->last_run_at = sim->now;
    sim->callbacks.on_run(sim->callbacks.context, e->claim);
    next.kind = Ksim_RUN_END;
    Ksim_AddEvent(sim, &next, Rng_Below(&sim->rng, 400000));
}

static void
on_run_end(KeySimulation *sim, const KeySimulationEvent *e)
{
    KeySimulationEvent response = *e;

    if (sim->incarnations[e->peer] != e->value.node_incarnation) {
        return; /* the node restarted, which ended the run */
    }
    Led_OnEnded(&sim->ledgers[e->peer], e->value.attempt, true,
                Ksim_GetAnswer(sim, e->value.attempt), sim->now);
    response.kind = Ksim_CALL_ANSWER;
    send_event(sim, &response);
}

static void
on_answer(KeySimulation *sim, const KeySimulationEvent *e)
{
    SimulatedClaim *c = &sim->claims[e->claim];
    RegisterValue value = c->claim.proposal;

    if (c->state == Ksim_RUNNING &&
        AttemptId_Equal(c->claim.proposal.attempt, e->value.attempt)) {
        value.answer = Ksim_GetAnswer(sim, value.attempt);
        send_to_acceptors(sim, e->claim, Ksim_ATTEMPT_ENDED, &value, false);
        report_answer(sim, c, value.answer);
    }
}

/* The claim's attempt did not run, so the claim chooses another target. */
static void
on_call_rejected(KeySimulation *sim, const KeySimulationEvent *e)
{
    SimulatedClaim *c = &sim->claims[e->claim];

    if (c->state == Ksim_RUNNING &&
        AttemptId_Equal(c->claim.proposal.attempt, e->value.attempt)) {
        c->state = Ksim_CLAIMING;
        perform_action(sim, e->claim, Clm_OnAttemptRefused(&c->claim));
    }
}

static void
on_fence_reply(KeySimulation *sim, const KeySimulationEvent *e)
{
    SimulatedClaim *c = &sim->claims[e->claim];

    if (e->fate == Led_NEVER_RAN) {
        on_call_rejected(sim, e);
    }
    else if (e->fate == Led_ANSWERED) {
        on_answer(sim, e);
    }
    else if (e->fate != Led_RUNNING && c->state == Ksim_RUNNING) {
        c->state = Ksim_FINISHED;
        sim->unknown_count++;
    }
}

/* Handles a fate or fence request; both fence the attempt in the node's
 * ledger. */
static void
on_state_request(KeySimulation *sim, const KeySimulationEvent *e)
{
    KeySimulationEvent response = *e;
    Str answer;

    response.kind =
        e->kind == Ksim_FENCE_REQUEST ? Ksim_FENCE_REPLY : Ksim_FATE_REPLY;
    response.fate =
        Led_Fence(&sim->ledgers[e->peer], e->value.attempt,
                  e->value.node_incarnation, true, sim->now, &answer);
    send_event(sim, &response);
}

static void
on_fate_reply(KeySimulation *sim, const KeySimulationEvent *e)
{
    static const AttemptFate fates[] = {
        [Led_NEVER_RAN] = Clm_FATE_NEVER_RAN,
        [Led_RUNNING] = Clm_FATE_RUNNING,
        [Led_ANSWERED] = Clm_FATE_ANSWERED,
        [Led_ANSWER_DROPPED] = Clm_FATE_ANSWER_DROPPED,
        [Led_UNKNOWN] = Clm_FATE_UNKNOWN,
    };
    SimulatedClaim *c = &sim->claims[e->claim];

    if (c->state == Ksim_CLAIMING) {
        perform_action(sim, e->claim,
                       Clm_OnFate(&c->claim, e->value.attempt, fates[e->fate],
                                  Ksim_GetAnswer(sim, e->value.attempt),
                                  sim->now));
    }
}

static void
on_claim_tick(KeySimulation *sim, const KeySimulationEvent *e)
{
    SimulatedClaim *c = &sim->claims[e->claim];

    if (c->state == Ksim_CLAIMING) {
        perform_action(sim, e->claim, Clm_Tick(&c->claim, sim->now));
    }
    else if (c->state == Ksim_RUNNING &&
             sim->now >= c->started_at + CALL_TIMEOUT) {
        c->state = Ksim_FINISHED;
        sim->unknown_count++;
    }
    else if (c->state == Ksim_RUNNING &&
             sim->now >= c->sent_at + FENCE_AFTER) {
        send_to_target(sim, e->claim, Ksim_FENCE_REQUEST);
    }
    if (c->state == Ksim_CLAIMING || c->state == Ksim_RUNNING) {
        Ksim_AddEvent(sim, e, Span_MS(10));
    }
}

static void
on_claim_start(KeySimulation *sim, const KeySimulationEvent *e)
{
    SimulatedClaim *c = &sim->claims[e->claim];
    KeySimulationEvent tick = {.kind = Ksim_CLAIM_TICK, .claim = e->claim};

    c->state = Ksim_CLAIMING;
    c->started_at = sim->now;
    Clm_Init(&c->claim, sim->acceptor_count,
             (AttemptId){(uint64_t)e->claim, 0}, 1, sim->now + CALL_TIMEOUT);
    perform_action(sim, e->claim, Clm_CHOOSE_TARGET);
    Ksim_AddEvent(sim, &tick, Span_MS(10));
}

static void
restart_acceptor(KeySimulation *sim, const KeySimulationEvent *e)
{
    KeySimulationEvent catch_up = {.kind = Ksim_CATCH_UP_START,
                                   .peer = e->peer};

    Reg_Finish(&sim->registers[e->peer]);
    Reg_Init(&sim->registers[e->peer], &register_settings, false, sim->now);
    sim->restart_counts[e->peer]++;
    for (uint32_t i = 0; i < sim->acceptor_count; i++) {
        sim->has_read[e->peer][i] = false;
    }
    catch_up.restart_count = sim->restart_counts[e->peer];
    Ksim_AddEvent(sim, &catch_up, CATCH_UP_POLL);
}

static void
on_catch_up_start(KeySimulation *sim, const KeySimulationEvent *e)
{
    KeySimulationEvent request = *e;

    if (e->restart_count != sim->restart_counts[e->peer] ||
        sim->registers[e->peer].is_ready) {
        return;
    }
    if (!Reg_MayCatchUp(&sim->registers[e->peer], sim->now)) {
        Ksim_AddEvent(sim, e, CATCH_UP_POLL);
        return;
    }
    request.kind = Ksim_CATCH_UP_REQUEST;
    for (uint32_t i = 0; i < sim->acceptor_count; i++) {
        request.source_acceptor = (int)i;
        if (request.source_acceptor != e->peer) {
            send_event(sim, &request);
        }
    }
    Ksim_AddEvent(sim, e, Span_MS(500));
}

/* A RegisterVisitor that copies the register to CONTEXT, the reply.  There is
 * only one key. */
static void
copy_row(void *context, Str key, PaxosBallot promised,
         const RegisterValue *value, bool has_conflict)
{
    KeySimulationEvent *reply = context;

    (void)key;
    reply->reply.promised = promised;
    reply->value = *value;
    reply->is_prepare = has_conflict;
}

static void
on_catch_up_request(KeySimulation *sim, const KeySimulationEvent *e)
{
    KeySimulationEvent response = *e;

    response.kind = Ksim_CATCH_UP_REPLY;
    response.is_ready = sim->registers[e->source_acceptor].is_ready;
    response.value = (RegisterValue){0};
    if (response.is_ready) {
        Reg_ForEach(&sim->registers[e->source_acceptor], copy_row, &response);
        if (response.value.answer.len) {
            response.value.answer =
                Ksim_GetAnswer(sim, response.value.attempt);
        }
        send_event(sim, &response);
    }
}

static void
on_catch_up_reply(KeySimulation *sim, const KeySimulationEvent *e)
{
    uint32_t read_count = 0;
    KeyRegisters *reg = &sim->registers[e->peer];

    if (e->restart_count != sim->restart_counts[e->peer] || reg->is_ready ||
        sim->has_read[e->peer][e->source_acceptor]) {
        return;
    }
    ck_assert(Reg_Merge(reg, KEY, e->reply.promised, &e->value, e->is_prepare,
                        sim->now));
    sim->has_read[e->peer][e->source_acceptor] = true;
    for (uint32_t i = 0; i < sim->acceptor_count; i++) {
        read_count += sim->has_read[e->peer][i];
    }
    if (read_count >= sim->acceptor_count - sim->acceptor_count / 2) {
        Reg_SetReady(reg);
    }
}

static void
restart_node(KeySimulation *sim, const KeySimulationEvent *e)
{
    Led_Finish(&sim->ledgers[e->peer]);
    sim->incarnations[e->peer]++;
    Led_Init(&sim->ledgers[e->peer], &ledger_settings,
             sim->incarnations[e->peer]);
}

static void
handle_event(KeySimulation *sim, KeySimulationEvent *e)
{
    SimulatedClaim *c = &sim->claims[e->claim];

    switch (e->kind) {
    case Ksim_REGISTER_REQUEST:
        on_register_request(sim, e);
        break;
    case Ksim_REGISTER_REPLY:
        if (c->state == Ksim_CLAIMING) {
            perform_action(sim, e->claim,
                           Clm_OnAcceptorReply(&c->claim, (uint32_t)e->peer,
                                               e->phase, &e->reply, sim->now));
        }
        break;
    case Ksim_ATTEMPT_ENDED:
        Reg_OnEnded(&sim->registers[e->peer], KEY, &e->value, sim->now);
        break;
    case Ksim_ATTEMPT_RELEASED:
        Reg_OnReleased(&sim->registers[e->peer], KEY, e->value.attempt);
        break;
    case Ksim_FATE_REQUEST:
    case Ksim_FENCE_REQUEST:
        on_state_request(sim, e);
        break;
    case Ksim_FATE_REPLY:
        on_fate_reply(sim, e);
        break;
    case Ksim_CALL:
        on_call(sim, e);
        break;
    case Ksim_RUN_END:
        on_run_end(sim, e);
        break;
    case Ksim_CALL_ANSWER:
        on_answer(sim, e);
        break;
    case Ksim_CALL_REJECTED:
        on_call_rejected(sim, e);
        break;
    case Ksim_FENCE_REPLY:
        on_fence_reply(sim, e);
        break;
    case Ksim_CLAIM_TICK:
        on_claim_tick(sim, e);
        break;
    case Ksim_CLAIM_START:
        on_claim_start(sim, e);
        break;
    case Ksim_ACCEPTOR_RESTART:
        restart_acceptor(sim, e);
        break;
    case Ksim_CATCH_UP_START:
        on_catch_up_start(sim, e);
        break;
    case Ksim_CATCH_UP_REQUEST:
        on_catch_up_request(sim, e);
        break;
    case Ksim_CATCH_UP_REPLY:
        on_catch_up_reply(sim, e);
        break;
    case Ksim_NODE_RESTART:
        restart_node(sim, e);
        break;
    case Ksim_CLAIM_CRASH:
        c->state =
            c->state == Ksim_NOT_STARTED ? Ksim_NOT_STARTED : Ksim_CRASHED;
        break;
    }
}

/* Removes and returns the event with the lowest time. */
static KeySimulationEvent
pop_first_event(KeySimulation *sim)
{
    size_t first = 0;
    KeySimulationEvent event;

    for (size_t i = 1; i < sim->event_count; i++) {
        if (sim->events[i].at < sim->events[first].at) {
            first = i;
        }
    }
    event = sim->events[first];
    sim->events[first] = sim->events[--sim->event_count];
    return event;
}

void
Ksim_Init(KeySimulation *sim, uint64_t seed, uint32_t acceptors,
          const KeySimulationCallbacks *callbacks)
{
    *sim = (KeySimulation){.seed = seed,
                           .now = Span_S(1),
                           .acceptor_count = acceptors,
                           .callbacks = *callbacks};
    Rng_Init(&sim->rng, seed);
    for (uint32_t i = 0; i < sim->acceptor_count; i++) {
        Reg_Init(&sim->registers[i], &register_settings, true, sim->now);
    }
    for (int i = 0; i < Ksim_NODES; i++) {
        sim->incarnations[i] = 1;
        Led_Init(&sim->ledgers[i], &ledger_settings, 1);
    }
}

void
Ksim_Run(KeySimulation *sim)
{
    while (sim->event_count && sim->now < END_TIME) {
        KeySimulationEvent event = pop_first_event(sim);
        sim->now = event.at;
        handle_event(sim, &event);
    }
}

void
Ksim_Finish(KeySimulation *sim)
{
    for (uint32_t i = 0; i < sim->acceptor_count; i++) {
        Reg_Finish(&sim->registers[i]);
    }
    for (int i = 0; i < Ksim_NODES; i++) {
        Led_Finish(&sim->ledgers[i]);
    }
    for (int i = 0; i < Ksim_CLAIMS; i++) {
        Clm_Finish(&sim->claims[i].claim);
    }
    Rng_Finish(&sim->rng);
}
