/* Bnq: the event queue of a simulation, a binary heap ordered by time.
 *
 * A BenchQueue of zeros is empty and ready for use.
 */
#ifndef BENCH_QUEUE_H
#define BENCH_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "value/instant.h"

typedef struct {
    Instant at;
    uint64_t sequence; /* order of addition, among events of one instant */
    int kind;          /* a BnwEventKind */
    uint32_t index;    /* of an attempt, call or server, or a step; see kind */
    uint32_t generation; /* of the attempt; outdated: the event is void */
} BnqEvent;

typedef struct {
    BnqEvent *events; /* a heap, owned by the queue */
    size_t count;
    size_t cap;
    uint64_t next_sequence;
} BenchQueue;

/* Frees the events; the queue is empty afterwards. */
void Bnq_Finish(BenchQueue *queue);

/* Adds an event that is due at AT. */
void Bnq_Add(BenchQueue *queue, Instant at, int kind, uint32_t index,
             uint32_t generation);

/* Removes the earliest event and copies it to EVENT; false when the queue is
 * empty. */
bool Bnq_Take(BenchQueue *queue, BnqEvent *event);

#endif
