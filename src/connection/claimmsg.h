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
    Claim_PROMISE,  /* of value.ballot */
    Claim_ENDED,    /* not answered */
    Claim_RELEASED, /* not answered */
    Claim_VERBS
} ClaimVerb;

typedef struct {
    AttemptId claim; /* names the claim in the answer */
    uint32_t phase;
    ClaimVerb verb;
    Str key;
    RegisterValue value;
} ClaimMsg;

typedef struct {
    AttemptId claim;
    uint32_t phase;
    RegisterReply answer;
} ClaimedMsg;

/* Wire_FATE_ASK: what became of another call's attempt?  It is fenced when it
 * was never seen. */
typedef struct {
    AttemptId claim;
    AttemptId attempt;
    uint64_t incarnation; /* of the node that is asked */
} FateAskMsg;

typedef struct {
    AttemptId claim;
    AttemptId attempt;
    AttemptFate fate;
    Str answer; /* of Clm_FATE_ANSWERED, as kept */
} FateMsg;

/* Wire_REGISTERS_ASK, from a holder that restarted. */
typedef struct {
    Addr from;
    uint64_t incarnation; /* of who asks */
    uint64_t number;      /* echoed */
    bool contents;
} RegistersAskMsg;

typedef struct {
    Str key;
    PaxosBallot promised;
    RegisterValue value;
    bool mixed;
} RegisterRow;

enum { Claimmsg_ROWS_MAX = 200 };

/* Wire_REGISTERS: one part of the answer. */
typedef struct {
    uint64_t number;
    uint32_t part; /* 0, 1, ... */
    bool last;
    bool ready; /* the sender has caught up itself */
    bool fresh; /* the sender never was ready before its present start, and
                 * knows of no earlier start of who asks */
    RegisterRow rows[Claimmsg_ROWS_MAX];
    uint32_t row_count;
} RegistersMsg;

void Claimmsg_PackClaim(Pack *pack, const ClaimMsg *msg);
bool Claimmsg_ReadClaim(Unpack *in, ClaimMsg *msg, Err *err);
void Claimmsg_PackClaimed(Pack *pack, const ClaimedMsg *msg);
bool Claimmsg_ReadClaimed(Unpack *in, ClaimedMsg *msg, Err *err);
void Claimmsg_PackFateAsk(Pack *pack, const FateAskMsg *msg);
bool Claimmsg_ReadFateAsk(Unpack *in, FateAskMsg *msg, Err *err);
void Claimmsg_PackFate(Pack *pack, const FateMsg *msg);
bool Claimmsg_ReadFate(Unpack *in, FateMsg *msg, Err *err);
void Claimmsg_PackRegistersAsk(Pack *pack, const RegistersAskMsg *msg);
bool Claimmsg_ReadRegistersAsk(Unpack *in, RegistersAskMsg *msg, Err *err);
void Claimmsg_PackRegisters(Pack *pack, const RegistersMsg *msg);
bool Claimmsg_ReadRegisters(Unpack *in, RegistersMsg *msg, Err *err);

#endif
