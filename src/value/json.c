#include "value/json.h"

#include <inttypes.h>

json_t *
Jsn_Load(Str text, FindingList *findings)
{
    json_error_t error;
    json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
                              JSON_REJECT_DUPLICATES, &error);

    if (!root) {
        StrBuf place = {0};
        StrBuf_AppendFmt(&place, "line %d column %d", error.line,
                         error.column);
        Fnd_Add(findings, StrBuf_View(&place), Str_FromC(error.text),
                Str_LIT("JSON (RFC 8259) without repeated names"));
        StrBuf_Finish(&place);
    }
    return root;
}

void
Jsn_Enter(JsnObject *object, json_t *value, Str place, FindingList *findings)
{
    *object = (JsnObject){.findings = findings};
    StrBuf_Set(&object->place, place);
    if (json_is_object(value)) {
        object->object = value;
        return;
    }
    Fnd_Add(findings, place.len ? place : Str_LIT("/"),
            value ? Str_LIT("not an object") : Str_LIT("missing"),
            Str_LIT("an object"));
}

static bool
was_read(const JsnObject *object, Str key)
{
    for (size_t i = 0; i < object->read_count; i++) {
        if (Str_Equal(object->read[i], key)) {
            return true;
        }
    }
    return false;
}

void
Jsn_Leave(JsnObject *object)
{
    const char *key;
    size_t len;
    json_t *value;

    json_object_keylen_foreach(object->object, key, len, value)
    {
        if (!was_read(object, Str_From(key, len))) {
            Jsn_Find(object, Str_From(key, len), Str_LIT("unknown setting"),
                     Str_LIT("one of the names in docs/OPERATING.md"));
        }
    }
    StrBuf_Finish(&object->place);
}

void
Jsn_LeaveOpen(JsnObject *object)
{
    StrBuf_Finish(&object->place);
}

void
Jsn_Place(const JsnObject *object, Str key, StrBuf *out)
{
    StrBuf_Append(out, StrBuf_View(&object->place));
    StrBuf_AppendFmt(out, "/%.*s", Str_ARG(key));
}

void
Jsn_Find(JsnObject *object, Str key, Str cause, Str expected)
{
    StrBuf place = {0};

    Jsn_Place(object, key, &place);
    Fnd_Add(object->findings, StrBuf_View(&place), cause, expected);
    StrBuf_Finish(&place);
}

json_t *
Jsn_Get(JsnObject *object, Str key)
{
    if (object->read_count < Jsn_FIELDS_MAX) {
        object->read[object->read_count++] = key;
    }
    return object->object ? json_object_getn(object->object, key.ptr, key.len)
                          : NULL;
}

void
Jsn_GetStr(JsnObject *object, Str key, bool required, StrBuf *out)
{
    json_t *value = Jsn_Get(object, key);

    if (json_is_string(value)) {
        StrBuf_Set(out, Str_From(json_string_value(value),
                                 json_string_length(value)));
    }
    else if (value || (required && object->object)) {
        Jsn_Find(object, key,
                 value ? Str_LIT("not a string") : Str_LIT("missing"),
                 Str_LIT("a string"));
    }
}

int64_t
Jsn_GetInt(JsnObject *object, Str key, int64_t min, int64_t max,
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
    Jsn_Find(object, key,
             json_is_integer(value) ? Str_LIT("out of range")
                                    : Str_LIT("not a whole number"),
             StrBuf_View(&expected));
    StrBuf_Finish(&expected);
    return fallback;
}

bool
Jsn_GetBool(JsnObject *object, Str key, bool fallback)
{
    json_t *value = Jsn_Get(object, key);

    if (json_is_boolean(value)) {
        return json_is_true(value);
    }
    if (value) {
        Jsn_Find(object, key, Str_LIT("not a boolean"),
                 Str_LIT("true or false"));
    }
    return fallback;
}

json_t *
Jsn_GetArray(JsnObject *object, Str key, bool required)
{
    json_t *value = Jsn_Get(object, key);

    if (json_is_array(value)) {
        return value;
    }
    if (value || (required && object->object)) {
        Jsn_Find(object, key,
                 value ? Str_LIT("not an array") : Str_LIT("missing"),
                 Str_LIT("an array"));
    }
    return NULL;
}
