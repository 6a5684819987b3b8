#include "process/settings/setseeds.h"

#include "value/mem.h"

enum { VOTERS_DEFAULT = 5, VOTERS_MAX = 7 };

static void
read_seed(Settings *settings, JsonObject *o, json_t *value, uint16_t port)
{
    Str text = Str_From(json_string_value(value), json_string_length(value));
    Addr *seed = &settings->seeds[settings->seed_count];

    if (!Addr_Parse(text, seed)) {
        Jsn_AddFinding(o, Str_LIT("control_seeds"), Str_LIT("not an address"),
                       Str_LIT("IPv4 addresses with ports"));
        return;
    }
    *seed = Addr_WithPort(*seed, port);
    settings->replicas[settings->seed_count] = *seed;
    settings->seed_count++;
}

void
Set_ReadSeeds(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("control_seeds"), false);
    size_t count = json_array_size(array);
    uint16_t port =
        (uint16_t)Jsn_GetInt(object, Str_LIT("control_port"), 1, UINT16_MAX,
                             Addr_Port(settings->address));

    settings->begin_history =
        Jsn_GetBool(object, Str_LIT("begin_history"), false);
    settings->control_voters = (uint32_t)Jsn_GetInt(
        object, Str_LIT("control_voters"), 1, VOTERS_MAX, VOTERS_DEFAULT);
    settings->control = Jsn_GetBool(object, Str_LIT("control"), false);
    if (!array) {
        return;
    }
    if (count < 1 || count >= Set_REPLICAS_MAX) {
        Jsn_AddFinding(object, Str_LIT("control_seeds"),
                       Str_LIT("wrong number of addresses"),
                       Str_LIT("1 to 7 addresses"));
        return;
    }
    settings->replicas =
        Mem_Alloc(Set_REPLICAS_MAX, sizeof *settings->replicas);
    settings->replica_count = Set_REPLICAS_MAX;
    settings->seeds = Mem_Alloc(count, sizeof *settings->seeds);
    for (size_t i = 0; i < count; i++) {
        read_seed(settings, object, json_array_get(array, i), port);
    }
}
