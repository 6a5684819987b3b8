#include "proxy_flow.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "process/loop.h"
#include "value/mem.h"

/* Reading stops while QUEUE_BYTES are queued or not written out yet. */
enum { QUEUE_BYTES = 128 * 1024, CHUNK_BYTES = 16 * 1024 };

struct FlowChunk {
    FlowChunk *next;
    struct evbuffer *bytes; /* empty: FROM has ended */
    Instant due;            /* earliest time of delivery */
};

static void
schedule_timer(Flow *flow, Instant now)
{
    Span left;
    struct timeval wait;

    if (!flow->first || evtimer_pending(flow->timer, NULL)) {
        return;
    }
    left = flow->first->due > now ? flow->first->due - now : 0;
    wait = (struct timeval){left / 1000000, left % 1000000};
    evtimer_add(flow->timer, &wait);
}

static void
add_chunk(Flow *flow, size_t len, Instant now)
{
    FlowChunk *chunk = Mem_Alloc(1, sizeof *chunk);

    chunk->bytes = evbuffer_new();
    chunk->due = Pip_ScheduleBytes(flow->pipe, len, now);
    evbuffer_remove_buffer(bufferevent_get_input(flow->from), chunk->bytes,
                           len);
    flow->queued_bytes += len;
    if (flow->last) {
        flow->last->next = chunk;
    }
    else {
        flow->first = chunk;
    }
    flow->last = chunk;
}

static void
free_first(Flow *flow)
{
    FlowChunk *chunk = flow->first;

    flow->first = chunk->next;
    if (!flow->first) {
        flow->last = NULL;
    }
    evbuffer_free(chunk->bytes);
    Mem_Free(chunk);
}

static bool
has_room(const Flow *flow)
{
    return flow->queued_bytes +
               evbuffer_get_length(bufferevent_get_output(flow->to)) <
           QUEUE_BYTES;
}

static void
queue_input(Flow *flow, Instant now)
{
    struct evbuffer *input = bufferevent_get_input(flow->from);
    size_t len;

    while (has_room(flow) && (len = evbuffer_get_length(input)) > 0) {
        add_chunk(flow, len < CHUNK_BYTES ? len : CHUNK_BYTES, now);
    }
    if (flow->source_ended && evbuffer_get_length(input) == 0 &&
        !flow->end_queued) {
        flow->end_queued = true;
        add_chunk(flow, 0, now);
    }
    if (has_room(flow)) {
        bufferevent_enable(flow->from, EV_READ);
    }
    else {
        bufferevent_disable(flow->from, EV_READ);
    }
    schedule_timer(flow, now);
}

static void
end_writing(Flow *flow)
{
    evutil_socket_t fd = bufferevent_getfd(flow->to);

    if (fd >= 0) {
        shutdown(fd, SHUT_WR);
    }
}

static void
write_first(Flow *flow)
{
    struct evbuffer *output = bufferevent_get_output(flow->to);
    size_t len = evbuffer_get_length(flow->first->bytes);

    if (len == 0) {
        if (evbuffer_get_length(output) == 0) {
            end_writing(flow);
        }
        free_first(flow);
        return;
    }
    flow->queued_bytes -= len;
    bufferevent_write_buffer(flow->to, flow->first->bytes);
    free_first(flow);
}

static void
on_due(evutil_socket_t fd, short what, void *context)
{
    Flow *flow = context;
    Instant now = Loop_Now();

    (void)fd;
    (void)what;
    if (flow->mode != Flw_PASS) {
        return;
    }
    while (flow->first && flow->first->due <= now) {
        write_first(flow);
    }
    queue_input(flow, now);
}

void
Flw_Init(Flow *flow, struct event_base *base, struct bufferevent *from,
         struct bufferevent *to, Pipe *pipe, FlowMode mode)
{
    *flow = (Flow){.from = from, .to = to, .pipe = pipe, .mode = mode};
    flow->timer = evtimer_new(base, on_due, flow);
}

void
Flw_Finish(Flow *flow)
{
    while (flow->first) {
        free_first(flow);
    }
    event_free(flow->timer);
}

static void
discard_all(Flow *flow)
{
    struct evbuffer *input = bufferevent_get_input(flow->from);

    evbuffer_drain(input, evbuffer_get_length(input));
    while (flow->first) {
        free_first(flow);
    }
    flow->queued_bytes = 0;
}

void
Flw_SetMode(Flow *flow, FlowMode mode, Instant now)
{
    if (flow->mode == Flw_DISCARD) {
        return;
    }
    flow->mode = mode;
    switch (mode) {
    case Flw_PASS:
        queue_input(flow, now);
        break;
    case Flw_HOLD:
        bufferevent_disable(flow->from, EV_READ);
        break;
    case Flw_DISCARD:
        discard_all(flow);
        bufferevent_enable(flow->from, EV_READ);
        break;
    }
}

void
Flw_OnInput(Flow *flow, Instant now)
{
    switch (flow->mode) {
    case Flw_PASS:
        queue_input(flow, now);
        break;
    case Flw_HOLD:
        bufferevent_disable(flow->from, EV_READ);
        break;
    case Flw_DISCARD:
        discard_all(flow);
        break;
    }
}

void
Flw_OnEnd(Flow *flow, Instant now)
{
    flow->source_ended = true;
    if (flow->mode == Flw_PASS) {
        queue_input(flow, now);
    }
}

void
Flw_OnDrained(Flow *flow, Instant now)
{
    if (flow->mode != Flw_PASS) {
        return;
    }
    queue_input(flow, now);
    if (flow->end_queued && !flow->first) {
        end_writing(flow);
    }
}
