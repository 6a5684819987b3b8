/* Clm: decides whether a call with an idempotency key may run.  The KeyClaim
 * is the proposer of a Paxos instance for that key; the acceptors
 * (process/control/register.h) each hold the key's register.  The claim ends
 * when this call may run, gets the answer of an earlier call with the key, or
 * fails.
 *
 * The claim sends nothing itself.  Each event function returns one
 * ClaimAction, which the caller (keyed.c) carries out; the first is
 * Clm_CHOOSE_TARGET after Clm_Init.  Clm_END_NOT_RUN is returned only after a
 * majority of the acceptors replied and each attempt that they named is known
 * never to run; or after a majority agreed or had no room, and no acceptor
 * named another call's attempt.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "process/control/register.h"

typedef enum {
    Clm_WAIT,         /* nothing until the next event */
    Clm_SEND_ACCEPT,  /* send proposal to every acceptor */
    Clm_SEND_PREPARE, /* ask every acceptor to promise ballot */
    Clm_QUERY_FATE,   /* ask queried.node what became of queried.attempt */
    /* choose a node, then call Clm_OnTargetChosen or Clm_OnNoTarget */
    Clm_CHOOSE_TARGET,
    Clm_START_ATTEMPT, /* a majority accepted: run proposal.attempt */
    Clm_END_ANSWER,    /* a call with the key ended: return answer */
    Clm_END_RAN,       /* a call with the key ran; its answer is not kept */
    Clm_END_MISMATCH,  /* the key was used for another request */
    Clm_END_NOT_RUN,   /* nothing ran, and no node can run it now */
    Clm_END_UNKNOWN    /* an attempt may have run; outcome unknown */
} ClaimAction;

/* What became of an attempt, as the node beside its backend server knows. */
typedef enum {
    Clm_FATE_NEVER_RAN,      /* never ran and, being fenced, never will */
    Clm_FATE_RUNNING,        /* runs or is queued now */
    Clm_FATE_ANSWERED,       /* ran; the answer comes with it */
    Clm_FATE_ANSWER_DROPPED, /* ran; its answer is no longer kept */
    Clm_FATE_UNKNOWN,        /* may have run; how it ended is unknown */
    Clm_FATE_COUNT
} AttemptFate;

enum {
    Clm_ACCEPTORS_MAX = 7,
    /* attempts of other calls that one claim can settle */
    Clm_COMPETITORS_MAX = 8,
    Clm_OWN_ATTEMPTS_MAX = 16 /* attempts that one claim can propose */
};

typedef enum {
    Clm_FAST_ACCEPTING,  /* round 1, without a prepare phase, was sent */
    Clm_PREPARING,       /* promises are awaited */
    Clm_ACCEPTING,       /* accepts of a later round are awaited */
    Clm_QUERYING_FATE,   /* the fate of queried.attempt is awaited */
    Clm_CHOOSING_TARGET, /* the caller chooses a node */
    Clm_BACKING_OFF,     /* before the next prepare or fate query */
    Clm_GRANTED,         /* the attempt may run */
    Clm_FINISHED         /* a Clm_END_... action was returned */
} ClaimState;

typedef struct {
    uint32_t acceptor_count;
    Instant deadline; /* the claim ends as unknown */
    ClaimState state;
    /* number of the last message to the acceptors; replies echo it */
    uint32_t phase;
    PaxosBallot ballot;
    /* highest round that was used or that an acceptor promised */
    uint64_t highest_round;
    RegisterValue proposal; /* what this call wants accepted, under ballot */
    bool no_target; /* the caller found no node that can run the call */
    /* a majority agreed, and no granted attempt was refused since */
    bool majority_heard;
    /* 1: that acceptor replied in this phase */
    uint8_t answered[Clm_ACCEPTORS_MAX];
    /* replies in this phase: Reg_OK, Reg_FULL, and any other verdict */
    uint32_t agree_count;
    uint32_t full_count;
    uint32_t reject_count;
    /* Attempts of other calls with the key that acceptors hold.  Each must
     * be known never to run before this call may run. */
    RegisterValue competitors[Clm_COMPETITORS_MAX];
    size_t competitor_count;
    RegisterValue queried; /* attempt of the current or next fate query */
    /* query the fate after the back-off; false: prepare */
    bool query_after_backoff;
    /* Attempts that this call proposed.  None of them runs while it claims. */
    AttemptId own_attempts[Clm_OWN_ATTEMPTS_MAX];
    size_t own_attempt_count;
    StrBuf answer; /* of Clm_END_ANSWER, encoded by Callmsg_PackAnswer */
    Instant phase_deadline; /* end of the current wait */
    /* no fate query of queried is sent after this time; 0: none was sent */
    Instant query_deadline;
    uint32_t prepare_count; /* prepare phases so far */
} KeyClaim;

/* ACCEPTORS is how many acceptors there are, at most Clm_ACCEPTORS_MAX.
 * PROPOSER identifies this claim in the whole fleet and orders its ballots.
 * FINGERPRINT is that of the request: a key identifies one request only. */
void Clm_Init(KeyClaim *claim, uint32_t acceptors, AttemptId proposer,
              uint64_t fingerprint, Instant deadline);
void Clm_Finish(KeyClaim *claim);

/* Clm_CHOOSE_TARGET was carried out.  ATTEMPT is to run at NODE, whose
 * process has INCARNATION; the first such attempt uses the fast path. */
ClaimAction Clm_OnTargetChosen(KeyClaim *claim, AttemptId attempt, Addr node,
                               uint64_t incarnation, Instant now);

/* Clm_CHOOSE_TARGET was carried out, and no node can run the call now. */
ClaimAction Clm_OnNoTarget(KeyClaim *claim, Instant now);

/* Acceptor number ACCEPTOR, counted from 0, replied to the message of
 * PHASE.  Late and duplicate replies are ignored. */
ClaimAction Clm_OnAcceptorReply(KeyClaim *claim, uint32_t acceptor,
                                uint32_t phase, const RegisterReply *reply,
                                Instant now);

/* A node reported the fate of ATTEMPT.  ANSWER is used with Clm_FATE_ANSWERED
 * only. */
ClaimAction Clm_OnFate(KeyClaim *claim, AttemptId attempt, AttemptFate fate,
                       Str answer, Instant now);

/* The granted attempt was refused and never ran.  Returns
 * Clm_CHOOSE_TARGET. */
ClaimAction Clm_OnAttemptRefused(KeyClaim *claim);

/* Checks timeouts and back-offs; call it regularly. */
ClaimAction Clm_Tick(KeyClaim *claim, Instant now);

#endif
