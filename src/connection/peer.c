#include "connection/peer.h"

/* Factor on both time limits while no attempt waits for an answer: then a late
 * detection of a failed connection delays no call. */
enum { IDLE_TIMEOUT_FACTOR = 5 };

PeerStatus
Peer_Check(const PeerConnection *peer, Span ping, Span silence, Instant now)
{
    if (peer->pending_attempts == 0) {
        if (!peer->unanswered_since) {
            return Peer_OK;
        }
        ping *= IDLE_TIMEOUT_FACTOR;
        silence *= IDLE_TIMEOUT_FACTOR;
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
    peer->may_lose_answers = true;
}

void
Peer_OnOwnPause(PeerConnection *peer, Span pause)
{
    if (peer->unanswered_since) {
        peer->unanswered_since += pause;
    }
}
