/* Run, from within: the state of one attempt, for the files that carry out
 * its parts.
 */
#ifndef RUNSTATE_H
#define RUNSTATE_H

#include "request/run.h"

struct Run {
    HshLink link; /* first: found by attempt id */
    RunHub *hub;
    Run *next;
    Run *previous;
    NetOrigin origin;
    AttemptId id;
    RequestClass cls;
    uint32_t priority;
    bool nested;
    bool late;
    Span slack;
    bool asks; /* not decided: the backend server's word is awaited */
    Instant asked_at;
    Instant wait_until; /* for a slot */
    uint32_t pace;      /* when it started; 0: not known */
    uint32_t level;     /* attempts that ran then, itself too */
    bool idempotent;
    bool keyed;
    bool crosses;  /* its answer goes to another region */
    bool detached; /* nobody waits for its answer */
    Instant deadline;
    Instant started_at;
    uint64_t fingerprint;
    bool alone; /* it is suspect: nothing else runs beside it */
    bool cut;   /* it lost its connection, perhaps with the backend server */
    BckExchange *exchange; /* NULL while it waits */
    StrBuf method;
    StrBuf target;
    StrBuf request_id;
    StrBuf body;
    StrBuf text; /* names and values of fields */
    FieldList fields;
    uint32_t sequence;
    uint16_t status;
    StrBuf head_text; /* names and values of the answer's fields */
    FieldList head;
    StrBuf bytes;        /* of the answer, not sent yet */
    uint32_t uncredited; /* sent and not credited yet */
};

/* A new attempt at the end of the list; the caller counts it. */
Run *Run_Add(RunHub *hub, const NetOrigin *origin, const CallMsg *msg,
             Instant now);

/* Start it; admission counts it as running already. */
void Run_StartExchange(Run *run, Instant now);

/* Start it, let it wait, or refuse it; RUN may be gone afterwards. */
void Run_Decide(Run *run, Instant now);

/* It waits no more, and is to be decided anew. */
void Run_LeaveLine(Run *run);

/* It waits: forget it. */
void Run_LeaveQueue(Run *run);

/* Whether a load report rides on an answer to ORIGIN now. */
bool Run_Reports(RunHub *hub, const NetOrigin *origin, bool crosses,
                 Instant now);

/* Tell ORIGIN of an attempt that is no Run. */
void Run_RefuseId(RunHub *hub, const NetOrigin *origin, const CallMsg *msg,
                  Refusal reason, Instant now);

/* It will never run: the ledger knows, and its origin is told. */
void Run_Refuse(Run *run, Refusal reason, Instant now);

/* It may have run, and its answer will not come. */
void Run_Lose(Run *run, Instant now);

/* Copy FROM so that it outlives its message; TEXT holds the bytes. */
void Run_CopyFields(FieldList *to, StrBuf *text, const FieldList *from);

bool Run_IsWaiting(const Run *run);

/* Forget it. */
void Run_Free(Run *run);

#endif
