/* Bkl: what the kernel does with callers that connect to a listening socket.
 */
#ifndef BACKLOG_H
#define BACKLOG_H

/* Makes the kernel ignore each attempt to connect to the listening socket FD
 * that begins from now on, without a reply.  Connections whose handshake is
 * under way or done can still be accepted. */
void Bkl_DropNew(int fd);

#endif
