#include "process/observe/logger.h"

#include <inttypes.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

/* DETAIL_MAX: size of a line's detail in bytes, with its closing NUL. */
enum { DETAIL_MAX = 1024, US_PER_S = 1000000 };

static const Str level_names[] = {
    [Lgr_DEBUG] = Str_LIT("debug"),
    [Lgr_INFO] = Str_LIT("info"),
    [Lgr_WARNING] = Str_LIT("warning"),
    [Lgr_ERROR] = Str_LIT("error"),
};

void
Lgr_Init(Logger *logger, LogLevel level, Str node, int64_t (*clock)(void))
{
    *logger = (Logger){
        .level = level,
        .clock = clock,
        .fd = STDOUT_FILENO,
        .lines_per_s = Lgr_LINES_PER_S,
    };
    StrBuf_Set(&logger->node, node);
}

void
Lgr_Finish(Logger *logger)
{
    StrBuf_Finish(&logger->node);
}

/* A text that is not valid UTF-8 is replaced, since JSON cannot hold it. */
static json_t *
make_json_string(Str text)
{
    json_t *value = json_stringn(text.ptr ? text.ptr : "", text.len);

    return value ? value : json_string("(not UTF-8)");
}

/* Returns false when TEXT was not written as a whole.  A pipe that poll
 * reports as writable accepts up to PIPE_BUF bytes without blocking. */
static bool
write_nonblocking(const Logger *logger, Str text)
{
    struct pollfd ready = {.fd = logger->fd, .events = POLLOUT};

    return text.len <= PIPE_BUF && poll(&ready, 1, 0) == 1 &&
           ready.revents & POLLOUT &&
           write(logger->fd, text.ptr, text.len) == (ssize_t)text.len;
}

static bool
write_line(Logger *logger, LogLevel level, int64_t now, Str event, Str detail)
{
    json_t *line = json_object();
    StrBuf out = {0};
    char *text;
    bool written;

    json_object_set_new(line, "time_us", json_integer(now));
    json_object_set_new(line, "level", make_json_string(level_names[level]));
    json_object_set_new(line, "node",
                        make_json_string(StrBuf_View(&logger->node)));
    json_object_set_new(line, "event", make_json_string(event));
    json_object_set_new(line, "detail", make_json_string(detail));
    text = json_dumps(line, JSON_COMPACT);
    StrBuf_AppendFmt(&out, "%s\n", text);
    written = write_nonblocking(logger, StrBuf_View(&out));
    free(text);
    StrBuf_Finish(&out);
    json_decref(line);
    return written;
}

/* Also resets the count of lines when a new second has begun. */
static bool
is_below_rate_limit(Logger *logger, int64_t now)
{
    if (now / US_PER_S != logger->rate_second) {
        logger->rate_second = now / US_PER_S;
        logger->lines_in_second = 0;
    }
    return logger->lines_in_second < logger->lines_per_s;
}

static void
log_dropped_lines(Logger *logger, int64_t now)
{
    char detail[DETAIL_MAX];
    int len = snprintf(detail, sizeof detail, "lines=%" PRIu64,
                       logger->dropped_lines);

    if (write_line(logger, Lgr_WARNING, now, Str_LIT("lines_left_out"),
                   Str_From(detail, (size_t)len))) {
        logger->dropped_lines = 0;
    }
}

static void
count_dropped_line(Logger *logger)
{
    logger->dropped_lines++;
    if (logger->counters) {
        Cnt_Add(logger->counters, Cnt_LOG_LINES_DROPPED, 1);
    }
}

static void
write_or_drop_line(Logger *logger, LogLevel level, Str event, Str detail)
{
    int64_t now = logger->clock();
    bool is_below_limit = is_below_rate_limit(logger, now);

    if (is_below_limit && logger->dropped_lines) {
        log_dropped_lines(logger, now);
    }
    if (is_below_limit && !logger->dropped_lines &&
        write_line(logger, level, now, event, detail)) {
        logger->lines_in_second++;
    }
    else {
        count_dropped_line(logger);
    }
}

void
Lgr_Log(Logger *logger, LogLevel level, Str event, const char *fmt, ...)
{
    char detail[DETAIL_MAX];
    va_list args;
    int len;

    if (level < logger->level) {
        return;
    }
    va_start(args, fmt);
    len = vsnprintf(detail, sizeof detail, fmt, args);
    va_end(args);
    if (len < 0) {
        len = 0;
    }
    if (len >= DETAIL_MAX) {
        len = DETAIL_MAX - 1;
    }
    write_or_drop_line(logger, level, event, Str_From(detail, (size_t)len));
}

void
Lgr_LogErr(Logger *logger, LogLevel level, Str event, const Err *err)
{
    Str name = Err_Name(err->code);

    Lgr_Log(logger, level, event, "%.*s: %.*s (%s:%d)", Str_ARG(name),
            Str_ARG(Err_Text(err)), err->file, err->line);
}

bool
Lgr_ParseLevel(Str name, LogLevel *level)
{
    for (int i = Lgr_DEBUG; i <= Lgr_ERROR; i++) {
        if (Str_Equal(name, level_names[i])) {
            *level = (LogLevel)i;
            return true;
        }
    }
    return false;
}
