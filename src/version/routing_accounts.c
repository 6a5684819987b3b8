#include "version/routing_accounts.h"

#include "value/mem.h"

enum { RATE_MAX = 1000000, SECONDS_MAX = 3600, PRIORITY_MAX = 1000 };

/* Reads a list of texts that are not empty.  Returns an array that the caller
 * frees, or NULL when there are none. */
static StrBuf *
read_texts(JsonObject *object, Str key, size_t *count)
{
    json_t *array = Jsn_GetArray(object, key, false);
    StrBuf *texts = NULL;

    *count = json_array_size(array);
    if (*count) {
        texts = Mem_Alloc(*count, sizeof *texts);
    }
    for (size_t i = 0; i < *count; i++) {
        const json_t *item = json_array_get(array, i);
        if (!json_string_length(item)) {
            Jsn_AddFinding(object, key, Str_LIT("not a list of texts"),
                           Str_LIT("texts that are not empty"));
        }
        StrBuf_Set(&texts[i], Str_From(json_string_value(item),
                                       json_string_length(item)));
    }
    return texts;
}

static double
read_number(JsonObject *object, Str key, double max)
{
    const json_t *value = Jsn_Get(object, key);
    double number = json_number_value(value);

    if (!value || json_is_null(value)) {
        return 0;
    }
    if (!json_is_number(value) || number < 0 || number > max) {
        Jsn_AddFinding(object, key, Str_LIT("not in range"),
                       Str_LIT("a number that is not below 0"));
        return 0;
    }
    return number;
}

Span
Rtg_ReadSeconds(JsonObject *object, Str key)
{
    return (Span)(read_number(object, key, SECONDS_MAX) * Span_S(1));
}

uint32_t
Rtg_ReadRate(JsonObject *object, Str key)
{
    double rate = read_number(object, key, RATE_MAX);

    return rate > 0 && rate < 1 ? 1 : (uint32_t)rate;
}

void
Rtg_ReadRegions(PresetRegions *regions, JsonObject *object)
{
    regions->names =
        read_texts(object, Str_LIT("home_regions"), &regions->count);
}

static void
read_account(PresetAccount *account, json_t *value, Str place,
             FindingList *findings)
{
    JsonObject o;

    Jsn_Enter(&o, value, place, findings);
    Jsn_GetStr(&o, Str_LIT("name"), true, &account->name);
    account->keys = read_texts(&o, Str_LIT("keys"), &account->key_count);
    account->has_priority =
        json_is_integer(json_object_get(o.object, "priority"));
    account->priority =
        (uint32_t)Jsn_GetInt(&o, Str_LIT("priority"), 0, PRIORITY_MAX, 0);
    account->per_s = Rtg_ReadRate(&o, Str_LIT("rate_per_s"));
    account->burst = Rtg_ReadRate(&o, Str_LIT("burst"));
    Rtg_ReadRegions(&account->regions, &o);
    Jsn_LeaveAllowUnknown(&o);
}

/* The text of a key stays out of findings, which go to logs. */
static void
check_keys(const Preset *preset, FindingList *findings)
{
    json_t *seen = json_object();

    for (size_t i = 0; i < preset->account_count; i++) {
        const PresetAccount *account = &preset->accounts[i];
        for (size_t k = 0; k < account->key_count; k++) {
            Str key = StrBuf_View(&account->keys[k]);
            if (json_object_getn(seen, key.ptr, key.len)) {
                Fnd_Add(findings, Str_LIT("/routing/accounts"),
                        Str_LIT("a key stands twice"),
                        Str_LIT("keys that differ"));
            }
            json_object_setn_new(seen, key.ptr, key.len, json_true());
        }
    }
    json_decref(seen);
}

void
Rtg_ReadAccounts(Preset *preset, json_t *array, FindingList *findings)
{
    size_t count = json_array_size(array);

    if (!count) {
        return;
    }
    preset->accounts = Mem_Alloc(count, sizeof *preset->accounts);
    preset->account_count = count;
    for (size_t i = 0; i < count; i++) {
        StrBuf place = {0};
        StrBuf_AppendFmt(&place, "/routing/accounts/%zu", i);
        read_account(&preset->accounts[i], json_array_get(array, i),
                     StrBuf_View(&place), findings);
        StrBuf_Finish(&place);
    }
    check_keys(preset, findings);
}
