/* A log line is one JSON object.  Lines below the logger's level are not
 * written; lines over the rate limit, or that would block, are dropped and
 * reported.
 */
#include <fcntl.h>
#include <unistd.h>

#include "process/observe/logger.h"
#include "support/suite.h"
#include "value/json.h"

static int64_t wall_us = 1700000000000000;

static int64_t
get_wall_us(void)
{
    return wall_us;
}

typedef struct {
    const char *name; /* of the logger's level */
    bool is_valid;
    bool written[Lgr_ERROR + 1]; /* by level of the line */
} LevelCase;

static const LevelCase level_cases[] = {
    {"debug", true, {true, true, true, true}},
    {"info", true, {false, true, true, true}},
    {"warning", true, {false, false, true, true}},
    {"error", true, {false, false, false, true}},
    {"", false, {false}},
    {"Info", false, {false}},
    {"warn", false, {false}},
    {"info ", false, {false}},
    {"errors", false, {false}},
};

/* Logs one line of LEVEL and reads what LOGGER wrote into TEXT, of SIZE bytes.
 * Returns its length. */
static size_t
log_and_read_line(Logger *logger, LogLevel level, char *text, size_t size)
{
    int pipe_fds[2];
    ssize_t len;

    ck_assert_int_eq(pipe(pipe_fds), 0);
    logger->fd = pipe_fds[1];
    Lgr_Log(logger, level, Str_LIT("started"), "port=%d \"x\"\n", 7400);
    close(pipe_fds[1]);
    len = read(pipe_fds[0], text, size);
    close(pipe_fds[0]);
    ck_assert_int_ge(len, 0);
    return (size_t)len;
}

static void
check_line(Str line, LogLevel expected_level)
{
    json_t *root = json_loadb(line.ptr, line.len, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "level"));
    LogLevel level;

    ck_assert_ptr_nonnull(root);
    ck_assert(Lgr_ParseLevel(Str_FromC(name), &level));
    ck_assert_int_eq(level, expected_level);
    ck_assert_str_eq(json_string_value(json_object_get(root, "event")),
                     "started");
    ck_assert_str_eq(json_string_value(json_object_get(root, "detail")),
                     "port=7400 \"x\"\n");
    /* Exactly one line. */
    ck_assert_uint_eq(Str_Find(line, '\n'), line.len - 1);
    json_decref(root);
}

START_TEST(filters_by_level)
{
    const LevelCase *c = &level_cases[_i];
    LogLevel logger_level = Lgr_INFO;
    Logger logger;
    char text[512];

    ck_assert_int_eq(Lgr_ParseLevel(Str_FromC(c->name), &logger_level),
                     c->is_valid);
    if (!c->is_valid) {
        ck_assert_int_eq(logger_level, Lgr_INFO);
        return;
    }
    Lgr_Init(&logger, logger_level, Str_LIT("vm1"), get_wall_us);
    for (int level = Lgr_DEBUG; level <= Lgr_ERROR; level++) {
        size_t len =
            log_and_read_line(&logger, (LogLevel)level, text, sizeof text);
        ck_assert_msg((len > 0) == c->written[level], "%s: line of level %d",
                      c->name, level);
        if (len) {
            check_line(Str_From(text, len), (LogLevel)level);
        }
    }
    Lgr_Finish(&logger);
}
END_TEST

typedef struct {
    const char *name;
    uint32_t lines_per_s;
    int lines;            /* within one second */
    size_t unread_bytes;  /* in the pipe before the first line is logged */
    uint64_t dropped_min; /* 0: none is dropped */
} LimitCase;

enum { PIPE_BYTES = 64 * 1024, DETAIL_BYTES = 100 };

static const LimitCase limit_cases[] = {
    {"within the rate", 10, 10, 0, 0},
    {"over the rate", 10, 35, 0, 25},
    {"pipe full from the start", 1000, 20, PIPE_BYTES, 20},
    {"pipe becomes full", 100000, 2000, 0, 1600},
};

static void
log_lines(Logger *logger, int count)
{
    for (int i = 0; i < count; i++) {
        Lgr_Log(logger, Lgr_INFO, Str_LIT("started"), "%0*d", DETAIL_BYTES, i);
    }
}

/* Reads from the pipe FD and counts the lines after the first SKIP bytes. */
static size_t
count_lines(int fd, size_t skip)
{
    static char text[2 * PIPE_BYTES];
    ssize_t len = read(fd, text, sizeof text);
    size_t lines = 0;

    for (ssize_t i = (ssize_t)skip; i < len; i++) {
        lines += text[i] == '\n';
    }
    return lines;
}

START_TEST(drops_lines_over_the_limits)
{
    static char fill[PIPE_BYTES];
    const LimitCase *c = &limit_cases[_i];
    Counters counters;
    Logger logger;
    size_t written;
    uint64_t dropped;
    int pipe_fds[2];

    ck_assert_int_eq(pipe(pipe_fds), 0);
    ck_assert_int_eq(fcntl(pipe_fds[1], F_SETPIPE_SZ, PIPE_BYTES), PIPE_BYTES);
    ck_assert_int_eq(write(pipe_fds[1], fill, c->unread_bytes),
                     (ssize_t)c->unread_bytes);
    Cnt_Init(&counters);
    Lgr_Init(&logger, Lgr_INFO, Str_LIT("vm1"), get_wall_us);
    logger.fd = pipe_fds[1];
    logger.counters = &counters;
    logger.lines_per_s = c->lines_per_s;
    log_lines(&logger, c->lines);
    dropped = logger.dropped_lines;
    ck_assert_uint_eq(counters.values[Cnt_LOG_LINES_DROPPED], dropped);
    written = c->unread_bytes + (size_t)c->lines > dropped
                  ? count_lines(pipe_fds[0], c->unread_bytes)
                  : 0;
    ck_assert_uint_eq(written + dropped, (uint64_t)c->lines);
    ck_assert_msg(dropped >= c->dropped_min &&
                      (dropped > 0) == (c->dropped_min > 0),
                  "%s: %d lines dropped", c->name, (int)dropped);
    /* The drops are reported by an extra line once one can be written. */
    wall_us += 1000000;
    log_lines(&logger, 1);
    ck_assert_uint_eq(count_lines(pipe_fds[0], 0), 1 + (dropped > 0));
    ck_assert_uint_eq(logger.dropped_lines, 0);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
    Lgr_Finish(&logger);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {filters_by_level, sizeof level_cases / sizeof level_cases[0]},
        {drops_lines_over_the_limits,
         sizeof limit_cases / sizeof limit_cases[0]}};

    return Suite_Run("logger", tests, 2, 10);
}
