/* Sets: control replicas to begin with, as settings. */
#ifndef SETSEEDS_H
#define SETSEEDS_H

#include "process/settings.h"
#include "value/json.h"

/* Read "control_seeds" with "control_port", "control", "begin_history" and
 * "control_voters"; nothing when there are no seeds.  A seed's IP counts; the
 * port towards other nodes is the same on every control replica. */
void Set_ReadSeeds(Settings *settings, JsonObject *object);

#endif
