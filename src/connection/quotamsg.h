/* Quotamsg: the messages by which a node asks the grantor for credit of client
 * accounts (process/quota/quotasync.h), and its answer.
 */
#ifndef QUOTAMSG_H
#define QUOTAMSG_H

#include "connection/wire.h"
#include "process/quota/creditholder.h"
#include "value/addr.h"

/* Wire_QUOTA_ASK, from a node to a control replica. */
typedef struct {
    Addr node;
    Instant sent_at; /* on the node's clock; the answer repeats it */
    uint64_t term;   /* in which what is given back was granted */
    CreditAsk rows[Crd_ROWS_MAX];
    size_t count;
} QuotaAskMessage;

/* Wire_QUOTA_GRANT, from a control replica. */
typedef struct {
    Instant sent_at; /* of the ask */
    uint64_t term;   /* 0: this replica grants nothing now */
    Addr leader;     /* where to ask, Addr_NONE: not known */
    CreditGrant rows[Crd_ROWS_MAX];
    size_t count;
} QuotaGrantMessage;

void Quotamsg_PackAsk(Pack *pack, const QuotaAskMessage *msg);
bool Quotamsg_ReadAsk(Unpack *in, QuotaAskMessage *msg, Err *err);

/* Times are sent in milliseconds: lives and waits are rounded down, the time
 * after which to come back is rounded up. */
void Quotamsg_PackGrant(Pack *pack, const QuotaGrantMessage *msg);
bool Quotamsg_ReadGrant(Unpack *in, QuotaGrantMessage *msg, Err *err);

#endif
