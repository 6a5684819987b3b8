/* Led, the attempt ledger of the node beside a backend server: what became
 * of each attempt id, and which ids must never run.
 *
 * A node asks Led_OnAttempt before it runs anything; an id that was seen,
 * fenced, or names another incarnation never runs.  Answers of ended attempts
 * are kept, bounded in time and bytes, for nodes that ask later.
 *
 * An ended entry goes after its retention.  The ledger then keeps only a mark
 * for each origin, the highest counter it forgot: an unknown id at or below
 * the mark is refused as expired, so forgetting never lets one run twice.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "value/addr.h"
#include "value/hash.h"
#include "value/instant.h"
#include "value/str.h"

typedef enum {
    Led_FIRST,   /* never seen: may run */
    Led_SEEN,    /* a duplicate of a known attempt */
    Led_FENCED,  /* was fenced before it came: it never ran */
    Led_EXPIRED, /* too old to be told from a duplicate: no proof */
    Led_FULL,    /* no room to remember it: it must not run */
    Led_WRONG_INCARNATION
} LedBegin;

typedef enum {
    Led_NEVER,   /* never ran, and now never will */
    Led_RUNNING, /* runs or waits now */
    Led_DONE,    /* ended; the answer is at hand */
    Led_ENDED,   /* ended; its answer is no longer kept */
    Led_LOST     /* may have run, and how it ended is not known */
} LedState;

typedef struct LedEntry LedEntry;

/* What was fed to a ledger and what it answered, for traces.  The time that
 * does not matter is 0; of an answer only the length matters. */
typedef enum {
    Led_DID_SETTINGS = 0, /* brief, retention, bytes_max, answer_max,
                           * entries_max, origins_max */
    Led_DID_START,        /* own incarnation; after the settings */
    Led_DID_RETENTION,    /* retention */
    Led_DID_ATTEMPT,      /* id, incarnation, keep; outcome: the LedBegin */
    Led_DID_REFUSED,      /* id */
    Led_DID_DONE,         /* id, whole, bytes */
    Led_DID_LOST,         /* id */
    Led_DID_FENCE,        /* id, incarnation, keep; outcome: the LedState */
    Led_DID_EXPIRE,       /* outcome: entries dropped, if any */
    Led_EVENTS
} LedEventKind;

enum { Led_ARGS = 6 };

typedef struct {
    LedEventKind kind;
    Instant at;
    int64_t args[Led_ARGS]; /* an id is its incarnation and its counter */
    int64_t outcome;
} LedEvent;

typedef void (*LedObserver)(void *context, const LedEvent *event);

typedef struct {
    Span brief;        /* an ended entry is remembered this long, */
    Span retention;    /* or this long when its outcome may be asked for */
    size_t bytes_max;  /* of kept answers, together */
    size_t answer_max; /* of one kept answer */
    size_t entries_max;
    size_t origins_max;
} LedSettings;

/* Ended entries, by age. */
typedef struct {
    LedEntry *oldest;
    LedEntry *newest;
} LedAges;

typedef struct {
    LedObserver observer; /* NULL: nobody */
    void *observer_context;
    LedSettings settings;
    uint64_t incarnation; /* of this node */
    Hsh entries;
    Hsh origins;     /* marks, by incarnation of the origin */
    uint64_t floor;  /* origins up to here may have been forgotten */
    size_t bytes;    /* of kept answers */
    LedAges ages[2]; /* brief; kept */
} Led;

void Led_Init(Led *led, const LedSettings *settings, uint64_t incarnation);
void Led_Finish(Led *led);

/* Another retention, from the preset in force. */
void Led_SetRetention(Led *led, Span retention);

/* An attempt arrived that names INCARNATION of this node.  KEEP: its outcome
 * may be asked for long after its end. */
LedBegin Led_OnAttempt(Led *led, AttemptId id, uint64_t incarnation, bool keep,
                       Instant now);

/* The attempt was refused or cancelled before it ran: it never will. */
void Led_OnRefused(Led *led, AttemptId id, Instant now);

/* The attempt ended; ANSWER (encoded by the caller) is kept if it fits, and
 * when WHOLE is set. */
void Led_OnDone(Led *led, AttemptId id, bool whole, Str answer, Instant now);

/* How the attempt ended is not known. */
void Led_OnLost(Led *led, AttemptId id, Instant now);

/* Another node asks: fence the id when it was never seen.  ANSWER is set for
 * Led_DONE and valid until the next change. */
LedState Led_Fence(Led *led, AttemptId id, uint64_t incarnation, bool keep,
                   Instant now, Str *answer);

/* Drop what is past its retention. */
void Led_Expire(Led *led, Instant now);

/* Tell OBSERVER of each event from now on, and how the ledger was made; right
 * after Led_Init. */
void Led_Observe(Led *led, LedObserver observer, void *context);

/* Feed EVENT; what is answered now. */
int64_t Led_Replay(Led *led, const LedEvent *event);

#endif
