/* Fnc: answers nodes that ask this node, beside a backend server, what became
 * of an attempt.  The answer comes from the attempt ledger.  An attempt that
 * was never seen is fenced by the question: it will never run here.
 */
#ifndef FENCE_H
#define FENCE_H

#include "request/run.h"

/* Registers the handlers of Wire_FENCE, sent by the ingress node of the
 * attempt, and of Wire_FATE_REQUEST, sent by a node that claims the same
 * idempotency key for another call.  RUNNER is borrowed. */
void Fnc_RegisterHandlers(AttemptRunner *runner);

#endif
