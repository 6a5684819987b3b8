/* Peer: this node's connection to one other node (a ZeroMQ DEALER socket).
 *
 * Peer_Check decides, from the times of what was sent and heard, whether a
 * used connection needs a ping or has gone silent; the owner then opens a
 * fresh one and settles over it what was in flight.  A connection is used
 * while attempts wait for an answer over it; one that only carries messages
 * without such is given five times as long.
 */
#ifndef PEER_H
#define PEER_H

#include <event2/event.h>
#include <stdbool.h>

#include "value/addr.h"
#include "value/instant.h"

typedef enum { Peer_OK, Peer_NEEDS_PING, Peer_UNRESPONSIVE } PeerStatus;

typedef struct {
    Addr addr;
    void *socket;
    struct event *event;
    uint32_t pending_attempts; /* attempts that wait for an answer over it */
    Instant
        unanswered_since; /* first send not followed by any word; 0: none */
    Instant sent_at;      /* last send */
    uint64_t open_count;  /* times opened */
    bool has_received;    /* any word came since it was opened */
    uint32_t closed_unanswered; /* times closed without a word */
} PeerConnection;

PeerStatus Peer_Check(const PeerConnection *peer, Span ping, Span silence,
                      Instant now);
void Peer_OnSent(PeerConnection *peer, Instant now);
void Peer_OnReceived(PeerConnection *peer);

#endif
