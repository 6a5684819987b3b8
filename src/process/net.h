/* Net: sends and receives the messages between this node and other nodes.
 *
 * One ROUTER socket receives the messages of nodes that connected to this
 * node; Net_Answer replies over it.  For each node that this node sends to
 * there is one DEALER socket (connection/peer.h), which Net_Send opens when
 * needed.  Received messages are passed to the handler of their kind.
 *
 * Each message is sent as two frames: the sender's hybrid logical clock
 * (value/hlc.h), then the message itself (connection/wire.h).
 */
#ifndef NET_H
#define NET_H

#include "connection/peer.h"
#include "connection/wire.h"
#include "process/curve.h"
#include "process/loop.h"
#include "process/observe/counters.h"
#include "process/observe/logger.h"
#include "process/observe/timeline.h"
#include "process/sendqueue.h"
#include "process/settings/settings.h"
#include "value/bodybuf.h"

enum { Net_ROUTING_ID_BYTES_MAX = 32 };

/* The connection by which a message arrived; may be copied and kept, to answer
 * later. */
typedef struct {
    Addr peer; /* the node, if this node opened the connection; Addr_NONE if
                  the other node did */
    char routing_id[Net_ROUTING_ID_BYTES_MAX]; /* of the connection at the
                                                  ROUTER socket, if PEER is
                                                  Addr_NONE */
    size_t routing_id_len;
} NetOrigin;

/* A message that was received and kept. */
typedef struct NetMessage NetMessage;

/* Handles one message.  IN is at the first field of the message's kind, and
 * is valid, like ORIGIN, until the handler returns. */
typedef void (*NetHandler)(void *context, const NetOrigin *origin, Unpack *in,
                           Instant now);
/* Called when the node that ORIGIN names, which opened the connection, has
 * answered a ping of Net_PingOrigin. */
typedef void (*NetPongCallback)(void *context, const NetOrigin *origin);

/* Called after the connection to the node PEER was closed as unresponsive and
 * a new one was opened, or after it ended and ZeroMQ opens it again: answers
 * may be lost. */
typedef void (*NetUnresponsiveCallback)(void *context, Addr peer, Instant now);

typedef struct {
    NetHandler handler; /* NULL: messages of the kind are ignored */
    void *context;
} NetHandlerEntry;

/* The sockets of this node, and the handlers of messages. */
typedef struct {
    Loop *loop;
    Logger *logger;
    Timeline *timeline; /* its clock stamps the messages */
    Counters *counters;
    const Settings *settings;
    void *zmq_context; /* owned */
    CurveKeys keys;
    void *router; /* owned; the ROUTER socket */
    struct event *router_event;
    /* the last Net_Answer failed because its connection has ended */
    bool has_lost_origin;
    PeerConnection **peers; /* owned; open connections to other nodes, in no
                               order */
    size_t peer_count;
    size_t peer_cap;
    NetHandlerEntry handlers[Wire_KINDS];    /* by message kind */
    NetUnresponsiveCallback on_unresponsive; /* NULL: none */
    void *unresponsive_context;
    NetPongCallback on_origin_pong; /* NULL: none */
    void *pong_context;
    LoopTimer peer_check_timer;
    Instant peers_checked_at; /* when it ran last; 0: never */
    SendQueue send_queue;     /* messages that wait to be sent */
    void *handled; /* zmq_msg_t of the message being handled; NULL: none */
} Net;

/* Listens at the address that SETTINGS gives for other nodes.  Returns false
 * and sets ERR if a socket cannot be bound.  All pointers must outlive NET. */
bool Net_Init(Net *net, Loop *loop, Timeline *timeline, Counters *counters,
              const Settings *settings, Err *err);

/* Closes all connections; messages that are still queued may be sent for up to
 * 300 ms. */
void Net_Finish(Net *net);

/* Sets the handler of messages of KIND.  It reads the fields with the Read
 * function of that kind, which fails if fields are left over. */
void Net_SetHandler(Net *net, MessageKind kind, NetHandler handler,
                    void *context);

/* Sets the only such callback; CALLBACK may be NULL. */
void Net_SetUnresponsiveCallback(Net *net, NetUnresponsiveCallback callback,
                                 void *context);

/* Sets the only such callback. */
void Net_SetOriginPongCallback(Net *net, NetPongCallback callback,
                               void *context);

/* Sends a ping over the connection by which a message came, behind all that
 * Net_Answer has sent there, unless too much is queued.  Returns false when
 * the connection has ended. */
bool Net_PingOrigin(Net *net, const NetOrigin *origin, Instant now);

/* Queues MESSAGE to the node PEER, and opens a connection if there is none.
 * Returns false if the message could not be queued, which includes PEER
 * Addr_NONE. */
bool Net_Send(Net *net, Addr peer, Str message, Instant now);

/* As Net_Send, for the message WHOLE of Bod_Prepend, which is not copied: BODY
 * is retained until it was sent. */
bool Net_SendBody(Net *net, Addr peer, BodyBuf *body, Str whole, Instant now);

/* Keeps the message that is being handled, which must be of several KB, so
 * that what was read from it stays valid until Net_FreeMessage, also for NULL.
 * Returns NULL when it cannot be kept. */
NetMessage *Net_KeepMessage(Net *net);
void Net_FreeMessage(NetMessage *message);

/* Queues MESSAGE to the node that ORIGIN names, over the connection by which
 * its message arrived.  Returns false if the message could not be queued. */
bool Net_Answer(Net *net, const NetOrigin *origin, Str message, Instant now);

/* Add one to, or subtract one from, the number of attempts that wait for an
 * answer over the connection to PEER.  While there are any, the connection is
 * checked more often (connection/peer.h) and Net_ClosePeer does not close it.
 * Without a connection to PEER nothing is counted. */
void Net_AddPendingAttempt(Net *net, Addr peer);
void Net_DropPendingAttempt(Net *net, Addr peer);

/* Closes the connection to PEER, unless attempts wait for an answer over
 * it. */
void Net_ClosePeer(Net *net, Addr peer);

#endif
