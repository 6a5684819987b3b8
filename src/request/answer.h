/* Ans: forwards the answer of one attempt from the backend server to the node
 * that waits for it, in pieces of at most Callmsg_PIECE_BYTES.  Uncredited
 * pieces are bounded by Callmsg_WINDOW_BYTES; beyond that, reading from the
 * backend server is paused until Wire_CREDIT messages arrive.  Used by run.c.
 */
#ifndef ANSWER_H
#define ANSWER_H

#include "request/runstate.h"

/* Callbacks for a BackendCallbacks; CONTEXT is the BackendAttempt.  Ans_OnHead
 * keeps status and fields for the first piece.  Ans_OnBytes sends or keeps
 * BYTES and pauses the exchange when the window is full. */
void Ans_OnHead(void *context, uint16_t status, const FieldList *fields);
void Ans_OnBytes(void *context, Str bytes);

/* Sends full pieces as long as the window allows, and keeps the rest; parts of
 * pieces too while attempts keep too much. */
void Ans_SendFullPieces(BackendAttempt *attempt, Instant now);

/* After credits, or when the window has grown: sends what it allows, and reads
 * on from the backend server when there is room. */
void Ans_SendMore(BackendAttempt *attempt, Instant now);

/* The answer is complete: sends what is left of it, the last piece marked
 * as such, whatever the window allows. */
void Ans_SendRest(BackendAttempt *attempt, Instant now);

/* Sends the pieces that were sent before and of which FENCE says that they
 * have not come, up to number END, which is not included, or to the last one,
 * to ORIGIN.  Returns the bytes of the answer in them. */
uint32_t Ans_SendAgain(AttemptRunner *runner, const NetOrigin *origin,
                       const FenceMessage *fence, uint32_t end, Instant now);

/* The answer is complete: records in the ledger that the attempt ran.  The
 * ledger keeps the answer for nodes that ask later when the attempt is not
 * idempotent and no piece was sent yet; that of an idempotent one is kept for
 * a moment (recent.h). */
void Ans_StoreInLedger(BackendAttempt *attempt, Instant now);

/* Answers wait at the backend server while too much waits to be sent to other
 * nodes: reads on once there is room.  Called regularly. */
void Ans_CheckQueue(AttemptRunner *runner, Instant now);

/* Called when no node waits for the answer any more: nothing more is sent, but
 * the exchange runs to its end.  An answer of Callmsg_PIECE_BYTES or more is
 * discarded; a shorter one can still be stored in the ledger. */
void Ans_Detach(BackendAttempt *attempt);

#endif
