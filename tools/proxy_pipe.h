/* Pip: one direction of a simulated network path, with a delay and a rate.
 *
 * All flows through one pipe share its rate: their bytes leave one after the
 * other.
 */
#ifndef PROXY_PIPE_H
#define PROXY_PIPE_H

#include "value/instant.h"
#include "value/str.h"

typedef struct Pipe Pipe;

struct Pipe {
    Pipe *next;
    StrBuf name;
    Span delay;           /* one way, after the bytes have left */
    uint64_t rate;        /* bytes per second; 0: no limit */
    Instant free_at;      /* when all bytes scheduled so far have left */
    uint64_t total_bytes; /* scheduled since the start */
};

/* Owns its pipes.  A list of zeros is empty. */
typedef struct {
    Pipe *first;
} PipeList;

/* Returns the pipe called NAME; when there is none, adds one without delay or
 * limit. */
Pipe *Pip_GetOrAdd(PipeList *list, Str name);

/* Frees all pipes. */
void Pip_FinishAll(PipeList *list);

/* Sends LEN bytes into the pipe at NOW.  Returns the time of their arrival. */
Instant Pip_ScheduleBytes(Pipe *pipe, size_t len, Instant now);

#endif
