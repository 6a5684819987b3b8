#include "process/settings/setbounds.h"

/* From the end of a graceful stop to the end of the process. */
#define EXIT_TIME Span_MS(800)

/* Without the bound "config_apply_ms". */
#define APPLY_BOUND Span_MS(2000)

enum { GRACE_MAX_S = 3600, APPLY_MAX_MS = 3600000 };

/* Reads a whole number; a fraction is ignored. */
static bool
read_number(Str text, uint64_t max, uint64_t *number)
{
    return Str_ToU64(Str_Slice(text, 0, Str_Find(text, '.')), number) &&
           *number <= max;
}

static void
set_stop_bound(Settings *settings, uint64_t grace_s)
{
    Span grace = Span_S(grace_s);

    settings->stop_bound = grace > EXIT_TIME ? grace - EXIT_TIME : 0;
}

/* Reads TEXT, one bound.  Returns false when it has no name, or is a known one
 * with a value that cannot be read. */
static bool
read_bound(Settings *settings, Str text)
{
    size_t name_len = Str_Find(text, '=');
    Str name = Str_Slice(text, 0, name_len);
    Str value = Str_Slice(text, name_len + 1, text.len);
    uint64_t number = 0;

    if (name_len == text.len) {
        return false;
    }
    if (Str_Equal(name, Str_LIT("stop_grace_s"))) {
        if (!read_number(value, GRACE_MAX_S, &number)) {
            return false;
        }
        set_stop_bound(settings, number);
    }
    else if (Str_Equal(name, Str_LIT("config_apply_ms"))) {
        if (!read_number(value, APPLY_MAX_MS, &number)) {
            return false;
        }
        settings->apply_bound = Span_MS(number);
    }
    return true;
}

void
Set_ReadBounds(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("bounds"), false);

    settings->apply_bound = APPLY_BOUND;
    for (size_t i = 0; i < json_array_size(array); i++) {
        json_t *item = json_array_get(array, i);
        Str text = Str_From(json_string_value(item), json_string_length(item));
        if (!json_is_string(item) || !read_bound(settings, text)) {
            Jsn_AddFinding(object, Str_LIT("bounds"), Str_LIT("not a bound"),
                           Str_LIT("texts such as stop_grace_s=10 or "
                                   "config_apply_ms=2000, with at most an "
                                   "hour"));
        }
    }
}
