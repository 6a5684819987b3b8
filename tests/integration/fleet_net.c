#include <arpa/inet.h>
#include <unistd.h>

#include "fleet.h"
#include "value/hash.h"

enum { NET_COUNT = 250, LOCK_HOST = 253, LOCK_PORT = 7390 };

/* Returns the number of the network to try first.  It depends on the working
 * folder, so that checkouts on one machine start with different networks. */
static int
choose_first_net(void)
{
    char folder[4096];

    if (!getcwd(folder, sizeof folder)) {
        return 1;
    }
    return 1 + (int)(Str_Hash(Str_FromC(folder)) % NET_COUNT);
}

/* Reserves 127.NET.SUBNET by a socket that is bound to a fixed address and
 * port in it.  Returns the socket; -1 when another fleet holds it. */
static int
bind_net_socket(int net, int subnet)
{
    struct sockaddr_in addr = {
        .sin_family = AF_INET,
        .sin_port = htons(LOCK_PORT),
        .sin_addr.s_addr = htonl(127U << 24 | (uint32_t)net << 16 |
                                 (uint32_t)subnet << 8 | LOCK_HOST),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (bind(fd, (struct sockaddr *)&addr, sizeof addr) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
Fleet_ReserveNet(Fleet *fleet)
{
    int first = choose_first_net();

    for (int i = 0; i < NET_COUNT; i++) {
        fleet->net = 1 + (first + i) % NET_COUNT;
        /* The processes of the fleet inherit the socket, so that a process
         * which outlives its test keeps the network reserved. */
        fleet->net_socket = bind_net_socket(fleet->net, fleet->subnet);
        if (fleet->net_socket >= 0) {
            return true;
        }
    }
    return false;
}
