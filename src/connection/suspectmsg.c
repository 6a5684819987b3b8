#include "connection/suspectmsg.h"

enum { HEAD_FIELDS = 4, WORD_FIELDS = 3, ROW_FIELDS = 5 };

void
Suspectmsg_PutSummary(Pack *pack, const SuspectSummary *word)
{
    Pack_Array(pack, WORD_FIELDS);
    Pack_U64(pack, word->digest.crash_count);
    Pack_U64(pack, word->digest.hash);
    Pack_Bool(pack, word->is_synced);
}

void
Suspectmsg_TakeSummary(Unpack *in, SuspectSummary *word)
{
    Unpack inner;

    Unpack_Array(in, WORD_FIELDS, &inner);
    word->digest.crash_count = (uint32_t)Unpack_Bounded(&inner, UINT32_MAX);
    word->digest.hash = Unpack_U64(&inner);
    word->is_synced = Unpack_Bool(&inner);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Suspectmsg_Begin(Pack *pack, const SuspectsHeader *head, uint32_t rows)
{
    Wire_Begin(pack, Wire_SUSPECTS, HEAD_FIELDS);
    Pack_U64(pack, head->ack_number);
    Pack_Bool(pack, head->wants_missing);
    Suspectmsg_PutSummary(pack, &head->summary);
    Pack_Array(pack, rows);
}

void
Suspectmsg_PutRecord(Pack *pack, const SuspectRecord *row)
{
    Pack_Array(pack, ROW_FIELDS);
    Pack_U64(pack, row->fingerprint);
    Pack_U64(pack, row->crash_id);
    Pack_U64(pack, row->node);
    Pack_U64(pack, row->age > 0 ? (uint64_t)row->age : 0);
    Pack_U64(pack, row->state);
}

uint32_t
Suspectmsg_Open(Unpack *in, SuspectsHeader *head, Unpack *rows)
{
    head->ack_number = Unpack_U64(in);
    head->wants_missing = Unpack_Bool(in);
    Suspectmsg_TakeSummary(in, &head->summary);
    return Unpack_Array(in, Suspectmsg_RECORDS_MAX, rows);
}

bool
Suspectmsg_TakeRecord(Unpack *rows, SuspectRecord *row)
{
    Unpack inner;

    Unpack_Array(rows, ROW_FIELDS, &inner);
    row->fingerprint = Unpack_U64(&inner);
    row->crash_id = Unpack_U64(&inner);
    row->node = Unpack_U64(&inner);
    row->age = (Span)Unpack_Bounded(&inner, INT64_MAX);
    row->state = (SuspectCrashState)Unpack_Bounded(&inner, Sus_RELEASED);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(rows);
        return false;
    }
    return true;
}

void
Suspectmsg_PackAck(Pack *pack, uint64_t number)
{
    Wire_Begin(pack, Wire_SUSPECTS_ACK, 1);
    Pack_U64(pack, number);
}

bool
Suspectmsg_ReadAck(Unpack *in, uint64_t *number, Err *err)
{
    *number = Unpack_U64(in);
    return Unpack_Ok(in, err);
}
