/* Fleet, calls with an idempotency key: POST requests that stay open while the
 * test does something else, and the outcomes that are reported to the caller.
 */
#ifndef FLEET_KEYED_H
#define FLEET_KEYED_H

#include "fleet.h"

/* The outcome of a POST.  The values are bits, so that a test can list the
 * outcomes that it allows. */
typedef enum {
    Post_NO_ANSWER = 1, /* no complete answer with a known outcome */
    Post_ANSWERED = 2,  /* ran; status 200 */
    Post_NOT_RUN = 4,
    Post_UNKNOWN = 8,
    Post_ANSWER_DROPPED = 16, /* ran; status 409, as the answer is not kept */
    Post_BACKEND_ERROR = 64,  /* ran; another status, of the backend server */
    Post_KEY_MISMATCH = 32,   /* not run; status 422, as the key was used for
                               * another request */
    Post_CONTRADICTORY = 128  /* not run, but the status is one of those that
                               * leave open whether it ran */
} PostOutcome;

/* Sends a POST through VM.  HEADERS are further header lines, each ended by
 * "\r\n"; an empty KEY sends no Idempotency-Key.  Returns a descriptor for
 * Fleet_FinishPost; -1 when there is no connection. */
int Fleet_StartPost(Fleet *fleet, int vm, Str path, Str key, Str headers,
                    Str body);

/* Reads the answer until the node closes the connection or no byte arrives for
 * WAIT, and closes FD; -1 gives Post_NO_ANSWER.  Appends the text from
 * "answer to " to the end of its line to BODY. */
PostOutcome Fleet_FinishPost(int fd, Span wait, StrBuf *body);

/* Fleet_StartPost and Fleet_FinishPost in one; ANSWER is appended to. */
PostOutcome Fleet_Post(Fleet *fleet, int vm, Str path, Str key, Str headers,
                       Str body, Span wait, StrBuf *answer);

/* Sends keyed calls to PATH through VM, each with a new key, until one is
 * answered.  Returns false when the pauses of 100 ms between the calls add up
 * to WAIT; the time of the calls themselves does not count. */
bool Fleet_WaitForKeyedCall(Fleet *fleet, int vm, Str path, Span wait);

#endif
