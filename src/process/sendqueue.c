#include "process/sendqueue.h"

#include <string.h>
#include <zmq.h>

#include "value/mem.h"

/* Shorter messages are not counted. */
enum { COUNTED_BYTES_MIN = 1024 };

/* What precedes a message in its block. */
typedef struct {
    SendQueue *queue;
    size_t len;
} BlockHead;

void
Snq_Init(SendQueue *queue)
{
    atomic_init(&queue->bytes, 0);
}

static void
free_block(void *data, void *context)
{
    BlockHead *head = context;

    (void)data;
    atomic_fetch_sub(&head->queue->bytes, head->len);
    Mem_Free(head);
}

bool
Snq_Send(SendQueue *queue, void *socket, Str message)
{
    BlockHead *head;
    zmq_msg_t msg;

    if (message.len < COUNTED_BYTES_MIN) {
        return zmq_send(socket, message.ptr, message.len, ZMQ_DONTWAIT) >= 0;
    }
    head = Mem_Resize(NULL, sizeof *head + message.len, 1);
    *head = (BlockHead){queue, message.len};
    memcpy(head + 1, message.ptr, message.len);
    atomic_fetch_add(&queue->bytes, message.len);
    zmq_msg_init_data(&msg, head + 1, message.len, free_block, head);
    if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) >= 0) {
        return true;
    }
    zmq_msg_close(&msg);
    return false;
}

size_t
Snq_GetBytes(const SendQueue *queue)
{
    return atomic_load(&queue->bytes);
}
