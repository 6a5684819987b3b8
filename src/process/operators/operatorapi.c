#include "process/operators/operatorapi.h"

#include <event2/buffer.h>
#include <stdlib.h>

#include "connection/evhttptext.h"

enum { BODY_BYTES_MAX = 4 * 1024 * 1024 };

static const Str bearer_prefix = Str_LIT("Bearer ");

static bool
has_key(const OperatorApi *api, struct evhttp_request *request)
{
    Str key = StrBuf_View(&api->settings->operator_key);
    Str given = Str_FromC(evhttp_find_header(
        evhttp_request_get_input_headers(request), "Authorization"));
    unsigned char differs = 0;

    if (given.len != bearer_prefix.len + key.len ||
        !Str_StartsWith(given, bearer_prefix)) {
        return false;
    }
    /* Compares all bytes, so that the time taken reveals nothing about the
     * key. */
    for (size_t i = 0; i < key.len; i++) {
        differs |=
            (unsigned char)(given.ptr[bearer_prefix.len + i] ^ key.ptr[i]);
    }
    return differs == 0;
}

json_t *
Opr_Error(Str code, Str detail)
{
    return json_pack("{s:s%, s:s%}", "error", code.ptr, code.len, "detail",
                     detail.ptr ? detail.ptr : "", detail.len);
}

void
Opr_Answer(struct evhttp_request *request, int status, json_t *body)
{
    struct evbuffer *out = evbuffer_new();
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

    if (text) {
        Evt_AddField(evhttp_request_get_output_headers(request),
                     Str_LIT("Content-Type"), Str_LIT("application/json"));
        evbuffer_add_printf(out, "%s\n", text);
    }
    evhttp_send_reply(request, status, NULL, out);
    evbuffer_free(out);
    free(text);
    json_decref(body);
}

void
Opr_AnswerText(struct evhttp_request *request, Str type, Str text)
{
    struct evbuffer *out = evbuffer_new();

    Evt_AddField(evhttp_request_get_output_headers(request),
                 Str_LIT("Content-Type"), type);
    evbuffer_add(out, text.ptr, text.len);
    evhttp_send_reply(request, 200, NULL, out);
    evbuffer_free(out);
}

/* Counts every denial, but records at most one a second in the timeline, so
 * that many denials do not displace all other events. */
static void
answer_denied(OperatorApi *api, struct evhttp_request *request, Instant now)
{
    char *peer = NULL;
    uint16_t port = 0;

    Cnt_Add(api->counters, Cnt_OPERATORS_DENIED, 1);
    if (!api->denied_at || now - api->denied_at >= Span_S(1)) {
        api->denied_at = now;
        evhttp_connection_get_peer(evhttp_request_get_connection(request),
                                   &peer, &port);
        Tml_Record(api->timeline, Tml_DENIED, "from=%s path=%s",
                   peer ? peer : "", evhttp_request_get_uri(request));
    }
    Opr_Answer(
        request, 401,
        Opr_Error(Str_LIT("denied"), Str_LIT("the operators' key is needed")));
}

static void
on_pending_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    ((OperatorApi *)context)->pending_count--;
}

static void
on_pending_sent(struct evhttp_request *request, void *context)
{
    OperatorApi *api = context;

    evhttp_connection_set_closecb(evhttp_request_get_connection(request), NULL,
                                  NULL);
    Opc_SetBusy(&api->connections, request, false);
    api->pending_count--;
}

/* Counts REQUEST as pending until its answer was sent or its connection was
 * closed. */
static void
track_pending(OperatorApi *api, struct evhttp_request *request)
{
    api->pending_count++;
    Opc_SetBusy(&api->connections, request, true);
    evhttp_request_set_on_complete_cb(request, on_pending_sent, api);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_pending_closed, api);
}

static void
answer_busy(OperatorApi *api, struct evhttp_request *request,
            CounterId counter, Str detail)
{
    Cnt_Add(api->counters, counter, 1);
    Evt_AddField(evhttp_request_get_output_headers(request),
                 Str_LIT("Retry-After"), Str_LIT("1"));
    Opr_Answer(request, 503, Opr_Error(Str_LIT("busy"), detail));
}

/* Returns whether to refuse REQUEST because its connection is over the limit.
 * Paths without a key (announcements and counters) are served over the limit
 * too, so that no backend server is lost and the overload can be observed.
 * Either way the connection is closed after its answer. */
static bool
enforce_connection_limit(OperatorPath *path, struct evhttp_request *request,
                         Instant now)
{
    OperatorApi *api = path->api;

    if (!Opc_OnRequest(&api->connections, request, now)) {
        return false;
    }
    Evt_AddField(evhttp_request_get_output_headers(request),
                 Str_LIT("Connection"), Str_LIT("close"));
    return path->needs_key;
}

static void
serve_request(OperatorPath *path, struct evhttp_request *request, Instant now)
{
    OperatorApi *api = path->api;
    OperatorAnswer answer;

    if (enforce_connection_limit(path, request, now)) {
        answer_busy(api, request, Cnt_OPERATORS_OVER_LIMIT,
                    Str_LIT("too many operators' connections are open"));
        return;
    }
    if (path->needs_key && !api->settings->operators_open &&
        !has_key(api, request)) {
        answer_denied(api, request, now);
        return;
    }
    if (path->needs_key && api->pending_count >= Opr_PENDING_MAX) {
        answer_busy(api, request, Cnt_OPERATORS_BUSY,
                    Str_LIT("too many operators' requests wait"));
        return;
    }
    /* Counts first, because the handler may answer before it returns. */
    track_pending(api, request);
    answer = path->handler(
        path->context, request,
        Evt_BufferView(evhttp_request_get_input_buffer(request)), now);
    if (answer.status) {
        Opr_Answer(request, answer.status, answer.body);
    }
}

static void
on_request(struct evhttp_request *request, void *context)
{
    OperatorPath *path = context;
    int64_t start = Loop_CpuNs();

    serve_request(path, request, Loop_Now());
    Cnt_AddNs(path->api->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
on_unknown_path(struct evhttp_request *request, void *context)
{
    (void)context;
    Opr_Answer(request, 404,
               Opr_Error(Str_LIT("not_found"), Str_LIT("no such path")));
}

bool
Opr_Init(OperatorApi *api, Loop *loop, const Settings *settings,
         Timeline *timeline, Counters *counters, MemoryBudget *budget,
         size_t connections_max, Err *err)
{
    struct timeval idle = {
        .tv_sec = settings->operators_idle / 1000000,
        .tv_usec = settings->operators_idle % 1000000,
    };
    StrBuf ip = {0};
    int failed;

    *api = (OperatorApi){
        .settings = settings,
        .timeline = timeline,
        .counters = counters,
    };
    api->http = evhttp_new(loop->base);
    evhttp_set_max_headers_size(api->http, settings->header_bytes_max);
    evhttp_set_max_body_size(api->http, BODY_BYTES_MAX);
    evhttp_set_timeout_tv(api->http, &idle);
    Opc_Init(&api->connections, api->http, connections_max, budget, counters);
    evhttp_set_gencb(api->http, on_unknown_path, api);
    Addr_PrintIp(settings->operators, &ip);
    failed = evhttp_bind_socket(api->http, StrBuf_CStr(&ip),
                                Addr_Port(settings->operators));
    if (failed) {
        Err_SET(err, Err_IO, "cannot listen for operators on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(settings->operators));
        Opr_Finish(api);
    }
    StrBuf_Finish(&ip);
    return !failed;
}

void
Opr_Finish(OperatorApi *api)
{
    evhttp_free(api->http);
    Opc_Finish(&api->connections);
}

void
Opr_AddPath(OperatorApi *api, Str path, bool needs_key,
            OperatorHandler handler, void *context)
{
    OperatorPath *entry = &api->paths[api->path_count++];
    StrBuf text = {0};

    *entry = (OperatorPath){api, handler, context, needs_key};
    StrBuf_Set(&text, path);
    evhttp_set_cb(api->http, StrBuf_CStr(&text), on_request, entry);
    StrBuf_Finish(&text);
}
