/* Reg: the key registers of one acceptor.  The register of an idempotency key
 * records which attempt may run the call with this key, or how it ended.
 *
 * The acceptors run on the control replicas (process/control/acceptor.h); a
 * proposer (request/claim.h) is a call with a key.  A proposer sends an
 * attempt to a node only after a majority of the acceptors has accepted
 * "attempt A at node B" under its ballot.  Before it proposes another attempt
 * than those that a majority reported to it, it fences each of these at its
 * node.  So the acceptors need not agree on one attempt: they may hold
 * different ones as long as all but one are fenced.
 *
 * Round 1 is the fast path: the proposer skips the promises, and a register
 * accepts round 1 only when no other proposer has used the register.  The end
 * of an attempt is recorded whatever ballot was promised.
 *
 * Source: L. Lamport, "Paxos made simple", 2001 (one instance per key).
 */
#ifndef REGISTER_H
#define REGISTER_H

#include "value/addr.h"
#include "value/hash.h"
#include "value/instant.h"
#include "value/str.h"

/* The number of a proposal.  The higher round is the higher ballot; in equal
 * rounds the higher proposer, by incarnation and then counter. */
typedef struct {
    uint64_t round;     /* 0: none; 1: the fast path */
    AttemptId proposer; /* identifies the claim of one call */
} PaxosBallot;

typedef enum {
    Reg_EMPTY,
    Reg_PLACED, /* the attempt may be running at its node */
    Reg_ENDED,  /* the attempt ended; its answer may be kept */
    Reg_STATE_COUNT
} RegisterState;

/* The value of a register, or the value that a proposer wants accepted. */
typedef struct {
    RegisterState state;
    PaxosBallot ballot; /* under which the value was accepted */
    AttemptId attempt;
    Addr node; /* beside the backend server of the attempt */
    uint64_t node_incarnation;
    uint64_t request_fingerprint; /* a key stands for one request only */
    Str answer; /* of Reg_ENDED, as encoded; empty when it is not kept */
} RegisterValue;

typedef enum {
    Reg_OK,        /* the ballot is promised, or the value accepted */
    Reg_REJECTED,  /* a higher ballot was promised, or another value stays */
    Reg_FULL,      /* the key has no register here, and there is no room */
    Reg_NOT_READY, /* the acceptor has not caught up, or does not know which
                    * value of this key is the latest */
    Reg_VERDICT_COUNT
} RegisterVerdict;

/* The reply to a proposer.  The strings in VALUE are valid until the registers
 * change.  Only the verdict is set for Reg_FULL and Reg_NOT_READY. */
typedef struct {
    RegisterVerdict verdict;
    PaxosBallot promised; /* the highest ballot that was promised */
    RegisterValue value;  /* the current value of the register */
} RegisterReply;

typedef struct RegisterEntry RegisterEntry;

typedef struct {
    Span retention; /* of a register after its last change */
    size_t entries_max;
    size_t kept_bytes_max;   /* all kept answers together */
    size_t answer_bytes_max; /* one kept answer */
} RegisterSettings;

typedef struct {
    RegisterSettings settings;
    bool is_ready; /* replies to proposers */
    Instant started_at;
    Instant ready_at_latest; /* lost registers have expired by then */
    HashTable entries;       /* RegisterEntry, by key */
    size_t kept_bytes;       /* all kept answers together */
    RegisterEntry *oldest;   /* by last change */
    RegisterEntry *newest;
} KeyRegisters;

/* Copies SETTINGS.  STARTS_READY: this acceptor never had a register before,
 * so it has nothing to catch up with. */
void Reg_Init(KeyRegisters *registers, const RegisterSettings *settings,
              bool starts_ready, Instant now);
void Reg_Finish(KeyRegisters *registers);

/* Changes the retention, when another preset comes into force. */
void Reg_SetRetention(KeyRegisters *registers, Span retention);

/* A proposer asks to accept VALUE as Reg_PLACED under value->ballot; its state
 * and answer are ignored.  Rejected below the promised ballot, after the end
 * of an attempt, and when the register holds a later value. */
RegisterReply Reg_Accept(KeyRegisters *registers, Str key,
                         const RegisterValue *value, Instant now);

/* A proposer asks for the promise to accept nothing below BALLOT, and for the
 * current value. */
RegisterReply Reg_Promise(KeyRegisters *registers, Str key, PaxosBallot ballot,
                          Instant now);

/* The attempt of VALUE ended.  Recorded whatever ballot was promised, also
 * before the acceptor is ready; the first recorded end stays.  Ignored when
 * there is no room. */
void Reg_OnEnded(KeyRegisters *registers, Str key, const RegisterValue *value,
                 Instant now);

/* ATTEMPT never ran and never will.  A register that holds it becomes empty
 * but keeps a promise above round 1; without one the register is dropped,
 * which opens the fast path again. */
void Reg_OnReleased(KeyRegisters *registers, Str key, AttemptId attempt);

/* Whether enough time has passed since the start for this acceptor to read the
 * registers of the others.  What this acceptor accepted before a restart has
 * then been accepted by the others too, or its reply no longer counts. */
bool Reg_MayCatchUp(const KeyRegisters *registers, Instant now);

/* Merges a register of another acceptor into this one's, while catching up.
 * HAS_CONFLICT: the other acceptor does not know which value is the latest.
 * Returns false when there is no room. */
bool Reg_Merge(KeyRegisters *registers, Str key, PaxosBallot promised,
               const RegisterValue *value, bool has_conflict, Instant now);

/* All registers that this acceptor may have lost were read from others. */
void Reg_SetReady(KeyRegisters *registers);

/* HAS_CONFLICT as for Reg_Merge.  The strings are valid during the call. */
typedef void (*RegisterVisitor)(void *context, Str key, PaxosBallot promised,
                                const RegisterValue *value, bool has_conflict);

/* Calls VISIT for every register, the least recently changed first, to send
 * them to an acceptor that catches up. */
void Reg_ForEach(const KeyRegisters *registers, RegisterVisitor visit,
                 void *context);

/* Drops registers whose retention has passed.  Sets is_ready when all that
 * may have been lost in a restart would have expired. */
void Reg_Expire(KeyRegisters *registers, Instant now);

/* Returns a value below, at or above 0 as A is lower than, equal to or higher
 * than B. */
int Reg_CompareBallots(PaxosBallot a, PaxosBallot b);

#endif
