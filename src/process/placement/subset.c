#include "process/placement/subset.h"

#include <stdlib.h>

#include "value/str.h"

static uint64_t
hash_node(Addr node)
{
    return Str_Hash(Str_From((const char *)&node, sizeof node));
}

/* Orders addresses by hash; equal hashes by the address itself. */
static int
compare_nodes(Addr a, Addr b)
{
    uint64_t hash_a = hash_node(a);
    uint64_t hash_b = hash_node(b);

    if (hash_a != hash_b) {
        return hash_a < hash_b ? -1 : 1;
    }
    return a < b ? -1 : a > b;
}

static int
compare_servers(const void *a, const void *b)
{
    return compare_nodes(((const SubsetServer *)a)->node,
                         ((const SubsetServer *)b)->node);
}

void
Sub_InitPosition(SubsetPosition *position, Addr self)
{
    *position = (SubsetPosition){.self = self, .count = 1};
}

void
Sub_CountNode(SubsetPosition *position, Addr node)
{
    if (node == position->self) {
        return;
    }
    position->count++;
    position->before += compare_nodes(node, position->self) < 0;
}

static SubsetGroup
get_group(const SubsetSettings *settings, const SubsetServer *server)
{
    if (server->region != settings->region) {
        return Sub_OTHER_REGION;
    }
    return server->domain == settings->domain ? Sub_SAME_DOMAIN
                                              : Sub_SAME_REGION;
}

/* Sets how many of the SIZES servers of each group are kept. */
static size_t
share_out(const SubsetSettings *settings, const size_t *sizes, size_t *shares)
{
    size_t unused = 0;
    size_t total = 0;

    for (int i = 0; i < Sub_GROUP_COUNT; i++) {
        size_t quota = settings->quotas[i];
        shares[i] = quota < sizes[i] ? quota : sizes[i];
        unused += quota - shares[i];
    }
    for (int i = 0; i < Sub_GROUP_COUNT; i++) {
        size_t rest = sizes[i] - shares[i];
        size_t more = rest < unused ? rest : unused;
        shares[i] += more;
        unused -= more;
        total += shares[i];
    }
    return total;
}

/* Whether the server at INDEX of a ring of SIZE servers is one of the SHARE
 * servers from this node's position on. */
static bool
is_in_window(const SubsetPosition *position, size_t index, size_t size,
             size_t share)
{
    size_t start =
        (size_t)((uint64_t)position->before * size / position->count);

    return size > 0 && (index + size - start) % size < share;
}

static size_t
count_in_region(const SubsetServer *servers, size_t count, uint16_t region)
{
    size_t found = 0;

    for (size_t i = 0; i < count; i++) {
        found += servers[i].region == region;
    }
    return found;
}

/* Whether SERVERS[POSITION] is the first one of its region. */
static bool
is_first_of_region(const SubsetServer *servers, size_t position)
{
    return count_in_region(servers, position, servers[position].region) == 0;
}

/* Keeps the servers of REGION that follow this node's place on the ring of
 * that region, too.  Returns how many were not kept before. */
static size_t
keep_of_region(const SubsetSettings *settings, const SubsetPosition *position,
               SubsetServer *servers, size_t count, uint16_t region)
{
    size_t size = count_in_region(servers, count, region);
    size_t index = 0;
    size_t added = 0;

    for (size_t i = 0; i < count; i++) {
        if (servers[i].region == region &&
            is_in_window(position, index++, size, settings->region_minimum) &&
            !servers[i].is_kept) {
            servers[i].is_kept = true;
            added++;
        }
    }
    return added;
}

size_t
Sub_Choose(const SubsetSettings *settings, const SubsetPosition *position,
           SubsetServer *servers, size_t count)
{
    size_t sizes[Sub_GROUP_COUNT] = {0};
    size_t shares[Sub_GROUP_COUNT];
    size_t indexes[Sub_GROUP_COUNT] = {0};
    size_t total;

    if (count) {
        qsort(servers, count, sizeof *servers, compare_servers);
    }
    for (size_t i = 0; i < count; i++) {
        sizes[get_group(settings, &servers[i])]++;
    }
    total = share_out(settings, sizes, shares);
    for (size_t i = 0; i < count; i++) {
        SubsetGroup group = get_group(settings, &servers[i]);
        servers[i].is_kept = is_in_window(position, indexes[group]++,
                                          sizes[group], shares[group]);
    }
    for (size_t i = 0; i < count && settings->region_minimum; i++) {
        if (servers[i].region != settings->region &&
            is_first_of_region(servers, i)) {
            total += keep_of_region(settings, position, servers, count,
                                    servers[i].region);
        }
    }
    return total;
}
