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

enum { Net_ID_MAX = 32 };

/* Where a message came from. */
typedef struct {
    Addr peer; /* a node this one asked; Addr_NONE for one that asks */
    char id[Net_ID_MAX];
    size_t id_len;
} NetOrigin;

typedef void (*NetHandler)(void *context, const NetOrigin *origin, Unpack *in,
                           Instant now);
typedef void (*NetSilence)(void *context, Addr peer, Instant now);

typedef struct {
    NetHandler call;
    void *context;
} NetEntry;

typedef struct {
    Loop *loop;
    Logger *logger;
    Timeline *timeline;
    Counters *counters;
    const Settings *settings;
    void *zmq;
    CurveKeys keys;
    void *router;
    struct event *router_event;
    PeerConnection **peers;
    size_t peer_count;
    size_t peer_cap;
    NetEntry handlers[Wire_KINDS];
    NetSilence on_silence;
    void *silence_context;
    LoopTimer watch;
} Net;

bool Net_Init(Net *net, Loop *loop, Timeline *timeline, Counters *counters,
              const Settings *settings, Err *err);
void Net_Finish(Net *net);

/* Register the handler of KIND; fields the handler does not read fail. */
void Net_On(Net *net, MessageKind kind, NetHandler call, void *context);

/* Told when a used connection was given up and a fresh one opened. */
void Net_OnSilence(Net *net, NetSilence call, void *context);

/* Queue MESSAGE for PEER, opening a connection when there is none. */
bool Net_Send(Net *net, Addr peer, Str message, Instant now);

/* Answer ORIGIN over the connection that its message came by. */
bool Net_Answer(Net *net, const NetOrigin *origin, Str message, Instant now);

/* An answer is awaited over PEER's connection: watch it.  And no longer. */
void Net_Hold(Net *net, Addr peer);
void Net_Release(Net *net, Addr peer);

/* Close the connection to PEER, unless attempts still wait over it. */
void Net_Drop(Net *net, Addr peer);

#endif
