#include "bench_world.h"

#include "value/mem.h"

#define LOCAL_DELAY 100
#define DOMAIN_DELAY Span_MS(1)
#define REGION_DELAY Span_MS(12)
#define COLD_RAMP Span_S(1)
#define NOISE_PERIOD Span_S(1)
#define NOISE_LENGTH Span_MS(200)

enum { QUEUE_MAX = 32, PATIENT_QUEUE_MAX = 16, LIE = 4, DOMAINS = 4 };

static uint16_t
region_of(const BenchWorld *world, uint16_t domain)
{
    return world->c->regions > 1 ? domain / 2 : 0;
}

bool
Bnw_Crosses(const BenchWorld *world, uint16_t from, uint16_t to)
{
    return region_of(world, from) != region_of(world, to);
}

Span
Bnw_Delay(const BenchWorld *world, uint16_t from, uint16_t to)
{
    if (from == to) {
        return LOCAL_DELAY;
    }
    return Bnw_Crosses(world, from, to) ? REGION_DELAY : DOMAIN_DELAY;
}

static void
tell_record(BenchWorld *world, const BnwServer *server, Instant now)
{
    LoadReport load = Adm_GetLoadReport(&server->admission, now);
    BackendLocation place = {
        .node = server->addr,
        .incarnation = server->incarnation,
        .region = region_of(world, server->domain),
        .domain = server->domain,
    };

    for (uint32_t i = 0; i < world->c->fleet.nodes; i++) {
        Plc_SetBackend(&world->nodes[i].placement, &place, &load, now);
    }
}

static void
init_server(BenchWorld *world, uint32_t number)
{
    BnwServer *server = &world->servers[number];
    AdmissionSettings settings = {
        .queue_max = QUEUE_MAX,
        .patient_queue_max = PATIENT_QUEUE_MAX,
    };
    uint32_t slots = world->c->fleet.slots;

    server->addr = number + 1;
    server->incarnation = 1;
    server->domain = number % DOMAINS;
    server->speed = 1;
    if (number == 0 && world->c->disturbance == Bnc_LIE) {
        slots *= LIE;
    }
    Adm_Init(&server->admission, &settings);
    Adm_OnAnnounce(&server->admission, slots, false, 0);
}

static void
init_node(BenchWorld *world, uint32_t number)
{
    BnwNode *node = &world->nodes[number];
    PlacementSettings settings = {
        .policy = world->c->policy,
        .self = 1000 + number,
        .region = region_of(world, number % DOMAINS),
        .domain = number % DOMAINS,
        .domain_penalty = 2 * DOMAIN_DELAY,
        .region_penalty = 2 * REGION_DELAY + Span_MS(6),
        .sample_size = world->c->sample,
        .queue_max = QUEUE_MAX,
        .patient_queue_max = PATIENT_QUEUE_MAX,
    };

    node->domain = number % DOMAINS;
    Plc_Init(&node->placement, &settings, &world->choices);
    Rty_BudgetInit(&node->retries, world->c->retry_permille, 10);
    Rty_BudgetInit(&node->hedges, world->c->hedge_permille, 10);
}

void
Bnw_Init(BenchWorld *world, const BncCase *c, BncResult *result)
{
    *world = (BenchWorld){.c = c, .result = result, .attempt_count = 1};
    Rng_Init(&world->arrivals, c->seed);
    Rng_Init(&world->choices, c->seed + 1);
    world->servers = Mem_Alloc(c->fleet.servers, sizeof(BnwServer));
    world->nodes = Mem_Alloc(c->fleet.nodes, sizeof(BnwNode));
    for (uint32_t i = 0; i < c->fleet.servers; i++) {
        init_server(world, i);
    }
    for (uint32_t i = 0; i < c->fleet.nodes; i++) {
        init_node(world, i);
    }
    for (uint32_t i = 0; i < c->fleet.servers; i++) {
        tell_record(world, &world->servers[i], 0);
        Bnq_Add(&world->queue, Span_MS(500), Bnw_RECORD, i, 0);
    }
    Bnq_Add(&world->queue, 0, Bnw_ARRIVE, 0, 0);
    Bnq_Add(&world->queue, NOISE_PERIOD / 2, Bnw_DISTURB, 0, 0);
}

void
Bnw_Finish(BenchWorld *world)
{
    for (uint32_t i = 0; i < world->c->fleet.nodes; i++) {
        Plc_Finish(&world->nodes[i].placement);
    }
    Bnq_Finish(&world->queue);
    Rng_Finish(&world->arrivals);
    Rng_Finish(&world->choices);
    Mem_Free(world->servers);
    Mem_Free(world->nodes);
    Mem_Free(world->calls);
    Mem_Free(world->attempts);
    Mem_Free(world->times_ms);
}

/* One server is slow for a while each second. */
static void
make_noise(BenchWorld *world, uint32_t step, Instant now)
{
    uint32_t number = step / 2 * 2654435761u % world->c->fleet.servers;
    BnwServer *server = &world->servers[number];

    if (step % 2 == 0) {
        Bnw_SetSpeed(world, server, 0.1, now);
        Bnq_Add(&world->queue, now + NOISE_LENGTH, Bnw_DISTURB, step + 1, 0);
    }
    else {
        Bnw_SetSpeed(world, server, 1, now);
        Bnq_Add(&world->queue, now + NOISE_PERIOD - NOISE_LENGTH, Bnw_DISTURB,
                step + 1, 0);
    }
}

static void
restart(BenchWorld *world, BnwServer *server, Instant now)
{
    uint32_t slots = world->c->fleet.slots;

    server->incarnation++;
    server->admission.settings.slow_start = COLD_RAMP;
    Adm_OnBackendGone(&server->admission);
    Adm_OnAnnounce(&server->admission, slots, false, now);
    Bnw_SetSpeed(world, server, 0.2, now);
    tell_record(world, server, now);
}

/* Server 0 changes at a third of the run, and back at two thirds. */
static void
change_first(BenchWorld *world, bool begin, Instant now)
{
    BnwServer *server = &world->servers[0];

    switch (world->c->disturbance) {
    case Bnc_COLD:
        if (begin) {
            restart(world, server, now);
        }
        else {
            Bnw_SetSpeed(world, server, 1, now);
        }
        break;
    case Bnc_DRAIN:
        Adm_OnAnnounce(&server->admission, world->c->fleet.slots, begin, now);
        break;
    case Bnc_FAIL:
        server->failing = begin;
        break;
    case Bnc_SLOW:
        Bnw_SetSpeed(world, server, begin ? 0.05 : 1, now);
        break;
    default:
        break;
    }
}

void
Bnw_OnDisturb(BenchWorld *world, uint32_t step, Instant now)
{
    Span third = world->c->length / 3;
    Span length = world->c->disturbance == Bnc_COLD ? COLD_RAMP : third;

    if (world->c->disturbance == Bnc_NOISY) {
        make_noise(world, step, now);
    }
    else if (step == 0) {
        Bnq_Add(&world->queue, third, Bnw_DISTURB, 1, 0);
    }
    else if (step == 1) {
        change_first(world, true, now);
        Bnq_Add(&world->queue, now + length, Bnw_DISTURB, 2, 0);
    }
    else if (step == 2) {
        change_first(world, false, now);
    }
}
