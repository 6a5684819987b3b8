/* Configapi: the operators' HTTP paths about presets, versions and routing.
 * Every node serves them: it sends each request on to the leader of the
 * control replicas, which it finds by querying one replica after the other,
 * and answers when the leader has answered.  Presets and the routing may be
 * answered by any replica that is current.  The node calls Configapi_Init,
 * then Configapi_Serve once its operators' HTTP server exists.
 *
 * A change is sent only to a replica that has just reported that it is the
 * leader, always with the same change id, and is sent again while no outcome
 * arrives.  So a change that was never sent is known not to have run.
 */
#ifndef CONFIGAPI_H
#define CONFIGAPI_H

#include "process/control/control.h"
#include "process/control/versionfollower.h"
#include "process/operators/operatorapi.h"
#include "version/sharedpreset.h"

typedef struct ConfigRequest ConfigRequest;

/* The operators' requests that wait for an answer, and the modules that they
 * use. */
typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    const VersionFollower *version_follower;
    const MembershipTable *membership;
    const ControlReplica *control;
    SharedPreset *const *in_force; /* points to the node's preset in force */
    ConfigRequest *requests;       /* linked list, newest first; owned */
    uint64_t last_number;          /* of the last request */
    size_t next_replica;           /* index in settings->replicas */
    LoopTimer tick;
} ConfigApi;

/* Registers the message handlers.  All pointers must outlive API. */
void Configapi_Init(ConfigApi *api, Loop *loop, Net *net, Counters *counters,
                    const Settings *settings,
                    const VersionFollower *version_follower,
                    const MembershipTable *membership,
                    const ControlReplica *control,
                    SharedPreset *const *in_force);
/* Answers every request that waits, as if its deadline had passed.  The
 * operators' HTTP server must still exist. */
void Configapi_Finish(ConfigApi *api);

/* Registers the paths /v1/presets, /v1/presets/show, /v1/change, /v1/versions,
 * /v1/replicas and those of Configapi_ServeRouting. */
void Configapi_Serve(ConfigApi *api, OperatorApi *opr);

#endif
