/* Reg, the key register of one holder: who may run the call that a caller's
 * idempotency key names, and what came of it.
 *
 * Each key is a register written by a majority of the holders (the control
 * replicas).  A proposer may place an attempt only after a majority accepted
 * "attempt A at node B" under its ballot; before it replaces an accepted
 * attempt by another, it fences the old one at its node.  A holder that
 * restarted keeps silent until it read the registers of a majority of the
 * others, or until the retention has passed.
 *
 * Source: L. Lamport, "Paxos made simple", 2001 (one instance per key).
 */
#ifndef REGISTER_H
#define REGISTER_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/str.h"

/* Ballots order proposals: higher round wins, then higher attempt id. */
typedef struct {
    uint64_t round;
    AttemptId proposer;
} RegBallot;

typedef enum {
    Reg_EMPTY,
    Reg_PLACED, /* attempt may be running at its node */
    Reg_ENDED   /* answer holds what the caller was told */
} RegState;

/* What a register holds. */
typedef struct {
    RegState state;
    RegBallot ballot; /* under which it was accepted */
    AttemptId attempt;
    Addr node; /* beside the backend server of the attempt */
    uint64_t incarnation;
    uint64_t digest; /* of the request: a key names one request */
    Str answer;      /* of Reg_ENDED; empty when too large to keep */
} RegValue;

typedef enum {
    Reg_OK,       /* promised, or accepted */
    Reg_HELD,     /* a higher ballot, or a value, stands: see value */
    Reg_NOT_READY /* the holder restarted and has not caught up */
} RegVerdict;

typedef struct RegEntry RegEntry;

typedef struct {
    Span retention;
    size_t entries_max;
    size_t bytes_max;
} RegSettings;

typedef struct {
    RegSettings settings;
    bool ready;
    Instant ready_at; /* at the latest, retention after the restart */
    RegEntry **buckets;
    size_t bucket_count;
    size_t count;
    size_t bytes;
    RegEntry *oldest;
    RegEntry *newest;
} Reg;

/* READY: this holder never held anything before (first start of the fleet). */
void Reg_Init(Reg *reg, const RegSettings *settings, bool ready, Instant now);
void Reg_Finish(Reg *reg);

/* Accept VALUE when the register is empty and unpromised, or VALUE's ballot
 * is at least what was promised.  HELD is filled otherwise. */
RegVerdict Reg_Accept(Reg *reg, Str key, const RegValue *value, Instant now,
                      RegBallot *promised, RegValue *held);

/* Promise BALLOT and tell what is held. */
RegVerdict Reg_Promise(Reg *reg, Str key, RegBallot ballot, Instant now,
                       RegBallot *promised, RegValue *held);

/* Take over what another holder has, while catching up. */
void Reg_Merge(Reg *reg, Str key, RegBallot promised, const RegValue *value,
               Instant now);

/* A majority of the other holders was read. */
void Reg_SetReady(Reg *reg);

typedef void (*RegVisit)(void *context, Str key, RegBallot promised,
                         const RegValue *value);

/* Every register, for a holder that catches up. */
void Reg_Each(const Reg *reg, RegVisit visit, void *context);

void Reg_Expire(Reg *reg, Instant now);

int Reg_CompareBallots(RegBallot a, RegBallot b);

#endif
