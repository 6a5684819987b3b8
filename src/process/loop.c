#include "process/loop.h"

#include <stdio.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

bool
Loop_Init(Loop *loop, Err *err)
{
    loop->base = event_base_new();
    return loop->base ||
           Err_SET(err, Err_INTERNAL, "cannot create the libevent event base");
}

void
Loop_Finish(Loop *loop)
{
    event_base_free(loop->base);
    loop->base = NULL;
}

void
Loop_Run(Loop *loop)
{
    event_base_dispatch(loop->base);
}

void
Loop_Stop(Loop *loop)
{
    event_base_loopbreak(loop->base);
}

static int64_t
read_clock(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

Instant
Loop_Now(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

int64_t
Loop_WallClock(void)
{
    return read_clock(CLOCK_REALTIME);
}

int64_t
Loop_CpuNs(void)
{
    struct timespec used;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return (int64_t)used.tv_sec * 1000000000 + used.tv_nsec;
}

static uint64_t
read_resident_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    unsigned long long size = 0;
    unsigned long long resident = 0;
    int fields = 0;

    if (file) {
        fields = fscanf(file, "%llu %llu", &size, &resident);
        fclose(file);
    }
    return fields == 2 ? resident * (uint64_t)sysconf(_SC_PAGESIZE) : 0;
}

LoopUsage
Loop_Usage(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (LoopUsage){
        .cpu_us = (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000LL +
                  usage.ru_utime.tv_usec + usage.ru_stime.tv_usec,
        .resident_bytes = read_resident_bytes(),
    };
}

uint64_t
Loop_Entropy(void)
{
    uint64_t number = 0;

    if (getrandom(&number, sizeof number, 0) != sizeof number) {
        number = (uint64_t)Loop_WallClock();
    }
    return number;
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    LoopTimer *timer = context;

    (void)fd;
    (void)what;
    timer->callback(timer->context, Loop_Now());
}

void
LoopTimer_Init(LoopTimer *timer, Loop *loop, Span period,
               LoopTimerCallback callback, void *context)
{
    struct timeval every = {
        .tv_sec = period / 1000000,
        .tv_usec = period % 1000000,
    };

    timer->callback = callback;
    timer->context = context;
    timer->event = event_new(loop->base, -1, EV_PERSIST, on_timer, timer);
    event_add(timer->event, &every);
}

void
LoopTimer_Finish(LoopTimer *timer)
{
    if (timer->event) {
        event_free(timer->event);
        timer->event = NULL;
    }
}
