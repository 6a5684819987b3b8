#include "process/logger.h"

#include <inttypes.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

enum { DETAIL_MAX = 1024, US = 1000000 };

static const Str level_names[] = {
    [Lgr_DEBUG] = Str_LIT("debug"),
    [Lgr_INFO] = Str_LIT("info"),
    [Lgr_WARNING] = Str_LIT("warning"),
    [Lgr_ERROR] = Str_LIT("error"),
};

void
Lgr_Init(Logger *logger, LgrLevel level, Str node, int64_t (*clock)(void))
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

static json_t *
json_text(Str text)
{
    json_t *value = json_stringn(text.ptr ? text.ptr : "", text.len);

    return value ? value : json_string("(not UTF-8)");
}

/* A pipe that can be written to takes up to PIPE_BUF bytes without a wait. */
static bool
write_now(const Logger *logger, Str text)
{
    struct pollfd ready = {.fd = logger->fd, .events = POLLOUT};

    return text.len <= PIPE_BUF && poll(&ready, 1, 0) == 1 &&
           ready.revents & POLLOUT &&
           write(logger->fd, text.ptr, text.len) == (ssize_t)text.len;
}

static bool
write_line(Logger *logger, LgrLevel level, int64_t now, Str event, Str detail)
{
    json_t *line = json_object();
    StrBuf out = {0};
    char *text;
    bool written;

    json_object_set_new(line, "time_us", json_integer(now));
    json_object_set_new(line, "level", json_text(level_names[level]));
    json_object_set_new(line, "node", json_text(StrBuf_View(&logger->node)));
    json_object_set_new(line, "event", json_text(event));
    json_object_set_new(line, "detail", json_text(detail));
    text = json_dumps(line, JSON_COMPACT);
    StrBuf_AppendFmt(&out, "%s\n", text);
    written = write_now(logger, StrBuf_View(&out));
    free(text);
    StrBuf_Finish(&out);
    json_decref(line);
    return written;
}

static bool
has_room(Logger *logger, int64_t now)
{
    if (now / US != logger->second) {
        logger->second = now / US;
        logger->lines = 0;
    }
    return logger->lines < logger->lines_per_s;
}

static void
tell_left_out(Logger *logger, int64_t now)
{
    char detail[DETAIL_MAX];
    int len =
        snprintf(detail, sizeof detail, "lines=%" PRIu64, logger->left_out);

    if (write_line(logger, Lgr_WARNING, now, Str_LIT("lines_left_out"),
                   Str_From(detail, (size_t)len))) {
        logger->left_out = 0;
    }
}

static void
leave_out(Logger *logger)
{
    logger->left_out++;
    if (logger->counters) {
        Cnt_Add(logger->counters, Cnt_LINES_LEFT_OUT, 1);
    }
}

static void
add_line(Logger *logger, LgrLevel level, Str event, Str detail)
{
    int64_t now = logger->clock();
    bool room = has_room(logger, now);

    if (room && logger->left_out) {
        tell_left_out(logger, now);
    }
    if (room && !logger->left_out &&
        write_line(logger, level, now, event, detail)) {
        logger->lines++;
    }
    else {
        leave_out(logger);
    }
}

void
Lgr_Log(Logger *logger, LgrLevel level, Str event, const char *fmt, ...)
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
    add_line(logger, level, event, Str_From(detail, (size_t)len));
}

void
Lgr_LogErr(Logger *logger, LgrLevel level, Str event, const Err *err)
{
    Str name = Err_Name(err->code);

    Lgr_Log(logger, level, event, "%.*s: %.*s (%s:%d)", Str_ARG(name),
            Str_ARG(Err_Text(err)), err->file, err->line);
}

bool
Lgr_ParseLevel(Str name, LgrLevel *level)
{
    for (int i = Lgr_DEBUG; i <= Lgr_ERROR; i++) {
        if (Str_Equal(name, level_names[i])) {
            *level = (LgrLevel)i;
            return true;
        }
    }
    return false;
}
