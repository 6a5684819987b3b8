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
} PaxosBallot;

typedef enum {
    Reg_EMPTY,
    Reg_PLACED, /* attempt may be running at its node */
    Reg_ENDED,  /* answer holds what the caller was told */
    Reg_STATE_COUNT
} RegisterState;

/* What a register holds. */
typedef struct {
    RegisterState state;
    PaxosBallot ballot; /* under which it was accepted */
    AttemptId attempt;
    Addr node; /* beside the backend server of the attempt */
    uint64_t node_incarnation;
    uint64_t request_fingerprint; /* of the request: a key names one request */
    Str answer;                   /* of Reg_ENDED; empty when it is not kept */
} RegisterValue;

typedef enum {
    Reg_OK,        /* promised, or accepted */
    Reg_REJECTED,  /* a higher ballot, or a value, stands */
    Reg_FULL,      /* no room; this key has no register here */
    Reg_NOT_READY, /* the holder has not caught up, or not for this key */
    Reg_VERDICT_COUNT
} RegisterVerdict;

/* What a holder answers; HELD stays valid until the next change. */
typedef struct {
    RegisterVerdict verdict;
    PaxosBallot promised;
    RegisterValue value;
} RegisterReply;

typedef struct RegisterEntry RegisterEntry;

typedef struct {
    Span retention; /* since the last change of a register */
    size_t entries_max;
    size_t kept_bytes_max;   /* of kept answers, together */
    size_t answer_bytes_max; /* of one kept answer */
} RegisterSettings;

typedef struct {
    RegisterSettings settings;
    bool is_ready;
    Instant started_at;
    Instant ready_at_latest; /* at the latest, retention after the start */
    Hsh entries;
    size_t kept_bytes;
    RegisterEntry *oldest;
    RegisterEntry *newest;
} KeyRegisters;

/* READY: this holder never held anything before. */
void Reg_Init(KeyRegisters *reg, const RegisterSettings *settings, bool ready,
              Instant now);
void Reg_Finish(KeyRegisters *reg);

/* Another retention, from the preset in force. */
void Reg_SetRetention(KeyRegisters *reg, Span retention);

/* Accept VALUE under its ballot. */
RegisterReply Reg_Accept(KeyRegisters *reg, Str key,
                         const RegisterValue *value, Instant now);

/* Promise BALLOT and tell what is held. */
RegisterReply Reg_Promise(KeyRegisters *reg, Str key, PaxosBallot ballot,
                          Instant now);

/* VALUE's attempt ended: a fact. */
void Reg_OnEnded(KeyRegisters *reg, Str key, const RegisterValue *value,
                 Instant now);

/* ATTEMPT never ran and never will: a fact. */
void Reg_OnReleased(KeyRegisters *reg, Str key, AttemptId attempt);

/* Whether a holder that restarted has been silent long enough to read from
 * the others: what it agreed to before then stands there, or never counts. */
bool Reg_MayCatchUp(const KeyRegisters *reg, Instant now);

/* Take over what another holder has, while catching up.  MIXED: that holder
 * has no word on this key.  False when there is no room. */
bool Reg_Merge(KeyRegisters *reg, Str key, PaxosBallot promised,
               const RegisterValue *value, bool mixed, Instant now);

/* Everything that this holder may have forgotten was read from others. */
void Reg_SetReady(KeyRegisters *reg);

typedef void (*RegisterVisitor)(void *context, Str key, PaxosBallot promised,
                                const RegisterValue *value, bool mixed);

/* Every register, the oldest first, for a holder that catches up. */
void Reg_ForEach(const KeyRegisters *reg, RegisterVisitor visit,
                 void *context);

void Reg_Expire(KeyRegisters *reg, Instant now);

int Reg_CompareBallots(PaxosBallot a, PaxosBallot b);

#endif
