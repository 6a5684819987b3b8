#include "process/operate.h"

#include <event2/buffer.h>
#include <stdlib.h>

#include "connection/evhttptext.h"

enum { BODY_BYTES_MAX = 4 * 1024 * 1024 };

static const Str bearer = Str_LIT("Bearer ");

static bool
has_key(const Opr *opr, struct evhttp_request *request)
{
    Str key = StrBuf_View(&opr->settings->operator_key);
    Str given = Str_FromC(evhttp_find_header(
        evhttp_request_get_input_headers(request), "Authorization"));
    unsigned char differs = 0;

    if (given.len != bearer.len + key.len || !Str_StartsWith(given, bearer)) {
        return false;
    }
    /* Every byte is looked at, so that time tells nothing of the key. */
    for (size_t i = 0; i < key.len; i++) {
        differs |= (unsigned char)(given.ptr[bearer.len + i] ^ key.ptr[i]);
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

/* Every denial counts; the time line takes one a second, so that a flood of
 * them does not push out everything else. */
static void
deny(Opr *opr, struct evhttp_request *request, Instant now)
{
    char *peer = NULL;
    uint16_t port = 0;

    Cnt_Add(opr->counters, Cnt_OPERATORS_DENIED, 1);
    if (!opr->denied_at || now - opr->denied_at >= Span_S(1)) {
        opr->denied_at = now;
        evhttp_connection_get_peer(evhttp_request_get_connection(request),
                                   &peer, &port);
        Tml_Record(opr->timeline, Tml_DENIED, "from=%s path=%s",
                   peer ? peer : "", evhttp_request_get_uri(request));
    }
    Opr_Answer(
        request, 401,
        Opr_Error(Str_LIT("denied"), Str_LIT("the operators' key is needed")));
}

static void
on_held_gone(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    ((Opr *)context)->held--;
}

static void
on_held_done(struct evhttp_request *request, void *context)
{
    Opr *opr = context;

    evhttp_connection_set_closecb(evhttp_request_get_connection(request), NULL,
                                  NULL);
    Opc_SetBusy(&opr->conns, request, false);
    opr->held--;
}

/* Count a request whose handler answers later until its answer has gone out
 * or its connection has. */
static void
hold(Opr *opr, struct evhttp_request *request)
{
    opr->held++;
    Opc_SetBusy(&opr->conns, request, true);
    evhttp_request_set_on_complete_cb(request, on_held_done, opr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_held_gone, opr);
}

static void
refuse_busy(Opr *opr, struct evhttp_request *request, CounterId counter,
            Str detail)
{
    Cnt_Add(opr->counters, counter, 1);
    Evt_AddField(evhttp_request_get_output_headers(request),
                 Str_LIT("Retry-After"), Str_LIT("1"));
    Opr_Answer(request, 503, Opr_Error(Str_LIT("busy"), detail));
}

/* Announcements and counters go through, so that a full front costs no
 * backend server and can be seen; but such a connection does not stay. */
static bool
is_over(OprPath *path, struct evhttp_request *request, Instant now)
{
    Opr *opr = path->opr;

    if (!Opc_OnRequest(&opr->conns, request, now)) {
        return false;
    }
    Evt_AddField(evhttp_request_get_output_headers(request),
                 Str_LIT("Connection"), Str_LIT("close"));
    return path->needs_key;
}

static void
serve(OprPath *path, struct evhttp_request *request, Instant now)
{
    Opr *opr = path->opr;
    OprAnswer answer;

    if (is_over(path, request, now)) {
        refuse_busy(opr, request, Cnt_OPERATORS_OVER_LIMIT,
                    Str_LIT("too many operators' connections are open"));
        return;
    }
    if (path->needs_key && !opr->settings->operators_open &&
        !has_key(opr, request)) {
        deny(opr, request, now);
        return;
    }
    if (path->needs_key && opr->held >= Opr_HELD_MAX) {
        refuse_busy(opr, request, Cnt_OPERATORS_BUSY,
                    Str_LIT("too many operators' requests wait"));
        return;
    }
    /* Counted before the call: the handler may answer before it returns. */
    hold(opr, request);
    answer = path->call(
        path->context, request,
        Evt_BufferView(evhttp_request_get_input_buffer(request)), now);
    if (answer.status) {
        Opr_Answer(request, answer.status, answer.body);
    }
}

static void
on_request(struct evhttp_request *request, void *context)
{
    OprPath *path = context;
    int64_t start = Loop_CpuNs();

    serve(path, request, Loop_Now());
    Cnt_AddNs(path->opr->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
on_unknown(struct evhttp_request *request, void *context)
{
    (void)context;
    Opr_Answer(request, 404,
               Opr_Error(Str_LIT("not_found"), Str_LIT("no such path")));
}

bool
Opr_Init(Opr *opr, Loop *loop, const Settings *settings, Timeline *timeline,
         Counters *counters, Err *err)
{
    struct timeval idle = {
        .tv_sec = settings->operators_idle / 1000000,
        .tv_usec = settings->operators_idle % 1000000,
    };
    StrBuf ip = {0};
    int failed;

    *opr = (Opr){
        .settings = settings,
        .timeline = timeline,
        .counters = counters,
    };
    opr->http = evhttp_new(loop->base);
    evhttp_set_max_headers_size(opr->http, settings->header_bytes_max);
    evhttp_set_max_body_size(opr->http, BODY_BYTES_MAX);
    evhttp_set_timeout_tv(opr->http, &idle);
    Opc_Init(&opr->conns, opr->http, settings->operators_connections_max,
             counters);
    evhttp_set_gencb(opr->http, on_unknown, opr);
    Addr_PrintIp(settings->operators, &ip);
    failed = evhttp_bind_socket(opr->http, StrBuf_CStr(&ip),
                                Addr_Port(settings->operators));
    if (failed) {
        Err_SET(err, Err_IO, "cannot listen for operators on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(settings->operators));
        Opr_Finish(opr);
    }
    StrBuf_Finish(&ip);
    return !failed;
}

void
Opr_Finish(Opr *opr)
{
    evhttp_free(opr->http);
    Opc_Finish(&opr->conns);
}

void
Opr_On(Opr *opr, Str path, bool needs_key, OprHandler call, void *context)
{
    OprPath *entry = &opr->paths[opr->path_count++];
    StrBuf text = {0};

    *entry = (OprPath){opr, call, context, needs_key};
    StrBuf_Set(&text, path);
    evhttp_set_cb(opr->http, StrBuf_CStr(&text), on_request, entry);
    StrBuf_Finish(&text);
}
