#include "process/lifecycle/ownpause.h"

/* A tick that is late by less is no pause. */
#define PAUSE_MIN Span_MS(20)

/* After a pause, until all that came before its end has been read: from new
 * connections and from the library's threads it comes later than the tick. */
#define READ_TIME Span_MS(20)

void
Opa_Init(OwnPause *own, Span period)
{
    *own = (OwnPause){.period = period};
}

void
Opa_OnTick(OwnPause *own, Instant now)
{
    Span late = Opa_GetLateness(own, now);

    if (late >= PAUSE_MIN) {
        own->resumed_at = now;
        own->pause = late;
    }
    own->ticked_at = now;
}

Span
Opa_GetLateness(const OwnPause *own, Instant now)
{
    Span late = now - own->ticked_at - own->period;

    return own->ticked_at && late > 0 ? late : 0;
}

Span
Opa_GetUnreadTime(const OwnPause *own, Instant now)
{
    Span late = Opa_GetLateness(own, now);

    if (late >= PAUSE_MIN) {
        return late;
    }
    return own->resumed_at && now - own->resumed_at < READ_TIME ? own->pause
                                                                : 0;
}
