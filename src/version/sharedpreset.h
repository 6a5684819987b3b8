/* Shp: a parsed preset with its configuration version, shared by reference
 * count.
 *
 * The node holds one reference to the preset in force, and each call holds one
 * to the preset it started with until the call ends, so that a new version
 * does not change the settings of calls in flight.
 */
#ifndef SHAREDPRESET_H
#define SHAREDPRESET_H

#include "version/accountkeys.h"
#include "version/config.h"
#include "version/preset.h"

typedef struct {
    Preset preset;
    AccountKeyTable account_keys; /* of the accounts of PRESET */
    ConfigVersion version;        /* {0, 0}: read from the settings file */
    uint32_t ref_count;
} SharedPreset;

/* Moves PRESET into a new SharedPreset, which the caller holds one reference
 * to.  PRESET is left empty.  KEY_SEED is secret, see accountkeys.h. */
SharedPreset *Shp_New(Preset *preset, ConfigVersion version,
                      uint64_t key_seed);

/* Adds a reference; returns SHARED. */
SharedPreset *Shp_Retain(SharedPreset *shared);

/* Drops a reference; the last one frees the preset.  NULL is allowed. */
void Shp_Release(SharedPreset *shared);

#endif
