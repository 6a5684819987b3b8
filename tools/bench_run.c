/* The ingress nodes of a simulation: calls and their attempts.  Also the event
 * loop. */
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "bench_world.h"
#include "connection/callmsg.h"
#include "value/mem.h"

#define INTERACTIVE_DEADLINE Span_MS(500)
#define PATIENT_DEADLINE Span_S(2)
#define MEMBERSHIP_PERIOD Span_MS(500)

enum { ATTEMPTS_MAX = 3 };

/* Counts an attempt at SERVER for first_server_share. */
static void
count_server_share(BenchWorld *world, uint32_t server, Instant now)
{
    Instant step = now * Bnc_SHARE_STEPS / world->params->duration;

    if (step < Bnc_SHARE_STEPS) {
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
    call->open_attempts++;
    world->result->attempts++;
    world->result->cross_region_attempts +=
        Bnw_IsCrossRegion(world, node->domain, domain);
    count_server_share(world, server, now);
    Bnq_Add(&world->queue, now + Bnw_GetDelay(world, node->domain, domain),
            Bnw_ATTEMPT_ARRIVAL, add_attempt(world, number, server, now), 0);
}

static uint32_t
count_ejected(const PlacementTable *table, Instant now)
{
    uint32_t count = 0;

    for (size_t i = 0; i < table->row_count; i++) {
        count += table->rows[i].ejected_until > now;
    }
    return count;
}

/* Sends an attempt of call NUMBER; false when placement chooses no server. */
static bool
place_attempt(BenchWorld *world, uint32_t number, Instant now)
{
    BnwCall *call = &world->calls[number];
    PlacementTable *table = &world->nodes[call->node].placement;
    PlacementRequest request = {
        .interactive = call->interactive,
        .time_left = call->deadline - now,
        .excluded = call->retry.tried_nodes,
        .excluded_count = call->retry.attempt_count,
    };
    const BackendRow *row;
    uint32_t ejected = count_ejected(table, now);

    if (ejected > world->result->ejected_max) {
        world->result->ejected_max = ejected;
    }
    if (Plc_Choose(table, &request, now, &row) != Plc_CHOSEN) {
        return false;
    }
    send_attempt(world, number, row, now);
    return true;
}

/* Ends a call without success.  FAILED: its last attempt ended with an error
 * of the server; else that was refused, or there was none. */
static void
fail_call(BenchWorld *world, BnwCall *call, bool failed)
{
    call->ended = true;
    world->result->failed += failed;
    world->result->not_run += !failed;
}

static uint32_t
add_call(BenchWorld *world, Instant now)
{
    const BncCase *c = world->params;
    BnwCall *call;
    double unit = Rng_Unit(&world->arrivals);

    if (world->call_count == world->call_cap) {
        world->call_cap = world->call_cap ? world->call_cap * 2 : 4096;
        world->calls =
            Mem_Resize(world->calls, world->call_cap, sizeof *world->calls);
        world->latencies_ms =
            Mem_Resize(world->latencies_ms, world->call_cap, sizeof(double));
    }
    call = &world->calls[world->call_count];
    *call = (BnwCall){.arrived_at = now};
    call->work_us =
        c->exponential_service
            ? Rng_Exponential(&world->arrivals, Bnw_MEAN_SERVICE_US)
            : Bnw_MEAN_SERVICE_US * (0.5 + unit);
    call->node = Rng_Below(&world->arrivals, c->fleet.node_count);
    call->interactive =
        Rng_Below(&world->arrivals, 1000) >= c->patient_permille;
    call->deadline =
        now + (call->interactive ? INTERACTIVE_DEADLINE : PATIENT_DEADLINE);
    return world->call_count++;
}

static void
on_call_arrival(BenchWorld *world, Instant now)
{
    const BncCase *c = world->params;
    uint32_t number = add_call(world, now);
    BnwCall *call = &world->calls[number];
    BnwNode *node = &world->nodes[call->node];
    double rate =
        c->load * c->fleet.server_count * c->fleet.slots / Bnw_MEAN_SERVICE_US;
    Instant next = now + (Span)Rng_Exponential(&world->arrivals, 1 / rate);

    if (next < c->duration) {
        Bnq_Add(&world->queue, next, Bnw_CALL_ARRIVAL, 0, 0);
    }
    world->result->calls[!call->interactive]++;
    Rty_BudgetOnCall(&node->retry_budget, now);
    Rty_BudgetOnCall(&node->hedge_budget, now);
    Rty_Init(&call->retry, true, ATTEMPTS_MAX, call->deadline);
    Hdg_Init(&call->hedge, call->interactive && c->hedge_permille, 0,
             c->hedge_delay, call->deadline, now);
    if (!place_attempt(world, number, now)) {
        world->result->shed++;
        fail_call(world, call, false);
    }
    else if (call->hedge.due_at != Instant_NEVER) {
        Bnq_Add(&world->queue, call->hedge.due_at, Bnw_HEDGE_DUE, number, 0);
    }
}

static void
on_hedge_due(BenchWorld *world, uint32_t number, Instant now)
{
    BnwCall *call = &world->calls[number];

    if (!call->ended && call->open_attempts && Hdg_IsDue(&call->hedge, now) &&
        Rty_BudgetTake(&world->nodes[call->node].hedge_budget) &&
        place_attempt(world, number, now)) {
        world->result->hedges++;
    }
}

static void
complete_call(BenchWorld *world, BnwCall *call, Instant now)
{
    call->ended = true;
    Hdg_Disarm(&call->hedge);
    if (call->interactive) {
        world->latencies_ms[world->latency_count++] =
            (double)(now - call->arrived_at) / 1e3;
    }
    world->result->good[!call->interactive] += now <= call->deadline;
}

static void
retry_or_fail(BenchWorld *world, uint32_t number, AttemptFailure failure,
              Instant now)
{
    BnwCall *call = &world->calls[number];
    BnwNode *node = &world->nodes[call->node];

    if (call->open_attempts) {
        return; /* another attempt of the call is in flight */
    }
    if (Rty_Decide(&call->retry, &node->retry_budget, failure, now) ==
            Rty_RETRY &&
        place_attempt(world, number, now)) {
        world->result->retries++;
        return;
    }
    fail_call(world, call, failure == Rty_BACKEND_ERROR);
}

static void
on_answer_arrival(BenchWorld *world, uint32_t number, Instant now)
{
    static const AttemptResult results[] = {Plc_ANSWERED, Plc_FAILED,
                                            Plc_REFUSED};
    const BnwAttempt *attempt = &world->attempts[number];
    const BnwServer *server = &world->servers[attempt->server];
    BnwCall *call = &world->calls[attempt->call];
    BnwNode *node = &world->nodes[call->node];
    Pack pack;

    if (!attempt->without_report &&
        Bnw_IsCrossRegion(world, node->domain, server->domain)) {
        Callmsg_PackPong(&pack, &attempt->load);
        world->link_report_bytes += Pack_View(&pack).len;
        Pack_Finish(&pack);
    }
    call->open_attempts--;
    if (!attempt->without_report) {
        Plc_OnLoadReport(&node->placement, server->addr, &attempt->load, now);
    }
    Plc_OnAttemptEnd(&node->placement, server->addr, results[attempt->outcome],
                     now - attempt->sent_at, now);
    if (call->ended) {
        return;
    }
    if (attempt->outcome == Bnw_SUCCESS) {
        complete_call(world, call, now);
    }
    else {
        retry_or_fail(world, attempt->call,
                      attempt->outcome == Bnw_ERROR ? Rty_BACKEND_ERROR
                                                    : Rty_NOT_RUN,
                      now);
    }
}

static void
on_membership_record(BenchWorld *world, uint32_t number, Instant now)
{
    const BnwServer *server = &world->servers[number];
    LoadReport load = Adm_GetLoadReport(&server->admission, now);
    BackendLocation location = {.node = server->addr,
                                .incarnation = server->incarnation};

    location.domain = server->domain;
    location.region = world->params->regions > 1 ? server->domain / 2 : 0;
    for (uint32_t i = 0; i < world->params->fleet.node_count; i++) {
        Plc_SetBackend(&world->nodes[i].placement, &location, &load, now);
    }
    if (now < world->params->duration) {
        Bnq_Add(&world->queue, now + MEMBERSHIP_PERIOD, Bnw_MEMBERSHIP_RECORD,
                number, 0);
    }
}

static void
dispatch(BenchWorld *world, const BnqEvent *event)
{
    switch ((BnwEventKind)event->kind) {
    case Bnw_CALL_ARRIVAL:
        on_call_arrival(world, event->at);
        break;
    case Bnw_ATTEMPT_ARRIVAL:
        Bnw_OnAttemptArrival(world, event->index, event->at);
        break;
    case Bnw_ATTEMPT_DONE:
        if (event->generation == world->attempts[event->index].generation) {
            Bnw_OnAttemptDone(world, event->index, event->at);
        }
        break;
    case Bnw_ANSWER_ARRIVAL:
        on_answer_arrival(world, event->index, event->at);
        break;
    case Bnw_HEDGE_DUE:
        on_hedge_due(world, event->index, event->at);
        break;
    case Bnw_MEMBERSHIP_RECORD:
        on_membership_record(world, event->index, event->at);
        break;
    case Bnw_DISTURBANCE_STEP:
        if (event->at < world->params->duration) {
            Bnw_OnDisturbanceStep(world, event->index, event->at);
        }
        break;
    }
}

static double
compute_quantile(const BenchWorld *world, double share)
{
    return world->latency_count
               ? gsl_stats_quantile_from_sorted_data(
                     world->latencies_ms, 1, world->latency_count, share)
               : 0;
}

static void
fill_result(BenchWorld *world)
{
    BncResult *result = world->result;

    gsl_sort(world->latencies_ms, 1, world->latency_count);
    result->p50_ms = compute_quantile(world, 0.5);
    result->p99_ms = compute_quantile(world, 0.99);
    result->p999_ms = compute_quantile(world, 0.999);
    result->report_link_bytes_per_s = (double)world->link_report_bytes * 1e6 /
                                      (double)world->params->duration;
    for (int i = 0; i < Bnc_SHARE_STEPS; i++) {
        result->first_server_share[i] =
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
    fill_result(&world);
    Bnw_Finish(&world);
}
