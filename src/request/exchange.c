#include "request/exchange.h"

#include <inttypes.h>

#include "connection/httprule.h"
#include "process/loop.h"
#include "value/mem.h"

enum { TIMEOUT_MS_MAX = 3600 * 1000, MS_PER_S = 1000 };

struct Exchange {
    ExchangeList *list;
    ListLink link;
    CallerRequest *request;
    Call *call;       /* NULL: not started yet, or freed */
    bool head_sent;   /* the head of the answer was sent */
    Span retry_after; /* of an account at its limit; 0: not known */
};

static void
free_exchange(Exchange *exchange)
{
    Lst_Drop(&exchange->list->exchanges, &exchange->link);
    Mem_Free(exchange);
}

void
Xch_ListFinish(ExchangeList *list)
{
    Exchange *exchange;

    while ((exchange = Lst_First(&list->exchanges))) {
        free_exchange(exchange);
    }
}

void
Xch_OnDisconnect(CallerRequest *request, Instant now)
{
    Exchange *exchange = request->user_data;

    if (exchange) {
        if (exchange->call) {
            Call_Cancel(exchange->call, now);
        }
        free_exchange(exchange);
    }
}

void
Xch_OnConsumed(CallerRequest *request, uint32_t bytes, Instant now)
{
    const Exchange *exchange = request->user_data;

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
is_reserved_field(const Exchange *exchange, Str name)
{
    const HeaderFieldNames *names = exchange->list->names;

    return Str_EqualNoCase(name, name_of(&names->request_id)) ||
           Str_EqualNoCase(name, name_of(&names->outcome));
}

/* Adds the header fields that this node sets in every answer. */
static void
add_node_fields(const Exchange *exchange, Str outcome, FieldList *fields)
{
    const HeaderFieldNames *names = exchange->list->names;

    if (names->outcome.len) {
        Field_Add(fields, name_of(&names->outcome), outcome);
    }
    Field_Add(fields, name_of(&names->request_id),
              StrBuf_View(&exchange->request->id));
}

static void
on_head(void *context, uint16_t status, const FieldList *from)
{
    Exchange *exchange = context;
    FieldList fields = {.count = 0};

    add_node_fields(exchange, Str_LIT("ran"), &fields);
    for (size_t i = 0; i < from->count; i++) {
        if (!is_reserved_field(exchange, from->items[i].name)) {
            Field_Add(&fields, from->items[i].name, from->items[i].value);
        }
    }
    exchange->head_sent = true;
    Ccn_SendHead(exchange->request, status, &fields);
}

static void
on_body(void *context, Str bytes)
{
    Ccn_SendBody(((Exchange *)context)->request, bytes);
}

typedef struct {
    uint16_t status;
    Str outcome;
    Str text;
} FinalAnswer;

static FinalAnswer
choose_final_answer(CallOutcome outcome, CallReason reason)
{
    static const Str not_run = Str_LIT("not-run");

    if (outcome == Call_UNKNOWN || outcome == Call_TRUNCATED) {
        return (FinalAnswer){
            504, Str_LIT("unknown"),
            Str_LIT("it may have run; its answer did not come\n")};
    }
    if (outcome == Call_ANSWER_NOT_KEPT) {
        return (FinalAnswer){
            409, Str_LIT("ran"),
            Str_LIT("this key's call ran; its answer is not kept\n")};
    }
    switch (reason) {
    case Call_REASON_KEY_TOO_LONG:
        return (FinalAnswer){400, not_run, Str_LIT("the key is too long\n")};
    case Call_REASON_KEY_MISMATCH:
        return (FinalAnswer){
            422, not_run, Str_LIT("the key named another request before\n")};
    case Call_REASON_SUSPECT:
        return (FinalAnswer){503, not_run,
                             Str_LIT("it is held back: it may crash backend "
                                     "servers\n")};
    case Call_REASON_NO_ACCOUNT:
        return (FinalAnswer){401, not_run, Str_LIT("the key is unknown\n")};
    case Call_REASON_NO_ROUTE:
        return (FinalAnswer){404, not_run, Str_LIT("no route matches\n")};
    case Call_REASON_DEADLINE:
        return (FinalAnswer){
            503, not_run, Str_LIT("it could not run before its deadline\n")};
    case Call_REASON_VERSION:
        return (FinalAnswer){503, not_run,
                             Str_LIT("which preset is in force is not known "
                                     "yet\n")};
    case Call_REASON_STOPPING:
        return (FinalAnswer){503, not_run, Str_LIT("this node is stopping\n")};
    case Call_REASON_NO_REGION:
        return (FinalAnswer){503, not_run,
                             Str_LIT("no backend server is known in the "
                                     "regions that it is bound to\n")};
    case Call_REASON_OVER_LIMIT:
        return (FinalAnswer){429, not_run,
                             Str_LIT("the account is at its limit\n")};
    case Call_REASON_NO_GRANTOR:
        return (FinalAnswer){503, not_run,
                             Str_LIT("the account's limit can't be checked "
                                     "now\n")};
    case Call_REASON_NO_BACKEND:
        return (FinalAnswer){503, not_run,
                             Str_LIT("no backend server is known\n")};
    default:
        return (FinalAnswer){503, not_run,
                             Str_LIT("every backend server is full\n")};
    }
}

/* Appends TIME in seconds, in whole milliseconds that are not below it. */
static void
print_seconds(Span time, StrBuf *out)
{
    long long ms = (time + Span_MS(1) - 1) / Span_MS(1);

    StrBuf_AppendFmt(out, "%lld.%03lld", ms / MS_PER_S, ms % MS_PER_S);
}

static void
send_final_answer(Exchange *exchange, const FinalAnswer *answer)
{
    FieldList fields = {.count = 0};
    StrBuf wait = {0};

    add_node_fields(exchange, answer->outcome, &fields);
    Field_Add(&fields, Str_LIT("Content-Type"), Str_LIT("text/plain"));
    if (exchange->retry_after) {
        print_seconds(exchange->retry_after, &wait);
        Field_Add(&fields, Str_LIT("Retry-After"), StrBuf_View(&wait));
    }
    else if (answer->status == 503 || answer->status == 429) {
        Field_Add(&fields, Str_LIT("Retry-After"), Str_LIT("1"));
    }
    Ccn_SendAnswer(exchange->request, answer->status, &fields, answer->text);
    StrBuf_Finish(&wait);
}

static void
on_retry_after(void *context, Span wait)
{
    ((Exchange *)context)->retry_after = wait;
}

static void
on_end(void *context, CallOutcome outcome, CallReason reason)
{
    Exchange *exchange = context;
    FinalAnswer answer = choose_final_answer(outcome, reason);

    exchange->request->user_data = NULL;
    if (exchange->head_sent && outcome == Call_ANSWERED) {
        Ccn_EndAnswer(exchange->request);
    }
    else if (!exchange->head_sent || Ccn_Retract(exchange->request)) {
        send_final_answer(exchange, &answer);
    }
    else {
        Ccn_Abort(exchange->request);
    }
    free_exchange(exchange);
}

static bool
is_blocking_others(void *context)
{
    return Ccn_HasPipelined(((Exchange *)context)->request);
}

static void
set_request_id(Exchange *exchange, Str given)
{
    if (Htr_IsValidRequestId(given)) {
        StrBuf_Set(&exchange->request->id, given);
        return;
    }
    StrBuf_AppendFmt(&exchange->request->id, "%016" PRIx64 "-%" PRIu64,
                     exchange->list->dispatcher->incarnation,
                     ++exchange->list->request_id_counter);
}

static bool
read_timeout(Str text, Span *timeout)
{
    uint64_t ms = 0;

    *timeout = 0;
    if (text.len == 0) {
        return true;
    }
    if (!Str_ToU64(text, &ms) || ms == 0 || ms > TIMEOUT_MS_MAX) {
        return false;
    }
    *timeout = Span_MS(ms);
    return true;
}

/* Whether callers send keys of accounts, which no backend server gets. */
static bool
has_accounts(const Exchange *exchange)
{
    return exchange->list->dispatcher->in_force->preset.account_count > 0;
}

/* The key in the Authorization field (RFC 6750, section 2.1); empty: none. */
static Str
get_credential(const Exchange *exchange)
{
    static const Str scheme = Str_LIT("Bearer ");
    Str value =
        Field_Get(&exchange->request->fields, Str_LIT("Authorization"));

    if (!has_accounts(exchange) ||
        !Str_EqualNoCase(Str_Slice(value, 0, scheme.len), scheme)) {
        return (Str){0};
    }
    return Str_Trim(Str_Slice(value, scheme.len, value.len));
}

/* Copies the fields that are forwarded to the backend server: without those of
 * this connection and without those that this node sets or reads. */
static void
copy_forwarded_fields(const Exchange *exchange, FieldList *to)
{
    const HeaderFieldNames *names = exchange->list->names;
    const FieldList *from = &exchange->request->fields;
    Str connection = Field_Get(from, Str_LIT("Connection"));

    to->count = 0;
    for (size_t i = 0; i < from->count; i++) {
        Str name = from->items[i].name;
        if (!Field_IsHopByHop(name, connection) &&
            !Str_EqualNoCase(name, Str_LIT("Expect")) &&
            !Str_EqualNoCase(name, name_of(&names->deadline)) &&
            !Str_EqualNoCase(name, name_of(&names->expect_instance)) &&
            !Str_EqualNoCase(name, name_of(&names->origin_service)) &&
            !Str_EqualNoCase(name, name_of(&names->account)) &&
            !(has_accounts(exchange) &&
              Str_EqualNoCase(name, Str_LIT("Authorization"))) &&
            !Str_EqualNoCase(name, name_of(&names->request_id))) {
            Field_Add(to, name, from->items[i].value);
        }
    }
    Field_Add(to, name_of(&names->request_id),
              StrBuf_View(&exchange->request->id));
    if (names->origin_service.len && names->origin_value.len) {
        Field_Add(to, name_of(&names->origin_service),
                  name_of(&names->origin_value));
    }
}

static Exchange *
add_exchange(ExchangeList *list, CallerRequest *request)
{
    Exchange *exchange = Mem_Alloc(1, sizeof *exchange);

    exchange->list = list;
    exchange->request = request;
    request->user_data = exchange;
    Lst_Prepend(&list->exchanges, &exchange->link, exchange);
    return exchange;
}

static void
reject_request(Exchange *exchange, uint16_t status, Str text)
{
    FinalAnswer answer = {status, Str_LIT("not-run"), text};

    /* The bytes that follow on this connection may not be a request. */
    exchange->request->is_last = true;
    exchange->request->user_data = NULL;
    send_final_answer(exchange, &answer);
    free_exchange(exchange);
}

static void
start_call(Exchange *exchange, Span timeout, Instant now)
{
    static const CallSink callbacks = {
        NULL, on_head, on_body, on_end, is_blocking_others, on_retry_after};
    const CallerRequest *http = exchange->request;
    CallSink sink = callbacks;
    CallRequest request = {
        .request_id = StrBuf_View(&exchange->request->id),
        .host = Htr_HostWithoutPort(&http->fields),
        .method = http->method,
        .target = Htr_OriginForm(http->target),
        .body = Bod_View(http->body),
        .body_buf = http->body,
        .credential = get_credential(exchange),
        .timeout = timeout,
    };

    if (!Str_StartsWith(http->target, Str_LIT("/"))) {
        /* An absolute URI: the caller uses this node as a proxy.  Close the
         * connection after this request. */
        exchange->request->is_last = true;
    }
    copy_forwarded_fields(exchange, &request.fields);
    sink.context = exchange;
    Call_Start(exchange->list->dispatcher, &request, &sink, &exchange->call,
               now); /* may free the exchange */
}

/* The caller's time ran on while its request lay here, unread or behind others
 * of its connection.  A timeout that has passed meanwhile becomes the shortest
 * one. */
static void
subtract_waiting_time(const Exchange *exchange, Span *timeout, Instant now)
{
    Span unread =
        Opa_GetUnreadTime(exchange->list->dispatcher->own_pause, now);
    Span waited = now - exchange->request->received_at;

    if (waited < unread) {
        waited = unread;
    }
    if (*timeout) {
        *timeout = *timeout > waited ? *timeout - waited : 1;
    }
}

void
Xch_Start(ExchangeList *list, CallerRequest *request, Instant now)
{
    Exchange *exchange = add_exchange(list, request);
    RequestCheckResult check = Htr_CheckRequest(request);
    Span timeout;

    set_request_id(exchange, Field_Get(&request->fields,
                                       name_of(&list->names->request_id)));
    if (check.status) {
        reject_request(exchange, check.status, check.error_text);
    }
    else if (!read_timeout(
                 Field_Get(&request->fields, name_of(&list->names->deadline)),
                 &timeout)) {
        reject_request(exchange, 400, Str_LIT("deadline: 1 to 3600000 ms\n"));
    }
    else {
        subtract_waiting_time(exchange, &timeout, now);
        start_call(exchange, timeout, now);
    }
}
