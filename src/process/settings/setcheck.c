#include "process/settings/setcheck.h"

enum { NAME_BYTES_MAX = 64, KEY_BYTES_MIN = 8, KEY_BYTES_MAX = 256 };

static void
check_name(const Settings *settings, JsonObject *object)
{
    if (settings->name.len > NAME_BYTES_MAX) {
        Jsn_AddFinding(object, Str_LIT("name"), Str_LIT("too long"),
                       Str_LIT("at most 64 bytes"));
    }
}

static void
check_key(const Settings *settings, JsonObject *object)
{
    size_t len = settings->operator_key.len;

    if (json_object_getn(object->object, "operator_key", 12) &&
        (len < KEY_BYTES_MIN || len > KEY_BYTES_MAX)) {
        Jsn_AddFinding(object, Str_LIT("operator_key"),
                       Str_LIT("too short or too long"),
                       Str_LIT("8 to 256 bytes"));
    }
}

static void
check_addresses(const Settings *settings, JsonObject *object)
{
    if (settings->address && (settings->address == settings->callers ||
                              settings->address == settings->operators)) {
        Jsn_AddFinding(object, Str_LIT("address"),
                       Str_LIT("address used twice"),
                       Str_LIT("an address that no other key uses"));
    }
    if (settings->callers && settings->callers == settings->operators) {
        Jsn_AddFinding(object, Str_LIT("callers"),
                       Str_LIT("address used twice"),
                       Str_LIT("an address that no other key uses"));
    }
}

static void
check_domains(const Settings *settings, JsonObject *object)
{
    for (size_t i = 0; i < settings->domain_count; i++) {
        for (size_t k = 0; k < i; k++) {
            if (Str_Equal(StrBuf_View(&settings->domains[i].name),
                          StrBuf_View(&settings->domains[k].name))) {
                Jsn_AddFinding(object, Str_LIT("failure_domains"),
                               Str_LIT("duplicate name"),
                               Str_LIT("unique names"));
            }
        }
    }
}

static void
check_replicas(const Settings *settings, JsonObject *object)
{
    for (size_t i = 0; i < settings->replica_count; i++) {
        for (size_t k = 0; k < i; k++) {
            if (settings->replicas[i] &&
                settings->replicas[i] == settings->replicas[k]) {
                Jsn_AddFinding(object, Str_LIT("control_replicas"),
                               Str_LIT("duplicate address"),
                               Str_LIT("unique addresses"));
            }
        }
    }
}

void
Set_CheckValues(const Settings *settings, JsonObject *object)
{
    check_name(settings, object);
    check_key(settings, object);
    check_addresses(settings, object);
    check_domains(settings, object);
    check_replicas(settings, object);
}
