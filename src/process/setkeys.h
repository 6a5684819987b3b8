/* The part of the settings that holds CURVE keys. */
#ifndef SETKEYS_H
#define SETKEYS_H

#include "process/settings.h"
#include "value/json.h"

/* Read and check what begins with curve_. */
void Set_ReadCurveKeys(Settings *settings, JsonObject *object);

#endif
