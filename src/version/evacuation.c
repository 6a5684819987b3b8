/* Evacuations of failure domains, a part of the configuration (config.h). */
#include "version/config.h"

bool
Cfg_IsEvacuation(const ConfigChange *change)
{
    return change->verb == Cfg_START_EVACUATION ||
           change->verb == Cfg_END_EVACUATION;
}

static Evacuation *
find_evacuation(ConfigState *cfg, Str domain)
{
    for (uint32_t i = 0; i < cfg->evacuation_count; i++) {
        if (Str_Equal(StrBuf_View(&cfg->evacuations[i].domain), domain)) {
            return &cfg->evacuations[i];
        }
    }
    return NULL;
}

/* A place for a failure domain that has none: a new one, or that of the one
 * whose evacuation ended first.  NULL: all are evacuated. */
static Evacuation *
find_place(ConfigState *cfg)
{
    Evacuation *oldest = NULL;

    if (cfg->evacuation_count < Cfg_EVACUATIONS_MAX) {
        return &cfg->evacuations[cfg->evacuation_count++];
    }
    for (uint32_t i = 0; i < cfg->evacuation_count; i++) {
        Evacuation *item = &cfg->evacuations[i];
        if (item->is_ended &&
            (!oldest ||
             Cfg_CompareVersions(item->changed_in, oldest->changed_in) < 0)) {
            oldest = item;
        }
    }
    return oldest;
}

/* Whether CHANGE came late: it would undo the order in ITEM, which its sender
 * did not know. */
static bool
is_late(const Evacuation *item, const ConfigChange *change, bool is_end)
{
    return item && item->is_ended != is_end &&
           Cfg_CompareVersions(change->base_version, item->changed_in) < 0;
}

/* An order that finds what it asks for, and whose sender knew of that, is a
 * newer word of it: an opposite order on an older version comes late now. */
static void
confirm_order(ConfigState *cfg, Evacuation *item, const ConfigChange *change,
              ConfigVersion version, ConfigResult *result)
{
    if (item &&
        Cfg_CompareVersions(change->base_version, item->changed_in) >= 0) {
        item->changed_in = version;
        cfg->version = version;
        result->version = version;
    }
}

void
Cfg_ApplyEvacuation(ConfigState *cfg, const ConfigChange *change,
                    ConfigVersion version, ConfigResult *result)
{
    bool is_end = change->verb == Cfg_END_EVACUATION;
    Evacuation *item = find_evacuation(cfg, change->preset_name);

    *result = (ConfigResult){.outcome = Cfg_ACCEPTED, .version = cfg->version};
    if (is_late(item, change, is_end)) {
        result->outcome = Cfg_CONFLICT;
        return;
    }
    if (item ? item->is_ended == is_end : is_end) {
        result->is_repeat = true;
        confirm_order(cfg, item, change, version, result);
        return;
    }
    item = item ? item : find_place(cfg);
    if (!item) {
        result->outcome = Cfg_REJECTED;
        result->reason = Cfg_REASON_TOO_MANY_DOMAINS;
        return;
    }
    StrBuf_Set(&item->domain, change->preset_name);
    item->is_ended = is_end;
    item->changed_in = version;
    cfg->version = version;
    result->version = version;
}

void
Cfg_ListEvacuated(const ConfigState *cfg, StrBuf *out)
{
    for (uint32_t i = 0; i < cfg->evacuation_count; i++) {
        if (!cfg->evacuations[i].is_ended) {
            StrBuf_Append(out, StrBuf_View(&cfg->evacuations[i].domain));
            StrBuf_Append(out, Str_LIT("\n"));
        }
    }
}

bool
Cfg_IsListed(Str list, Str domain)
{
    while (list.len) {
        size_t end = Str_Find(list, '\n');
        if (Str_Equal(Str_Slice(list, 0, end), domain)) {
            return true;
        }
        list = Str_Slice(list, end + 1, list.len);
    }
    return false;
}
