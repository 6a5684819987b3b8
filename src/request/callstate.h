/* Call, from within: the state of one call, for the files that carry out its
 * parts.
 */
#ifndef CALLSTATE_H
#define CALLSTATE_H

#include "request/call.h"
#include "request/pieces.h"

/* After the deadline, for what settles a call that may have run. */
#define SETTLE_GRACE Span_MS(100)

struct Call {
    HshLink link; /* first: found by attempt while one is in flight */
    CallHub *hub;
    Call *next;
    Call *previous;
    CallRequest request;
    CallSink sink;
    InForce *in_force; /* when it began */
    const PstRoute *route;
    Service *service;
    Rty retry;
    Instant deadline;
    bool failed;       /* answered by an error of the backend server's own */
    bool crosses;      /* the attempt is at the other region */
    AttemptId attempt; /* the one in flight; counter 0: none */
    Addr node;
    uint64_t incarnation; /* of node */
    Instant attempt_at;
    Pcs pieces;
    bool fencing;
    bool late;       /* its deadline passed, its attempt is being settled */
    Keyed *keyed;    /* NULL: no key */
    KeyPlace place;  /* of the next attempt, while its claim is decided */
    CallWhy why;     /* no attempt can be made */
    bool doubt;      /* an attempt of it may have run */
    uint64_t digest; /* of the request, within its service */
};

/* Choose a node and an id for the next attempt; false, with the reason in the
 * call, when nobody can run it now. */
bool Call_ChoosePlace(Call *call, KeyPlace *place, Instant now);

/* Send the attempt; CALL may be gone afterwards. */
void Call_StartAttempt(Call *call, const KeyPlace *place, Instant now);

/* Choose a node and send an attempt there, or end the call; CALL may be gone
 * afterwards. */
void Call_MakeAttempt(Call *call, Instant now);

/* BYTES of the call crossed to the other region, or came from there. */
void Call_CountCrossing(Call *call, size_t bytes, Instant now);

/* The attempt in flight, if any, ended as END. */
void Call_EndAttempt(Call *call, PlcEnd end, Instant now);

/* An attempt ended without a good answer: carry out what follows.  CALL may
 * be gone afterwards. */
void Call_Decide(Call *call, RtyOutcome outcome, Instant now);

/* End the call: its attempt may have run, or did not.  CALL is gone. */
void Call_GiveUpUnknown(Call *call, Instant now);
void Call_GiveUpNotRun(Call *call, CallWhy why, Instant now);

/* Tell the attempt's node to cancel it, or ask what became of it. */
void Call_SendId(Call *call, WireKind kind, Instant now);
void Call_SendFence(Call *call, Instant now);

/* Take what nodes say of attempts. */
void Call_Listen(CallHub *hub);

/* Tell the sink; CALL is gone. */
void Call_End(Call *call, CallOutcome outcome, CallWhy why);

/* Ccl: claim the call's KEY before its first attempt. */
void Ccl_Start(Call *call, Str key, Instant now);

#endif
