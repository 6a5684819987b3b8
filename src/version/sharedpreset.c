#include "version/sharedpreset.h"

#include "value/mem.h"

SharedPreset *
Shp_New(Preset *preset, ConfigVersion version)
{
    SharedPreset *in_force = Mem_Alloc(1, sizeof *in_force);

    in_force->preset = *preset;
    in_force->version = version;
    in_force->ref_count = 1;
    Pst_Init(preset);
    return in_force;
}

SharedPreset *
Shp_Retain(SharedPreset *in_force)
{
    in_force->ref_count++;
    return in_force;
}

void
Shp_Release(SharedPreset *in_force)
{
    if (in_force && --in_force->ref_count == 0) {
        Pst_Finish(&in_force->preset);
        Mem_Free(in_force);
    }
}
