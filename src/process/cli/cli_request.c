#include <event2/buffer.h>
#include <stdio.h>

#include "connection/evhttptext.h"
#include "process/cli/cli.h"

enum { ANSWER_BYTES_MAX = 16 * 1024 * 1024 };

/* Requests that are sent at the same time. */
typedef struct {
    Cli *cli;
    size_t left; /* requests not yet answered or failed */
} Batch;

/* Context of on_answer for one request. */
typedef struct {
    Batch *batch;
    CliRequest *request;
} PendingRequest;

void
Cli_InitRequest(CliRequest *request, Addr node, Str path)
{
    *request = (CliRequest){.node = node};
    StrBuf_Set(&request->path, path);
}

void
Cli_FinishRequest(CliRequest *request)
{
    StrBuf_Finish(&request->path);
    StrBuf_Finish(&request->body);
    json_decref(request->answer);
    *request = (CliRequest){0};
}

static void
on_answer(struct evhttp_request *http_request, void *context)
{
    PendingRequest *pending = context;
    Batch *batch = pending->batch;

    if (http_request && evhttp_request_get_response_code(http_request)) {
        Str text =
            Evt_BufferView(evhttp_request_get_input_buffer(http_request));
        pending->request->status =
            evhttp_request_get_response_code(http_request);
        pending->request->answer =
            json_loadb(text.ptr ? text.ptr : "", text.len, 0, NULL);
    }
    if (--batch->left == 0) {
        Loop_Stop(&batch->cli->loop);
    }
}

static void
add_headers(Cli *cli, struct evhttp_request *http_request)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(http_request);
    StrBuf value = {0};

    StrBuf_AppendFmt(&value, "Bearer %.*s", Str_ARG(cli->key));
    Evt_AddField(headers, Str_LIT("Authorization"), StrBuf_View(&value));
    Evt_AddField(headers, Str_LIT("Connection"), Str_LIT("close"));
    StrBuf_Clear(&value);
    StrBuf_AppendFmt(&value, "lycheeridge");
    Evt_AddField(headers, Str_LIT("Host"), StrBuf_View(&value));
    StrBuf_Finish(&value);
}

static struct evhttp_connection *
send_request(Cli *cli, PendingRequest *pending)
{
    CliRequest *request = pending->request;
    struct timeval timeout = {cli->timeout / 1000000, cli->timeout % 1000000};
    struct evhttp_connection *connection;
    struct evhttp_request *http_request =
        evhttp_request_new(on_answer, pending);
    StrBuf ip = {0};

    Addr_PrintIp(request->node, &ip);
    connection = evhttp_connection_base_new(
        cli->loop.base, NULL, StrBuf_CStr(&ip), Addr_Port(request->node));
    StrBuf_Finish(&ip);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_max_body_size(connection, ANSWER_BYTES_MAX);
    add_headers(cli, http_request);
    evbuffer_add(evhttp_request_get_output_buffer(http_request),
                 request->body.ptr, request->body.len);
    if (evhttp_make_request(connection, http_request,
                            request->body.len ? EVHTTP_REQ_POST
                                              : EVHTTP_REQ_GET,
                            StrBuf_CStr(&request->path))) {
        /* evhttp has freed the request without calling on_answer. */
        pending->batch->left--;
    }
    return connection;
}

static void
send_group(Cli *cli, CliRequest *requests, size_t count)
{
    Batch batch = {cli, count};
    PendingRequest pending[Cli_NODES_MAX];
    struct evhttp_connection *connections[Cli_NODES_MAX];

    for (size_t i = 0; i < count; i++) {
        pending[i] = (PendingRequest){&batch, &requests[i]};
        connections[i] = send_request(cli, &pending[i]);
    }
    /* An earlier answer may have stopped the loop before it ran. */
    while (batch.left) {
        Loop_Run(&cli->loop);
    }
    for (size_t i = 0; i < count; i++) {
        evhttp_connection_free(connections[i]);
    }
}

void
Cli_SendAll(Cli *cli, CliRequest *requests, size_t count)
{
    for (size_t i = 0; i < count; i += Cli_NODES_MAX) {
        size_t left = count - i;
        send_group(cli, requests + i,
                   left < Cli_NODES_MAX ? left : Cli_NODES_MAX);
    }
}

void
Cli_SendToAny(Cli *cli, Str path, Str body, CliRequest *request)
{
    Cli_InitRequest(request, cli->nodes[0], path);
    for (size_t i = 0; i < cli->node_count; i++) {
        CliRequest next;
        Cli_InitRequest(&next, cli->nodes[i], path);
        StrBuf_Set(&next.body, body);
        Cli_SendAll(cli, &next, 1);
        /* An answer of one node is kept when the next one does not answer. */
        if (next.status || !request->status) {
            Cli_FinishRequest(request);
            *request = next;
        }
        else {
            Cli_FinishRequest(&next);
        }
        /* After 503, another node may reach a leader that this one can't. */
        if (request->status && request->status != 503) {
            return;
        }
    }
}

CliStatus
Cli_ReportFailure(const CliRequest *request)
{
    StrBuf node = {0};
    Str detail = Cli_GetText(request->answer, "detail");
    CliStatus status = Cli_REFUSED;

    Addr_Print(request->node, &node);
    switch (request->status) {
    case 0:
        fprintf(stderr, "lycheeridge: no answer from %.*s\n", Str_ARG(node));
        status = Cli_UNREACHABLE;
        break;
    case 401:
        status = Cli_DENIED;
        break;
    case 503:
        status = Cli_UNREACHABLE;
        break;
    case 504:
        status = Cli_UNKNOWN;
        break;
    default:
        break;
    }
    if (request->status) {
        fprintf(stderr, "lycheeridge: %.*s answered %d: %.*s\n", Str_ARG(node),
                request->status, Str_ARG(detail));
    }
    StrBuf_Finish(&node);
    return status;
}

CliStatus
Cli_PrintReply(Cli *cli, Str path, Str body,
               void (*print)(const json_t *answer))
{
    CliRequest request;
    CliStatus status = Cli_GOOD;

    Cli_SendToAny(cli, path, body, &request);
    if (request.status != 200) {
        status = Cli_ReportFailure(&request);
    }
    else if (cli->json) {
        Cli_PrintJson(request.answer);
    }
    else {
        print(request.answer);
    }
    Cli_FinishRequest(&request);
    return status;
}
