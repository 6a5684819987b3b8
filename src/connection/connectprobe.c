#include "connection/connectprobe.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

enum { CONNECT_TIMEOUT_US = 200000, CLOSE_WAIT_US = 20000, TRIES_MAX = 3 };

void
Cpr_Cancel(ConnectProbe *probe)
{
    if (probe->event) {
        event_free(probe->event);
        probe->event = NULL;
        close(probe->fd);
    }
}

static void
finish(ConnectProbe *probe, ConnectResult result)
{
    ConnectProbeCallback callback = probe->callback;

    Cpr_Cancel(probe);
    callback.on_result(callback.context, result);
}

static void start_connect(ConnectProbe *probe);

/* A process that exits may close its connections before its listening
 * socket, so a connection that was just accepted can be closed at once.  The
 * probe then connects again. */
static void
on_closed(evutil_socket_t fd, short what, void *context)
{
    ConnectProbe *probe = context;

    (void)fd;
    if (what & EV_TIMEOUT || probe->tries_made == TRIES_MAX) {
        finish(probe, Cpr_CONNECTED);
        return;
    }
    Cpr_Cancel(probe);
    start_connect(probe);
}

static void
await_close(ConnectProbe *probe)
{
    struct timeval wait = {.tv_usec = CLOSE_WAIT_US};
    struct event_base *base = event_get_base(probe->event);

    event_free(probe->event);
    probe->event = event_new(base, probe->fd, EV_READ, on_closed, probe);
    event_add(probe->event, &wait);
}

static void
on_connected(evutil_socket_t fd, short what, void *context)
{
    ConnectProbe *probe = context;
    int error = 0;
    socklen_t size = sizeof error;

    if (what & EV_TIMEOUT) {
        finish(probe, Cpr_TIMED_OUT);
        return;
    }
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error || probe->connect_error) {
        finish(probe, Cpr_REFUSED);
        return;
    }
    await_close(probe);
}

static void
start_connect(ConnectProbe *probe)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    struct timeval wait = {.tv_usec = CONNECT_TIMEOUT_US};
    StrBuf ip = {0};

    Addr_PrintIp(probe->addr, &ip);
    inet_pton(AF_INET, StrBuf_CStr(&ip), &to.sin_addr);
    StrBuf_Finish(&ip);
    to.sin_port = htons(Addr_Port(probe->addr));
    probe->tries_made++;
    probe->connect_error = 0;
    probe->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    probe->event =
        event_new(probe->base, probe->fd, EV_WRITE, on_connected, probe);
    event_add(probe->event, &wait);
    if (connect(probe->fd, (struct sockaddr *)&to, sizeof to) &&
        errno != EINPROGRESS) {
        /* Reported from the event loop like any other result. */
        probe->connect_error = errno;
        event_active(probe->event, EV_WRITE, 0);
    }
}

bool
Cpr_Start(ConnectProbe *probe, struct event_base *base, Addr addr,
          const ConnectProbeCallback *callback)
{
    if (probe->event) {
        return false;
    }
    probe->base = base;
    probe->addr = addr;
    probe->callback = *callback;
    probe->tries_made = 0;
    start_connect(probe);
    return true;
}
