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
    uint64_t incarnation; /* of the node that is asked */
    bool interactive;
    bool idempotent;
    bool keyed;           /* its outcome may be asked for long after its end */
    bool crosses;         /* it comes from another region */
    bool nested;          /* it comes from inside a run */
    bool late;            /* it misses its objective anyway */
    uint32_t priority;    /* 0: most urgent */
    Span left;            /* until the deadline */
    Span slack;           /* it may wait for a slot so long */
    uint64_t fingerprint; /* of the request, for suspects */
    Str request_id;
    Str method;
    Str target;
    FieldList fields;
    Str body;
} CallMsg;

typedef struct {
    AttemptId id;
    uint32_t sequence; /* 0, 1, ... */
    bool last;
    uint16_t status;  /* of piece 0 */
    FieldList fields; /* of piece 0 */
    Str bytes;
    LoadReport load;
    bool bare; /* no report rides on it */
} PieceMsg;

typedef enum {
    Refusal_FULL,
    Refusal_LATE,
    Refusal_DRAINING,
    Refusal_ABSENT,
    Refusal_FENCED,
    Refusal_SUSPECT,
    Refusal_INCARNATION,
    Refusal_CUT,         /* ran, but its answer was cut short: not a proof */
    Refusal_SLOW,        /* work takes long there at this moment */
    Refusal_TURNED_AWAY, /* by the backend server: it did not run */
    Refusal_EXPIRED, /* came too late to be told from a duplicate: no proof */
    Refusal_ELSEWHERE, /* it is suspect, and runs alone at another node */
    Refusal_KINDS
} Refusal;

typedef struct {
    AttemptId id;
    Refusal reason;
    LoadReport load;
    bool bare; /* no report rides on it */
} RefusedMsg;

typedef enum {
    Fenced_NEVER,   /* never ran, and never will */
    Fenced_RUNNING, /* runs; its answer goes to who asks */
    Fenced_ENDED,   /* ended; the answer follows as pieces */
    Fenced_LOST,    /* may have run; how it ended is not known or kept */
    Fenced_KINDS
} FencedState;

typedef struct {
    AttemptId id;
    FencedState state;
    LoadReport load;
} FencedMsg;

/* Asks what became of an attempt; one that was never seen never will run. */
typedef struct {
    AttemptId id;
    uint64_t incarnation; /* of the node that is asked */
    bool keyed;
    bool stop; /* drop it if it still waits */
} FenceMsg;

/* A whole answer, as it is kept for those who ask later. */
typedef struct {
    uint16_t status;
    FieldList fields;
    Str bytes;
} AnswerMsg;

typedef struct {
    AttemptId id;
    uint32_t bytes;
} CreditMsg;

enum {
    Callmsg_FIELDS_MAX = 100,
    Callmsg_FAILED = 500, /* a status from here on tells of an error of the
                             backend server's own */
    Callmsg_PIECE_BYTES = 65536,   /* of one piece at most */
    Callmsg_WINDOW_BYTES = 262144, /* pieces not credited yet, at most */
};

/* An answer that began may take longer than its deadline, as long as it
 * moves on within this time. */
#define Callmsg_STALL Span_S(30)

void Callmsg_PackCall(Pack *pack, const CallMsg *msg);
bool Callmsg_ReadCall(Unpack *in, CallMsg *msg, Err *err);
void Callmsg_PackPiece(Pack *pack, const PieceMsg *msg);
bool Callmsg_ReadPiece(Unpack *in, PieceMsg *msg, Err *err);
void Callmsg_PackRefused(Pack *pack, const RefusedMsg *msg);
bool Callmsg_ReadRefused(Unpack *in, RefusedMsg *msg, Err *err);

/* An id as two fields of a longer message. */
void Callmsg_PutId(Pack *pack, AttemptId id);
AttemptId Callmsg_TakeId(Unpack *in);

/* Wire_CANCEL carries an id alone. */
void Callmsg_PackId(Pack *pack, WireKind kind, AttemptId id);
bool Callmsg_ReadId(Unpack *in, AttemptId *id, Err *err);
void Callmsg_PackFence(Pack *pack, const FenceMsg *msg);
bool Callmsg_ReadFence(Unpack *in, FenceMsg *msg, Err *err);

/* Not a message of its own: bytes for the ledger and the key registers. */
void Callmsg_PackAnswer(Pack *pack, const AnswerMsg *msg);
bool Callmsg_ReadAnswer(Unpack *in, AnswerMsg *msg, Err *err);
void Callmsg_PackFenced(Pack *pack, const FencedMsg *msg);
bool Callmsg_ReadFenced(Unpack *in, FencedMsg *msg, Err *err);
void Callmsg_PackCredit(Pack *pack, const CreditMsg *msg);
bool Callmsg_ReadCredit(Unpack *in, CreditMsg *msg, Err *err);

/* Wire_PING carries nothing; Wire_PONG carries the load. */
void Callmsg_PackPing(Pack *pack);
void Callmsg_PackPong(Pack *pack, const LoadReport *load);
bool Callmsg_ReadPong(Unpack *in, LoadReport *load, Err *err);

/* A load report as one nested array, also used by membermsg. */
void Callmsg_PutLoad(Pack *pack, const LoadReport *load);
void Callmsg_TakeLoad(Unpack *in, LoadReport *load);

#endif
