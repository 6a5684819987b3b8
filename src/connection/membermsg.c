#include "connection/membermsg.h"

#include "connection/callmsg.h"

enum { RECORD_FIELDS = 13, ROW_FIELDS = RECORD_FIELDS + 1, ROWS_MAX = 4096 };

static void
put_record(Pack *pack, const MbrRecord *record)
{
    Pack_U64(pack, record->node);
    Pack_U64(pack, record->operators);
    Pack_U64(pack, record->incarnation);
    Pack_U64(pack, record->sequence);
    Pack_U64(pack, record->region);
    Pack_U64(pack, record->domain);
    Pack_Bool(pack, record->control);
    Pack_Bool(pack, record->leaving);
    Pack_Bool(pack, record->present);
    Pack_Str(pack, StrBuf_View(&record->service));
    Callmsg_PutLoad(pack, &record->load);
    Pack_U64(pack, record->version_term);
    Pack_U64(pack, record->version_index);
}

static void
take_record(Unpack *in, MbrRecord *record)
{
    record->node = Unpack_U64(in);
    record->operators = Unpack_U64(in);
    record->incarnation = Unpack_U64(in);
    record->sequence = Unpack_U64(in);
    record->region = (uint16_t)Unpack_Bounded(in, UINT16_MAX);
    record->domain = (uint16_t)Unpack_Bounded(in, UINT16_MAX);
    record->control = Unpack_Bool(in);
    record->leaving = Unpack_Bool(in);
    record->present = Unpack_Bool(in);
    StrBuf_Set(&record->service, Unpack_Str(in));
    Callmsg_TakeLoad(in, &record->load);
    record->version_term = Unpack_U64(in);
    record->version_index = Unpack_U64(in);
}

void
Membermsg_PackRecord(Pack *pack, const MbrRecord *record, uint64_t table,
                     uint64_t seen)
{
    Wire_Begin(pack, Wire_RECORD, RECORD_FIELDS + 2);
    put_record(pack, record);
    Pack_U64(pack, table);
    Pack_U64(pack, seen);
}

bool
Membermsg_ReadRecord(Unpack *in, MbrRecord *record, uint64_t *table,
                     uint64_t *seen, Err *err)
{
    take_record(in, record);
    *table = Unpack_U64(in);
    *seen = Unpack_U64(in);
    return Unpack_Ok(in, err);
}

static uint32_t
count_since(const Mbr *mbr, uint64_t since)
{
    uint32_t count = 0;

    for (size_t i = 0; i < mbr->count; i++) {
        count += mbr->rows[i].change > since;
    }
    return count;
}

static void
put_row(Pack *pack, const MbrRow *row, Instant now)
{
    MbrRecord record = row->record;

    record.leaving = record.leaving || row->gone;
    Pack_Array(pack, ROW_FIELDS);
    put_record(pack, &record);
    Pack_I64(pack, now - row->heard_at);
}

void
Membermsg_PackTable(Pack *pack, WireKind kind, const Mbr *mbr, uint64_t table,
                    uint64_t since, Instant now)
{
    Wire_Begin(pack, kind, 3);
    Pack_U64(pack, table);
    Pack_U64(pack, mbr->change);
    Pack_Array(pack, count_since(mbr, since));
    for (size_t i = 0; i < mbr->count; i++) {
        if (mbr->rows[i].change > since) {
            put_row(pack, &mbr->rows[i], now);
        }
    }
}

static bool
take_row(Unpack *rows, Mbr *mbr, Instant now)
{
    Unpack row;
    MbrRecord record;
    Span age;
    bool whole;

    Mbr_RecordInit(&record);
    Unpack_Array(rows, ROW_FIELDS, &row);
    take_record(&row, &record);
    age = Unpack_I64(&row);
    whole = Unpack_Ok(&row, NULL) && age >= 0;
    if (whole) {
        Mbr_OnRecord(mbr, &record, age, now);
    }
    Mbr_RecordFinish(&record);
    return whole;
}

bool
Membermsg_ReadTable(Unpack *in, Mbr *mbr, uint64_t *table, uint64_t *number,
                    Instant now, Err *err)
{
    Unpack rows;
    uint32_t count;

    *table = Unpack_U64(in);
    *number = Unpack_U64(in);
    count = Unpack_Array(in, ROWS_MAX, &rows);
    for (uint32_t i = 0; i < count; i++) {
        if (!take_row(&rows, mbr, now)) {
            Unpack_Fail(in);
            break;
        }
    }
    return Unpack_Ok(in, err);
}
