/* Pcs: checks the sequence numbers of the pieces of one answer, as the ingress
 * node receives them.  Each piece is accepted once and in order; an answer
 * with a lost piece never becomes complete.  Start with a zeroed
 * PieceSequence. */
#ifndef PIECES_H
#define PIECES_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    Pcs_NEXT,      /* the expected piece, and more follow */
    Pcs_LAST,      /* the expected piece, and the answer is complete */
    Pcs_DUPLICATE, /* received before; to be ignored */
    Pcs_GAP        /* an earlier piece was lost */
} PieceVerdict;

typedef struct {
    uint32_t next_sequence; /* expected next; equals the pieces accepted */
    bool complete;
} PieceSequence;

/* Checks the next received piece; LAST: it ends the answer. */
PieceVerdict Pcs_OnPiece(PieceSequence *pieces, uint32_t sequence, bool last);

#endif
