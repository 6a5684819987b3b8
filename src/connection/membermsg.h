/* Membermsg: records of nodes, between nodes and control replicas. */
#ifndef MEMBERMSG_H
#define MEMBERMSG_H

#include "connection/wire.h"
#include "process/membership.h"

/* SEEN of a node that wants no rows from this replica. */
#define Membermsg_NO_ROWS UINT64_MAX

/* Wire_MEMBER_RECORD: SEEN is the table number the node last got, of the
 * replica start TABLE. */
void Membermsg_PackRecord(Pack *pack, const MemberRecord *record,
                          uint64_t table, uint64_t seen);
bool Membermsg_ReadRecord(Unpack *in, MemberRecord *record, uint64_t *table,
                          uint64_t *seen, Err *err);

/* Wire_RENEWAL, in place of a record that did not change. */
void Membermsg_PackRenewal(Pack *pack, const MemberRenewal *renewal,
                           uint64_t table, uint64_t seen);
bool Membermsg_ReadRenewal(Unpack *in, MemberRenewal *renewal, uint64_t *table,
                           uint64_t *seen, Err *err);

/* Wire_RENEWAL_ACK or Wire_MEMBER_RECORD_REQUEST: nothing but their kind. */
void Membermsg_PackEmpty(Pack *pack, MessageKind kind);
bool Membermsg_ReadEmpty(const Unpack *in, Err *err);

/* Where the rows of a message go. */
typedef struct {
    MembershipTable *members;
    int replica; /* Wire_MEMBER_EXCHANGE: number of the replica;
                    Wire_MEMBER_TABLE: -1 */
} MemberTableTarget;

/* Head of Wire_MEMBER_TABLE and Wire_MEMBER_EXCHANGE. */
typedef struct {
    uint64_t table_id;
    uint64_t change_number; /* table number of this state */
    bool is_full;           /* rows not in there are gone */
    MembershipDigest
        digest; /* of the state; count and hash 0: none is given */
} MemberTableHeader;

/* Wire_MEMBER_TABLE (to a node) or Wire_MEMBER_EXCHANGE (to another replica,
 * of what this one hears directly): the rows of MBR changed after SINCE, or
 * all; for a node only by changes that nodes act on.  The digest leaves out
 * TO.  A table that is not COMPLETE, as after a start, makes no row gone by
 * lacking it, and has no digest. */
void Membermsg_PackTable(Pack *pack, MessageKind kind,
                         const MembershipTable *mbr, uint64_t table,
                         uint64_t since, Addr to, bool complete);

/* Hand the rows of a Wire_MEMBER_TABLE or Wire_MEMBER_EXCHANGE to SINK. */
bool Membermsg_ReadTable(Unpack *in, const MemberTableTarget *sink,
                         MemberTableHeader *head, Instant now, Err *err);

/* SINK's rows are those that HEAD tells of; else a whole table is needed. */
bool Membermsg_MatchesDigest(const MemberTableTarget *sink,
                             const MemberTableHeader *head);

#endif
