/* What only all settings together can show to be wrong. */
#ifndef SETCHECK_H
#define SETCHECK_H

#include "process/settings.h"
#include "value/json.h"

/* Add a finding for each rule that SETTINGS breaks. */
void Set_CheckValues(const Settings *settings, JsonObject *object);

#endif
