#include "connection/peer.h"

/* Without an attempt that waits, nobody is in a hurry. */
enum { PATIENCE = 5 };

PeerStatus
Peer_Check(const PeerConnection *peer, Span ping, Span silence, Instant now)
{
    if (peer->pending_attempts == 0) {
        if (!peer->unanswered_since) {
            return Peer_OK;
        }
        ping *= PATIENCE;
        silence *= PATIENCE;
    }
    if (peer->unanswered_since && now - peer->unanswered_since >= silence) {
        return Peer_UNRESPONSIVE;
    }
    return now - peer->sent_at >= ping ? Peer_NEEDS_PING : Peer_OK;
}

void
Peer_OnSent(PeerConnection *peer, Instant now)
{
    peer->sent_at = now;
    if (!peer->unanswered_since) {
        peer->unanswered_since = now;
    }
}

void
Peer_OnReceived(PeerConnection *peer)
{
    peer->unanswered_since = 0;
    peer->has_received = true;
}
