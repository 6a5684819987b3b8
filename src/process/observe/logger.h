/* Lgr: a structured log, one JSON object per line, on standard output.
 *
 * A line is dropped when it exceeds the rate limit, when it is longer than
 * PIPE_BUF, or when writing it would block because the reader is slow.  The
 * logger counts dropped lines.  It reports their number by an event
 * "lines_left_out" before the next line that can be written.
 */
#ifndef LOGGER_H
#define LOGGER_H

#include "process/observe/counters.h"
#include "value/err.h"
#include "value/str.h"

/* In ascending order of severity. */
typedef enum { Lgr_DEBUG, Lgr_INFO, Lgr_WARNING, Lgr_ERROR } LogLevel;

typedef struct {
    LogLevel level;           /* lines of a lower level are ignored */
    StrBuf node;              /* name of the node, part of each line */
    int64_t (*clock)(void);   /* microseconds since 1970 */
    int fd;                   /* written to, not owned */
    uint32_t lines_per_s;     /* rate limit */
    int64_t rate_second;      /* second of the clock that is counted */
    uint32_t lines_in_second; /* lines written in that second */
    uint64_t dropped_lines;   /* dropped and not reported in the log yet */
    Counters *counters;       /* not owned; NULL: dropped lines are not
                                 counted there */
} Logger;

/* Default rate limit, lines per second. */
enum { Lgr_LINES_PER_S = 1000 };

/* Starts a logger to standard output with the default rate limit and without
 * counters.  NODE is copied.  CLOCK returns microseconds since 1970. */
void Lgr_Init(Logger *logger, LogLevel level, Str node,
              int64_t (*clock)(void));

/* Frees the node's name; does not close the file descriptor. */
void Lgr_Finish(Logger *logger);

/* Logs one line.  EVENT is the fixed name of the event; the printf format
 * gives the detail, which is truncated to 1023 bytes. */
void Lgr_Log(Logger *logger, LogLevel level, Str event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Logs one line with the code, text and source location of ERR as detail. */
void Lgr_LogErr(Logger *logger, LogLevel level, Str event, const Err *err);

/* Reads "debug", "info", "warning" or "error".  Returns false and leaves LEVEL
 * unchanged when NAME is anything else. */
bool Lgr_ParseLevel(Str name, LogLevel *level);

#endif
