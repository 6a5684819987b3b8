/* Mbs: keeps a node's MembershipTable current by messages.
 *
 * At each heartbeat this node renews its record at its source, a control
 * replica of its region, which answers with the rows that changed;
 * process/membership/membersource.h decides which message each replica gets.
 * A control replica sends its record to all other replicas, and each answers
 * with the nodes that it hears directly.
 *
 * A replica answers renewals for which it has no changed rows in batches, a
 * few times per heartbeat: most of the cost of such an answer is waking up for
 * it.
 *
 * A replica that has just started does not know all nodes yet.  Until a
 * member expiry has passed, its table is incomplete, and nodes do not remove
 * the rows that the table lacks.
 */
#ifndef MEMBERSHIPSYNC_H
#define MEMBERSHIPSYNC_H

#include "process/membership/announce.h"
#include "process/membership/membership.h"
#include "process/membership/membersource.h"
#include "process/net.h"
#include "version/config.h"

/* The membership table of this node, with what is needed to exchange it. */
typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Logger *logger;
    const AnnouncementReceiver *announcements;
    const AdmissionController
        *admission; /* reports the load of the backend server */
    MembershipTable membership;
    MemberRecord own_record;
    uint64_t changed_sequence; /* of own_record when it last changed */
    SourceSelector selector;   /* replicas are numbered as in the settings */
    Instant table_complete_at; /* from then on a replica's table is complete;
                                  0: no heartbeat yet */
    LoopTimer heartbeat_timer;
    LoopTimer startup_timer; /* additional heartbeats after the start */
    Instant startup_ends_at;
    NetOrigin
        *pending_acks; /* on a replica: nodes to send Wire_RENEWAL_ACK to */
    size_t pending_ack_count;
    size_t pending_ack_cap;
    LoopTimer ack_timer; /* on a replica: sends the pending acks */
} MembershipSync;

/* LISTENER is called for each change in the table that nodes act on, also of
 * this node's own row.  INCARNATION is larger than at this node's earlier
 * starts. */
void Mbs_Init(MembershipSync *members, Loop *loop, Net *net,
              Counters *counters, Logger *logger, const Settings *settings,
              const AnnouncementReceiver *announcements,
              const AdmissionController *admission, uint64_t incarnation,
              MemberListener listener, void *context);
void Mbs_Finish(MembershipSync *members);

/* Sends a heartbeat now, because this node's record changed. */
void Mbs_SendHeartbeat(MembershipSync *members, Instant now);

/* The control replica with this NUMBER is now another one, or none: discards
 * what is recorded of the former one. */
void Mbs_OnReplicaReplaced(MembershipSync *members, size_t number);

/* VERSION is confirmed and in force at this node: sends it in a heartbeat. */
void Mbs_SetVersion(MembershipSync *members, ConfigVersion version,
                    Instant now);

/* This node is stopping: reports that to all control replicas. */
void Mbs_Leave(MembershipSync *members, Instant now);

#endif
