/* Clm, the claim decider of one keyed call: drives the key's registers at the
 * holders until this call may run, is told the first call's answer, or must
 * be told "unknown".
 *
 * Fed with the holders' answers and the outcome of asking a node about an
 * attempt; answers with one step at a time, which the caller carries out.
 * "Not run" is a step only when a majority of the holders was heard and each
 * attempt that they named is known never to run.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "process/register.h"

typedef enum {
    Clm_WAIT,          /* nothing to do until the next event */
    Clm_SEND_ACCEPT,   /* send value to every holder */
    Clm_SEND_PROMISE,  /* send ballot to every holder */
    Clm_ASK,           /* ask asked.node what became of asked.attempt */
    Clm_PLACE,         /* choose a node: then Clm_OnPlaced or Clm_OnNobody */
    Clm_RUN,           /* a majority accepted: make value.attempt */
    Clm_TELL_ANSWER,   /* the key's call ended: tell answer */
    Clm_TELL_RAN,      /* it ended, and its answer is no longer kept */
    Clm_TELL_MISMATCH, /* the key named another request before */
    Clm_TELL_NOT_RUN,  /* nobody can run it now, and nothing ran */
    Clm_TELL_UNKNOWN   /* doubt remains */
} ClmStep;

/* What a node said of an attempt. */
typedef enum {
    Clm_NEVER, /* fenced: never ran, never will */
    Clm_RUNNING,
    Clm_DONE,  /* with the answer */
    Clm_ENDED, /* ran; the answer is not kept */
    Clm_LOST,  /* may have run */
    Clm_FATES
} ClmFate;

enum { Clm_HOLDERS_MAX = 7, Clm_SEEN_MAX = 8, Clm_OWN_MAX = 16 };

typedef enum {
    Clm_FAST, /* accepts of round 1 are out */
    Clm_PROMISING,
    Clm_ACCEPTING,
    Clm_ASKING,
    Clm_PLACING,
    Clm_PAUSING, /* before the next promises, or the next question */
    Clm_GRANTED,
    Clm_OVER
} ClmState;

typedef struct {
    uint32_t holders;
    Instant deadline;
    ClmState state;
    uint32_t phase; /* counts messages to holders; answers carry it */
    RegBallot ballot;
    uint64_t round_seen;
    RegValue value; /* what this call wants accepted */
    bool nobody;    /* no node can run it now */
    bool heard;     /* this phase's answers came from a majority */
    uint8_t answered[Clm_HOLDERS_MAX];
    uint32_t agreed;
    uint32_t full;
    uint32_t refused;
    RegValue seen[Clm_SEEN_MAX]; /* attempts to settle */
    size_t seen_count;
    RegValue asked;             /* the attempt asked about */
    bool ask_again;             /* after the pause */
    AttemptId own[Clm_OWN_MAX]; /* of this call: none of them runs */
    size_t own_count;
    StrBuf answer; /* of Clm_TELL_ANSWER, as kept */
    Instant phase_end;
    Instant ask_end;
    uint32_t rounds;
} Clm;

/* PROPOSER names this claim among all; DIGEST its request. */
void Clm_Init(Clm *claim, uint32_t holders, AttemptId proposer,
              uint64_t digest, Instant deadline);
void Clm_Finish(Clm *claim);

/* Clm_PLACE was carried out: the first one starts the fast path. */
ClmStep Clm_OnPlaced(Clm *claim, AttemptId attempt, Addr node,
                     uint64_t incarnation, Instant now);
ClmStep Clm_OnNobody(Clm *claim, Instant now);

/* Holder number HOLDER answered the message of PHASE. */
ClmStep Clm_OnHolder(Clm *claim, uint32_t holder, uint32_t phase,
                     const RegAnswer *answer, Instant now);

/* A node answered about ATTEMPT; ANSWER of Clm_DONE. */
ClmStep Clm_OnFate(Clm *claim, AttemptId attempt, ClmFate fate, Str answer,
                   Instant now);

/* The attempt that was granted did not run: Clm_PLACE comes next. */
ClmStep Clm_OnRefused(Clm *claim);

/* Timeouts and pauses; call it often. */
ClmStep Clm_Tick(Clm *claim, Instant now);

#endif
