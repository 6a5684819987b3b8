#include "request/exchange.h"

#include <inttypes.h>

#include "connection/httprule.h"
#include "process/loop.h"
#include "value/mem.h"

enum { DEADLINE_MS_MAX = 3600 * 1000 };

struct Exchange {
    ExchangeList *list;
    Exchange *next;
    Exchange *previous;
    CstRequest *request;
    Call *call;
    StrBuf request_id;
    bool head_sent; /* the answer's head went out */
};

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
    Mem_Free(exchange);
}

void
Xch_ListFinish(ExchangeList *list)
{
    while (list->first) {
        free_exchange(list->first);
    }
}

void
Xch_OnDisconnect(CstRequest *request, Instant now)
{
    Exchange *exchange = request->owner;

    if (exchange) {
        if (exchange->call) {
            Call_Cancel(exchange->call, now);
        }
        free_exchange(exchange);
    }
}

void
Xch_OnConsumed(CstRequest *request, uint32_t bytes, Instant now)
{
    const Exchange *exchange = request->owner;

    if (exchange && exchange->call) {
        Call_OnConsumed(exchange->call, bytes, now);
    }
}

static Str
name_of(const StrBuf *name)
{
    return StrBuf_View(name);
}

static bool
is_ours(const Exchange *exchange, Str name)
{
    const SetNames *names = exchange->list->names;

    return Str_EqualNoCase(name, name_of(&names->request_id)) ||
           Str_EqualNoCase(name, name_of(&names->outcome));
}

/* Header fields of every answer. */
static void
add_own_fields(const Exchange *exchange, Str outcome, FieldList *fields)
{
    const SetNames *names = exchange->list->names;

    if (names->outcome.len) {
        Field_Add(fields, name_of(&names->outcome), outcome);
    }
    Field_Add(fields, name_of(&names->request_id),
              StrBuf_View(&exchange->request_id));
}

static void
on_head(void *context, uint16_t status, const FieldList *from)
{
    Exchange *exchange = context;
    FieldList fields = {.count = 0};

    add_own_fields(exchange, Str_LIT("ran"), &fields);
    for (size_t i = 0; i < from->count; i++) {
        if (!is_ours(exchange, from->items[i].name)) {
            Field_Add(&fields, from->items[i].name, from->items[i].value);
        }
    }
    exchange->head_sent = true;
    Cst_SendHead(exchange->request, status, &fields);
}

static void
on_bytes(void *context, Str bytes)
{
    Cst_SendBytes(((Exchange *)context)->request, bytes);
}

typedef struct {
    uint16_t status;
    Str outcome;
    Str text;
} EndText;

static EndText
end_text(CallOutcome outcome, CallReason why)
{
    static const Str not_run = Str_LIT("not-run");

    if (outcome == Call_UNKNOWN) {
        return (EndText){
            504, Str_LIT("unknown"),
            Str_LIT("it may have run; its answer did not come\n")};
    }
    if (outcome == Call_ANSWER_NOT_KEPT) {
        return (EndText){
            409, Str_LIT("ran"),
            Str_LIT("this key's call ran; its answer is not kept\n")};
    }
    switch (why) {
    case Call_REASON_KEY_TOO_LONG:
        return (EndText){400, not_run, Str_LIT("the key is too long\n")};
    case Call_REASON_KEY_MISMATCH:
        return (EndText){422, not_run,
                         Str_LIT("the key named another request before\n")};
    case Call_REASON_SUSPECT:
        return (EndText){503, not_run,
                         Str_LIT("it is held back: it may crash backend "
                                 "servers\n")};
    case Call_REASON_NO_ROUTE:
        return (EndText){404, not_run, Str_LIT("no route matches\n")};
    case Call_REASON_DEADLINE:
        return (EndText){504, not_run, Str_LIT("its deadline passed\n")};
    case Call_REASON_VERSION:
        return (EndText){503, not_run,
                         Str_LIT("which preset is in force is not known "
                                 "yet\n")};
    case Call_REASON_NO_BACKEND:
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
    FieldList fields = {.count = 0};

    add_own_fields(exchange, end->outcome, &fields);
    Field_Add(&fields, Str_LIT("Content-Type"), Str_LIT("text/plain"));
    if (end->status == 503) {
        Field_Add(&fields, Str_LIT("Retry-After"), Str_LIT("1"));
    }
    Cst_Answer(exchange->request, end->status, &fields, end->text);
}

static void
on_end(void *context, CallOutcome outcome, CallReason why)
{
    Exchange *exchange = context;
    EndText end = end_text(outcome, why);

    exchange->call = NULL;
    exchange->request->owner = NULL;
    if (!exchange->head_sent) {
        send_text(exchange, &end);
    }
    else if (outcome == Call_ANSWERED) {
        Cst_End(exchange->request);
    }
    else {
        Cst_Cut(exchange->request);
    }
    free_exchange(exchange);
}

static bool
blocks(void *context)
{
    return Cst_Blocks(((Exchange *)context)->request);
}

static void
choose_id(Exchange *exchange, Str given)
{
    if (Htr_IsRequestId(given)) {
        StrBuf_Set(&exchange->request_id, given);
        return;
    }
    StrBuf_AppendFmt(&exchange->request_id, "%016" PRIx64 "-%" PRIu64,
                     exchange->list->dispatcher->incarnation,
                     ++exchange->list->request_id_counter);
}

static bool
read_deadline(Str text, Span *deadline)
{
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
forward_fields(const Exchange *exchange, FieldList *to)
{
    const SetNames *names = exchange->list->names;
    const FieldList *from = &exchange->request->fields;
    Str connection = Field_Get(from, Str_LIT("Connection"));

    to->count = 0;
    for (size_t i = 0; i < from->count; i++) {
        Str name = from->items[i].name;
        if (!Field_IsHopByHop(name, connection) &&
            !Str_EqualNoCase(name, Str_LIT("Expect")) &&
            !Str_EqualNoCase(name, name_of(&names->deadline)) &&
            !Str_EqualNoCase(name, name_of(&names->expect)) &&
            !Str_EqualNoCase(name, name_of(&names->origin)) &&
            !Str_EqualNoCase(name, name_of(&names->request_id))) {
            Field_Add(to, name, from->items[i].value);
        }
    }
    Field_Add(to, name_of(&names->request_id),
              StrBuf_View(&exchange->request_id));
    if (names->origin.len && names->origin_value.len) {
        Field_Add(to, name_of(&names->origin), name_of(&names->origin_value));
    }
}

static Exchange *
add_exchange(ExchangeList *list, CstRequest *request)
{
    Exchange *exchange = Mem_Alloc(1, sizeof *exchange);

    exchange->list = list;
    exchange->request = request;
    request->owner = exchange;
    exchange->next = list->first;
    if (list->first) {
        list->first->previous = exchange;
    }
    list->first = exchange;
    list->count++;
    return exchange;
}

static void
refuse(Exchange *exchange, uint16_t status, Str text)
{
    EndText end = {status, Str_LIT("not-run"), text};

    /* What follows on this connection may not be a request. */
    exchange->request->last = true;
    exchange->request->owner = NULL;
    send_text(exchange, &end);
    free_exchange(exchange);
}

static void
start_call(Exchange *exchange, Span deadline, Instant now)
{
    static const CallSink callbacks = {NULL, on_head, on_bytes, on_end,
                                       blocks};
    const CstRequest *http = exchange->request;
    CallSink sink = callbacks;
    CallRequest request = {
        .request_id = StrBuf_View(&exchange->request_id),
        .host = Htr_Host(&http->fields),
        .method = http->method,
        .target = Htr_Target(http->target),
        .body = StrBuf_View(&http->body),
        .timeout = deadline,
    };
    Call *call;

    if (!Str_StartsWith(http->target, Str_LIT("/"))) {
        /* The caller takes this node for a proxy: no more than one. */
        exchange->request->last = true;
    }
    forward_fields(exchange, &request.fields);
    sink.context = exchange;
    call = Call_Start(exchange->list->dispatcher, &request, &sink, now);
    if (call) {
        exchange->call = call;
    }
}

void
Xch_Start(ExchangeList *list, CstRequest *request, Instant now)
{
    Exchange *exchange = add_exchange(list, request);
    HtrVerdict verdict = Htr_Check(request);
    Span deadline;

    choose_id(exchange,
              Field_Get(&request->fields, name_of(&list->names->request_id)));
    if (verdict.status) {
        refuse(exchange, verdict.status, verdict.text);
    }
    else if (!read_deadline(
                 Field_Get(&request->fields, name_of(&list->names->deadline)),
                 &deadline)) {
        refuse(exchange, 400, Str_LIT("deadline: 1 to 3600000 ms\n"));
    }
    else {
        start_call(exchange, deadline, now);
    }
}
