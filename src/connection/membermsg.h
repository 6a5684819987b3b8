/* Membermsg: records of nodes, between nodes and control replicas. */
#ifndef MEMBERMSG_H
#define MEMBERMSG_H

#include "connection/wire.h"
#include "process/membership.h"

/* SEEN of a node that wants no rows from this replica. */
#define Membermsg_NO_ROWS UINT64_MAX

/* Wire_RECORD: SEEN is the table number the node last got, of the replica
 * start TABLE. */
void Membermsg_PackRecord(Pack *pack, const MbrRecord *record, uint64_t table,
                          uint64_t seen);
bool Membermsg_ReadRecord(Unpack *in, MbrRecord *record, uint64_t *table,
                          uint64_t *seen, Err *err);

/* Where the rows of a message go. */
typedef struct {
    Mbr *mbr;
    int via; /* Wire_EXCHANGE: number of the replica; Wire_TABLE: -1 */
} MembermsgSink;

/* Wire_TABLE (to a node) or Wire_EXCHANGE (to another replica, of what this
 * one hears directly): the rows of MBR changed after SINCE, or all. */
void Membermsg_PackTable(Pack *pack, WireKind kind, const Mbr *mbr,
                         uint64_t table, uint64_t since);

/* Hand the rows of a Wire_TABLE or Wire_EXCHANGE to SINK. */
bool Membermsg_ReadTable(Unpack *in, const MembermsgSink *sink,
                         uint64_t *table, uint64_t *number, Instant now,
                         Err *err);

#endif
