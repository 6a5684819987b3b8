#include "request/exchange.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <inttypes.h>

#include "connection/evtext.h"
#include "connection/httprule.h"
#include "process/loop.h"
#include "value/mem.h"

enum { DEADLINE_MS_MAX = 3600 * 1000 };

struct Exchange {
    ExchangeList *list;
    Exchange *next;
    Exchange *previous;
    Caller *caller;
    struct evhttp_request *request;
    Call *call;
    StrBuf request_id;
    StrBuf target;
    bool started;    /* the answer's head went out */
    uint32_t handed; /* bytes given to evhttp and not taken yet */
};

static const Str outcome_field = Str_LIT("X-Lycheeridge-Outcome");
static const Str id_field = Str_LIT("X-Request-Id");
static const Str deadline_field = Str_LIT("X-Lycheeridge-Deadline-Ms");

static void
free_exchange(Exchange *exchange)
{
    if (exchange->previous) {
        exchange->previous->next = exchange->next;
    }
    else {
        exchange->list->first = exchange->next;
    }
    if (exchange->next) {
        exchange->next->previous = exchange->previous;
    }
    exchange->list->count--;
    StrBuf_Finish(&exchange->request_id);
    StrBuf_Finish(&exchange->target);
    Mem_Free(exchange);
}

void
Xch_ListFinish(ExchangeList *list)
{
    while (list->first) {
        free_exchange(list->first);
    }
}

static struct evkeyvalq *
out_headers(Exchange *exchange)
{
    return evhttp_request_get_output_headers(exchange->request);
}

static void
on_gone(void *context)
{
    Exchange *exchange = context;

    if (exchange->call) {
        Call_Cancel(exchange->call, Loop_Now());
    }
    free_exchange(exchange);
}

static bool
is_ours(Str name)
{
    return Str_EqualNoCase(name, id_field) ||
           Str_EqualNoCase(name, outcome_field);
}

/* Header fields of every answer. */
static void
add_own_fields(Exchange *exchange, Str outcome)
{
    Evt_AddField(out_headers(exchange), outcome_field, outcome);
    Evt_AddField(out_headers(exchange), id_field,
                 StrBuf_View(&exchange->request_id));
    if (exchange->list->closing) {
        Evt_AddField(out_headers(exchange), Str_LIT("Connection"),
                     Str_LIT("close"));
    }
}

/* A caller of HTTP/1.0 knows no chunks: without a length, the end of the
 * connection ends the answer. */
static void
end_by_close(Exchange *exchange)
{
    struct evkeyvalq *input = exchange->request->input_headers;

    if (exchange->request->minor == 0 &&
        !evhttp_find_header(out_headers(exchange), "Content-Length")) {
        while (evhttp_remove_header(input, "Connection") == 0) {
        }
    }
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    Exchange *exchange = context;

    for (size_t i = 0; i < fields->count; i++) {
        if (!is_ours(fields->items[i].name)) {
            Evt_AddField(out_headers(exchange), fields->items[i].name,
                         fields->items[i].value);
        }
    }
    add_own_fields(exchange, Str_LIT("ran"));
    end_by_close(exchange);
    exchange->started = true;
    evhttp_send_reply_start(exchange->request, status, NULL);
}

static void
on_taken(struct evhttp_connection *connection, void *context)
{
    Exchange *exchange = context;
    uint32_t bytes = exchange->handed;

    (void)connection;
    exchange->handed = 0;
    if (exchange->call && bytes) {
        Call_OnTaken(exchange->call, bytes, Loop_Now());
    }
}

static void
on_bytes(void *context, Str bytes)
{
    Exchange *exchange = context;
    struct evbuffer *buffer = evbuffer_new();

    exchange->handed += (uint32_t)bytes.len;
    evbuffer_add(buffer, bytes.ptr, bytes.len);
    evhttp_send_reply_chunk_with_cb(exchange->request, buffer, on_taken,
                                    exchange);
    evbuffer_free(buffer);
}

typedef struct {
    int status;
    Str outcome;
    Str text;
} EndText;

static EndText
end_text(CallOutcome outcome, CallWhy why)
{
    static const Str not_run = Str_LIT("not-run");

    if (outcome == Call_UNKNOWN) {
        return (EndText){
            504, Str_LIT("unknown"),
            Str_LIT("it may have run; its answer did not come\n")};
    }
    if (outcome == Call_RAN) {
        return (EndText){
            409, Str_LIT("ran"),
            Str_LIT("this key's call ran; its answer is not kept\n")};
    }
    switch (why) {
    case Call_WHY_KEY:
        return (EndText){400, not_run, Str_LIT("the key is too long\n")};
    case Call_WHY_MISMATCH:
        return (EndText){422, not_run,
                         Str_LIT("the key named another request before\n")};
    case Call_WHY_SUSPECT:
        return (EndText){503, not_run,
                         Str_LIT("it is held back: it may crash backend "
                                 "servers\n")};
    case Call_WHY_NO_ROUTE:
        return (EndText){404, not_run, Str_LIT("no route matches\n")};
    case Call_WHY_LATE:
        return (EndText){504, not_run, Str_LIT("its deadline passed\n")};
    case Call_WHY_VERSION:
        return (EndText){503, not_run,
                         Str_LIT("which preset is in force is not known "
                                 "yet\n")};
    case Call_WHY_NOBODY:
        return (EndText){503, not_run,
                         Str_LIT("no backend server is known\n")};
    default:
        return (EndText){503, not_run,
                         Str_LIT("every backend server is full\n")};
    }
}

static void
send_text(Exchange *exchange, const EndText *end)
{
    struct evbuffer *body = evbuffer_new();

    add_own_fields(exchange, end->outcome);
    Evt_AddField(out_headers(exchange), Str_LIT("Content-Type"),
                 Str_LIT("text/plain"));
    if (end->status == 503) {
        Evt_AddField(out_headers(exchange), Str_LIT("Retry-After"),
                     Str_LIT("1"));
    }
    evbuffer_add(body, end->text.ptr, end->text.len);
    evhttp_send_reply(exchange->request, end->status, NULL, body);
    evbuffer_free(body);
}

static void
on_end(void *context, CallOutcome outcome, CallWhy why)
{
    Exchange *exchange = context;
    EndText end = end_text(outcome, why);

    exchange->call = NULL;
    Clr_Unwatch(exchange->caller);
    if (!exchange->started) {
        send_text(exchange, &end);
    }
    else if (outcome == Call_ANSWERED) {
        evhttp_send_reply_end(exchange->request);
    }
    else {
        Clr_Cut(exchange->caller);
    }
    free_exchange(exchange);
}

static void
choose_id(Exchange *exchange, Str given)
{
    if (Htr_IsRequestId(given)) {
        StrBuf_Set(&exchange->request_id, given);
        return;
    }
    StrBuf_AppendFmt(&exchange->request_id, "%016" PRIx64 "-%" PRIu64,
                     exchange->list->hub->incarnation,
                     ++exchange->list->counter);
}

static bool
read_deadline(const FieldList *fields, Span *deadline)
{
    Str text = Field_Get(fields, deadline_field);
    uint64_t ms = 0;

    *deadline = 0;
    if (text.len == 0) {
        return true;
    }
    if (!Str_ToU64(text, &ms) || ms == 0 || ms > DEADLINE_MS_MAX) {
        return false;
    }
    *deadline = Span_MS(ms);
    return true;
}

/* The fields that go on to the backend server. */
static void
forward_fields(FieldList *to, const FieldList *from)
{
    to->count = 0;
    for (size_t i = 0; i < from->count; i++) {
        Str name = from->items[i].name;
        if (!Str_EqualNoCase(name, deadline_field) &&
            !Str_EqualNoCase(name, id_field)) {
            Field_Add(to, name, from->items[i].value);
        }
    }
}

static Exchange *
add_exchange(ExchangeList *list, Caller *caller,
             struct evhttp_request *request)
{
    Exchange *exchange = Mem_Alloc(1, sizeof *exchange);

    exchange->list = list;
    exchange->caller = caller;
    exchange->request = request;
    exchange->next = list->first;
    if (list->first) {
        list->first->previous = exchange;
    }
    list->first = exchange;
    list->count++;
    return exchange;
}

static void
refuse(Exchange *exchange, int status, Str text)
{
    EndText end = {status, Str_LIT("not-run"), text};

    /* What follows on this connection may not be a request. */
    Evt_AddField(out_headers(exchange), Str_LIT("Connection"),
                 Str_LIT("close"));
    send_text(exchange, &end);
    free_exchange(exchange);
}

static void
start_call(Exchange *exchange, const FieldList *fields, Span deadline,
           Instant now)
{
    static const CallSink callbacks = {NULL, on_head, on_bytes, on_end};
    struct evhttp_request *http = exchange->request;
    CallSink sink = callbacks;
    CallRequest request = {
        .request_id = StrBuf_View(&exchange->request_id),
        .method = Evt_MethodName(evhttp_request_get_command(http)),
        .target = StrBuf_View(&exchange->target),
        .body = Evt_View(evhttp_request_get_input_buffer(http)),
        .deadline = deadline,
    };
    Call *call;

    forward_fields(&request.fields, fields);
    Field_Add(&request.fields, id_field, request.request_id);
    sink.context = exchange;
    Clr_Watch(exchange->caller, on_gone, exchange);
    call = Call_Start(exchange->list->hub, &request, &sink, now);
    if (call) {
        exchange->call = call;
    }
}

void
Xch_Start(ExchangeList *list, Caller *caller, struct evhttp_request *request,
          Instant now)
{
    Exchange *exchange = add_exchange(list, caller, request);
    HtrVerdict verdict = Htr_Check(request, list->header_bytes_max);
    FieldList fields;
    Span deadline;

    choose_id(exchange, Str_FromC(evhttp_find_header(request->input_headers,
                                                     "X-Request-Id")));
    if (verdict.status) {
        refuse(exchange, verdict.status, verdict.text);
        return;
    }
    if (!Evt_ReadFields(request->input_headers, &fields) ||
        !read_deadline(&fields, &deadline)) {
        refuse(exchange, 400, Str_LIT("deadline: 1 to 3600000 ms\n"));
        return;
    }
    Htr_Target(request, &exchange->target);
    start_call(exchange, &fields, deadline, now);
}
