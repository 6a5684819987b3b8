/* Sub: chooses the subset of a service's backend servers that a node keeps.
 *
 * A node of a large fleet knows all members, but sends attempts to a bounded
 * number of backend servers of each service, most of them near it.  There are
 * three groups by distance: the node's own failure domain, the rest of its
 * region, and the other regions.  Each group has a quota; what a group cannot
 * fill goes to the others, the nearest first.
 *
 * Within a group the servers form a ring, in the order of a hash of their
 * addresses.  The nodes of a failure domain are spread evenly over the ring,
 * each at its own position, and a node keeps the servers that follow.  So
 * every server is kept by about as many nodes as any other of its group.  One
 * server more or less shifts a subset by one server of its group or by none,
 * one node more or less by as many as there are servers for each node.
 *
 * Source: the deterministic aperture of Finagle, Twitter's RPC library.
 */
#ifndef SUBSET_H
#define SUBSET_H

#include <stdbool.h>
#include <stddef.h>

#include "value/addr.h"

/* Distance of a backend server from this node. */
typedef enum {
    Sub_SAME_DOMAIN,
    Sub_SAME_REGION, /* in another failure domain */
    Sub_OTHER_REGION,
    Sub_GROUP_COUNT
} SubsetGroup;

typedef struct {
    uint16_t region;                  /* of this node */
    uint16_t domain;                  /* failure domain of this node */
    uint32_t quotas[Sub_GROUP_COUNT]; /* servers kept of each group */
    /* Servers kept of each single other region at least, for requests that may
     * not run elsewhere; 0: no such bound. */
    uint32_t region_minimum;
} SubsetSettings;

/* Position of a node among the nodes of its failure domain, in the order of a
 * hash of their addresses. */
typedef struct {
    Addr self;
    uint32_t before; /* nodes that come before this one */
    uint32_t count;  /* nodes, this one included */
} SubsetPosition;

/* A backend server that takes work. */
typedef struct {
    Addr node;  /* the node beside it */
    size_t tag; /* the caller's, for example an index */
    uint16_t region;
    uint16_t domain;
    bool is_kept; /* set by Sub_Choose */
} SubsetServer;

/* Starts with SELF alone. */
void Sub_InitPosition(SubsetPosition *position, Addr self);

/* Counts NODE, of the same failure domain; SELF is not counted again. */
void Sub_CountNode(SubsetPosition *position, Addr node);

/* Sets is_kept in each of SERVERS, and changes their order.  Returns how many
 * are kept: the sum of the quotas, or all COUNT if there are fewer, and those
 * that region_minimum adds. */
size_t Sub_Choose(const SubsetSettings *settings,
                  const SubsetPosition *position, SubsetServer *servers,
                  size_t count);

#endif
