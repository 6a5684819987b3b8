/* Loop: the process's one event loop, and the only place where it reads a
 * clock or asks the system for chance.
 */
#ifndef LOOP_H
#define LOOP_H

#include <event2/event.h>

#include "value/err.h"
#include "value/instant.h"

typedef struct {
    struct event_base *base;
} Loop;

typedef void (*LoopTimerCallback)(void *context, Instant now);

/* A callback every so often. */
typedef struct {
    struct event *event;
    LoopTimerCallback callback;
    void *context;
} LoopTimer;

bool Loop_Init(Loop *loop, Err *err);
void Loop_Finish(Loop *loop);
void Loop_Run(Loop *loop);
void Loop_Stop(Loop *loop);

/* Microseconds of the monotonic clock. */
Instant Loop_Now(void);

/* Microseconds since 1970, UTC. */
int64_t Loop_WallClock(void);

/* Nanoseconds of processor time that this thread used. */
int64_t Loop_CpuNs(void);

/* What the whole process used so far, the library's threads too. */
typedef struct {
    int64_t cpu_us;
    uint64_t resident_bytes;
} LoopUsage;

LoopUsage Loop_Usage(void);

/* A number from the system's generator, for seeds and incarnations. */
uint64_t Loop_Entropy(void);

/* Call TICK every PERIOD until LoopTimer_Finish. */
void LoopTimer_Init(LoopTimer *timer, Loop *loop, Span period,
                    LoopTimerCallback callback, void *context);
void LoopTimer_Finish(LoopTimer *timer);

#endif
