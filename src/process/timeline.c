#include "process/timeline.h"

#include <stdarg.h>
#include <stdio.h>

static const Str names[] = {
#define X(id, name) Str_LIT(name),
    Tml_LIST(X)
#undef X
};

void
Tml_Init(Timeline *timeline, Logger *logger)
{
    *timeline = (Timeline){.logger = logger};
}

Str
Tml_Name(TmlKind kind)
{
    return names[kind];
}

/* A flood of one kind must not push the others out of the ring. */
static bool
has_room(Timeline *timeline, TmlKind kind, int64_t wall_us)
{
    int64_t second = wall_us / 1000000;

    if (timeline->second[kind] != second) {
        timeline->second[kind] = second;
        timeline->in_second[kind] = 0;
    }
    return timeline->in_second[kind]++ < Tml_PER_SECOND;
}

void
Tml_Record(Timeline *timeline, TmlKind kind, const char *fmt, ...)
{
    int64_t wall_us = timeline->logger->clock();
    TmlEvent *event;
    va_list args;
    int len;

    if (!has_room(timeline, kind, wall_us)) {
        return;
    }
    event = &timeline->ring[timeline->count++ % Tml_RING];
    event->stamp = Hlc_Next(&timeline->clock, wall_us);
    event->kind = kind;
    va_start(args, fmt);
    len = vsnprintf(event->detail, Tml_DETAIL_MAX, fmt, args);
    va_end(args);
    event->detail_len = len < 0 ? 0 : (size_t)len;
    if (event->detail_len >= Tml_DETAIL_MAX) {
        event->detail_len = Tml_DETAIL_MAX - 1;
    }
    Lgr_Log(timeline->logger, Lgr_INFO, names[kind], "%.*s",
            (int)event->detail_len, event->detail);
}
