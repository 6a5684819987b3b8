/* Ncl: the call that a fake backend server makes through the node beside it
 * on behalf of a request, as a well-behaved service would: the depth goes on
 * as it came, the deadline less the time spent here.  It ends with the
 * request.
 */
#ifndef FAKE_NESTED_H
#define FAKE_NESTED_H

#include "fake_server.h"

typedef struct NestedCall NestedCall;

/* STATUS 0: no answer.  The call is gone afterwards. */
typedef void (*NclDone)(void *context, int status, Str body);

/* Call on for FROM; its deadline is LEFT away. */
NestedCall *Ncl_Start(FakeServer *fake, struct evhttp_request *from, Span left,
                      NclDone done, void *context);

/* The caller hung up; DONE is not called. */
void Ncl_Cancel(NestedCall *nested);

/* Levels below REQUEST that are still to be called; 0: none. */
uint64_t Ncl_GetLevels(struct evhttp_request *request);

#endif
