/* Svc: the services this node knows, each with its placement and budgets. */
#ifndef SERVICES_H
#define SERVICES_H

#include "process/membership.h"
#include "process/placement.h"
#include "request/retry.h"
#include "version/preset.h"

typedef struct {
    StrBuf name;
    PlacementTable placement;
    RetryBudget retry_budget;
    RetryBudget hedge_budget;
} Service;

typedef struct {
    PlacementSettings placement_settings; /* for each service */
    uint32_t retry_permille;
    uint32_t retry_burst; /* over all nodes */
    size_t node_count;    /* that share it */
    uint32_t hedge_permille;
    Rng *rng;
    Service **items;
    size_t count;
    size_t cap;
} Services;

void Svc_Init(Services *services, Addr self, uint16_t region, uint16_t domain,
              Rng *rng);
void Svc_Finish(Services *services);

/* The limits of the preset now in force. */
void Svc_SetLimits(Services *services, const PresetLimits *limits);

/* So many nodes take callers. */
void Svc_SetNodeCount(Services *services, size_t node_count);

/* The service NAME, made when it is new. */
Service *Svc_FindOrAdd(Services *services, Str name);

/* Some backend server, of whichever service, is known. */
bool Svc_HasBackend(const Services *services);

/* Follow a change of membership. */
void Svc_OnMemberChange(Services *services, MemberChange change,
                        const MemberRecord *record, Instant now);

#endif
