/* Kw: claims of one key, their holders, and the nodes that run it, as a world
 * of events in the order of their times.  The deciders are the real ones; who
 * uses it decides what becomes of each message, and checks what ran and what
 * callers were told.
 */
#ifndef KEYWORLD_H
#define KEYWORLD_H

#include "process/ledger.h"
#include "process/register.h"
#include "request/claim.h"
#include "value/rng.h"

enum {
    Kw_HOLDERS_MAX = 5,
    Kw_NODES = 3,
    Kw_CLAIMS = 10,
    Kw_EVENTS_MAX = 4096,
    Kw_ATTEMPTS_MAX = 24,
    Kw_NAME_MAX_LEN = 16
};

typedef enum {
    Kw_TO_HOLDER,
    Kw_TO_CLAIM,
    Kw_ENDED,
    Kw_RELEASED,
    Kw_FATE_ASK,
    Kw_FATE,
    Kw_CALL,
    Kw_RUN_ENDS,
    Kw_ANSWER,
    Kw_REFUSED,
    Kw_FENCE,
    Kw_FENCED,
    Kw_TICK,
    Kw_START,
    Kw_HOLDER_DIES,
    Kw_HOLDER_ASKS,
    Kw_HOLDER_READS,
    Kw_HOLDER_ROWS,
    Kw_NODE_DIES,
    Kw_CLAIM_DIES
} KwKind;

typedef struct {
    Instant at;
    KwKind kind;
    int claim;
    int place; /* holder or node */
    int other; /* holder that is read */
    uint32_t phase;
    bool promise;
    uint64_t start; /* of the holder that catches up */
    RegisterValue value;
    RegisterReply answer;
    LedgerState fate;
    bool ready;
} KwEvent;

typedef enum { Kw_IDLE, Kw_CLAIMING, Kw_RUNNING, Kw_TOLD, Kw_DEAD } KwProgress;

typedef struct {
    KeyClaim clm;
    KwProgress progress;
    Instant started_at;
    Instant sent_at;
    uint64_t counter;
    bool told_not_run;
    Instant promised_at; /* it last asked for promises */
    Instant granted_at;
} KwClaimant;

/* What is done about a message (Kw_Add it, or not), a run of the key, and
 * what a caller is told. */
typedef struct {
    void *context;
    void (*send)(void *context, const KwEvent *event);
    void (*ran)(void *context, int claim);
    void (*told)(void *context, int claim, ClaimAction step, Str answer);
} KwSink;

typedef struct {
    Rng rng;
    Instant now;
    KwEvent events[Kw_EVENTS_MAX];
    size_t count;
    uint32_t holders;
    uint32_t refused; /* calls, of a hundred */
    uint32_t nobody;  /* placements without a node, of a hundred */
    KwSink sink;
    KeyRegisters regs[Kw_HOLDERS_MAX];
    uint64_t starts[Kw_HOLDERS_MAX];
    bool read[Kw_HOLDERS_MAX][Kw_HOLDERS_MAX];
    AttemptLedger leds[Kw_NODES];
    uint64_t incarnations[Kw_NODES];
    KwClaimant claimants[Kw_CLAIMS];
    char names[Kw_CLAIMS][Kw_ATTEMPTS_MAX][Kw_NAME_MAX_LEN];
    int runs;
    AttemptId ran;
    Instant first_run_at;
    int told_answers;
    int told_unknown;
    int told_not_run;
    uint64_t seed;
} KeyWorld;

void Kw_Init(KeyWorld *w, uint64_t seed, uint32_t holders, const KwSink *sink);
void Kw_Finish(KeyWorld *w);

/* Play all events, also those that they add. */
void Kw_Run(KeyWorld *w);

void Kw_Add(KeyWorld *w, const KwEvent *event, Span delay);

/* True PERCENT times of a hundred. */
bool Kw_Chance(KeyWorld *w, uint32_t percent);

/* The answer that attempt ID gives. */
Str Kw_Name(KeyWorld *w, AttemptId id);

#endif
