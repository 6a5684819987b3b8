/* Onw: the call that a fake backend server makes through the node beside it
 * on behalf of a request, as a well-behaved service would: the depth goes on
 * as it came, the deadline less the time spent here.  It ends with the
 * request.
 */
#ifndef FAKE_ONWARD_H
#define FAKE_ONWARD_H

#include "fake_server.h"

typedef struct Onward Onward;

/* STATUS 0: no answer.  The call is gone afterwards. */
typedef void (*OnwDone)(void *context, int status, Str body);

/* Call on for FROM; its deadline is LEFT away. */
Onward *Onw_Start(Fake *fake, struct evhttp_request *from, Span left,
                  OnwDone done, void *context);

/* The caller hung up; DONE is not called. */
void Onw_Cancel(Onward *onward);

/* Levels below REQUEST that are still to be called; 0: none. */
uint64_t Onw_Levels(struct evhttp_request *request);

#endif
