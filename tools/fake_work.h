/* Wrk: one request at a fake backend server, from arrival to answer. */
#ifndef FAKE_WORK_H
#define FAKE_WORK_H

#include "fake_server.h"

/* Take REQUEST on: it runs, waits, or is refused. */
void Wrk_OnRequest(FakeServer *fake, struct evhttp_request *request,
                   Instant now);

/* Start what waits while slots are free. */
void Wrk_StartWaiting(FakeServer *fake, Instant now);

#endif
