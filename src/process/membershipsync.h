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
#ifndef MEMBERSHIPSYNC_H
#define MEMBERSHIPSYNC_H

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
    const AnnouncementReceiver *announcements;
    const AdmissionController *admission;
    MembershipTable membership;
    MemberRecord own_record;
    uint64_t
        changed_sequence; /* sequence at which the own record changed last */
    SourceSelector selector;   /* the control replicas, as in the settings */
    Instant table_complete_at; /* a replica's table is; 0: not started */
    LoopTimer heartbeat_timer;
    LoopTimer startup_timer; /* between two beats, while much is new */
    Instant startup_ends_at;
    NetOrigin *pending_acks; /* on a replica: who is due a Wire_RENEWED */
    size_t pending_ack_count;
    size_t pending_ack_cap;
    LoopTimer ack_timer;
} MembershipSync;

/* LISTENER is told of each change, also of this node's own record. */
void Mbs_Init(MembershipSync *members, Loop *loop, Net *net,
              Counters *counters, Logger *logger, const Settings *settings,
              const AnnouncementReceiver *ann,
              const AdmissionController *admission, uint64_t incarnation,
              MemberListener listener, void *context);
void Mbs_Finish(MembershipSync *members);

/* Send this node's record now: something in it changed. */
void Mbs_SendHeartbeat(MembershipSync *members, Instant now);

/* Place NUMBER among the control replicas is another's now. */
void Mbs_OnReplicaReplaced(MembershipSync *members, size_t number);

/* VERSION is confirmed and in force at this node. */
void Mbs_SetVersion(MembershipSync *members, CfgVersion version, Instant now);

/* This node is stopping: tell everybody. */
void Mbs_Leave(MembershipSync *members, Instant now);

#endif
