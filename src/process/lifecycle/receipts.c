#include "process/lifecycle/receipts.h"

#include <string.h>

#include "value/mem.h"

/* Time between two pings of a peer that has not confirmed. */
#define PING_INTERVAL Span_MS(100)

/* A peer that has not confirmed for so long is not waited for. */
#define CONFIRM_TIMEOUT Span_S(5)

void
Rcp_Finish(Receipts *receipts)
{
    Mem_Free(receipts->peers);
    *receipts = (Receipts){0};
}

static Str
id_of(const ReceiptPeer *peer)
{
    return Str_From(peer->id, peer->id_len);
}

static ReceiptPeer *
find_peer(Receipts *receipts, Str id)
{
    for (size_t i = 0; i < receipts->count; i++) {
        if (Str_Equal(id_of(&receipts->peers[i]), id)) {
            return &receipts->peers[i];
        }
    }
    return NULL;
}

static void
drop_peer(Receipts *receipts, ReceiptPeer *peer)
{
    *peer = receipts->peers[--receipts->count];
}

static bool
is_confirmed(const ReceiptPeer *peer)
{
    return peer->pongs >= peer->covered;
}

static bool
is_waited_for(const ReceiptPeer *peer, Instant now)
{
    return !is_confirmed(peer) && now - peer->sent_at < CONFIRM_TIMEOUT;
}

static void
forget_old_peers(Receipts *receipts, Instant now)
{
    for (size_t i = receipts->count; i-- > 0;) {
        if (now - receipts->peers[i].sent_at >= CONFIRM_TIMEOUT) {
            drop_peer(receipts, &receipts->peers[i]);
        }
    }
}

/* Returns NULL when there is no room. */
static ReceiptPeer *
add_peer(Receipts *receipts, Str id, Instant now)
{
    ReceiptPeer *peer;

    if (receipts->count == receipts->cap) {
        forget_old_peers(receipts, now);
    }
    if (receipts->count == Rcp_PEERS_MAX || id.len > Rcp_ID_BYTES_MAX) {
        return NULL;
    }
    if (receipts->count == receipts->cap) {
        receipts->cap = receipts->cap ? receipts->cap * 2 : 16;
        receipts->peers = Mem_Resize(receipts->peers, receipts->cap,
                                     sizeof *receipts->peers);
    }
    peer = &receipts->peers[receipts->count++];
    *peer = (ReceiptPeer){.id_len = id.len};
    memcpy(peer->id, id.ptr, id.len);
    return peer;
}

void
Rcp_OnSent(Receipts *receipts, Str id, Instant now)
{
    ReceiptPeer *peer = find_peer(receipts, id);

    if (!peer) {
        peer = add_peer(receipts, id, now);
    }
    if (peer) {
        peer->covered = peer->pings + 1;
        peer->sent_at = now;
    }
}

void
Rcp_OnPong(Receipts *receipts, Str id)
{
    ReceiptPeer *peer = find_peer(receipts, id);

    if (!peer) {
        return;
    }
    peer->pongs++;
    /* While pongs to earlier pings are under way, the entry keeps them from
     * being taken for answers to later ones. */
    if (is_confirmed(peer) && peer->pongs >= peer->pings) {
        drop_peer(receipts, peer);
    }
}

void
Rcp_OnLost(Receipts *receipts, Str id)
{
    ReceiptPeer *peer = find_peer(receipts, id);

    if (peer) {
        drop_peer(receipts, peer);
    }
}

bool
Rcp_NextPing(Receipts *receipts, Str *id, Instant now)
{
    for (size_t i = 0; i < receipts->count; i++) {
        ReceiptPeer *peer = &receipts->peers[i];
        if (is_waited_for(peer, now) &&
            (!peer->pinged_at || now - peer->pinged_at >= PING_INTERVAL)) {
            peer->pings++;
            peer->pinged_at = now;
            *id = id_of(peer);
            return true;
        }
    }
    return false;
}

size_t
Rcp_CountUnconfirmed(const Receipts *receipts, Instant now)
{
    size_t count = 0;

    for (size_t i = 0; i < receipts->count; i++) {
        count += is_waited_for(&receipts->peers[i], now);
    }
    return count;
}
