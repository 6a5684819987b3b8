/* Pip: one direction of a network path: its delay and its rate.
 *
 * Bytes of all flows through one pipe queue behind each other, so that a
 * narrow path is shared.
 */
#ifndef PROXY_PIPE_H
#define PROXY_PIPE_H

#include "value/instant.h"
#include "value/str.h"

typedef struct Pipe Pipe;

struct Pipe {
    Pipe *next;
    StrBuf name;
    Span delay;
    uint64_t rate;        /* bytes a second; 0: no limit */
    Instant free_at;      /* when the bytes queued so far have left */
    uint64_t total_bytes; /* carried since the start */
};

typedef struct {
    Pipe *first;
} PipeList;

/* The pipe called NAME, made when there is none. */
Pipe *Pip_GetOrAdd(PipeList *list, Str name);
void Pip_FinishAll(PipeList *list);

/* When LEN bytes that enter NOW come out at the other end. */
Instant Pip_ScheduleBytes(Pipe *pipe, size_t len, Instant now);

#endif
