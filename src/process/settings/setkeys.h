/* The settings that hold CURVE keys. */
#ifndef SETKEYS_H
#define SETKEYS_H

#include "process/settings/settings.h"
#include "value/json.h"

/* Reads and checks the keys of OBJECT that begin with curve_.  Faults become
 * findings of OBJECT.  Without a list of allowed keys, this node's own public
 * key is the only one. */
void Set_ReadCurveKeys(Settings *settings, JsonObject *object);

#endif
