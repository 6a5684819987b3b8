/* Led: the attempt ledger of a node beside a backend server.  It records what
 * became of each attempt id and which ids must never run.
 *
 * The node calls Led_OnAttempt for each attempt that arrives and runs the
 * attempt only when the verdict is Led_NEW.  It then reports the end by
 * exactly one of Led_OnRefused, Led_OnEnded and Led_OnUnknown.  Led_Fence
 * answers other nodes that ask for the state of an attempt; the call blocks an
 * id that the ledger has not seen yet.  Led_Expire is called periodically.
 *
 * An entry is dropped when its retention after the end of the attempt has
 * passed.  The ledger then keeps only the highest forgotten counter of each
 * origin (the incarnation in the attempt id) and rejects unknown ids up to
 * that counter as expired, so that a forgotten attempt never runs twice.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "value/addr.h"
#include "value/hash.h"
#include "value/instant.h"
#include "value/str.h"

/* Whether an attempt that arrived may run. */
typedef enum {
    Led_NEW,              /* not seen before: the attempt may run */
    Led_DUPLICATE,        /* the ledger has an entry for this attempt */
    Led_FENCED,           /* fenced before it arrived: it never runs */
    Led_EXPIRED,          /* may be a forgotten duplicate: must not run, which
                           * does not prove that it never ran */
    Led_FULL,             /* the ledger has no free entry: must not run */
    Led_WRONG_INCARNATION /* meant for another start of this node */
} AttemptVerdict;

/* What the ledger knows of an attempt. */
typedef enum {
    Led_NEVER_RAN,      /* has not run and never will */
    Led_RUNNING,        /* is queued or running */
    Led_ANSWERED,       /* ended; the ledger keeps its answer */
    Led_ANSWER_DROPPED, /* ended; its answer is not kept */
    Led_UNKNOWN         /* may have run; how it ended is not known */
} LedgerState;

typedef struct LedgerEntry LedgerEntry;

/* Calls of the functions below, for traces.  The comments name the arguments
 * and the outcome of each kind; an attempt id takes two arguments, its
 * incarnation and its counter. */
typedef enum {
    Led_EVENT_SETTINGS = 0, /* short_retention, long_retention, kept_bytes_max,
                             * answer_bytes_max, entries_max, origins_max */
    Led_EVENT_START,        /* incarnation of this node; after the settings */
    Led_EVENT_RETENTION,    /* long_retention */
    Led_EVENT_ATTEMPT,      /* id, incarnation, keep_long; outcome: the
                             * AttemptVerdict */
    Led_EVENT_REFUSED,      /* id */
    Led_EVENT_ENDED,        /* id, is_complete, length of the answer */
    Led_EVENT_UNKNOWN,      /* id; the outcome of the attempt is unknown */
    Led_EVENT_FENCE,        /* id, incarnation, keep_long; outcome: the
                             * LedgerState */
    Led_EVENT_EXPIRE,       /* outcome: number of dropped entries, not 0 */
    Led_EVENT_COUNT
} LedgerEventKind;

enum { Led_EVENT_ARGS = 6 };

typedef struct {
    LedgerEventKind kind;
    Instant at;                   /* 0 when the time has no effect */
    int64_t args[Led_EVENT_ARGS]; /* see LedgerEventKind */
    int64_t outcome;              /* 0 when the kind has none */
} LedgerEvent;

/* EVENT is valid only during the call. */
typedef void (*LedgerObserver)(void *context, const LedgerEvent *event);

/* The retentions count from the end of an attempt. */
typedef struct {
    Span short_retention;    /* of entries without keep_long */
    Span long_retention;     /* of entries with keep_long */
    size_t kept_bytes_max;   /* all kept answers together */
    size_t answer_bytes_max; /* one kept answer */
    size_t entries_max;
    size_t origins_max; /* origins with forgotten attempts */
} LedgerSettings;

/* Ended entries in the order in which they ended. */
typedef struct {
    LedgerEntry *oldest;
    LedgerEntry *newest;
} LedgerAgeList;

typedef struct {
    LedgerObserver observer; /* NULL: none */
    void *observer_context;
    LedgerSettings settings;
    uint64_t incarnation; /* of this node */
    HashTable entries;    /* LedgerEntry, by attempt id */
    HashTable origins;    /* highest forgotten counters, by incarnation of the
                           * origin */
    /* The highest incarnation dropped from origins, which is bounded.  An
     * origin that is not in the table may have been forgotten, unless its
     * incarnation is higher. */
    uint64_t forgotten_incarnation_max;
    size_t kept_bytes;      /* all kept answers together */
    LedgerAgeList ended[2]; /* by keep_long */
} AttemptLedger;

/* Copies SETTINGS.  INCARNATION is that of this node. */
void Led_Init(AttemptLedger *ledger, const LedgerSettings *settings,
              uint64_t incarnation);
void Led_Finish(AttemptLedger *ledger);

/* Changes the long retention, when another preset comes into force. */
void Led_SetLongRetention(AttemptLedger *ledger, Span retention);

/* Records an attempt that arrived for INCARNATION of this node and returns
 * whether it may run.  KEEP_LONG: other nodes may ask for the outcome long
 * after the end of the attempt, so the long retention applies. */
AttemptVerdict Led_OnAttempt(AttemptLedger *ledger, AttemptId id,
                             uint64_t incarnation, bool keep_long,
                             Instant now);

/* The attempt was refused or cancelled before it ran, and never will run.
 * This function and the next two ignore an id that is not Led_RUNNING. */
void Led_OnRefused(AttemptLedger *ledger, AttemptId id, Instant now);

/* The attempt ended.  The ledger keeps a copy of ANSWER, which the caller has
 * encoded, when IS_COMPLETE is set and the answer is not too long. */
void Led_OnEnded(AttemptLedger *ledger, AttemptId id, bool is_complete,
                 Str answer, Instant now);

/* The attempt may have run, and how it ended is not known. */
void Led_OnUnknown(AttemptLedger *ledger, AttemptId id, Instant now);

/* Returns the state of an attempt to another node, and fences the id when the
 * attempt has not arrived: it is then rejected as Led_FENCED.  A running
 * attempt goes on.  ANSWER is set for Led_ANSWERED, else empty, and valid
 * until the ledger changes.  Led_UNKNOWN also stands for another incarnation,
 * a forgotten id and a full ledger. */
LedgerState Led_Fence(AttemptLedger *ledger, AttemptId id,
                      uint64_t incarnation, bool keep_long, Instant now,
                      Str *answer);

/* Drops ended entries whose retention has passed. */
void Led_Expire(AttemptLedger *ledger, Instant now);

/* Calls OBSERVER with the settings and the incarnation, then with each later
 * event.  To be called right after Led_Init. */
void Led_SetObserver(AttemptLedger *ledger, LedgerObserver observer,
                     void *context);

/* Repeats the call that EVENT recorded and returns the outcome it has now; 0
 * when its kind has none. */
int64_t Led_ReplayEvent(AttemptLedger *ledger, const LedgerEvent *event);

#endif
