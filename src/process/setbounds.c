#include "process/setbounds.h"

/* From the end of a graceful stop to the end of the process. */
#define EXIT_TIME Span_MS(800)

enum { GRACE_MAX_S = 3600 };

/* Reads whole seconds; a fraction is ignored. */
static bool
read_seconds(Str text, uint64_t *seconds)
{
    return Str_ToU64(Str_Slice(text, 0, Str_Find(text, '.')), seconds) &&
           *seconds <= GRACE_MAX_S;
}

static void
set_stop_bound(Settings *settings, uint64_t grace_s)
{
    Span grace = Span_S(grace_s);

    settings->stop_bound = grace > EXIT_TIME ? grace - EXIT_TIME : 0;
}

/* Reads TEXT, one bound.  Returns false when it is a known one with a value
 * that cannot be read. */
static bool
read_bound(Settings *settings, Str text)
{
    size_t name_len = Str_Find(text, '=');
    uint64_t grace_s = 0;

    if (!Str_Equal(Str_Slice(text, 0, name_len), Str_LIT("stop_grace_s"))) {
        return true;
    }
    if (!read_seconds(Str_Slice(text, name_len + 1, text.len), &grace_s)) {
        return false;
    }
    set_stop_bound(settings, grace_s);
    return true;
}

void
Set_ReadBounds(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("bounds"), false);

    for (size_t i = 0; i < json_array_size(array); i++) {
        json_t *item = json_array_get(array, i);
        Str text = Str_From(json_string_value(item), json_string_length(item));
        if (!json_is_string(item) || !read_bound(settings, text)) {
            Jsn_AddFinding(object, Str_LIT("bounds"), Str_LIT("not a bound"),
                           Str_LIT("texts such as stop_grace_s=10, with 0 to "
                                   "3600 seconds"));
        }
    }
}
