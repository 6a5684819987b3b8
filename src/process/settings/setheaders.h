/* The settings that name header fields. */
#ifndef SETHEADERS_H
#define SETHEADERS_H

#include "process/settings/settings.h"
#include "value/json.h"

/* Reads "header_fields" of OBJECT into NAMES, which must be empty.  A field
 * that is left out gets the product's default name; some of these are empty.
 * Faults become findings of OBJECT. */
void Set_ReadHeaderFields(HeaderFieldNames *names, JsonObject *object);

/* Frees the strings of NAMES. */
void Set_FinishHeaderFields(HeaderFieldNames *names);

#endif
