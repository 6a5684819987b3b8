/* The setting "bounds": times that the platform under a node states, as texts
 * NAME=VALUE.  Unknown names are ignored, since a platform states more than a
 * node needs.
 */
#ifndef SETBOUNDS_H
#define SETBOUNDS_H

#include "process/settings/settings.h"
#include "value/json.h"

/* Reads "bounds" of OBJECT.  "stop_grace_s" is the time from SIGTERM until the
 * platform kills the process, in seconds; stop_bound is then shorter by the
 * time that the process needs to exit.  Without it stop_bound is unchanged.
 * "config_apply_ms" is the time within which a change of the configuration
 * must be in force everywhere, in milliseconds; without it 2 s.  Fractions of
 * these two are ignored.  "revoke_ms" with "revoke_strict", "quota_..." and
 * "cold_..." are as in Settings; without them nothing is bounded.
 * Faults become findings of OBJECT. */
void Set_ReadBounds(Settings *settings, JsonObject *object);

#endif
