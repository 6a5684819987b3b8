/* Ops: what an operator asks of a fleet, and watches in it. */
#ifndef OPERATORS_H
#define OPERATORS_H

#include <jansson.h>

#include "fleet.h"
#include "version/config.h"

typedef struct {
    int status; /* 0: no answer */
    json_t *body;
} OpsAnswer;

typedef struct {
    int vm; /* whose node is asked */
    const char *id;
    const char *verb;
    const char *name;
    ConfigVersion base;
    bool has_route; /* of put: the preset has a route for /visor/ */
} OpsChange;

/* A request that is out; Ops_ReadAnswer ends it. */
int Ops_SendRequest(Fleet *fleet, int vm, const char *method, const char *path,
                    Str body);
void Ops_ReadAnswer(int fd, Span wait, OpsAnswer *answer);
void Ops_FinishAnswer(OpsAnswer *answer);

void Ops_Get(Fleet *fleet, int vm, const char *path, OpsAnswer *answer);
int Ops_SendChange(Fleet *fleet, const OpsChange *change);
void Ops_Change(Fleet *fleet, const OpsChange *change, OpsAnswer *answer);

const char *Ops_GetOutcome(const OpsAnswer *answer);
ConfigVersion Ops_ParseVersion(const json_t *object);

/* The newest version, as the leader tells it through VM; {0, 0}: no leader
 * answered. */
ConfigVersion Ops_GetNewestVersion(Fleet *fleet, int vm);

/* Send CHANGE on the newest version, through one VM after the other with
 * its one id, until it is accepted. */
bool Ops_RetryChange(Fleet *fleet, OpsChange *change, Span wait);

/* The version in force at VM's node; {0, 0}: none, or no answer. */
ConfigVersion Ops_GetVersionInForce(Fleet *fleet, int vm);

/* Number of the VM whose replica leads under its lease, or -1. */
int Ops_FindLeader(Fleet *fleet);
int Ops_WaitForLeader(Fleet *fleet, Span wait);

/* Voters that the current leader counts; of these, with GENESIS, only those
 * that were there from the beginning. */
int Ops_CountVoters(Fleet *fleet, bool genesis);

/* What every node had in force, seen never to go back. */
typedef struct {
    ConfigVersion last_seen[Fleet_VMS_MAX];
    int regression_count; /* times an older version was seen */
} OpsVersionWatch;

void Ops_ObserveVersions(Fleet *fleet, OpsVersionWatch *watch);

/* Observe until VERSION or a newer one is in force at each node that runs;
 * the time it took, or -1 after WAIT. */
Span Ops_WaitForVersion(Fleet *fleet, OpsVersionWatch *watch,
                        ConfigVersion version, Span wait);

#endif
