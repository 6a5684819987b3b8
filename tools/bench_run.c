/* The ingress side of a run: calls, their attempts, and the run itself. */
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "bench_world.h"
#include "connection/callmsg.h"
#include "value/mem.h"

#define INTERACTIVE_DEADLINE Span_MS(500)
#define PATIENT_DEADLINE Span_S(2)
#define RECORD_PERIOD Span_MS(500)

enum { ATTEMPTS_MAX = 3 };

static void
count_step(BenchWorld *world, uint32_t server, Instant now)
{
    Instant step = now * Bnc_STEPS / world->c->length;

    if (step < Bnc_STEPS) {
        world->step_total[step]++;
        world->step_first[step] += server == 0;
    }
}

static uint32_t
add_attempt(BenchWorld *world, uint32_t call, uint32_t server, Instant now)
{
    if (world->attempt_count >= world->attempt_cap) {
        world->attempt_cap =
            world->attempt_cap ? world->attempt_cap * 2 : 4096;
        world->attempts = Mem_Resize(world->attempts, world->attempt_cap,
                                     sizeof *world->attempts);
    }
    world->attempts[world->attempt_count] =
        (BnwAttempt){.call = call, .server = server, .sent_at = now};
    return world->attempt_count++;
}

static void
send_attempt(BenchWorld *world, uint32_t number, const BackendRow *row,
             Instant now)
{
    BnwCall *call = &world->calls[number];
    BnwNode *node = &world->nodes[call->node];
    uint32_t server = (uint32_t)row->location.node - 1;
    uint16_t domain = row->location.domain;

    Rty_OnAttempt(&call->retry, row->location.node);
    Plc_OnAttemptStart(&node->placement, row->location.node, now);
    call->open++;
    world->result->attempts++;
    world->result->crossings += Bnw_Crosses(world, node->domain, domain);
    count_step(world, server, now);
    Bnq_Add(&world->queue, now + Bnw_Delay(world, node->domain, domain),
            Bnw_REACH, add_attempt(world, number, server, now), 0);
}

static uint32_t
count_ejected(const PlacementTable *plc, Instant now)
{
    uint32_t count = 0;

    for (size_t i = 0; i < plc->row_count; i++) {
        count += plc->rows[i].ejected_until > now;
    }
    return count;
}

static bool
make_attempt(BenchWorld *world, uint32_t number, Instant now)
{
    BnwCall *call = &world->calls[number];
    PlacementTable *plc = &world->nodes[call->node].placement;
    PlacementRequest ask = {
        .interactive = call->interactive,
        .time_left = call->deadline - now,
        .excluded = call->retry.tried_nodes,
        .excluded_count = call->retry.attempt_count,
    };
    const BackendRow *row;
    uint32_t ejected = count_ejected(plc, now);

    if (ejected > world->result->ejected_max) {
        world->result->ejected_max = ejected;
    }
    if (Plc_Choose(plc, &ask, now, &row) != Plc_CHOSEN) {
        return false;
    }
    send_attempt(world, number, row, now);
    return true;
}

static void
give_up(BenchWorld *world, BnwCall *call, bool failed)
{
    call->ended = true;
    world->result->failed += failed;
    world->result->not_run += !failed;
}

static uint32_t
add_call(BenchWorld *world, Instant now)
{
    const BncCase *c = world->c;
    BnwCall *call;
    double unit = Rng_Unit(&world->arrivals);

    if (world->call_count == world->call_cap) {
        world->call_cap = world->call_cap ? world->call_cap * 2 : 4096;
        world->calls =
            Mem_Resize(world->calls, world->call_cap, sizeof *world->calls);
        world->times_ms =
            Mem_Resize(world->times_ms, world->call_cap, sizeof(double));
    }
    call = &world->calls[world->call_count];
    *call = (BnwCall){.at = now};
    call->work = c->exponential
                     ? Rng_Exponential(&world->arrivals, Bnw_SERVICE_US)
                     : Bnw_SERVICE_US * (0.5 + unit);
    call->node = Rng_Below(&world->arrivals, c->fleet.nodes);
    call->interactive = Rng_Below(&world->arrivals, 1000) >= c->patient;
    call->deadline =
        now + (call->interactive ? INTERACTIVE_DEADLINE : PATIENT_DEADLINE);
    return world->call_count++;
}

static void
on_arrive(BenchWorld *world, Instant now)
{
    const BncCase *c = world->c;
    uint32_t number = add_call(world, now);
    BnwCall *call = &world->calls[number];
    BnwNode *node = &world->nodes[call->node];
    double rate = c->load * c->fleet.servers * c->fleet.slots / Bnw_SERVICE_US;
    Instant next = now + (Span)Rng_Exponential(&world->arrivals, 1 / rate);

    if (next < c->length) {
        Bnq_Add(&world->queue, next, Bnw_ARRIVE, 0, 0);
    }
    world->result->calls[!call->interactive]++;
    Rty_BudgetOnCall(&node->retries, now);
    Rty_BudgetOnCall(&node->hedges, now);
    Rty_Init(&call->retry, true, ATTEMPTS_MAX, call->deadline);
    Hdg_Init(&call->hedge, call->interactive && c->hedge_permille, 0,
             c->hedge_delay, call->deadline, now);
    if (!make_attempt(world, number, now)) {
        world->result->shed++;
        give_up(world, call, false);
    }
    else if (call->hedge.due_at != Instant_NEVER) {
        Bnq_Add(&world->queue, call->hedge.due_at, Bnw_HEDGE, number, 0);
    }
}

static void
on_hedge(BenchWorld *world, uint32_t number, Instant now)
{
    BnwCall *call = &world->calls[number];

    if (!call->ended && call->open &&
        Hdg_ShouldSend(&call->hedge, &world->nodes[call->node].hedges, now) &&
        make_attempt(world, number, now)) {
        world->result->hedges++;
    }
}

static void
on_answered(BenchWorld *world, BnwCall *call, Instant now)
{
    call->ended = true;
    Hdg_Disarm(&call->hedge);
    if (call->interactive) {
        world->times_ms[world->time_count++] = (double)(now - call->at) / 1e3;
    }
    world->result->good[!call->interactive] += now <= call->deadline;
}

static void
retry(BenchWorld *world, uint32_t number, AttemptFailure outcome, Instant now)
{
    BnwCall *call = &world->calls[number];
    BnwNode *node = &world->nodes[call->node];

    if (call->open) {
        return; /* a hedge is still out */
    }
    if (Rty_Decide(&call->retry, &node->retries, outcome, now) == Rty_RETRY &&
        make_attempt(world, number, now)) {
        world->result->retries++;
        return;
    }
    give_up(world, call, outcome == Rty_BACKEND_ERROR);
}

static void
on_back(BenchWorld *world, uint32_t number, Instant now)
{
    static const AttemptResult ends[] = {Plc_ANSWERED, Plc_FAILED,
                                         Plc_REFUSED};
    const BnwAttempt *attempt = &world->attempts[number];
    const BnwServer *server = &world->servers[attempt->server];
    BnwCall *call = &world->calls[attempt->call];
    BnwNode *node = &world->nodes[call->node];
    Pack pack;

    if (!attempt->bare && Bnw_Crosses(world, node->domain, server->domain)) {
        Callmsg_PackPong(&pack, &attempt->load);
        world->link_report_bytes += Pack_View(&pack).len;
        Pack_Finish(&pack);
    }
    call->open--;
    if (!attempt->bare) {
        Plc_OnLoadReport(&node->placement, server->addr, &attempt->load, now);
    }
    Plc_OnAttemptEnd(&node->placement, server->addr, ends[attempt->end],
                     now - attempt->sent_at, now);
    if (call->ended) {
        return;
    }
    if (attempt->end == Bnw_GOOD) {
        on_answered(world, call, now);
    }
    else {
        retry(world, attempt->call,
              attempt->end == Bnw_ERROR ? Rty_BACKEND_ERROR : Rty_NOT_RUN,
              now);
    }
}

static void
on_record(BenchWorld *world, uint32_t number, Instant now)
{
    const BnwServer *server = &world->servers[number];
    LoadReport load = Adm_GetLoadReport(&server->admission, now);
    BackendLocation place = {.node = server->addr,
                             .incarnation = server->incarnation};

    place.domain = server->domain;
    place.region = world->c->regions > 1 ? server->domain / 2 : 0;
    for (uint32_t i = 0; i < world->c->fleet.nodes; i++) {
        Plc_SetBackend(&world->nodes[i].placement, &place, &load, now);
    }
    if (now < world->c->length) {
        Bnq_Add(&world->queue, now + RECORD_PERIOD, Bnw_RECORD, number, 0);
    }
}

static void
dispatch(BenchWorld *world, const BnqEvent *event)
{
    switch ((BnwKind)event->kind) {
    case Bnw_ARRIVE:
        on_arrive(world, event->at);
        break;
    case Bnw_REACH:
        Bnw_OnReach(world, event->subject, event->at);
        break;
    case Bnw_DONE:
        if (event->stamp == world->attempts[event->subject].stamp) {
            Bnw_OnDone(world, event->subject, event->at);
        }
        break;
    case Bnw_BACK:
        on_back(world, event->subject, event->at);
        break;
    case Bnw_HEDGE:
        on_hedge(world, event->subject, event->at);
        break;
    case Bnw_RECORD:
        on_record(world, event->subject, event->at);
        break;
    case Bnw_DISTURB:
        if (event->at < world->c->length) {
            Bnw_OnDisturb(world, event->subject, event->at);
        }
        break;
    }
}

static double
quantile(const BenchWorld *world, double share)
{
    return world->time_count
               ? gsl_stats_quantile_from_sorted_data(world->times_ms, 1,
                                                     world->time_count, share)
               : 0;
}

static void
conclude(BenchWorld *world)
{
    BncResult *result = world->result;

    gsl_sort(world->times_ms, 1, world->time_count);
    result->p50_ms = quantile(world, 0.5);
    result->p99_ms = quantile(world, 0.99);
    result->p999_ms = quantile(world, 0.999);
    result->measure_link_bytes_s =
        (double)world->link_report_bytes * 1e6 / (double)world->c->length;
    for (int i = 0; i < Bnc_STEPS; i++) {
        result->share[i] =
            world->step_total[i]
                ? (double)world->step_first[i] / (double)world->step_total[i]
                : 0;
    }
}

void
Bnc_Run(const BncCase *c, BncResult *result)
{
    BenchWorld world;
    BnqEvent event;

    *result = (BncResult){0};
    Bnw_Init(&world, c, result);
    while (Bnq_Take(&world.queue, &event)) {
        dispatch(&world, &event);
    }
    conclude(&world);
    Bnw_Finish(&world);
}
