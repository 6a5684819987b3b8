/* Membermsg: records of nodes, between nodes and control replicas. */
#ifndef MEMBERMSG_H
#define MEMBERMSG_H

#include "connection/wire.h"
#include "process/membership.h"

/* Wire_RECORD: SEEN is the table number the node last got, of the replica
 * start TABLE. */
void Membermsg_PackRecord(Pack *pack, const MbrRecord *record, uint64_t table,
                          uint64_t seen);
bool Membermsg_ReadRecord(Unpack *in, MbrRecord *record, uint64_t *table,
                          uint64_t *seen, Err *err);

/* Wire_TABLE (to a node) or Wire_EXCHANGE (to another replica): the rows of
 * MBR changed after SINCE, with the age of each. */
void Membermsg_PackTable(Pack *pack, WireKind kind, const Mbr *mbr,
                         uint64_t table, uint64_t since, Instant now);

/* Hand each record in a Wire_TABLE or Wire_EXCHANGE to MBR. */
bool Membermsg_ReadTable(Unpack *in, Mbr *mbr, uint64_t *table,
                         uint64_t *number, Instant now, Err *err);

#endif
