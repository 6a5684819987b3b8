#include "process/edge.h"

#include <event2/buffer.h>
#include <inttypes.h>

#include "connection/evtext.h"
#include "value/mem.h"

struct EdgeExchange {
    Edge *edge;
    EdgeExchange *next;
    EdgeExchange *previous;
    struct evhttp_request *request;
    Call *call;
    StrBuf request_id;
    bool started;    /* the answer's head went out */
    bool closed;     /* the caller hung up */
    uint32_t handed; /* bytes given to evhttp and not taken yet */
};

static const Str outcome_field = Str_LIT("X-Lycheeridge-Outcome");
static const Str id_field = Str_LIT("X-Request-Id");
static const Str deadline_field = Str_LIT("X-Lycheeridge-Deadline-Ms");

static void
free_exchange(EdgeExchange *exchange)
{
    if (exchange->previous) {
        exchange->previous->next = exchange->next;
    }
    else {
        exchange->edge->first = exchange->next;
    }
    if (exchange->next) {
        exchange->next->previous = exchange->previous;
    }
    StrBuf_Finish(&exchange->request_id);
    Mem_Free(exchange);
}

static struct evkeyvalq *
out_headers(EdgeExchange *exchange)
{
    return evhttp_request_get_output_headers(exchange->request);
}

static void
on_caller_closed(struct evhttp_connection *connection, void *context)
{
    EdgeExchange *exchange = context;
    Call *call = exchange->call;

    (void)connection;
    exchange->closed = true;
    if (call) {
        exchange->call = NULL;
        Call_Cancel(call, Loop_Now());
        /* Without its connection, evhttp only frees the request here. */
        evhttp_send_reply_end(exchange->request);
        free_exchange(exchange);
    }
}

static void
stop_watching(EdgeExchange *exchange)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(exchange->request);

    if (connection) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    EdgeExchange *exchange = context;

    for (size_t i = 0; i < fields->count; i++) {
        Evt_AddField(out_headers(exchange), fields->items[i].name,
                     fields->items[i].value);
    }
    Evt_AddField(out_headers(exchange), outcome_field, Str_LIT("ran"));
    Evt_AddField(out_headers(exchange), id_field,
                 StrBuf_View(&exchange->request_id));
    exchange->started = true;
    evhttp_send_reply_start(exchange->request, status, NULL);
}

static void
on_taken(struct evhttp_connection *connection, void *context)
{
    EdgeExchange *exchange = context;
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
    EdgeExchange *exchange = context;
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
send_error(EdgeExchange *exchange, CallOutcome outcome, CallWhy why)
{
    EndText end = end_text(outcome, why);
    struct evbuffer *body = evbuffer_new();

    Evt_AddField(out_headers(exchange), outcome_field, end.outcome);
    Evt_AddField(out_headers(exchange), id_field,
                 StrBuf_View(&exchange->request_id));
    Evt_AddField(out_headers(exchange), Str_LIT("Content-Type"),
                 Str_LIT("text/plain"));
    if (end.status == 503) {
        Evt_AddField(out_headers(exchange), Str_LIT("Retry-After"),
                     Str_LIT("1"));
    }
    evbuffer_add(body, end.text.ptr, end.text.len);
    evhttp_send_reply(exchange->request, end.status, NULL, body);
    evbuffer_free(body);
}

static void
on_end(void *context, CallOutcome outcome, CallWhy why)
{
    EdgeExchange *exchange = context;
    struct evhttp_connection *connection =
        evhttp_request_get_connection(exchange->request);

    exchange->call = NULL;
    stop_watching(exchange);
    if (!exchange->started) {
        send_error(exchange, outcome, why);
    }
    else if (outcome == Call_ANSWERED) {
        evhttp_send_reply_end(exchange->request);
    }
    else {
        /* A cut answer must not look whole: no closing chunk, no reuse. */
        evhttp_connection_free(connection);
    }
    free_exchange(exchange);
}

static void
choose_id(EdgeExchange *exchange, const FieldList *fields)
{
    Str given = Field_Get(fields, id_field);

    if (given.len) {
        StrBuf_Set(&exchange->request_id, given);
        return;
    }
    StrBuf_AppendFmt(&exchange->request_id, "%016" PRIx64 "-%" PRIu64,
                     exchange->edge->hub->incarnation,
                     ++exchange->edge->counter);
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
    if (!Str_ToU64(text, &ms) || ms == 0 || ms > 3600 * 1000) {
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

static EdgeExchange *
add_exchange(Edge *edge, struct evhttp_request *request)
{
    EdgeExchange *exchange = Mem_Alloc(1, sizeof *exchange);

    exchange->edge = edge;
    exchange->request = request;
    exchange->next = edge->first;
    if (edge->first) {
        edge->first->previous = exchange;
    }
    edge->first = exchange;
    return exchange;
}

static void
start_call(EdgeExchange *exchange, const FieldList *fields, Span deadline)
{
    static const CallSink callbacks = {NULL, on_head, on_bytes, on_end};
    struct evhttp_request *http = exchange->request;
    CallSink sink = callbacks;
    CallRequest request = {
        .method = Evt_MethodName(evhttp_request_get_command(http)),
        .target = Str_FromC(evhttp_request_get_uri(http)),
        .body = Evt_View(evhttp_request_get_input_buffer(http)),
        .deadline = deadline,
    };
    Edge *edge = exchange->edge;
    Call *call;

    choose_id(exchange, fields);
    request.request_id = StrBuf_View(&exchange->request_id);
    forward_fields(&request.fields, fields);
    Field_Add(&request.fields, id_field, request.request_id);
    sink.context = exchange;
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_caller_closed, exchange);
    call = Call_Start(edge->hub, &request, &sink, Loop_Now());
    if (call) {
        exchange->call = call;
    }
}

static void
on_request(struct evhttp_request *request, void *context)
{
    FieldList fields;
    Span deadline;

    if (!Evt_ReadFields(evhttp_request_get_input_headers(request), &fields) ||
        !read_deadline(&fields, &deadline)) {
        evhttp_send_error(request, HTTP_BADREQUEST, NULL);
        return;
    }
    start_call(add_exchange(context, request), &fields, deadline);
}

bool
Edge_Init(Edge *edge, Loop *loop, const Settings *settings, CallHub *hub,
          Err *err)
{
    StrBuf ip = {0};
    int failed;

    *edge = (Edge){.hub = hub, .loop = loop, .settings = settings};
    edge->http = evhttp_new(loop->base);
    evhttp_set_gencb(edge->http, on_request, edge);
    evhttp_set_allowed_methods(edge->http, Evt_METHODS);
    evhttp_set_max_headers_size(edge->http, settings->header_bytes_max);
    evhttp_set_max_body_size(edge->http, settings->body_bytes_max);
    Addr_PrintIp(settings->callers, &ip);
    failed = evhttp_bind_socket(edge->http, StrBuf_CStr(&ip),
                                Addr_Port(settings->callers));
    if (failed) {
        Err_SET(err, Err_IO, "cannot listen for callers on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(settings->callers));
        evhttp_free(edge->http);
    }
    StrBuf_Finish(&ip);
    return !failed;
}

void
Edge_Finish(Edge *edge)
{
    evhttp_free(edge->http);
    while (edge->first) {
        free_exchange(edge->first);
    }
}
