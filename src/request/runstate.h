/* Run, from within: the state of one attempt, for the files that carry out
 * its parts.
 */
#ifndef RUNSTATE_H
#define RUNSTATE_H

#include "request/run.h"

struct BackendAttempt {
    HshLink link; /* first: found by attempt id */
    AttemptRunner *hub;
    BackendAttempt *next;
    BackendAttempt *previous;
    NetOrigin origin;
    AttemptId id;
    RequestClass request_class;
    uint32_t priority;
    bool nested;
    bool misses_objective;
    Span queue_time_max;
    bool awaits_load; /* not decided: the backend server's word is awaited */
    Instant load_requested_at;
    Instant queue_deadline;     /* for a slot */
    uint32_t start_pace;        /* when it started; 0: not known */
    uint32_t start_concurrency; /* attempts that ran then, itself too */
    bool idempotent;
    bool keyed;
    bool cross_region; /* its answer goes to another region */
    bool detached;     /* nobody waits for its answer */
    Instant deadline;
    Instant started_at;
    uint64_t fingerprint;
    bool exclusive;        /* it is suspect: nothing else runs beside it */
    bool interrupted;      /* it lost its connection, perhaps with the backend
                              server */
    BckExchange *exchange; /* NULL while it waits */
    StrBuf method;
    StrBuf target;
    StrBuf request_id;
    StrBuf body;
    StrBuf field_text; /* names and values of fields */
    FieldList fields;
    uint32_t next_piece;
    uint16_t status;
    StrBuf answer_field_text; /* names and values of the answer's fields */
    FieldList answer_fields;
    StrBuf unsent_body;        /* of the answer, not sent yet */
    uint32_t uncredited_bytes; /* sent and not credited yet */
};

/* A new attempt at the end of the list; the caller counts it. */
BackendAttempt *Run_Add(AttemptRunner *hub, const NetOrigin *origin,
                        const CallMsg *msg, Instant now);

/* Start it; admission counts it as running already. */
void Run_StartExchange(BackendAttempt *run, Instant now);

/* Start it, let it wait, or refuse it; RUN may be gone afterwards. */
void Run_Admit(BackendAttempt *run, Instant now);

/* It waits no more, and is to be decided anew. */
void Run_Dequeue(BackendAttempt *run);

/* It waits: forget it. */
void Run_DequeueAndFree(BackendAttempt *run);

/* Whether a load report rides on an answer to ORIGIN now. */
bool Run_IncludesLoadReport(AttemptRunner *hub, const NetOrigin *origin,
                            bool crosses, Instant now);

/* Tell ORIGIN of an attempt that is no Run. */
void Run_RefuseCall(AttemptRunner *hub, const NetOrigin *origin,
                    const CallMsg *msg, Refusal reason, Instant now);

/* It will never run: the ledger knows, and its origin is told. */
void Run_Refuse(BackendAttempt *run, Refusal reason, Instant now);

/* It may have run, and its answer will not come. */
void Run_ReportLost(BackendAttempt *run, Instant now);

/* Copy FROM so that it outlives its message; TEXT holds the bytes. */
void Run_CopyFields(FieldList *to, StrBuf *text, const FieldList *from);

bool Run_IsQueued(const BackendAttempt *run);

/* Forget it. */
void Run_Free(BackendAttempt *run);

#endif
