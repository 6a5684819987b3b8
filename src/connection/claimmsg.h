/* Claimmsg: the messages of calls with an idempotency key.
 *
 * The node that claims a key sends a RegisterRequestMessage to each acceptor
 * of key registers and gets RegisterReplyMessages.  It settles an attempt of
 * another call with the same key by a FateRequestMessage to that attempt's
 * node.  An acceptor that restarted reads the registers of the others with
 * CatchUpRequestMessages.  Strings of a message that was read point into the
 * bytes it was read from.
 */
#ifndef CLAIMMSG_H
#define CLAIMMSG_H

#include "connection/wire.h"
#include "process/control/register.h"
#include "request/claim.h"

typedef enum {
    Claim_ACCEPT,
    Claim_PREPARE,  /* asks for a promise of value.ballot */
    Claim_ENDED,    /* the attempt ended; gets no reply */
    Claim_RELEASED, /* the attempt did not run; gets no reply */
    Claim_OPERATIONS
} RegisterOperation;

typedef struct {
    AttemptId claim_id; /* echoed in the reply */
    uint32_t phase;     /* of the claim; echoed in the reply */
    RegisterOperation operation;
    Str key;
    RegisterValue value;
} RegisterRequestMessage;

typedef struct {
    AttemptId claim_id;
    uint32_t phase;
    RegisterReply reply;
} RegisterReplyMessage;

/* Wire_FATE_REQUEST asks what became of another call's attempt.  An attempt
 * that its node never saw is fenced: it never runs. */
typedef struct {
    AttemptId claim_id; /* echoed in the reply */
    AttemptId attempt;
    uint64_t target_incarnation; /* of the node that gets the request */
} FateRequestMessage;

typedef struct {
    AttemptId claim_id;
    AttemptId attempt;
    AttemptFate fate;
    Str answer; /* of Clm_FATE_ANSWERED, as kept */
} FateReplyMessage;

/* Wire_CATCH_UP_REQUEST, from an acceptor that restarted. */
typedef struct {
    Addr from;
    uint64_t incarnation;    /* of the sender */
    uint64_t request_number; /* echoed in the reply */
    bool wants_rows;         /* false: only the flags of the reply */
} CatchUpRequestMessage;

/* One key register. */
typedef struct {
    Str key;
    PaxosBallot promised;
    RegisterValue value;
    bool has_conflict; /* other acceptors held different attempts of the key */
} RegisterRow;

/* Rows of one CatchUpReplyMessage. */
enum { Claimmsg_ROWS_MAX = 200 };

/* Wire_CATCH_UP_REPLY: one part of the reply. */
typedef struct {
    uint64_t request_number;
    uint32_t part; /* 0, 1, ... */
    bool is_last;
    bool is_ready;       /* the sender itself has caught up */
    bool is_first_start; /* the sender was never ready before its present
                            start, and knows of no earlier start of the
                            acceptor that asks */
    RegisterRow rows[Claimmsg_ROWS_MAX];
    uint32_t row_count;
} CatchUpReplyMessage;

void Claimmsg_PackRequest(Pack *pack, const RegisterRequestMessage *msg);
bool Claimmsg_ReadRequest(Unpack *in, RegisterRequestMessage *msg, Err *err);
void Claimmsg_PackReply(Pack *pack, const RegisterReplyMessage *msg);
bool Claimmsg_ReadReply(Unpack *in, RegisterReplyMessage *msg, Err *err);
void Claimmsg_PackFateRequest(Pack *pack, const FateRequestMessage *msg);
bool Claimmsg_ReadFateRequest(Unpack *in, FateRequestMessage *msg, Err *err);
void Claimmsg_PackFateReply(Pack *pack, const FateReplyMessage *msg);
bool Claimmsg_ReadFateReply(Unpack *in, FateReplyMessage *msg, Err *err);
void Claimmsg_PackCatchUpRequest(Pack *pack, const CatchUpRequestMessage *msg);
bool Claimmsg_ReadCatchUpRequest(Unpack *in, CatchUpRequestMessage *msg,
                                 Err *err);
void Claimmsg_PackCatchUpReply(Pack *pack, const CatchUpReplyMessage *msg);
bool Claimmsg_ReadCatchUpReply(Unpack *in, CatchUpReplyMessage *msg, Err *err);

#endif
