/* Cha: the bodies of answers about presets and versions. */
#ifndef CONFIGJSON_H
#define CONFIGJSON_H

#include "connection/configmsg.h"
#include "process/control.h"
#include "process/operate.h"

/* {"outcome": OUTCOME, "detail": DETAIL} */
json_t *Configjson_Outcome(Str outcome, Str detail);

/* What became of a change, with its HTTP status. */
OprAnswer Configjson_ChangeAnswer(const ChangedMsg *msg);

/* The presets there are. */
json_t *Configjson_Presets(const PresetsMsg *msg);

/* One preset, or 404. */
OprAnswer Configjson_PresetAnswer(const PresetsMsg *msg, Str name);

/* The version in force at each of NODES; VERSION is the newest. */
json_t *Configjson_Versions(const Settings *settings,
                            const NodeVersionTable *nodes, CfgVersion version,
                            bool current, Str preset);

/* The control replicas as the one at this node sees them. */
json_t *Configjson_Replicas(const ControlReplica *control, bool current);

#endif
