#include "connection/backlog.h"

#include <linux/filter.h>
#include <sys/socket.h>

/* In the header of a TCP segment. */
enum { FLAGS_OFFSET = 13, FLAG_SYN = 0x02, FLAG_ACK = 0x10 };

#define DROP BPF_STMT(BPF_RET | BPF_K, 0)
#define KEEP BPF_STMT(BPF_RET | BPF_K, 0xffffffff)

/* To refuse attempts, the socket would have to be closed, which resets
 * connections that are established and not accepted yet.  Only the segment
 * that begins a connection is dropped: without the later ones of a handshake
 * the caller counts as connected, and is reset at the close. */
void
Bkl_DropNew(int fd)
{
    struct sock_filter steps[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, FLAG_SYN | FLAG_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, FLAG_SYN, 0, 1),
        DROP,
        KEEP,
    };
    struct sock_fprog program = {sizeof steps / sizeof steps[0], steps};

    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}
