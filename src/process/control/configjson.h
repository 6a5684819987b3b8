/* Configjson: the JSON bodies, and where they depend on the outcome the HTTP
 * statuses, of Configapi's answers about presets and versions.  The caller
 * owns each body that is returned.
 */
#ifndef CONFIGJSON_H
#define CONFIGJSON_H

#include "connection/configmsg.h"
#include "process/control/control.h"
#include "process/operators/operatorapi.h"

/* {"outcome": OUTCOME, "detail": DETAIL} */
json_t *Configjson_Outcome(Str outcome, Str detail);

/* The outcome of a change, with its HTTP status. */
OperatorAnswer Configjson_ChangeAnswer(const ConfigChangeReplyMessage *msg);

/* The names of all presets, the version of the last change of each, and which
 * one is in force. */
json_t *Configjson_Presets(const PresetsReplyMessage *msg);

/* The preset NAME, which MSG holds; 404 when there is none. */
OperatorAnswer Configjson_PresetAnswer(const PresetsReplyMessage *msg,
                                       Str name);

/* The version in force at each of NODES, and under "missing" the nodes that
 * are present with a version older than VERSION, the newest one.  CURRENT: all
 * of this comes from the leader.  PRESET is the name of the preset in
 * force. */
json_t *Configjson_Versions(const Settings *settings,
                            const NodeVersionTable *nodes,
                            ConfigVersion version, bool current, Str preset,
                            Str evacuated);

/* The control replicas as CONTROL, the replica at this node, knows them.
 * CURRENT: CONTROL is the leader. */
json_t *Configjson_Replicas(const ControlReplica *control, bool current);

#endif
