/* Rtg: the routing, a document that operators send with routes by host and
 * path prefix, their services, and limits on what callers send.  It carries
 * the operators' own revision number:
 *
 *     {"revision": 7, "routes": [...], "services": [...], "limits": {...}}
 *
 * The routing is a part of the preset in force, so Rtg_Revise makes a new
 * version of that preset.  Operators send a whole routing, or a patch of
 * named items:
 *
 *     {"revision": 9, "upsert": {"routes": [...]},
 *      "remove": {"routes": [...]}}
 *
 * Members that this program does not know are kept and returned.
 */
#ifndef ROUTING_H
#define ROUTING_H

#include <jansson.h>

#include "value/finding.h"
#include "version/preset.h"

/* Reads ROUTING into PRESET and checks all of it; NULL leaves PRESET as it
 * is.  Faults are added to FINDINGS.  Pst_Parse calls this function. */
void Rtg_Parse(Preset *preset, json_t *routing, FindingList *findings);

/* Writes PRESET_JSON to OUT with its routing replaced by SENT, or patched by
 * SENT when PATCH.  Returns false and does not change OUT when SENT does not
 * apply, such as when its revision is not above the current one.  The caller
 * checks the contents of the new routing with Pst_Parse. */
bool Rtg_Revise(Str preset_json, Str sent, bool patch, StrBuf *out,
                FindingList *findings);

/* Adds a finding for each route in PRESET_JSON that names an unknown service
 * beside a split, which Pst_Parse allows.  Only for what is to be proposed:
 * older programs accepted such routes, and a log that holds them must be
 * applied as it was. */
void Rtg_CheckProposed(Str preset_json, FindingList *findings);

/* Returns the revision of the routing in PRESET_JSON; 0 for no routing. */
uint64_t Rtg_Revision(Str preset_json);

/* Returns the routing in PRESET_JSON, which the caller releases with
 * json_decref; NULL for no routing. */
json_t *Rtg_Get(Str preset_json);

#endif
