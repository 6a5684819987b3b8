/* Claimmsg: the messages of keyed calls: to the holders of key registers and
 * back, between holders, and to the node of another call's attempt.  Strings
 * of a message that was read point into its bytes.
 */
#ifndef CLAIMMSG_H
#define CLAIMMSG_H

#include "connection/wire.h"
#include "process/register.h"
#include "request/claim.h"

typedef enum {
    Claim_ACCEPT,
    Claim_PREPARE,  /* of value.ballot */
    Claim_ENDED,    /* not answered */
    Claim_RELEASED, /* not answered */
    Claim_OPERATIONS
} RegisterOperation;

typedef struct {
    AttemptId claim_id; /* names the claim in the answer */
    uint32_t phase;
    RegisterOperation operation;
    Str key;
    RegisterValue value;
} RegisterRequestMessage;

typedef struct {
    AttemptId claim_id;
    uint32_t phase;
    RegisterReply reply;
} RegisterReplyMessage;

/* Wire_FATE_REQUEST: what became of another call's attempt?  It is fenced when
 * it was never seen. */
typedef struct {
    AttemptId claim_id;
    AttemptId attempt;
    uint64_t target_incarnation; /* of the node that is asked */
} FateRequestMessage;

typedef struct {
    AttemptId claim_id;
    AttemptId attempt;
    AttemptFate fate;
    Str answer; /* of Clm_FATE_ANSWERED, as kept */
} FateReplyMessage;

/* Wire_CATCH_UP_REQUEST, from a holder that restarted. */
typedef struct {
    Addr from;
    uint64_t incarnation;    /* of who asks */
    uint64_t request_number; /* echoed */
    bool wants_rows;
} CatchUpRequestMessage;

typedef struct {
    Str key;
    PaxosBallot promised;
    RegisterValue value;
    bool has_conflict;
} RegisterRow;

enum { Claimmsg_ROWS_MAX = 200 };

/* Wire_CATCH_UP_REPLY: one part of the answer. */
typedef struct {
    uint64_t request_number;
    uint32_t part; /* 0, 1, ... */
    bool is_last;
    bool is_ready;       /* the sender has caught up itself */
    bool is_first_start; /* the sender never was ready before its present
                          * start, and knows of no earlier start of who asks */
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
