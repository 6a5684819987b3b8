/* Call, from within: the state of one call, for the files that carry out its
 * parts.
 */
#ifndef CALLSTATE_H
#define CALLSTATE_H

#include "request/call.h"
#include "request/hedge.h"
#include "request/pieces.h"

/* After the deadline, for what settles a call that may have run. */
#define SETTLE_GRACE Span_MS(100)

/* One try to run a call at one backend server. */
typedef struct {
    HshLink link; /* first: found by id while it is in flight */
    Call *call;
    AttemptId id; /* counter 0: not in flight */
    Addr node;
    uint64_t incarnation; /* of node */
    Instant sent_at;
    bool cross_region; /* it is at the other region */
    bool fence_sent;
    PieceSequence pieces;
} Attempt;

/* A second one, the hedge, may be in flight until one begins to answer. */
enum { Call_ATTEMPTS_MAX = 2 };

struct Call {
    CallDispatcher *dispatcher;
    Call *next;
    Call *previous;
    CallRequest request;
    CallSink sink;
    InForce *in_force; /* when it began */
    const PstRoute *route;
    Service *service;
    RetryState retry;
    Instant arrived_at;
    Instant last_sent_at; /* its last attempt; 0: none */
    Instant deadline;
    Attempt attempts[Call_ATTEMPTS_MAX];
    HedgeState hedge;
    bool backend_error; /* answered by an error of the backend server's own */
    bool settling;      /* its deadline passed, its attempt is being settled */
    ClaimSession *keyed; /* NULL: no key */
    AttemptTarget
        next_target; /* of the next attempt, while its claim is decided */
    CallReason not_run_reason; /* no attempt can be made */
    bool may_have_run;         /* an attempt of it may have run */
    uint64_t fingerprint;      /* of the request, within its service */
    /* Waiting for a backend server that is quick and has room. */
    Instant start_by_objective; /* a start until then makes the objective */
    Instant start_by_deadline;  /* a start until then makes the deadline */
    Instant retry_at;           /* the next try; 0: it does not wait */
    bool nested;                /* it comes from inside a run */
    bool cannot_finish;         /* it could not end in time wherever it ran */
    Addr rejected_by[Rty_TRIED_MAX]; /* asked since, and nothing reached their
                                    backend server */
    uint32_t rejected_by_count;
    Instant answer_deadline;   /* what has not ended then is cut */
    uint32_t sent_count;       /* attempts sent, also those turned back */
    bool wants_isolation_node; /* suspect: the one node that runs it is waited
                                  for */
    bool local_was_slow;       /* one of this region turned it back as slow */
    bool sent_cross_region;    /* another region was asked */
    Span wait_interval;        /* between two tries once it is late */
};

/* Choose a node and an id for the next attempt; false, with the reason in the
 * call, when nobody can run it now. */
bool Call_ChooseTarget(Call *call, AttemptTarget *place, Instant now);

/* Where a suspect call runs alone; NULL: it is not suspect, or its key was
 * claimed for a node, or no node can run it. */
const MbrRecord *Call_FindIsolationNode(const Call *call, Instant now);

/* Send the attempt; CALL may be gone afterwards. */
void Call_StartAttempt(Call *call, const AttemptTarget *place, Instant now);

/* Choose a node and send an attempt there, or end the call; CALL may be gone
 * afterwards. */
void Call_Dispatch(Call *call, Instant now);

/* ATTEMPT was refused before anything reached its backend server, for a
 * reason that may pass: ask elsewhere, or wait.  Its call may be gone
 * afterwards. */
void Call_Redispatch(Attempt *attempt, Instant now);

/* Try again when it is time; CALL may be gone afterwards. */
void Call_TickWaiting(Call *call, Instant now);

/* Send a second attempt elsewhere, when there is somewhere. */
void Call_SendHedge(Call *call, Instant now);

/* The one that answers, else any in flight; NULL when there is none. */
Attempt *Call_ActiveAttempt(Call *call);

/* The other one, when it is in flight, too; else NULL. */
Attempt *Call_OtherAttempt(Attempt *attempt);

/* BYTES crossed to the other region, or came from there. */
void Call_CountCrossRegion(const Attempt *attempt, size_t bytes, Instant now);

/* ATTEMPT, if it is in flight, ended as END. */
void Call_EndAttempt(Attempt *attempt, AttemptResult end, Instant now);

/* The same; its node cancels it, too. */
void Call_CancelAttempt(Attempt *attempt, AttemptResult end, Instant now);
void Call_CancelAttempts(Call *call, Instant now);

/* ATTEMPT ended without a good answer: carry out what follows.  Its call may
 * be gone afterwards. */
void Call_OnAttemptFailed(Attempt *attempt, AttemptFailure outcome,
                          Instant now);

/* ATTEMPT, all of its answer here or not, was answered by an error of the
 * backend server's own: run an idempotent call elsewhere, when there is a
 * place and the budget has a retry, or end it when it is late.  False: the
 * error is the answer. */
bool Call_FailOver(Attempt *attempt, bool whole, Instant now);

/* End the call: its attempt may have run, or did not.  CALL is gone. */
void Call_EndUnknown(Call *call, Instant now);
void Call_EndLate(Call *call, Instant now);
void Call_EndNotRun(Call *call, CallReason why, Instant now);

/* Ask the attempt's node what became of it. */
void Call_SendFence(Attempt *attempt, Instant now);

/* Take what nodes say of attempts. */
void Call_RegisterHandlers(CallDispatcher *hub);

/* Tell the sink; CALL is gone. */
void Call_End(Call *call, CallOutcome outcome, CallReason why, Instant now);

/* Ccl: claim the call's KEY before its first attempt. */
void Ccl_Start(Call *call, Str key, Instant now);

#endif
