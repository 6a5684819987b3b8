#include "connection/suspectmsg.h"

enum { HEAD_FIELDS = 4, WORD_FIELDS = 3, ROW_FIELDS = 5 };

void
Suspectmsg_PutWord(Pack *pack, const SuspectWord *word)
{
    Pack_Array(pack, WORD_FIELDS);
    Pack_U64(pack, word->digest.crash_count);
    Pack_U64(pack, word->digest.hash);
    Pack_Bool(pack, word->knows);
}

void
Suspectmsg_TakeWord(Unpack *in, SuspectWord *word)
{
    Unpack inner;

    Unpack_Array(in, WORD_FIELDS, &inner);
    word->digest.crash_count = (uint32_t)Unpack_Bounded(&inner, UINT32_MAX);
    word->digest.hash = Unpack_U64(&inner);
    word->knows = Unpack_Bool(&inner);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Suspectmsg_Begin(Pack *pack, const SuspectsHead *head, uint32_t rows)
{
    Wire_Begin(pack, Wire_SUSPECTS, HEAD_FIELDS);
    Pack_U64(pack, head->number);
    Pack_Bool(pack, head->wants);
    Suspectmsg_PutWord(pack, &head->word);
    Pack_Array(pack, rows);
}

void
Suspectmsg_PutRow(Pack *pack, const SuspectRecord *row)
{
    Pack_Array(pack, ROW_FIELDS);
    Pack_U64(pack, row->fingerprint);
    Pack_U64(pack, row->crash_id);
    Pack_U64(pack, row->node);
    Pack_U64(pack, row->age > 0 ? (uint64_t)row->age : 0);
    Pack_U64(pack, row->state);
}

uint32_t
Suspectmsg_Open(Unpack *in, SuspectsHead *head, Unpack *rows)
{
    head->number = Unpack_U64(in);
    head->wants = Unpack_Bool(in);
    Suspectmsg_TakeWord(in, &head->word);
    return Unpack_Array(in, Suspectmsg_ROWS_MAX, rows);
}

bool
Suspectmsg_TakeRow(Unpack *rows, SuspectRecord *row)
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
