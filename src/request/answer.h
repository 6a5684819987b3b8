/* Ans: the answer of one attempt, from its backend server in bounded pieces
 * to the node that waits for it.
 */
#ifndef ANSWER_H
#define ANSWER_H

#include "request/runstate.h"

/* For a BckSink; CONTEXT is the Run. */
void Ans_OnHead(void *context, uint16_t status, const FieldList *fields);
void Ans_OnBytes(void *context, Str bytes);

/* Send whole pieces while the window allows, and keep the rest. */
void Ans_SendFullPieces(BackendAttempt *run, Instant now);

/* The answer is whole: send what is left of it. */
void Ans_SendRest(BackendAttempt *run, Instant now);

/* The answer is whole: leave it to the ledger, if nothing was sent yet. */
void Ans_StoreInLedger(BackendAttempt *run, Instant now);

/* Nobody waits any more: let it end, keep what is small enough. */
void Ans_Detach(BackendAttempt *run);

#endif
