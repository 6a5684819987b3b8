/* Pcs: the order of one answer's pieces.  A piece counts once and in its
 * turn; an answer with a hole in it never becomes whole.
 */
#ifndef PIECES_H
#define PIECES_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    Pcs_NEXT,      /* the next one: pass it on */
    Pcs_LAST,      /* the next one, and the answer is whole */
    Pcs_DUPLICATE, /* a duplicate */
    Pcs_GAP        /* a piece before it was lost */
} PieceVerdict;

typedef struct {
    uint32_t next_sequence; /* pieces taken so far */
    bool complete;
} PieceSequence;

PieceVerdict Pcs_OnPiece(PieceSequence *pieces, uint32_t sequence, bool last);

#endif
