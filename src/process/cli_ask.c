#include <event2/buffer.h>
#include <stdio.h>

#include "connection/evhttptext.h"
#include "process/cli.h"

enum { ANSWER_BYTES_MAX = 16 * 1024 * 1024 };

typedef struct {
    Cli *cli;
    size_t left; /* answers still awaited */
} Batch;

typedef struct {
    Batch *batch;
    CliAsk *ask;
} Pending;

void
Cli_AskInit(CliAsk *ask, Addr node, Str path)
{
    *ask = (CliAsk){.node = node};
    StrBuf_Set(&ask->path, path);
}

void
Cli_AskFinish(CliAsk *ask)
{
    StrBuf_Finish(&ask->path);
    StrBuf_Finish(&ask->body);
    json_decref(ask->answer);
    *ask = (CliAsk){0};
}

static void
on_answer(struct evhttp_request *request, void *context)
{
    Pending *pending = context;
    Batch *batch = pending->batch;

    if (request && evhttp_request_get_response_code(request)) {
        Str text = Evt_BufferView(evhttp_request_get_input_buffer(request));
        pending->ask->status = evhttp_request_get_response_code(request);
        pending->ask->answer =
            json_loadb(text.ptr ? text.ptr : "", text.len, 0, NULL);
    }
    if (--batch->left == 0) {
        Loop_Stop(&batch->cli->loop);
    }
}

static void
add_headers(Cli *cli, struct evhttp_request *request)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
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
send_ask(Cli *cli, Pending *pending)
{
    CliAsk *ask = pending->ask;
    struct timeval wait = {cli->timeout / 1000000, cli->timeout % 1000000};
    struct evhttp_connection *connection;
    struct evhttp_request *request = evhttp_request_new(on_answer, pending);
    StrBuf ip = {0};

    Addr_PrintIp(ask->node, &ip);
    connection = evhttp_connection_base_new(
        cli->loop.base, NULL, StrBuf_CStr(&ip), Addr_Port(ask->node));
    StrBuf_Finish(&ip);
    evhttp_connection_set_timeout_tv(connection, &wait);
    evhttp_connection_set_max_body_size(connection, ANSWER_BYTES_MAX);
    add_headers(cli, request);
    evbuffer_add(evhttp_request_get_output_buffer(request), ask->body.ptr,
                 ask->body.len);
    if (evhttp_make_request(connection, request,
                            ask->body.len ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                            StrBuf_CStr(&ask->path))) {
        /* The library has freed the request without calling on_answer. */
        pending->batch->left--;
    }
    return connection;
}

static void
send_group(Cli *cli, CliAsk *asks, size_t count)
{
    Batch batch = {cli, count};
    Pending pending[Cli_NODES_MAX];
    struct evhttp_connection *connections[Cli_NODES_MAX];

    for (size_t i = 0; i < count; i++) {
        pending[i] = (Pending){&batch, &asks[i]};
        connections[i] = send_ask(cli, &pending[i]);
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
Cli_AskAll(Cli *cli, CliAsk *asks, size_t count)
{
    for (size_t i = 0; i < count; i += Cli_NODES_MAX) {
        size_t left = count - i;
        send_group(cli, asks + i, left < Cli_NODES_MAX ? left : Cli_NODES_MAX);
    }
}

void
Cli_AskAny(Cli *cli, Str path, Str body, CliAsk *ask)
{
    Cli_AskInit(ask, cli->nodes[0], path);
    for (size_t i = 0; i < cli->node_count; i++) {
        CliAsk next;
        Cli_AskInit(&next, cli->nodes[i], path);
        StrBuf_Set(&next.body, body);
        Cli_AskAll(cli, &next, 1);
        /* What one node said goes before the silence of the next. */
        if (next.status || !ask->status) {
            Cli_AskFinish(ask);
            *ask = next;
        }
        else {
            Cli_AskFinish(&next);
        }
        /* Another node may reach a leader that this one does not. */
        if (ask->status && ask->status != 503) {
            return;
        }
    }
}

CliStatus
Cli_Explain(const CliAsk *ask)
{
    StrBuf node = {0};
    Str detail = Cli_Text(ask->answer, "detail");
    CliStatus status = Cli_REFUSED;

    Addr_Print(ask->node, &node);
    switch (ask->status) {
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
    if (ask->status) {
        fprintf(stderr, "lycheeridge: %.*s answered %d: %.*s\n", Str_ARG(node),
                ask->status, Str_ARG(detail));
    }
    StrBuf_Finish(&node);
    return status;
}

CliStatus
Cli_Show(Cli *cli, Str path, Str body, void (*print)(const json_t *answer))
{
    CliAsk ask;
    CliStatus status = Cli_GOOD;

    Cli_AskAny(cli, path, body, &ask);
    if (ask.status != 200) {
        status = Cli_Explain(&ask);
    }
    else if (cli->json) {
        Cli_PrintJson(ask.answer);
    }
    else {
        print(ask.answer);
    }
    Cli_AskFinish(&ask);
    return status;
}
