#include "version/frame.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

enum {
    LENGTH_OFFSET = 0,
    LENGTH_CHECKSUM_OFFSET = 4,
    PAYLOAD_CHECKSUM_OFFSET = 8,
    FILE_NAME_BYTES = 64
};

static void
store_little_endian(char *to, uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        to[i] = (char)(value >> (8 * i));
    }
}

static uint64_t
load_little_endian(const char *from, int bytes)
{
    uint64_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value |= (uint64_t)(unsigned char)from[i] << (8 * i);
    }
    return value;
}

static uint32_t
length_checksum(const char *header)
{
    return (uint32_t)XXH64(header + LENGTH_OFFSET, 4, 1);
}

void
Frm_Append(StrBuf *out, Str payload)
{
    char header[Frm_HEADER_BYTES];

    store_little_endian(header + LENGTH_OFFSET, payload.len, 4);
    store_little_endian(header + LENGTH_CHECKSUM_OFFSET,
                        length_checksum(header), 4);
    store_little_endian(header + PAYLOAD_CHECKSUM_OFFSET,
                        XXH64(payload.ptr, payload.len, 0), 8);
    StrBuf_Append(out, Str_From(header, sizeof header));
    StrBuf_Append(out, payload);
}

static bool
is_all_zero(Str bytes)
{
    for (size_t i = 0; i < bytes.len; i++) {
        if (bytes.ptr[i]) {
            return false;
        }
    }
    return true;
}

static bool
matches_header(Str bytes, size_t *len)
{
    if (bytes.len < Frm_HEADER_BYTES) {
        return false;
    }
    *len = load_little_endian(bytes.ptr + LENGTH_OFFSET, 4);
    return *len <= Frm_PAYLOAD_BYTES_MAX &&
           load_little_endian(bytes.ptr + LENGTH_CHECKSUM_OFFSET, 4) ==
               length_checksum(bytes.ptr);
}

static bool
has_header(Str bytes)
{
    size_t len;

    for (size_t i = 0; i < bytes.len; i++) {
        if (matches_header(Str_Slice(bytes, i, bytes.len), &len)) {
            return true;
        }
    }
    return false;
}

/* Used for a header that does not match: after a crash, a file may have its
 * new length while some pages were not written and read as zeros.  When the
 * first page of the last frame is among them, no header follows it. */
static bool
is_unwritten(Str frame)
{
    return is_all_zero(Str_Slice(frame, Frm_HEADER_BYTES, frame.len)) ||
           (frame.ptr[0] == 0 && !has_header(frame));
}

FrameStatus
Frm_ReadNext(Str *bytes, Str *payload)
{
    size_t len;
    Str rest;

    if (bytes->len == 0) {
        return Frm_END;
    }
    if (bytes->len < Frm_HEADER_BYTES) {
        return Frm_TORN;
    }
    if (!matches_header(*bytes, &len)) {
        return is_unwritten(*bytes) ? Frm_TORN : Frm_CORRUPT;
    }
    rest = Str_Slice(*bytes, Frm_HEADER_BYTES, bytes->len);
    if (rest.len < len) {
        return Frm_TORN;
    }
    *payload = Str_Slice(rest, 0, len);
    if (XXH64(payload->ptr, len, 0) !=
        load_little_endian(bytes->ptr + PAYLOAD_CHECKSUM_OFFSET, 8)) {
        return rest.len == len ? Frm_TORN : Frm_CORRUPT;
    }
    *bytes = Str_Slice(rest, len, rest.len);
    return Frm_COMPLETE;
}

bool
Frm_WriteSynced(int fd, Str bytes, Err *err)
{
    while (bytes.len) {
        ssize_t written = write(fd, bytes.ptr, bytes.len);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return Err_SET(err, Err_IO, "cannot write: %s", strerror(errno));
        }
        bytes = Str_Slice(bytes, (size_t)written, bytes.len);
    }
    if (fsync(fd) != 0) {
        return Err_SET(err, Err_IO, "cannot sync: %s", strerror(errno));
    }
    return true;
}

static bool
read_all(int fd, const char *name, StrBuf *out, Err *err)
{
    char bytes[65536];
    ssize_t got;

    while ((got = read(fd, bytes, sizeof bytes)) != 0) {
        if (got < 0 && errno == EINTR) {
            continue;
        }
        if (got < 0) {
            return Err_SET(err, Err_IO, "cannot read %s: %s", name,
                           strerror(errno));
        }
        StrBuf_Append(out, Str_From(bytes, (size_t)got));
    }
    return true;
}

bool
Frm_ReadFile(int folder_fd, const char *name, StrBuf *out, bool *found,
             Err *err)
{
    int fd = openat(folder_fd, name, O_RDONLY | O_CLOEXEC);
    bool good;

    *found = fd >= 0;
    if (fd < 0) {
        return errno == ENOENT || Err_SET(err, Err_IO, "cannot open %s: %s",
                                          name, strerror(errno));
    }
    good = read_all(fd, name, out, err);
    close(fd);
    return good;
}

static bool
rename_and_sync(int folder_fd, const char *from, const char *to, Err *err)
{
    if (renameat(folder_fd, from, folder_fd, to) != 0 ||
        fsync(folder_fd) != 0) {
        return Err_SET(err, Err_IO, "cannot rename to %s: %s", to,
                       strerror(errno));
    }
    return true;
}

bool
Frm_ReplaceFile(int folder_fd, const char *name, Str bytes, Err *err)
{
    char temporary[FILE_NAME_BYTES];
    int fd;
    bool good;

    snprintf(temporary, sizeof temporary, "%s.new", name);
    fd = openat(folder_fd, temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                0600);
    if (fd < 0) {
        return Err_SET(err, Err_IO, "cannot create %s: %s", temporary,
                       strerror(errno));
    }
    good = Frm_WriteSynced(fd, bytes, err);
    close(fd);
    return good && rename_and_sync(folder_fd, temporary, name, err);
}

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

/* The folder that FOLDER is in. */
static Str
find_parent(Str folder)
{
    size_t len = folder.len;

    while (len > 1 && folder.ptr[len - 1] == '/') {
        len--;
    }
    while (len && folder.ptr[len - 1] != '/') {
        len--;
    }
    return len ? Str_Slice(folder, 0, len) : Str_LIT(".");
}

/* Returns 0, or why it failed. */
static int
sync_folder(Str folder)
{
    int fd = open_folder(folder, NULL);
    int failure = fd >= 0 && fsync(fd) == 0 ? 0 : errno;

    if (fd >= 0) {
        close(fd);
    }
    return failure;
}

bool
Frm_MakeFolder(Str folder, Err *err)
{
    StrBuf path = {0};
    bool is_made;
    int failure;

    StrBuf_Set(&path, folder);
    is_made = mkdir(StrBuf_CStr(&path), 0700) == 0;
    failure = is_made || errno == EEXIST ? 0 : errno;
    StrBuf_Finish(&path);
    if (failure) {
        return Err_SET(err, Err_IO, "cannot create %.*s: %s", Str_ARG(folder),
                       strerror(failure));
    }
    /* A process that ended early may have made it and not synced.  One that
     * somebody else made may be in a folder that this process can't open. */
    failure = sync_folder(find_parent(folder));
    if (failure && (is_made || failure == EIO)) {
        return Err_SET(err, Err_IO, "cannot sync the folder of %.*s: %s",
                       Str_ARG(folder), strerror(failure));
    }
    return true;
}

bool
Frm_SavePayload(Str folder, const char *name, Str payload, Err *err)
{
    int fd = open_folder(folder, err);
    StrBuf bytes = {0};
    bool saved;

    if (fd < 0) {
        return false;
    }
    Frm_Append(&bytes, payload);
    saved = Frm_ReplaceFile(fd, name, StrBuf_View(&bytes), err);
    StrBuf_Finish(&bytes);
    close(fd);
    return saved;
}

bool
Frm_LoadPayload(Str folder, const char *name, StrBuf *bytes, Str *payload,
                Err *err)
{
    int fd = open_folder(folder, err);
    bool found = false;
    bool ok;
    Str rest;

    if (fd < 0) {
        return false;
    }
    ok = Frm_ReadFile(fd, name, bytes, &found, err);
    close(fd);
    rest = StrBuf_View(bytes);
    if (ok && !found) {
        return Err_SET(err, Err_IO, "no file %s", name);
    }
    if (ok && Frm_ReadNext(&rest, payload) != Frm_COMPLETE) {
        return Err_SET(err, Err_CORRUPT, "%s does not match its checksum",
                       name);
    }
    return ok;
}
