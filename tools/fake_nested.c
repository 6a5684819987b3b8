#include "fake_nested.h"

#include <event2/buffer.h>

#include "connection/evhttptext.h"
#include "value/mem.h"

struct NestedCall {
    struct evhttp_request *request;
    NclDone done;
    void *context;
};

static const Str levels_name = Str_LIT("X-Fake-Calls");

static Str
get_field(struct evhttp_request *request, const char *name)
{
    return Str_FromC(
        evhttp_find_header(evhttp_request_get_input_headers(request), name));
}

uint64_t
Ncl_GetLevels(struct evhttp_request *request)
{
    uint64_t levels = 0;

    Str_ToU64(get_field(request, "X-Fake-Calls"), &levels);
    return levels;
}

static void
on_answer(struct evhttp_request *request, void *context)
{
    NestedCall *nested = context;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    Str body = {0};

    if (status) {
        body = Evt_BufferView(evhttp_request_get_input_buffer(request));
    }
    nested->done(nested->context, status, body);
    Mem_Free(nested);
}

/* Returns whether a header field of the request is copied to the nested call.
 */
static bool
is_forwarded(Str name)
{
    return (Str_StartsWith(name, Str_LIT("X-Fake-")) &&
            !Str_EqualNoCase(name, levels_name)) ||
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
        if (is_forwarded(fields.items[i].name)) {
            Evt_AddField(headers, fields.items[i].name, fields.items[i].value);
        }
    }
    Evt_AddField(headers, Str_LIT("Host"), Str_LIT("beside"));
    add_number(headers, levels_name, (int64_t)Ncl_GetLevels(from) - 1);
    add_number(headers, Str_LIT("X-Lycheeridge-Deadline-Ms"), left / 1000);
}

/* X-Fake-Last-Path can send the last level to another service. */
static const char *
choose_target(struct evhttp_request *from)
{
    const char *last = evhttp_find_header(
        evhttp_request_get_input_headers(from), "X-Fake-Last-Path");

    return last && Ncl_GetLevels(from) == 1 ? last
                                            : evhttp_request_get_uri(from);
}

NestedCall *
Ncl_Start(FakeServer *fake, struct evhttp_request *from, Span left,
          NclDone done, void *context)
{
    NestedCall *nested = Mem_Alloc(1, sizeof *nested);
    StrBuf ip = {0};
    struct evhttp_connection *connection;

    Addr_PrintIp(fake->node_callers_addr, &ip);
    connection =
        evhttp_connection_base_new(fake->loop.base, NULL, StrBuf_CStr(&ip),
                                   Addr_Port(fake->node_callers_addr));
    evhttp_connection_free_on_completion(connection);
    *nested =
        (NestedCall){evhttp_request_new(on_answer, nested), done, context};
    add_headers(nested->request, from, left);
    evhttp_make_request(connection, nested->request, EVHTTP_REQ_GET,
                        choose_target(from));
    StrBuf_Finish(&ip);
    return nested;
}

void
Ncl_Cancel(NestedCall *nested)
{
    evhttp_cancel_request(nested->request);
    Mem_Free(nested);
}
