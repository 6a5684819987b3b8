/* Suspectmsg: blame of requests, as processes tell each other of it. */
#ifndef SUSPECTMSG_H
#define SUSPECTMSG_H

#include "connection/wire.h"
#include "process/suspecttable.h"

/* What a process knows, in short: it rides on messages that go anyway. */
typedef struct {
    SuspectDigest digest;
    bool knows; /* it was told all that the fleet knew since its start */
} SuspectWord;

void Suspectmsg_PutWord(Pack *pack, const SuspectWord *word);
void Suspectmsg_TakeWord(Unpack *in, SuspectWord *word);

/* Wire_SUSPECTS: rows, and what else the sender knows. */
typedef struct {
    uint64_t number;  /* echoed by Wire_SUSPECTS_TOLD; 0: not to be */
    bool wants;       /* rows that the sender lacks are to be sent back */
    SuspectWord word; /* where the rows are all that the sender knows */
} SuspectsHead;

enum { Suspectmsg_ROWS_MAX = Sus_REQUESTS_MAX * Sus_CRASHES_PER_REQUEST_MAX };

void Suspectmsg_Begin(Pack *pack, const SuspectsHead *head, uint32_t rows);
void Suspectmsg_PutRow(Pack *pack, const SuspectRecord *row);

/* Enter the rows: their number, to be read one by one from ROWS. */
uint32_t Suspectmsg_Open(Unpack *in, SuspectsHead *head, Unpack *rows);
bool Suspectmsg_TakeRow(Unpack *rows, SuspectRecord *row);

void Suspectmsg_PackTold(Pack *pack, uint64_t number);
bool Suspectmsg_ReadTold(Unpack *in, uint64_t *number, Err *err);

#endif
