#include "process/settings/setbounds.h"

/* From the end of a graceful stop to the end of the process. */
#define EXIT_TIME Span_MS(800)

/* Without the bound "config_apply_ms". */
#define APPLY_BOUND Span_MS(2000)

/* Longest time and largest number that a bound may state. */
enum { TIME_MAX_MS = 3600 * 1000, NUMBER_MAX = 1000000, PERMILLE = 1000 };

#define NOT_STATED UINT64_MAX

/* The bounds that are read, in units of a thousandth of what is stated. */
typedef struct {
    uint64_t stop_grace;    /* ms; NOT_STATED */
    uint64_t config_apply;  /* us */
    uint64_t revoke_strict; /* permille: 1000 for true */
    uint64_t revoke;        /* us */
    uint64_t quota_window;  /* ms */
    uint64_t quota_overage; /* permille */
    uint64_t quota_slack;   /* thousandths of a call */
    uint64_t cold_overage;  /* permille */
    uint64_t cold_slack;    /* thousandths of a call */
} StatedBounds;

typedef struct {
    Str name;
    size_t offset; /* of a member of StatedBounds */
    uint64_t max;  /* as stated */
} BoundRow;

static const BoundRow bound_rows[] = {
    {Str_LIT("stop_grace_s"), offsetof(StatedBounds, stop_grace),
     TIME_MAX_MS / 1000},
    {Str_LIT("config_apply_ms"), offsetof(StatedBounds, config_apply),
     TIME_MAX_MS},
    {Str_LIT("revoke_strict"), offsetof(StatedBounds, revoke_strict), 1},
    {Str_LIT("revoke_ms"), offsetof(StatedBounds, revoke), TIME_MAX_MS},
    {Str_LIT("quota_window_s"), offsetof(StatedBounds, quota_window),
     TIME_MAX_MS / 1000},
    {Str_LIT("quota_overage"), offsetof(StatedBounds, quota_overage),
     NUMBER_MAX},
    {Str_LIT("quota_slack"), offsetof(StatedBounds, quota_slack), NUMBER_MAX},
    {Str_LIT("cold_overage"), offsetof(StatedBounds, cold_overage),
     NUMBER_MAX},
    {Str_LIT("cold_slack"), offsetof(StatedBounds, cold_slack), NUMBER_MAX},
};

enum { BOUND_COUNT = sizeof bound_rows / sizeof bound_rows[0] };

/* Reads a number that is not negative, in thousandths; further digits of its
 * fraction are ignored. */
static bool
read_thousandths(Str text, uint64_t max, uint64_t *number)
{
    size_t point = Str_Find(text, '.');
    Str fraction = Str_Slice(text, point + 1, 3);
    uint64_t whole = 0;
    uint64_t part = 0;

    if (!Str_ToU64(Str_Slice(text, 0, point), &whole) || whole > max ||
        (fraction.len && !Str_ToU64(fraction, &part))) {
        return false;
    }
    for (size_t i = fraction.len; i < 3; i++) {
        part *= 10;
    }
    *number = whole * PERMILLE + part;
    return true;
}

static bool
read_value(Str text, uint64_t max, uint64_t *number)
{
    if (Str_Equal(text, Str_LIT("true"))) {
        *number = PERMILLE;
        return true;
    }
    if (Str_Equal(text, Str_LIT("false"))) {
        *number = 0;
        return true;
    }
    return read_thousandths(text, max, number);
}

/* Reads TEXT, one bound.  Returns false when it has no name, or is a known one
 * with a value that cannot be read. */
static bool
read_bound(StatedBounds *stated, Str text)
{
    size_t name_len = Str_Find(text, '=');
    Str name = Str_Slice(text, 0, name_len);
    Str value = Str_Slice(text, name_len + 1, text.len);

    if (name_len == text.len) {
        return false;
    }
    for (size_t i = 0; i < BOUND_COUNT; i++) {
        const BoundRow *row = &bound_rows[i];
        if (Str_Equal(name, row->name)) {
            return read_value(value, row->max,
                              (uint64_t *)((char *)stated + row->offset));
        }
    }
    return true;
}

static void
apply_bounds(Settings *settings, const StatedBounds *stated)
{
    Span grace = Span_S((int64_t)(stated->stop_grace / PERMILLE));

    if (stated->stop_grace != NOT_STATED) {
        settings->stop_bound = grace > EXIT_TIME ? grace - EXIT_TIME : 0;
    }
    settings->apply_bound =
        stated->config_apply
            ? Span_MS((int64_t)(stated->config_apply / PERMILLE))
            : APPLY_BOUND;
    settings->revoke_bound = stated->revoke_strict ? (Span)stated->revoke : 0;
    settings->quota = (QuotaBounds){
        .window = Span_MS(stated->quota_window),
        .overage_permille = (uint32_t)stated->quota_overage,
        .slack = (uint32_t)(stated->quota_slack / PERMILLE),
    };
    settings->cold = (ColdBounds){
        .overage_permille = (uint32_t)stated->cold_overage,
        .slack = (uint32_t)(stated->cold_slack / PERMILLE),
    };
}

void
Set_ReadBounds(Settings *settings, JsonObject *object)
{
    json_t *array = Jsn_GetArray(object, Str_LIT("bounds"), false);
    StatedBounds stated = {.stop_grace = NOT_STATED};

    for (size_t i = 0; i < json_array_size(array); i++) {
        json_t *item = json_array_get(array, i);
        Str text = Str_From(json_string_value(item), json_string_length(item));
        if (!json_is_string(item) || !read_bound(&stated, text)) {
            Jsn_AddFinding(object, Str_LIT("bounds"), Str_LIT("not a bound"),
                           Str_LIT("texts such as stop_grace_s=10 or "
                                   "config_apply_ms=2000, with at most an "
                                   "hour"));
        }
    }
    apply_bounds(settings, &stated);
}
