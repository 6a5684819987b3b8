/* Inf: a preset with the version that put it in force, shared by all that
 * began under it: a call keeps the preset it started with until it ends.
 */
#ifndef INFORCE_H
#define INFORCE_H

#include "version/config.h"
#include "version/preset.h"

typedef struct {
    Preset preset;
    CfgVersion version; /* {0, 0}: from the settings' file */
    uint32_t holds;
} InForce;

/* Takes PRESET over; held once. */
InForce *Inf_New(Preset *preset, CfgVersion version);
InForce *Inf_Hold(InForce *in_force);

/* The last release finishes the preset; NULL is allowed. */
void Inf_Release(InForce *in_force);

#endif
