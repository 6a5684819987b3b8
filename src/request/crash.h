/* Crs: protects the backend server from requests that crash it.
 *
 * After an interrupted exchange the node tries a TCP connection to the backend
 * server.  If the connection is refused, the backend server crashed, and every
 * request that was interrupted is blamed for it.  If it is accepted, the
 * node tries again for a while, since a process that crashes may close its
 * listening socket later than its connections.  A
 * blamed request is a suspect: it runs exclusively, at one node of its
 * service, or is refused. The same applies to requests that are already queued
 * when the blame becomes known.  run.c calls these functions; the verdicts
 * come from Suspects.
 */
#ifndef CRASH_H
#define CRASH_H

#include "request/runstate.h"

/* Returns true when the attempt of MSG must not be admitted as usual: it was
 * refused, or queued to run exclusively.  Returns false when its request is no
 * suspect.  Until this node knows the suspects, every attempt is refused. */
bool Crs_FilterCall(AttemptRunner *runner, const NetOrigin *origin,
                    const CallMessage *msg, Instant now);

/* Callback for Sps_SetUpdateCallback; CONTEXT is the AttemptRunner.  Checks
 * all attempts that have not started against the suspects known now. */
void Crs_ReviewQueued(void *context, Instant now);

/* The exchange of ATTEMPT ended with RESULT.  Clears a suspect whose answer
 * was complete and no server error, and sets when the next suspect may start.
 * Call it before freeing ATTEMPT. */
void Crs_OnExchangeEnd(BackendAttempt *attempt, BackendResult result,
                       Instant now);

/* The exchange of ATTEMPT was interrupted.  Starts the connect probe; the
 * attempt is reported as lost once the probe's result is known and, after a
 * crash, the other nodes have confirmed the crash report. */
void Crs_OnInterrupted(BackendAttempt *attempt, Instant now);

/* Reports interrupted attempts whose crash report is confirmed, and starts
 * a suspect that may run now. */
void Crs_Tick(AttemptRunner *runner, Instant now);

#endif
