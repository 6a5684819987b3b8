/* Opj: values as JSON, for the answers to operators. */
#ifndef OPJSON_H
#define OPJSON_H

#include <jansson.h>

#include "value/addr.h"
#include "value/str.h"
#include "version/config.h"

/* TEXT, or a note in its place where it is not UTF-8. */
json_t *Opj_Str(Str text);
json_t *Opj_Addr(Addr addr);
json_t *Opj_Version(ConfigVersion version);

#endif
