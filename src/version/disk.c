#include "version/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "value/pack.h"
#include "version/disklog.h"
#include "version/frame.h"

static const char identity_file[] = "identity";
static const char vote_file[] = "vote";
static const char log_file[] = "log";
static const char snapshot_file[] = "snapshot";

static bool
open_folder(ReplicaStorage *disk, Str folder, Err *err)
{
    StrBuf name = {0};
    const char *path;

    StrBuf_Set(&name, folder);
    path = StrBuf_CStr(&name);
    if (mkdir(path, 0700) != 0 && errno != EEXIST) {
        Err_SET(err, Err_IO, "cannot make %s: %s", path, strerror(errno));
    }
    disk->folder_fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (disk->folder_fd < 0) {
        Err_SET(err, Err_IO, "cannot open %s: %s", path, strerror(errno));
    }
    else if (flock(disk->folder_fd, LOCK_EX | LOCK_NB) != 0) {
        Err_SET(err, Err_IO, "%s is in use by another process", path);
        close(disk->folder_fd);
        disk->folder_fd = -1;
    }
    StrBuf_Finish(&name);
    return disk->folder_fd >= 0;
}

/* A file of one frame; FOUND tells whether it is there. */
static bool
read_single(ReplicaStorage *disk, const char *name, StrBuf *bytes,
            Str *payload, bool *found, Err *err)
{
    Str rest;

    if (!Frm_ReadFile(disk->folder_fd, name, bytes, found, err)) {
        return false;
    }
    if (!*found) {
        return true;
    }
    rest = StrBuf_View(bytes);
    if (Frm_ReadNext(&rest, payload) != Frm_COMPLETE || rest.len) {
        return Err_SET(err, Err_CORRUPT, "%s does not match its checksum",
                       name);
    }
    return true;
}

/* A file of one frame that holds COUNT numbers. */
static bool
read_numbers(ReplicaStorage *disk, const char *name, uint64_t *numbers,
             uint32_t count, bool *found, Err *err)
{
    StrBuf bytes = {0};
    Str payload;
    Unpack in;
    bool good = read_single(disk, name, &bytes, &payload, found, err);

    if (good && *found) {
        good = Unpack_Init(&in, payload, err);
        for (uint32_t i = 0; good && i < count; i++) {
            numbers[i] = Unpack_U64(&in);
        }
        good = good && Unpack_Ok(&in, err);
        Unpack_Finish(&in);
    }
    StrBuf_Finish(&bytes);
    return good;
}

static bool
write_numbers(ReplicaStorage *disk, const char *name, const uint64_t *numbers,
              uint32_t count, Err *err)
{
    Pack pack;
    StrBuf bytes = {0};
    bool good;

    Pack_Init(&pack, count);
    for (uint32_t i = 0; i < count; i++) {
        Pack_U64(&pack, numbers[i]);
    }
    Frm_Append(&bytes, Pack_View(&pack));
    good = Frm_ReplaceFile(disk->folder_fd, name, StrBuf_View(&bytes), err);
    Pack_Finish(&pack);
    StrBuf_Finish(&bytes);
    return good;
}

static bool
open_log(ReplicaStorage *disk, Err *err)
{
    disk->log_fd =
        openat(disk->folder_fd, log_file, O_WRONLY | O_APPEND | O_CLOEXEC);
    return disk->log_fd >= 0 ||
           Err_SET(err, Err_CORRUPT, "no log: %s", strerror(errno));
}

/* A folder without an identity holds nothing, or was lost in part. */
static bool
check_empty(ReplicaStorage *disk, Err *err)
{
    const char *const names[] = {log_file, snapshot_file};

    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
        struct stat file;
        if (fstatat(disk->folder_fd, names[i], &file, 0) == 0 &&
            file.st_size > 0) {
            return Err_SET(err, Err_CORRUPT, "%s without an identity",
                           names[i]);
        }
    }
    return true;
}

static bool
make_files(ReplicaStorage *disk, uint64_t new_identity, Err *err)
{
    const uint64_t vote[] = {0, 0};

    disk->identity = new_identity;
    disk->is_new = true;
    return check_empty(disk, err) &&
           Frm_ReplaceFile(disk->folder_fd, log_file, (Str){0}, err) &&
           write_numbers(disk, vote_file, vote, 2, err) &&
           write_numbers(disk, identity_file, &new_identity, 1, err);
}

bool
Disk_Init(ReplicaStorage *disk, Str folder, uint64_t new_identity, Err *err)
{
    bool found = false;

    *disk = (ReplicaStorage){.folder_fd = -1, .log_fd = -1};
    if (open_folder(disk, folder, err) &&
        read_numbers(disk, identity_file, &disk->identity, 1, &found, err) &&
        (found || make_files(disk, new_identity, err)) &&
        open_log(disk, err)) {
        return true;
    }
    Disk_Finish(disk);
    return false;
}

void
Disk_Finish(ReplicaStorage *disk)
{
    if (disk->log_fd >= 0) {
        close(disk->log_fd);
    }
    if (disk->folder_fd >= 0) {
        close(disk->folder_fd);
    }
    *disk = (ReplicaStorage){.folder_fd = -1, .log_fd = -1};
}

static bool
load_vote(ReplicaStorage *disk, const StorageLoadCallbacks *reader, Err *err)
{
    uint64_t vote[2];
    bool found;

    if (!read_numbers(disk, vote_file, vote, 2, &found, err)) {
        return false;
    }
    if (!found) {
        return Err_SET(err, Err_CORRUPT, "no vote");
    }
    return reader->on_vote(reader->context, vote[0], vote[1], err);
}

static bool
take_snapshot(const StorageLoadCallbacks *reader, Str payload, uint64_t *term,
              uint64_t *index, Err *err)
{
    Unpack in;
    Str state;
    bool good;

    if (!Unpack_Init(&in, payload, err)) {
        return false;
    }
    *term = Unpack_U64(&in);
    *index = Unpack_U64(&in);
    state = Unpack_Str(&in);
    good = Unpack_Ok(&in, err) &&
           reader->on_snapshot(reader->context, *term, *index, state, err);
    Unpack_Finish(&in);
    return good;
}

static bool
load_snapshot(ReplicaStorage *disk, const StorageLoadCallbacks *reader,
              uint64_t *term, uint64_t *index, Err *err)
{
    StrBuf bytes = {0};
    Str payload;
    bool found;
    bool good =
        read_single(disk, snapshot_file, &bytes, &payload, &found, err);

    if (good && found) {
        good = take_snapshot(reader, payload, term, index, err);
    }
    StrBuf_Finish(&bytes);
    return good;
}

static bool
hand_over(const StorageLoadCallbacks *reader, const LogEntryList *list,
          Err *err)
{
    for (size_t i = 0; i < list->count; i++) {
        if (!reader->on_entry(reader->context, &list->entries[i], err)) {
            return false;
        }
    }
    return true;
}

static bool
cut_torn(ReplicaStorage *disk, size_t bytes, size_t whole, Err *err)
{
    disk->truncated_bytes = bytes - whole;
    if (disk->truncated_bytes && (ftruncate(disk->log_fd, (off_t)whole) != 0 ||
                                  fsync(disk->log_fd) != 0)) {
        return Err_SET(err, Err_IO, "cannot cut the log: %s", strerror(errno));
    }
    return true;
}

static bool
load_log(ReplicaStorage *disk, const StorageLoadCallbacks *reader,
         uint64_t term, uint64_t index, Err *err)
{
    StrBuf bytes = {0};
    LogEntryList list;
    bool found;
    bool good;

    Dlg_Init(&list);
    good = Frm_ReadFile(disk->folder_fd, log_file, &bytes, &found, err) &&
           Dlg_ReadFrames(&list, StrBuf_View(&bytes), err) &&
           cut_torn(disk, bytes.len, list.intact_bytes, err) &&
           Dlg_DropThroughSnapshot(&list, term, index, err) &&
           hand_over(reader, &list, err);
    Dlg_Finish(&list);
    StrBuf_Finish(&bytes);
    return good;
}

bool
Disk_Load(ReplicaStorage *disk, const StorageLoadCallbacks *reader, Err *err)
{
    uint64_t term = 0;
    uint64_t index = 0;

    return load_vote(disk, reader, err) &&
           load_snapshot(disk, reader, &term, &index, err) &&
           load_log(disk, reader, term, index, err);
}

static bool
has_failed(const ReplicaStorage *disk, Err *err)
{
    return disk->write_failed &&
           !Err_SET(err, Err_IO, "an earlier write failed");
}

static bool
keep_result(ReplicaStorage *disk, bool good)
{
    disk->write_failed = !good;
    return good;
}

bool
Disk_StoreVote(ReplicaStorage *disk, uint64_t term, uint64_t voted_for,
               Err *err)
{
    const uint64_t vote[] = {term, voted_for};

    if (has_failed(disk, err)) {
        return false;
    }
    return keep_result(disk, write_numbers(disk, vote_file, vote, 2, err));
}

static bool
append_log(ReplicaStorage *disk, StrBuf *frame, Err *err)
{
    bool good = !has_failed(disk, err) &&
                keep_result(disk, Frm_WriteSynced(disk->log_fd,
                                                  StrBuf_View(frame), err));

    StrBuf_Finish(frame);
    return good;
}

bool
Disk_StoreEntries(ReplicaStorage *disk, const RaftEntry *entries, size_t count,
                  Err *err)
{
    StrBuf frame = {0};

    Dlg_AppendEntries(&frame, entries, count);
    return append_log(disk, &frame, err);
}

bool
Disk_TruncateEntries(ReplicaStorage *disk, uint64_t from_index, Err *err)
{
    StrBuf frame = {0};

    Dlg_AppendTruncation(&frame, from_index);
    return append_log(disk, &frame, err);
}

static bool
replace_log(ReplicaStorage *disk, const LogEntryList *list, Err *err)
{
    StrBuf bytes = {0};
    bool good;

    if (list->count) {
        Dlg_AppendEntries(&bytes, list->entries, list->count);
    }
    good =
        Frm_ReplaceFile(disk->folder_fd, log_file, StrBuf_View(&bytes), err);
    StrBuf_Finish(&bytes);
    if (!good) {
        return false;
    }
    close(disk->log_fd);
    return open_log(disk, err);
}

static bool
shorten_log(ReplicaStorage *disk, uint64_t term, uint64_t index, Err *err)
{
    StrBuf bytes = {0};
    LogEntryList list;
    bool found;
    bool good;

    Dlg_Init(&list);
    good = Frm_ReadFile(disk->folder_fd, log_file, &bytes, &found, err) &&
           Dlg_ReadFrames(&list, StrBuf_View(&bytes), err) &&
           Dlg_DropThroughSnapshot(&list, term, index, err) &&
           replace_log(disk, &list, err);
    Dlg_Finish(&list);
    StrBuf_Finish(&bytes);
    return good;
}

static bool
write_snapshot(ReplicaStorage *disk, uint64_t term, uint64_t index,
               Str snapshot, Err *err)
{
    Pack pack;
    StrBuf bytes = {0};
    bool good;

    Pack_Init(&pack, 3);
    Pack_U64(&pack, term);
    Pack_U64(&pack, index);
    Pack_Str(&pack, snapshot);
    Frm_Append(&bytes, Pack_View(&pack));
    good = Frm_ReplaceFile(disk->folder_fd, snapshot_file, StrBuf_View(&bytes),
                           err);
    Pack_Finish(&pack);
    StrBuf_Finish(&bytes);
    return good;
}

bool
Disk_StoreSnapshot(ReplicaStorage *disk, uint64_t term, uint64_t index,
                   Str snapshot, Err *err)
{
    if (has_failed(disk, err)) {
        return false;
    }
    return keep_result(disk,
                       write_snapshot(disk, term, index, snapshot, err) &&
                           shorten_log(disk, term, index, err));
}
