/* Rep: a fault of the fake backend server: it writes an earlier refusal a
 * second time, on the same connection, when the next request arrives there.
 *
 * The field X-Fake-Again of the refused request selects which of the two
 * refusals carry its X-Request-Id: "named", both; "unnamed", neither; "plain",
 * the first one only.
 */
#ifndef FAKE_REPEAT_H
#define FAKE_REPEAT_H

#include "fake_server.h"

/* Answers REQUEST with 503, stating that it was not run, and keeps the second
 * refusal for Rep_OnRequest.  MODE is the value of X-Fake-Again.  While
 * Fak_REFUSALS_MAX refusals are kept already, this one is not repeated. */
void Rep_Refuse(FakeServer *fake, struct evhttp_request *request, Str mode);

/* Writes the refusal kept for the connection of REQUEST, if any, ahead of the
 * answer to REQUEST. */
void Rep_OnRequest(FakeServer *fake, struct evhttp_request *request);

#endif
