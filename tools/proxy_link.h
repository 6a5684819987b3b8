/* Lnk: one listening address of the proxy, the address it leads to, and the
 * connections between them.  FORWARD is the direction of who connects.
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
    Pipe *forward;
    Pipe *back;
    FlowMode forward_mode; /* of new connections */
    FlowMode back_mode;
    struct evconnlistener *listener;
    LinkConnection *first;
    size_t count; /* of connections */
};

/* Listen at LISTEN for connections that go on to TARGET. */
bool Prl_Init(Link *link, struct event_base *base, Str name, Addr listen,
              Addr target, Pipe *forward, Pipe *back, Err *err);
void Prl_Finish(Link *link);

/* End every connection at once. */
void Prl_Cut(Link *link);

/* Set both the connections there are and new ones; connections that lose
 * bytes stay so. */
void Prl_SetMode(Link *link, FlowMode forward, FlowMode back, Instant now);

/* Lose what the connections there are carry, for good; new ones work. */
void Prl_Freeze(Link *link, bool forward, bool back, Instant now);

#endif
