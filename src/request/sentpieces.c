#include "request/sentpieces.h"

#include "value/mem.h"

typedef struct {
    ListLink link;
    AttemptId id;
    uint32_t sequence;
    bool is_last;
    size_t data_bytes;
    Instant sent_at;
    StrBuf message;
} KeptPiece;

static size_t
cost_of(size_t message_bytes)
{
    return message_bytes + Snt_ENTRY_BYTES;
}

static void
drop_oldest(SentPieces *sent)
{
    KeptPiece *oldest = Lst_First(&sent->pieces);

    Lst_Drop(&sent->pieces, &oldest->link);
    sent->bytes -= cost_of(oldest->message.len);
    StrBuf_Finish(&oldest->message);
    Mem_Free(oldest);
}

void
Snt_Finish(SentPieces *sent)
{
    while (Lst_First(&sent->pieces)) {
        drop_oldest(sent);
    }
}

void
Snt_Add(SentPieces *sent, AttemptId id, uint32_t sequence,
        const SentPiece *piece, Instant now)
{
    KeptPiece *added;

    if (cost_of(piece->message.len) > Snt_BYTES_MAX) {
        return;
    }
    while (sent->bytes + cost_of(piece->message.len) > Snt_BYTES_MAX) {
        drop_oldest(sent);
    }
    added = Mem_Alloc(1, sizeof *added);
    added->id = id;
    added->sequence = sequence;
    added->is_last = piece->is_last;
    added->data_bytes = piece->data_bytes;
    added->sent_at = now;
    StrBuf_Set(&added->message, piece->message);
    sent->bytes += cost_of(piece->message.len);
    Lst_Append(&sent->pieces, &added->link, added);
}

void
Snt_Expire(SentPieces *sent, Instant now)
{
    const KeptPiece *oldest;

    while ((oldest = Lst_First(&sent->pieces)) &&
           now - oldest->sent_at >= Snt_RETENTION) {
        drop_oldest(sent);
    }
}

bool
Snt_Find(const SentPieces *sent, AttemptId id, uint32_t sequence,
         SentPiece *piece)
{
    for (const ListLink *link = sent->pieces.first; link; link = link->next) {
        const KeptPiece *kept = link->item;
        if (kept->sequence == sequence && AttemptId_Equal(kept->id, id)) {
            *piece = (SentPiece){StrBuf_View(&kept->message), kept->data_bytes,
                                 kept->is_last};
            return true;
        }
    }
    return false;
}

bool
Snt_HasAll(const SentPieces *sent, AttemptId id, uint32_t from, uint32_t end)
{
    SentPiece piece = {.is_last = false};

    for (uint32_t i = from; i < end && !piece.is_last; i++) {
        if (!Snt_Find(sent, id, i, &piece)) {
            return false;
        }
    }
    return true;
}
