#include "connection/callerstate.h"
#include "value/mem.h"

enum {
    PIPELINED_MAX = 16, /* requests of one connection read and not answered */
    INPUT_BYTES_MAX = 65536, /* that wait on one connection */
    BAD_REQUEST = 400,
    BODY_TOO_LARGE = 413,
    EXPECTATION_FAILED = 417,
    HEAD_TOO_LARGE = 431,
    NOT_IMPLEMENTED = 501,
    METHOD_BYTES_MAX = 32
};

/* Room before a body for the head of the message that carries it to another
 * node: the text of the request, twice for what is packed around it, and the
 * rest. */
enum { HEADROOM_FACTOR = 2, HEADROOM_BYTES = 4096 };

/* What a connection keeps of the text of heads when no request is read. */
enum { KEPT_HEAD_BYTES_MAX = 4096 };

/* Waits on one connection while requests are scarce of room. */
enum { SCARCE_INPUT_BYTES_MAX = 4096 };

/* Returns false if the Expect field holds an unsupported expectation. */
static bool
check_expectation(CallerConnection *connection, const CallerRequest *request)
{
    Str expected = Field_Get(&request->fields, Str_LIT("Expect"));

    if (expected.len == 0) {
        return true;
    }
    if (!Str_EqualNoCase(expected, Str_LIT("100-continue"))) {
        connection->error_status = EXPECTATION_FAILED;
        return false;
    }
    if (!connection->first_request) {
        evbuffer_add_printf(bufferevent_get_output(connection->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

static size_t
get_headroom(const CallerRequest *request)
{
    return request->text.len * HEADROOM_FACTOR + HEADROOM_BYTES;
}

/* Returns how much a body of LEN bytes takes, with what is before it; 0 for
 * none. */
static size_t
count_body_room(const CallerRequest *request, size_t len)
{
    return len ? get_headroom(request) + len : 0;
}

/* Makes room for the request, and for the body whose length its head gives.
 * Returns false when the body is too long, or there is no room. */
static bool
prepare_body(CallerConnection *connection, CallerRequest *request,
             const HttpHead *head)
{
    uint64_t len = head->has_content_length
                       ? connection->reader.parser.content_length
                       : 0;

    if (len > connection->listener->limits.body_bytes_max) {
        connection->error_status = BODY_TOO_LARGE;
        return false;
    }
    request->body_reserve = (size_t)len;
    if (!Ccn_HoldRequest(request, count_body_room(request, (size_t)len))) {
        connection->error_status = Ccn_UNAVAILABLE;
        return false;
    }
    return true;
}

static bool
on_head(void *context, const HttpHead *head)
{
    CallerConnection *connection = context;
    CallerRequest *request = Mem_Alloc(1, sizeof *request);
    size_t offset = 0;
    Str whole;

    request->connection = connection;
    request->received_at = Ccn_Now(connection->listener);
    request->is_last = !head->keep_alive;
    request->http_1_0 = head->http_1_0;
    StrBuf_Append(&request->text, head->method);
    StrBuf_Append(&request->text, head->target);
    for (size_t i = 0; i < head->fields.count; i++) {
        StrBuf_Append(&request->text, head->fields.items[i].name);
        StrBuf_Append(&request->text, head->fields.items[i].value);
    }
    whole = StrBuf_View(&request->text);
    request->method = Str_Slice(whole, 0, head->method.len);
    offset = head->method.len;
    request->target = Str_Slice(whole, offset, head->target.len);
    offset += head->target.len;
    for (size_t i = 0; i < head->fields.count; i++) {
        const Field *from = &head->fields.items[i];
        Str name = Str_Slice(whole, offset, from->name.len);
        Str value = Str_Slice(whole, offset + from->name.len, from->value.len);
        offset += from->name.len + from->value.len;
        Field_Add(&request->fields, name, value);
    }
    connection->incoming = request;
    connection->in_head = false;
    return prepare_body(connection, request, head) &&
           check_expectation(connection, request);
}

/* Makes the body large enough for LEN bytes.  Returns false when there is no
 * room. */
static bool
grow_body(CallerRequest *request, size_t len)
{
    size_t max = request->connection->listener->limits.body_bytes_max;
    size_t room = len <= request->body_reserve ? request->body_reserve
                                               : Bod_ChooseRoom(len, max);

    if (!Ccn_HoldRequest(request, count_body_room(request, room))) {
        room = Bod_ChooseLeastRoom(len, max);
        if (!Ccn_HoldRequest(request, count_body_room(request, room))) {
            return false;
        }
    }
    if (!request->body) {
        request->body = Bod_New(get_headroom(request));
    }
    Bod_Reserve(request->body, room);
    return true;
}

static bool
on_bytes(void *context, Str bytes)
{
    CallerConnection *connection = context;
    CallerRequest *request = connection->incoming;
    size_t len = Bod_View(request->body).len + bytes.len;

    if (len > connection->listener->limits.body_bytes_max) {
        return false;
    }
    request->received_at = Ccn_Now(connection->listener);
    if (len > Bod_GetRoom(request->body) && !grow_body(request, len)) {
        connection->error_status = Ccn_UNAVAILABLE;
        return false;
    }
    Bod_Append(request->body, bytes);
    return true;
}

static void
add_request(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    CallerRequest *request = connection->incoming;
    CallerRequest **at = &connection->first_request;

    connection->incoming = NULL;
    connection->ignores_input |= request->is_last;
    request->received_at = Ccn_Now(listener);
    while (*at) {
        at = &(*at)->next;
    }
    *at = request;
    connection->request_count++;
    listener->active_requests++;
    if (request == connection->first_request ||
        (!request->http_1_0 && listener->callbacks.can_run_early(
                                   listener->callbacks.context, request))) {
        Ccn_DispatchRequest(connection, request);
    }
}

/* Returns the status for the reason why the reader stopped. */
static uint16_t
find_error_status(const CallerConnection *connection)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&connection->reader.parser);

    if (connection->error_status) {
        return connection->error_status;
    }
    if (connection->reader.head_too_long) {
        return HEAD_TOO_LARGE;
    }
    if (error == HPE_INVALID_METHOD && connection->starts_with_word) {
        return NOT_IMPLEMENTED;
    }
    return connection->incoming && error == HPE_CB_body ? BODY_TOO_LARGE
                                                        : BAD_REQUEST;
}

/* Returns whether INPUT begins with capital letters and a space. */
static bool
begins_with_word(struct evbuffer *input)
{
    char bytes[METHOD_BYTES_MAX];
    ev_ssize_t len = evbuffer_copyout(input, bytes, sizeof bytes);
    ev_ssize_t at = 0;

    while (at < len && bytes[at] >= 'A' && bytes[at] <= 'Z') {
        at++;
    }
    return at > 0 && at < len && bytes[at] == ' ';
}

/* Stops reading while LEN bytes, too many, wait behind the requests that are
 * being answered. */
static void
limit_input(CallerConnection *connection, size_t len)
{
    const MemoryBudget *budget = connection->listener->budget;
    bool is_scarce = budget && !Bdg_HasSlack(budget, Bdg_CALLERS);
    bool is_full =
        len >= (is_scarce ? SCARCE_INPUT_BYTES_MAX : INPUT_BYTES_MAX);

    if (is_full == connection->is_input_full) {
        return;
    }
    connection->is_input_full = is_full;
    if (is_full) {
        bufferevent_disable(connection->bev, EV_READ);
    }
    else {
        bufferevent_enable(connection->bev, EV_READ);
    }
}

/* Whether nothing of a further request has come. */
static bool
has_no_input(const CallerConnection *connection)
{
    return !connection->reader.in_message &&
           evbuffer_get_length(bufferevent_get_input(connection->bev)) == 0;
}

static void
read_messages(CallerConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);

    while (!connection->free_pending && !connection->ignores_input &&
           connection->request_count < PIPELINED_MAX &&
           evbuffer_get_length(input) > 0) {
        if (!connection->reader.in_message) {
            connection->in_head = true;
            connection->starts_with_word = begins_with_word(input);
            connection->timer_start = Ccn_Now(connection->listener);
            connection->message_start = connection->timer_start;
        }
        switch (Hrd_Feed(&connection->reader, input)) {
        case Hrd_NEEDS_MORE:
            break;
        case Hrd_MESSAGE_END:
            if (connection->reader.head_text.cap > KEPT_HEAD_BYTES_MAX) {
                Hrd_DropHead(&connection->reader);
            }
            if (connection->incoming) {
                add_request(connection);
            }
            break;
        case Hrd_ERROR:
            Ccn_RejectInput(connection, find_error_status(connection));
            break;
        }
    }
    if (!connection->free_pending) {
        if (connection->ignores_input) {
            evbuffer_drain(input, evbuffer_get_length(input));
        }
        limit_input(connection, evbuffer_get_length(input));
        if (connection->ignores_input || has_no_input(connection)) {
            Ccn_ReleaseInput(connection);
        }
        else if (!Ccn_HoldInput(connection)) {
            Ccn_RejectInput(connection, Ccn_UNAVAILABLE);
        }
    }
}

void
Ccn_ProcessInput(CallerConnection *connection)
{
    if (connection->in_reader) {
        return;
    }
    connection->in_reader = true;
    read_messages(connection);
    connection->in_reader = false;
    if (connection->free_pending) {
        Ccn_Free(connection, Ccn_CALLER_LEFT);
    }
}

void
Ccn_InitReader(CallerConnection *connection)
{
    HttpReaderCallbacks callbacks = {connection, on_head, on_bytes};

    Hrd_Init(&connection->reader, Hrd_REQUESTS, &callbacks,
             connection->listener->limits.head_bytes_max);
}
