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

/* So many entries of the largest size fit into a frame. */
enum { FRAME_ENTRIES_MAX = 16 };

static const char identity_file[] = "identity";
static const char vote_file[] = "vote";
static const char log_file[] = "log";
static const char snapshot_file[] = "snapshot";

static bool
open_folder(ReplicaStorage *storage, Str folder, Err *err)
{
    StrBuf name = {0};
    const char *path;

    if (!Frm_MakeFolder(folder, err)) {
        return false;
    }
    StrBuf_Set(&name, folder);
    path = StrBuf_CStr(&name);
    storage->folder_fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (storage->folder_fd < 0) {
        Err_SET(err, Err_IO, "cannot open %s: %s", path, strerror(errno));
    }
    else if (flock(storage->folder_fd, LOCK_EX | LOCK_NB) != 0) {
        Err_SET(err, Err_BUSY, "%s is in use by another process", path);
        close(storage->folder_fd);
        storage->folder_fd = -1;
    }
    StrBuf_Finish(&name);
    return storage->folder_fd >= 0;
}

/* Reads file NAME, which holds one frame, into BYTES.  PAYLOAD points into
 * BYTES.  FOUND is false when there is no such file. */
static bool
read_frame_file(ReplicaStorage *storage, const char *name, StrBuf *bytes,
                Str *payload, bool *found, Err *err)
{
    Str rest;

    if (!Frm_ReadFile(storage->folder_fd, name, bytes, found, err)) {
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

/* Reads file NAME, which holds one frame of COUNT numbers. */
static bool
read_numbers(ReplicaStorage *storage, const char *name, uint64_t *numbers,
             uint32_t count, bool *found, Err *err)
{
    StrBuf bytes = {0};
    Str payload;
    Unpack in;
    bool good = read_frame_file(storage, name, &bytes, &payload, found, err);

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
write_numbers(ReplicaStorage *storage, const char *name,
              const uint64_t *numbers, uint32_t count, Err *err)
{
    Pack pack;
    StrBuf bytes = {0};
    bool good;

    Pack_Init(&pack, count);
    for (uint32_t i = 0; i < count; i++) {
        Pack_U64(&pack, numbers[i]);
    }
    Frm_Append(&bytes, Pack_View(&pack));
    good = Frm_ReplaceFile(storage->folder_fd, name, StrBuf_View(&bytes), err);
    Pack_Finish(&pack);
    StrBuf_Finish(&bytes);
    return good;
}

static bool
open_log(ReplicaStorage *storage, Err *err)
{
    storage->log_fd =
        openat(storage->folder_fd, log_file, O_WRONLY | O_APPEND | O_CLOEXEC);
    return storage->log_fd >= 0 ||
           Err_SET(err, Err_CORRUPT, "cannot open the log: %s",
                   strerror(errno));
}

/* The identity is the last file that is written when a folder is made.  A
 * folder without an identity was therefore never used, unless its log or
 * snapshot holds data: then the identity was lost. */
static bool
check_empty(ReplicaStorage *storage, Err *err)
{
    const char *const names[] = {log_file, snapshot_file};

    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
        struct stat file;
        if (fstatat(storage->folder_fd, names[i], &file, 0) == 0 &&
            file.st_size > 0) {
            return Err_SET(err, Err_CORRUPT,
                           "%s exists without an identity file", names[i]);
        }
    }
    return true;
}

static bool
create_files(ReplicaStorage *storage, uint64_t new_identity, Err *err)
{
    const uint64_t vote[] = {0, 0};

    storage->identity = new_identity;
    storage->is_new = true;
    return check_empty(storage, err) &&
           Frm_ReplaceFile(storage->folder_fd, log_file, (Str){0}, err) &&
           write_numbers(storage, vote_file, vote, 2, err) &&
           write_numbers(storage, identity_file, &new_identity, 1, err);
}

/* An earlier process may have ended, or failed, between a rename and its
 * sync. */
static bool
sync_names(ReplicaStorage *storage, Err *err)
{
    return fsync(storage->folder_fd) == 0 ||
           Err_SET(err, Err_IO, "cannot sync the folder: %s", strerror(errno));
}

bool
Disk_Init(ReplicaStorage *storage, Str folder, uint64_t new_identity, Err *err)
{
    bool found = false;

    *storage = (ReplicaStorage){.folder_fd = -1, .log_fd = -1};
    if (open_folder(storage, folder, err) && sync_names(storage, err) &&
        read_numbers(storage, identity_file, &storage->identity, 1, &found,
                     err) &&
        (found || create_files(storage, new_identity, err)) &&
        open_log(storage, err)) {
        return true;
    }
    Disk_Finish(storage);
    return false;
}

void
Disk_Finish(ReplicaStorage *storage)
{
    if (storage->log_fd >= 0) {
        close(storage->log_fd);
    }
    if (storage->folder_fd >= 0) {
        close(storage->folder_fd);
    }
    *storage = (ReplicaStorage){.folder_fd = -1, .log_fd = -1};
}

/* Reports the vote of the log, or that of the vote file: it holds the first
 * one, and all votes of programs that stored them there alone. */
static bool
load_vote(ReplicaStorage *storage, const StorageLoadCallbacks *callbacks,
          const LogEntryList *list, Err *err)
{
    uint64_t vote[2];
    bool found;

    if (!read_numbers(storage, vote_file, vote, 2, &found, err)) {
        return false;
    }
    if (!found) {
        return Err_SET(err, Err_CORRUPT, "the vote file is missing");
    }
    if (list->has_vote && list->vote_term >= vote[0]) {
        vote[0] = list->vote_term;
        vote[1] = list->voted_for;
    }
    return callbacks->on_vote(callbacks->context, vote[0], vote[1], err);
}

static bool
unpack_snapshot(const StorageLoadCallbacks *callbacks, Str payload,
                uint64_t *term, uint64_t *index, Err *err)
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
    good =
        Unpack_Ok(&in, err) &&
        callbacks->on_snapshot(callbacks->context, *term, *index, state, err);
    Unpack_Finish(&in);
    return good;
}

static bool
load_snapshot(ReplicaStorage *storage, const StorageLoadCallbacks *callbacks,
              uint64_t *term, uint64_t *index, Err *err)
{
    StrBuf bytes = {0};
    Str payload;
    bool found;
    bool good =
        read_frame_file(storage, snapshot_file, &bytes, &payload, &found, err);

    if (good && found) {
        good = unpack_snapshot(callbacks, payload, term, index, err);
    }
    StrBuf_Finish(&bytes);
    return good;
}

static bool
report_entries(const StorageLoadCallbacks *callbacks, const LogEntryList *list,
               Err *err)
{
    for (size_t i = 0; i < list->count; i++) {
        if (!callbacks->on_entry(callbacks->context, &list->entries[i], err)) {
            return false;
        }
    }
    return true;
}

/* Reads the log into LIST, which points into BYTES. */
static bool
read_log(ReplicaStorage *storage, StrBuf *bytes, LogEntryList *list, Err *err)
{
    bool found;

    return Frm_ReadFile(storage->folder_fd, log_file, bytes, &found, err) &&
           Dlg_ReadFrames(list, StrBuf_View(bytes), err);
}

static bool
write_log(ReplicaStorage *storage, Str bytes, Err *err)
{
    if (!Frm_ReplaceFile(storage->folder_fd, log_file, bytes, err)) {
        return false;
    }
    close(storage->log_fd);
    return open_log(storage, err);
}

/* Writes a log of the entries and the vote of LIST alone. */
static bool
replace_log(ReplicaStorage *storage, const LogEntryList *list, Err *err)
{
    StrBuf bytes = {0};
    bool good;

    if (list->has_vote) {
        Dlg_AppendVote(&bytes, list->vote_term, list->voted_for);
    }
    for (size_t i = 0; i < list->count; i += FRAME_ENTRIES_MAX) {
        size_t left = list->count - i;
        Dlg_AppendEntries(&bytes, list->entries + i,
                          left < FRAME_ENTRIES_MAX ? left : FRAME_ENTRIES_MAX);
    }
    good = write_log(storage, StrBuf_View(&bytes), err);
    StrBuf_Finish(&bytes);
    return good;
}

/* Writes the log anew: what was read may be in memory alone, when an earlier
 * process ended or failed before its sync, and a sync of the same file after
 * one that failed may say nothing.  BYTES is what was read.
 *
 * The entries that the snapshot covers are left out, since later ones could
 * not be appended to them. */
static bool
make_log_durable(ReplicaStorage *storage, LogEntryList *list, Str bytes,
                 uint64_t term, uint64_t index, Err *err)
{
    size_t count = list->count;

    storage->truncated_bytes = bytes.len - list->intact_bytes;
    if (!Dlg_DropThroughSnapshot(list, term, index, err)) {
        return false;
    }
    if (list->count != count) {
        return replace_log(storage, list, err);
    }
    return bytes.len == 0 ||
           write_log(storage, Str_Slice(bytes, 0, list->intact_bytes), err);
}

bool
Disk_Load(ReplicaStorage *storage, const StorageLoadCallbacks *callbacks,
          Err *err)
{
    StrBuf bytes = {0};
    LogEntryList list;
    uint64_t term = 0;
    uint64_t index = 0;
    bool good;

    Dlg_Init(&list);
    good = read_log(storage, &bytes, &list, err) &&
           load_vote(storage, callbacks, &list, err) &&
           load_snapshot(storage, callbacks, &term, &index, err) &&
           make_log_durable(storage, &list, StrBuf_View(&bytes), term, index,
                            err) &&
           report_entries(callbacks, &list, err);
    Dlg_Finish(&list);
    StrBuf_Finish(&bytes);
    return good;
}

static bool
has_failed(const ReplicaStorage *storage, Err *err)
{
    return storage->write_failed &&
           !Err_SET(err, Err_IO, "an earlier write failed");
}

static bool
note_result(ReplicaStorage *storage, bool good)
{
    storage->write_failed = !good;
    return good;
}

static bool
append_log(ReplicaStorage *storage, StrBuf *frame, Err *err)
{
    bool good = !has_failed(storage, err) &&
                note_result(storage, Frm_WriteSynced(storage->log_fd,
                                                     StrBuf_View(frame), err));

    StrBuf_Finish(frame);
    return good;
}

bool
Disk_StoreVote(ReplicaStorage *storage, uint64_t term, uint64_t voted_for,
               Err *err)
{
    StrBuf frame = {0};

    Dlg_AppendVote(&frame, term, voted_for);
    return append_log(storage, &frame, err);
}

bool
Disk_StoreEntries(ReplicaStorage *storage, const RaftEntry *entries,
                  size_t count, Err *err)
{
    StrBuf frame = {0};

    Dlg_AppendEntries(&frame, entries, count);
    return append_log(storage, &frame, err);
}

bool
Disk_TruncateEntries(ReplicaStorage *storage, uint64_t from_index, Err *err)
{
    StrBuf frame = {0};

    Dlg_AppendTruncation(&frame, from_index);
    return append_log(storage, &frame, err);
}

static bool
compact_log(ReplicaStorage *storage, uint64_t term, uint64_t index, Err *err)
{
    StrBuf bytes = {0};
    LogEntryList list;
    bool good;

    Dlg_Init(&list);
    good = read_log(storage, &bytes, &list, err) &&
           Dlg_DropThroughSnapshot(&list, term, index, err) &&
           replace_log(storage, &list, err);
    Dlg_Finish(&list);
    StrBuf_Finish(&bytes);
    return good;
}

static bool
write_snapshot(ReplicaStorage *storage, uint64_t term, uint64_t index,
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
    good = Frm_ReplaceFile(storage->folder_fd, snapshot_file,
                           StrBuf_View(&bytes), err);
    Pack_Finish(&pack);
    StrBuf_Finish(&bytes);
    return good;
}

bool
Disk_StoreSnapshot(ReplicaStorage *storage, uint64_t term, uint64_t index,
                   Str snapshot, Err *err)
{
    if (has_failed(storage, err)) {
        return false;
    }
    return note_result(storage,
                       write_snapshot(storage, term, index, snapshot, err) &&
                           compact_log(storage, term, index, err));
}
