#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <unistd.h>

#include "fleet.h"
#include "process/settings/settings.h"

int
Fleet_RawOpen(Fleet *fleet, int vm, int port)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    inet_pton(AF_INET, StrBuf_CStr(&fleet->vms[vm].ip), &to.sin_addr);
    to.sin_port = htons((uint16_t)port);
    if (connect(fd, (struct sockaddr *)&to, sizeof to)) {
        close(fd);
        return -1;
    }
    return fd;
}

void
Fleet_RawSend(int fd, Str bytes)
{
    while (bytes.len) {
        ssize_t sent = send(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes = Str_Slice(bytes, (size_t)sent, bytes.len);
    }
}

bool
Fleet_RawRead(int fd, Span wait, StrBuf *out)
{
    char bytes[65536];
    struct pollfd item = {.fd = fd, .events = POLLIN};

    while (poll(&item, 1, (int)(wait / 1000)) > 0) {
        ssize_t got = recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            return true;
        }
        StrBuf_Append(out, Str_From(bytes, (size_t)got));
    }
    return false;
}

void
Fleet_RawClose(int fd)
{
    close(fd);
}

uint64_t
Fleet_ReadResidentKb(pid_t process)
{
    StrBuf name = {0};
    StrBuf text = {0};
    Str rest;
    uint64_t kb = 0;

    StrBuf_AppendFmt(&name, "/proc/%d/status", (int)process);
    Set_ReadFile(StrBuf_View(&name), &text, NULL);
    for (rest = StrBuf_View(&text); rest.len;) {
        size_t end = Str_Find(rest, '\n');
        Str line = Str_Slice(rest, 0, end);
        if (Str_StartsWith(line, Str_LIT("VmRSS:"))) {
            sscanf(line.ptr, "VmRSS: %lu", &kb);
        }
        rest = Str_Slice(rest, end + 1, rest.len);
    }
    StrBuf_Finish(&name);
    StrBuf_Finish(&text);
    return kb;
}
