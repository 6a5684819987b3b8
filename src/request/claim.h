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
    Clm_SEND_PREPARE,  /* send ballot to every holder */
    Clm_QUERY_FATE,    /* ask asked.node what became of asked.attempt */
    Clm_CHOOSE_TARGET, /* choose a node: then Clm_OnTargetChosen or
                          Clm_OnNoTarget */
    Clm_START_ATTEMPT, /* a majority accepted: make value.attempt */
    Clm_END_ANSWER,    /* the key's call ended: tell answer */
    Clm_END_RAN,       /* it ended, and its answer is no longer kept */
    Clm_END_MISMATCH,  /* the key named another request before */
    Clm_END_NOT_RUN,   /* nobody can run it now, and nothing ran */
    Clm_END_UNKNOWN    /* doubt remains */
} ClaimAction;

/* What a node said of an attempt. */
typedef enum {
    Clm_FATE_NEVER_RAN, /* fenced: never ran, never will */
    Clm_FATE_RUNNING,
    Clm_FATE_ANSWERED,       /* with the answer */
    Clm_FATE_ANSWER_DROPPED, /* ran; the answer is not kept */
    Clm_FATE_UNKNOWN,        /* may have run */
    Clm_FATE_COUNT
} AttemptFate;

enum {
    Clm_ACCEPTORS_MAX = 7,
    Clm_COMPETITORS_MAX = 8,
    Clm_OWN_ATTEMPTS_MAX = 16
};

typedef enum {
    Clm_FAST_ACCEPTING, /* accepts of round 1 are out */
    Clm_PREPARING,
    Clm_ACCEPTING,
    Clm_QUERYING_FATE,
    Clm_CHOOSING_TARGET,
    Clm_BACKING_OFF, /* before the next promises, or the next question */
    Clm_GRANTED,
    Clm_FINISHED
} ClaimState;

typedef struct {
    uint32_t acceptor_count;
    Instant deadline;
    ClaimState state;
    uint32_t phase; /* counts messages to holders; answers carry it */
    RegBallot ballot;
    uint64_t highest_round;
    RegValue proposal;   /* what this call wants accepted */
    bool no_target;      /* no node can run it now */
    bool majority_heard; /* this phase's answers came from a majority */
    uint8_t answered[Clm_ACCEPTORS_MAX];
    uint32_t agree_count;
    uint32_t full_count;
    uint32_t reject_count;
    RegValue competitors[Clm_COMPETITORS_MAX]; /* attempts to settle */
    size_t competitor_count;
    RegValue queried;                             /* the attempt asked about */
    bool query_after_backoff;                     /* after the pause */
    AttemptId own_attempts[Clm_OWN_ATTEMPTS_MAX]; /* of this call: none of them
                                                     runs */
    size_t own_attempt_count;
    StrBuf answer; /* of Clm_END_ANSWER, as kept */
    Instant phase_deadline;
    Instant query_deadline;
    uint32_t prepare_count;
} KeyClaim;

/* PROPOSER names this claim among all; DIGEST its request. */
void Clm_Init(KeyClaim *claim, uint32_t holders, AttemptId proposer,
              uint64_t digest, Instant deadline);
void Clm_Finish(KeyClaim *claim);

/* Clm_CHOOSE_TARGET was carried out: the first one starts the fast path. */
ClaimAction Clm_OnTargetChosen(KeyClaim *claim, AttemptId attempt, Addr node,
                               uint64_t incarnation, Instant now);
ClaimAction Clm_OnNoTarget(KeyClaim *claim, Instant now);

/* Holder number HOLDER answered the message of PHASE. */
ClaimAction Clm_OnAcceptorReply(KeyClaim *claim, uint32_t holder,
                                uint32_t phase, const RegAnswer *answer,
                                Instant now);

/* A node answered about ATTEMPT; ANSWER of Clm_FATE_ANSWERED. */
ClaimAction Clm_OnFate(KeyClaim *claim, AttemptId attempt, AttemptFate fate,
                       Str answer, Instant now);

/* The attempt that was granted did not run: Clm_CHOOSE_TARGET comes next. */
ClaimAction Clm_OnAttemptRefused(KeyClaim *claim);

/* Timeouts and pauses; call it often. */
ClaimAction Clm_Tick(KeyClaim *claim, Instant now);

#endif
