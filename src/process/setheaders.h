/* Setn: names of header fields, as settings. */
#ifndef SETHEADERS_H
#define SETHEADERS_H

#include "process/settings.h"
#include "value/json.h"

/* Read "header_fields"; what it leaves out has the product's own name. */
void Set_ReadHeaderFields(HeaderFieldNames *names, JsonObject *object);
void Set_FinishHeaderFields(HeaderFieldNames *names);

#endif
