/* Logmsg: messages of the replicated log, between control replicas. */
#ifndef LOGMSG_H
#define LOGMSG_H

#include "connection/wire.h"
#include "version/rlog.h"

enum {
    Logmsg_DATA_MAX = 64 * 1024,      /* bytes of one entry */
    Logmsg_SNAPSHOT_MAX = 1024 * 1024 /* bytes of a snapshot */
};

/* Wire_LOG.  What was read points into the message's bytes. */
void Logmsg_Pack(Pack *pack, const RlogMessage *message);
bool Logmsg_Read(Unpack *in, RlogMessage *message, Err *err);

/* Wire_HELLO: a control replica names itself, and gets the other's name. */
typedef struct {
    uint64_t identity;
    Addr addr;
    bool blank;  /* it holds nothing of any history */
    bool answer; /* to a hello: not to be answered */
} HelloMsg;

void Logmsg_PackHello(Pack *pack, const HelloMsg *hello);
bool Logmsg_ReadHello(Unpack *in, HelloMsg *hello, Err *err);

#endif
