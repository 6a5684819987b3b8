#include "process/lifecycle/ready.h"

enum { STATUS_READY = 200, STATUS_NOT_READY = 503 };

/* Of a request; of connections, at twice as many a new one closes one. */
enum { REQUEST_BYTES_MAX = 4096, CONNECTIONS_MAX = 8 };

static void
on_request(struct evhttp_request *request, void *context)
{
    ReadinessServer *server = context;

    Opc_OnRequest(&server->connections, request, Loop_Now());
    Opc_SetBusy(&server->connections, request, false);
    evhttp_send_reply(request,
                      server->is_ready(server->context) ? STATUS_READY
                                                        : STATUS_NOT_READY,
                      NULL, NULL);
}

bool
Rdy_Init(ReadinessServer *server, Loop *loop, Addr addr,
         ReadinessCallback is_ready, void *context, MemoryBudget *budget,
         Counters *counters, Err *err)
{
    StrBuf ip = {0};
    bool good;

    *server = (ReadinessServer){.is_ready = is_ready, .context = context};
    if (addr == Addr_NONE) {
        return true;
    }
    server->http = evhttp_new(loop->base);
    evhttp_set_max_headers_size(server->http, REQUEST_BYTES_MAX);
    evhttp_set_max_body_size(server->http, REQUEST_BYTES_MAX);
    Opc_Init(&server->connections, server->http, CONNECTIONS_MAX, budget,
             counters);
    evhttp_set_cb(server->http, "/v1/ready", on_request, server);
    Addr_PrintIp(addr, &ip);
    good = evhttp_bind_socket(server->http, StrBuf_CStr(&ip),
                              Addr_Port(addr)) == 0;
    if (!good) {
        Err_SET(err, Err_IO, "cannot listen for readiness on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(addr));
        Rdy_Finish(server);
    }
    StrBuf_Finish(&ip);
    return good;
}

void
Rdy_Finish(ReadinessServer *server)
{
    if (server->http) {
        evhttp_free(server->http);
        Opc_Finish(&server->connections);
        server->http = NULL;
    }
}
