/* Cha: the bodies of answers about presets and versions. */
#ifndef CHGANSWER_H
#define CHGANSWER_H

#include "connection/configmsg.h"
#include "process/control.h"
#include "process/operate.h"

/* {"outcome": OUTCOME, "detail": DETAIL} */
json_t *Cha_Outcome(Str outcome, Str detail);

/* What became of a change, with its HTTP status. */
OprAnswer Cha_Change(const ChangedMsg *msg);

/* The presets there are. */
json_t *Cha_Presets(const PresetsMsg *msg);

/* One preset, or 404. */
OprAnswer Cha_Preset(const PresetsMsg *msg, Str name);

/* The version in force at each of NODES; VERSION is the newest. */
json_t *Cha_Versions(const Settings *settings, const Nvs *nodes,
                     CfgVersion version, bool current, Str preset);

/* The control replicas as the one at this node sees them. */
json_t *Cha_Replicas(const Control *control, bool current);

#endif
