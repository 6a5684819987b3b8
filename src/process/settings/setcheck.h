/* Checks of settings that have been read: lengths of the name and of the
 * operators' key, and values that must differ from one another (addresses,
 * names of failure domains, control replicas).
 */
#ifndef SETCHECK_H
#define SETCHECK_H

#include "process/settings/settings.h"
#include "value/json.h"

/* Adds a finding to OBJECT, which SETTINGS was read from, for each rule that
 * SETTINGS breaks. */
void Set_CheckValues(const Settings *settings, JsonObject *object);

#endif
