/* Rcp: decides whether other nodes have received what this node sent to them,
 * so that it may exit.
 *
 * A message that was queued is not received yet: it may wait in this process,
 * in the kernel or in the network.  So the node sends a ping behind it; the
 * pong to that ping shows that all before it has arrived, since a connection
 * keeps the order.  A peer is named by the id of its connection.
 */
#ifndef RECEIPTS_H
#define RECEIPTS_H

#include <stdbool.h>

#include "value/instant.h"
#include "value/str.h"

enum { Rcp_ID_BYTES_MAX = 32, Rcp_PEERS_MAX = 1024 };

/* A peer that was sent something, until it has confirmed that and answered all
 * pings, or some seconds have passed. */
typedef struct {
    char id[Rcp_ID_BYTES_MAX];
    size_t id_len;
    uint64_t pings;   /* sent since the peer is in the list */
    uint64_t pongs;   /* received */
    uint64_t covered; /* the ping behind what was sent last; more than pings:
                         not sent yet */
    Instant pinged_at;
    Instant sent_at; /* when something was sent last */
} ReceiptPeer;

/* All zero: everything is confirmed. */
typedef struct {
    ReceiptPeer *peers; /* owned */
    size_t count;
    size_t cap;
} Receipts;

void Rcp_Finish(Receipts *receipts);

/* Something was sent to the peer ID.  Beyond Rcp_PEERS_MAX, it is taken for
 * confirmed. */
void Rcp_OnSent(Receipts *receipts, Str id, Instant now);

/* A pong to one of this node's pings came from the peer ID. */
void Rcp_OnPong(Receipts *receipts, Str id);

/* The peer ID is no longer connected. */
void Rcp_OnLost(Receipts *receipts, Str id);

/* Finds a peer that is to be pinged now, and counts the ping as sent.  Returns
 * false when there is none.  ID is valid until the next call. */
bool Rcp_NextPing(Receipts *receipts, Str *id, Instant now);

/* Counts the peers that have not confirmed and are still waited for. */
size_t Rcp_CountUnconfirmed(const Receipts *receipts, Instant now);

#endif
