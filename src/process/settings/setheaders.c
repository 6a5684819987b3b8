#include "process/settings/setheaders.h"

static void
read_field_name(JsonObject *fields, Str key, Str default_name, StrBuf *name)
{
    StrBuf_Set(name, default_name);
    Jsn_GetStr(fields, key, false, name);
}

void
Set_ReadHeaderFields(HeaderFieldNames *names, JsonObject *object)
{
    static const Str key = Str_LIT("header_fields");
    json_t *value = Jsn_Get(object, key);
    json_t *empty = value ? NULL : json_object();
    JsonObject fields;

    Jsn_Enter(&fields, value ? value : empty, Str_LIT("/header_fields"),
              object->findings);
    read_field_name(&fields, Str_LIT("request_id"), Str_LIT("X-Request-Id"),
                    &names->request_id);
    read_field_name(&fields, Str_LIT("deadline_ms"),
                    Str_LIT("X-Lycheeridge-Deadline-Ms"), &names->deadline);
    read_field_name(&fields, Str_LIT("outcome"),
                    Str_LIT("X-Lycheeridge-Outcome"), &names->outcome);
    read_field_name(&fields, Str_LIT("expect_instance"), (Str){0},
                    &names->expect_instance);
    read_field_name(&fields, Str_LIT("not_run"),
                    Str_LIT("X-Lycheeridge-Not-Run"), &names->not_run);
    read_field_name(&fields, Str_LIT("load"), (Str){0}, &names->load);
    read_field_name(&fields, Str_LIT("origin_service"), (Str){0},
                    &names->origin_service);
    read_field_name(&fields, Str_LIT("origin_value"), (Str){0},
                    &names->origin_value);
    read_field_name(&fields, Str_LIT("account"), (Str){0}, &names->account);
    read_field_name(&fields, Str_LIT("cold"), (Str){0}, &names->cold);
    Jsn_Leave(&fields);
    json_decref(empty);
}

void
Set_FinishHeaderFields(HeaderFieldNames *names)
{
    StrBuf_Finish(&names->request_id);
    StrBuf_Finish(&names->deadline);
    StrBuf_Finish(&names->outcome);
    StrBuf_Finish(&names->expect_instance);
    StrBuf_Finish(&names->not_run);
    StrBuf_Finish(&names->load);
    StrBuf_Finish(&names->origin_service);
    StrBuf_Finish(&names->origin_value);
    StrBuf_Finish(&names->account);
    StrBuf_Finish(&names->cold);
}
