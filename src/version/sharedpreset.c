#include "version/sharedpreset.h"

#include "value/mem.h"

SharedPreset *
Shp_New(Preset *preset, ConfigVersion version, uint64_t key_seed)
{
    SharedPreset *shared = Mem_Alloc(1, sizeof *shared);

    shared->preset = *preset;
    shared->version = version;
    Ack_Init(&shared->account_keys, &shared->preset, key_seed);
    shared->ref_count = 1;
    Pst_Init(preset);
    return shared;
}

SharedPreset *
Shp_Retain(SharedPreset *shared)
{
    shared->ref_count++;
    return shared;
}

void
Shp_Release(SharedPreset *shared)
{
    if (shared && --shared->ref_count == 0) {
        Ack_Finish(&shared->account_keys);
        Pst_Finish(&shared->preset);
        Mem_Free(shared);
    }
}
