/* Dlv: what the system knows about the bytes sent over a TCP connection.
 */
#ifndef DELIVERY_H
#define DELIVERY_H

#include <stdbool.h>

/* True when bytes sent over socket FD were sent again and the other host still
 * hasn't acknowledged them.  False when it has, and where the system can't
 * tell. */
bool Dlv_IsUnacknowledged(int fd);

#endif
