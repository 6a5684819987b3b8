#include "process/settings/setkeys.h"

#include "process/curve.h"

static void
check_key_pair(Settings *settings, JsonObject *object)
{
    Str public_key = StrBuf_View(&settings->curve_public);
    Str secret_key = StrBuf_View(&settings->curve_secret);

    if (public_key.len + secret_key.len &&
        !Curve_IsKeyPair(public_key, secret_key)) {
        Jsn_AddFinding(object, Str_LIT("curve_public"),
                       Str_LIT("not a valid key pair"),
                       Str_LIT("a pair printed by \"lycheeridge keys new\""));
    }
}

static void
read_allowed_key(Settings *settings, json_t *value, JsonObject *object)
{
    Str text = Str_From(json_string_value(value), json_string_length(value));
    CurveKey key;

    if (!Curve_ParseKey(text, &key)) {
        Jsn_AddFinding(object, Str_LIT("curve_allowed"),
                       Str_LIT("not a public key"),
                       Str_LIT("keys of 40 Z85 characters"));
    }
    else if (settings->curve_allowed_count < Set_CURVE_KEYS_MAX) {
        StrBuf_Set(&settings->curve_allowed[settings->curve_allowed_count++],
                   text);
    }
}

static void
check_allowed_keys(Settings *settings, json_t *array, JsonObject *object)
{
    Str own = StrBuf_View(&settings->curve_public);

    if (json_array_size(array) > Set_CURVE_KEYS_MAX) {
        Jsn_AddFinding(object, Str_LIT("curve_allowed"),
                       Str_LIT("too many keys"), Str_LIT("at most 8"));
    }
    for (size_t i = 0; i < settings->curve_allowed_count; i++) {
        if (Str_Equal(StrBuf_View(&settings->curve_allowed[i]), own)) {
            return;
        }
    }
    Jsn_AddFinding(object, Str_LIT("curve_allowed"),
                   Str_LIT("this node's key is missing"),
                   Str_LIT("a list that contains curve_public"));
}

static void
read_change(Settings *settings, JsonObject *object)
{
    StrBuf text = {0};

    Jsn_GetStr(object, Str_LIT("curve_change"), false, &text);
    if (Str_Equal(StrBuf_View(&text), Str_LIT("unkeyed"))) {
        settings->curve_change = Set_CURVE_UNKEYED;
    }
    else if (Str_Equal(StrBuf_View(&text), Str_LIT("keyed"))) {
        settings->curve_change = Set_CURVE_KEYED;
    }
    else if (json_object_getn(object->object, "curve_change", 12)) {
        Jsn_AddFinding(object, Str_LIT("curve_change"),
                       Str_LIT("unknown value"),
                       Str_LIT("unkeyed, keyed or no such key"));
    }
    if (settings->curve_change && settings->curve_public.len == 0) {
        Jsn_AddFinding(object, Str_LIT("curve_change"),
                       Str_LIT("set without CURVE keys"),
                       Str_LIT("curve_public and curve_secret as well"));
    }
    StrBuf_Finish(&text);
}

void
Set_ReadCurveKeys(Settings *settings, JsonObject *object)
{
    json_t *array;
    size_t index;
    json_t *value;

    Jsn_GetStr(object, Str_LIT("curve_public"), false,
               &settings->curve_public);
    Jsn_GetStr(object, Str_LIT("curve_secret"), false,
               &settings->curve_secret);
    array = Jsn_GetArray(object, Str_LIT("curve_allowed"), false);
    check_key_pair(settings, object);
    json_array_foreach(array, index, value)
    {
        read_allowed_key(settings, value, object);
    }
    if (array) {
        check_allowed_keys(settings, array, object);
    }
    else if (settings->curve_public.len) {
        StrBuf_Set(&settings->curve_allowed[settings->curve_allowed_count++],
                   StrBuf_View(&settings->curve_public));
    }
    read_change(settings, object);
}
