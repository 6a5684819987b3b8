/* Opj: values as JSON, for the answers to operators.  Each function returns a
 * new reference.
 */
#ifndef OPJSON_H
#define OPJSON_H

#include <jansson.h>

#include "value/addr.h"
#include "value/str.h"
#include "version/config.h"

/* A string of TEXT, or of "(not UTF-8)" when TEXT is not valid UTF-8. */
json_t *Opj_Str(Str text);

/* "IP:PORT" */
json_t *Opj_Addr(Addr addr);

/* {"term": TERM, "index": INDEX} */
json_t *Opj_Version(ConfigVersion version);

#endif
