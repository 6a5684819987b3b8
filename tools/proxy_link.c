#include "proxy_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "process/loop.h"
#include "value/mem.h"

struct LinkConnection {
    Link *link;
    LinkConnection *next;
    LinkConnection *previous;
    struct bufferevent *client; /* owned, as is TARGET */
    struct bufferevent *target;
    Flow forward; /* client to target */
    Flow back;    /* target to client */
    bool client_ended;
    bool target_ended;
};

static struct sockaddr_in
make_sockaddr(Addr addr)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    StrBuf ip = {0};

    Addr_PrintIp(addr, &ip);
    evutil_inet_pton(AF_INET, StrBuf_CStr(&ip), &to.sin_addr);
    to.sin_port = htons(Addr_Port(addr));
    StrBuf_Finish(&ip);
    return to;
}

static void
free_connection(LinkConnection *connection)
{
    if (connection->previous) {
        connection->previous->next = connection->next;
    }
    else {
        connection->link->first = connection->next;
    }
    if (connection->next) {
        connection->next->previous = connection->previous;
    }
    connection->link->count--;
    Flw_Finish(&connection->forward);
    Flw_Finish(&connection->back);
    bufferevent_free(connection->client);
    bufferevent_free(connection->target);
    Mem_Free(connection);
}

static void
on_client_input(struct bufferevent *stream, void *context)
{
    (void)stream;
    Flw_OnInput(&((LinkConnection *)context)->forward, Loop_Now());
}

static void
on_target_input(struct bufferevent *stream, void *context)
{
    (void)stream;
    Flw_OnInput(&((LinkConnection *)context)->back, Loop_Now());
}

static void
on_client_drained(struct bufferevent *stream, void *context)
{
    (void)stream;
    Flw_OnDrained(&((LinkConnection *)context)->back, Loop_Now());
}

static void
on_target_drained(struct bufferevent *stream, void *context)
{
    (void)stream;
    Flw_OnDrained(&((LinkConnection *)context)->forward, Loop_Now());
}

static bool
is_finished(const LinkConnection *connection)
{
    return connection->client_ended && connection->target_ended &&
           !connection->forward.first && !connection->back.first;
}

/* A connection is closed when one side failed, unless the flow from that side
 * holds or discards: the other side must not notice the failure then. */
static void
on_event(LinkConnection *connection, Flow *flow, bool *ended, short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        return;
    }
    if (what & BEV_EVENT_EOF) {
        *ended = true;
        Flw_OnEnd(flow, Loop_Now());
    }
    if (what & BEV_EVENT_ERROR) {
        *ended = true;
        if (flow->mode == Flw_PASS) {
            free_connection(connection);
            return;
        }
        flow->source_ended = true;
    }
    if (is_finished(connection)) {
        free_connection(connection);
    }
}

static void
on_client_event(struct bufferevent *stream, short what, void *context)
{
    LinkConnection *connection = context;

    (void)stream;
    on_event(connection, &connection->forward, &connection->client_ended,
             what);
}

static void
on_target_event(struct bufferevent *stream, short what, void *context)
{
    LinkConnection *connection = context;

    (void)stream;
    on_event(connection, &connection->back, &connection->target_ended, what);
}

/* Frees connections whose queues became empty after both sides had closed: no
 * event reports that. */
static void
free_finished(Link *link)
{
    LinkConnection *next;

    for (LinkConnection *c = link->first; c; c = next) {
        next = c->next;
        if (is_finished(c)) {
            free_connection(c);
        }
    }
}

static void
disable_nagle(evutil_socket_t fd)
{
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/* Enables writing, and reading unless the flow from STREAM holds. */
static void
enable_stream(struct bufferevent *stream, FlowMode mode)
{
    bufferevent_enable(stream, EV_WRITE);
    if (mode == Flw_HOLD) {
        bufferevent_disable(stream, EV_READ);
    }
    else {
        bufferevent_enable(stream, EV_READ);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *context)
{
    Link *link = context;
    LinkConnection *connection = Mem_Alloc(1, sizeof *connection);
    struct sockaddr_in to = make_sockaddr(link->target);

    (void)listener;
    (void)from;
    (void)len;
    free_finished(link);
    disable_nagle(fd);
    connection->link = link;
    connection->next = link->first;
    if (link->first) {
        link->first->previous = connection;
    }
    link->first = connection;
    link->count++;
    connection->client =
        bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
    connection->target =
        bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
    Flw_Init(&connection->forward, link->base, connection->client,
             connection->target, link->forward, link->forward_mode);
    Flw_Init(&connection->back, link->base, connection->target,
             connection->client, link->back, link->back_mode);
    bufferevent_setcb(connection->client, on_client_input, on_client_drained,
                      on_client_event, connection);
    bufferevent_setcb(connection->target, on_target_input, on_target_drained,
                      on_target_event, connection);
    enable_stream(connection->client, link->forward_mode);
    enable_stream(connection->target, link->back_mode);
    if (bufferevent_socket_connect(connection->target, (struct sockaddr *)&to,
                                   sizeof to)) {
        free_connection(connection);
        return;
    }
    disable_nagle(bufferevent_getfd(connection->target));
}

bool
Prl_Init(Link *link, struct event_base *base, Str name, Addr listen,
         Addr target, Pipe *forward, Pipe *back, Err *err)
{
    struct sockaddr_in at = make_sockaddr(listen);

    *link = (Link){
        .base = base, .target = target, .forward = forward, .back = back};
    link->listener = evconnlistener_new_bind(
        base, on_accept, link, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&at, sizeof at);
    if (!link->listener) {
        return Err_SET(err, Err_IO, "cannot listen for %.*s", Str_ARG(name));
    }
    StrBuf_Set(&link->name, name);
    return true;
}

void
Prl_Finish(Link *link)
{
    Prl_Cut(link);
    evconnlistener_free(link->listener);
    StrBuf_Finish(&link->name);
}

void
Prl_Cut(Link *link)
{
    while (link->first) {
        free_connection(link->first);
    }
}

void
Prl_SetMode(Link *link, FlowMode forward, FlowMode back, Instant now)
{
    link->forward_mode = forward;
    link->back_mode = back;
    for (LinkConnection *c = link->first; c; c = c->next) {
        Flw_SetMode(&c->forward, forward, now);
        Flw_SetMode(&c->back, back, now);
    }
}

void
Prl_Freeze(Link *link, bool forward, bool back, Instant now)
{
    for (LinkConnection *c = link->first; c; c = c->next) {
        if (forward) {
            Flw_SetMode(&c->forward, Flw_DISCARD, now);
        }
        if (back) {
            Flw_SetMode(&c->back, Flw_DISCARD, now);
        }
    }
}
