/* Suspectmsg: messages that keep the suspects (requests blamed for crashes of
 * backend servers) equal in all processes.
 *
 * Messages that are sent for other reasons carry a SuspectSummary.  Processes
 * whose summaries differ exchange their records: the sender calls
 * Suspectmsg_Begin and Suspectmsg_PutRecord for each record, the receiver
 * Suspectmsg_Open and Suspectmsg_TakeRecord.
 */
#ifndef SUSPECTMSG_H
#define SUSPECTMSG_H

#include "connection/wire.h"
#include "process/suspects/suspecttable.h"

/* Summary of the records that a process knows. */
typedef struct {
    SuspectDigest digest;
    bool is_synced; /* it received all records known when it started */
} SuspectSummary;

void Suspectmsg_PutSummary(Pack *pack, const SuspectSummary *summary);
void Suspectmsg_TakeSummary(Unpack *in, SuspectSummary *summary);

/* Header of Wire_SUSPECTS; records follow. */
typedef struct {
    uint64_t ack_number;    /* echoed by Wire_SUSPECTS_ACK; 0: no ack wanted */
    bool wants_missing;     /* asks for the records that the sender lacks */
    SuspectSummary summary; /* of all records of the sender, also when only
                               a part of them fits; zero in a message that
                               reports single records */
} SuspectsHeader;

enum {
    Suspectmsg_RECORDS_MAX = Sus_REQUESTS_MAX * Sus_CRASHES_PER_REQUEST_MAX
};

/* Starts a Wire_SUSPECTS with COUNT records. */
void Suspectmsg_Begin(Pack *pack, const SuspectsHeader *header,
                      uint32_t count);
void Suspectmsg_PutRecord(Pack *pack, const SuspectRecord *record);

/* Reads the header and returns the number of records; RECORDS is left at the
 * first one. */
uint32_t Suspectmsg_Open(Unpack *in, SuspectsHeader *header, Unpack *records);

/* Reads the next record; false when it is malformed. */
bool Suspectmsg_TakeRecord(Unpack *records, SuspectRecord *record);

/* Wire_SUSPECTS_ACK: NUMBER is the ack_number of the acknowledged message. */
void Suspectmsg_PackAck(Pack *pack, uint64_t number);
bool Suspectmsg_ReadAck(Unpack *in, uint64_t *number, Err *err);

#endif
