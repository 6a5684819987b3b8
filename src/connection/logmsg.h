/* Logmsg: messages between control replicas: the Raft messages of the
 * replicated log, and the hello by which replicas learn of each other.
 * Strings of a message that was read point into the bytes it was read from.
 */
#ifndef LOGMSG_H
#define LOGMSG_H

#include "connection/suspectmsg.h"
#include "version/rlog.h"

enum {
    Logmsg_KNOWN_MAX = 8,                 /* replicas named in a hello */
    Logmsg_DATA_MAX = 520 * 1024,         /* bytes of one entry */
    Logmsg_SNAPSHOT_MAX = 9 * 1024 * 1024 /* bytes of a snapshot */
};

/* Wire_RAFT. */
void Logmsg_Pack(Pack *pack, const RaftMessage *message);
bool Logmsg_Read(Unpack *in, RaftMessage *message, Err *err);

/* Wire_REPLICA_HELLO: a control replica sends its identity and gets the
 * identity of the receiver. */
typedef struct {
    uint64_t identity;
    Addr addr;
    bool is_blank; /* it holds nothing of any cluster's log */
    bool is_reply; /* answers a hello, and gets no reply itself */
    Addr known_replicas[Logmsg_KNOWN_MAX]; /* other replicas it knows of */
    uint32_t known_replica_count;
    SuspectSummary suspects; /* what the replica knows */
} ReplicaHelloMessage;

void Logmsg_PackHello(Pack *pack, const ReplicaHelloMessage *hello);
bool Logmsg_ReadHello(Unpack *in, ReplicaHelloMessage *hello, Err *err);

#endif
