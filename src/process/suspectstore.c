#include "process/suspectstore.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "connection/suspectmsg.h"
#include "version/frame.h"

enum { PAYLOAD_FIELDS = 2 };

static const char file_name[] = "suspects";

static int
open_folder(Str folder, Err *err)
{
    StrBuf path = {0};
    int fd;

    StrBuf_Set(&path, folder);
    fd = open(StrBuf_CStr(&path), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        Err_SET(err, Err_IO, "cannot open %.*s: %s", Str_ARG(folder),
                strerror(errno));
    }
    StrBuf_Finish(&path);
    return fd;
}

bool
Sst_Save(Str folder, const SuspectTable *table, const SuspectStoreTime *time,
         Err *err)
{
    int fd = open_folder(folder, err);
    StrBuf bytes = {0};
    Pack pack;
    bool saved;

    if (fd < 0) {
        return false;
    }
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
    Frm_Append(&bytes, Pack_View(&pack));
    saved = Frm_ReplaceFile(fd, file_name, StrBuf_View(&bytes), err);
    Pack_Finish(&pack);
    StrBuf_Finish(&bytes);
    close(fd);
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

static bool
load_file(int fd, SuspectTable *table, const SuspectStoreTime *time, Err *err)
{
    StrBuf bytes = {0};
    Str rest;
    Str payload = {0};
    bool found = false;
    bool ok = Frm_ReadFile(fd, file_name, &bytes, &found, err);

    rest = StrBuf_View(&bytes);
    if (ok && !found) {
        ok = Err_SET(err, Err_IO, "no file %s", file_name);
    }
    else if (ok && Frm_ReadNext(&rest, &payload) != Frm_COMPLETE) {
        ok = Err_SET(err, Err_CORRUPT, "%s does not match its checksum",
                     file_name);
    }
    ok = ok && load_records(payload, table, time, err);
    StrBuf_Finish(&bytes);
    return ok;
}

bool
Sst_Load(Str folder, SuspectTable *table, const SuspectStoreTime *time,
         Err *err)
{
    int fd = open_folder(folder, err);
    bool ok;

    if (fd < 0) {
        return false;
    }
    ok = load_file(fd, table, time, err);
    close(fd);
    return ok;
}
