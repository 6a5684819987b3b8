/* Mso: decides what a node sends to each control replica at a heartbeat, and
 * from which replica, its source, the node takes membership rows.
 *
 * The source is a replica of the node's own region, if one answers.  The
 * source gets a short renewal.  When the source leaves a heartbeat
 * unanswered, a second replica also gets the full record, so that a replica
 * hears the node long before the node's record expires.  When the source
 * leaves three unanswered, all replicas get the full record, and one that
 * answers becomes the source.  While the source is in another region, all
 * replicas get the full record too.  Control replicas always send each other
 * full records.
 *
 * MembershipSync calls Mso_ChooseSource and then Mso_ChooseMessage for each
 * replica at every heartbeat, and reports what was sent and answered.
 */
#ifndef MEMBERSOURCE_H
#define MEMBERSOURCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "value/instant.h"

#define Mso_NO_REPLICA SIZE_MAX

/* What a replica gets at a heartbeat. */
typedef enum {
    Mso_SEND_NOTHING,
    Mso_SEND_RENEWAL,
    Mso_SEND_RECORD /* the full record */
} HeartbeatMessage;

/* What this node sent to a control replica and received from it. */
typedef struct {
    uint64_t table_id;        /* of the table that last_change counts in; 0:
                                 none, so that a full table is due */
    uint64_t last_change;     /* last change number received */
    uint64_t record_sequence; /* of the last full record sent; 0: none, or the
                                 replica asked for the record */
    Instant answered_at;      /* 0: never */
    bool is_local;            /* the replica is in this node's region */
    bool is_skipped; /* nothing is sent: the replica is this node, or there is
                        no replica of this number */
} ReplicaContact;

/* The state of all contacts with control replicas, and the chosen source. */
typedef struct {
    Span heartbeat;     /* time between two heartbeats */
    bool is_replica;    /* this node is a control replica itself */
    uint64_t node_hash; /* differs by node */
    size_t replica_count;
    ReplicaContact *replicas; /* by replica number; is_local and is_skipped are
                                 set by the caller */
    size_t source;            /* replica number; Mso_NO_REPLICA: none */
} SourceSelector;

/* NODE_HASH differs by node, and spreads the nodes of a region over the
 * replicas there. */
void Mso_Init(SourceSelector *selector, size_t replica_count, Span heartbeat,
              bool is_replica, uint64_t node_hash);
void Mso_Finish(SourceSelector *selector);

/* Keeps the source if it is local and has answered within the last three
 * heartbeats; else chooses a replica that has, a local one first.  When no
 * replica has, the source stays. */
void Mso_ChooseSource(SourceSelector *selector, Instant now);

/* Returns what to send to REPLICA.  This node's record changed last at
 * CHANGED_SEQUENCE (1 or more).  A node that is LEAVING sends its record to
 * all replicas. */
HeartbeatMessage Mso_ChooseMessage(const SourceSelector *selector,
                                   size_t replica, uint64_t changed_sequence,
                                   bool leaving, Instant now);

/* True when this node takes rows from REPLICA: from its source, or from all
 * if it is a control replica itself. */
bool Mso_WantsRows(const SourceSelector *selector, size_t replica);

/* Discards the state of REPLICA: the number is now another replica's. */
void Mso_ForgetReplica(SourceSelector *selector, size_t replica);

/* The full record of SEQUENCE was sent to REPLICA. */
void Mso_OnRecordSent(SourceSelector *selector, size_t replica,
                      uint64_t sequence);

/* REPLICA answered a heartbeat, with rows or without. */
void Mso_OnAnswer(SourceSelector *selector, size_t replica, Instant now);

/* REPLICA answered a renewal by asking for the full record. */
void Mso_OnRecordRequest(SourceSelector *selector, size_t replica);

#endif
