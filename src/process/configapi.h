/* Chg: the operators' paths about presets and versions, served on every node.
 *
 * A request is passed on to the leader, which this node finds by asking.  A
 * change goes only to a replica that has just said it is the leader, always
 * with its one id, and again when no outcome comes; so a change that went to
 * nobody is known not to have run.
 */
#ifndef CONFIGAPI_H
#define CONFIGAPI_H

#include "process/control.h"
#include "process/operate.h"
#include "process/versionfollower.h"
#include "version/inforce.h"

typedef struct ConfigRequest ConfigRequest;

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    const VersionFollower *version_follower;
    const MembershipTable *membership;
    const ControlReplica *control;
    InForce *const *in_force; /* of the node */
    ConfigRequest *requests;
    uint64_t last_number;
    size_t next_replica; /* control replica to ask */
    LoopTimer tick;
} ConfigApi;

void Configapi_Init(ConfigApi *changes, Loop *loop, Net *net,
                    Counters *counters, const Settings *settings,
                    const VersionFollower *follow,
                    const MembershipTable *membership,
                    const ControlReplica *control, InForce *const *in_force);
void Configapi_Finish(ConfigApi *changes);

/* Serve /v1/presets, /v1/presets/show, /v1/change, /v1/versions and
 * /v1/replicas. */
void Configapi_Serve(ConfigApi *changes, Opr *opr);

#endif
