/* The parts of the routing that say whose calls are served, where and how
 * many: client accounts, regions and rates.  Private to the files that
 * implement routing.h.
 */
#ifndef ROUTING_ACCOUNTS_H
#define ROUTING_ACCOUNTS_H

#include "value/json.h"
#include "version/preset.h"

/* Reads the accounts in ARRAY (NULL: none) into PRESET.  That two accounts
 * share a key is a finding. */
void Rtg_ReadAccounts(Preset *preset, json_t *array, FindingList *findings);

/* Reads the member "home_regions" of OBJECT, a list of names. */
void Rtg_ReadRegions(PresetRegions *regions, JsonObject *object);

/* Read a number that is not below 0; 0 when it is absent.  The fraction of a
 * rate is dropped, but one below 1 is taken as 1, since 0 means no bound. */
Span Rtg_ReadSeconds(JsonObject *object, Str key);
uint32_t Rtg_ReadRate(JsonObject *object, Str key);

#endif
