/* Suspectmsg: blame of requests, among the nodes of one service. */
#ifndef SUSPECTMSG_H
#define SUSPECTMSG_H

#include "connection/wire.h"
#include "process/suspect.h"

typedef struct {
    uint64_t fingerprint;
    uint64_t crash;
    Span age;
} SuspectRow;

enum { Suspectmsg_ROWS_MAX = Sus_ENTRIES_MAX * Sus_CRASHES_MAX };

/* NUMBER is echoed by Wire_SUSPECTS_TOLD. */
void Suspectmsg_Begin(Pack *pack, uint64_t number, uint32_t rows);
void Suspectmsg_PutRow(Pack *pack, const SuspectRow *row);

/* Enter the rows: their number, to be read one by one from ROWS. */
uint32_t Suspectmsg_Open(Unpack *in, uint64_t *number, Unpack *rows);
bool Suspectmsg_TakeRow(Unpack *rows, SuspectRow *row);

void Suspectmsg_PackTold(Pack *pack, uint64_t number);
bool Suspectmsg_ReadTold(Unpack *in, uint64_t *number, Err *err);

#endif
