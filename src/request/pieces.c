#include "request/pieces.h"

PcsVerdict
Pcs_OnPiece(Pcs *pieces, uint32_t sequence, bool last)
{
    if (pieces->whole || sequence < pieces->next) {
        return Pcs_IGNORE;
    }
    if (sequence > pieces->next) {
        return Pcs_GAP;
    }
    pieces->next++;
    pieces->whole = last;
    return last ? Pcs_TAKE_LAST : Pcs_TAKE;
}
