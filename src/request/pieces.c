#include "request/pieces.h"

PieceVerdict
Pcs_OnPiece(PieceSequence *pieces, uint32_t sequence, bool last)
{
    if (pieces->complete || sequence < pieces->next_sequence) {
        return Pcs_DUPLICATE;
    }
    if (sequence > pieces->next_sequence) {
        return Pcs_GAP;
    }
    pieces->next_sequence++;
    pieces->complete = last;
    return last ? Pcs_LAST : Pcs_NEXT;
}
