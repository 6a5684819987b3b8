#include "proxy_pipe.h"

#include "value/mem.h"

Pipe *
Pip_GetOrAdd(PipeList *list, Str name)
{
    Pipe *pipe;

    for (pipe = list->first; pipe; pipe = pipe->next) {
        if (Str_Equal(StrBuf_View(&pipe->name), name)) {
            return pipe;
        }
    }
    pipe = Mem_Alloc(1, sizeof *pipe);
    StrBuf_Set(&pipe->name, name);
    pipe->next = list->first;
    list->first = pipe;
    return pipe;
}

void
Pip_FinishAll(PipeList *list)
{
    Pipe *pipe;

    while ((pipe = list->first)) {
        list->first = pipe->next;
        StrBuf_Finish(&pipe->name);
        Mem_Free(pipe);
    }
}

Instant
Pip_ScheduleBytes(Pipe *pipe, size_t len, Instant now)
{
    Instant start = pipe->free_at > now ? pipe->free_at : now;

    pipe->total_bytes += len;
    if (pipe->rate) {
        start += (Span)(len * 1000000 / pipe->rate);
        pipe->free_at = start;
    }
    return start + pipe->delay;
}
