/* Suspectmsg: blame of requests, as processes tell each other of it. */
#ifndef SUSPECTMSG_H
#define SUSPECTMSG_H

#include "connection/wire.h"
#include "process/suspecttable.h"

/* What a process knows, in short: it rides on messages that go anyway. */
typedef struct {
    SuspectDigest digest;
    bool is_synced; /* it was told all that the fleet knew since its start */
} SuspectSummary;

void Suspectmsg_PutSummary(Pack *pack, const SuspectSummary *word);
void Suspectmsg_TakeSummary(Unpack *in, SuspectSummary *word);

/* Wire_SUSPECTS: rows, and what else the sender knows. */
typedef struct {
    uint64_t ack_number; /* echoed by Wire_SUSPECTS_ACK; 0: not to be */
    bool wants_missing;  /* rows that the sender lacks are to be sent back */
    SuspectSummary summary; /* where the rows are all that the sender knows */
} SuspectsHeader;

enum {
    Suspectmsg_RECORDS_MAX = Sus_REQUESTS_MAX * Sus_CRASHES_PER_REQUEST_MAX
};

void Suspectmsg_Begin(Pack *pack, const SuspectsHeader *head, uint32_t rows);
void Suspectmsg_PutRecord(Pack *pack, const SuspectRecord *row);

/* Enter the rows: their number, to be read one by one from ROWS. */
uint32_t Suspectmsg_Open(Unpack *in, SuspectsHeader *head, Unpack *rows);
bool Suspectmsg_TakeRecord(Unpack *rows, SuspectRecord *row);

void Suspectmsg_PackAck(Pack *pack, uint64_t number);
bool Suspectmsg_ReadAck(Unpack *in, uint64_t *number, Err *err);

#endif
