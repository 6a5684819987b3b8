/* Lgr: structured log lines, one JSON object each, on standard output.
 *
 * So many a second at most, and none that would wait for whoever reads them;
 * those left out are counted, and told by a line as soon as one can be written
 * again.
 */
#ifndef LOGGER_H
#define LOGGER_H

#include "process/counters.h"
#include "value/err.h"
#include "value/str.h"

typedef enum { Lgr_DEBUG, Lgr_INFO, Lgr_WARNING, Lgr_ERROR } LogLevel;

typedef struct {
    LogLevel level;         /* lines below it are dropped */
    StrBuf node;            /* name put on each line */
    int64_t (*clock)(void); /* microseconds since 1970 */
    int fd;
    uint32_t lines_per_s;     /* at most */
    int64_t rate_second;      /* of the clock */
    uint32_t lines_in_second; /* within that second */
    uint64_t dropped_lines;   /* not told yet */
    Counters *counters;       /* NULL: left out lines are told only */
} Logger;

enum { Lgr_LINES_PER_S = 1000 };

void Lgr_Init(Logger *logger, LogLevel level, Str node,
              int64_t (*clock)(void));
void Lgr_Finish(Logger *logger);

/* One line: event names what happened, the format gives the detail. */
void Lgr_Log(Logger *logger, LogLevel level, Str event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

void Lgr_LogErr(Logger *logger, LogLevel level, Str event, const Err *err);

/* False when NAME is no level. */
bool Lgr_ParseLevel(Str name, LogLevel *level);

#endif
