/* Loop: the process's event loop, a thin layer over libevent.
 *
 * A process has one Loop, which runs on its only thread.  This module is also
 * the only place that reads clocks, resource usage and the system's random
 * number generator; other modules get the time as an argument.
 */
#ifndef LOOP_H
#define LOOP_H

#include <event2/event.h>

#include "value/err.h"
#include "value/instant.h"

typedef struct {
    struct event_base *base; /* owned; other modules add their events to it */
} Loop;

typedef void (*LoopTimerCallback)(void *context, Instant now);

/* Calls a function periodically. */
typedef struct {
    struct event *event; /* owned; NULL: not started */
    LoopTimerCallback callback;
    void *context;
} LoopTimer;

/* Returns false and sets ERR when libevent cannot create an event base. */
bool Loop_Init(Loop *loop, Err *err);

/* All events and timers of the loop must be freed before. */
void Loop_Finish(Loop *loop);

/* Handles events until Loop_Stop, or until no event is left. */
void Loop_Run(Loop *loop);

/* Makes Loop_Run return after the callback that is running now. */
void Loop_Stop(Loop *loop);

/* Microseconds of the monotonic clock that also runs while the machine is
 * suspended: what was heard before that is old afterwards. */
Instant Loop_Now(void);

/* Microseconds since 1970, UTC. */
int64_t Loop_WallClock(void);

/* Nanoseconds of processor time used by the calling thread. */
int64_t Loop_CpuNs(void);

/* Resources used by the whole process, including the threads of libraries. */
typedef struct {
    int64_t cpu_us;          /* processor time since the start */
    uint64_t resident_bytes; /* memory in use now; 0: not known */
} LoopUsage;

LoopUsage Loop_Usage(void);

/* Returns a number from the system's random number generator, for seeds and
 * incarnations; the wall clock's microseconds if the generator fails. */
uint64_t Loop_Entropy(void);

/* Calls CALLBACK with CONTEXT every PERIOD until LoopTimer_Finish.  TIMER must
 * stay at its address until then. */
void LoopTimer_Init(LoopTimer *timer, Loop *loop, Span period,
                    LoopTimerCallback callback, void *context);

/* Does nothing on a timer that is zeroed or finished. */
void LoopTimer_Finish(LoopTimer *timer);

#endif
