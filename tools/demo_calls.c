#include "demo_calls.h"

#include <event2/buffer.h>

#include "connection/evhttptext.h"
#include "process/settings/settings.h"
#include "value/mem.h"

enum { ANSWER_TIMEOUT_S = 12 };

/* Out of ten calls, on average; the rest are weighings. */
enum { READS_PER_TEN = 7, READS_AND_DISPATCHES_PER_TEN = 9 };

static const Str key_prefix = Str_LIT("demo-");

static void send_try(DmoCall *call);

static void
append_key(const DmoCall *call, StrBuf *out)
{
    StrBuf_AppendFmt(out, "%.*s%zu", Str_ARG(key_prefix), call->number);
}

static void
end_call(DmoCall *call, DmoOutcome outcome)
{
    Demo *demo = call->demo;

    call->outcome = outcome;
    if (++demo->ended_count == demo->call_count) {
        Loop_Stop(&demo->loop);
    }
}

static bool
is_matching_answer(const DmoCall *call, Str body)
{
    StrBuf expected = {0};
    bool matches;

    StrBuf_AppendFmt(&expected, "answer to ");
    append_key(call, &expected);
    StrBuf_Append(&expected, Str_LIT("\n"));
    matches = Str_Equal(body, StrBuf_View(&expected));
    StrBuf_Finish(&expected);
    return matches;
}

static void
retry_or_end(DmoCall *call)
{
    call->may_have_run = true;
    if (call->tries < Dmo_TRIES_MAX) {
        send_try(call);
    }
    else {
        end_call(call, Dmo_UNKNOWN);
    }
}

static void
on_answer(struct evhttp_request *request, void *context)
{
    DmoCall *call = context;
    Str outcome = {0};

    if (request && evhttp_request_get_response_code(request)) {
        outcome = Str_FromC(
            evhttp_find_header(evhttp_request_get_input_headers(request),
                               "X-Lycheeridge-Outcome"));
    }
    if (Str_Equal(outcome, Str_LIT("ran"))) {
        Str body = Evt_BufferView(evhttp_request_get_input_buffer(request));
        call->mismatched = !is_matching_answer(call, body);
        end_call(call, Dmo_ANSWERED);
    }
    else if (Str_Equal(outcome, Str_LIT("not-run")) && !call->may_have_run) {
        end_call(call, Dmo_NOT_RUN);
    }
    else {
        retry_or_end(call);
    }
}

static void
add_headers(const DmoCall *call, struct evhttp_request *request)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    StrBuf key = {0};

    append_key(call, &key);
    Evt_AddField(headers, Str_LIT("Host"), Str_LIT("salinera"));
    Evt_AddField(headers, Str_LIT("Connection"), Str_LIT("close"));
    Evt_AddField(headers, Str_LIT("X-Request-Id"), StrBuf_View(&key));
    if (call->kind != Dmo_READ) {
        Evt_AddField(headers, Str_LIT("Idempotency-Key"), StrBuf_View(&key));
    }
    StrBuf_Finish(&key);
}

static void
send_try(DmoCall *call)
{
    static const char *const paths[] = {"/visor/barns/7", "/despachos/orders",
                                        "/balanza/weighings"};
    Demo *demo = call->demo;
    Addr node = demo->nodes[(call->number + call->tries) % demo->node_count];
    struct evhttp_request *request = evhttp_request_new(on_answer, call);
    struct evhttp_connection *connection;
    bool read = call->kind == Dmo_READ;
    StrBuf ip = {0};

    Addr_PrintIp(node, &ip);
    connection = evhttp_connection_base_new(demo->loop.base, NULL,
                                            StrBuf_CStr(&ip), Addr_Port(node));
    StrBuf_Finish(&ip);
    evhttp_connection_set_timeout(connection, ANSWER_TIMEOUT_S);
    call->connections[call->tries++] = connection;
    add_headers(call, request);
    if (!read) {
        evbuffer_add_printf(evhttp_request_get_output_buffer(request),
                            "lot=%zu", call->number);
    }
    evhttp_make_request(connection, request,
                        read ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                        paths[call->kind]);
}

static void
start_call(void *context, Instant now)
{
    Demo *demo = context;
    DmoCall *call = &demo->calls[demo->started_count];
    uint32_t draw = Rng_Below(&demo->rng, 10);

    (void)now;
    if (demo->started_count == demo->call_count) {
        return;
    }
    *call = (DmoCall){.demo = demo, .number = demo->started_count++};
    call->kind = draw < READS_PER_TEN                  ? Dmo_READ
                 : draw < READS_AND_DISPATCHES_PER_TEN ? Dmo_DISPATCH
                                                       : Dmo_WEIGHING;
    send_try(call);
}

void
Dmo_Run(Demo *demo, size_t count, Span period)
{
    demo->calls = Mem_Alloc(count, sizeof *demo->calls);
    demo->call_count = count;
    LoopTimer_Init(&demo->timer, &demo->loop, period, start_call, demo);
    Loop_Run(&demo->loop);
    LoopTimer_Finish(&demo->timer);
}

void
Dmo_Finish(Demo *demo)
{
    for (size_t i = 0; i < demo->started_count; i++) {
        for (uint32_t try = 0; try < demo->calls[i].tries; try++) {
            evhttp_connection_free(demo->calls[i].connections[try]);
        }
    }
    Mem_Free(demo->calls);
}

static void
count_effect(Demo *demo, Str line)
{
    Str key = Str_Slice(line, 0, Str_Find(line, ' '));
    uint64_t number;

    if (Str_StartsWith(key, key_prefix) &&
        Str_ToU64(Str_Slice(key, key_prefix.len, key.len), &number) &&
        number < demo->started_count) {
        demo->calls[number].effects++;
    }
}

bool
Dmo_CountEffects(Demo *demo, Str file)
{
    StrBuf text = {0};
    bool read = Set_ReadFile(file, &text, NULL);
    Str rest = StrBuf_View(&text);

    while (rest.len) {
        size_t end = Str_Find(rest, '\n');
        count_effect(demo, Str_Slice(rest, 0, end));
        rest = Str_Slice(rest, end + 1, rest.len);
    }
    StrBuf_Finish(&text);
    return read;
}
