#include "bench_queue.h"

#include "value/mem.h"

void
Bnq_Finish(BenchQueue *queue)
{
    Mem_Free(queue->events);
    *queue = (BenchQueue){0};
}

static bool
is_before(const BnqEvent *a, const BnqEvent *b)
{
    return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

void
Bnq_Add(BenchQueue *queue, Instant at, int kind, uint32_t index,
        uint32_t generation)
{
    BnqEvent event = {at, queue->next_sequence++, kind, index, generation};
    size_t i;

    if (queue->count == queue->cap) {
        queue->cap = queue->cap ? queue->cap * 2 : 1024;
        queue->events =
            Mem_Resize(queue->events, queue->cap, sizeof *queue->events);
    }
    i = queue->count++;
    while (i && is_before(&event, &queue->events[(i - 1) / 2])) {
        queue->events[i] = queue->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    queue->events[i] = event;
}

bool
Bnq_Take(BenchQueue *queue, BnqEvent *event)
{
    BnqEvent last;
    size_t i = 0;

    if (queue->count == 0) {
        return false;
    }
    *event = queue->events[0];
    last = queue->events[--queue->count];
    for (size_t child = 1; child < queue->count; child = 2 * i + 1) {
        if (child + 1 < queue->count &&
            is_before(&queue->events[child + 1], &queue->events[child])) {
            child++;
        }
        if (!is_before(&queue->events[child], &last)) {
            break;
        }
        queue->events[i] = queue->events[child];
        i = child;
    }
    queue->events[i] = last;
    return true;
}
