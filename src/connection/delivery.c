#include "connection/delivery.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

bool
Dlv_IsUnacknowledged(int fd)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof info;

    /* A host that takes no more bytes, because its process is slow to read,
     * still acknowledges what it is sent: nothing is sent again to it. */
    return !getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) &&
           size >= sizeof info && info.tcpi_unacked > 0 &&
           info.tcpi_retransmits > 0;
}
