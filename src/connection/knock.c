#include "connection/knock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

enum { WAIT_US = 200000 };

void
Knk_Cancel(Knock *knock)
{
    if (knock->event) {
        event_free(knock->event);
        knock->event = NULL;
        close(knock->fd);
    }
}

static KnkResult
result_of(const Knock *knock, short what)
{
    int error = 0;
    socklen_t size = sizeof error;

    if (what & EV_TIMEOUT) {
        return Knk_SILENT;
    }
    getsockopt(knock->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error || knock->error ? Knk_REFUSED : Knk_OPENED;
}

static void
on_event(evutil_socket_t fd, short what, void *context)
{
    Knock *knock = context;
    KnkSink sink = knock->sink;
    KnkResult result = result_of(knock, what);

    (void)fd;
    Knk_Cancel(knock);
    sink.call(sink.context, result);
}

bool
Knk_Start(Knock *knock, struct event_base *base, Addr addr,
          const KnkSink *sink)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    struct timeval wait = {.tv_usec = WAIT_US};
    StrBuf ip = {0};

    if (knock->event) {
        return false;
    }
    Addr_PrintIp(addr, &ip);
    inet_pton(AF_INET, StrBuf_CStr(&ip), &to.sin_addr);
    StrBuf_Finish(&ip);
    to.sin_port = htons(Addr_Port(addr));
    knock->sink = *sink;
    knock->error = 0;
    knock->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    knock->event = event_new(base, knock->fd, EV_WRITE, on_event, knock);
    event_add(knock->event, &wait);
    if (connect(knock->fd, (struct sockaddr *)&to, sizeof to) &&
        errno != EINPROGRESS) {
        knock->error = errno;
        /* Told through the loop like any other result. */
        event_active(knock->event, EV_WRITE, 0);
    }
    return true;
}
