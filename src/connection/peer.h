/* Peer: this node's connection to one other node (a ZeroMQ DEALER socket).
 *
 * The owner reports each message sent and received, and calls Peer_Check from
 * a timer.  From these times Peer_Check decides whether the connection needs
 * a ping or is unresponsive; the owner then opens a new connection and uses
 * it to settle the attempts in flight.  A connection without attempts that
 * wait for an answer gets five times as long.
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
    void *end_watch; /* connection/endwatch.h */
    struct event *end_event;
    uint32_t pending_attempts;  /* attempts that wait for an answer over it */
    Instant unanswered_since;   /* first send since the last message from the
                                   node; 0: none */
    Instant sent_at;            /* last send */
    uint64_t open_count;        /* times this connection was opened */
    bool has_received;          /* a message came since it was last opened */
    bool may_lose_answers;      /* a message came since the connection was last
                                   opened or cut */
    uint32_t closed_unanswered; /* times closed without a message received */
} PeerConnection;

/* Returns the status at NOW.  PING is the time after the last send until a
 * ping is due, SILENCE the time that a send may stay unanswered; both are
 * five times as long while no attempt is pending. */
PeerStatus Peer_Check(const PeerConnection *peer, Span ping, Span silence,
                      Instant now);
void Peer_OnSent(PeerConnection *peer, Instant now);
void Peer_OnReceived(PeerConnection *peer);

/* This node itself did not run for PAUSE: what the other node may have sent
 * meanwhile was not read, so that the time does not count as its silence. */
void Peer_OnOwnPause(PeerConnection *peer, Span pause);

#endif
