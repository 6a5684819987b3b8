#include "value/json.h"

#include <inttypes.h>

json_t *
Jsn_Load(Str text, FindingList *findings)
{
    json_error_t error;
    json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
                              JSON_REJECT_DUPLICATES, &error);

    if (!root) {
        StrBuf location = {0};
        StrBuf_AppendFmt(&location, "line %d column %d", error.line,
                         error.column);
        Fnd_Add(findings, StrBuf_View(&location), Str_FromC(error.text),
                Str_LIT("JSON (RFC 8259) without repeated names"));
        StrBuf_Finish(&location);
    }
    return root;
}

void
Jsn_Enter(JsonObject *object, json_t *value, Str path, FindingList *findings)
{
    *object = (JsonObject){.findings = findings};
    StrBuf_Set(&object->path, path);
    if (json_is_object(value)) {
        object->object = value;
        return;
    }
    Fnd_Add(findings, path.len ? path : Str_LIT("/"),
            value ? Str_LIT("not an object") : Str_LIT("missing"),
            Str_LIT("an object"));
}

static bool
was_read(const JsonObject *object, Str key)
{
    for (size_t i = 0; i < object->read_count; i++) {
        if (Str_Equal(object->read_keys[i], key)) {
            return true;
        }
    }
    return false;
}

void
Jsn_Leave(JsonObject *object)
{
    const char *key;
    size_t len;
    json_t *value;

    json_object_keylen_foreach(object->object, key, len, value)
    {
        if (!was_read(object, Str_From(key, len))) {
            Jsn_AddFinding(object, Str_From(key, len),
                           Str_LIT("unknown setting"),
                           Str_LIT("one of the names in docs/OPERATING.md"));
        }
    }
    StrBuf_Finish(&object->path);
}

void
Jsn_LeaveAllowUnknown(JsonObject *object)
{
    StrBuf_Finish(&object->path);
}

void
Jsn_AppendPath(const JsonObject *object, Str key, StrBuf *out)
{
    StrBuf_Append(out, StrBuf_View(&object->path));
    StrBuf_AppendFmt(out, "/%.*s", Str_ARG(key));
}

void
Jsn_AddFinding(JsonObject *object, Str key, Str cause, Str expected)
{
    StrBuf path = {0};

    Jsn_AppendPath(object, key, &path);
    Fnd_Add(object->findings, StrBuf_View(&path), cause, expected);
    StrBuf_Finish(&path);
}

json_t *
Jsn_Get(JsonObject *object, Str key)
{
    if (object->read_count < Jsn_FIELDS_MAX) {
        object->read_keys[object->read_count++] = key;
    }
    return object->object ? json_object_getn(object->object, key.ptr, key.len)
                          : NULL;
}

void
Jsn_GetStr(JsonObject *object, Str key, bool required, StrBuf *out)
{
    json_t *value = Jsn_Get(object, key);

    if (json_is_string(value)) {
        StrBuf_Set(out, Str_From(json_string_value(value),
                                 json_string_length(value)));
    }
    else if (value || (required && object->object)) {
        Jsn_AddFinding(object, key,
                       value ? Str_LIT("not a string") : Str_LIT("missing"),
                       Str_LIT("a string"));
    }
}

int64_t
Jsn_GetInt(JsonObject *object, Str key, int64_t min, int64_t max,
           int64_t fallback)
{
    json_t *value = Jsn_Get(object, key);
    StrBuf expected = {0};

    if (!value) {
        return fallback;
    }
    if (json_is_integer(value) && json_integer_value(value) >= min &&
        json_integer_value(value) <= max) {
        return json_integer_value(value);
    }
    StrBuf_AppendFmt(&expected, "a whole number from %" PRId64 " to %" PRId64,
                     min, max);
    Jsn_AddFinding(object, key,
                   json_is_integer(value) ? Str_LIT("out of range")
                                          : Str_LIT("not a whole number"),
                   StrBuf_View(&expected));
    StrBuf_Finish(&expected);
    return fallback;
}

bool
Jsn_GetBool(JsonObject *object, Str key, bool fallback)
{
    json_t *value = Jsn_Get(object, key);

    if (json_is_boolean(value)) {
        return json_is_true(value);
    }
    if (value) {
        Jsn_AddFinding(object, key, Str_LIT("not a boolean"),
                       Str_LIT("true or false"));
    }
    return fallback;
}

json_t *
Jsn_GetArray(JsonObject *object, Str key, bool required)
{
    json_t *value = Jsn_Get(object, key);

    if (json_is_array(value)) {
        return value;
    }
    if (value || (required && object->object)) {
        Jsn_AddFinding(object, key,
                       value ? Str_LIT("not an array") : Str_LIT("missing"),
                       Str_LIT("an array"));
    }
    return NULL;
}
