/* Subsets: over a whole fleet, how many backend servers each node keeps and
 * at what distance, how evenly the servers are kept, and how much one member
 * more or less changes. */
#include <stdio.h>

#include "process/placement/subset.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* Most nodes that keep one server, at most, over the mean. */
#define MOST_OVER_MEAN 1.3

/* Fewest, at least: the same distance below. */
#define LEAST_OVER_MEAN 0.7

enum { DOMAINS_MAX = 8, MEMBERS_MAX = 1024 };

typedef struct {
    const char *name;
    int regions;
    int domains;              /* in all regions */
    int nodes;                /* in each failure domain */
    int servers[DOMAINS_MAX]; /* in each failure domain */
    uint32_t quotas[Sub_GROUP_COUNT];
    uint32_t kept;    /* by each node */
    uint32_t nearest; /* by each node, of its failure domain, at least */
} FleetCase;

static const FleetCase fleets[] = {
    {"all fit", 1, 4, 5, {2, 1, 1, 1}, {10, 4, 2}, 5, 1},
    {"a failure domain of a large service", 1, 1, 40, {40}, {4, 4, 0}, 8, 8},
    {"four failure domains", 1, 4, 10, {10, 10, 10, 10}, {4, 4, 0}, 8, 4},
    {"680 servers", 1, 4, 170, {170, 170, 170, 170}, {10, 4, 2}, 16, 12},
    {"eight failure domains",
     2,
     8,
     37,
     {20, 20, 20, 20, 20, 20, 20, 21},
     {10, 4, 2},
     16,
     10},
    {"failure domains of unequal size",
     2,
     8,
     37,
     {26, 16, 20, 20, 24, 16, 20, 19},
     {10, 4, 2},
     16,
     10},
    {"few servers in each",
     2,
     8,
     37,
     {4, 4, 4, 4, 4, 5, 4, 4},
     {10, 4, 2},
     16,
     4},
    {"none in two of them",
     2,
     8,
     37,
     {20, 0, 20, 20, 20, 0, 20, 20},
     {10, 4, 2},
     16,
     0},
    {"three regions", 3, 6, 20, {9, 9, 9, 9, 9, 9}, {10, 4, 2}, 16, 9},
};

/* The members of a fleet.  The first COUNT nodes of each failure domain have a
 * server of the service beside them. */
typedef struct {
    const FleetCase *layout;
    SubsetServer servers[MEMBERS_MAX];
    size_t server_count;
    uint32_t region_minimum;     /* as in SubsetSettings */
    size_t kept_by[MEMBERS_MAX]; /* nodes that keep a server, by tag */
} SubsetFleet;

static Addr
get_addr(int domain, int node)
{
    return ((Addr)0x7f000000 + (Addr)domain * 256 + (Addr)node + 1) << 16 |
           7400;
}

static uint16_t
get_region(const FleetCase *c, int domain)
{
    return (uint16_t)(domain * c->regions / c->domains);
}

static void
init_fleet(SubsetFleet *fleet, const FleetCase *c)
{
    *fleet = (SubsetFleet){.layout = c};
    for (int domain = 0; domain < c->domains; domain++) {
        for (int i = 0; i < c->servers[domain]; i++) {
            size_t tag = fleet->server_count++;
            fleet->servers[tag] = (SubsetServer){
                .node = get_addr(domain, i),
                .region = get_region(c, domain),
                .domain = (uint16_t)domain,
                .tag = tag,
            };
        }
    }
}

/* Chooses the subset of one node among NODES of its failure domain, without
 * the server of node WITHOUT, into SERVERS.  Returns how many are kept. */
static size_t
choose(const SubsetFleet *fleet, int domain, int node, int nodes, Addr without,
       SubsetServer *servers, size_t *count)
{
    const FleetCase *c = fleet->layout;
    SubsetSettings settings = {.region = get_region(c, domain),
                               .domain = (uint16_t)domain,
                               .region_minimum = fleet->region_minimum};
    SubsetPosition position;

    for (int i = 0; i < Sub_GROUP_COUNT; i++) {
        settings.quotas[i] = c->quotas[i];
    }
    Sub_InitPosition(&position, get_addr(domain, node));
    for (int i = 0; i < nodes; i++) {
        Sub_CountNode(&position, get_addr(domain, i));
    }
    *count = 0;
    for (size_t i = 0; i < fleet->server_count; i++) {
        if (fleet->servers[i].node != without) {
            servers[(*count)++] = fleet->servers[i];
        }
    }
    return Sub_Choose(&settings, &position, servers, *count);
}

START_TEST(keeps_near_servers)
{
    const FleetCase *c = &fleets[_i];
    static SubsetFleet fleet;
    static SubsetServer servers[MEMBERS_MAX];

    init_fleet(&fleet, c);
    for (int domain = 0; domain < c->domains; domain++) {
        for (int node = 0; node < c->nodes; node++) {
            size_t count;
            uint32_t kept = 0;
            uint32_t near = 0;
            ck_assert_uint_eq(choose(&fleet, domain, node, c->nodes, Addr_NONE,
                                     servers, &count),
                              c->kept);
            for (size_t i = 0; i < count; i++) {
                kept += servers[i].is_kept;
                near += servers[i].is_kept && servers[i].domain == domain;
            }
            ck_assert_uint_eq(kept, c->kept);
            ck_assert_msg(near >= c->nearest, "%s: %u near", c->name, near);
        }
    }
}
END_TEST

typedef struct {
    const char *name;
    int servers[DOMAINS_MAX]; /* in each failure domain; two for a region */
    int regions;
    uint32_t minimum;
    uint32_t kept_min; /* of each other region, by a node of the first */
} BoundCase;

static const BoundCase bound[] = {
    {"three regions", {9, 9, 9, 9, 9, 9}, 3, 6, 6},
    {"four regions", {4, 4, 4, 4, 4, 4, 4, 4}, 4, 3, 3},
    {"a region with two servers", {9, 9, 1, 1, 9, 9}, 3, 6, 2},
    {"a region with one server", {20, 20, 0, 1, 20, 20}, 3, 6, 1},
};

/* Of each other region a node keeps the minimum, or all servers. */
START_TEST(keeps_some_of_each_region)
{
    const BoundCase *c = &bound[_i];
    static SubsetFleet fleet;
    static SubsetServer servers[MEMBERS_MAX];
    FleetCase layout = {.regions = c->regions,
                        .domains = 2 * c->regions,
                        .nodes = 20,
                        .quotas = {10, 4, 2}};

    for (int i = 0; i < layout.domains; i++) {
        layout.servers[i] = c->servers[i];
    }
    init_fleet(&fleet, &layout);
    fleet.region_minimum = c->minimum;
    for (int node = 0; node < layout.nodes; node++) {
        uint32_t kept[DOMAINS_MAX] = {0};
        uint32_t total = 0;
        size_t count;
        size_t result =
            choose(&fleet, 0, node, layout.nodes, Addr_NONE, servers, &count);
        for (size_t i = 0; i < count; i++) {
            kept[servers[i].region] += servers[i].is_kept;
            total += servers[i].is_kept;
        }
        ck_assert_uint_eq(result, total);
        for (int region = 1; region < c->regions; region++) {
            ck_assert_msg(kept[region] >= c->kept_min, "%s: %u of region %d",
                          c->name, kept[region], region);
        }
    }
}
END_TEST

/* Every server is kept by about as many nodes as any other; a failure domain
 * with few servers has more nodes for each of them. */
START_TEST(keeps_servers_evenly)
{
    const FleetCase *c = &fleets[_i];
    static SubsetFleet fleet;
    static SubsetServer servers[MEMBERS_MAX];
    size_t most = 0;
    size_t least = SIZE_MAX;
    double mean;

    init_fleet(&fleet, c);
    for (int domain = 0; domain < c->domains; domain++) {
        for (int node = 0; node < c->nodes; node++) {
            size_t count;
            choose(&fleet, domain, node, c->nodes, Addr_NONE, servers, &count);
            for (size_t i = 0; i < count; i++) {
                fleet.kept_by[servers[i].tag] += servers[i].is_kept;
            }
        }
    }
    for (size_t i = 0; i < fleet.server_count; i++) {
        most = fleet.kept_by[i] > most ? fleet.kept_by[i] : most;
        least = fleet.kept_by[i] < least ? fleet.kept_by[i] : least;
    }
    mean =
        (double)c->domains * c->nodes * c->kept / (double)fleet.server_count;
    printf("%s: most %.2f and least %.2f over the mean of %.1f nodes\n",
           c->name, (double)most / mean, (double)least / mean, mean);
    ck_assert_msg((double)most <= MOST_OVER_MEAN * mean, "%s: %zu of %.1f",
                  c->name, most, mean);
    ck_assert_msg((double)least >= LEAST_OVER_MEAN * mean, "%s: %zu of %.1f",
                  c->name, least, mean);
}
END_TEST

/* Chooses as above and sets KEPT by tag. */
static void
list_kept(const SubsetFleet *fleet, int node, int nodes, Addr without,
          bool *kept)
{
    static SubsetServer servers[MEMBERS_MAX];
    size_t count;

    choose(fleet, 0, node, nodes, without, servers, &count);
    for (size_t i = 0; i < count; i++) {
        kept[servers[i].tag] = servers[i].is_kept;
    }
}

static int
count_differences(const bool *a, const bool *b)
{
    int differences = 0;

    for (int i = 0; i < MEMBERS_MAX; i++) {
        differences += a[i] != b[i];
    }
    return differences;
}

/* Servers of the service for each node of a failure domain, rounded up: how
 * far a subset moves along a ring when a node more comes before it. */
static int
get_step_max(const SubsetFleet *fleet)
{
    size_t nodes = (size_t)fleet->layout->nodes;

    return (int)((fleet->server_count + nodes - 1) / nodes);
}

/* A server that leaves moves a subset by at most one server of each group, in
 * addition to its own replacement: one goes out and one comes in.  A node more
 * in the failure domain moves it by one step. */
START_TEST(changes_little)
{
    const FleetCase *c = &fleets[_i];
    static SubsetFleet fleet;

    init_fleet(&fleet, c);
    for (int node = 0; node < c->nodes; node++) {
        bool before[MEMBERS_MAX] = {false};
        bool wider[MEMBERS_MAX] = {false};
        list_kept(&fleet, node, c->nodes, Addr_NONE, before);
        list_kept(&fleet, node, c->nodes + 1, Addr_NONE, wider);
        ck_assert_int_le(count_differences(before, wider),
                         2 * (get_step_max(&fleet) + Sub_GROUP_COUNT));
        for (size_t i = 0; i < fleet.server_count; i += 7) {
            bool after[MEMBERS_MAX] = {false};
            list_kept(&fleet, node, c->nodes, fleet.servers[i].node, after);
            after[i] = before[i];
            ck_assert_int_le(count_differences(before, after),
                             2 * Sub_GROUP_COUNT);
        }
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {keeps_near_servers, ROWS(fleets)},
        {keeps_servers_evenly, ROWS(fleets)},
        {changes_little, ROWS(fleets)},
        {keeps_some_of_each_region, ROWS(bound)},
    };

    return Suite_Run("subset", tests, ROWS(tests), 20);
}
