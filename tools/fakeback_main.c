/* fakeback: a backend server for tests, demonstrations and measurements.
 *
 * It answers every request after its service time, writes one line per effect
 * ("KEY REQUEST-ID") to a file, and announces itself to the node beside it.
 */
#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "connection/evtext.h"
#include "process/loop.h"
#include "value/addr.h"
#include "value/mem.h"

enum { ANNOUNCE_MS = 500 };

typedef struct {
    Loop loop;
    Str service;
    Addr addr;
    Addr node;
    int slots;
    Span service_time;
    int effects; /* descriptor, -1: none */
    bool draining;
    struct evhttp *http;
    LoopTimer announcer;
} Fake;

typedef struct {
    Fake *fake;
    struct evhttp_request *request;
    struct event *timer;
} Work;

static void
on_announced(struct evhttp_request *request, void *context)
{
    (void)request;
    (void)context;
}

static void
announce(void *context, Instant now)
{
    Fake *fake = context;
    StrBuf ip = {0};
    StrBuf body = {0};
    struct evhttp_connection *connection;
    struct evhttp_request *request;

    (void)now;
    Addr_PrintIp(fake->node, &ip);
    connection = evhttp_connection_base_new(
        fake->loop.base, NULL, StrBuf_CStr(&ip), Addr_Port(fake->node));
    evhttp_connection_free_on_completion(connection);
    request = evhttp_request_new(on_announced, NULL);
    StrBuf_AppendFmt(&body,
                     "{\"service\":\"%.*s\",\"port\":%u,\"slots\":%d,"
                     "\"draining\":%s}",
                     Str_ARG(fake->service), Addr_Port(fake->addr),
                     fake->slots, fake->draining ? "true" : "false");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.ptr,
                 body.len);
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/v1/announce");
    StrBuf_Finish(&ip);
    StrBuf_Finish(&body);
}

static void
write_effect(Fake *fake, const FieldList *fields)
{
    Str key = Field_Get(fields, Str_LIT("Idempotency-Key"));
    Str id = Field_Get(fields, Str_LIT("X-Request-Id"));
    StrBuf line = {0};

    if (fake->effects < 0 || key.len == 0) {
        return;
    }
    StrBuf_AppendFmt(&line, "%.*s %.*s\n", Str_ARG(key), Str_ARG(id));
    if (write(fake->effects, line.ptr, line.len) < 0) {
        perror("fakeback: effects");
    }
    StrBuf_Finish(&line);
}

static void
append_body(struct evbuffer *out, const FieldList *fields)
{
    uint64_t size = 0;
    char block[4096];

    if (!Str_ToU64(Field_Get(fields, Str_LIT("X-Fake-Size")), &size)) {
        Str id = Field_Get(fields, Str_LIT("X-Request-Id"));
        evbuffer_add_printf(out, "answer to %.*s\n", Str_ARG(id));
        return;
    }
    for (size_t i = 0; i < sizeof block; i++) {
        block[i] = (char)('a' + i % 26);
    }
    while (size) {
        size_t part = size < sizeof block ? size : sizeof block;
        evbuffer_add(out, block, part);
        size -= part;
    }
}

static void
finish_work(evutil_socket_t fd, short what, void *context)
{
    Work *work = context;
    FieldList fields;
    struct evbuffer *out = evbuffer_new();

    (void)fd;
    (void)what;
    Evt_ReadFields(evhttp_request_get_input_headers(work->request), &fields);
    write_effect(work->fake, &fields);
    append_body(out, &fields);
    evhttp_send_reply(work->request, 200, "OK", out);
    evbuffer_free(out);
    event_free(work->timer);
    Mem_Free(work);
}

static void
on_request(struct evhttp_request *request, void *context)
{
    Fake *fake = context;
    Work *work = Mem_Alloc(1, sizeof *work);
    struct timeval wait = {
        .tv_sec = fake->service_time / 1000000,
        .tv_usec = fake->service_time % 1000000,
    };

    work->fake = fake;
    work->request = request;
    work->timer = evtimer_new(fake->loop.base, finish_work, work);
    event_add(work->timer, &wait);
}

static void
on_signal(evutil_socket_t number, short what, void *context)
{
    Fake *fake = context;

    (void)what;
    if (number == SIGUSR1) {
        fake->draining = !fake->draining;
        announce(fake, Loop_Now());
        return;
    }
    Loop_Stop(&fake->loop);
}

static int
serve(Fake *fake)
{
    StrBuf ip = {0};
    int numbers[] = {SIGTERM, SIGINT, SIGUSR1};

    if (!Loop_Init(&fake->loop, NULL)) {
        return 1;
    }
    fake->http = evhttp_new(fake->loop.base);
    evhttp_set_gencb(fake->http, on_request, fake);
    evhttp_set_allowed_methods(fake->http, Evt_METHODS);
    Addr_PrintIp(fake->addr, &ip);
    if (evhttp_bind_socket(fake->http, StrBuf_CStr(&ip),
                           Addr_Port(fake->addr))) {
        fprintf(stderr, "fakeback: cannot listen\n");
        return 1;
    }
    StrBuf_Finish(&ip);
    for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++) {
        event_add(evsignal_new(fake->loop.base, numbers[i], on_signal, fake),
                  NULL);
    }
    announce(fake, Loop_Now());
    LoopTimer_Init(&fake->announcer, &fake->loop, Span_MS(ANNOUNCE_MS),
                   announce, fake);
    Loop_Run(&fake->loop);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_str *service = arg_str1(NULL, "service", "NAME", "its service");
    struct arg_str *addr = arg_str1(NULL, "listen", "IP:PORT", "its address");
    struct arg_str *node =
        arg_str1(NULL, "node", "IP:PORT", "operators' address of its node");
    struct arg_int *slots = arg_int0(NULL, "slots", "N", "slots (9)");
    struct arg_int *time =
        arg_int0(NULL, "service-us", "US", "service time (5000)");
    struct arg_file *effects =
        arg_file0(NULL, "effects", "FILE", "one line per effect");
    struct arg_end *end = arg_end(8);
    void *table[] = {service, addr, node, slots, time, effects, end};
    Fake fake = {.slots = 9, .service_time = 5000, .effects = -1};

    signal(SIGPIPE, SIG_IGN);
    if (arg_parse(argc, argv, table) ||
        !Addr_Parse(Str_FromC(addr->sval[0]), &fake.addr) ||
        !Addr_Parse(Str_FromC(node->sval[0]), &fake.node)) {
        arg_print_errors(stderr, end, "fakeback");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    fake.service = Str_FromC(service->sval[0]);
    if (slots->count) {
        fake.slots = slots->ival[0];
    }
    if (time->count) {
        fake.service_time = time->ival[0];
    }
    if (effects->count) {
        fake.effects =
            open(effects->filename[0], O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    return serve(&fake);
}
