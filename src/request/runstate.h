/* The state of one attempt at the node beside its backend server, and the
 * functions that run.c (messages, admission), runqueue.c (the order of the
 * queue, who gives way), runexchange.c (the exchange with the
 * backend server), runreply.c (what ingress nodes are told), runcold.c (the
 * rate of a cold backend server), answer.c and crash.c share.  Private to
 * these files; everything else uses run.h.
 *
 * An attempt is in one of four states: it awaits the backend server's load
 * (awaits_load), it is queued (Run_IsQueued), it runs (exchange is set), or
 * its exchange was interrupted and the connect probe decides (interrupted).
 */
#ifndef RUNSTATE_H
#define RUNSTATE_H

#include "request/run.h"

struct BackendAttempt {
    HashLink link; /* must be the first member; in attempts_by_id */
    AttemptRunner *runner;
    ListLink list_link; /* in the runner's list */
    NetOrigin origin;   /* the node that the answer goes to */
    AttemptId id;
    RequestClass request_class;
    uint32_t priority; /* 0: most urgent */
    AccountShare account;
    /* the request was made by one that this backend server is still running;
     * goes first */
    bool nested;
    bool misses_objective; /* the call already misses its latency objective */
    /* longest time to wait for a slot; 0: until the deadline */
    Span queue_time_max;
    /* admission has not been asked yet: the backend server's load is
     * awaited */
    bool awaits_load;
    Instant load_requested_at;
    /* latest time to wait for a slot, when queue_time_max is not 0 */
    Instant queue_deadline;
    /* duration of work at the start, in percent of the usual; 0: not known */
    uint32_t start_pace;
    /* attempts running after the start, this one included */
    uint32_t start_concurrency;
    bool idempotent; /* may run more than once */
    /* made for an idempotency key: the ledger keeps the outcome for long */
    bool keyed;
    bool cross_region;     /* the ingress node is in another region */
    bool detached;         /* no node waits for the answer */
    bool origin_lost;      /* a piece could not be sent: the connection of the
                              origin has ended */
    Instant call_deadline; /* of the call, as it came */
    /* the same; once a piece was sent, Callmsg_STALL_TIMEOUT after the last
     * piece */
    Instant deadline;
    Instant started_at;
    /* of the request; suspects are listed by it */
    uint64_t fingerprint;
    RegionMask barred; /* the regions in which it may not run */
    /* suspected of crashing backend servers: runs while nothing else runs */
    bool exclusive;
    /* The connection ended before the whole answer came; the backend server
     * may have crashed. */
    bool interrupted;
    bool blamed;               /* for the crash that interrupted it */
    BackendExchange *exchange; /* NULL: not running */
    StrBuf method;
    StrBuf target;
    StrBuf request_id;
    Str body;            /* in body_text or in message */
    StrBuf body_text;    /* a copy of a small body */
    NetMessage *message; /* that brought a large body; NULL: small */
    StrBuf field_text;   /* bytes of the strings in fields */
    FieldList fields;
    uint32_t next_piece; /* number of the next piece; 0: nothing was sent */
    uint16_t status;     /* HTTP status of the answer; 0: no head came yet */
    StrBuf answer_field_text; /* bytes of the strings in answer_fields */
    FieldList answer_fields;
    size_t held;        /* of the budget */
    StrBuf unsent_body; /* body bytes of the answer that were not sent yet */
    /* sent and not credited by the ingress node yet */
    uint32_t uncredited_bytes;
};

/* Appends a new attempt with copies of MSG's strings.  The caller then asks
 * admission for a slot, or a place in the queue, on its behalf. */
BackendAttempt *Run_Add(AttemptRunner *runner, const NetOrigin *origin,
                        const CallMessage *msg, Instant now);

/* Sends the request to the backend server.  Admission must already count
 * the attempt as running.  ATTEMPT is refused and freed if no exchange can
 * be started. */
void Run_StartExchange(BackendAttempt *attempt, Instant now);

/* Reports to admission that ATTEMPT, which ran, has ended. */
void Run_ReportEnd(const BackendAttempt *attempt, bool failed, Instant now);

/* The check of Bck_SetResendCheck; CONTEXT is the AttemptRunner. */
bool Run_MayResend(void *context, bool may_still_run, Instant now);

/* The NetPongCallback; CONTEXT is the AttemptRunner. */
void Run_OnOriginPong(void *context, const NetOrigin *origin);

/* Asks admission, then starts, queues or refuses the attempt.  ATTEMPT may
 * be freed. */
void Run_Admit(BackendAttempt *attempt, Instant now);

/* The queued attempt of that class that starts next (runqueue.c); NULL: none
 * is queued. */
BackendAttempt *Run_FindNextQueued(AttemptRunner *runner,
                                   RequestClass request_class, Instant now);

/* Admission refused ATTEMPT for lack of room: queues it in place of a queued
 * attempt that would start after it and gives way, which is refused.  Returns
 * false when there is none, or ATTEMPT would start too late all the same. */
bool Run_Displace(BackendAttempt *attempt, Instant now);

/* What admission is asked about ATTEMPT. */
AdmissionRequest Run_GetAdmissionRequest(const BackendAttempt *attempt,
                                         Instant now);

/* Removes ATTEMPT, which is queued or awaits the load, from the counts of
 * waiting attempts.  It stays in the list; the caller decides about it again
 * or frees it. */
void Run_Dequeue(BackendAttempt *attempt);

/* Run_Dequeue and Run_Free.  Reports to neither the ledger nor the origin. */
void Run_DequeueAndFree(BackendAttempt *attempt);

/* Sends MESSAGE to ORIGIN, and waits at a stop until that node has it.
 * Returns false when the connection has ended. */
bool Run_AnswerOrigin(AttemptRunner *runner, const NetOrigin *origin,
                      Str message, Instant now);

/* True when a load report is to be piggybacked on the answer to ORIGIN that
 * is sent now.  CROSS_REGION: ORIGIN is in another region. */
bool Run_IncludesLoadReport(AttemptRunner *runner, const NetOrigin *origin,
                            bool cross_region, Instant now);

/* Sends ORIGIN the refusal of MSG, for which there is no BackendAttempt.  The
 * caller updates the ledger if needed. */
void Run_RefuseCall(AttemptRunner *runner, const NetOrigin *origin,
                    const CallMessage *msg, RejectReason reason, Instant now);

/* Records in the ledger that the attempt never ran and never will, and
 * sends its origin the refusal unless it is detached.  The caller frees
 * ATTEMPT. */
void Run_Refuse(BackendAttempt *attempt, RejectReason reason, Instant now);

/* Records in the ledger that the attempt may have run and its outcome is
 * unknown, and reports that to its origin unless it is detached.  The caller
 * frees ATTEMPT. */
void Run_ReportLost(BackendAttempt *attempt, Instant now);

/* Counts in the budget what ATTEMPT keeps now.  Returns false, and counts
 * nothing, when there is no room. */
bool Run_Hold(BackendAttempt *attempt);

/* The same, room or not. */
void Run_ForceHold(BackendAttempt *attempt);

/* Copies the fields of FROM to TO.  The names and values are copied into
 * TEXT, whose earlier content is dropped; TO points into TEXT. */
void Run_CopyFields(FieldList *to, StrBuf *text, const FieldList *from);

/* True when the attempt waits for a slot, or to run exclusively. */
bool Run_IsQueued(const BackendAttempt *attempt);

/* The bound on what a cold backend server gets (runcold.c): sets it from the
 * service of the backend server (NULL: none), takes the word of a load query
 * that has ended, tells whether to ask before an attempt starts, and asks for
 * those that wait. */
void Run_SetColdBound(AttemptRunner *runner, const PresetService *service);
void Run_OnColdWord(AttemptRunner *runner, Instant now);
bool Run_NeedsColdWord(const AttemptRunner *runner, Instant now);
void Run_TickCold(AttemptRunner *runner, Instant now);

/* Removes the attempt from the runner and frees it.  Its exchange must have
 * ended or be cancelled. */
void Run_Free(BackendAttempt *attempt);

#endif
