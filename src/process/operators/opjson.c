#include "process/operators/opjson.h"

json_t *
Opj_Str(Str text)
{
    json_t *value = json_stringn(text.ptr ? text.ptr : "", text.len);

    return value ? value : json_string("(not UTF-8)");
}

json_t *
Opj_Addr(Addr addr)
{
    StrBuf text = {0};
    json_t *value;

    Addr_Print(addr, &text);
    value = Opj_Str(StrBuf_View(&text));
    StrBuf_Finish(&text);
    return value;
}

json_t *
Opj_Version(ConfigVersion version)
{
    return json_pack("{s:I, s:I}", "term", (json_int_t)version.term, "index",
                     (json_int_t)version.index);
}
