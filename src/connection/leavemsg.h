/* Leavemsg: the messages by which a node records, at the control replicas,
 * that the backend server beside it leaves, and reads that back after a
 * restart (process/membership/leavesync.h).  A replica's file holds the same
 * rows.
 */
#ifndef LEAVEMSG_H
#define LEAVEMSG_H

#include "connection/wire.h"
#include "process/membership/leavetable.h"

/* Wire_LEAVE, from a node: START leaves; without a start it only asks.
 * Wire_LEAVE_REPLY, from a replica: START is the latest one that its data
 * folder has for NODE; none when id_hash is 0. */
typedef struct {
    Addr node;
    BackendStart start;
} LeaveMessage;

/* KIND is Wire_LEAVE or Wire_LEAVE_REPLY. */
void Leavemsg_Pack(Pack *pack, MessageKind kind, const LeaveMessage *msg);
bool Leavemsg_Read(Unpack *in, LeaveMessage *msg, Err *err);

/* Packs all rows, without an envelope. */
void Leavemsg_PackTable(Pack *pack, const LeaveTable *table);

/* Merges packed rows into TABLE, as recorded NOW. */
bool Leavemsg_ReadTable(Str bytes, LeaveTable *table, Instant now, Err *err);

#endif
