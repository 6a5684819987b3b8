#include "process/services.h"

#include "value/mem.h"

#define SAMPLE_SIZE 4 /* rows compared for one attempt */
#define ROWS_MAX 16   /* backend servers of one service kept by a node */

void
Svc_Init(Services *services, Addr self, uint16_t region, uint16_t domain,
         Rng *rng)
{
    *services = (Services){.rng = rng};
    services->placement_settings = (PlacementSettings){
        .policy = Plc_LEAST_WAIT,
        .self = self,
        .region = region,
        .domain = domain,
        .rows_max = ROWS_MAX,
        .sample_size = SAMPLE_SIZE,
    };
}

void
Svc_Finish(Services *services)
{
    for (size_t i = 0; i < services->count; i++) {
        Plc_Finish(&services->items[i]->placement);
        StrBuf_Finish(&services->items[i]->name);
        Mem_Free(services->items[i]);
    }
    Mem_Free(services->items);
    *services = (Services){0};
}

/* Returns this node's share of a burst. */
static double
get_burst_per_node(const Services *services)
{
    return Rty_BurstPerNode(services->retry_burst, services->node_count);
}

static void
set_budget_limits(Services *services)
{
    for (size_t i = 0; i < services->count; i++) {
        Service *service = services->items[i];
        Rty_BudgetSetLimits(&service->retry_budget, services->retry_permille,
                            get_burst_per_node(services));
        Rty_BudgetSetLimits(&service->hedge_budget, services->hedge_permille,
                            get_burst_per_node(services));
    }
}

void
Svc_SetLimits(Services *services, const PresetLimits *limits)
{
    services->placement_settings.domain_penalty = limits->domain_price_us;
    services->placement_settings.region_penalty = limits->link_price_us;
    services->placement_settings.queue_max = limits->queue_max;
    services->placement_settings.patient_queue_max = limits->patient_queue_max;
    services->retry_burst = limits->retry_burst;
    services->retry_permille = limits->retry_permille;
    services->hedge_permille = limits->hedge_permille;
    for (size_t i = 0; i < services->count; i++) {
        Plc_SetSettings(&services->items[i]->placement,
                        &services->placement_settings);
    }
    set_budget_limits(services);
}

void
Svc_SetNodeCount(Services *services, size_t node_count)
{
    if (services->node_count != node_count) {
        services->node_count = node_count;
        set_budget_limits(services);
    }
}

Service *
Svc_FindOrAdd(Services *services, Str name)
{
    Service *service;

    for (size_t i = 0; i < services->count; i++) {
        if (Str_Equal(StrBuf_View(&services->items[i]->name), name)) {
            return services->items[i];
        }
    }
    if (services->count == services->cap) {
        services->cap = services->cap ? services->cap * 2 : 8;
        services->items =
            Mem_Resize(services->items, services->cap, sizeof(Service *));
    }
    service = Mem_Alloc(1, sizeof *service);
    services->items[services->count++] = service;
    StrBuf_Set(&service->name, name);
    Plc_Init(&service->placement, &services->placement_settings,
             services->rng);
    Rty_BudgetInit(&service->retry_budget, services->retry_permille,
                   get_burst_per_node(services));
    Rty_BudgetInit(&service->hedge_budget, services->hedge_permille,
                   get_burst_per_node(services));
    return service;
}

bool
Svc_HasBackend(const Services *services)
{
    for (size_t i = 0; i < services->count; i++) {
        if (services->items[i]->placement.row_count > 0) {
            return true;
        }
    }
    return false;
}

/* Removes the node of RECORD from the services that it does not serve: from
 * all if NO_BACKEND. */
static void
remove_from_other_services(Services *services, const MemberRecord *record,
                           bool no_backend)
{
    for (size_t i = 0; i < services->count; i++) {
        Service *service = services->items[i];
        if (no_backend || !Str_Equal(StrBuf_View(&service->name),
                                     StrBuf_View(&record->service))) {
            Plc_RemoveBackend(&service->placement, record->node);
        }
    }
}

void
Svc_OnMemberChange(Services *services, MemberChange change,
                   const MemberRecord *record, Instant now)
{
    bool no_backend = change == Mbr_REMOVED || !record->has_backend;
    BackendLocation location = {
        .node = record->node,
        .incarnation = record->incarnation,
        .region = record->region,
        .domain = record->domain,
    };

    remove_from_other_services(services, record, no_backend);
    if (!no_backend) {
        Service *service =
            Svc_FindOrAdd(services, StrBuf_View(&record->service));
        Plc_SetBackend(&service->placement, &location, &record->load, now);
    }
}
