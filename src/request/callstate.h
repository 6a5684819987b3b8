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
    Instant at;
    bool crosses; /* it is at the other region */
    bool fencing;
    Pcs pieces;
} Attempt;

/* A second one, the hedge, may be in flight until one begins to answer. */
enum { Call_ATTEMPTS = 2 };

struct Call {
    CallHub *hub;
    Call *next;
    Call *previous;
    CallRequest request;
    CallSink sink;
    InForce *in_force; /* when it began */
    const PstRoute *route;
    Service *service;
    Rty retry;
    Instant began_at;
    Instant sent_at; /* its last attempt; 0: none */
    Instant deadline;
    Attempt attempts[Call_ATTEMPTS];
    Hdg hedge;
    bool failed; /* answered by an error of the backend server's own */
    bool late;   /* its deadline passed, its attempt is being settled */
    ClaimSession *keyed; /* NULL: no key */
    AttemptTarget place; /* of the next attempt, while its claim is decided */
    CallWhy why;         /* no attempt can be made */
    bool doubt;          /* an attempt of it may have run */
    uint64_t digest;     /* of the request, within its service */
    /* Waiting for a backend server that is quick and has room. */
    Instant slack_until;         /* a start until then makes the objective */
    Instant last_start;          /* a start until then makes the deadline */
    Instant park_until;          /* the next try; 0: it does not wait */
    bool nested;                 /* it comes from inside a run */
    bool hopeless;               /* it could not end in time wherever it ran */
    Addr refused[Rty_TRIED_MAX]; /* asked since, and nothing reached their
                                    backend server */
    uint32_t refused_count;
    Instant answer_until; /* what has not ended then is cut */
    uint32_t asked;       /* attempts sent, also those turned back */
    bool seeks_turn; /* suspect: the one node that runs it is waited for */
    bool met_slow;   /* one of this region turned it back as slow */
    bool went_away;  /* another region was asked */
    Span park;       /* between two tries once it is late */
};

/* Choose a node and an id for the next attempt; false, with the reason in the
 * call, when nobody can run it now. */
bool Call_ChoosePlace(Call *call, AttemptTarget *place, Instant now);

/* Where a suspect call runs alone; NULL: it is not suspect, or its key was
 * claimed for a node, or no node can run it. */
const MbrRecord *Call_FindTurn(const Call *call, Instant now);

/* Send the attempt; CALL may be gone afterwards. */
void Call_StartAttempt(Call *call, const AttemptTarget *place, Instant now);

/* Choose a node and send an attempt there, or end the call; CALL may be gone
 * afterwards. */
void Call_MakeAttempt(Call *call, Instant now);

/* ATTEMPT was refused before anything reached its backend server, for a
 * reason that may pass: ask elsewhere, or wait.  Its call may be gone
 * afterwards. */
void Call_OnTurnedBack(Attempt *attempt, Instant now);

/* Try again when it is time; CALL may be gone afterwards. */
void Call_TickParked(Call *call, Instant now);

/* Send a second attempt elsewhere, when there is somewhere. */
void Call_Hedge(Call *call, Instant now);

/* The one that answers, else any in flight; NULL when there is none. */
Attempt *Call_Flying(Call *call);

/* The other one, when it is in flight, too; else NULL. */
Attempt *Call_Other(Attempt *attempt);

/* BYTES crossed to the other region, or came from there. */
void Call_CountCrossing(const Attempt *attempt, size_t bytes, Instant now);

/* ATTEMPT, if it is in flight, ended as END. */
void Call_EndAttempt(Attempt *attempt, AttemptResult end, Instant now);

/* The same; its node cancels it, too. */
void Call_CancelAttempt(Attempt *attempt, AttemptResult end, Instant now);
void Call_CancelAttempts(Call *call, Instant now);

/* ATTEMPT ended without a good answer: carry out what follows.  Its call may
 * be gone afterwards. */
void Call_Decide(Attempt *attempt, RtyOutcome outcome, Instant now);

/* ATTEMPT, all of its answer here or not, was answered by an error of the
 * backend server's own: run an idempotent call elsewhere, when there is a
 * place and the budget has a retry, or end it when it is late.  False: the
 * error is the answer. */
bool Call_FailOver(Attempt *attempt, bool whole, Instant now);

/* End the call: its attempt may have run, or did not.  CALL is gone. */
void Call_GiveUpUnknown(Call *call, Instant now);
void Call_GiveUpLate(Call *call, Instant now);
void Call_GiveUpNotRun(Call *call, CallWhy why, Instant now);

/* Ask the attempt's node what became of it. */
void Call_SendFence(Attempt *attempt, Instant now);

/* Take what nodes say of attempts. */
void Call_Listen(CallHub *hub);

/* Tell the sink; CALL is gone. */
void Call_End(Call *call, CallOutcome outcome, CallWhy why, Instant now);

/* Ccl: claim the call's KEY before its first attempt. */
void Ccl_Start(Call *call, Str key, Instant now);

#endif
