#include "connection/peer.h"

/* Without an attempt that waits, nobody is in a hurry. */
enum { PATIENCE = 5 };

PeerState
Peer_Watch(const Peer *peer, Span ping, Span silence, Instant now)
{
    if (peer->holds == 0) {
        if (!peer->asked_at) {
            return Peer_FINE;
        }
        ping *= PATIENCE;
        silence *= PATIENCE;
    }
    if (peer->asked_at && now - peer->asked_at >= silence) {
        return Peer_GONE_SILENT;
    }
    return now - peer->sent_at >= ping ? Peer_NEEDS_PING : Peer_FINE;
}

void
Peer_OnSent(Peer *peer, Instant now)
{
    peer->sent_at = now;
    if (!peer->asked_at) {
        peer->asked_at = now;
    }
}

void
Peer_OnHeard(Peer *peer)
{
    peer->asked_at = 0;
    peer->heard = true;
}
