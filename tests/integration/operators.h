/* Ops: sends the requests of an operator to the nodes of a fleet, and checks
 * which configuration versions the nodes have in force.
 */
#ifndef OPERATORS_H
#define OPERATORS_H

#include <jansson.h>

#include "fleet.h"
#include "version/config.h"

/* The answer to an operator's request; Ops_FinishAnswer frees it. */
typedef struct {
    int status;   /* 0: no answer */
    json_t *body; /* owned; NULL: no JSON object or array */
} OpsAnswer;

/* A configuration change, for POST /v1/change. */
typedef struct {
    int vm; /* the request goes to the node of this VM */
    const char *id;
    const char *verb;
    const char *name; /* of the preset */
    ConfigVersion base;
    bool has_route; /* verb "put": the preset has a route for /visor/ */
} OpsChange;

/* Sends a request to VM's node.  Returns a descriptor for Ops_ReadAnswer; -1
 * when there is no connection. */
int Ops_SendRequest(Fleet *fleet, int vm, const char *method, const char *path,
                    Str body);

/* Sets ANSWER from the connection FD, which may be -1, and closes it.  The
 * answer must end before no byte arrives for WAIT. */
void Ops_ReadAnswer(int fd, Span wait, OpsAnswer *answer);
void Ops_FinishAnswer(OpsAnswer *answer);

/* Sends GET PATH to VM's node and sets ANSWER. */
void Ops_Get(Fleet *fleet, int vm, const char *path, OpsAnswer *answer);

/* Sends CHANGE.  Returns as Ops_SendRequest. */
int Ops_SendChange(Fleet *fleet, const OpsChange *change);

/* Sends CHANGE and sets ANSWER. */
void Ops_Change(Fleet *fleet, const OpsChange *change, OpsAnswer *answer);

/* Returns the member "outcome", valid as long as ANSWER; "" without one. */
const char *Ops_GetOutcome(const OpsAnswer *answer);

/* Returns the member "version" of OBJECT; {0, 0} without one.  OBJECT may be
 * NULL. */
ConfigVersion Ops_ParseVersion(const json_t *object);

/* Returns the newest version that the leader has, asked through VM; {0, 0}
 * when no leader answered. */
ConfigVersion Ops_GetNewestVersion(Fleet *fleet, int vm);

/* Sends CHANGE with its one id until it is accepted, through the nodes of
 * several VMs.  An empty change->base is set to the newest version.  Returns
 * false when WAIT has passed. */
bool Ops_RetryChange(Fleet *fleet, OpsChange *change, Span wait);

/* Returns the version in force at VM's node; {0, 0} when there is none or no
 * answer. */
ConfigVersion Ops_GetVersionInForce(Fleet *fleet, int vm);

/* Returns the number of a VM whose control replica leads under its lease, or
 * -1. */
int Ops_FindLeader(Fleet *fleet);

/* Waits for a leader.  Returns as Ops_FindLeader, -1 when WAIT has passed. */
int Ops_WaitForLeader(Fleet *fleet, Span wait);

/* Returns how many voters the current leader lists, or 0 without a leader.
 * With GENESIS only voters count that were listed when the log began. */
int Ops_CountVoters(Fleet *fleet, bool genesis);

/* The versions that each node had in force, to check that a node never goes
 * back to an older one.  Starts as {0}. */
typedef struct {
    ConfigVersion last_seen[Fleet_VMS_MAX]; /* last observed, by VM */
    int regression_count; /* times a node had an older version than before */
} OpsVersionWatch;

/* Reads the version in force at each node that runs, and updates WATCH. */
void Ops_ObserveVersions(Fleet *fleet, OpsVersionWatch *watch);

/* Observes until VERSION or a newer one is in force at each node that runs.
 * Returns the time that this took, or -1 when WAIT has passed. */
Span Ops_WaitForVersion(Fleet *fleet, OpsVersionWatch *watch,
                        ConfigVersion version, Span wait);

/* Sends the whole routing table REVISION on top of BASE to VM 0's node, whose
 * operators need no key, and checks that it is accepted.  ROUTES are JSON
 * objects; the services are visor and despachos. */
void Ops_PutRoutes(Fleet *fleet, int revision, int base, Str routes);

#endif
