/* Mso, the decider of what a node tells which control replica at a heartbeat.
 *
 * One replica, of the node's own region if one answers, is the source: it
 * gets a short renewal, and its rows are taken.  When the source leaves a
 * heartbeat unanswered, the whole record goes to a second one as well, so
 * that somebody hears the node long before its expiry; when it leaves three,
 * to all, and the first that answers is the next source.  Replicas tell each
 * other whole records, always.
 */
#ifndef MEMBERSOURCE_H
#define MEMBERSOURCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "value/instant.h"

#define Mso_NO_REPLICA SIZE_MAX

typedef enum {
    Mso_SEND_NOTHING,
    Mso_SEND_RENEWAL,
    Mso_SEND_RECORD
} HeartbeatMessage;

typedef struct {
    uint64_t table_id;        /* which one it numbered; 0: none */
    uint64_t last_change;     /* last table number got from it */
    uint64_t record_sequence; /* sequence of the last whole record; 0: none */
    Instant answered_at;      /* 0: never */
    bool is_local;            /* of this node's region */
    bool is_skipped;
} ReplicaContact;

typedef struct {
    Span heartbeat;
    bool is_replica;    /* this node is a control replica itself */
    uint64_t node_hash; /* any number that differs by node */
    size_t replica_count;
    ReplicaContact *replicas;
    size_t source; /* Mso_NO_REPLICA: none */
} SourceSelector;

/* Nodes that differ in SPREAD are spread over the replicas of a region. */
void Mso_Init(SourceSelector *mso, size_t count, Span heartbeat, bool control,
              uint64_t spread);
void Mso_Finish(SourceSelector *mso);

/* Keep the source, or take another that answered lately; to be called before
 * Mso_ChooseMessage at each heartbeat. */
void Mso_ChooseSource(SourceSelector *mso, Instant now);

/* What REPLICA is told of this node's record, which changed last at sequence
 * SAID (1 or more); a node that is LEAVING tells all. */
HeartbeatMessage Mso_ChooseMessage(const SourceSelector *mso, size_t replica,
                                   uint64_t said, bool leaving, Instant now);

/* Rows of REPLICA are wanted. */
bool Mso_WantsRows(const SourceSelector *mso, size_t replica);

/* REPLICA's number is another's now. */
void Mso_ForgetReplica(SourceSelector *mso, size_t replica);

/* The whole record of sequence SAID went to REPLICA. */
void Mso_OnRecordSent(SourceSelector *mso, size_t replica, uint64_t said);

/* REPLICA answered; and does not know this node. */
void Mso_OnAnswer(SourceSelector *mso, size_t replica, Instant now);
void Mso_OnRecordRequest(SourceSelector *mso, size_t replica);

#endif
