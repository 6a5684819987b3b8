/* Membermsg: the messages about members (nodes), between nodes and control
 * replicas.
 *
 * A node sends its record to control replicas, or a renewal when the record
 * did not change.  A replica answers with the rows of its membership table
 * that changed since the change number that the node last got.  Replicas send
 * each other the rows of the nodes that they hear directly.
 */
#ifndef MEMBERMSG_H
#define MEMBERMSG_H

#include "connection/wire.h"
#include "process/membership/membership.h"

/* Value of SEEN from a node that wants no rows from this replica. */
#define Membermsg_NO_ROWS UINT64_MAX

/* Wire_MEMBER_RECORD: SEEN is the last change number that the node got, of
 * the table with the id TABLE_ID. */
void Membermsg_PackRecord(Pack *pack, const MemberRecord *record,
                          uint64_t table_id, uint64_t seen);
bool Membermsg_ReadRecord(Unpack *in, MemberRecord *record, uint64_t *table_id,
                          uint64_t *seen, Err *err);

/* Wire_RENEWAL, in place of a record that did not change. */
void Membermsg_PackRenewal(Pack *pack, const MemberRenewal *renewal,
                           uint64_t table_id, uint64_t seen);
bool Membermsg_ReadRenewal(Unpack *in, MemberRenewal *renewal,
                           uint64_t *table_id, uint64_t *seen, Err *err);

/* A message without fields: Wire_RENEWAL_ACK or Wire_MEMBER_RECORD_REQUEST. */
void Membermsg_PackEmpty(Pack *pack, MessageKind kind);
bool Membermsg_ReadEmpty(const Unpack *in, Err *err);

/* The table that the rows of a message are written to. */
typedef struct {
    MembershipTable *members;
    int replica; /* Wire_MEMBER_EXCHANGE: index of the replica that sent it;
                    Wire_MEMBER_TABLE: -1 */
} MemberTableTarget;

/* Header of Wire_MEMBER_TABLE and Wire_MEMBER_EXCHANGE. */
typedef struct {
    uint64_t table_id;       /* one start of the sender's table */
    uint64_t change_number;  /* of the table as sent */
    bool is_full;            /* rows that are not in the message are removed */
    MembershipDigest digest; /* of the table; count and hash 0: none given */
} MemberTableHeader;

/* Wire_MEMBER_TABLE (to a node) or Wire_MEMBER_EXCHANGE (to another replica,
 * with the nodes that this one hears directly): the rows of MEMBERS that
 * changed after SINCE, or all.  To a node go only changes that nodes act on.
 * The digest leaves out TO.  A table that is not COMPLETE, as after a start,
 * has no digest, and the receiver removes no row because the message lacks
 * it. */
void Membermsg_PackTable(Pack *pack, MessageKind kind,
                         const MembershipTable *members, uint64_t table_id,
                         uint64_t since, Addr to, bool complete);

/* Reads a Wire_MEMBER_TABLE or Wire_MEMBER_EXCHANGE and writes its rows to
 * TARGET. */
bool Membermsg_ReadTable(Unpack *in, const MemberTableTarget *target,
                         MemberTableHeader *header, Instant now, Err *err);

/* True when the rows of TARGET match the digest in HEADER, or when HEADER has
 * none.  Otherwise the full table must be sent. */
bool Membermsg_MatchesDigest(const MemberTableTarget *target,
                             const MemberTableHeader *header);

#endif
