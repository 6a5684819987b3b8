/* Net: the node's messages to and from other nodes.
 *
 * One ROUTER socket hears every node that asks; one DEALER socket per node
 * that is asked (see connection/peer.h).  Handlers are registered by kind of
 * message and get the origin, to which they may answer.  Each message goes
 * as two frames: the sender's clock stamp, and the message itself.
 */
#ifndef NET_H
#define NET_H

#include "connection/peer.h"
#include "connection/wire.h"
#include "process/counters.h"
#include "process/curve.h"
#include "process/logger.h"
#include "process/loop.h"
#include "process/settings.h"
#include "process/timeline.h"

enum { Net_ROUTING_ID_BYTES_MAX = 32 };

/* Where a message came from. */
typedef struct {
    Addr peer; /* a node this one asked; Addr_NONE for one that asks */
    char routing_id[Net_ROUTING_ID_BYTES_MAX];
    size_t routing_id_len;
} NetOrigin;

typedef void (*NetHandler)(void *context, const NetOrigin *origin, Unpack *in,
                           Instant now);
typedef void (*NetUnresponsiveCallback)(void *context, Addr peer, Instant now);

typedef struct {
    NetHandler handler;
    void *context;
} NetHandlerEntry;

typedef struct {
    Loop *loop;
    Logger *logger;
    Timeline *timeline;
    Counters *counters;
    const Settings *settings;
    void *zmq_context;
    CurveKeys keys;
    void *router;
    struct event *router_event;
    PeerConnection **peers;
    size_t peer_count;
    size_t peer_cap;
    NetHandlerEntry handlers[Wire_KINDS];
    NetUnresponsiveCallback on_unresponsive;
    void *unresponsive_context;
    LoopTimer peer_check_timer;
} Net;

bool Net_Init(Net *net, Loop *loop, Timeline *timeline, Counters *counters,
              const Settings *settings, Err *err);
void Net_Finish(Net *net);

/* Register the handler of KIND; fields the handler does not read fail. */
void Net_SetHandler(Net *net, MessageKind kind, NetHandler handler,
                    void *context);

/* Told when a used connection was given up and a fresh one opened. */
void Net_SetUnresponsiveCallback(Net *net, NetUnresponsiveCallback callback,
                                 void *context);

/* Queue MESSAGE for PEER, opening a connection when there is none. */
bool Net_Send(Net *net, Addr peer, Str message, Instant now);

/* Answer ORIGIN over the connection that its message came by. */
bool Net_Answer(Net *net, const NetOrigin *origin, Str message, Instant now);

/* An answer is awaited over PEER's connection: watch it.  And no longer. */
void Net_AddPendingAttempt(Net *net, Addr peer);
void Net_DropPendingAttempt(Net *net, Addr peer);

/* Close the connection to PEER, unless attempts still wait over it. */
void Net_ClosePeer(Net *net, Addr peer);

#endif
