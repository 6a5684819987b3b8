/* The process that reads a node's log from a pipe stops reading or exits.  The
 * node keeps serving, counts the log lines that it drops, and logs a
 * line about them when the reader reads again.
 */
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 38, PIPE_BYTES = 4096, CALLS = 50, RELOADS = 60 };

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/visor/\","
            "\"idempotent\":true}]}");

typedef struct {
    const char *name;
    Str settings;      /* extra members of the node's settings */
    bool reader_exits; /* false: it only stops reading */
} Case;

static const Case cases[] = {
    {"reader stops", Str_LIT("\"log_level\":\"info\""), false},
    {"reader stops, debug level", Str_LIT("\"log_level\":\"debug\""), false},
    {"reader exits", Str_LIT("\"log_level\":\"info\""), true},
};

/* Creates the node's log as a pipe.  Returns the descriptor to read from. */
static int
open_log(const Fleet *fleet)
{
    StrBuf path = {0};
    int fd;

    StrBuf_AppendFmt(&path, "%.*s/node0.json.log", Str_ARG(fleet->folder));
    ck_assert_int_eq(mkfifo(StrBuf_CStr(&path), 0600), 0);
    fd = open(StrBuf_CStr(&path), O_RDONLY | O_NONBLOCK);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(fcntl(fd, F_SETPIPE_SZ, PIPE_BYTES), PIPE_BYTES);
    StrBuf_Finish(&path);
    return fd;
}

/* Makes the node read its settings again, which logs a line each time. */
static void
reload(const Fleet *fleet, int times)
{
    for (int i = 0; i < times; i++) {
        ck_assert_int_eq(kill(fleet->vms[0].node, SIGHUP), 0);
        Fleet_Sleep(Span_MS(20));
    }
}

static void
check_calls(Fleet *fleet, const Case *c)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a"),
                            .timeout = Span_S(2)};

    for (int i = 0; i < CALLS; i++) {
        FleetAnswer answer;
        Fleet_Send(fleet, 0, &request, &answer);
        ck_assert_msg(answer.status == 200, "%s: call %d was answered %ld",
                      c->name, i, answer.status);
        Fleet_FinishAnswer(&answer);
    }
}

/* Reads the pipe again: the next line reports that lines were dropped. */
static void
check_lost_lines_reported(const Fleet *fleet, int fd)
{
    char text[2 * PIPE_BYTES];
    ssize_t len = read(fd, text, sizeof text);

    ck_assert_int_gt(len, 0);
    reload(fleet, 1);
    len = read(fd, text, sizeof text);
    ck_assert_int_gt(len, 0);
    ck_assert_ptr_nonnull(
        memmem(text, (size_t)len, "lines_left_out", strlen("lines_left_out")));
}

START_TEST(stopped_log_reader_does_not_stop_node)
{
    const Case *c = &cases[_i];
    Fleet fleet;
    int fd;

    Fleet_Init(&fleet, build, SUBNET, 1, 1);
    Fleet_SetPreset(&fleet, preset);
    Fleet_SetExtraSettings(&fleet, c->settings);
    fd = open_log(&fleet);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    if (c->reader_exits) {
        close(fd);
    }
    reload(&fleet, RELOADS);
    check_calls(&fleet, c);
    ck_assert_uint_gt(
        Fleet_ReadCounter(&fleet, 0,
                          Str_LIT("lycheeridge_log_lines_left_out_total")),
        0);
    if (!c->reader_exits) {
        check_lost_lines_reported(&fleet, fd);
        close(fd);
    }
    ck_assert_int_eq(Fleet_Kill(&fleet.vms[0].node, SIGTERM), 0);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {stopped_log_reader_does_not_stop_node, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("stopped reader", tests, 1, 40);
}
