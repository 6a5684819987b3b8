/* Agn: a faulty fake backend server that writes an earlier refusal once more,
 * on the same connection, when the next request has come.
 *
 * X-Fake-Again, of the request that is refused: "named", both refusals name
 * it; "unnamed", neither does; "plain", the first one names it.
 */
#ifndef FAKE_AGAIN_H
#define FAKE_AGAIN_H

#include "fake_server.h"

/* Refuse REQUEST as not run, and again after the next request there. */
void Agn_Refuse(Fake *fake, struct evhttp_request *request, Str how);

/* REQUEST has come. */
void Agn_OnRequest(Fake *fake, struct evhttp_request *request);

#endif
