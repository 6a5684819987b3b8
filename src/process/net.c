#include "process/net.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "connection/callmsg.h"
#include "connection/endwatch.h"
#include "connection/logmsg.h"
#include "value/mem.h"

enum { QUEUE_MESSAGES_MAX = 4096, RECONNECT_MS = 25, RECONNECT_MAX_MS = 100 };

/* A VM that is still starting does not answer the TCP SYN, and the kernel
 * would retransmit it only after a second. */
enum { CONNECT_TIMEOUT_MS = 200 };

/* A message that a handler kept. */
struct NetMessage {
    zmq_msg_t msg;
};

/* Of one process: each connection to another node takes three, itself and the
 * two that watch its end. */
enum { SOCKETS_MAX = 4095 };

/* Time to send queued messages when the node exits. */
enum { FINISH_LINGER_MS = 300 };

/* A connection over which no attempt waits tries another key after this many
 * times the silence setting without an answer. */
enum { KEY_RETRY_SILENCES = 2 };

static void
set_int_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

/* Sets the options that are the same for all sockets. */
static void
set_common_options(Net *net, void *socket)
{
    int64_t max = (int64_t)net->settings->body_bytes_max +
                  net->settings->header_bytes_max;

    if (max < Logmsg_SNAPSHOT_MAX) {
        max = Logmsg_SNAPSHOT_MAX;
    }
    max += Callmsg_PIECE_BYTES;
    set_int_option(socket, ZMQ_LINGER, 0);
    set_int_option(socket, ZMQ_SNDHWM, QUEUE_MESSAGES_MAX);
    set_int_option(socket, ZMQ_RCVHWM, QUEUE_MESSAGES_MAX);
    set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
    set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    set_int_option(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof max);
}

/* Returns the counter of the processor time spent on messages of KIND;
 * Cnt_COUNT for the kinds that belong to calls, which are not counted. */
static CounterId
choose_cpu_counter(MessageKind kind)
{
    if (kind == Wire_PING || kind == Wire_PONG) {
        return Cnt_MEASURE_CPU_US;
    }
    return kind < Wire_PING || kind == Wire_REGISTER_REQUEST ||
                   kind == Wire_REGISTER_REPLY || kind == Wire_OFFER ||
                   kind == Wire_GRANT
               ? Cnt_COUNT
               : Cnt_CONTROL_CPU_US;
}

static void
call_handler(Net *net, MessageKind kind, const NetOrigin *origin, Unpack *in,
             Instant now)
{
    const NetHandlerEntry *entry = &net->handlers[kind];
    CounterId id = choose_cpu_counter(kind);
    int64_t start = id == Cnt_COUNT ? 0 : Loop_CpuNs();

    if (entry->handler) {
        entry->handler(entry->context, origin, in, now);
    }
    if (id != Cnt_COUNT) {
        Cnt_AddNs(net->counters, id, Loop_CpuNs() - start);
    }
}

static void
dispatch(Net *net, const NetOrigin *origin, Str bytes, Instant now)
{
    Unpack in;
    MessageKind kind;
    Err err = {0};

    if (!Wire_Open(&in, bytes, &kind, &err)) {
        Cnt_Add(net->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(net->logger, Lgr_WARNING, Str_LIT("message_refused"), &err);
        return;
    }
    if (kind == Wire_PONG && origin->peer == Addr_NONE) {
        if (net->on_origin_pong) {
            net->on_origin_pong(net->pong_context, origin);
        }
    }
    else {
        call_handler(net, kind, origin, &in, now);
    }
    Unpack_Finish(&in);
}

/* Activates EVENT if SOCKET has messages to read.  To be called after each use
 * of the socket, because its file descriptor is edge-triggered: it does not
 * become readable again for messages that are already there. */
static void
recheck_socket(void *socket, struct event *event)
{
    int events = 0;
    size_t size = sizeof events;

    if (event && zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) == 0 &&
        events & ZMQ_POLLIN) {
        event_active(event, EV_READ, 0);
    }
}

static bool
receive_routing_id(Net *net, NetOrigin *origin)
{
    int len = zmq_recv(net->router, origin->routing_id,
                       Net_ROUTING_ID_BYTES_MAX, ZMQ_DONTWAIT);

    if (len < 0) {
        return false;
    }
    origin->peer = Addr_NONE;
    origin->routing_id_len = len < Net_ROUTING_ID_BYTES_MAX
                                 ? (size_t)len
                                 : Net_ROUTING_ID_BYTES_MAX;
    return true;
}

static void
discard_remaining_frames(void *socket)
{
    int more = 0;
    size_t size = sizeof more;
    zmq_msg_t rest;

    while (zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size) == 0 && more) {
        zmq_msg_init(&rest);
        zmq_msg_recv(&rest, socket, ZMQ_DONTWAIT);
        zmq_msg_close(&rest);
    }
}

/* Receives the clock stamp and the message from SOCKET.  Returns false when
 * nothing is there to read.  MSG is left empty if the message is malformed. */
static bool
receive_message(Net *net, void *socket, zmq_msg_t *msg)
{
    HlcStamp stamp = 0;
    int len = zmq_recv(socket, &stamp, sizeof stamp, ZMQ_DONTWAIT);
    int more = 0;
    size_t size = sizeof more;

    if (len < 0) {
        return false;
    }
    zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
    if (len != sizeof stamp || !more) {
        Cnt_Add(net->counters, Cnt_MALFORMED, 1);
        discard_remaining_frames(socket);
        return true;
    }
    Hlc_Observe(&net->timeline->clock, stamp, net->logger->clock());
    zmq_msg_recv(msg, socket, ZMQ_DONTWAIT);
    discard_remaining_frames(socket);
    if (zmq_msg_size(msg) == 0) {
        Cnt_Add(net->counters, Cnt_MALFORMED, 1);
    }
    return true;
}

/* Sends the clock stamp and MESSAGE.  Returns false if SOCKET cannot queue
 * them. */
static bool
send_message(Net *net, void *socket, Str message)
{
    HlcStamp stamp = Hlc_Next(&net->timeline->clock, net->logger->clock());

    return zmq_send(socket, &stamp, sizeof stamp,
                    ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0 &&
           Snq_Send(&net->send_queue, socket, message);
}

static void
release_body(void *data, void *context)
{
    (void)data;
    Bod_Release(context);
}

/* As send_message, for WHOLE in BODY, which is not copied. */
static bool
send_body(Net *net, void *socket, BodyBuf *body, Str whole)
{
    HlcStamp stamp = Hlc_Next(&net->timeline->clock, net->logger->clock());
    zmq_msg_t msg;

    Bod_Retain(body);
    zmq_msg_init_data(&msg, (char *)whole.ptr, whole.len, release_body, body);
    if (zmq_send(socket, &stamp, sizeof stamp, ZMQ_SNDMORE | ZMQ_DONTWAIT) >=
            0 &&
        zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) >= 0) {
        return true;
    }
    zmq_msg_close(&msg);
    return false;
}

static void
on_router_readable(evutil_socket_t fd, short what, void *context)
{
    Net *net = context;
    NetOrigin origin;

    (void)fd;
    (void)what;
    while (receive_routing_id(net, &origin)) {
        zmq_msg_t msg;
        zmq_msg_init(&msg);
        if (receive_message(net, net->router, &msg) && zmq_msg_size(&msg)) {
            net->handled = &msg;
            dispatch(net, &origin,
                     Str_From(zmq_msg_data(&msg), zmq_msg_size(&msg)),
                     Loop_Now());
            net->handled = NULL;
        }
        zmq_msg_close(&msg);
    }
}

static PeerConnection *
find_peer(Net *net, Addr addr)
{
    for (size_t i = 0; i < net->peer_count; i++) {
        if (net->peers[i]->addr == addr) {
            return net->peers[i];
        }
    }
    return NULL;
}

/* Context of a connection's socket event; freed with the event. */
typedef struct {
    Net *net;
    PeerConnection *peer;
} PeerContext;

static void
on_peer_readable(evutil_socket_t fd, short what, void *context)
{
    Net *net = ((PeerContext *)context)->net;
    Addr addr = ((PeerContext *)context)->peer->addr;
    PeerConnection *peer;

    (void)fd;
    (void)what;
    /* A handler may close this connection, so it is looked up each time. */
    while ((peer = find_peer(net, addr))) {
        NetOrigin origin = {.peer = addr};
        zmq_msg_t msg;
        zmq_msg_init(&msg);
        if (!receive_message(net, peer->socket, &msg)) {
            zmq_msg_close(&msg);
            return;
        }
        Peer_OnReceived(peer);
        if (zmq_msg_size(&msg)) {
            dispatch(net, &origin,
                     Str_From(zmq_msg_data(&msg), zmq_msg_size(&msg)),
                     Loop_Now());
        }
        zmq_msg_close(&msg);
    }
}

static struct event *
add_socket_event(Net *net, void *socket, event_callback_fn callback,
                 void *context)
{
    int fd = -1;
    size_t size = sizeof fd;
    struct event *event;

    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    event = event_new(net->loop->base, fd, EV_READ | EV_PERSIST, callback,
                      context);
    event_add(event, NULL);
    return event;
}

/* The connection may have ended with answers under way.  Those that came
 * before the end are taken first.  One that fails again before a message came
 * is not told again. */
static void
on_peer_ended(evutil_socket_t fd, short what, void *context)
{
    Net *net = ((PeerContext *)context)->net;
    PeerConnection *peer = ((PeerContext *)context)->peer;
    Addr addr = peer->addr;
    bool cut = Edw_HasEnded(peer->end_watch) && peer->may_lose_answers;

    peer->may_lose_answers &= !cut;
    if (cut && peer->pending_attempts) {
        on_peer_readable(fd, what, context);
        if (net->on_unresponsive) {
            net->on_unresponsive(net->unresponsive_context, addr, Loop_Now());
        }
    }
}

/* Returns the address to connect to for messages to PEER: the one that its
 * route in the settings gives, else its own. */
static Addr
choose_address(const Settings *settings, Addr peer)
{
    for (size_t i = 0; i < settings->route_count; i++) {
        if (settings->routes[i].to == peer) {
            return settings->routes[i].via;
        }
    }
    return peer;
}

static void
open_peer(Net *net, PeerConnection *peer)
{
    StrBuf endpoint = {0};
    PeerContext *context = Mem_Alloc(1, sizeof *context);

    *context = (PeerContext){net, peer};
    peer->socket = zmq_socket(net->zmq_context, ZMQ_DEALER);
    set_common_options(net, peer->socket);
    Curve_ConfigureClient(&net->keys, peer->socket, peer->closed_unanswered);
    peer->end_watch = Edw_Start(net->zmq_context, peer->socket);
    StrBuf_Append(&endpoint, Str_LIT("tcp://"));
    Addr_Print(choose_address(net->settings, peer->addr), &endpoint);
    zmq_connect(peer->socket, StrBuf_CStr(&endpoint));
    StrBuf_Finish(&endpoint);
    peer->event =
        add_socket_event(net, peer->socket, on_peer_readable, context);
    peer->end_event =
        add_socket_event(net, peer->end_watch, on_peer_ended, context);
    peer->unanswered_since = 0;
    peer->has_received = false;
    peer->may_lose_answers = false;
    peer->open_count++;
}

/* Closes the socket.  PEER stays in the list, to be opened again or freed. */
static void
close_peer(PeerConnection *peer)
{
    PeerContext *context = event_get_callback_arg(peer->event);

    event_free(peer->event);
    event_free(peer->end_event);
    Mem_Free(context);
    Edw_Stop(peer->end_watch, peer->socket);
    zmq_close(peer->socket);
    peer->closed_unanswered = peer->has_received ? peer->closed_unanswered
                                                 : peer->closed_unanswered + 1;
}

static PeerConnection *
add_peer(Net *net, Addr addr)
{
    PeerConnection *peer = Mem_Alloc(1, sizeof *peer);

    if (net->peer_count == net->peer_cap) {
        net->peer_cap = net->peer_cap ? net->peer_cap * 2 : 16;
        net->peers =
            Mem_Resize(net->peers, net->peer_cap, sizeof(PeerConnection *));
    }
    net->peers[net->peer_count++] = peer;
    peer->addr = addr;
    open_peer(net, peer);
    return peer;
}

/* Records in the timeline that PEER is unresponsive, but only if something was
 * received over this connection: further failed connections to a dead node
 * are not worth an event each. */
static void
record_unresponsive(Net *net, const PeerConnection *peer)
{
    StrBuf addr = {0};

    if (!peer->has_received) {
        return;
    }
    Addr_Print(peer->addr, &addr);
    Tml_Record(net->timeline, Tml_SILENT, "to=%.*s", Str_ARG(addr));
    StrBuf_Finish(&addr);
}

static void
check_peer(Net *net, PeerConnection *peer, Instant now)
{
    Pack ping;

    if (Curve_HasSeveralChoices(&net->keys) && peer->pending_attempts == 0 &&
        peer->unanswered_since &&
        now - peer->unanswered_since >=
            KEY_RETRY_SILENCES * net->settings->silence) {
        /* No attempt waits for an answer, but the other node's key may have
         * been replaced. */
        close_peer(peer);
        open_peer(net, peer);
        return;
    }
    switch (
        Peer_Check(peer, net->settings->ping, net->settings->silence, now)) {
    case Peer_OK:
        break;
    case Peer_NEEDS_PING:
        Callmsg_PackPing(&ping);
        Net_Send(net, peer->addr, Pack_View(&ping), now);
        Pack_Finish(&ping);
        break;
    case Peer_UNRESPONSIVE:
        Cnt_Add(net->counters, Cnt_SILENT_CONNECTIONS, 1);
        record_unresponsive(net, peer);
        close_peer(peer);
        open_peer(net, peer);
        if (net->on_unresponsive) {
            net->on_unresponsive(net->unresponsive_context, peer->addr, now);
        }
        break;
    }
}

static void
check_peers(void *context, Instant now)
{
    Net *net = context;
    int64_t start = Loop_CpuNs();
    Span pause = now - net->peers_checked_at - net->settings->ping / 2;

    for (size_t i = 0; i < net->peer_count; i++) {
        if (net->peers_checked_at && pause > 0) {
            Peer_OnOwnPause(net->peers[i], pause);
        }
        check_peer(net, net->peers[i], now);
    }
    net->peers_checked_at = now;
    Cnt_AddNs(net->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static bool
bind_router(Net *net, Err *err)
{
    StrBuf endpoint = {0};
    bool bound;

    net->router = zmq_socket(net->zmq_context, ZMQ_ROUTER);
    set_common_options(net, net->router);
    set_int_option(net->router, ZMQ_ROUTER_MANDATORY, 1);
    Curve_ConfigureServer(&net->keys, net->router);
    StrBuf_Append(&endpoint, Str_LIT("tcp://"));
    Addr_Print(net->settings->address, &endpoint);
    bound = zmq_bind(net->router, StrBuf_CStr(&endpoint)) == 0;
    if (!bound) {
        Err_SET(err, Err_IO, "cannot listen on %s: %s", StrBuf_CStr(&endpoint),
                zmq_strerror(zmq_errno()));
    }
    StrBuf_Finish(&endpoint);
    return bound;
}

bool
Net_Init(Net *net, Loop *loop, Timeline *timeline, Counters *counters,
         const Settings *settings, Err *err)
{
    *net = (Net){
        .loop = loop,
        .logger = timeline->logger,
        .timeline = timeline,
        .counters = counters,
        .settings = settings,
    };
    Snq_Init(&net->send_queue);
    net->zmq_context = zmq_ctx_new();
    zmq_ctx_set(net->zmq_context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
    if (!Curve_Init(&net->keys, net->zmq_context, loop, settings, timeline,
                    counters, err)) {
        zmq_ctx_term(net->zmq_context);
        return false;
    }
    if (!bind_router(net, err)) {
        zmq_close(net->router);
        Curve_Finish(&net->keys);
        zmq_ctx_term(net->zmq_context);
        return false;
    }
    net->router_event =
        add_socket_event(net, net->router, on_router_readable, net);
    LoopTimer_Init(&net->peer_check_timer, loop, settings->ping / 2,
                   check_peers, net);
    return true;
}

void
Net_Finish(Net *net)
{
    LoopTimer_Finish(&net->peer_check_timer);
    set_int_option(net->router, ZMQ_LINGER, FINISH_LINGER_MS);
    for (size_t i = 0; i < net->peer_count; i++) {
        set_int_option(net->peers[i]->socket, ZMQ_LINGER, FINISH_LINGER_MS);
        close_peer(net->peers[i]);
        Mem_Free(net->peers[i]);
    }
    Mem_Free(net->peers);
    event_free(net->router_event);
    zmq_close(net->router);
    Curve_Finish(&net->keys);
    zmq_ctx_term(net->zmq_context);
}

void
Net_SetHandler(Net *net, MessageKind kind, NetHandler handler, void *context)
{
    net->handlers[kind] = (NetHandlerEntry){handler, context};
}

void
Net_SetUnresponsiveCallback(Net *net, NetUnresponsiveCallback callback,
                            void *context)
{
    net->on_unresponsive = callback;
    net->unresponsive_context = context;
}

/* Opens the connection to PEER again with the next key, because ZeroMQ closed
 * it when the other node rejected the last one.  The ping shows whether the
 * new key is accepted. */
static void
try_next_key(Net *net, PeerConnection *peer, Instant now)
{
    Pack ping;

    close_peer(peer);
    open_peer(net, peer);
    Callmsg_PackPing(&ping);
    if (send_message(net, peer->socket, Pack_View(&ping))) {
        Peer_OnSent(peer, now);
    }
    Pack_Finish(&ping);
}

/* Sends WHOLE, which is in BODY, or copied where BODY is NULL. */
static bool
send_to_peer(Net *net, Addr addr, BodyBuf *body, Str whole, Instant now)
{
    PeerConnection *peer = find_peer(net, addr);
    bool sent;

    if (addr == Addr_NONE) {
        return false;
    }
    if (!peer) {
        peer = add_peer(net, addr);
    }
    sent = body ? send_body(net, peer->socket, body, whole)
                : send_message(net, peer->socket, whole);
    if (sent) {
        Peer_OnSent(peer, now);
    }
    else if (Curve_HasSeveralChoices(&net->keys) &&
             peer->pending_attempts == 0) {
        try_next_key(net, peer, now);
    }
    recheck_socket(peer->socket, peer->event);
    return sent;
}

bool
Net_Send(Net *net, Addr addr, Str message, Instant now)
{
    return send_to_peer(net, addr, NULL, message, now);
}

bool
Net_SendBody(Net *net, Addr addr, BodyBuf *body, Str whole, Instant now)
{
    return send_to_peer(net, addr, body, whole, now);
}

NetMessage *
Net_KeepMessage(Net *net)
{
    NetMessage *message;

    if (!net->handled) {
        return NULL;
    }
    message = Mem_Alloc(1, sizeof *message);
    zmq_msg_init(&message->msg);
    zmq_msg_move(&message->msg, net->handled);
    net->handled = NULL;
    return message;
}

void
Net_FreeMessage(NetMessage *message)
{
    if (message) {
        zmq_msg_close(&message->msg);
        Mem_Free(message);
    }
}

bool
Net_Answer(Net *net, const NetOrigin *origin, Str message, Instant now)
{
    bool sent;

    net->has_lost_origin = false;
    if (origin->peer != Addr_NONE) {
        return Net_Send(net, origin->peer, message, now);
    }
    sent = zmq_send(net->router, origin->routing_id, origin->routing_id_len,
                    ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0 &&
           send_message(net, net->router, message);
    net->has_lost_origin = !sent && zmq_errno() == EHOSTUNREACH;
    recheck_socket(net->router, net->router_event);
    return sent;
}

void
Net_SetOriginPongCallback(Net *net, NetPongCallback callback, void *context)
{
    net->on_origin_pong = callback;
    net->pong_context = context;
}

bool
Net_PingOrigin(Net *net, const NetOrigin *origin, Instant now)
{
    Pack ping;

    Callmsg_PackPing(&ping);
    Net_Answer(net, origin, Pack_View(&ping), now);
    Pack_Finish(&ping);
    return !net->has_lost_origin;
}

void
Net_AddPendingAttempt(Net *net, Addr addr)
{
    PeerConnection *peer = find_peer(net, addr);

    if (peer) {
        peer->pending_attempts++;
    }
}

void
Net_DropPendingAttempt(Net *net, Addr addr)
{
    PeerConnection *peer = find_peer(net, addr);

    if (peer && peer->pending_attempts) {
        peer->pending_attempts--;
    }
}

void
Net_ClosePeer(Net *net, Addr addr)
{
    for (size_t i = 0; i < net->peer_count; i++) {
        PeerConnection *peer = net->peers[i];
        if (peer->addr == addr && peer->pending_attempts == 0) {
            close_peer(peer);
            Mem_Free(peer);
            net->peers[i] = net->peers[--net->peer_count];
            return;
        }
    }
}
