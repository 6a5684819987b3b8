/* Mbs: membership as it runs: this node's record goes to the control replicas
 * of its region, their tables come back, and replicas exchange theirs.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include "process/announce.h"
#include "process/membership.h"
#include "process/net.h"
#include "version/config.h"

typedef struct {
    uint64_t table;  /* start of the replica that numbered it */
    uint64_t number; /* last table number got from it */
} MbsSeen;

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Logger *logger;
    const Ann *ann;
    const Adm *admission;
    Mbr membership;
    MbrRecord own;
    MbsSeen *seen; /* by control replica */
    LoopTimer beat;
} Members;

/* LISTENER is told of each change, also of this node's own record. */
void Mbs_Init(Members *members, Loop *loop, Net *net, Counters *counters,
              Logger *logger, const Settings *settings, const Ann *ann,
              const Adm *admission, uint64_t incarnation, MbrListener listener,
              void *context);
void Mbs_Finish(Members *members);

/* Send this node's record now: something in it changed. */
void Mbs_SendRecord(Members *members, Instant now);

/* VERSION is confirmed and in force at this node. */
void Mbs_SetVersion(Members *members, CfgVersion version, Instant now);

/* This node is stopping: tell everybody. */
void Mbs_Leave(Members *members, Instant now);

#endif
