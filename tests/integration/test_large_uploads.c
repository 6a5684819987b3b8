/* Uploads inside the configured limits, several at a time beside small
 * requests: the memory of the node where they begin and of the one beside the
 * backend server stays bounded, all uploads are served in the end, and small
 * requests always.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 88,
    CALLERS_PORT = 8000,
    UPLOADS_MAX = 16,
    PART_BYTES = 1000 * 1000,
    PEAK_KB_MAX = 128 * 1000,
    STATUS_OFFSET = 9
};

#define UPLOAD_TIMEOUT Span_S(60)

static Str build;

typedef struct {
    const char *name;
    int uploads; /* at a time */
    int parts;   /* of PART_BYTES in each */
    bool chunked;
    bool waits; /* for the 100 of Expect: 100-continue, or a final answer */
} UploadCase;

static const UploadCase cases[] = {
    {"1 of 60 MB", 1, 60, false, false},
    {"4 of 60 MB", 4, 60, false, false},
    {"16 of 60 MB", 16, 60, false, false},
    {"16 of 60 MB that wait for 100", 16, 60, false, true},
    {"16 of 10 MB", 16, 10, false, false},
    {"4 of 60 MB in chunks", 4, 60, true, false},
};

/* Sends BYTES unless an answer has come.  Returns false on an error. */
static bool
send_part(int fd, const char *bytes, size_t len)
{
    size_t sent = 0;

    while (sent < len) {
        ssize_t count = send(fd, bytes + sent, len - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += (size_t)count;
    }
    return true;
}

static bool
has_answer(int fd)
{
    char byte;

    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static int
read_status(int fd)
{
    StrBuf answer = {0};
    int status = 0;

    Fleet_RawRead(fd, UPLOAD_TIMEOUT, &answer);
    if (answer.len > STATUS_OFFSET) {
        sscanf(StrBuf_CStr(&answer) + STATUS_OFFSET, "%d", &status);
    }
    if (status == 503 &&
        (!strstr(StrBuf_CStr(&answer), "Retry-After: 1") ||
         !strstr(StrBuf_CStr(&answer), "X-Lycheeridge-Outcome: not-run"))) {
        status = -1;
    }
    StrBuf_Finish(&answer);
    return status;
}

static void
send_upload(int fd, const UploadCase *c, const char *part)
{
    StrBuf head = {0};
    char chunk[32];

    StrBuf_AppendFmt(&head, "PUT /visor/a HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\n"
                            "X-Lycheeridge-Deadline-Ms: 30000\r\n");
    if (c->chunked) {
        StrBuf_Append(&head, Str_LIT("Transfer-Encoding: chunked\r\n\r\n"));
    }
    else {
        StrBuf_AppendFmt(&head, "Content-Length: %d\r\n%s\r\n",
                         c->parts * PART_BYTES,
                         c->waits ? "Expect: 100-continue\r\n" : "");
    }
    send_part(fd, head.ptr, head.len);
    StrBuf_Finish(&head);
    if (c->waits) {
        char interim[64] = {0};
        recv(fd, interim, 12, MSG_PEEK | MSG_WAITALL);
        if (memcmp(interim, "HTTP/1.1 100", 12) != 0) {
            return;
        }
        recv(fd, interim, sizeof "HTTP/1.1 100 Continue\r\n\r\n" - 1,
             MSG_WAITALL);
    }
    for (int i = 0; i < c->parts && !has_answer(fd); i++) {
        int len = snprintf(chunk, sizeof chunk, "%x\r\n", PART_BYTES);
        if ((c->chunked && !send_part(fd, chunk, (size_t)len)) ||
            !send_part(fd, part, PART_BYTES) ||
            (c->chunked && !send_part(fd, "\r\n", 2))) {
            return;
        }
    }
    if (c->chunked && !has_answer(fd)) {
        send_part(fd, "0\r\n\r\n", 5);
    }
}

/* Runs in a process of its own: uploads once, and again a second after each
 * 503.  Exits with 0 when it was served, 1 after another answer. */
static void
run_uploader(Fleet *fleet, const UploadCase *c)
{
    static char part[PART_BYTES];
    int status = 503;

    while (status == 503) {
        int fd = Fleet_RawOpen(fleet, 0, CALLERS_PORT);
        send_upload(fd, c, part);
        status = read_status(fd);
        Fleet_RawClose(fd);
        if (status == 503) {
            Fleet_Sleep(Span_S(1));
        }
    }
    if (status != 200) {
        fprintf(stderr, "%s: an upload was answered %d\n", c->name, status);
    }
    _exit(status == 200 ? 0 : 1);
}

static int
read_peak_kb(pid_t process)
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

/* Sends small requests until all uploaders have exited.  Returns how many of
 * these failed. */
static int
serve_small_requests(Fleet *fleet, const UploadCase *c, pid_t *uploaders,
                     int *small)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a"),
                            .timeout = Span_S(10)};
    int left = c->uploads;
    int failed = 0;
    int status;

    while (left > 0) {
        FleetAnswer answer;
        Fleet_Send(fleet, 0, &request, &answer);
        ck_assert_msg(answer.status == 200,
                      "%s: a small request was answered %ld", c->name,
                      answer.status);
        Fleet_FinishAnswer(&answer);
        (*small)++;
        Fleet_Sleep(Span_MS(20));
        for (int i = 0; i < c->uploads; i++) {
            pid_t *uploader = &uploaders[i];
            if (*uploader && waitpid(*uploader, &status, WNOHANG) > 0) {
                *uploader = 0;
                left--;
                failed += status != 0;
            }
        }
    }
    return failed;
}

START_TEST(uploads_fit_in_memory)
{
    const UploadCase *c = &cases[_i];
    Fleet fleet;
    int failed;
    int small = 0;
    int peaks[2];
    pid_t uploaders[UPLOADS_MAX];

    Fleet_Init(&fleet, build, SUBNET, 2, 1);
    Fleet_SetExtraSettings(&fleet, Str_LIT("\"body_bytes_max\":67108864"));
    for (int i = 0; i < 2; i++) {
        Fleet_StartNode(&fleet, i);
    }
    Fleet_StartBackend(&fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    for (int i = 0; i < c->uploads; i++) {
        uploaders[i] = fork();
        if (uploaders[i] == 0) {
            run_uploader(&fleet, c);
        }
    }
    failed = serve_small_requests(&fleet, c, uploaders, &small);
    for (int i = 0; i < 2; i++) {
        peaks[i] = read_peak_kb(fleet.vms[i].node);
    }
    printf("%s: peak %d and %d KB, %d small requests, %d failed\n", c->name,
           peaks[0], peaks[1], small, failed);
    ck_assert_msg(failed == 0, "%s: %d uploads failed", c->name, failed);
    ck_assert_msg(!Fleet_MEMORY_IS_CHECKED ||
                      (peaks[0] < PEAK_KB_MAX && peaks[1] < PEAK_KB_MAX),
                  "%s: peak %d and %d KB", c->name, peaks[0], peaks[1]);
    Fleet_Finish(&fleet);
}
END_TEST

/* A caller that stops in the middle does not keep others from uploading. */
START_TEST(stalled_upload_is_given_up)
{
    const UploadCase c = {"beside a stalled one", 1, 60, false, false};
    Str head = Str_LIT("PUT /visor/a HTTP/1.1\r\nHost: x\r\n"
                       "Content-Length: 60000000\r\n\r\nthe first bytes");
    Fleet fleet;
    pid_t uploader;
    int small = 0;
    int fd;

    Fleet_Init(&fleet, build, SUBNET, 2, 1);
    Fleet_SetExtraSettings(&fleet, Str_LIT("\"body_bytes_max\":67108864,"
                                           "\"callers_idle_ms\":2000"));
    for (int i = 0; i < 2; i++) {
        Fleet_StartNode(&fleet, i);
    }
    Fleet_StartBackend(&fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    fd = Fleet_RawOpen(&fleet, 0, CALLERS_PORT);
    Fleet_RawSend(fd, head);
    Fleet_Sleep(Span_MS(500));
    uploader = fork();
    if (uploader == 0) {
        run_uploader(&fleet, &c);
    }
    ck_assert_int_eq(serve_small_requests(&fleet, &c, &uploader, &small), 0);
    ck_assert_int_eq(read_status(fd), 408);
    Fleet_RawClose(fd);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{uploads_fit_in_memory, ROWS(cases)},
                               {stalled_upload_is_given_up, 1}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("large uploads", tests, 2, 90);
}
