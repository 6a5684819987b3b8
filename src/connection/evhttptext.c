#include "connection/evhttptext.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

typedef struct {
    enum evhttp_cmd_type method;
    Str name;
} MethodName;

static const MethodName methods[] = {
    {EVHTTP_REQ_GET, Str_LIT("GET")},
    {EVHTTP_REQ_POST, Str_LIT("POST")},
    {EVHTTP_REQ_HEAD, Str_LIT("HEAD")},
    {EVHTTP_REQ_PUT, Str_LIT("PUT")},
    {EVHTTP_REQ_DELETE, Str_LIT("DELETE")},
    {EVHTTP_REQ_OPTIONS, Str_LIT("OPTIONS")},
    {EVHTTP_REQ_PATCH, Str_LIT("PATCH")},
};

enum { METHOD_COUNT = sizeof methods / sizeof methods[0] };

Str
Evt_MethodName(enum evhttp_cmd_type method)
{
    for (int i = 0; i < METHOD_COUNT; i++) {
        if (methods[i].method == method) {
            return methods[i].name;
        }
    }
    return (Str){0};
}

bool
Evt_ParseMethod(Str name, enum evhttp_cmd_type *method)
{
    for (int i = 0; i < METHOD_COUNT; i++) {
        if (Str_Equal(methods[i].name, name)) {
            *method = methods[i].method;
            return true;
        }
    }
    return false;
}

bool
Evt_ReadFields(const struct evkeyvalq *headers, FieldList *fields)
{
    const struct evkeyval *item;
    Str connection = Str_FromC(evhttp_find_header(headers, "Connection"));

    fields->count = 0;
    TAILQ_FOREACH(item, headers, next)
    {
        Str name = Str_FromC(item->key);
        if (!Field_IsHopByHop(name, connection) &&
            !Field_Add(fields, name, Str_FromC(item->value))) {
            return false;
        }
    }
    return true;
}

void
Evt_AddField(struct evkeyvalq *headers, Str name, Str value)
{
    StrBuf key = {0};
    StrBuf text = {0};

    StrBuf_Set(&key, name);
    StrBuf_Set(&text, value);
    evhttp_add_header(headers, StrBuf_CStr(&key), StrBuf_CStr(&text));
    StrBuf_Finish(&key);
    StrBuf_Finish(&text);
}

Str
Evt_BufferView(struct evbuffer *buffer)
{
    size_t len = evbuffer_get_length(buffer);

    return Str_From(len ? (const char *)evbuffer_pullup(buffer, -1) : NULL,
                    len);
}
