/* Mbs: membership as it runs.  At each heartbeat this node renews its record
 * at one control replica of its region, the source, which sends the rows that
 * changed (who is told what: process/membersource.h).  A replica's record
 * goes to all others, which answer with what they hear directly.
 *
 * A replica answers renewals that change nothing together, a few times each
 * heartbeat: most of their cost is waking up for each.
 *
 * A replica that started a moment ago does not know all rows yet: until a
 * member expiry has passed, no row is gone because its table lacks it.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include "process/announce.h"
#include "process/membership.h"
#include "process/membersource.h"
#include "process/net.h"
#include "version/config.h"

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Logger *logger;
    const Ann *ann;
    const AdmissionController *admission;
    Mbr membership;
    MbrRecord own;
    uint64_t said;       /* sequence at which the own record changed last */
    Mso replicas;        /* the control replicas, as in the settings */
    Instant complete_at; /* a replica's table is; 0: not started */
    LoopTimer beat;
    LoopTimer eager; /* between two beats, while much is new */
    Instant eager_until;
    NetOrigin *waiting; /* on a replica: who is due a Wire_RENEWED */
    size_t waiting_count;
    size_t waiting_cap;
    LoopTimer batch;
} Members;

/* LISTENER is told of each change, also of this node's own record. */
void Mbs_Init(Members *members, Loop *loop, Net *net, Counters *counters,
              Logger *logger, const Settings *settings, const Ann *ann,
              const AdmissionController *admission, uint64_t incarnation,
              MbrListener listener, void *context);
void Mbs_Finish(Members *members);

/* Send this node's record now: something in it changed. */
void Mbs_SendRecord(Members *members, Instant now);

/* Place NUMBER among the control replicas is another's now. */
void Mbs_OnReplicaMoved(Members *members, size_t number);

/* VERSION is confirmed and in force at this node. */
void Mbs_SetVersion(Members *members, CfgVersion version, Instant now);

/* This node is stopping: tell everybody. */
void Mbs_Leave(Members *members, Instant now);

#endif
