#include "crowd.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>

/* Turns in a row in which no connection could send anything, each after a
 * pause, until what is left stays unsent. */
enum { IDLE_TURNS_MAX = 20 };

/* Of a connection's socket. */
enum { RECEIVE_BYTES = 4096 };

#define IDLE_PAUSE Span_MS(50)

/* Returns the bytes of SCRIPT from OFFSET that lie in one piece. */
static Str
get_piece(const CrowdScript *script, size_t offset)
{
    size_t units_len = script->unit.len * script->units;

    if (offset < script->prefix.len) {
        return Str_Slice(script->prefix, offset, script->prefix.len);
    }
    offset -= script->prefix.len;
    if (offset < units_len) {
        return Str_Slice(script->unit, offset % script->unit.len,
                         script->unit.len);
    }
    return Str_Slice(script->suffix, offset - units_len, script->suffix.len);
}

/* Sends a part on connection INDEX.  Returns whether anything was sent. */
static bool
send_part(Crowd *crowd, int index, const CrowdScript *script)
{
    size_t before = crowd->sent[index];
    size_t end = before + script->part_bytes;

    while (crowd->fds[index] >= 0 && crowd->sent[index] < end) {
        Str piece = get_piece(script, crowd->sent[index]);
        ssize_t count;
        if (piece.len == 0) {
            break;
        }
        count = send(crowd->fds[index], piece.ptr, piece.len,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN) {
            Fleet_RawClose(crowd->fds[index]);
            crowd->fds[index] = -1;
        }
        if (count <= 0) {
            break;
        }
        crowd->sent[index] += (size_t)count;
    }
    return crowd->sent[index] > before;
}

static int
open_connection(Fleet *fleet, int vm, int port)
{
    int fd = Fleet_RawOpen(fleet, vm, port);
    int size = RECEIVE_BYTES;

    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
    return fd;
}

void
Crowd_Add(Crowd *crowd, Fleet *fleet, int vm, int port, int count,
          const CrowdScript *script)
{
    int first = crowd->count;
    int idle_turns = 0;

    for (int i = 0; i < count && crowd->count < Crowd_MAX; i++) {
        crowd->sent[crowd->count] = 0;
        crowd->fds[crowd->count] = open_connection(fleet, vm, port);
        crowd->count++;
    }
    while (idle_turns < IDLE_TURNS_MAX) {
        bool moved = false;
        bool left = false;
        for (int i = first; i < crowd->count; i++) {
            moved |= send_part(crowd, i, script);
            left |= crowd->fds[i] >= 0 &&
                    get_piece(script, crowd->sent[i]).len > 0;
        }
        if (!left) {
            return;
        }
        idle_turns = moved ? 0 : idle_turns + 1;
        if (!moved) {
            Fleet_Sleep(IDLE_PAUSE);
        }
    }
}

void
Crowd_SendAll(Crowd *crowd, Str bytes)
{
    for (int i = 0; i < crowd->count; i++) {
        if (crowd->fds[i] >= 0) {
            send(crowd->fds[i], bytes.ptr, bytes.len,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        }
    }
}

void
Crowd_Close(Crowd *crowd)
{
    for (int i = 0; i < crowd->count; i++) {
        if (crowd->fds[i] >= 0) {
            Fleet_RawClose(crowd->fds[i]);
        }
    }
    crowd->count = 0;
}

bool
Crowd_IsAlive(pid_t process)
{
    return process > 0 && waitpid(process, NULL, WNOHANG) == 0;
}

int
Crowd_ReadPeakKb(pid_t process)
{
    StrBuf path = {0};
    char line[256];
    int kb = 0;
    FILE *file;

    StrBuf_AppendFmt(&path, "/proc/%d/status", (int)process);
    file = fopen(StrBuf_CStr(&path), "r");
    while (file && fgets(line, sizeof line, file)) {
        sscanf(line, "VmHWM: %d", &kb);
    }
    if (file) {
        fclose(file);
    }
    StrBuf_Finish(&path);
    return kb;
}

int
Crowd_CountDescriptors(pid_t process)
{
    StrBuf path = {0};
    int count = 0;
    DIR *folder;

    StrBuf_AppendFmt(&path, "/proc/%d/fd", (int)process);
    folder = opendir(StrBuf_CStr(&path));
    while (folder && readdir(folder)) {
        count++;
    }
    if (folder) {
        closedir(folder);
    }
    StrBuf_Finish(&path);
    return count > 2 ? count - 2 : 0; /* less "." and ".." */
}
