/* Calls that a test leaves open while it does something else, and what
 * callers were told set beside what the backend servers did.
 */
#ifndef FLEET_KEYED_H
#define FLEET_KEYED_H

#include "fleet.h"

typedef enum {
    Post_NO_ANSWER = 1, /* no whole answer */
    Post_ANSWERED = 2,
    Post_NOT_RUN = 4,
    Post_UNKNOWN = 8,
    Post_ANSWER_DROPPED = 16, /* without its answer */
    Post_BACKEND_ERROR = 64,  /* the backend server's own error */
    Post_KEY_MISMATCH = 32    /* not run: its key named another request */
} PostOutcome;

/* Start a POST through VM; a descriptor for Fleet_FinishPost. */
int Fleet_StartPost(Fleet *fleet, int vm, Str path, Str key, Str headers,
                    Str body);

/* Wait for its answer; BODY is appended to. */
PostOutcome Fleet_FinishPost(int fd, Span wait, StrBuf *body);

/* Both in one. */
PostOutcome Fleet_Post(Fleet *fleet, int vm, Str path, Str key, Str headers,
                       Str body, Span wait, StrBuf *answer);

/* Until a keyed call through VM is answered. */
bool Fleet_WaitForKeyedCall(Fleet *fleet, int vm, Str path, Span wait);

#endif
