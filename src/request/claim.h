/* Clm, the claim decider of one keyed call: drives the key's register at the
 * holders until this call may run, is told the first call's answer, or must
 * be told "unknown".
 *
 * Fed with the holders' answers and the outcome of fences; answers with one
 * step at a time, which the caller carries out.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "process/register.h"

typedef enum {
    Clm_WAIT,          /* nothing to do until the next event */
    Clm_SEND_ACCEPT,   /* send value to every holder */
    Clm_SEND_PROMISE,  /* send ballot to every holder */
    Clm_FENCE,         /* fence held.attempt at held.node */
    Clm_RUN,           /* a majority accepted: make the attempt */
    Clm_TELL_ANSWER,   /* the key's call ended: tell held.answer */
    Clm_TELL_RUNNING,  /* the first call still runs: wait and ask again */
    Clm_TELL_MISMATCH, /* the key named another request before */
    Clm_TELL_NOT_RUN,  /* no majority, and nothing was placed */
    Clm_TELL_UNKNOWN   /* doubt remains */
} ClmStep;

typedef enum {
    Clm_FENCED_NEVER,
    Clm_FENCED_RUNNING,
    Clm_FENCED_DONE, /* with the answer */
    Clm_FENCED_LOST, /* ran, outcome not kept, or node gone */
    Clm_FENCED_NO_ANSWER
} ClmFenced;

enum { Clm_HOLDERS_MAX = 7 };

typedef struct {
    uint32_t holders;
    RegValue value;     /* what this call wants accepted */
    RegBallot ballot;   /* of the present phase */
    RegValue held;      /* the highest value learnt */
    StrBuf held_answer; /* storage of held.answer */
    uint8_t answered[Clm_HOLDERS_MAX];
    uint32_t agreed;
    uint32_t refused;
    uint32_t phase;
    bool placed;     /* an attempt of this call was sent */
    uint32_t rounds; /* bounded */
    Instant deadline;
} Clm;

void Clm_Init(Clm *claim, uint32_t holders, const RegValue *value,
              Instant deadline);
void Clm_Finish(Clm *claim);

/* The first step. */
ClmStep Clm_Start(Clm *claim, Instant now);

/* Holder number HOLDER answered the present phase's message. */
ClmStep Clm_OnHolder(Clm *claim, uint32_t holder, RegBallot asked,
                     RegVerdict verdict, RegBallot promised,
                     const RegValue *held, Instant now);

ClmStep Clm_OnFenced(Clm *claim, ClmFenced fenced, Str answer, Instant now);

/* The attempt did not run (refused or fenced): place the next at NODE. */
ClmStep Clm_Move(Clm *claim, AttemptId attempt, Addr node,
                 uint64_t incarnation, Instant now);

/* The attempt ended: record ANSWER at the holders. */
ClmStep Clm_OnDone(Clm *claim, Str answer, Instant now);

/* No answer from enough holders within the bound. */
ClmStep Clm_OnTimeout(Clm *claim, Instant now);

#endif
