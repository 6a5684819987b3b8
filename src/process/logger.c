#include "process/logger.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

enum { DETAIL_MAX = 1024 };

static const Str level_names[] = {
    [Lgr_DEBUG] = Str_LIT("debug"),
    [Lgr_INFO] = Str_LIT("info"),
    [Lgr_WARNING] = Str_LIT("warning"),
    [Lgr_ERROR] = Str_LIT("error"),
};

void
Lgr_Init(Logger *logger, LgrLevel level, Str node, int64_t (*clock)(void))
{
    *logger = (Logger){.level = level, .clock = clock, .fd = STDERR_FILENO};
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

static void
write_line(Logger *logger, LgrLevel level, Str event, Str detail)
{
    json_t *line = json_object();
    StrBuf out = {0};
    char *text;

    json_object_set_new(line, "time_us", json_integer(logger->clock()));
    json_object_set_new(line, "level", json_text(level_names[level]));
    json_object_set_new(line, "node", json_text(StrBuf_View(&logger->node)));
    json_object_set_new(line, "event", json_text(event));
    json_object_set_new(line, "detail", json_text(detail));
    text = json_dumps(line, JSON_COMPACT);
    StrBuf_AppendFmt(&out, "%s\n", text);
    if (write(logger->fd, out.ptr, out.len) < 0) {
        /* Nobody is left to tell. */
    }
    free(text);
    StrBuf_Finish(&out);
    json_decref(line);
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
    write_line(logger, level, event, Str_From(detail, (size_t)len));
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
