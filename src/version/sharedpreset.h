/* Inf: a preset with the version that put it in force, shared by all that
 * began under it: a call keeps the preset it started with until it ends.
 */
#ifndef SHAREDPRESET_H
#define SHAREDPRESET_H

#include "version/config.h"
#include "version/preset.h"

typedef struct {
    Preset preset;
    ConfigVersion version; /* {0, 0}: from the settings' file */
    uint32_t ref_count;
} SharedPreset;

/* Takes PRESET over; held once. */
SharedPreset *Shp_New(Preset *preset, ConfigVersion version);
SharedPreset *Shp_Retain(SharedPreset *in_force);

/* The last release finishes the preset; NULL is allowed. */
void Shp_Release(SharedPreset *in_force);

#endif
