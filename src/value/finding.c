#include "value/finding.h"

#include "value/mem.h"

void
Fnd_Init(FindingList *list)
{
    *list = (FindingList){0};
}

void
Fnd_Finish(FindingList *list)
{
    for (size_t i = 0; i < list->count; i++) {
        StrBuf_Finish(&list->items[i].file);
        StrBuf_Finish(&list->items[i].location);
        StrBuf_Finish(&list->items[i].cause);
        StrBuf_Finish(&list->items[i].expected);
    }
    Mem_Free(list->items);
    StrBuf_Finish(&list->file);
    *list = (FindingList){0};
}

void
Fnd_SetFile(FindingList *list, Str file)
{
    StrBuf_Set(&list->file, file);
}

void
Fnd_Add(FindingList *list, Str location, Str cause, Str expected)
{
    Finding *item;

    if (list->count == list->cap) {
        list->cap = list->cap ? list->cap * 2 : 8;
        list->items = Mem_Resize(list->items, list->cap, sizeof *list->items);
    }
    item = &list->items[list->count++];
    *item = (Finding){0};
    StrBuf_Set(&item->file, StrBuf_View(&list->file));
    StrBuf_Set(&item->location, location);
    StrBuf_Set(&item->cause, cause);
    StrBuf_Set(&item->expected, expected);
}

void
Fnd_Print(const FindingList *list, StrBuf *out)
{
    for (size_t i = 0; i < list->count; i++) {
        const Finding *item = &list->items[i];
        StrBuf_AppendFmt(out, "%.*s: %.*s: %.*s; expected %.*s\n",
                         Str_ARG(item->file), Str_ARG(item->location),
                         Str_ARG(item->cause), Str_ARG(item->expected));
    }
}
