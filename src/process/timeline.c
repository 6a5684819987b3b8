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

void
Tml_Record(Timeline *timeline, TmlKind kind, const char *fmt, ...)
{
    TmlEvent *event = &timeline->ring[timeline->count++ % Tml_RING];
    va_list args;
    int len;

    event->stamp = Hlc_Next(&timeline->clock, timeline->logger->clock());
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
