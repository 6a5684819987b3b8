#include "request/depth.h"

static const Str depth_field = Str_LIT("X-Lycheeridge-Depth");

uint32_t
Dep_Read(const FieldList *fields)
{
    uint64_t depth = 0;

    if (!Str_ToU64(Field_Get(fields, depth_field), &depth)) {
        return 0;
    }
    return depth < UINT32_MAX ? (uint32_t)depth : UINT32_MAX - 1;
}

bool
Dep_Write(FieldList *fields, uint32_t depth, StrBuf *text)
{
    StrBuf_Clear(text);
    StrBuf_AppendFmt(text, "%u", depth);
    for (size_t i = 0; i < fields->count; i++) {
        if (Str_EqualNoCase(fields->items[i].name, depth_field)) {
            fields->items[i].value = StrBuf_View(text);
            return true;
        }
    }
    return Field_Add(fields, depth_field, StrBuf_View(text));
}
