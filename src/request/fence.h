/* Fnc: answers of the node beside a backend server to those who ask what
 * became of an attempt, out of its ledger.  An attempt that was never seen is
 * fenced by the question.
 */
#ifndef FENCE_H
#define FENCE_H

#include "request/run.h"

/* Serve Wire_FENCE, from the node that made the attempt, and Wire_FATE_ASK,
 * from one that settles another call with the same key. */
void Fnc_RegisterHandlers(AttemptRunner *hub);

#endif
