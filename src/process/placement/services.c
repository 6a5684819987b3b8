#include "process/placement/services.h"

#include "value/mem.h"

#define SAMPLE_SIZE 4 /* rows compared for one attempt */

/* Backend servers of one service kept by a node, by distance. */
enum { DOMAIN_QUOTA = 10, REGION_QUOTA = 4, OTHER_REGION_QUOTA = 2 };

/* The same of each other region, where calls are bound to regions. */
enum { BOUND_REGION_MINIMUM = 6 };

/* Hedges at once, each service and node. */
#define HEDGE_BURST 1.0

/* Members that come one after the other are taken into the subsets together,
 * this long after the last choice. */
#define SUBSET_INTERVAL Span_MS(50)

void
Svc_Init(Services *services, Addr self, uint16_t region, uint16_t domain,
         const MembershipTable *members, Rng *rng)
{
    *services = (Services){.rng = rng, .self = self, .members = members};
    services->placement_settings = (PlacementSettings){
        .policy = Plc_LEAST_WAIT,
        .region = region,
        .domain = domain,
        .sample_size = SAMPLE_SIZE,
    };
    services->subset_settings = (SubsetSettings){
        .region = region,
        .domain = domain,
        .quotas = {DOMAIN_QUOTA, REGION_QUOTA, OTHER_REGION_QUOTA},
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
                            HEDGE_BURST);
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
Svc_SetBound(Services *services, bool has_bound_calls)
{
    uint32_t minimum = has_bound_calls ? BOUND_REGION_MINIMUM : 0;

    if (services->subset_settings.region_minimum != minimum) {
        services->subset_settings.region_minimum = minimum;
        services->subsets_outdated = true;
    }
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
                   HEDGE_BURST);
    Hdg_InitGate(&service->hedge_gate);
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
 * all if NO_BACKEND.  Returns true when a service lost its last row. */
static bool
remove_from_other_services(Services *services, const MemberRecord *record,
                           bool no_backend)
{
    bool emptied = false;

    for (size_t i = 0; i < services->count; i++) {
        Service *service = services->items[i];
        if ((no_backend || !Str_Equal(StrBuf_View(&service->name),
                                      StrBuf_View(&record->service))) &&
            Plc_RemoveBackend(&service->placement, record->node)) {
            services->has_lost_row = true;
            emptied = emptied || service->placement.row_count == 0;
        }
    }
    return emptied;
}

static void
set_backend(Service *service, const MemberRecord *record, Instant now)
{
    BackendLocation location = {
        .node = record->node,
        .incarnation = record->incarnation,
        .region = record->region,
        .domain = record->domain,
    };

    Plc_SetBackend(&service->placement, &location, &record->load, now);
}

static bool
takes_work_for(const Services *services, const MemberRow *row, Str service)
{
    const MemberRecord *record = &row->record;

    return !row->is_removed && record->has_backend && record->load.slots &&
           !record->load.draining &&
           !Rgm_Has(services->evacuated, record->domain) &&
           Str_Equal(StrBuf_View(&record->service), service);
}

/* Lists the members whose backend servers take work for SERVICE.  The tag of
 * each is the index of its row.  SERVERS has room for all members. */
static size_t
list_servers(const Services *services, Str service, SubsetServer *servers)
{
    const MembershipTable *members = services->members;
    size_t count = 0;

    for (size_t i = 0; i < members->count; i++) {
        const MemberRow *row = &members->rows[i];
        if (takes_work_for(services, row, service)) {
            servers[count++] = (SubsetServer){
                .node = row->record.node,
                .region = row->record.region,
                .domain = row->record.domain,
                .tag = i,
            };
        }
    }
    return count;
}

static bool
is_kept(const SubsetServer *servers, size_t count, Addr node)
{
    for (size_t i = 0; i < count; i++) {
        if (servers[i].node == node) {
            return servers[i].is_kept;
        }
    }
    return false;
}

/* Makes the rows of SERVICE those of the kept SERVERS. */
static void
apply_subset(Services *services, Service *service, const SubsetServer *servers,
             size_t count, Instant now)
{
    PlacementTable *placement = &service->placement;

    for (size_t i = placement->row_count; i-- > 0;) {
        Addr node = placement->rows[i].location.node;
        if (!is_kept(servers, count, node)) {
            Plc_RemoveBackend(placement, node);
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (servers[i].is_kept &&
            !Plc_HasBackend(placement, servers[i].node)) {
            set_backend(service,
                        &services->members->rows[servers[i].tag].record, now);
        }
    }
}

/* Returns this node's position among the nodes of its failure domain. */
static SubsetPosition
find_position(const Services *services)
{
    const MembershipTable *members = services->members;
    SubsetPosition position;

    Sub_InitPosition(&position, services->self);
    for (size_t i = 0; i < members->count; i++) {
        const MemberRow *row = &members->rows[i];
        if (!row->is_removed &&
            (!row->record.is_replica || row->record.has_backend) &&
            row->record.region == services->subset_settings.region &&
            row->record.domain == services->subset_settings.domain) {
            Sub_CountNode(&position, row->record.node);
        }
    }
    return position;
}

static void
choose_subsets(Services *services, Instant now)
{
    SubsetPosition position = find_position(services);
    SubsetServer *servers =
        Mem_Alloc(services->members->count, sizeof *servers);

    for (size_t i = 0; i < services->count; i++) {
        Service *service = services->items[i];
        size_t count =
            list_servers(services, StrBuf_View(&service->name), servers);
        Sub_Choose(&services->subset_settings, &position, servers, count);
        apply_subset(services, service, servers, count, now);
    }
    Mem_Free(servers);
    services->subsets_outdated = false;
    services->has_lost_row = false;
    services->subsets_chosen_at = now;
}

void
Svc_OnMemberChange(Services *services, MemberChange change,
                   const MemberRecord *record, Instant now)
{
    bool no_backend = change == Mbr_REMOVED || !record->has_backend;
    bool emptied = remove_from_other_services(services, record, no_backend);

    if (!no_backend && !Rgm_Has(services->evacuated, record->domain)) {
        Service *service =
            Svc_FindOrAdd(services, StrBuf_View(&record->service));
        /* The first server of a service is used until the next choice. */
        if (service->placement.row_count == 0 ||
            Plc_HasBackend(&service->placement, record->node)) {
            set_backend(service, record, now);
        }
    }
    services->subsets_outdated = true;
    if (emptied) {
        choose_subsets(services, now);
    }
}

void
Svc_SetEvacuated(Services *services, DomainMask evacuated, Instant now)
{
    if (services->evacuated != evacuated) {
        services->evacuated = evacuated;
        choose_subsets(services, now);
    }
}

void
Svc_Tick(Services *services, Instant now)
{
    if (services->subsets_outdated &&
        (services->has_lost_row ||
         now - services->subsets_chosen_at >= SUBSET_INTERVAL)) {
        choose_subsets(services, now);
    }
}
