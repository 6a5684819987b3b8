/* Opa: how long this process did not run lately.
 *
 * Times that other processes state as "so much is left" go on running while
 * what they sent lies unread here.  The loop ticks; what is read long after
 * the last tick, or right after a late one, may have come before the pause
 * began.
 */
#ifndef OWNPAUSE_H
#define OWNPAUSE_H

#include "value/instant.h"

typedef struct {
    Span period;        /* of the ticks */
    Instant ticked_at;  /* 0: not yet */
    Instant resumed_at; /* the last tick that was late; 0: none */
    Span pause;         /* how late it was */
} OwnPause;

void Opa_Init(OwnPause *own, Span period);
void Opa_OnTick(OwnPause *own, Instant now);

/* Returns how much later than due a tick at NOW is; 0 before the first. */
Span Opa_GetLateness(const OwnPause *own, Instant now);

/* Returns how long at most what is read at NOW has lain unread because the
 * process did not run; 0 when that is too short to matter. */
Span Opa_GetUnreadTime(const OwnPause *own, Instant now);

#endif
