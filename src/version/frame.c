#include "version/frame.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

enum { LENGTH_AT = 0, LENGTH_SUM_AT = 4, PAYLOAD_SUM_AT = 8, NAME_BYTES = 64 };

static void
put_number(char *to, uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        to[i] = (char)(value >> (8 * i));
    }
}

static uint64_t
take_number(const char *from, int bytes)
{
    uint64_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value |= (uint64_t)(unsigned char)from[i] << (8 * i);
    }
    return value;
}

static uint32_t
sum_length(const char *header)
{
    return (uint32_t)XXH64(header + LENGTH_AT, 4, 1);
}

void
Frm_Append(StrBuf *out, Str payload)
{
    char header[Frm_HEADER_BYTES];

    put_number(header + LENGTH_AT, payload.len, 4);
    put_number(header + LENGTH_SUM_AT, sum_length(header), 4);
    put_number(header + PAYLOAD_SUM_AT, XXH64(payload.ptr, payload.len, 0), 8);
    StrBuf_Append(out, Str_From(header, sizeof header));
    StrBuf_Append(out, payload);
}

/* A file may have been lengthened before its bytes were written. */
static bool
all_zero(Str bytes)
{
    for (size_t i = 0; i < bytes.len; i++) {
        if (bytes.ptr[i]) {
            return false;
        }
    }
    return true;
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
    rest = Str_Slice(*bytes, Frm_HEADER_BYTES, bytes->len);
    len = take_number(bytes->ptr + LENGTH_AT, 4);
    if (take_number(bytes->ptr + LENGTH_SUM_AT, 4) != sum_length(bytes->ptr) ||
        len > Frm_PAYLOAD_BYTES_MAX) {
        return all_zero(rest) ? Frm_TORN : Frm_CORRUPT;
    }
    if (rest.len < len) {
        return Frm_TORN;
    }
    *payload = Str_Slice(rest, 0, len);
    if (XXH64(payload->ptr, len, 0) !=
        take_number(bytes->ptr + PAYLOAD_SUM_AT, 8)) {
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
rename_synced(int folder_fd, const char *from, const char *to, Err *err)
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
    char temporary[NAME_BYTES];
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
    return good && rename_synced(folder_fd, temporary, name, err);
}
