/* Flw: one direction of one proxied connection.
 *
 * What is read from one side waits in a queue until its pipe lets it out to
 * the other.  A flow may be held (nothing is read, all of it comes later, as
 * across a partition that heals) or lost (all is read and dropped, for good,
 * as when a device in between forgot the connection).
 */
#ifndef PROXY_FLOW_H
#define PROXY_FLOW_H

#include <event2/bufferevent.h>

#include "proxy_pipe.h"

typedef enum { Flw_PASS, Flw_HOLD, Flw_DISCARD } FlowMode;

typedef struct FlowChunk FlowChunk;

typedef struct {
    struct bufferevent *from;
    struct bufferevent *to;
    Pipe *pipe;
    FlowMode mode;
    FlowChunk *first;
    FlowChunk *last;
    size_t queued_bytes; /* bytes in chunks */
    struct event *timer;
    bool source_ended; /* FROM sent its last byte */
    bool end_queued;   /* and TO was told */
} Flow;

void Flw_Init(Flow *flow, struct event_base *base, struct bufferevent *from,
              struct bufferevent *to, Pipe *pipe, FlowMode mode);
void Flw_Finish(Flow *flow);

void Flw_SetMode(Flow *flow, FlowMode mode, Instant now);

/* FROM has bytes. */
void Flw_OnInput(Flow *flow, Instant now);

/* FROM ended. */
void Flw_OnEnd(Flow *flow, Instant now);

/* TO has room again. */
void Flw_OnDrained(Flow *flow, Instant now);

#endif
