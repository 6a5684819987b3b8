#include "fake_onward.h"

#include <event2/buffer.h>

#include "connection/evhttptext.h"
#include "value/mem.h"

struct Onward {
    struct evhttp_request *request;
    OnwDone done;
    void *context;
};

static const Str levels_field = Str_LIT("X-Fake-Calls");

static Str
get(struct evhttp_request *request, const char *name)
{
    return Str_FromC(
        evhttp_find_header(evhttp_request_get_input_headers(request), name));
}

uint64_t
Onw_Levels(struct evhttp_request *request)
{
    uint64_t levels = 0;

    Str_ToU64(get(request, "X-Fake-Calls"), &levels);
    return levels;
}

static void
on_end(struct evhttp_request *request, void *context)
{
    Onward *onward = context;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    Str body = {0};

    if (status) {
        body = Evt_BufferView(evhttp_request_get_input_buffer(request));
    }
    onward->done(onward->context, status, body);
    Mem_Free(onward);
}

static bool
goes_on(Str name)
{
    return (Str_StartsWith(name, Str_LIT("X-Fake-")) &&
            !Str_EqualNoCase(name, levels_field)) ||
           Str_EqualNoCase(name, Str_LIT("X-Lycheeridge-Depth")) ||
           Str_EqualNoCase(name, Str_LIT("X-Request-Id"));
}

static void
add_number(struct evkeyvalq *headers, Str name, int64_t number)
{
    StrBuf text = {0};

    StrBuf_AppendFmt(&text, "%lld", (long long)number);
    Evt_AddField(headers, name, StrBuf_View(&text));
    StrBuf_Finish(&text);
}

static void
add_headers(struct evhttp_request *to, struct evhttp_request *from, Span left)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(to);
    FieldList fields;

    Evt_ReadFields(evhttp_request_get_input_headers(from), &fields);
    for (size_t i = 0; i < fields.count; i++) {
        if (goes_on(fields.items[i].name)) {
            Evt_AddField(headers, fields.items[i].name, fields.items[i].value);
        }
    }
    Evt_AddField(headers, Str_LIT("Host"), Str_LIT("beside"));
    add_number(headers, levels_field, (int64_t)Onw_Levels(from) - 1);
    add_number(headers, Str_LIT("X-Lycheeridge-Deadline-Ms"), left / 1000);
}

/* The last level may be another service. */
static const char *
choose_target(struct evhttp_request *from)
{
    const char *last = evhttp_find_header(
        evhttp_request_get_input_headers(from), "X-Fake-Last-Path");

    return last && Onw_Levels(from) == 1 ? last : evhttp_request_get_uri(from);
}

Onward *
Onw_Start(Fake *fake, struct evhttp_request *from, Span left, OnwDone done,
          void *context)
{
    Onward *onward = Mem_Alloc(1, sizeof *onward);
    StrBuf ip = {0};
    struct evhttp_connection *connection;

    Addr_PrintIp(fake->calls, &ip);
    connection = evhttp_connection_base_new(
        fake->loop.base, NULL, StrBuf_CStr(&ip), Addr_Port(fake->calls));
    evhttp_connection_free_on_completion(connection);
    *onward = (Onward){evhttp_request_new(on_end, onward), done, context};
    add_headers(onward->request, from, left);
    evhttp_make_request(connection, onward->request, EVHTTP_REQ_GET,
                        choose_target(from));
    StrBuf_Finish(&ip);
    return onward;
}

void
Onw_Cancel(Onward *onward)
{
    evhttp_cancel_request(onward->request);
    Mem_Free(onward);
}
