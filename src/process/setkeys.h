/* The part of the settings that holds CURVE keys. */
#ifndef SETKEYS_H
#define SETKEYS_H

#include "process/settings.h"
#include "value/json.h"

/* Read and check curve_public, curve_secret and curve_allowed. */
void Set_ReadKeys(Settings *settings, JsnObject *object);

#endif
