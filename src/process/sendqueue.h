/* Snq: how many bytes of messages wait in ZeroMQ to be sent to other nodes.
 *
 * A message of some size is copied into a block that ZeroMQ frees when it has
 * written it to a socket, or given it up; that may be on a thread of the
 * library, so the sum is atomic.  Shorter ones are not counted.
 */
#ifndef SENDQUEUE_H
#define SENDQUEUE_H

#include <stdatomic.h>
#include <stdbool.h>

#include "value/str.h"

typedef struct {
    atomic_size_t bytes;
} SendQueue;

/* QUEUE must stay at its address until the ZeroMQ context has ended. */
void Snq_Init(SendQueue *queue);

/* Queues MESSAGE, the last frame, at SOCKET without waiting.  Returns false
 * when it cannot be queued. */
bool Snq_Send(SendQueue *queue, void *socket, Str message);

/* Returns the bytes that wait. */
size_t Snq_GetBytes(const SendQueue *queue);

#endif
