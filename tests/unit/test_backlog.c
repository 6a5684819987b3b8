/* Which segments still reach a listening socket that takes no new connection.
 * The filter is asked on a datagram socket, where a caller can choose each
 * bit: it is given what begins with the header of the transport. */
#include <netinet/in.h>
#include <netinet/udp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/backlog.h"
#include "support/suite.h"

/* What arrives does so at once, unless the machine is busy. */
enum { ARRIVAL_MS = 5000, LOSS_MS = 100 };

/* Of a TCP header, and bits in its byte of flags. */
enum { HEADER_BYTES = 20, FLAGS_AT = 13 };

/* The filter is given the header of the datagram in place of the first bytes.
 */
enum { REPLACED_BYTES = sizeof(struct udphdr) };

enum {
    FIN = 0x01,
    SYN = 0x02,
    RST = 0x04,
    PSH = 0x08,
    ACK = 0x10,
    ECE = 0x40,
    CWR = 0x80
};

/* Guards against the failures that the rest of a handshake was dropped, which
 * makes the close reset a caller that has connected, and that the first
 * segment of one that offers congestion notification was not. */
typedef struct {
    const char *name;
    unsigned char flags;
    unsigned char others; /* all other bytes */
    bool arrives;
} SegmentCase;

static const SegmentCase cases[] = {
    {"begins a connection", SYN, 0, false},
    {"begins one, other bytes set", SYN, 0xff, false},
    {"begins one, offers congestion notification", SYN | ECE | CWR, 0, false},
    {"ends a handshake", ACK, 0, true},
    {"ends a handshake, other bytes set", ACK, 0xff, true},
    {"a request", ACK | PSH, 0, true},
    {"a request, congestion seen", ACK | PSH | ECE, 0, true},
    {"a reply to the first segment", SYN | ACK, 0, true},
    {"the end of a side", FIN | ACK, 0, true},
    {"a reset", RST, 0, true},
    {"no flag", 0, SYN, true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(drops_only_what_begins_a_connection)
{
    const SegmentCase *c = &cases[_i];
    struct sockaddr_in name = {.sin_family = AF_INET};
    socklen_t size = sizeof name;
    unsigned char segment[HEADER_BYTES];
    struct pollfd wait;
    size_t len = sizeof segment - REPLACED_BYTES;
    int to = socket(AF_INET, SOCK_DGRAM, 0);
    int from = socket(AF_INET, SOCK_DGRAM, 0);

    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(to, (struct sockaddr *)&name, size), 0);
    getsockname(to, (struct sockaddr *)&name, &size);
    Bkl_DropNew(to);
    for (size_t i = 0; i < sizeof segment; i++) {
        segment[i] = i == FLAGS_AT ? c->flags : c->others;
    }
    ck_assert_int_eq(sendto(from, segment + REPLACED_BYTES, len, 0,
                            (struct sockaddr *)&name, size),
                     (ssize_t)len);
    wait = (struct pollfd){to, POLLIN, 0};
    ck_assert_msg(poll(&wait, 1, c->arrives ? ARRIVAL_MS : LOSS_MS) ==
                      c->arrives,
                  "%s", c->name);
    close(from);
    close(to);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {drops_only_what_begins_a_connection, CASE_COUNT}};

    return Suite_Run("backlog", tests, 1, 10);
}
