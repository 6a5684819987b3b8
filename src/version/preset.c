#include "version/preset.h"

#include "value/json.h"
#include "value/mem.h"
#include "version/routing.h"

enum {
    RATE_MAX = 1000000000,
    PERMILLE = 1000,
    QUEUE_MAX = 100000,
    DURATION_MAX_MS = 3600 * 1000,
    NAME_BYTES_MAX = 64,
    ROUTES_MAX = 1024
};

void
Pst_Init(Preset *preset)
{
    *preset = (Preset){0};
}

void
Pst_FinishRegions(PresetRegions *regions)
{
    for (size_t i = 0; i < regions->count; i++) {
        StrBuf_Finish(&regions->names[i]);
    }
    Mem_Free(regions->names);
}

void
Pst_FinishAccount(PresetAccount *account)
{
    for (size_t i = 0; i < account->key_count; i++) {
        StrBuf_Finish(&account->keys[i]);
    }
    Mem_Free(account->keys);
    StrBuf_Finish(&account->name);
    Pst_FinishRegions(&account->regions);
}

void
Pst_FinishRoute(PresetRoute *route)
{
    Pst_FinishRegions(&route->regions);
    for (size_t i = 0; i < route->split_target_count; i++) {
        StrBuf_Finish(&route->split_targets[i].service);
    }
    Mem_Free(route->split_targets);
    Mem_Free(route->split_position);
    StrBuf_Finish(&route->host);
    StrBuf_Finish(&route->service);
    StrBuf_Finish(&route->name);
    StrBuf_Finish(&route->method);
    StrBuf_Finish(&route->path);
    StrBuf_Finish(&route->key_header);
}

void
Pst_Finish(Preset *preset)
{
    for (size_t i = 0; i < preset->route_count; i++) {
        Pst_FinishRoute(&preset->routes[i]);
    }
    Mem_Free(preset->routes);
    for (size_t i = 0; i < preset->service_count; i++) {
        StrBuf_Finish(&preset->services[i].name);
        StrBuf_Finish(&preset->services[i].health_path);
    }
    Mem_Free(preset->services);
    for (size_t i = 0; i < preset->account_count; i++) {
        Pst_FinishAccount(&preset->accounts[i]);
    }
    Mem_Free(preset->accounts);
    StrBuf_Finish(&preset->name);
    *preset = (Preset){0};
}

static uint32_t
read_u32(JsonObject *object, Str key, int64_t max, int64_t fallback)
{
    return (uint32_t)Jsn_GetInt(object, key, 0, max, fallback);
}

static Span
read_ms(JsonObject *object, Str key, int64_t min, int64_t fallback)
{
    return Span_MS(Jsn_GetInt(object, key, min, DURATION_MAX_MS, fallback));
}

static void
read_limits(PresetLimits *limits, json_t *value, FindingList *findings)
{
    JsonObject o;

    Jsn_Enter(&o, value, Str_LIT("/limits"), findings);
    limits->measure_bytes_per_s =
        read_u32(&o, Str_LIT("measure_bytes_per_s"), RATE_MAX, 2000);
    limits->measure_cpu_permille =
        read_u32(&o, Str_LIT("measure_cpu_permille"), PERMILLE, 5);
    limits->link_bytes_per_s =
        read_u32(&o, Str_LIT("link_bytes_per_s"), RATE_MAX, 400000);
    limits->link_price_us =
        read_u32(&o, Str_LIT("link_price_us"), RATE_MAX, 30000);
    limits->domain_price_us =
        read_u32(&o, Str_LIT("domain_price_us"), RATE_MAX, 2000);
    limits->retry_permille =
        read_u32(&o, Str_LIT("retry_permille"), PERMILLE, 100);
    limits->retry_burst = read_u32(&o, Str_LIT("retry_burst"), PERMILLE, 20);
    limits->hedge_permille =
        read_u32(&o, Str_LIT("hedge_permille"), PERMILLE, 0);
    /* Has no effect: presets of earlier versions hold it. */
    read_ms(&o, Str_LIT("hedge_after_ms"), 0, 0);
    limits->attempts_max =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("attempts_max"), 1, 8, 3);
    limits->queue_max = read_u32(&o, Str_LIT("queue_max"), QUEUE_MAX, 32);
    limits->patient_queue_max =
        read_u32(&o, Str_LIT("patient_queue_max"), QUEUE_MAX, 16);
    limits->answer_time_max = read_ms(&o, Str_LIT("answer_ms"), 1, 600000);
    limits->key_retention =
        read_ms(&o, Str_LIT("key_retention_ms"), 1000, 600000);
    limits->suspect_losses_max =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("suspect_losses_max"), 1, 2, 2);
    limits->suspect_hold_time =
        read_ms(&o, Str_LIT("suspect_release_ms"), 1000, 600000);
    Jsn_Leave(&o);
}

/* Names are written unescaped to paths, logs and the log of changes. */
static void
check_name(JsonObject *object, Str key, Str name)
{
    bool plain = name.len <= NAME_BYTES_MAX;

    for (size_t i = 0; i < name.len; i++) {
        char c = name.ptr[i];
        plain = plain &&
                ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.');
    }
    if (!plain || (name.len == 0 &&
                   json_object_getn(object->object, key.ptr, key.len))) {
        Jsn_AddFinding(object, key, Str_LIT("not a plain name"),
                       Str_LIT("1 to 64 letters, digits, -, _ or ."));
    }
}

static void
read_route(PresetRoute *route, json_t *value, Str place, FindingList *findings)
{
    JsonObject o;

    Jsn_Enter(&o, value, place, findings);
    Jsn_GetStr(&o, Str_LIT("service"), true, &route->service);
    Jsn_GetStr(&o, Str_LIT("route"), true, &route->name);
    check_name(&o, Str_LIT("service"), StrBuf_View(&route->service));
    check_name(&o, Str_LIT("route"), StrBuf_View(&route->name));
    Jsn_GetStr(&o, Str_LIT("method"), false, &route->method);
    Jsn_GetStr(&o, Str_LIT("path"), true, &route->path);
    Jsn_GetStr(&o, Str_LIT("key_header"), false, &route->key_header);
    route->is_interactive = Jsn_GetBool(&o, Str_LIT("interactive"), false);
    route->is_idempotent = Jsn_GetBool(&o, Str_LIT("idempotent"), false);
    route->deadline = read_ms(&o, Str_LIT("deadline_ms"), 1, 2000);
    if (route->path.len && route->path.ptr[0] != '/') {
        Jsn_AddFinding(&o, Str_LIT("path"), Str_LIT("not a path"),
                       Str_LIT("a prefix that starts with /"));
    }
    if (route->is_idempotent && route->key_header.len) {
        Jsn_AddFinding(&o, Str_LIT("key_header"),
                       Str_LIT("key on an idempotent route"),
                       Str_LIT("a key only where idempotent is false"));
    }
    Jsn_Leave(&o);
}

static bool
selects_same(const PresetRoute *a, const PresetRoute *b)
{
    return a->path.len &&
           Str_Equal(StrBuf_View(&a->path), StrBuf_View(&b->path)) &&
           Str_Equal(StrBuf_View(&a->method), StrBuf_View(&b->method));
}

static void
check_routes(const Preset *preset, FindingList *findings)
{
    for (size_t i = 0; i < preset->route_count; i++) {
        for (size_t k = 0; k < i; k++) {
            if (selects_same(&preset->routes[i], &preset->routes[k])) {
                StrBuf place = {0};
                StrBuf_AppendFmt(&place, "/routes/%zu", i);
                Fnd_Add(findings, StrBuf_View(&place),
                        Str_LIT("selects what an earlier route selects"),
                        Str_LIT("another path or method"));
                StrBuf_Finish(&place);
                break;
            }
        }
    }
}

static void
read_routes(Preset *preset, json_t *array, FindingList *findings)
{
    size_t count = json_array_size(array);

    if (count > ROUTES_MAX) {
        Fnd_Add(findings, Str_LIT("/routes"), Str_LIT("too many"),
                Str_LIT("1024 at most"));
        return;
    }
    preset->routes = Mem_Alloc(count, sizeof *preset->routes);
    preset->route_count = count;
    for (size_t i = 0; i < count; i++) {
        StrBuf place = {0};
        StrBuf_AppendFmt(&place, "/routes/%zu", i);
        read_route(&preset->routes[i], json_array_get(array, i),
                   StrBuf_View(&place), findings);
        StrBuf_Finish(&place);
    }
}

bool
Pst_Parse(Preset *preset, Str json, FindingList *findings)
{
    size_t before = findings->count;
    json_t *root = Jsn_Load(json, findings);
    JsonObject o;

    Pst_Init(preset);
    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("name"), true, &preset->name);
    check_name(&o, Str_LIT("name"), StrBuf_View(&preset->name));
    read_limits(&preset->limits, Jsn_Get(&o, Str_LIT("limits")), findings);
    read_routes(preset, Jsn_GetArray(&o, Str_LIT("routes"), true), findings);
    check_routes(preset, findings);
    Rtg_Parse(preset, Jsn_Get(&o, Str_LIT("routing")), findings);
    Jsn_Leave(&o);
    json_decref(root);
    if (findings->count > before) {
        Pst_Finish(preset);
        return false;
    }
    return true;
}

static bool
route_matches(const PresetRoute *route, Str host, Str method, Str path)
{
    Str wanted = StrBuf_View(&route->method);
    Str at = StrBuf_View(&route->host);

    return (at.len == 0 || Str_EqualNoCase(at, host)) &&
           (wanted.len == 0 || Str_Equal(wanted, method)) &&
           Str_StartsWith(path, StrBuf_View(&route->path));
}

static bool
has_split_target(const PresetRoute *route, Str service)
{
    for (size_t i = 0; i < route->split_target_count; i++) {
        if (Str_Equal(StrBuf_View(&route->split_targets[i].service),
                      service)) {
            return true;
        }
    }
    return false;
}

bool
Pst_HasSplitBetween(const Preset *preset, Str a, Str b)
{
    for (size_t i = 0; i < preset->route_count; i++) {
        if (has_split_target(&preset->routes[i], a) &&
            has_split_target(&preset->routes[i], b)) {
            return true;
        }
    }
    return false;
}

const PresetService *
Pst_FindService(const Preset *preset, Str name)
{
    for (size_t i = 0; i < preset->service_count; i++) {
        if (Str_Equal(StrBuf_View(&preset->services[i].name), name)) {
            return &preset->services[i];
        }
    }
    return NULL;
}

bool
Pst_HasBoundCalls(const Preset *preset)
{
    for (size_t i = 0; i < preset->route_count; i++) {
        if (preset->routes[i].regions.count) {
            return true;
        }
    }
    for (size_t i = 0; i < preset->account_count; i++) {
        if (preset->accounts[i].regions.count) {
            return true;
        }
    }
    return false;
}

bool
Pst_AllowsRegion(const PresetRegions *regions, Str region)
{
    for (size_t i = 0; i < regions->count; i++) {
        if (Str_Equal(StrBuf_View(&regions->names[i]), region)) {
            return true;
        }
    }
    return regions->count == 0;
}

bool
Pst_NamesService(const Preset *preset, Str service)
{
    for (size_t i = 0; i < preset->route_count; i++) {
        const PresetRoute *route = &preset->routes[i];
        if (Str_Equal(StrBuf_View(&route->service), service) ||
            has_split_target(route, service)) {
            return true;
        }
    }
    return Pst_FindService(preset, service) != NULL;
}

bool
Pst_NamesAnyService(const Preset *preset)
{
    return preset->route_count > 0 || preset->service_count > 0;
}

const PresetRoute *
Pst_FindRoute(const Preset *preset, Str host, Str method, Str path)
{
    const PresetRoute *best = NULL;

    for (size_t i = 0; i < preset->route_count; i++) {
        const PresetRoute *route = &preset->routes[i];
        if (route_matches(route, host, method, path) &&
            (!best || route->path.len > best->path.len ||
             (route->path.len == best->path.len &&
              route->method.len > best->method.len))) {
            best = route;
        }
    }
    return best;
}
