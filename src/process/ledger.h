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
    Led_NEW,       /* never seen: may run */
    Led_DUPLICATE, /* a duplicate of a known attempt */
    Led_FENCED,    /* was fenced before it came: it never ran */
    Led_EXPIRED,   /* too old to be told from a duplicate: no proof */
    Led_FULL,      /* no room to remember it: it must not run */
    Led_WRONG_INCARNATION
} AttemptVerdict;

typedef enum {
    Led_NEVER_RAN,      /* never ran, and now never will */
    Led_RUNNING,        /* runs or waits now */
    Led_ANSWERED,       /* ended; the answer is at hand */
    Led_ANSWER_DROPPED, /* ended; its answer is no longer kept */
    Led_UNKNOWN         /* may have run, and how it ended is not known */
} LedgerState;

typedef struct LedgerEntry LedgerEntry;

/* What was fed to a ledger and what it answered, for traces.  The time that
 * does not matter is 0; of an answer only the length matters. */
typedef enum {
    Led_EVENT_SETTINGS = 0, /* brief, retention, bytes_max, answer_max,
                             * entries_max, origins_max */
    Led_EVENT_START,        /* own incarnation; after the settings */
    Led_EVENT_RETENTION,    /* retention */
    Led_EVENT_ATTEMPT, /* id, incarnation, keep; outcome: the AttemptVerdict */
    Led_EVENT_REFUSED, /* id */
    Led_EVENT_DONE,    /* id, whole, bytes */
    Led_EVENT_LOST,    /* id */
    Led_EVENT_FENCE,   /* id, incarnation, keep; outcome: the LedgerState */
    Led_EVENT_EXPIRE,  /* outcome: entries dropped, if any */
    Led_EVENT_COUNT
} LedgerEventKind;

enum { Led_EVENT_ARGS = 6 };

typedef struct {
    LedgerEventKind kind;
    Instant at;
    int64_t
        args[Led_EVENT_ARGS]; /* an id is its incarnation and its counter */
    int64_t outcome;
} LedgerEvent;

typedef void (*LedgerObserver)(void *context, const LedgerEvent *event);

typedef struct {
    Span short_retention;  /* an ended entry is remembered this long, */
    Span long_retention;   /* or this long when its outcome may be asked for */
    size_t kept_bytes_max; /* of kept answers, together */
    size_t answer_bytes_max; /* of one kept answer */
    size_t entries_max;
    size_t origins_max;
} LedgerSettings;

/* Ended entries, by age. */
typedef struct {
    LedgerEntry *oldest;
    LedgerEntry *newest;
} LedgerAgeList;

typedef struct {
    LedgerObserver observer; /* NULL: nobody */
    void *observer_context;
    LedgerSettings settings;
    uint64_t incarnation; /* of this node */
    Hsh entries;
    Hsh origins; /* marks, by incarnation of the origin */
    uint64_t forgotten_incarnation_max; /* origins up to here may have been
                                           forgotten */
    size_t kept_bytes;                  /* of kept answers */
    LedgerAgeList ended[2];             /* brief; kept */
} AttemptLedger;

void Led_Init(AttemptLedger *led, const LedgerSettings *settings,
              uint64_t incarnation);
void Led_Finish(AttemptLedger *led);

/* Another retention, from the preset in force. */
void Led_SetLongRetention(AttemptLedger *led, Span retention);

/* An attempt arrived that names INCARNATION of this node.  KEEP: its outcome
 * may be asked for long after its end. */
AttemptVerdict Led_OnAttempt(AttemptLedger *led, AttemptId id,
                             uint64_t incarnation, bool keep, Instant now);

/* The attempt was refused or cancelled before it ran: it never will. */
void Led_OnRefused(AttemptLedger *led, AttemptId id, Instant now);

/* The attempt ended; ANSWER (encoded by the caller) is kept if it fits, and
 * when WHOLE is set. */
void Led_OnEnded(AttemptLedger *led, AttemptId id, bool whole, Str answer,
                 Instant now);

/* How the attempt ended is not known. */
void Led_OnUnknown(AttemptLedger *led, AttemptId id, Instant now);

/* Another node asks: fence the id when it was never seen.  ANSWER is set for
 * Led_ANSWERED and valid until the next change. */
LedgerState Led_Fence(AttemptLedger *led, AttemptId id, uint64_t incarnation,
                      bool keep, Instant now, Str *answer);

/* Drop what is past its retention. */
void Led_Expire(AttemptLedger *led, Instant now);

/* Tell OBSERVER of each event from now on, and how the ledger was made; right
 * after Led_Init. */
void Led_SetObserver(AttemptLedger *led, LedgerObserver observer,
                     void *context);

/* Feed EVENT; what is answered now. */
int64_t Led_ReplayEvent(AttemptLedger *led, const LedgerEvent *event);

#endif
