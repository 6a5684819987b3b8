#include "fake_server.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "connection/evhttptext.h"
#include "fake_repeat.h"
#include "fake_work.h"

enum { ANNOUNCE_PERIOD_MS = 500 };

static void
on_announced(struct evhttp_request *request, void *context)
{
    (void)request;
    (void)context;
}

void
Fak_Announce(void *context, Instant now)
{
    FakeServer *fake = context;
    StrBuf ip = {0};
    StrBuf body = {0};
    struct evhttp_connection *connection;
    struct evhttp_request *request;

    (void)now;
    if (fake->knobs.announce_nothing) {
        return;
    }
    Addr_PrintIp(fake->node_operators_addr, &ip);
    connection =
        evhttp_connection_base_new(fake->loop.base, NULL, StrBuf_CStr(&ip),
                                   Addr_Port(fake->node_operators_addr));
    evhttp_connection_free_on_completion(connection);
    request = evhttp_request_new(on_announced, NULL);
    StrBuf_AppendFmt(&body,
                     "{\"service\":\"%.*s\",\"port\":%u,\"slots\":%d,"
                     "\"draining\":%s}",
                     Str_ARG(fake->service), fake->announced_port,
                     (int)(fake->knobs.slots * fake->knobs.announced_factor),
                     fake->knobs.draining ? "true" : "false");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.ptr,
                 body.len);
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/v1/announce");
    StrBuf_Finish(&ip);
    StrBuf_Finish(&body);
}

static void
on_request(struct evhttp_request *request, void *context)
{
    Str repeat_mode = Str_FromC(evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Fake-Again"));

    Rep_OnRequest(context, request);
    if (repeat_mode.len) {
        Rep_Refuse(context, request, repeat_mode);
        return;
    }
    Wrk_OnRequest(context, request, Loop_Now());
}

static void
on_control(struct evhttp_request *request, void *context)
{
    FakeServer *fake = context;
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq pairs;
    const struct evkeyval *pair;
    Err err = {0};

    if (!query || evhttp_parse_query_str(query, &pairs)) {
        evhttp_send_error(request, 400, NULL);
        return;
    }
    TAILQ_FOREACH(pair, &pairs, next)
    {
        Knb_Set(&fake->knobs, Str_FromC(pair->key), Str_FromC(pair->value),
                &err);
    }
    evhttp_clear_headers(&pairs);
    Fak_Announce(fake, Loop_Now());
    Wrk_StartWaiting(fake, Loop_Now());
    evhttp_send_reply(request, err.code ? 400 : 200, NULL, NULL);
}

/* Adds the load, and how long the cold period lasts, to the header of an
 * answer to a question about it. */
static void
add_load_fields(const FakeServer *fake, struct evhttp_request *request)
{
    struct evkeyvalq *fields = evhttp_request_get_output_headers(request);
    Span left = fake->started_at + fake->knobs.cold_period_us - Loop_Now();
    StrBuf text = {0};

    StrBuf_AppendFmt(&text, "%d,%d,%d", (int)fake->running_count,
                     (int)fake->waiting_count, (int)fake->knobs.slots);
    evhttp_add_header(fields, "Fake-Load", StrBuf_CStr(&text));
    StrBuf_Clear(&text);
    StrBuf_AppendFmt(&text, "%d", left > 0 ? (int)(left / Span_MS(1)) : 0);
    evhttp_add_header(fields, "Fake-Cold-Ms", StrBuf_CStr(&text));
    StrBuf_Finish(&text);
}

static void
on_load(struct evhttp_request *request, void *context)
{
    FakeServer *fake = context;
    struct evbuffer *out = evbuffer_new();
    bool hide_load = fake->knobs.hide_load;

    add_load_fields(fake, request);

    evbuffer_add_printf(out, "{\"running\":%d,\"waiting\":%d,\"slots\":%d}\n",
                        hide_load ? 0 : (int)fake->running_count,
                        hide_load ? 0 : (int)fake->waiting_count,
                        (int)fake->knobs.slots);
    evhttp_send_reply(request, 200, NULL, out);
    evbuffer_free(out);
}

static void
on_counts(struct evhttp_request *request, void *context)
{
    const FakeCounts *counts = &((FakeServer *)context)->counts;
    struct evbuffer *out = evbuffer_new();

    evbuffer_add_printf(
        out,
        "served %llu\ncancelled %llu\nlate %llu\nshed %llu\nfailed %llu\n"
        "started %llu\noverdue %llu\ncut_off %llu\nagain %llu\n",
        (unsigned long long)counts->served,
        (unsigned long long)counts->cancelled,
        (unsigned long long)counts->expired, (unsigned long long)counts->shed,
        (unsigned long long)counts->failed,
        (unsigned long long)counts->started,
        (unsigned long long)counts->overdue,
        (unsigned long long)counts->endless_closed,
        (unsigned long long)counts->repeated_refusals);
    evhttp_send_reply(request, 200, NULL, out);
    evbuffer_free(out);
}

bool
Fak_Init(FakeServer *fake, Err *err)
{
    StrBuf ip = {0};
    int failed;

    if (!Loop_Init(&fake->loop, err)) {
        return false;
    }
    fake->started_at = Loop_Now();
    fake->http = evhttp_new(fake->loop.base);
    Clr_Init(&fake->callers, fake->loop.base);
    evhttp_set_gencb(fake->http, on_request, fake);
    evhttp_set_allowed_methods(fake->http, Evt_METHODS);
    evhttp_set_cb(fake->http, "/fake/control", on_control, fake);
    evhttp_set_cb(fake->http, "/fake/load", on_load, fake);
    evhttp_set_cb(fake->http, "/fake/counts", on_counts, fake);
    Addr_PrintIp(fake->addr, &ip);
    failed = evhttp_bind_socket(fake->http, StrBuf_CStr(&ip),
                                Addr_Port(fake->addr));
    StrBuf_Finish(&ip);
    if (failed) {
        return Err_SET(err, Err_IO,
                       "cannot listen on the address of --listen");
    }
    Fak_Announce(fake, fake->started_at);
    LoopTimer_Init(&fake->announce_timer, &fake->loop,
                   Span_MS(ANNOUNCE_PERIOD_MS), Fak_Announce, fake);
    return true;
}
