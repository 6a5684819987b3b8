#include "connection/callerstate.h"

enum { NO_CONTENT = 204, NOT_MODIFIED = 304 };

/* Called when an answer behind others changes. */
static void
on_deferred_change(struct evbuffer *out, const struct evbuffer_cb_info *info,
                   void *context)
{
    (void)out;
    Ccn_CountOutput(context, info->n_added, info->n_deleted);
}

static struct evbuffer *
output_of(CallerRequest *request)
{
    if (request == request->connection->first_request) {
        return bufferevent_get_output(request->connection->bev);
    }
    if (!request->deferred_output) {
        request->deferred_output = evbuffer_new();
        evbuffer_add_cb(request->deferred_output, on_deferred_change,
                        request->connection);
    }
    return request->deferred_output;
}

/* Empty for a status without a registered reason. */
static Str
reason_of(uint16_t status)
{
    switch (status) {
#define REASON(number, name, reason)                                          \
    case number:                                                              \
        return Str_LIT(#reason);
        HTTP_STATUS_MAP(REASON)
#undef REASON
    default:
        return (Str){0};
    }
}

static bool
is_framing(Str name)
{
    return Str_EqualNoCase(name, Str_LIT("Connection")) ||
           Str_EqualNoCase(name, Str_LIT("Transfer-Encoding"));
}

static void
put_fields(struct evbuffer *out, const FieldList *fields)
{
    for (size_t i = 0; i < fields->count; i++) {
        const Field *field = &fields->items[i];
        if (!is_framing(field->name)) {
            evbuffer_add_printf(out, "%.*s: %.*s\r\n", Str_ARG(field->name),
                                Str_ARG(field->value));
        }
    }
}

void
Ccn_SendHead(CallerRequest *request, uint16_t status, const FieldList *fields)
{
    CallerConnection *connection = request->connection;
    struct evbuffer *out = output_of(request);
    Str reason = reason_of(status);
    bool has_length = Field_Get(fields, Str_LIT("Content-Length")).len > 0;

    request->head_sent = true;
    request->has_length = has_length;
    request->has_no_body = Str_Equal(request->method, Str_LIT("HEAD")) ||
                           status == NO_CONTENT || status == NOT_MODIFIED;
    request->chunked =
        !has_length && !request->has_no_body && !request->http_1_0;
    request->is_unframed =
        !has_length && !request->chunked && !request->has_no_body;
    /* Close only if no later request was passed on, and while draining if none
     * was sent: the close must not lose it. */
    request->closes_connection =
        (request->is_last &&
         !(request->next && request->next->is_dispatched)) ||
        request->is_unframed ||
        (connection->listener->is_draining && !request->next &&
         !connection->incoming);
    evbuffer_add_printf(out, "HTTP/1.%c %u %.*s\r\n",
                        request->http_1_0 ? '0' : '1', status,
                        Str_ARG(reason));
    put_fields(out, fields);
    if (request->chunked) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    if (request->closes_connection) {
        connection->ignores_input = true;
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

void
Ccn_SendBody(CallerRequest *request, Str bytes)
{
    struct evbuffer *out = output_of(request);

    if (bytes.len == 0 || request->has_no_body ||
        !Ccn_HasAnswerRoom(request->connection)) {
        return;
    }
    request->unsent_bytes += (uint32_t)bytes.len;
    if (request->chunked) {
        evbuffer_add_printf(out, "%zx\r\n", bytes.len);
    }
    evbuffer_add(out, bytes.ptr, bytes.len);
    if (request->chunked) {
        evbuffer_add(out, "\r\n", 2);
    }
}

void
Ccn_DispatchRequest(CallerConnection *connection, CallerRequest *request)
{
    CallerListener *listener = connection->listener;

    request->is_dispatched = true;
    listener->callbacks.on_request(listener->callbacks.context, request,
                                   Ccn_Now(listener));
}

/* Answers the last input with an error and closes the connection. */
static void
send_error(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    struct evbuffer *out = bufferevent_get_output(connection->bev);
    Str reason = reason_of(connection->error_status);
    FieldList fields = {.count = 0};

    listener->callbacks.add_error_fields(listener->callbacks.context,
                                         connection->error_status, &fields);
    evbuffer_add_printf(out, "HTTP/1.1 %u %.*s\r\n", connection->error_status,
                        Str_ARG(reason));
    put_fields(out, &fields);
    evbuffer_add_printf(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    Ccn_EndAfterFlush(connection);
}

void
Ccn_RejectInput(CallerConnection *connection, uint16_t status)
{
    connection->error_status = status;
    connection->ignores_input = true;
    if (connection->incoming) {
        Ccn_FreeRequest(connection->incoming);
        connection->incoming = NULL;
    }
    Ccn_ReleaseInput(connection);
    if (!connection->first_request) {
        send_error(connection);
    }
}

/* Removes the oldest request after its answer ended. */
static void
remove_first_request(CallerConnection *connection)
{
    CallerRequest *request = connection->first_request;
    bool closes = request->closes_connection;

    connection->first_request = request->next;
    Ccn_AddUnsent(connection, request);
    if (closes) {
        /* Later requests count as not read. */
        Ccn_DropRequests(connection, Ccn_BEHIND_CLOSE);
        Ccn_EndAfterFlush(connection);
    }
    else if (!connection->first_request && connection->error_status) {
        send_error(connection);
    }
}

/* Writes deferred answers in order, then dispatches the oldest request if it
 * was waiting. */
static void
advance_pipeline(CallerConnection *connection)
{
    while (connection->first_request) {
        CallerRequest *request = connection->first_request;
        if (request->deferred_output) {
            evbuffer_add_buffer(bufferevent_get_output(connection->bev),
                                request->deferred_output);
        }
        if (!request->answer_ended) {
            break;
        }
        remove_first_request(connection);
    }
    if (connection->first_request &&
        !connection->first_request->is_dispatched) {
        Ccn_DispatchRequest(connection, connection->first_request);
        return;
    }
    if (!connection->in_reader) {
        Ccn_ProcessInput(connection);
    }
}

void
Ccn_EndAnswer(CallerRequest *request)
{
    CallerConnection *connection = request->connection;

    if (request->chunked) {
        evbuffer_add(output_of(request), "0\r\n\r\n", 5);
    }
    request->answer_ended = true;
    if (request == connection->first_request) {
        bool was_in_reader = connection->in_reader;
        connection->in_reader = true;
        remove_first_request(connection);
        advance_pipeline(connection);
        connection->in_reader = was_in_reader;
        if (!was_in_reader) {
            Ccn_ProcessInput(connection);
        }
    }
}

bool
Ccn_HasPipelined(const CallerRequest *request)
{
    return request->next != NULL;
}

bool
Ccn_Retract(CallerRequest *request)
{
    if (request == request->connection->first_request) {
        return false;
    }
    if (request->deferred_output) {
        evbuffer_drain(request->deferred_output,
                       evbuffer_get_length(request->deferred_output));
    }
    request->head_sent = false;
    request->chunked = false;
    request->unsent_bytes = 0;
    /* No further input is read since the answer was to close the
     * connection. */
    request->is_last |= request->closes_connection;
    request->closes_connection = false;
    return true;
}

void
Ccn_Abort(CallerRequest *request)
{
    CallerConnection *connection = request->connection;
    bool shows_end = request->chunked || request->has_length;

    request->is_aborted = true;
    Ccn_DropRequests(connection, Ccn_ANSWER_ABORTED);
    if (shows_end) {
        Ccn_EndAfterFlush(connection);
    }
    else {
        Ccn_ResetAfterFlush(connection);
    }
}

void
Ccn_SendAnswer(CallerRequest *request, uint16_t status,
               const FieldList *fields, Str body)
{
    FieldList all = *fields;
    StrBuf length = {0};

    StrBuf_AppendFmt(&length, "%zu", body.len);
    Field_Add(&all, Str_LIT("Content-Length"), StrBuf_View(&length));
    Ccn_SendHead(request, status, &all);
    Ccn_SendBody(request, body);
    StrBuf_Finish(&length);
    Ccn_EndAnswer(request);
}
