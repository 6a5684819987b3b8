/* Lgr: structured log lines, one JSON object each, on standard error. */
#ifndef LOGGER_H
#define LOGGER_H

#include "value/err.h"
#include "value/str.h"

typedef enum { Lgr_DEBUG, Lgr_INFO, Lgr_WARNING, Lgr_ERROR } LgrLevel;

typedef struct {
    LgrLevel level;         /* lines below it are dropped */
    StrBuf node;            /* name put on each line */
    int64_t (*clock)(void); /* microseconds since 1970 */
    int fd;
} Logger;

void Lgr_Init(Logger *logger, LgrLevel level, Str node,
              int64_t (*clock)(void));
void Lgr_Finish(Logger *logger);

/* One line: event names what happened, the format gives the detail. */
void Lgr_Log(Logger *logger, LgrLevel level, Str event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

void Lgr_LogErr(Logger *logger, LgrLevel level, Str event, const Err *err);

/* False when NAME is no level. */
bool Lgr_ParseLevel(Str name, LgrLevel *level);

#endif
