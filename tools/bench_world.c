#include "bench_world.h"

#include "value/mem.h"

/* One-way network delays. */
#define LOCAL_DELAY_US 100
#define DOMAIN_DELAY Span_MS(1)
#define REGION_DELAY Span_MS(12)
#define COLD_RAMP Span_S(1)
#define NOISE_PERIOD Span_S(1)
#define NOISE_LENGTH Span_MS(200)

enum {
    QUEUE_MAX = 32,
    PATIENT_QUEUE_MAX = 16,
    SLOTS_OVERSTATEMENT = 4,
    DOMAINS = 4
};

/* With two regions, failure domains 0 and 1 are in the first one. */
static uint16_t
get_region(const BenchWorld *world, uint16_t domain)
{
    return world->params->regions > 1 ? domain / 2 : 0;
}

bool
Bnw_IsCrossRegion(const BenchWorld *world, uint16_t from, uint16_t to)
{
    return get_region(world, from) != get_region(world, to);
}

Span
Bnw_GetDelay(const BenchWorld *world, uint16_t from, uint16_t to)
{
    if (from == to) {
        return LOCAL_DELAY_US;
    }
    return Bnw_IsCrossRegion(world, from, to) ? REGION_DELAY : DOMAIN_DELAY;
}

/* Passes the membership record of SERVER to all ingress nodes. */
static void
update_placement(BenchWorld *world, const BnwServer *server, Instant now)
{
    LoadReport load = Adm_GetLoadReport(&server->admission, now);
    BackendLocation location = {
        .node = server->addr,
        .incarnation = server->incarnation,
        .region = get_region(world, server->domain),
        .domain = server->domain,
    };

    for (uint32_t i = 0; i < world->params->fleet.node_count; i++) {
        Plc_SetBackend(&world->nodes[i].placement, &location, &load, now);
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
    uint32_t slots = world->params->fleet.slots;

    server->addr = number + 1;
    server->incarnation = 1;
    server->domain = number % DOMAINS;
    server->speed = 1;
    if (number == 0 && world->params->disturbance == Bnc_OVERSTATED_SLOTS) {
        slots *= SLOTS_OVERSTATEMENT;
    }
    Adm_Init(&server->admission, &settings);
    Adm_OnAnnounce(&server->admission, slots, false, 0);
}

static void
init_node(BenchWorld *world, uint32_t number)
{
    BnwNode *node = &world->nodes[number];
    PlacementSettings settings = {
        .policy = world->params->policy,
        .region = get_region(world, number % DOMAINS),
        .domain = number % DOMAINS,
        .domain_penalty = 2 * DOMAIN_DELAY,
        .region_penalty = 2 * REGION_DELAY + Span_MS(6),
        .sample_size = world->params->sample_size,
        .queue_max = QUEUE_MAX,
        .patient_queue_max = PATIENT_QUEUE_MAX,
    };

    node->domain = number % DOMAINS;
    Plc_Init(&node->placement, &settings, &world->choices);
    Rty_BudgetInit(&node->retry_budget, world->params->retry_permille, 10);
    Rty_BudgetInit(&node->hedge_budget, world->params->hedge_permille, 10);
}

void
Bnw_Init(BenchWorld *world, const BncCase *c, BncResult *result)
{
    *world = (BenchWorld){.params = c, .result = result, .attempt_count = 1};
    Rng_Init(&world->arrivals, c->seed);
    Rng_Init(&world->choices, c->seed + 1);
    world->servers = Mem_Alloc(c->fleet.server_count, sizeof(BnwServer));
    world->nodes = Mem_Alloc(c->fleet.node_count, sizeof(BnwNode));
    for (uint32_t i = 0; i < c->fleet.server_count; i++) {
        init_server(world, i);
    }
    for (uint32_t i = 0; i < c->fleet.node_count; i++) {
        init_node(world, i);
    }
    for (uint32_t i = 0; i < c->fleet.server_count; i++) {
        update_placement(world, &world->servers[i], 0);
        Bnq_Add(&world->queue, Span_MS(500), Bnw_MEMBERSHIP_RECORD, i, 0);
    }
    Bnq_Add(&world->queue, 0, Bnw_CALL_ARRIVAL, 0, 0);
    Bnq_Add(&world->queue, NOISE_PERIOD / 2, Bnw_DISTURBANCE_STEP, 0, 0);
}

void
Bnw_Finish(BenchWorld *world)
{
    for (uint32_t i = 0; i < world->params->fleet.node_count; i++) {
        Plc_Finish(&world->nodes[i].placement);
    }
    Bnq_Finish(&world->queue);
    Rng_Finish(&world->arrivals);
    Rng_Finish(&world->choices);
    Mem_Free(world->servers);
    Mem_Free(world->nodes);
    Mem_Free(world->calls);
    Mem_Free(world->attempts);
    Mem_Free(world->latencies_ms);
}

/* Even steps make one server slow, odd ones restore it.  The server of each
 * second is chosen by a multiplicative hash. */
static void
toggle_noise(BenchWorld *world, uint32_t step, Instant now)
{
    uint32_t number =
        step / 2 * 2654435761u % world->params->fleet.server_count;
    BnwServer *server = &world->servers[number];

    if (step % 2 == 0) {
        Bnw_SetSpeed(world, server, 0.1, now);
        Bnq_Add(&world->queue, now + NOISE_LENGTH, Bnw_DISTURBANCE_STEP,
                step + 1, 0);
    }
    else {
        Bnw_SetSpeed(world, server, 1, now);
        Bnq_Add(&world->queue, now + NOISE_PERIOD - NOISE_LENGTH,
                Bnw_DISTURBANCE_STEP, step + 1, 0);
    }
}

/* The restarted server is 5 times slower than usual. */
static void
restart_cold(BenchWorld *world, BnwServer *server, Instant now)
{
    uint32_t slots = world->params->fleet.slots;

    server->incarnation++;
    server->admission.settings.slow_start = COLD_RAMP;
    Adm_OnBackendGone(&server->admission);
    Adm_OnAnnounce(&server->admission, slots, false, now);
    Bnw_SetSpeed(world, server, 0.2, now);
    update_placement(world, server, now);
}

/* Begins or ends the disturbance of server 0. */
static void
set_first_disturbed(BenchWorld *world, bool begin, Instant now)
{
    BnwServer *server = &world->servers[0];

    switch (world->params->disturbance) {
    case Bnc_COLD_START:
        if (begin) {
            restart_cold(world, server, now);
        }
        else {
            Bnw_SetSpeed(world, server, 1, now);
        }
        break;
    case Bnc_DRAIN:
        Adm_OnAnnounce(&server->admission, world->params->fleet.slots, begin,
                       now);
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
Bnw_OnDisturbanceStep(BenchWorld *world, uint32_t step, Instant now)
{
    Span third = world->params->duration / 3;
    Span duration =
        world->params->disturbance == Bnc_COLD_START ? COLD_RAMP : third;

    if (world->params->disturbance == Bnc_NOISY) {
        toggle_noise(world, step, now);
    }
    else if (step == 0) {
        Bnq_Add(&world->queue, third, Bnw_DISTURBANCE_STEP, 1, 0);
    }
    else if (step == 1) {
        set_first_disturbed(world, true, now);
        Bnq_Add(&world->queue, now + duration, Bnw_DISTURBANCE_STEP, 2, 0);
    }
    else if (step == 2) {
        set_first_disturbed(world, false, now);
    }
}
