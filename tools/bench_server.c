/* The server side of a run: admission, queue, true slots and speed. */
#include "bench_world.h"

#define FAIL_US 50

static void
push(BenchWorld *world, BnwList *list, uint32_t number)
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
drop(BenchWorld *world, BnwList *list, uint32_t number)
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
answer(BenchWorld *world, uint32_t number, BnwEnd end, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];
    const BnwNode *node = &world->nodes[world->calls[attempt->call].node];

    attempt->end = end;
    attempt->load = Adm_GetLoadReport(&server->admission, now);
    attempt->bare = !Rpt_ShouldAttach(
        &server->ride, world->calls[attempt->call].node,
        Bnw_Crosses(world, node->domain, server->domain), now);
    Bnq_Add(&world->queue,
            now + Bnw_Delay(world, server->domain, node->domain), Bnw_BACK,
            number, 0);
}

static void
plan_end(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    const BnwServer *server = &world->servers[attempt->server];
    Span left = (Span)(attempt->left / server->speed);

    attempt->updated_at = now;
    attempt->stamp++;
    Bnq_Add(&world->queue, now + left, Bnw_DONE, number, attempt->stamp);
}

static void
enter_slot(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];

    server->busy++;
    push(world, &server->running, number);
    attempt->left =
        server->failing ? FAIL_US : world->calls[attempt->call].work;
    plan_end(world, number, now);
}

static void
start(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];

    attempt->started_at = now;
    if (server->busy < world->c->fleet.slots) {
        enter_slot(world, number, now);
    }
    else {
        push(world, &server->inside, number);
    }
}

static void
start_queued(BenchWorld *world, BnwServer *server, Instant now)
{
    RequestClass cls;

    while (Adm_StartNext(&server->admission, now, &cls)) {
        uint32_t number = server->queued[cls].first;
        drop(world, &server->queued[cls], number);
        start(world, number, now);
    }
}

void
Bnw_OnReach(BenchWorld *world, uint32_t number, Instant now)
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
        start(world, number, now);
        break;
    case Adm_QUEUE:
        push(world, &server->queued[cls], number);
        break;
    default:
        world->result->refusals++;
        answer(world, number, Bnw_REFUSAL, now);
        break;
    }
}

void
Bnw_OnDone(BenchWorld *world, uint32_t number, Instant now)
{
    BnwAttempt *attempt = &world->attempts[number];
    BnwServer *server = &world->servers[attempt->server];
    bool failed = server->failing;

    drop(world, &server->running, number);
    server->busy--;
    Adm_OnAttemptEnd(
        &server->admission,
        &(AttemptCompletion){.normalized_time = now - attempt->started_at,
                             .failed = failed},
        now);
    answer(world, number, failed ? Bnw_ERROR : Bnw_GOOD, now);
    if (server->inside.first) {
        uint32_t next = server->inside.first;
        drop(world, &server->inside, next);
        enter_slot(world, next, now);
    }
    start_queued(world, server, now);
}

void
Bnw_SetSpeed(BenchWorld *world, BnwServer *server, double speed, Instant now)
{
    for (uint32_t i = server->running.first; i; i = world->attempts[i].next) {
        BnwAttempt *attempt = &world->attempts[i];
        attempt->left -= (double)(now - attempt->updated_at) * server->speed;
        if (attempt->left < 0) {
            attempt->left = 0;
        }
    }
    server->speed = speed;
    for (uint32_t i = server->running.first; i; i = world->attempts[i].next) {
        plan_end(world, i, now);
    }
}
