/* Pcs: the order of one answer's pieces.  A piece counts once and in its
 * turn; an answer with a hole in it never becomes whole.
 */
#ifndef PIECES_H
#define PIECES_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    Pcs_TAKE,      /* the next one: pass it on */
    Pcs_TAKE_LAST, /* the next one, and the answer is whole */
    Pcs_IGNORE,    /* a duplicate */
    Pcs_GAP        /* a piece before it was lost */
} PcsVerdict;

typedef struct {
    uint32_t next; /* pieces taken so far */
    bool whole;
} Pcs;

PcsVerdict Pcs_OnPiece(Pcs *pieces, uint32_t sequence, bool last);

#endif
