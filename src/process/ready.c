#include "process/ready.h"

enum { OK = 200, NOT_NOW = 503 };

static void
on_request(struct evhttp_request *request, void *context)
{
    const Ready *ready = context;

    evhttp_send_reply(request, ready->ask(ready->context) ? OK : NOT_NOW, NULL,
                      NULL);
}

bool
Rdy_Init(Ready *ready, Loop *loop, Addr addr, RdyAsk ask, void *context,
         Err *err)
{
    StrBuf ip = {0};
    bool good;

    *ready = (Ready){.ask = ask, .context = context};
    if (addr == Addr_NONE) {
        return true;
    }
    ready->http = evhttp_new(loop->base);
    evhttp_set_cb(ready->http, "/v1/ready", on_request, ready);
    Addr_PrintIp(addr, &ip);
    good = evhttp_bind_socket(ready->http, StrBuf_CStr(&ip),
                              Addr_Port(addr)) == 0;
    if (!good) {
        Err_SET(err, Err_IO, "cannot listen for readiness on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(addr));
        Rdy_Finish(ready);
    }
    StrBuf_Finish(&ip);
    return good;
}

void
Rdy_Finish(Ready *ready)
{
    if (ready->http) {
        evhttp_free(ready->http);
        ready->http = NULL;
    }
}
