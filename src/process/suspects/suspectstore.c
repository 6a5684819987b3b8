#include "process/suspects/suspectstore.h"

#include "connection/suspectmsg.h"
#include "version/frame.h"

enum { PAYLOAD_FIELDS = 2 };

static const char file_name[] = "suspects";

bool
Sst_Save(Str folder, const SuspectTable *table, const SuspectStoreTime *time,
         Err *err)
{
    Pack pack;
    bool saved;

    Pack_Init(&pack, PAYLOAD_FIELDS);
    Pack_I64(&pack, time->wall_us);
    Pack_Array(&pack, Sus_CountRecords(table));
    for (size_t i = 0; i < table->request_count; i++) {
        for (uint32_t k = 0; k < table->requests[i].crash_count; k++) {
            SuspectRecord record =
                Sus_MakeRecord(&table->requests[i], k, time->monotonic_now);
            Suspectmsg_PutRecord(&pack, &record);
        }
    }
    saved = Frm_SavePayload(folder, file_name, Pack_View(&pack), err);
    Pack_Finish(&pack);
    return saved;
}

static bool
load_records(Str payload, SuspectTable *table, const SuspectStoreTime *time,
             Err *err)
{
    Unpack in;
    Unpack records;
    SuspectRecord record;
    int64_t saved_wall_us;
    uint32_t count;
    bool ok;

    if (!Unpack_Init(&in, payload, err)) {
        return false;
    }
    saved_wall_us = Unpack_I64(&in);
    count = Unpack_Array(&in, Suspectmsg_RECORDS_MAX, &records);
    for (uint32_t i = 0; i < count && Suspectmsg_TakeRecord(&records, &record);
         i++) {
        record.age +=
            time->wall_us > saved_wall_us ? time->wall_us - saved_wall_us : 0;
        Sus_MergeRecord(table, &record, time->monotonic_now);
    }
    if (!Unpack_Ok(&records, NULL)) {
        Unpack_Fail(&in);
    }
    ok = Unpack_Ok(&in, err);
    Unpack_Finish(&in);
    return ok;
}

bool
Sst_Load(Str folder, SuspectTable *table, const SuspectStoreTime *time,
         Err *err)
{
    StrBuf bytes = {0};
    Str payload = {0};
    bool ok = Frm_LoadPayload(folder, file_name, &bytes, &payload, err) &&
              load_records(payload, table, time, err);

    StrBuf_Finish(&bytes);
    return ok;
}
