/* Prl: a link of the fault proxy: an address it listens at, the address it
 * forwards to, and the connections between them.
 *
 * FORWARD is the direction from the client that connects to the target, BACK
 * the other one.
 */
#ifndef PROXY_LINK_H
#define PROXY_LINK_H

#include <event2/listener.h>

#include "proxy_flow.h"
#include "value/addr.h"
#include "value/err.h"

typedef struct Link Link;
typedef struct LinkConnection LinkConnection;

struct Link {
    Link *next;
    struct event_base *base;
    StrBuf name;
    Addr target;
    Pipe *forward; /* not owned, nor is BACK */
    Pipe *back;
    FlowMode forward_mode; /* of new connections, as is back_mode */
    FlowMode back_mode;
    struct evconnlistener *listener;
    LinkConnection *first;
    size_t count; /* of connections, also finished ones not freed yet */
};

/* Accepts connections at LISTEN and forwards each to TARGET.  Returns false
 * with ERR set when it cannot listen; LINK then needs no Prl_Finish. */
bool Prl_Init(Link *link, struct event_base *base, Str name, Addr listen,
              Addr target, Pipe *forward, Pipe *back, Err *err);

/* Closes the listener and all connections.  LINK itself is the caller's. */
void Prl_Finish(Link *link);

/* Closes all connections at once; queued data is dropped. */
void Prl_Cut(Link *link);

/* Sets the modes of open and of new connections.  Flows that discard data
 * continue to do so. */
void Prl_SetMode(Link *link, FlowMode forward, FlowMode back, Instant now);

/* Makes the open connections discard all further data in the given directions;
 * new connections work. */
void Prl_Freeze(Link *link, bool forward, bool back, Instant now);

#endif
