#include "process/settings/settings.h"

#include <stdio.h>
#include <sys/stat.h>

#include "process/settings/setbounds.h"
#include "process/settings/setcheck.h"
#include "process/settings/setheaders.h"
#include "process/settings/setkeys.h"
#include "process/settings/setseeds.h"
#include "value/json.h"
#include "value/mem.h"

enum {
    FILE_BYTES_MAX = 4 * 1024 * 1024,
    MINUTE_MS = 60 * 1000,
    OPERATOR_CONNECTIONS_DEFAULT = 128,
    HEADER_BYTES_DEFAULT = 16 * 1024,
    BODY_BYTES_DEFAULT = 1024 * 1024,
    BODY_BYTES_MAX = 64 * 1024 * 1024,
    MEMORY_MB_MIN = 48,
    MEMORY_MB_MAX = 1024 * 1024,
    DESCRIPTORS_MIN = 128,
    DESCRIPTORS_MAX = 1024 * 1024
};

void
Set_Init(Settings *settings)
{
    *settings = (Settings){.log_level = Lgr_INFO};
}

void
Set_Finish(Settings *settings)
{
    for (size_t i = 0; i < settings->domain_count; i++) {
        StrBuf_Finish(&settings->domains[i].name);
        StrBuf_Finish(&settings->domains[i].region);
    }
    Mem_Free(settings->domains);
    Mem_Free(settings->replicas);
    Mem_Free(settings->seeds);
    Set_FinishHeaderFields(&settings->header_fields);
    Mem_Free(settings->routes);
    StrBuf_Finish(&settings->name);
    StrBuf_Finish(&settings->data_folder);
    StrBuf_Finish(&settings->record);
    StrBuf_Finish(&settings->preset);
    StrBuf_Finish(&settings->operator_key);
    StrBuf_Finish(&settings->curve_public);
    StrBuf_Finish(&settings->curve_secret);
    for (size_t i = 0; i < settings->curve_allowed_count; i++) {
        StrBuf_Finish(&settings->curve_allowed[i]);
    }
    *settings = (Settings){0};
}

static bool
is_string(const JsonObject *object, Str key)
{
    return json_is_string(json_object_getn(object->object, key.ptr, key.len));
}

/* Reads a string.  One that is given must not be empty: an empty string is not
 * the same as none. */
static void
read_text(JsonObject *object, Str key, bool required, StrBuf *out)
{
    Jsn_GetStr(object, key, required, out);
    if (is_string(object, key) && out->len == 0) {
        Jsn_AddFinding(object, key, Str_LIT("empty"),
                       Str_LIT("a non-empty string"));
    }
}

static Addr
read_addr(JsonObject *object, Str key, bool required)
{
    StrBuf text = {0};
    Addr addr = Addr_NONE;

    Jsn_GetStr(object, key, required, &text);
    if (is_string(object, key) && !Addr_Parse(StrBuf_View(&text), &addr)) {
        Jsn_AddFinding(
            object, key, Str_LIT("not an address"),
            Str_LIT("an IPv4 address and port such as 127.0.1.1:7400"));
    }
    StrBuf_Finish(&text);
    return addr;
}

static Span
read_ms(JsonObject *object, Str key, int64_t min, int64_t fallback)
{
    return Span_MS(Jsn_GetInt(object, key, min, MINUTE_MS, fallback));
}

static void
set_region_number(Settings *settings, size_t index)
{
    FailureDomain *domain = &settings->domains[index];

    domain->region_number = (uint16_t)index;
    for (size_t i = 0; i < index; i++) {
        if (Str_Equal(StrBuf_View(&settings->domains[i].region),
                      StrBuf_View(&domain->region))) {
            domain->region_number = settings->domains[i].region_number;
            return;
        }
    }
}

typedef void (*ItemReader)(Settings *settings, size_t index, JsonObject *item);

/* Calls READ for each object of ARRAY, which is the member KEY of OBJECT. */
static void
read_items(Settings *settings, JsonObject *object, Str key, json_t *array,
           ItemReader read)
{
    for (size_t i = 0; i < json_array_size(array); i++) {
        JsonObject item;
        StrBuf place = {0};
        StrBuf_AppendFmt(&place, "/%.*s/%zu", Str_ARG(key), i);
        Jsn_Enter(&item, json_array_get(array, i), StrBuf_View(&place),
                  object->findings);
        read(settings, i, &item);
        Jsn_Leave(&item);
        StrBuf_Finish(&place);
    }
}

static void
read_domain(Settings *settings, size_t index, JsonObject *item)
{
    FailureDomain *domain = &settings->domains[index];

    Jsn_GetStr(item, Str_LIT("name"), true, &domain->name);
    Jsn_GetStr(item, Str_LIT("region"), true, &domain->region);
    set_region_number(settings, index);
}

static void
read_domains(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("failure_domains"), true);

    if (json_array_size(array) > Rgm_REGIONS_MAX) {
        Jsn_AddFinding(object, Str_LIT("failure_domains"), Str_LIT("too many"),
                       Str_LIT("64 at most"));
    }
    settings->domain_count = json_array_size(array);
    settings->domains =
        Mem_Alloc(settings->domain_count, sizeof *settings->domains);
    read_items(settings, object, Str_LIT("failure_domains"), array,
               read_domain);
}

static void
read_own_domain(Settings *settings, JsonObject *object)
{
    StrBuf name = {0};

    Jsn_GetStr(object, Str_LIT("failure_domain"), true, &name);
    for (size_t i = 0; i < settings->domain_count; i++) {
        if (Str_Equal(StrBuf_View(&settings->domains[i].name),
                      StrBuf_View(&name))) {
            settings->domain_index = (uint16_t)i;
            settings->region_number = settings->domains[i].region_number;
            StrBuf_Finish(&name);
            return;
        }
    }
    if (name.len) {
        Jsn_AddFinding(object, Str_LIT("failure_domain"),
                       Str_LIT("not in failure_domains"),
                       Str_LIT("a name listed in failure_domains"));
    }
    StrBuf_Finish(&name);
}

static void
read_replicas(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("control_replicas"),
                                 settings->seed_count == 0);
    size_t count = json_array_size(array);

    if (settings->seed_count) {
        if (array) {
            Jsn_AddFinding(object, Str_LIT("control_replicas"),
                           Str_LIT("given together with control_seeds"),
                           Str_LIT("only one of the two"));
        }
        return;
    }

    if (array && (count < 1 || count > 7 || count % 2 == 0)) {
        Jsn_AddFinding(object, Str_LIT("control_replicas"),
                       Str_LIT("wrong number of addresses"),
                       Str_LIT("1, 3, 5 or 7 addresses"));
    }
    settings->replicas = Mem_Alloc(count, sizeof *settings->replicas);
    settings->replica_count = count;
    for (size_t i = 0; i < count; i++) {
        json_t *value = json_array_get(array, i);
        Str text =
            Str_From(json_string_value(value), json_string_length(value));
        if (!Addr_Parse(text, &settings->replicas[i])) {
            Jsn_AddFinding(object, Str_LIT("control_replicas"),
                           Str_LIT("not an address"),
                           Str_LIT("IPv4 addresses with ports"));
        }
        settings->control |= settings->replicas[i] == settings->address;
    }
}

static void
read_route(Settings *settings, size_t index, JsonObject *item)
{
    settings->routes[index].to = read_addr(item, Str_LIT("to"), true);
    settings->routes[index].via = read_addr(item, Str_LIT("via"), true);
}

static void
read_routes(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("routes"), false);

    settings->route_count = json_array_size(array);
    settings->routes =
        Mem_Alloc(settings->route_count, sizeof *settings->routes);
    read_items(settings, object, Str_LIT("routes"), array, read_route);
}

static void
read_times(Settings *settings, JsonObject *object)
{
    settings->heartbeat = read_ms(object, Str_LIT("heartbeat_ms"), 20, 500);
    settings->member_expiry =
        read_ms(object, Str_LIT("member_expiry_ms"), 50, 2500);
    settings->ping = read_ms(object, Str_LIT("ping_ms"), 5, 100);
    settings->silence = read_ms(object, Str_LIT("silence_ms"), 20, 400);
    settings->backend_expiry =
        read_ms(object, Str_LIT("backend_expiry_ms"), 50, 2500);
    settings->stop_bound = read_ms(object, Str_LIT("stop_bound_ms"), 0, 30000);
    settings->stop_notice = read_ms(object, Str_LIT("stop_notice_ms"), 0, 0);
    settings->header_wait =
        read_ms(object, Str_LIT("header_wait_ms"), 100, 10000);
    settings->callers_idle =
        read_ms(object, Str_LIT("callers_idle_ms"), 100, MINUTE_MS);
    settings->operators_idle =
        read_ms(object, Str_LIT("operators_idle_ms"), 100, MINUTE_MS);
    settings->ramp = read_ms(object, Str_LIT("ramp_ms"), 0, 0);
    if (settings->member_expiry < 2 * settings->heartbeat) {
        Jsn_AddFinding(object, Str_LIT("member_expiry_ms"),
                       Str_LIT("too short"),
                       Str_LIT("at least twice heartbeat_ms"));
    }
    if (settings->silence < 2 * settings->ping) {
        Jsn_AddFinding(object, Str_LIT("silence_ms"), Str_LIT("too short"),
                       Str_LIT("at least twice ping_ms"));
    }
}

static void
read_log_level(Settings *settings, JsonObject *object)
{
    StrBuf name = {0};

    Jsn_GetStr(object, Str_LIT("log_level"), false, &name);
    if (is_string(object, Str_LIT("log_level")) &&
        !Lgr_ParseLevel(StrBuf_View(&name), &settings->log_level)) {
        Jsn_AddFinding(object, Str_LIT("log_level"),
                       Str_LIT("unknown log level"),
                       Str_LIT("debug, info, warning or error"));
    }
    StrBuf_Finish(&name);
}

/* What the process may take of its machine. */
static void
read_machine_limits(Settings *settings, JsonObject *object)
{
    int64_t mb = Jsn_GetInt(object, Str_LIT("memory_mb"), 0, MEMORY_MB_MAX, 0);
    int64_t descriptors =
        Jsn_GetInt(object, Str_LIT("descriptors_max"), 0, DESCRIPTORS_MAX, 0);

    if (mb && mb < MEMORY_MB_MIN) {
        Jsn_AddFinding(object, Str_LIT("memory_mb"), Str_LIT("too little"),
                       Str_LIT("0, or at least 48"));
    }
    if (descriptors && descriptors < DESCRIPTORS_MIN) {
        Jsn_AddFinding(object, Str_LIT("descriptors_max"), Str_LIT("too few"),
                       Str_LIT("0, or at least 128"));
    }
    settings->memory_mb = (uint32_t)mb;
    settings->descriptors_max = (uint32_t)descriptors;
}

static void
read_all(Settings *settings, JsonObject *object)
{
    read_text(object, Str_LIT("name"), true, &settings->name);
    settings->address = read_addr(object, Str_LIT("address"), true);
    settings->callers = read_addr(object, Str_LIT("callers"), true);
    settings->operators = read_addr(object, Str_LIT("operators"), true);
    read_domains(settings, object);
    read_own_domain(settings, object);
    settings->ready = read_addr(object, Str_LIT("ready"), false);
    settings->backend = read_addr(object, Str_LIT("backend"), false);
    Set_ReadHeaderFields(&settings->header_fields, object);
    Set_ReadSeeds(settings, object);
    read_replicas(settings, object);
    read_routes(settings, object);
    read_text(object, Str_LIT("data_folder"), settings->control,
              &settings->data_folder);
    read_text(object, Str_LIT("preset"), true, &settings->preset);
    settings->operators_open =
        Jsn_GetBool(object, Str_LIT("operators_open"), false);
    Jsn_GetStr(object, Str_LIT("operator_key"), !settings->operators_open,
               &settings->operator_key);
    Set_ReadCurveKeys(settings, object);
    read_text(object, Str_LIT("record"), false, &settings->record);
    read_log_level(settings, object);
    settings->log_lines_per_s = (uint32_t)Jsn_GetInt(
        object, Str_LIT("log_lines_per_s"), 10, 1000000, Lgr_LINES_PER_S);
    read_times(settings, object);
    Set_ReadBounds(settings, object);
    settings->operators_connections_max =
        (uint32_t)Jsn_GetInt(object, Str_LIT("operators_connections_max"), 1,
                             4096, OPERATOR_CONNECTIONS_DEFAULT);
    settings->header_bytes_max =
        (uint32_t)Jsn_GetInt(object, Str_LIT("header_bytes_max"), 1024,
                             1024 * 1024, HEADER_BYTES_DEFAULT);
    settings->body_bytes_max =
        (uint32_t)Jsn_GetInt(object, Str_LIT("body_bytes_max"), 0,
                             BODY_BYTES_MAX, BODY_BYTES_DEFAULT);
    read_machine_limits(settings, object);
    Set_CheckValues(settings, object);
}

bool
Set_Parse(Settings *settings, Str json, FindingList *findings)
{
    size_t before = findings->count;
    json_t *root = Jsn_Load(json, findings);
    JsonObject object;

    if (!root) {
        return false;
    }
    Jsn_Enter(&object, root, (Str){0}, findings);
    if (object.object) {
        read_all(settings, &object);
    }
    Jsn_Leave(&object);
    json_decref(root);
    return findings->count == before;
}

bool
Set_ReadFile(Str file, StrBuf *out, Err *err)
{
    StrBuf name = {0};
    char bytes[4096];
    size_t got;
    FILE *stream;
    bool failed;

    StrBuf_Set(&name, file);
    stream = fopen(StrBuf_CStr(&name), "rb");
    StrBuf_Finish(&name);
    if (!stream) {
        return Err_SET(err, Err_IO, "cannot open %.*s", Str_ARG(file));
    }
    while ((got = fread(bytes, 1, sizeof bytes, stream)) > 0 &&
           out->len < FILE_BYTES_MAX) {
        StrBuf_Append(out, Str_From(bytes, got));
    }
    failed = ferror(stream) != 0;
    fclose(stream);
    if (failed) {
        return Err_SET(err, Err_IO, "cannot read %.*s", Str_ARG(file));
    }
    if (out->len >= FILE_BYTES_MAX) {
        return Err_SET(err, Err_TOO_LARGE, "%.*s is over %d bytes",
                       Str_ARG(file), FILE_BYTES_MAX);
    }
    return true;
}

bool
Set_LoadPreset(Str file, Preset *preset, FindingList *findings)
{
    StrBuf json = {0};
    Err err = {0};
    bool good = false;

    Pst_Init(preset);
    Fnd_SetFile(findings, file);
    if (Set_ReadFile(file, &json, &err)) {
        good = Pst_Parse(preset, StrBuf_View(&json), findings);
    }
    else {
        Fnd_Add(findings, Str_LIT("/"), Err_Text(&err),
                Str_LIT("a preset file"));
    }
    StrBuf_Finish(&json);
    return good;
}

bool
Set_IsOpenToOthers(Str file)
{
    StrBuf name = {0};
    struct stat info;
    bool open;

    StrBuf_Set(&name, file);
    open = stat(StrBuf_CStr(&name), &info) == 0 &&
           info.st_mode & (S_IRWXG | S_IRWXO);
    StrBuf_Finish(&name);
    return open;
}
