#include "process/setnames.h"

static void
read_name(JsonObject *o, Str key, Str own, StrBuf *name)
{
    StrBuf_Set(name, own);
    Jsn_GetStr(o, key, false, name);
}

void
Set_ReadNames(SetNames *names, JsonObject *object)
{
    static const Str key = Str_LIT("header_fields");
    json_t *value = Jsn_Get(object, key);
    json_t *none = value ? NULL : json_object();
    JsonObject o;

    Jsn_Enter(&o, value ? value : none, Str_LIT("/header_fields"),
              object->findings);
    read_name(&o, Str_LIT("request_id"), Str_LIT("X-Request-Id"),
              &names->request_id);
    read_name(&o, Str_LIT("deadline_ms"), Str_LIT("X-Lycheeridge-Deadline-Ms"),
              &names->deadline);
    read_name(&o, Str_LIT("outcome"), Str_LIT("X-Lycheeridge-Outcome"),
              &names->outcome);
    read_name(&o, Str_LIT("expect_instance"), (Str){0}, &names->expect);
    read_name(&o, Str_LIT("not_run"), Str_LIT("X-Lycheeridge-Not-Run"),
              &names->not_run);
    read_name(&o, Str_LIT("load"), (Str){0}, &names->load);
    read_name(&o, Str_LIT("origin_service"), (Str){0}, &names->origin);
    read_name(&o, Str_LIT("origin_value"), (Str){0}, &names->origin_value);
    Jsn_Leave(&o);
    json_decref(none);
}

void
Set_FinishNames(SetNames *names)
{
    StrBuf_Finish(&names->request_id);
    StrBuf_Finish(&names->deadline);
    StrBuf_Finish(&names->outcome);
    StrBuf_Finish(&names->expect);
    StrBuf_Finish(&names->not_run);
    StrBuf_Finish(&names->load);
    StrBuf_Finish(&names->origin);
    StrBuf_Finish(&names->origin_value);
}
