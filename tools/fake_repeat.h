/* Rep: a faulty fake backend server that writes an earlier refusal once more,
 * on the same connection, when the next request has come.
 *
 * X-Fake-Again, of the request that is refused: "named", both refusals
 * name it; "unnamed", neither does; "plain", the first one names it.
 */
#ifndef FAKE_REPEAT_H
#define FAKE_REPEAT_H

#include "fake_server.h"

/* Refuse REQUEST as not run, and again after the next request there. */
void Rep_Refuse(FakeServer *fake, struct evhttp_request *request, Str mode);

/* REQUEST has come. */
void Rep_OnRequest(FakeServer *fake, struct evhttp_request *request);

#endif
