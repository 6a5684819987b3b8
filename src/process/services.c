#include "process/services.h"

#include "value/mem.h"

#define SAMPLE 4
#define ROWS_MAX 16 /* backend servers of one service known to a node */

void
Svc_Init(Services *services, Addr self, uint16_t region, uint16_t domain,
         Rng *rng)
{
    *services = (Services){.rng = rng};
    services->placement = (PlacementSettings){
        .policy = Plc_LEAST_WAIT,
        .self = self,
        .region = region,
        .domain = domain,
        .rows_max = ROWS_MAX,
        .sample_size = SAMPLE,
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

static double
burst_share(const Services *services)
{
    return Rty_BurstPerNode(services->retry_burst, services->nodes);
}

static void
set_budgets(Services *services)
{
    for (size_t i = 0; i < services->count; i++) {
        Service *service = services->items[i];
        Rty_BudgetSetLimits(&service->retries, services->retry_permille,
                            burst_share(services));
        Rty_BudgetSetLimits(&service->hedges, services->hedge_permille,
                            burst_share(services));
    }
}

void
Svc_SetLimits(Services *services, const PresetLimits *limits)
{
    services->placement.domain_penalty = limits->domain_price_us;
    services->placement.region_penalty = limits->link_price_us;
    services->placement.queue_max = limits->queue_max;
    services->placement.patient_queue_max = limits->patient_queue_max;
    services->retry_burst = limits->retry_burst;
    services->retry_permille = limits->retry_permille;
    services->hedge_permille = limits->hedge_permille;
    for (size_t i = 0; i < services->count; i++) {
        Plc_SetSettings(&services->items[i]->placement, &services->placement);
    }
    set_budgets(services);
}

void
Svc_SetNodes(Services *services, size_t nodes)
{
    if (services->nodes != nodes) {
        services->nodes = nodes;
        set_budgets(services);
    }
}

Service *
Svc_Get(Services *services, Str name)
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
    Plc_Init(&service->placement, &services->placement, services->rng);
    Rty_BudgetInit(&service->retries, services->retry_permille,
                   burst_share(services));
    Rty_BudgetInit(&service->hedges, services->hedge_permille,
                   burst_share(services));
    return service;
}

bool
Svc_KnowsAny(const Services *services)
{
    for (size_t i = 0; i < services->count; i++) {
        if (services->items[i]->placement.row_count > 0) {
            return true;
        }
    }
    return false;
}

static void
drop_elsewhere(Services *services, const MemberRecord *record, bool gone)
{
    for (size_t i = 0; i < services->count; i++) {
        Service *service = services->items[i];
        if (gone || !Str_Equal(StrBuf_View(&service->name),
                               StrBuf_View(&record->service))) {
            Plc_RemoveBackend(&service->placement, record->node);
        }
    }
}

void
Svc_OnMember(Services *services, MemberChange change,
             const MemberRecord *record, Instant now)
{
    bool gone = change == Mbr_REMOVED || !record->has_backend;
    BackendLocation place = {
        .node = record->node,
        .incarnation = record->incarnation,
        .region = record->region,
        .domain = record->domain,
    };

    drop_elsewhere(services, record, gone);
    if (!gone) {
        Service *service = Svc_Get(services, StrBuf_View(&record->service));
        Plc_SetBackend(&service->placement, &place, &record->load, now);
    }
}
