#include <arpa/inet.h>
#include <unistd.h>

#include "fleet.h"
#include "value/hash.h"

enum { NETS = 250, CLAIM_HOST = 253, CLAIM_PORT = 7390 };

/* Where a checkout looks first. */
static int
net_of_checkout(void)
{
    char folder[4096];

    if (!getcwd(folder, sizeof folder)) {
        return 1;
    }
    return 1 + (int)(Str_Hash(Str_FromC(folder)) % NETS);
}

/* A socket bound in 127.NET.SUBNET; -1 when another fleet has one there. */
static int
bind_claim(int net, int subnet)
{
    struct sockaddr_in addr = {
        .sin_family = AF_INET,
        .sin_port = htons(CLAIM_PORT),
        .sin_addr.s_addr = htonl(127U << 24 | (uint32_t)net << 16 |
                                 (uint32_t)subnet << 8 | CLAIM_HOST),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (bind(fd, (struct sockaddr *)&addr, sizeof addr) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
Fleet_ClaimNet(Fleet *fleet)
{
    int first = net_of_checkout();

    for (int i = 0; i < NETS; i++) {
        fleet->net = 1 + (first + i) % NETS;
        /* Every process of the fleet inherits it, so that one which outlives
         * its test keeps its address. */
        fleet->claim = bind_claim(fleet->net, fleet->subnet);
        if (fleet->claim >= 0) {
            return true;
        }
    }
    return false;
}
