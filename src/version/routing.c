#include "version/routing.h"

#include <stdlib.h>

#include "value/json.h"
#include "value/mem.h"
#include "version/routing_accounts.h"

enum {
    NAME_BYTES_MAX = 256,
    DURATION_MAX_MS = 600 * 1000,
    BYTES_MAX = 1 << 30,
    PRIORITY_MAX = 1000,
    ATTEMPTS_MAX = 100
};

static Str
string_view_of(const json_t *value)
{
    return Str_From(json_string_value(value), json_string_length(value));
}

static Str
name_of(const json_t *item)
{
    return string_view_of(json_object_get(item, "name"));
}

static void
read_split_target(PresetSplitTarget *target, json_t *value, Str place,
                  FindingList *findings)
{
    json_t *weight = json_object_get(value, "weight");
    JsonObject o;

    Jsn_Enter(&o, value, place, findings);
    Jsn_GetStr(&o, Str_LIT("service"), true, &target->service);
    if (!json_is_number(weight) || json_number_value(weight) < 0) {
        Jsn_AddFinding(&o, Str_LIT("weight"), Str_LIT("no weight"),
                       Str_LIT("a number that is not below 0"));
    }
    else {
        target->weight = json_number_value(weight);
    }
    Jsn_LeaveAllowUnknown(&o);
}

static void
read_split_targets(PresetRoute *route, JsonObject *o, json_t *array)
{
    size_t count = json_array_size(array);

    if (!json_is_array(array) || count == 0) {
        Jsn_AddFinding(o, Str_LIT("split"), Str_LIT("no services"),
                       Str_LIT("a list of services with their weights"));
        return;
    }
    route->split_targets = Mem_Alloc(count, sizeof *route->split_targets);
    route->split_target_count = count;
    route->split_position = Mem_Alloc(1, sizeof *route->split_position);
    for (size_t i = 0; i < count; i++) {
        StrBuf place = {0};
        StrBuf_AppendFmt(&place, "%.*s/split/%zu", Str_ARG(o->path), i);
        read_split_target(&route->split_targets[i], json_array_get(array, i),
                          StrBuf_View(&place), o->findings);
        StrBuf_Finish(&place);
    }
    StrBuf_Set(&route->service, StrBuf_View(&route->split_targets[0].service));
}

static void
read_kind(PresetRoute *route, JsonObject *o)
{
    StrBuf kind = {0};

    Jsn_GetStr(o, Str_LIT("kind"), true, &kind);
    route->is_bulk = Str_Equal(StrBuf_View(&kind), Str_LIT("download"));
    route->is_idempotent =
        route->is_bulk || Str_Equal(StrBuf_View(&kind), Str_LIT("idempotent"));
    if (kind.len && !route->is_idempotent &&
        !Str_Equal(StrBuf_View(&kind), Str_LIT("non_idempotent"))) {
        Jsn_AddFinding(o, Str_LIT("kind"), Str_LIT("no such kind"),
                       Str_LIT("idempotent, non_idempotent or download"));
    }
    StrBuf_Finish(&kind);
}

static void
read_route(PresetRoute *route, json_t *value, Str place, FindingList *findings)
{
    json_t *split = json_object_get(value, "split");
    JsonObject o;

    Jsn_Enter(&o, value, place, findings);
    Jsn_GetStr(&o, Str_LIT("name"), true, &route->name);
    Jsn_GetStr(&o, Str_LIT("host"), true, &route->host);
    Jsn_GetStr(&o, Str_LIT("path"), true, &route->path);
    if (o.object && (route->path.len == 0 || route->path.ptr[0] != '/')) {
        Jsn_AddFinding(&o, Str_LIT("path"), Str_LIT("not a path"),
                       Str_LIT("a prefix that starts with /"));
    }
    read_kind(route, &o);
    if (split) {
        read_split_targets(route, &o, split);
    }
    else {
        Jsn_GetStr(&o, Str_LIT("service"), true, &route->service);
    }
    route->deadline = Span_MS(Jsn_GetInt(&o, Str_LIT("deadline_ms"), 1,
                                         DURATION_MAX_MS, DURATION_MAX_MS));
    route->latency_objective = Span_MS(
        Jsn_GetInt(&o, Str_LIT("objective_ms"), 0, DURATION_MAX_MS, 0));
    route->priority =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("priority"), 0, PRIORITY_MAX, 0);
    route->attempts_max =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("attempts_max"), 1, ATTEMPTS_MAX, 1);
    route->is_interactive = true;
    route->is_public = Jsn_GetBool(&o, Str_LIT("public"), false);
    Rtg_ReadRegions(&route->regions, &o);
    Jsn_LeaveAllowUnknown(&o);
}

static void
read_service(PresetService *service, json_t *value, Str place,
             FindingList *findings)
{
    JsonObject o;

    Jsn_Enter(&o, value, place, findings);
    Jsn_GetStr(&o, Str_LIT("name"), true, &service->name);
    Jsn_GetStr(&o, Str_LIT("health_path"), false, &service->health_path);
    service->connections_max =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("connections_max"), 0, INT32_MAX, 0);
    service->cold_start = Rtg_ReadSeconds(&o, Str_LIT("cold_start_s"));
    service->cold_per_s = Rtg_ReadRate(&o, Str_LIT("cold_per_s"));
    Jsn_LeaveAllowUnknown(&o);
}

static void
read_limits(PresetCallerLimits *callers, json_t *value, FindingList *findings)
{
    JsonObject o;

    if (!value) {
        return;
    }
    Jsn_Enter(&o, value, Str_LIT("/limits"), findings);
    callers->header_bytes_max =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("header_bytes_max"), 0, BYTES_MAX, 0);
    callers->body_bytes_max =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("body_bytes_max"), 0, BYTES_MAX, 0);
    callers->header_timeout =
        Span_MS(Jsn_GetInt(&o, Str_LIT("header_ms"), 0, DURATION_MAX_MS, 0));
    callers->idle_timeout =
        Span_MS(Jsn_GetInt(&o, Str_LIT("idle_ms"), 0, DURATION_MAX_MS, 0));
    Jsn_LeaveAllowUnknown(&o);
}

static void
read_routes(Preset *preset, json_t *array, FindingList *findings)
{
    size_t before = preset->route_count;
    size_t count = json_array_size(array);

    preset->routes =
        Mem_Resize(preset->routes, before + count, sizeof *preset->routes);
    for (size_t i = 0; i < count; i++) {
        StrBuf place = {0};
        PresetRoute *route = &preset->routes[before + i];
        *route = (PresetRoute){0};
        preset->route_count++;
        StrBuf_AppendFmt(&place, "/routing/routes/%zu", i);
        read_route(route, json_array_get(array, i), StrBuf_View(&place),
                   findings);
        StrBuf_Finish(&place);
    }
}

static void
read_services(Preset *preset, json_t *array, FindingList *findings)
{
    size_t count = json_array_size(array);

    preset->services = Mem_Alloc(count, sizeof *preset->services);
    preset->service_count = count;
    for (size_t i = 0; i < count; i++) {
        StrBuf place = {0};
        StrBuf_AppendFmt(&place, "/routing/services/%zu", i);
        read_service(&preset->services[i], json_array_get(array, i),
                     StrBuf_View(&place), findings);
        StrBuf_Finish(&place);
    }
}

static void
check_service(const Preset *preset, const PresetRoute *route, Str name,
              FindingList *findings)
{
    StrBuf place = {0};

    if (!Pst_FindService(preset, name)) {
        StrBuf_AppendFmt(&place, "/routing/routes/%.*s", Str_ARG(route->name));
        Fnd_Add(findings, StrBuf_View(&place), Str_LIT("unknown service"),
                Str_LIT("one of the routing's services"));
    }
    StrBuf_Finish(&place);
}

static void
check_route(const Preset *preset, const PresetRoute *route,
            FindingList *findings)
{
    if (!route->host.len) {
        return; /* not from the routing, whose routes all have a host */
    }
    if (!route->split_target_count) {
        check_service(preset, route, StrBuf_View(&route->service), findings);
    }
    for (size_t i = 0; i < route->split_target_count; i++) {
        check_service(preset, route,
                      StrBuf_View(&route->split_targets[i].service), findings);
    }
}

/* Items of a list are identified by their names, which must be unique. */
static void
check_names(json_t *array, Str place, FindingList *findings)
{
    json_t *seen = json_object();
    json_t *item;
    size_t i;

    json_array_foreach(array, i, item)
    {
        Str name = name_of(item);
        if (name.len == 0 || name.len > NAME_BYTES_MAX ||
            json_object_getn(seen, name.ptr, name.len)) {
            Fnd_Add(findings, place,
                    Str_LIT("a name that is no name, or "
                            "stands twice"),
                    Str_LIT("names of 1 to 256 bytes that differ"));
            break;
        }
        json_object_setn_new(seen, name.ptr, name.len, json_true());
    }
    json_decref(seen);
}

void
Rtg_Parse(Preset *preset, json_t *routing, FindingList *findings)
{
    json_t *routes;
    json_t *services;
    json_t *accounts;
    JsonObject o;

    if (!routing) {
        return;
    }
    Jsn_Enter(&o, routing, Str_LIT("/routing"), findings);
    preset->routing_revision =
        (uint64_t)Jsn_GetInt(&o, Str_LIT("revision"), 1, INT64_MAX, 0);
    if (o.object && !preset->routing_revision) {
        Jsn_AddFinding(&o, Str_LIT("revision"), Str_LIT("missing"),
                       Str_LIT("a number above that of the one in force"));
    }
    routes = Jsn_GetArray(&o, Str_LIT("routes"), true);
    services = Jsn_GetArray(&o, Str_LIT("services"), true);
    read_services(preset, services, findings);
    read_routes(preset, routes, findings);
    read_limits(&preset->caller_limits, Jsn_Get(&o, Str_LIT("limits")),
                findings);
    accounts = Jsn_GetArray(&o, Str_LIT("accounts"), false);
    Jsn_LeaveAllowUnknown(&o);
    Rtg_ReadAccounts(preset, accounts, findings);
    check_names(routes, Str_LIT("/routing/routes"), findings);
    check_names(accounts, Str_LIT("/routing/accounts"), findings);
    check_names(services, Str_LIT("/routing/services"), findings);
    for (size_t i = 0; i < preset->route_count; i++) {
        check_route(preset, &preset->routes[i], findings);
    }
}

static size_t
find_item(json_t *list, Str name)
{
    size_t count = json_array_size(list);

    for (size_t i = 0; i < count; i++) {
        if (Str_Equal(name_of(json_array_get(list, i)), name)) {
            return i;
        }
    }
    return count;
}

static void
upsert_items(json_t *list, json_t *items)
{
    json_t *item;
    size_t i;

    json_array_foreach(items, i, item)
    {
        size_t at = find_item(list, name_of(item));
        if (at < json_array_size(list)) {
            json_array_set(list, at, item);
        }
        else {
            json_array_append(list, item);
        }
    }
}

static void
remove_items(json_t *list, json_t *names)
{
    json_t *name;
    size_t i;

    json_array_foreach(names, i, name)
    {
        size_t at = find_item(list, string_view_of(name));
        if (at < json_array_size(list)) {
            json_array_remove(list, at);
        }
    }
}

static bool
add_finding(FindingList *findings, Str place, Str cause, Str expected)
{
    Fnd_Add(findings, place, cause, expected);
    return false;
}

static bool
is_array_or_absent(json_t *map, const char *key)
{
    json_t *value = json_object_get(map, key);

    return !value || json_is_array(value);
}

static json_t *
find_or_add_list(json_t *routing, const char *key)
{
    if (!json_object_get(routing, key)) {
        json_object_set_new(routing, key, json_array());
    }
    return json_object_get(routing, key);
}

/* Patches ROUTING in place; the caller passes a copy of its own. */
static bool
patch_routing(json_t *routing, json_t *sent, FindingList *findings)
{
    static const char *const lists[] = {"routes", "services", "accounts"};
    json_t *upserts = json_object_get(sent, "upsert");
    json_t *removals = json_object_get(sent, "remove");
    json_t *limits = json_object_get(upserts, "limits");

    if ((upserts && !json_is_object(upserts)) ||
        (removals && !json_is_object(removals))) {
        return add_finding(findings, Str_LIT("/"), Str_LIT("no changes"),
                           Str_LIT("upsert and remove as objects"));
    }
    for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++) {
        json_t *list = find_or_add_list(routing, lists[i]);
        if (!is_array_or_absent(upserts, lists[i]) ||
            !is_array_or_absent(removals, lists[i])) {
            return add_finding(findings, Str_LIT("/"), Str_LIT("no list"),
                               Str_LIT("lists of items or names"));
        }
        remove_items(list, json_object_get(removals, lists[i]));
        upsert_items(list, json_object_get(upserts, lists[i]));
    }
    if (limits) {
        json_object_set(routing, "limits", limits);
    }
    json_object_set(routing, "revision", json_object_get(sent, "revision"));
    return true;
}

/* A revision must be above the one in force. */
static bool
is_newer_revision(json_t *old, json_t *sent, FindingList *findings)
{
    json_int_t before = json_integer_value(json_object_get(old, "revision"));
    json_t *revision = json_object_get(sent, "revision");

    if (!json_is_integer(revision) || json_integer_value(revision) <= before) {
        return add_finding(findings, Str_LIT("/revision"),
                           Str_LIT("not above the one in force"),
                           Str_LIT("a higher number"));
    }
    return true;
}

static bool
revise_preset(json_t *preset, json_t *sent, bool patch, FindingList *findings)
{
    json_t *old = json_object_get(preset, "routing");
    json_t *routing;
    bool good;

    if (!json_is_object(sent)) {
        return add_finding(findings, Str_LIT("/"), Str_LIT("no object"),
                           Str_LIT("a routing"));
    }
    if (!is_newer_revision(old, sent, findings)) {
        return false;
    }
    if (!patch) {
        return json_object_set(preset, "routing", sent) == 0;
    }
    if (!old) {
        return add_finding(findings, Str_LIT("/"),
                           Str_LIT("nothing to change"),
                           Str_LIT("a whole routing first"));
    }
    routing = json_deep_copy(old);
    good = patch_routing(routing, sent, findings);
    json_object_set_new(preset, "routing", routing);
    return good;
}

static json_t *
parse_json(Str text)
{
    return json_loadb(text.ptr ? text.ptr : "", text.len,
                      JSON_REJECT_DUPLICATES, NULL);
}

bool
Rtg_Revise(Str preset_json, Str sent, bool patch, StrBuf *out,
           FindingList *findings)
{
    json_t *preset = parse_json(preset_json);
    json_t *routing = Jsn_Load(sent, findings);
    bool good =
        preset && routing && revise_preset(preset, routing, patch, findings);
    char *text = good ? json_dumps(preset, JSON_COMPACT) : NULL;

    if (text) {
        StrBuf_Set(out, Str_FromC(text));
    }
    free(text);
    json_decref(preset);
    json_decref(routing);
    return text != NULL;
}

json_t *
Rtg_Get(Str preset_json)
{
    json_t *preset = parse_json(preset_json);
    json_t *routing = json_incref(json_object_get(preset, "routing"));

    json_decref(preset);
    return routing;
}

uint64_t
Rtg_Revision(Str preset_json)
{
    json_t *routing = Rtg_Get(preset_json);
    json_int_t revision =
        json_integer_value(json_object_get(routing, "revision"));

    json_decref(routing);
    return revision > 0 ? (uint64_t)revision : 0;
}
