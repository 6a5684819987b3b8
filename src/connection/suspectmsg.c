#include "connection/suspectmsg.h"

enum { ROW_FIELDS = 3 };

void
Suspectmsg_Begin(Pack *pack, uint64_t number, uint32_t rows)
{
    Wire_Begin(pack, Wire_SUSPECTS, 2);
    Pack_U64(pack, number);
    Pack_Array(pack, rows);
}

void
Suspectmsg_PutRow(Pack *pack, const SuspectRow *row)
{
    Pack_Array(pack, ROW_FIELDS);
    Pack_U64(pack, row->fingerprint);
    Pack_U64(pack, row->crash);
    Pack_U64(pack, row->age > 0 ? (uint64_t)row->age : 0);
}

uint32_t
Suspectmsg_Open(Unpack *in, uint64_t *number, Unpack *rows)
{
    *number = Unpack_U64(in);
    return Unpack_Array(in, Suspectmsg_ROWS_MAX, rows);
}

bool
Suspectmsg_TakeRow(Unpack *rows, SuspectRow *row)
{
    Unpack inner;

    Unpack_Array(rows, ROW_FIELDS, &inner);
    row->fingerprint = Unpack_U64(&inner);
    row->crash = Unpack_U64(&inner);
    row->age = (Span)Unpack_Bounded(&inner, INT64_MAX);
    return Unpack_Ok(&inner, NULL);
}

void
Suspectmsg_PackTold(Pack *pack, uint64_t number)
{
    Wire_Begin(pack, Wire_SUSPECTS_TOLD, 1);
    Pack_U64(pack, number);
}

bool
Suspectmsg_ReadTold(Unpack *in, uint64_t *number, Err *err)
{
    *number = Unpack_U64(in);
    return Unpack_Ok(in, err);
}
