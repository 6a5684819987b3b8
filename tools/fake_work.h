/* Wrk: one request at a fake backend server, from its arrival to the answer.
 */
#ifndef FAKE_WORK_H
#define FAKE_WORK_H

#include "fake_server.h"

/* Handles a request that has just arrived: starts it, queues it until a slot
 * is free, or refuses it. */
void Wrk_OnRequest(FakeServer *fake, struct evhttp_request *request,
                   Instant now);

/* Starts waiting requests, oldest first, while slots are free.  Those past
 * their deadline are refused with 503, stated as not run. */
void Wrk_StartWaiting(FakeServer *fake, Instant now);

#endif
