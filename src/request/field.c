#include "request/field.h"

bool
Field_Add(FieldList *list, Str name, Str value)
{
    if (list->count == Field_MAX) {
        return false;
    }
    list->items[list->count++] = (Field){name, value};
    return true;
}

Str
Field_Get(const FieldList *list, Str name)
{
    for (size_t i = 0; i < list->count; i++) {
        if (Str_EqualNoCase(list->items[i].name, name)) {
            return list->items[i].value;
        }
    }
    return (Str){0};
}

static bool
is_listed(Str list, Str name)
{
    while (list.len) {
        size_t end = Str_Find(list, ',');
        if (Str_EqualNoCase(Str_Trim(Str_Slice(list, 0, end)), name)) {
            return true;
        }
        list = Str_Slice(list, end + 1, list.len);
    }
    return false;
}

bool
Field_IsHopByHop(Str name, Str connection)
{
    static const Str names[] = {
        Str_LIT("Connection"),
        Str_LIT("Keep-Alive"),
        Str_LIT("Proxy-Authenticate"),
        Str_LIT("Proxy-Authorization"),
        Str_LIT("Proxy-Connection"),
        Str_LIT("TE"),
        Str_LIT("Trailer"),
        Str_LIT("Transfer-Encoding"),
        Str_LIT("Upgrade"),
        Str_LIT("Expect"),
    };

    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
        if (Str_EqualNoCase(name, names[i])) {
            return true;
        }
    }
    return is_listed(connection, name);
}
