#include "process/edge.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <linux/filter.h>
#include <sys/socket.h>

/* evhttp ends a connection whose header section is over this many times the
 * bound, without a look at it. */
enum { HEADER_SLACK = 4 };

static void
on_request(struct evhttp_request *request, void *context)
{
    Edge *edge = context;

    Xch_Start(&edge->exchanges, Clr_OnRequest(&edge->callers, request),
              request, Loop_Now());
}

bool
Edge_Init(Edge *edge, Loop *loop, const Settings *settings, CallHub *hub,
          Err *err)
{
    StrBuf ip = {0};

    *edge = (Edge){.http = evhttp_new(loop->base)};
    Clr_Init(&edge->callers, loop->base);
    edge->exchanges.hub = hub;
    edge->exchanges.header_bytes_max = settings->header_bytes_max;
    evhttp_set_gencb(edge->http, on_request, edge);
    evhttp_set_allowed_methods(edge->http, UINT16_MAX);
    evhttp_set_flags(edge->http, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_max_headers_size(
        edge->http, (ev_ssize_t)settings->header_bytes_max * HEADER_SLACK);
    evhttp_set_max_body_size(edge->http, settings->body_bytes_max);
    Addr_PrintIp(settings->callers, &ip);
    edge->socket = evhttp_bind_socket_with_handle(
        edge->http, StrBuf_CStr(&ip), Addr_Port(settings->callers));
    if (!edge->socket) {
        Err_SET(err, Err_IO, "cannot listen for callers on %s:%u",
                StrBuf_CStr(&ip), Addr_Port(settings->callers));
        evhttp_free(edge->http);
    }
    else {
        evconnlistener_disable(evhttp_bound_socket_get_listener(edge->socket));
    }
    StrBuf_Finish(&ip);
    return edge->socket != NULL;
}

void
Edge_Open(Edge *edge)
{
    if (!edge->open && edge->socket) {
        edge->open = true;
        evconnlistener_enable(evhttp_bound_socket_get_listener(edge->socket));
    }
}

void
Edge_Finish(Edge *edge)
{
    Clr_Finish(&edge->callers);
    evhttp_free(edge->http);
    Xch_ListFinish(&edge->exchanges);
}

/* New connections are not answered rather than refused, so that none is
 * between the two: those that were made can still be accepted. */
static void
drop_new_connections(evutil_socket_t fd)
{
    struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &drop};

    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void
Edge_Refuse(Edge *edge)
{
    edge->exchanges.closing = true;
    drop_new_connections(evhttp_bound_socket_get_fd(edge->socket));
}

void
Edge_StopListening(Edge *edge)
{
    if (edge->socket) {
        evhttp_del_accept_socket(edge->http, edge->socket);
        edge->socket = NULL;
    }
}

void
Edge_CloseIdle(Edge *edge)
{
    Clr_CloseIdle(&edge->callers);
}

size_t
Edge_Busy(const Edge *edge)
{
    return edge->callers.busy;
}

size_t
Edge_Callers(const Edge *edge)
{
    return edge->callers.count;
}
