/* Rtg: the routing that operators send: routes by host and path prefix, the
 * services they lead to, and bounds on what callers send, as one document
 * under the operators' own revision number.
 *
 *     {"revision": 7, "routes": [...], "services": [...], "limits": {...}}
 *
 * It is a part of the preset in force: to revise it makes a new version of
 * that preset.  A revision is sent whole, or as changes to named items:
 *
 *     {"revision": 9, "upsert": {"routes": [...]}, "remove": {"routes":
 * [...]}}
 *
 * Members that this program does not know are kept and given back.
 */
#ifndef ROUTING_H
#define ROUTING_H

#include <jansson.h>

#include "value/finding.h"
#include "version/preset.h"

/* Read ROUTING, NULL for none, into PRESET, checked as a whole. */
void Rtg_Parse(Preset *preset, json_t *routing, FindingList *findings);

/* The preset PRESET_JSON with its routing replaced by SENT, or changed by it
 * when PATCH; false with findings when that cannot be. */
bool Rtg_Revise(Str preset_json, Str sent, bool patch, StrBuf *out,
                FindingList *findings);

/* The routing's revision in PRESET_JSON; 0 when there is none. */
uint64_t Rtg_Revision(Str preset_json);

/* The routing in PRESET_JSON, to be released with json_decref; NULL when
 * there is none. */
json_t *Rtg_Get(Str preset_json);

#endif
