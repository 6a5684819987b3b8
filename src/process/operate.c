#include "process/operate.h"

#include <event2/buffer.h>
#include <stdlib.h>

#include "connection/evtext.h"

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

static void
on_request(struct evhttp_request *request, void *context)
{
    OprPath *path = context;
    Opr *opr = path->opr;
    OprAnswer answer;

    if (path->needs_key && !has_key(opr, request)) {
        Cnt_Add(opr->counters, Cnt_DENIED, 1);
        Lgr_Log(opr->logger, Lgr_WARNING, Str_LIT("operator_denied"), "%s %s",
                evhttp_request_get_host(request),
                evhttp_request_get_uri(request));
        Opr_Answer(request, 401,
                   Opr_Error(Str_LIT("denied"),
                             Str_LIT("the operators' key is needed")));
        return;
    }
    answer = path->call(path->context, request,
                        Evt_View(evhttp_request_get_input_buffer(request)),
                        Loop_Now());
    if (answer.status) {
        Opr_Answer(request, answer.status, answer.body);
    }
}

static OprAnswer
show_counters(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    Opr *opr = context;
    struct evbuffer *out = evbuffer_new();
    StrBuf text = {0};

    (void)body;
    (void)now;
    Cnt_Print(opr->counters, &text);
    evbuffer_add(out, text.ptr, text.len);
    Evt_AddField(evhttp_request_get_output_headers(request),
                 Str_LIT("Content-Type"),
                 Str_LIT("text/plain; version=0.0.4"));
    evhttp_send_reply(request, 200, NULL, out);
    evbuffer_free(out);
    StrBuf_Finish(&text);
    return (OprAnswer){0};
}

bool
Opr_Init(Opr *opr, Loop *loop, const Settings *settings, Logger *logger,
         Counters *counters, Err *err)
{
    StrBuf ip = {0};
    int failed;

    *opr = (Opr){.settings = settings, .logger = logger, .counters = counters};
    opr->http = evhttp_new(loop->base);
    evhttp_set_max_headers_size(opr->http, settings->header_bytes_max);
    evhttp_set_max_body_size(opr->http, 4 * 1024 * 1024);
    Addr_PrintIp(settings->operators, &ip);
    failed = evhttp_bind_socket(opr->http, StrBuf_CStr(&ip),
                                Addr_Port(settings->operators));
    if (failed) {
        Err_SET(err, Err_IO, "cannot listen for operators on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(settings->operators));
        evhttp_free(opr->http);
    }
    StrBuf_Finish(&ip);
    if (!failed) {
        Opr_On(opr, Str_LIT("/metrics"), false, show_counters, opr);
    }
    return !failed;
}

void
Opr_Finish(Opr *opr)
{
    evhttp_free(opr->http);
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
