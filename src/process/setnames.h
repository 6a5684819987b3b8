/* Setn: names of header fields, as settings. */
#ifndef SETNAMES_H
#define SETNAMES_H

#include "process/settings.h"
#include "value/json.h"

/* Read "header_fields"; what it leaves out has the product's own name. */
void Set_ReadNames(SetNames *names, JsonObject *object);
void Set_FinishNames(SetNames *names);

#endif
