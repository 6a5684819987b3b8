/* Bnq: the events of a run in the order of their time. */
#ifndef BENCH_QUEUE_H
#define BENCH_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "value/instant.h"

typedef struct {
    Instant at;
    uint64_t sequence; /* events of one instant keep the order they came in */
    int kind;
    uint32_t index;      /* number of an attempt, call, node or server */
    uint32_t generation; /* an event of an older stamp is void */
} BnqEvent;

typedef struct {
    BnqEvent *events;
    size_t count;
    size_t cap;
    uint64_t next_sequence;
} BenchQueue;

void Bnq_Finish(BenchQueue *queue);
void Bnq_Add(BenchQueue *queue, Instant at, int kind, uint32_t index,
             uint32_t generation);

/* Take the earliest; false when there is none. */
bool Bnq_Take(BenchQueue *queue, BnqEvent *event);

#endif
