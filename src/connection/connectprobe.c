#include "connection/connectprobe.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

enum { WAIT_US = 200000, LINGER_US = 20000, TRIES_MAX = 3 };

void
Cpr_Cancel(ConnectProbe *knock)
{
    if (knock->event) {
        event_free(knock->event);
        knock->event = NULL;
        close(knock->fd);
    }
}

static void
finish(ConnectProbe *knock, ConnectResult result)
{
    ConnectProbeCallback sink = knock->callback;

    Cpr_Cancel(knock);
    sink.on_result(sink.context, result);
}

static void try_once(ConnectProbe *knock);

/* A process that ends closes its connections before it stops listening: what
 * was just opened is then closed again. */
static void
on_closed(evutil_socket_t fd, short what, void *context)
{
    ConnectProbe *knock = context;

    (void)fd;
    if (what & EV_TIMEOUT || knock->tries_made == TRIES_MAX) {
        finish(knock, Cpr_CONNECTED);
        return;
    }
    Cpr_Cancel(knock);
    try_once(knock);
}

static void
linger(ConnectProbe *knock)
{
    struct timeval wait = {.tv_usec = LINGER_US};
    struct event_base *base = event_get_base(knock->event);

    event_free(knock->event);
    knock->event = event_new(base, knock->fd, EV_READ, on_closed, knock);
    event_add(knock->event, &wait);
}

static void
on_connected(evutil_socket_t fd, short what, void *context)
{
    ConnectProbe *knock = context;
    int error = 0;
    socklen_t size = sizeof error;

    if (what & EV_TIMEOUT) {
        finish(knock, Cpr_TIMED_OUT);
        return;
    }
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error || knock->connect_error) {
        finish(knock, Cpr_REFUSED);
        return;
    }
    linger(knock);
}

static void
try_once(ConnectProbe *knock)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    struct timeval wait = {.tv_usec = WAIT_US};
    StrBuf ip = {0};

    Addr_PrintIp(knock->addr, &ip);
    inet_pton(AF_INET, StrBuf_CStr(&ip), &to.sin_addr);
    StrBuf_Finish(&ip);
    to.sin_port = htons(Addr_Port(knock->addr));
    knock->tries_made++;
    knock->connect_error = 0;
    knock->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    knock->event =
        event_new(knock->base, knock->fd, EV_WRITE, on_connected, knock);
    event_add(knock->event, &wait);
    if (connect(knock->fd, (struct sockaddr *)&to, sizeof to) &&
        errno != EINPROGRESS) {
        /* Told through the loop like any other result. */
        knock->connect_error = errno;
        event_active(knock->event, EV_WRITE, 0);
    }
}

bool
Cpr_Start(ConnectProbe *knock, struct event_base *base, Addr addr,
          const ConnectProbeCallback *sink)
{
    if (knock->event) {
        return false;
    }
    knock->base = base;
    knock->addr = addr;
    knock->callback = *sink;
    knock->tries_made = 0;
    try_once(knock);
    return true;
}
