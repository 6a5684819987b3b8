/* Crs: what the node beside a backend server does about requests that crash
 * it.  A cut exchange is followed by a knock at the backend server; when
 * nobody listens there, everything that ran is blamed.  A blamed request
 * runs alone, at one node of its service, or not at all; that holds also for
 * those that wait when the blame comes.
 */
#ifndef CRASH_H
#define CRASH_H

#include "request/runstate.h"

/* True when the attempt is suspect, and was refused or put aside here. */
bool Crs_FilterCall(AttemptRunner *hub, const NetOrigin *origin,
                    const CallMsg *msg, Instant now);

/* More is known of suspects than when those that wait were let in. */
void Crs_ReviewQueued(void *hub, Instant now);

/* RUN's exchange ended, before it is forgotten. */
void Crs_OnExchangeEnd(BackendAttempt *run, BckEnd end, Instant now);

/* RUN's exchange was cut: it is settled after the knock. */
void Crs_OnInterrupted(BackendAttempt *run);

/* Start a suspect that may run now. */
void Crs_Tick(AttemptRunner *hub, Instant now);

#endif
