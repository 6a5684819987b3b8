/* Reg, the key registers of one holder: who may run the call that a caller's
 * idempotency key names, and what came of it.
 *
 * The holders are the control replicas.  A proposer may send an attempt only
 * after a majority accepted "attempt A at node B" under its ballot.  Before
 * it proposes another attempt than those it heard of from a majority, it
 * fences each of them at its node.  So a register needs no single winner: two
 * attempts may stand at different holders as long as all but one are fenced.
 *
 * Round 1 is the fast path: it skips the promise and is accepted only by a
 * register that nobody touched.  An end is a fact, which is taken whatever
 * was promised.
 *
 * Source: L. Lamport, "Paxos made simple", 2001 (one instance per key).
 */
#ifndef REGISTER_H
#define REGISTER_H

#include "value/addr.h"
#include "value/hash.h"
#include "value/instant.h"
#include "value/str.h"

/* Ballots order proposals: higher round wins, then higher proposer. */
typedef struct {
    uint64_t round; /* 0: none; 1: the fast path */
    AttemptId proposer;
} RegBallot;

typedef enum {
    Reg_EMPTY,
    Reg_PLACED, /* attempt may be running at its node */
    Reg_ENDED,  /* answer holds what the caller was told */
    Reg_STATES
} RegState;

/* What a register holds. */
typedef struct {
    RegState state;
    RegBallot ballot; /* under which it was accepted */
    AttemptId attempt;
    Addr node; /* beside the backend server of the attempt */
    uint64_t incarnation;
    uint64_t digest; /* of the request: a key names one request */
    Str answer;      /* of Reg_ENDED; empty when it is not kept */
} RegValue;

typedef enum {
    Reg_OK,        /* promised, or accepted */
    Reg_HELD,      /* a higher ballot, or a value, stands */
    Reg_FULL,      /* no room; this key has no register here */
    Reg_NOT_READY, /* the holder has not caught up, or not for this key */
    Reg_VERDICTS
} RegVerdict;

/* What a holder answers; HELD stays valid until the next change. */
typedef struct {
    RegVerdict verdict;
    RegBallot promised;
    RegValue held;
} RegAnswer;

typedef struct RegEntry RegEntry;

typedef struct {
    Span retention; /* since the last change of a register */
    size_t entries_max;
    size_t bytes_max;  /* of kept answers, together */
    size_t answer_max; /* of one kept answer */
} RegSettings;

typedef struct {
    RegSettings settings;
    bool ready;
    Instant started_at;
    Instant ready_at; /* at the latest, retention after the start */
    Hsh entries;
    size_t bytes;
    RegEntry *oldest;
    RegEntry *newest;
} Reg;

/* READY: this holder never held anything before. */
void Reg_Init(Reg *reg, const RegSettings *settings, bool ready, Instant now);
void Reg_Finish(Reg *reg);

/* Another retention, from the preset in force. */
void Reg_SetRetention(Reg *reg, Span retention);

/* Accept VALUE under its ballot. */
RegAnswer Reg_Accept(Reg *reg, Str key, const RegValue *value, Instant now);

/* Promise BALLOT and tell what is held. */
RegAnswer Reg_Promise(Reg *reg, Str key, RegBallot ballot, Instant now);

/* VALUE's attempt ended: a fact. */
void Reg_OnEnded(Reg *reg, Str key, const RegValue *value, Instant now);

/* ATTEMPT never ran and never will: a fact. */
void Reg_OnReleased(Reg *reg, Str key, AttemptId attempt);

/* Whether a holder that restarted has been silent long enough to read from
 * the others: what it agreed to before then stands there, or never counts. */
bool Reg_MayRead(const Reg *reg, Instant now);

/* Take over what another holder has, while catching up.  MIXED: that holder
 * has no word on this key.  False when there is no room. */
bool Reg_Merge(Reg *reg, Str key, RegBallot promised, const RegValue *value,
               bool mixed, Instant now);

/* Everything that this holder may have forgotten was read from others. */
void Reg_SetReady(Reg *reg);

typedef void (*RegVisit)(void *context, Str key, RegBallot promised,
                         const RegValue *value, bool mixed);

/* Every register, the oldest first, for a holder that catches up. */
void Reg_Each(const Reg *reg, RegVisit visit, void *context);

void Reg_Expire(Reg *reg, Instant now);

int Reg_CompareBallots(RegBallot a, RegBallot b);

#endif
