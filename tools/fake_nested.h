/* Ncl: the call that a fake backend server makes, through the node beside it,
 * on behalf of a request.
 *
 * It behaves as a well-behaved service would: the depth is passed on
 * unchanged, the deadline less the time spent here, and the nested call is
 * cancelled when its request ends.
 */
#ifndef FAKE_NESTED_H
#define FAKE_NESTED_H

#include "fake_server.h"

/* Freed after its NclDone has returned, or by Ncl_Cancel. */
typedef struct NestedCall NestedCall;

/* STATUS is the HTTP status, or 0 if no answer came.  BODY is valid during
 * the callback. */
typedef void (*NclDone)(void *context, int status, Str body);

/* Makes the nested call for FROM, whose deadline is LEFT away. */
NestedCall *Ncl_Start(FakeServer *fake, struct evhttp_request *from, Span left,
                      NclDone done, void *context);

/* Cancels the call, for instance because the caller hung up; its NclDone is
 * not called. */
void Ncl_Cancel(NestedCall *nested);

/* Returns how many levels below REQUEST are still to be called, from its
 * field X-Fake-Calls; 0 if none. */
uint64_t Ncl_GetLevels(struct evhttp_request *request);

#endif
