/* The backend servers of a simulation: admission, queues, slots and speed.
 *
 * A server that announces more slots than it has gets more attempts from
 * admission than it can run at once; they wait at the server for a slot.
 */
#include "bench_world.h"

/* Service time of an attempt that fails at once. */
#define FAILURE_SERVICE_US 50

static void
append_attempt(BenchWorld *world, BnwList *list, uint32_t number)
{
    world->attempts[number].next = 0;
    if (list->last) {
        world->attempts[list->last].next = number;
    }
    else {
        list->first = number;
    }
    list->last = number;
}

static void
remove_attempt(BenchWorld *world, BnwList *list, uint32_t number)
{
    uint32_t before = 0;
    uint32_t i = list->first;

    while (i && i != number) {
        before = i;
        i = world->attempts[i].next;
    }
    if (!i) {
        return;
    }
    if (before) {
        world->attempts[before].next = world->attempts[number].next;
    }
    else {
        list->first = world->attempts[number].next;
    }
    if (list->last == number) {
        list->last = before;
    }
}

static void
send_answer(BenchWorld *world, uint32_t number, BnwOutcome outcome,
            Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];
    const BnwNode *node = &world->nodes[world->calls[attempt->call].node];

    attempt->outcome = outcome;
    attempt->load = Adm_GetLoadReport(&server->admission, now);
    attempt->without_report = !Rpt_ShouldAttach(
        &server->report_throttle, world->calls[attempt->call].node,
        Bnw_IsCrossRegion(world, node->domain, server->domain), now);
    Bnq_Add(&world->queue,
            now + Bnw_GetDelay(world, server->domain, node->domain),
            Bnw_ANSWER_ARRIVAL, number, 0);
}

/* Schedules the end of a running attempt at the server's present speed; an end
 * scheduled before becomes void. */
static void
schedule_end(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    const BnwServer *server = &world->servers[attempt->server];
    Span left = (Span)(attempt->work_left_us / server->speed);

    attempt->updated_at = now;
    attempt->generation++;
    Bnq_Add(&world->queue, now + left, Bnw_ATTEMPT_DONE, number,
            attempt->generation);
}

static void
occupy_slot(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];

    server->busy_slots++;
    append_attempt(world, &server->running, number);
    attempt->work_left_us = server->failing
                                ? FAILURE_SERVICE_US
                                : world->calls[attempt->call].work_us;
    schedule_end(world, number, now);
}

/* Gives an attempt that admission has let run a slot, or queues it until one
 * is free. */
static void
start_attempt(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];

    attempt->started_at = now;
    if (server->busy_slots < world->params->fleet.slots) {
        occupy_slot(world, number, now);
    }
    else {
        append_attempt(world, &server->waiting, number);
    }
}

static void
start_queued(BenchWorld *world, BnwServer *server, Instant now)
{
    RequestClass cls;

    while (Adm_StartNext(&server->admission, now, &cls)) {
        uint32_t number = server->queued[cls].first;
        remove_attempt(world, &server->queued[cls], number);
        start_attempt(world, number, now);
    }
}

void
Bnw_OnAttemptArrival(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];
    const BnwCall *call = &world->calls[attempt->call];
    RequestClass cls = call->interactive ? Adm_INTERACTIVE : Adm_PATIENT;

    start_queued(world, server, now);
    switch (Adm_Admit(
        &server->admission,
        &(AdmissionRequest){.cls = cls, .time_left = call->deadline - now},
        now)) {
    case Adm_RUN:
        start_attempt(world, number, now);
        break;
    case Adm_QUEUE:
        append_attempt(world, &server->queued[cls], number);
        break;
    default:
        world->result->refusals++;
        send_answer(world, number, Bnw_REFUSAL, now);
        break;
    }
}

void
Bnw_OnAttemptDone(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];
    bool failed = server->failing;

    remove_attempt(world, &server->running, number);
    server->busy_slots--;
    Adm_OnAttemptEnd(
        &server->admission,
        &(AttemptCompletion){.normalized_time = now - attempt->started_at,
                             .failed = failed},
        now);
    send_answer(world, number, failed ? Bnw_ERROR : Bnw_SUCCESS, now);
    if (server->waiting.first) {
        uint32_t next = server->waiting.first;
        remove_attempt(world, &server->waiting, next);
        occupy_slot(world, next, now);
    }
    start_queued(world, server, now);
}

void
Bnw_SetSpeed(BenchWorld *world, BnwServer *server, double speed, Instant now)
{
    for (uint32_t i = server->running.first; i; i = world->attempts[i].next) {
        BnwAttempt *attempt = &world->attempts[i];
        attempt->work_left_us -=
            (double)(now - attempt->updated_at) * server->speed;
        if (attempt->work_left_us < 0) {
            attempt->work_left_us = 0;
        }
    }
    server->speed = speed;
    for (uint32_t i = server->running.first; i; i = world->attempts[i].next) {
        schedule_end(world, i, now);
    }
}
