/* Endwatch: tells that the TCP connection below a ZeroMQ socket has ended.
 *
 * ZeroMQ connects again by itself.  Pings are answered then, but what the
 * other node sent over the old connection, or still sends there, is lost.
 */
#ifndef ENDWATCH_H
#define ENDWATCH_H

#include <stdbool.h>

/* Watches SOCKET, of the ZeroMQ context ZMQ, which is not connected yet.
 * Returns the watch, which ends before SOCKET is closed. */
void *Edw_Start(void *zmq, void *socket);
void Edw_Stop(void *watch, void *socket);

/* Whether a connection has ended since the last such question, to be asked
 * when the ZMQ_FD of WATCH is readable.  All that came over it can be received
 * by then. */
bool Edw_HasEnded(void *watch);

#endif
