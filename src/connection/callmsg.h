/* Callmsg: the messages of one attempt between the ingress node and the node
 * beside the chosen backend server.  Strings of a message that was read point
 * into its bytes.
 */
#ifndef CALLMSG_H
#define CALLMSG_H

#include "connection/wire.h"
#include "request/field.h"
#include "value/addr.h"
#include "value/instant.h"
#include "value/load.h"

typedef struct {
    AttemptId id;
    uint64_t target_incarnation; /* of the node that is asked */
    bool interactive;
    bool idempotent;
    bool keep_long;    /* its outcome may be asked for long after its end */
    bool cross_region; /* it comes from another region */
    bool nested;       /* it comes from inside a run */
    bool misses_objective; /* it misses its objective anyway */
    uint32_t priority;     /* 0: most urgent */
    Span time_left;        /* until the deadline */
    Span queue_time_max;   /* it may wait for a slot so long */
    uint64_t fingerprint;  /* of the request, for suspects */
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
    Str data;
    LoadReport load;
    bool load_omitted; /* no report rides on it */
} PieceMessage;

typedef enum {
    Reject_FULL,
    Reject_DEADLINE,
    Reject_DRAINING,
    Reject_NO_BACKEND,
    Reject_FENCED,
    Reject_SUSPECT,
    Reject_WRONG_INCARNATION,
    Reject_TRUNCATED,  /* ran, but its answer was cut short: not a proof */
    Reject_SLOW,       /* work takes long there at this moment */
    Reject_BY_BACKEND, /* by the backend server: it did not run */
    Reject_EXPIRED, /* came too late to be told from a duplicate: no proof */
    Reject_RUNS_ELSEWHERE, /* it is suspect, and runs alone at another node */
    Reject_REASONS
} RejectReason;

typedef struct {
    AttemptId id;
    RejectReason reason;
    LoadReport load;
    bool load_omitted; /* no report rides on it */
} CallRejectedMessage;

typedef enum {
    Fence_NEVER_RAN, /* never ran, and never will */
    Fence_RUNNING,   /* runs; its answer goes to who asks */
    Fence_ANSWERED,  /* ended; the answer follows as pieces */
    Fence_UNKNOWN,   /* may have run; how it ended is not known or kept */
    Fence_RESULTS
} FenceResult;

typedef struct {
    AttemptId id;
    FenceResult result;
    LoadReport load;
} FenceReplyMessage;

/* Asks what became of an attempt; one that was never seen never will run. */
typedef struct {
    AttemptId id;
    uint64_t target_incarnation; /* of the node that is asked */
    bool keep_long;
    bool cancel_if_queued; /* drop it if it still waits */
} FenceMessage;

/* A whole answer, as it is kept for those who ask later. */
typedef struct {
    uint16_t status;
    FieldList fields;
    Str body;
} StoredAnswer;

typedef struct {
    AttemptId id;
    uint32_t bytes;
} CreditMessage;

enum {
    Callmsg_FIELDS_MAX = 100,
    Callmsg_SERVER_ERROR_MIN = 500, /* a status from here on tells of an error
                             of the backend server's own */
    Callmsg_PIECE_BYTES = 65536,    /* of one piece at most */
    Callmsg_WINDOW_BYTES = 262144,  /* pieces not credited yet, at most */
};

/* An answer that began may take longer than its deadline, as long as it
 * moves on within this time. */
#define Callmsg_STALL_TIMEOUT Span_S(30)

void Callmsg_PackCall(Pack *pack, const CallMessage *msg);
bool Callmsg_ReadCall(Unpack *in, CallMessage *msg, Err *err);
void Callmsg_PackPiece(Pack *pack, const PieceMessage *msg);
bool Callmsg_ReadPiece(Unpack *in, PieceMessage *msg, Err *err);
void Callmsg_PackRejected(Pack *pack, const CallRejectedMessage *msg);
bool Callmsg_ReadRejected(Unpack *in, CallRejectedMessage *msg, Err *err);

/* An id as two fields of a longer message. */
void Callmsg_PutId(Pack *pack, AttemptId id);
AttemptId Callmsg_TakeId(Unpack *in);

/* Wire_CANCEL carries an id alone. */
void Callmsg_PackId(Pack *pack, MessageKind kind, AttemptId id);
bool Callmsg_ReadId(Unpack *in, AttemptId *id, Err *err);
void Callmsg_PackFence(Pack *pack, const FenceMessage *msg);
bool Callmsg_ReadFence(Unpack *in, FenceMessage *msg, Err *err);

/* Not a message of its own: bytes for the ledger and the key registers. */
void Callmsg_PackAnswer(Pack *pack, const StoredAnswer *msg);
bool Callmsg_ReadAnswer(Unpack *in, StoredAnswer *msg, Err *err);
void Callmsg_PackFenceReply(Pack *pack, const FenceReplyMessage *msg);
bool Callmsg_ReadFenceReply(Unpack *in, FenceReplyMessage *msg, Err *err);
void Callmsg_PackCredit(Pack *pack, const CreditMessage *msg);
bool Callmsg_ReadCredit(Unpack *in, CreditMessage *msg, Err *err);

/* Wire_PING carries nothing; Wire_PONG carries the load. */
void Callmsg_PackPing(Pack *pack);
void Callmsg_PackPong(Pack *pack, const LoadReport *load);
bool Callmsg_ReadPong(Unpack *in, LoadReport *load, Err *err);

/* A load report as one nested array, also used by membermsg. */
void Callmsg_PutLoad(Pack *pack, const LoadReport *load);
void Callmsg_TakeLoad(Unpack *in, LoadReport *load);

#endif
