#include "process/suspectstore.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "connection/suspectmsg.h"
#include "version/frame.h"

enum { FIELDS = 2 };

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
Sst_Save(Str folder, const SuspectTable *sus, const SuspectStoreTime *time,
         Err *err)
{
    int fd = open_folder(folder, err);
    StrBuf bytes = {0};
    Pack pack;
    bool saved;

    if (fd < 0) {
        return false;
    }
    Pack_Init(&pack, FIELDS);
    Pack_I64(&pack, time->wall_us);
    Pack_Array(&pack, Sus_CountRecords(sus));
    for (size_t i = 0; i < sus->request_count; i++) {
        for (uint32_t k = 0; k < sus->requests[i].crash_count; k++) {
            SuspectRecord row =
                Sus_MakeRecord(&sus->requests[i], k, time->monotonic_now);
            Suspectmsg_PutRow(&pack, &row);
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
read_rows(Str payload, SuspectTable *sus, const SuspectStoreTime *time,
          Err *err)
{
    Unpack in;
    Unpack rows;
    SuspectRecord row;
    int64_t wall;
    uint32_t count;
    bool good;

    if (!Unpack_Init(&in, payload, err)) {
        return false;
    }
    wall = Unpack_I64(&in);
    count = Unpack_Array(&in, Suspectmsg_ROWS_MAX, &rows);
    for (uint32_t i = 0; i < count && Suspectmsg_TakeRow(&rows, &row); i++) {
        row.age += time->wall_us > wall ? time->wall_us - wall : 0;
        Sus_MergeRecord(sus, &row, time->monotonic_now);
    }
    if (!Unpack_Ok(&rows, NULL)) {
        Unpack_Fail(&in);
    }
    good = Unpack_Ok(&in, err);
    Unpack_Finish(&in);
    return good;
}

static bool
read_file(int fd, SuspectTable *sus, const SuspectStoreTime *time, Err *err)
{
    StrBuf bytes = {0};
    Str rest;
    Str payload = {0};
    bool found = false;
    bool good = Frm_ReadFile(fd, file_name, &bytes, &found, err);

    rest = StrBuf_View(&bytes);
    if (good && !found) {
        good = Err_SET(err, Err_IO, "no file %s", file_name);
    }
    else if (good && Frm_Take(&rest, &payload) != Frm_WHOLE) {
        good = Err_SET(err, Err_CORRUPT, "%s does not match its checksum",
                       file_name);
    }
    good = good && read_rows(payload, sus, time, err);
    StrBuf_Finish(&bytes);
    return good;
}

bool
Sst_Load(Str folder, SuspectTable *sus, const SuspectStoreTime *time, Err *err)
{
    int fd = open_folder(folder, err);
    bool good;

    if (fd < 0) {
        return false;
    }
    good = read_file(fd, sus, time, err);
    close(fd);
    return good;
}
