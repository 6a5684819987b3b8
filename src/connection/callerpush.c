#include <sys/socket.h>
#include <unistd.h>

#include "connection/callerstate.h"

enum {
    SEND_BUFFER_STEP = 512 * 1024, /* by which one grows at a time */
    /* What the send buffers of one listener grow by, all together. */
    GROWTH_BYTES_MAX = 32 * 1024 * 1024,
    BUFFER_ASKED = 1 << 30 /* more than any system grants */
};

/* Returns 0 if it can't be read. */
static int
get_send_buffer(int fd)
{
    int bytes = 0;
    socklen_t size = sizeof bytes;

    return getsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, &size) ? 0 : bytes;
}

/* Sets it to BYTES, half of which the system takes for its own needs, or to
 * the largest that it grants. */
static void
set_send_buffer(int fd, int bytes)
{
    int half = bytes / 2;

    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &half, sizeof half);
}

/* Returns the largest send buffer that the system grants on request.  It may
 * be smaller than one that the system has chosen itself. */
static int
find_largest_buffer(void)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int bytes = 0;

    if (fd >= 0) {
        set_send_buffer(fd, BUFFER_ASKED);
        bytes = get_send_buffer(fd);
        close(fd);
    }
    return bytes;
}

/* Makes room in the kernel for more output of CONNECTION, where the system and
 * what the others have taken allow it. */
static void
grow_send_buffer(const CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    int fd = bufferevent_getfd(connection->bev);
    int bytes = get_send_buffer(fd);
    int growth = SEND_BUFFER_STEP;

    if (!listener->send_buffer_max) {
        listener->send_buffer_max = find_largest_buffer();
    }
    if (growth > listener->send_buffer_max - bytes) {
        growth = listener->send_buffer_max - bytes;
    }
    if (bytes > 0 && growth > 0 &&
        listener->send_buffer_growth + growth <= GROWTH_BYTES_MAX) {
        set_send_buffer(fd, bytes + growth);
        listener->send_buffer_growth += growth;
    }
}

/* Writes what the kernel takes.  The event that tells of room in its buffer
 * comes only when a third of that is free. */
static void
write_output(CallerConnection *connection)
{
    struct evbuffer *out = bufferevent_get_output(connection->bev);
    int written;

    do {
        evbuffer_unfreeze(out, 1);
        written = evbuffer_write(out, bufferevent_getfd(connection->bev));
        evbuffer_freeze(out, 1);
    } while (written > 0 && evbuffer_get_length(out) > 0);
}

static void
push_output(CallerConnection *connection)
{
    struct evbuffer *out = bufferevent_get_output(connection->bev);

    if (evbuffer_get_length(out) == 0 || connection->is_given_up) {
        return;
    }
    write_output(connection);
    if (evbuffer_get_length(out) == 0) {
        /* As if its event had written it. */
        bufferevent_trigger(connection->bev, EV_WRITE, 0);
        return;
    }
    grow_send_buffer(connection);
}

void
Ccn_PushOutput(CallerListener *listener)
{
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        push_output(connection);
    }
}
