#include "version/routing.h"

static Str
get_text(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    return Str_From(json_string_value(value), json_string_length(value));
}

static bool
is_listed(const json_t *services, Str name)
{
    const json_t *service;
    size_t i;

    json_array_foreach(services, i, service)
    {
        if (Str_Equal(get_text(service, "name"), name)) {
            return true;
        }
    }
    return false;
}

void
Rtg_CheckProposed(Str preset_json, FindingList *findings)
{
    json_t *routing = Rtg_Get(preset_json);
    const json_t *services = json_object_get(routing, "services");
    const json_t *route;
    size_t i;

    json_array_foreach(json_object_get(routing, "routes"), i, route)
    {
        StrBuf place = {0};
        if (!json_object_get(route, "service") ||
            is_listed(services, get_text(route, "service"))) {
            continue;
        }
        StrBuf_AppendFmt(&place, "/routing/routes/%.*s/service",
                         Str_ARG(get_text(route, "name")));
        Fnd_Add(findings, StrBuf_View(&place), Str_LIT("unknown service"),
                Str_LIT("one of the routing's services, also beside a split"));
        StrBuf_Finish(&place);
    }
    json_decref(routing);
}
