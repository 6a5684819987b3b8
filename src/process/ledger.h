/* Led, the attempt ledger of the node beside a backend server: what became
 * of each attempt id, and which ids must never run.
 *
 * A node asks Led_Begin before it runs anything; an id that was seen, fenced,
 * or names another incarnation never runs.  Answers of ended attempts are
 * kept, bounded in time and bytes, for nodes that ask through a fence.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/str.h"

typedef enum {
    Led_FIRST,   /* never seen: may run */
    Led_SEEN,    /* a duplicate of a known attempt */
    Led_FENCED,  /* was fenced before it came */
    Led_EXPIRED, /* counter too old to be told from a duplicate */
    Led_WRONG_INCARNATION
} LedBegin;

typedef enum {
    Led_NEVER,   /* never ran, and now never will */
    Led_RUNNING, /* runs or waits now */
    Led_DONE,    /* ended; the answer is at hand */
    Led_ENDED,   /* ended; its answer is no longer kept */
    Led_LOST     /* ran, and how it ended is not known */
} LedState;

typedef struct LedEntry LedEntry;

typedef struct {
    Span retention;   /* an ended entry is kept this long */
    size_t bytes_max; /* of kept answers */
    size_t entries_max;
} LedSettings;

typedef struct {
    LedSettings settings;
    uint64_t incarnation; /* of this node */
    LedEntry **buckets;
    size_t bucket_count;
    size_t count;
    size_t bytes;
    LedEntry *oldest; /* ended entries by age */
    LedEntry *newest;
} Led;

void Led_Init(Led *led, const LedSettings *settings, uint64_t incarnation);
void Led_Finish(Led *led);
void Led_SetSettings(Led *led, const LedSettings *settings);

/* An attempt arrived that names INCARNATION of this node. */
LedBegin Led_OnAttempt(Led *led, AttemptId id, uint64_t incarnation,
                       Instant now);

/* The attempt was refused or cancelled before it ran: it never will. */
void Led_OnRefused(Led *led, AttemptId id, Instant now);

/* The attempt ended; ANSWER (encoded by the caller) is kept if it fits. */
void Led_OnDone(Led *led, AttemptId id, Str answer, Instant now);

/* The backend server was lost while the attempt ran. */
void Led_OnLost(Led *led, AttemptId id, Instant now);

/* Another node asks: fence the id when it was never seen.  ANSWER is set for
 * Led_DONE and valid until the next change. */
LedState Led_Fence(Led *led, AttemptId id, Instant now, Str *answer);

/* Drop what is past its retention. */
void Led_Expire(Led *led, Instant now);

#endif
