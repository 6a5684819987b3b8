/* Calls that a test leaves open while it does something else, and what
 * callers were told set beside what the backend servers did.
 */
#ifndef FLEET_KEYED_H
#define FLEET_KEYED_H

#include "fleet.h"

typedef enum {
    Told_NOTHING = 1, /* no whole answer */
    Told_ANSWER = 2,
    Told_NOT_RUN = 4,
    Told_UNKNOWN = 8,
    Told_RAN = 16,     /* without its answer */
    Told_ERROR = 64,   /* the backend server's own error */
    Told_MISMATCH = 32 /* not run: its key named another request */
} Told;

/* Start a POST through VM; a descriptor for Fleet_FinishPost. */
int Fleet_StartPost(Fleet *fleet, int vm, Str path, Str key, Str headers,
                    Str body);

/* Wait for its answer; BODY is appended to. */
Told Fleet_FinishPost(int fd, Span wait, StrBuf *body);

/* Both in one. */
Told Fleet_Post(Fleet *fleet, int vm, Str path, Str key, Str headers, Str body,
                Span wait, StrBuf *answer);

/* Until a keyed call through VM is answered. */
bool Fleet_WaitForKeys(Fleet *fleet, int vm, Str path, Span wait);

#endif
