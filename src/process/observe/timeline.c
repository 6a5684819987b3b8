#include "process/observe/timeline.h"

#include <stdarg.h>
#include <stdio.h>

static const Str kind_names[] = {
#define X(id, name) Str_LIT(name),
    Tml_KIND_LIST(X)
#undef X
};

void
Tml_Init(Timeline *timeline, Logger *logger)
{
    *timeline = (Timeline){.logger = logger};
}

Str
Tml_KindName(TimelineKind kind)
{
    return kind_names[kind];
}

/* Limits the events of one kind per second, so that many events of one kind
 * do not push those of other kinds out of the ring. */
static bool
is_below_rate_limit(Timeline *timeline, TimelineKind kind, int64_t wall_us)
{
    int64_t second = wall_us / 1000000;

    if (timeline->last_second[kind] != second) {
        timeline->last_second[kind] = second;
        timeline->events_in_last_second[kind] = 0;
    }
    return timeline->events_in_last_second[kind]++ < Tml_MAX_PER_SECOND;
}

void
Tml_Record(Timeline *timeline, TimelineKind kind, const char *fmt, ...)
{
    int64_t wall_us = timeline->logger->clock();
    TimelineEvent *event;
    va_list args;
    int len;

    if (!is_below_rate_limit(timeline, kind, wall_us)) {
        return;
    }
    event = &timeline->ring[timeline->recorded_count++ % Tml_RING_EVENTS];
    event->stamp = Hlc_Next(&timeline->clock, wall_us);
    event->kind = kind;
    va_start(args, fmt);
    len = vsnprintf(event->detail, Tml_DETAIL_BYTES, fmt, args);
    va_end(args);
    event->detail_len = len < 0 ? 0 : (size_t)len;
    if (event->detail_len >= Tml_DETAIL_BYTES) {
        event->detail_len = Tml_DETAIL_BYTES - 1;
    }
    Lgr_Log(timeline->logger, Lgr_INFO, kind_names[kind], "%.*s",
            (int)event->detail_len, event->detail);
}
