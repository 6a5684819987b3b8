/* The state of one call and its attempts, shared by the files that implement
 * call.h: call.c (start and end), callplacement.c (choice of a target),
 * callattempt.c (sending and ending attempts, retries), callhedge.c (second
 * attempts), callanswer.c (messages from nodes), callclaim.c (idempotency
 * keys) and callcredit.c (credit of accounts).
 *
 * Call_Dispatch chooses a target and starts an attempt, or makes the call
 * wait.  A function that may end the call says so: CALL and its attempts are
 * freed then.
 */
#ifndef CALLSTATE_H
#define CALLSTATE_H

#include "request/call.h"
#include "request/hedge.h"
#include "request/pieces.h"

/* Time after the deadline to find out whether a call ran. */
#define SETTLE_GRACE Span_MS(100)

/* Time between two fences for an attempt that still runs. */
#define FENCE_INTERVAL Span_MS(500)

/* One attempt to run a call at one backend server. */
typedef struct {
    HashLink link; /* first member; in attempts_by_id while in flight */
    Call *call;
    AttemptId id; /* counter 0: not in flight */
    Addr node;
    uint64_t incarnation; /* of node */
    Instant sent_at;
    bool is_hedge;     /* sent while another attempt was in flight */
    bool cross_region; /* node is in another region */
    Instant asked_at;  /* the last fence; 0: none */
    bool is_offered;   /* its large body waits to be granted */
    PieceSequence pieces;
    uint32_t uncredited_bytes; /* of the pieces; the caller has not taken
                                  them yet */
} Attempt;

/* The first attempt and a hedge; one remains when an answer begins. */
enum { Call_ATTEMPTS_MAX = 2 };

struct Call {
    CallDispatcher *dispatcher;
    ListLink link; /* in the dispatcher's list */
    Call **handle; /* of the front end; NULL once the call is freed */
    CallRequest request;
    CallSink sink;
    SharedPreset *in_force; /* when the call started; a reference */
    const PresetRoute *route;
    const PresetAccount *account; /* NULL: the call has none */
    uint64_t account_id;          /* with a limit; 0: without */
    Credit credit;                /* for the next attempt, if has_credit */
    Instant credit_wait_ends; /* waits for credit until then; 0: does not */
    ListLink credit_link;     /* in credit_waiters while it waits */
    Service *service;
    RegionMask barred; /* regions in which it may not run */
    RetryState retry;
    Instant arrived_at;
    Instant last_sent_at; /* the last attempt; 0: none */
    Instant deadline;
    Attempt attempts[Call_ATTEMPTS_MAX];
    HedgeState hedge;
    bool has_credit;
    bool hedge_withheld; /* at least once; the first reason is counted */
    bool backend_error;  /* the answer is an error of the backend server */
    bool settling; /* past the deadline; a fence was sent for the outcome */
    ClaimSession *claim_session; /* NULL: no idempotency key */
    /* node and id of the next attempt, while the claim is decided */
    AttemptTarget next_target;
    CallReason not_run_reason; /* why no attempt can be made */
    bool may_have_run;         /* an earlier attempt may have run */
    uint64_t fingerprint;      /* of the request, without its fields */
    /* How long the call may wait until a fast backend server has room.  Both
     * start times are 0 for a route without an objective or with keys. */
    Instant start_by_objective; /* latest start that meets the objective */
    Instant start_by_deadline;  /* latest start that meets the deadline */
    Instant retry_at;           /* next dispatch; 0: the call does not wait */
    bool nested; /* made by a run of the backend server beside this node */
    uint64_t duration_key; /* of the estimate of its duration */
    bool cannot_finish; /* too little time is left for a call of the route */
    bool is_trial; /* sent although the estimate says that it cannot finish */
    /* Nodes that rejected the call before their backend server saw it, since
     * the call last waited. */
    Addr rejected_by[Rty_TRIED_MAX];
    uint32_t rejected_by_count;
    Instant answer_deadline;   /* the answer is cut off then */
    uint32_t sent_count;       /* attempts sent, rejected ones included */
    bool wants_exclusive_node; /* waits for the exclusive node */
    /* since the call last waited, a node of this region rejected it as slow */
    bool local_was_slow;
    bool sent_cross_region; /* an attempt went to another region */
    Span wait_interval;     /* back-off between dispatches; 0: none yet */
};

/* Chooses the node and id of the next attempt.  Returns false and sets CALL's
 * not_run_reason when no node can run the call now. */
bool Call_ChooseTarget(Call *call, AttemptTarget *target, Instant now);

/* The node that runs a suspect call exclusively.  NULL: the call is not
 * suspect, it has an idempotency key (the claim names its node), or no node
 * can run it. */
const MemberRecord *Call_FindExclusiveNode(const Call *call, Instant now);

/* Whether CALL may start no attempt because this node stops soon. */
bool Call_IsTooLate(const Call *call);

/* Sends an attempt to TARGET.  May end CALL. */
void Call_StartAttempt(Call *call, const AttemptTarget *target, Instant now);

/* The node of ATTEMPT has room for the body that was offered: sends all of it.
 * May end the call. */
void Call_SendGranted(Attempt *attempt, Instant now);

/* Sends an attempt whose offer no reply came to for long.  Returns whether
 * there was one; CALL may have ended then. */
bool Call_SendUngranted(Call *call, Instant now);

/* Chooses a target and sends an attempt; without a target, CALL waits or ends.
 * May end CALL. */
void Call_Dispatch(Call *call, Instant now);

/* ATTEMPT was rejected before the request reached its backend server, for a
 * transient reason: dispatches the call to another node, or makes it wait.
 * The attempt does not count as a retry.  May end the call. */
void Call_Redispatch(Attempt *attempt, Instant now);

/* ATTEMPT was lost on the way to its node, which answers again: dispatches the
 * call anew, to that node or another one.  The attempt does not count as a
 * retry.  May end the call. */
void Call_SendAgain(Attempt *attempt, Instant now);

/* Dispatches a waiting call when retry_at has come.  May end CALL. */
void Call_TickWaiting(Call *call, Instant now);

/* Arms the hedge when the call starts (callhedge.c). */
void Call_InitHedge(Call *call, Instant now);

/* Sends a second attempt when it is due, unless the hedge decider or the
 * budgets withhold it.  May end CALL. */
void Call_HedgeIfDue(Call *call, Instant now);

/* The hedge of CALL was rejected before its backend server saw it: another one
 * may be sent at once. */
void Call_OnHedgeRejected(Call *call, Instant now);

/* An attempt in flight; the one that answers, if an answer has begun.  NULL:
 * no attempt is in flight. */
Attempt *Call_ActiveAttempt(Call *call);

/* The other attempt of the same call; NULL: it is not in flight. */
Attempt *Call_OtherAttempt(Attempt *attempt);

/* Counts BYTES that ATTEMPT sent to or received from another region; none if
 * its node is in this region. */
void Call_CountCrossRegion(const Attempt *attempt, size_t bytes, Instant now);

/* Ends ATTEMPT, if it is in flight, and reports RESULT to placement. */
void Call_EndAttempt(Attempt *attempt, AttemptResult result, Instant now);

/* Like Call_EndAttempt, and also asks the node to cancel the attempt. */
void Call_CancelAttempt(Attempt *attempt, AttemptResult result, Instant now);

/* Cancels all attempts of CALL that are in flight. */
void Call_CancelAttempts(Call *call, Instant now);

/* ATTEMPT ended without a good answer: retries, fences or ends the call as the
 * retry decider says.  May end the call. */
void Call_OnAttemptFailed(Attempt *attempt, AttemptFailure failure,
                          Instant now);

/* The backend server answered ATTEMPT with an error; COMPLETE: the whole
 * answer has arrived.  Retries an idempotent call elsewhere when there is a
 * target and the retry budget allows it, and ends the call when its deadline
 * has passed.  Returns false when the error is to be passed to the caller.
 * May end the call. */
bool Call_FailOver(Attempt *attempt, bool complete, Instant now);

/* End CALL: Call_EndUnknown when an attempt may have run, Call_EndLate also
 * cancels the attempts at their nodes, Call_EndNotRun when no attempt ran.
 * With an idempotency key, Call_EndNotRun ends the claim, which then ends the
 * call. */
void Call_EndUnknown(Call *call, Instant now);
void Call_EndLate(Call *call, Instant now);
void Call_EndNotRun(Call *call, CallReason reason, Instant now);

/* Asks the attempt's node whether the attempt ran.  A node that has not seen
 * it will never run it. */
void Call_SendFence(Attempt *attempt, Instant now);

/* Sends another fence for each attempt of CALL that was asked about and has
 * not begun to answer.  The node answers over the connection of the fence that
 * it read last, which need not be the one sent last: that of a connection
 * closed since may be read behind it. */
void Call_AskAgain(Call *call, Instant now);

/* Registers the handlers of messages about attempts. */
void Call_RegisterHandlers(CallDispatcher *dispatcher);

/* Frees CALL and reports the end to its sink. */
void Call_End(Call *call, CallOutcome outcome, CallReason reason, Instant now);

/* Claims the idempotency KEY before the first attempt (callclaim.c). */
void Ccl_Start(Call *call, Str key, Instant now);

/* Claims the key of CALL, or dispatches it, once it has credit.  May end
 * CALL. */
void Call_Proceed(Call *call, Instant now);

/* Credit of accounts (callcredit.c).  Ccr_Obtain returns true when CALL needs
 * none or has it; else CALL waits and proceeds later, or it has ended. */
bool Ccr_Obtain(Call *call, Instant now);

/* Whether CALL may run once more, as far as is known here: its account is not
 * at its limit. */
bool Ccr_MayRunAgain(Call *call, Instant now);

/* Takes credit for a hedge; false when it is not here. */
bool Ccr_TakeForHedge(Call *call, Instant now);

/* The attempt for which CALL had credit may have run. */
void Ccr_OnSpent(Call *call);

/* CALL ends; nothing of it ran with the credit that it has. */
void Ccr_PutBack(Call *call, Instant now);

/* Takes CALL out of the waiting ones. */
void Ccr_StopWaiting(Call *call);

#endif
