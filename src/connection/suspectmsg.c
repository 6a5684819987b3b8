#include "connection/suspectmsg.h"

enum { HEADER_FIELDS = 4, SUMMARY_FIELDS = 3, RECORD_FIELDS = 5 };

void
Suspectmsg_PutSummary(Pack *pack, const SuspectSummary *summary)
{
    Pack_Array(pack, SUMMARY_FIELDS);
    Pack_U64(pack, summary->digest.crash_count);
    Pack_U64(pack, summary->digest.hash);
    Pack_Bool(pack, summary->is_synced);
}

void
Suspectmsg_TakeSummary(Unpack *in, SuspectSummary *summary)
{
    Unpack inner;

    Unpack_Array(in, SUMMARY_FIELDS, &inner);
    summary->digest.crash_count = (uint32_t)Unpack_Bounded(&inner, UINT32_MAX);
    summary->digest.hash = Unpack_U64(&inner);
    summary->is_synced = Unpack_Bool(&inner);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Suspectmsg_Begin(Pack *pack, const SuspectsHeader *header, uint32_t count)
{
    Wire_Begin(pack, Wire_SUSPECTS, HEADER_FIELDS);
    Pack_U64(pack, header->ack_number);
    Pack_Bool(pack, header->wants_missing);
    Suspectmsg_PutSummary(pack, &header->summary);
    Pack_Array(pack, count);
}

void
Suspectmsg_PutRecord(Pack *pack, const SuspectRecord *record)
{
    Pack_Array(pack, RECORD_FIELDS);
    Pack_U64(pack, record->fingerprint);
    Pack_U64(pack, record->crash_id);
    Pack_U64(pack, record->node);
    Pack_U64(pack, record->age > 0 ? (uint64_t)record->age : 0);
    Pack_U64(pack, record->state);
}

uint32_t
Suspectmsg_Open(Unpack *in, SuspectsHeader *header, Unpack *records)
{
    header->ack_number = Unpack_U64(in);
    header->wants_missing = Unpack_Bool(in);
    Suspectmsg_TakeSummary(in, &header->summary);
    return Unpack_Array(in, Suspectmsg_RECORDS_MAX, records);
}

bool
Suspectmsg_TakeRecord(Unpack *records, SuspectRecord *record)
{
    Unpack inner;

    Unpack_Array(records, RECORD_FIELDS, &inner);
    record->fingerprint = Unpack_U64(&inner);
    record->crash_id = Unpack_U64(&inner);
    record->node = Unpack_U64(&inner);
    record->age = (Span)Unpack_Bounded(&inner, INT64_MAX);
    record->state = (SuspectCrashState)Unpack_Bounded(&inner, Sus_RELEASED);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(records);
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
