/* Logmsg: messages of the replicated log, between control replicas. */
#ifndef LOGMSG_H
#define LOGMSG_H

#include "connection/suspectmsg.h"
#include "version/rlog.h"

enum {
    Logmsg_KNOWN_MAX = 8,
    Logmsg_DATA_MAX = 520 * 1024,         /* bytes of one entry */
    Logmsg_SNAPSHOT_MAX = 9 * 1024 * 1024 /* bytes of a snapshot */
};

/* Wire_RAFT.  What was read points into the message's bytes. */
void Logmsg_Pack(Pack *pack, const RaftMessage *message);
bool Logmsg_Read(Unpack *in, RaftMessage *message, Err *err);

/* Wire_REPLICA_HELLO: a control replica names itself, and gets the other's
 * name. */
typedef struct {
    uint64_t identity;
    Addr addr;
    bool is_blank; /* it holds nothing of any history */
    bool is_reply; /* to a hello: not to be answered */
    Addr known_replicas[Logmsg_KNOWN_MAX]; /* other replicas it has heard of */
    uint32_t known_replica_count;
    SuspectSummary suspects; /* that it knows */
} ReplicaHelloMessage;

void Logmsg_PackHello(Pack *pack, const ReplicaHelloMessage *hello);
bool Logmsg_ReadHello(Unpack *in, ReplicaHelloMessage *hello, Err *err);

#endif
