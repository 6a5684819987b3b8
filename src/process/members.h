/* Mbs: membership as it runs.  At each heartbeat this node's record goes to
 * the control replicas of its region, or to all when none there answers; one
 * of them, the source, sends the rows that changed.  A replica's record goes
 * to all others, which answer with what they hear directly.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include "process/announce.h"
#include "process/membership.h"
#include "process/net.h"
#include "version/config.h"

typedef struct {
    uint64_t table;      /* start of the replica that numbered it */
    uint64_t number;     /* last table number got from it */
    Instant answered_at; /* 0: never */
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
    size_t source; /* the replica whose rows are taken */
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
