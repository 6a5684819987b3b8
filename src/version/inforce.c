#include "version/inforce.h"

#include "value/mem.h"

InForce *
Inf_New(Preset *preset, CfgVersion version)
{
    InForce *in_force = Mem_Alloc(1, sizeof *in_force);

    in_force->preset = *preset;
    in_force->version = version;
    in_force->holds = 1;
    Pst_Init(preset);
    return in_force;
}

InForce *
Inf_Hold(InForce *in_force)
{
    in_force->holds++;
    return in_force;
}

void
Inf_Release(InForce *in_force)
{
    if (in_force && --in_force->holds == 0) {
        Pst_Finish(&in_force->preset);
        Mem_Free(in_force);
    }
}
