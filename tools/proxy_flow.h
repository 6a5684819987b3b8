/* Flw: one direction of one proxied connection.
 *
 * Bytes read from one side wait in a queue until the time at which the pipe
 * delivers them, and are then written to the other side.  Two faults can be
 * simulated: a flow that holds reads nothing and delivers everything later, as
 * across a network partition that heals; a flow that discards reads and drops
 * everything, as when a device on the path has lost the state of the
 * connection.
 */
#ifndef PROXY_FLOW_H
#define PROXY_FLOW_H

#include <event2/bufferevent.h>

#include "proxy_pipe.h"

typedef enum {
    Flw_PASS,
    Flw_HOLD,
    Flw_DISCARD /* final: the mode cannot be changed any more */
} FlowMode;

typedef struct FlowChunk FlowChunk;

typedef struct {
    struct bufferevent *from; /* not owned, nor is TO */
    struct bufferevent *to;
    Pipe *pipe; /* shared with other flows */
    FlowMode mode;
    FlowChunk *first; /* queue in order of delivery; NULL: empty */
    FlowChunk *last;
    size_t queued_bytes; /* in the queue */
    struct event *timer; /* when the first chunk is due */
    bool source_ended;   /* FROM closed its direction or failed */
    bool end_queued;     /* the end of data is a chunk of the queue, or was */
} Flow;

void Flw_Init(Flow *flow, struct event_base *base, struct bufferevent *from,
              struct bufferevent *to, Pipe *pipe, FlowMode mode);

/* Drops the queue and frees the timer. */
void Flw_Finish(Flow *flow);

/* Changes the mode, unless it is Flw_DISCARD. */
void Flw_SetMode(Flow *flow, FlowMode mode, Instant now);

/* The input buffer of FROM has bytes. */
void Flw_OnInput(Flow *flow, Instant now);

/* FROM reported the end of its data. */
void Flw_OnEnd(Flow *flow, Instant now);

/* The output buffer of TO was written out. */
void Flw_OnDrained(Flow *flow, Instant now);

#endif
