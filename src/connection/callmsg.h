/* Callmsg: the messages of one attempt, between the ingress node of the call
 * and the node beside the chosen backend server (the target).
 *
 * The ingress node sends a CallMessage; the target replies with PieceMessages
 * or a CallRejectedMessage.  The ingress node grants more answer bytes with
 * CreditMessages, cancels with Wire_CANCEL, and after a lost connection sends
 * a FenceMessage to learn the attempt's state.  Strings of a message that was
 * read point into the bytes it was read from.
 */
#ifndef CALLMSG_H
#define CALLMSG_H

#include "connection/wire.h"
#include "process/admission/fairshare.h"
#include "request/field.h"
#include "value/addr.h"
#include "value/instant.h"
#include "value/load.h"
#include "version/regionmask.h"

typedef struct {
    AttemptId id;
    uint64_t target_incarnation; /* another start may not run it */
    bool interactive;
    bool idempotent;
    bool keep_long;        /* it has an idempotency key: its outcome may be
                              requested long after its end */
    bool cross_region;     /* the ingress node is in another region */
    bool nested;           /* the backend server beside the ingress node
                              made this request while it runs another */
    bool misses_objective; /* expected to miss its latency objective */
    uint32_t priority;     /* 0: most urgent */
    AccountShare account;  /* client account, for its share of the slots */
    Span time_left;        /* until the deadline */
    Span queue_time_max;   /* longest time to wait for a slot */
    uint64_t fingerprint;  /* of the request, for suspects */
    RegionMask barred;     /* the regions in which it may not run */
    Str request_id;
    Str method;
    Str target;
    FieldList fields;
    Str body;
} CallMessage;

typedef struct {
    AttemptId id;
    uint32_t sequence; /* 0, 1, ... */
    bool is_last;
    uint16_t status;  /* of piece 0 */
    FieldList fields; /* of piece 0 */
    Str data;         /* part of the answer's body */
    LoadReport load;
    bool load_omitted; /* no load report is piggybacked */
} PieceMessage;

/* Why the target gives no answer.  All but Reject_TRUNCATED and
 * Reject_EXPIRED prove that the attempt did not run. */
typedef enum {
    Reject_FULL,     /* no free slot, or no room in the queue or ledger */
    Reject_DEADLINE, /* it would miss its deadline */
    Reject_DRAINING,
    Reject_NO_BACKEND, /* no backend server is beside the target */
    Reject_FENCED,     /* a FenceMessage came before the attempt */
    Reject_SUSPECT,    /* the request is blamed for crashes */
    Reject_WRONG_INCARNATION,
    Reject_TRUNCATED,      /* it ran, but its answer was cut short */
    Reject_SLOW,           /* work takes long at the target at this moment */
    Reject_BY_BACKEND,     /* the backend server rejected it unprocessed */
    Reject_EXPIRED,        /* too old to be distinguished from a duplicate */
    Reject_RUNS_ELSEWHERE, /* a suspect, which another node runs exclusively */
    Reject_REASONS
} RejectReason;

typedef struct {
    AttemptId id;
    RejectReason reason;
    LoadReport load;
    bool load_omitted; /* no load report is piggybacked */
} CallRejectedMessage;

typedef enum {
    Fence_NEVER_RAN, /* never ran, and never will */
    Fence_RUNNING,   /* running; the answer goes to the sender of the fence */
    Fence_ANSWERED,  /* ended; the answer follows as pieces */
    Fence_UNKNOWN,   /* may have run; its outcome is not known or not kept */
    Fence_RESULTS
} FenceResult;

typedef struct {
    AttemptId id;
    FenceResult result;
    LoadReport load;
} FenceReplyMessage;

/* Asks for the state of an attempt.  The target never runs an attempt that it
 * had not seen before the fence. */
typedef struct {
    AttemptId id;
    uint64_t target_incarnation;
    bool keep_long;        /* as in CallMessage */
    bool cancel_if_queued; /* drop the attempt if it still waits for a slot */
    uint32_t next_piece;   /* of the answer, as received; 0: none came */
    /* of these pieces, bytes that the caller has not taken yet */
    uint32_t uncredited_bytes;
} FenceMessage;

/* A whole answer, as kept for later requests for it. */
typedef struct {
    uint16_t status;
    FieldList fields;
    Str body;
} StoredAnswer;

/* Flow control: the ingress node consumed BYTES of the answer. */
typedef struct {
    AttemptId id;
    uint32_t bytes;
} CreditMessage;

/* Before an attempt whose body has BYTES: asks whether it may come.  The reply
 * is Wire_GRANT, an id, or a CallRejectedMessage. */
typedef struct {
    AttemptId id;
    uint64_t bytes;
} OfferMessage;

enum {
    Callmsg_FIELDS_MAX = 100,
    Callmsg_SERVER_ERROR_MIN = 500, /* a status from here on reports an error
                                       of the backend server itself */
    Callmsg_PIECE_BYTES = 65536,    /* of one piece at most */
    Callmsg_WINDOW_BYTES = 262144,  /* pieces not credited yet, at most */
};

/* An answer that began may exceed the deadline as long as more of it arrives
 * within this time. */
#define Callmsg_STALL_TIMEOUT Span_S(30)

void Callmsg_PackCall(Pack *pack, const CallMessage *msg);

/* As Callmsg_PackCall, without the bytes of the body, which come last. */
void Callmsg_PackCallHead(Pack *pack, const CallMessage *msg);
bool Callmsg_ReadCall(Unpack *in, CallMessage *msg, Err *err);
void Callmsg_PackPiece(Pack *pack, const PieceMessage *msg);
bool Callmsg_ReadPiece(Unpack *in, PieceMessage *msg, Err *err);
void Callmsg_PackRejected(Pack *pack, const CallRejectedMessage *msg);
bool Callmsg_ReadRejected(Unpack *in, CallRejectedMessage *msg, Err *err);

/* An attempt id as two fields of a longer message. */
void Callmsg_PutId(Pack *pack, AttemptId id);
AttemptId Callmsg_TakeId(Unpack *in);

/* A message of KIND with an attempt id alone (Wire_CANCEL). */
void Callmsg_PackId(Pack *pack, MessageKind kind, AttemptId id);
bool Callmsg_ReadId(Unpack *in, AttemptId *id, Err *err);
void Callmsg_PackFence(Pack *pack, const FenceMessage *msg);
bool Callmsg_ReadFence(Unpack *in, FenceMessage *msg, Err *err);

/* Not a message: the stored form of an answer, for the attempt ledger and the
 * key registers. */
void Callmsg_PackAnswer(Pack *pack, const StoredAnswer *msg);
bool Callmsg_ReadAnswer(Unpack *in, StoredAnswer *msg, Err *err);
void Callmsg_PackFenceReply(Pack *pack, const FenceReplyMessage *msg);
bool Callmsg_ReadFenceReply(Unpack *in, FenceReplyMessage *msg, Err *err);
void Callmsg_PackCredit(Pack *pack, const CreditMessage *msg);
bool Callmsg_ReadCredit(Unpack *in, CreditMessage *msg, Err *err);
void Callmsg_PackOffer(Pack *pack, const OfferMessage *msg);
bool Callmsg_ReadOffer(Unpack *in, OfferMessage *msg, Err *err);

/* Wire_PING has no fields; Wire_PONG carries the load. */
void Callmsg_PackPing(Pack *pack);
void Callmsg_PackPong(Pack *pack, const LoadReport *load);
bool Callmsg_ReadPong(Unpack *in, LoadReport *load, Err *err);

/* A load report as one nested array, also used by membermsg. */
void Callmsg_PutLoad(Pack *pack, const LoadReport *load);
void Callmsg_TakeLoad(Unpack *in, LoadReport *load);

#endif
