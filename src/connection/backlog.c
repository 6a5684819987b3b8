#include "connection/backlog.h"

#include <linux/filter.h>
#include <sys/socket.h>

/* To refuse attempts, the socket would have to be closed, which resets
 * connections that are established and not accepted yet; with this filter they
 * can still be accepted. */
void
Bkl_DropNew(int fd)
{
    struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &drop};

    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}
