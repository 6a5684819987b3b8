#include "support/quota_simulation.h"

#include <stdlib.h>

enum { PER_TEN_THOUSAND = 10000 };

#define FAULT_MAX_MS 3000
#define ONE_WAY_MAX_MS 15
#define RUN_DELAY_MAX_MS 600

/* A call that has waited so long is refused. */
#define CALL_WAIT Span_MS(250)

static bool
happens(QuotaSimulation *sim, uint32_t chance)
{
    return Rng_Below(&sim->rng, PER_TEN_THOUSAND) < chance;
}

static Span
draw_ms(QuotaSimulation *sim, uint32_t bound)
{
    return Span_MS(Rng_Below(&sim->rng, bound));
}

void
Qsim_SetLimit(QuotaSimulation *sim, uint32_t per_s, uint32_t burst)
{
    sim->account.per_s = per_s;
    sim->account.burst = burst;
    for (size_t i = 0; i < Qsim_GRANTORS; i++) {
        Grt_SetAccounts(&sim->grantors[i], &sim->preset, sim->now);
    }
}

void
Qsim_Init(QuotaSimulation *sim, const QuotaBounds *bounds,
          const QuotaSchedule *schedule, uint64_t seed)
{
    *sim = (QuotaSimulation){.bounds = *bounds, .schedule = *schedule};
    Rng_Init(&sim->rng, seed);
    StrBuf_Set(&sim->account.name, Str_LIT("clinic"));
    sim->id = Grt_GetId(Str_LIT("clinic"));
    sim->preset.accounts = &sim->account;
    sim->preset.account_count = 1;
    sim->now = Span_S(1);
    sim->term = 1;
    for (size_t i = 0; i < schedule->node_count; i++) {
        Crd_Init(&sim->nodes[i].holder);
        sim->nodes[i].clock = draw_ms(sim, 1000000);
    }
    for (size_t i = 0; i < Qsim_GRANTORS; i++) {
        Grt_Init(&sim->grantors[i], bounds);
    }
    Qsim_SetLimit(sim, schedule->per_s, schedule->burst);
    Grt_Start(&sim->grantors[0], sim->term, sim->now);
    Bkt_Init(&sim->ideal, schedule->per_s, schedule->burst, sim->now);
    sim->ideal.tokens = 0;
}

void
Qsim_Finish(QuotaSimulation *sim)
{
    for (size_t i = 0; i < sim->schedule.node_count; i++) {
        Crd_Finish(&sim->nodes[i].holder);
    }
    for (size_t i = 0; i < Qsim_GRANTORS; i++) {
        Grt_Finish(&sim->grantors[i]);
    }
    StrBuf_Finish(&sim->account.name);
    Rng_Finish(&sim->rng);
}

static Instant
clock_of(const QuotaSimulation *sim, size_t node)
{
    return sim->now + sim->nodes[node].clock;
}

static bool
is_cut(const QuotaSimulation *sim, size_t node)
{
    return sim->now < sim->nodes[node].cut_until;
}

static void
send(QuotaSimulation *sim, QuotaMessage message)
{
    uint32_t bound =
        happens(sim, sim->schedule.late) ? FAULT_MAX_MS : ONE_WAY_MAX_MS;

    if (is_cut(sim, message.node) || happens(sim, sim->schedule.loss) ||
        sim->message_count == Qsim_MESSAGES_MAX) {
        return;
    }
    message.arrives_at = sim->now + Span_MS(1) + draw_ms(sim, bound);
    if (message.is_grant && message.arrives_at < sim->held_until) {
        message.arrives_at = sim->held_until;
    }
    sim->messages[sim->message_count++] = message;
}

static void
send_ask(QuotaSimulation *sim, size_t node)
{
    CreditHolder *holder = &sim->nodes[node].holder;
    CreditAsk rows[Crd_ROWS_MAX];
    size_t count = Crd_MakeAsk(holder, rows, clock_of(sim, node));

    for (size_t i = 0; i < count; i++) {
        send(sim, (QuotaMessage){.node = node,
                                 .term = holder->term,
                                 .sent_at = clock_of(sim, node),
                                 .ask = rows[i]});
    }
}

static void
run_call(QuotaSimulation *sim, Instant sent_at)
{
    if (sim->call_count < Qsim_CALLS_MAX) {
        sim->calls[sim->call_count++] =
            (QuotaCall){sent_at, sim->now + draw_ms(sim, RUN_DELAY_MAX_MS)};
    }
}

/* Takes credit for the waiting calls of a node, or refuses them. */
static void
serve_waiting(QuotaSimulation *sim, size_t number)
{
    QuotaNode *node = &sim->nodes[number];
    size_t kept = 0;

    for (size_t i = 0; i < node->waiting_count; i++) {
        Credit credit;
        CreditAnswer answer =
            Crd_Take(&node->holder, sim->id, &credit, clock_of(sim, number));

        if (answer == Crd_WAIT && sim->now - node->waiting[i] < CALL_WAIT) {
            node->waiting[kept++] = node->waiting[i];
            continue;
        }
        Crd_DropWaiting(&node->holder, sim->id);
        if (answer != Crd_TAKEN) {
            sim->refused++;
        }
        else if (happens(sim, sim->schedule.not_run)) {
            Crd_PutBack(&node->holder, sim->id, &credit,
                        clock_of(sim, number));
        }
        else {
            run_call(sim, node->waiting[i]);
        }
    }
    node->waiting_count = kept;
}

static void
on_ask(QuotaSimulation *sim, const QuotaMessage *message)
{
    Grantor *grantor = &sim->grantors[sim->leading];
    QuotaMessage reply = *message;
    Grant grant;

    if (sim->now < sim->grants_from) {
        return;
    }
    grant = Grt_OnAsk(grantor, message->ask.id, message->ask.want,
                      message->term == sim->term ? message->ask.back : 0,
                      message->ask.epoch, sim->now);
    reply.is_grant = true;
    reply.term = sim->term;
    reply.grant = (CreditGrant){
        message->ask.id, message->ask.want, grant.granted,    grant.epoch,
        grant.life,      grant.wait,        grant.retry_after};
    send(sim, reply);
}

static bool
is_due(const QuotaSimulation *sim, const QuotaMessage *message)
{
    return sim->now >= message->arrives_at &&
           (!message->is_grant ||
            sim->now >= sim->nodes[message->node].frozen_until);
}

static void
deliver(QuotaSimulation *sim)
{
    for (size_t i = 0; i < sim->message_count;) {
        QuotaMessage message = sim->messages[i];

        if (!is_due(sim, &message)) {
            i++;
            continue;
        }
        sim->messages[i] = sim->messages[--sim->message_count];
        if (!message.is_grant) {
            on_ask(sim, &message);
        }
        else {
            Crd_OnGrant(&sim->nodes[message.node].holder, message.term,
                        &message.grant, message.sent_at,
                        clock_of(sim, message.node));
            serve_waiting(sim, message.node);
        }
    }
}

static void
add_calls(QuotaSimulation *sim)
{
    for (sim->next_call_in -= (double)Qsim_STEP; sim->next_call_in <= 0;) {
        size_t number = sim->schedule.keeps_one_node
                            ? 0
                            : Rng_Below(&sim->rng, sim->schedule.node_count);
        QuotaNode *node = &sim->nodes[number];

        sim->next_call_in += Rng_Exponential(
            &sim->rng, (double)Span_S(1) / sim->schedule.calls_per_s);
        sim->owed += Bkt_Take(&sim->ideal, 1, sim->now);
        if (node->waiting_count <
            sizeof node->waiting / sizeof node->waiting[0]) {
            node->waiting[node->waiting_count++] = sim->now;
            Crd_AddWaiting(&node->holder, sim->id, clock_of(sim, number));
        }
    }
}

static void
disturb(QuotaSimulation *sim)
{
    size_t number = Rng_Below(&sim->rng, sim->schedule.node_count);

    if (happens(sim, sim->schedule.freeze)) {
        sim->nodes[number].frozen_until =
            sim->now + draw_ms(sim, FAULT_MAX_MS);
    }
    if (happens(sim, sim->schedule.cut)) {
        sim->nodes[number].cut_until = sim->now + draw_ms(sim, FAULT_MAX_MS);
    }
    if (sim->now >= sim->held_until && happens(sim, sim->schedule.hold)) {
        sim->held_until = sim->now + draw_ms(sim, FAULT_MAX_MS);
    }
    if (happens(sim, sim->schedule.fail_over)) {
        sim->leading = (sim->leading + 1) % Qsim_GRANTORS;
        sim->term++;
        sim->grants_from =
            sim->now +
            Rng_Below(&sim->rng, (uint32_t)sim->schedule.take_over_max + 1);
        Grt_Start(&sim->grantors[sim->leading], sim->term, sim->grants_from);
    }
}

void
Qsim_Run(QuotaSimulation *sim, Span time)
{
    for (Instant end = sim->now + time; sim->now < end;
         sim->now += Qsim_STEP) {
        disturb(sim);
        add_calls(sim);
        deliver(sim);
        for (size_t i = 0; i < sim->schedule.node_count; i++) {
            if (sim->now >= sim->nodes[i].frozen_until) {
                Crd_Tick(&sim->nodes[i].holder, clock_of(sim, i));
                serve_waiting(sim, i);
                send_ask(sim, i);
            }
        }
    }
}

static int
compare_runs(const void *a, const void *b)
{
    Instant x = ((const QuotaCall *)a)->runs_at;
    Instant y = ((const QuotaCall *)b)->runs_at;

    return x < y ? -1 : x > y;
}

size_t
Qsim_CountMost(QuotaSimulation *sim, Instant from, Span window)
{
    size_t most = 0;
    size_t first = 0;

    qsort(sim->calls, sim->call_count, sizeof sim->calls[0], compare_runs);
    for (size_t i = 0; i < sim->call_count; i++) {
        Instant begin = sim->calls[i].runs_at - window;
        size_t count = 0;

        begin = begin > from ? begin : from;
        while (sim->calls[first].runs_at < begin) {
            first++;
        }
        for (size_t j = first; j <= i; j++) {
            count += sim->calls[j].sent_at >= begin;
        }
        most = count > most ? count : most;
    }
    return most;
}
