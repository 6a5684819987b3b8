/* Svc: the services that this node knows of.
 *
 * For each service it keeps the table of backend servers from which attempts
 * are placed, and the node's budgets of retries and hedges.  The node
 * (process/node.h) owns one Services and passes in changes of membership and
 * of the preset; calls (request/call.h) use the services by name.
 *
 * A placement table has a subset of the service's backend servers (see
 * subset.h).  A server that leaves is removed from it at once.  The subset is
 * chosen anew from the membership table by Svc_Tick after changes, and at once
 * when a change leaves a service without a row.
 */
#ifndef SERVICES_H
#define SERVICES_H

#include "process/membership/membership.h"
#include "process/placement/placement.h"
#include "process/placement/subset.h"
#include "request/hedge.h"
#include "request/retry.h"
#include "version/preset.h"

/* One service, as it is used for the calls of this node's callers. */
typedef struct {
    StrBuf name;
    PlacementTable placement;
    RetryBudget retry_budget;
    RetryBudget hedge_budget;
    HedgeGate hedge_gate;
} Service;

typedef struct {
    PlacementSettings placement_settings; /* the same for each service */
    uint32_t retry_permille;              /* retries per 1000 calls */
    uint32_t retry_burst;    /* retries in a burst, of all nodes with a backend
                                server together */
    size_t node_count;       /* nodes that share a burst; 0: this one only */
    uint32_t hedge_permille; /* hedges per 1000 calls */
    Rng *rng;
    Addr self; /* this node */
    SubsetSettings subset_settings;
    const MembershipTable *members; /* the node's; not owned */
    DomainMask evacuated;  /* failure domains to which nothing is sent */
    bool subsets_outdated; /* a change may call for other subsets */
    bool has_lost_row;     /* the placement tables lost a row since the last
                              choice of subsets */
    Instant subsets_chosen_at; /* 0: never */
    Service **items; /* owned; in the order in which they were added */
    size_t count;
    size_t cap;
} Services;

/* SELF, REGION and DOMAIN are the address, region and failure domain of this
 * node.  MEMBERS, the node's membership table, and RNG must outlive SERVICES;
 * MEMBERS is read from the first member change on. */
void Svc_Init(Services *services, Addr self, uint16_t region, uint16_t domain,
              const MembershipTable *members, Rng *rng);
void Svc_Finish(Services *services);

/* Applies the limits of the preset in force to all services. */
void Svc_SetLimits(Services *services, const PresetLimits *limits);

/* Tells whether some calls are bound to regions: of each other region more
 * servers are kept then. */
void Svc_SetBound(Services *services, bool has_bound_calls);

/* Sets the failure domains to which nothing is sent from now on, and chooses
 * the subsets anew when that changes. */
void Svc_SetEvacuated(Services *services, DomainMask evacuated, Instant now);

/* Sets the number of nodes that share a burst of retries: the nodes
 * with a backend server. */
void Svc_SetNodeCount(Services *services, size_t node_count);

/* Returns the service NAME, and adds it if it is new.  It stays valid until
 * Svc_Finish. */
Service *Svc_FindOrAdd(Services *services, Str name);

/* Whether a backend server of any service is known. */
bool Svc_HasBackend(const Services *services);

/* Updates the backend servers of the services after a CHANGE of membership;
 * RECORD is the node's new record, which the membership table already has. */
void Svc_OnMemberChange(Services *services, MemberChange change,
                        const MemberRecord *record, Instant now);

/* To be called often: chooses the subsets anew if members have changed, at
 * once after the loss of a row and else after a short interval. */
void Svc_Tick(Services *services, Instant now);

#endif
