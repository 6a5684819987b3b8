/* Duplicated, reordered and lost pieces of an answer: none may reach the
 * caller twice or out of order, and an answer with a gap is never complete. */
#include "request/pieces.h"
#include "support/suite.h"

typedef struct {
    uint32_t sequence;
    bool last;
    PieceVerdict expected;
} Piece;

typedef struct {
    Piece pieces[6];
    int count;
    bool complete;
} PieceCase;

static const PieceCase cases[] = {
    {{{0, true, Pcs_LAST}}, 1, true},
    {{{0, false, Pcs_NEXT}, {1, true, Pcs_LAST}}, 2, true},
    {{{0, false, Pcs_NEXT}, {0, false, Pcs_DUPLICATE}, {1, true, Pcs_LAST}},
     3,
     true},
    {{{0, false, Pcs_NEXT}, {2, true, Pcs_GAP}}, 2, false},
    {{{1, true, Pcs_GAP}, {0, false, Pcs_NEXT}}, 2, false},
    {{{0, true, Pcs_LAST}, {0, true, Pcs_DUPLICATE}, {1, true, Pcs_DUPLICATE}},
     3,
     true},
};

START_TEST(accepts_each_piece_once_in_order)
{
    const PieceCase *c = &cases[_i];
    PieceSequence pieces = {0};

    for (int i = 0; i < c->count; i++) {
        const Piece *piece = &c->pieces[i];
        ck_assert_int_eq(Pcs_OnPiece(&pieces, piece->sequence, piece->last),
                         piece->expected);
    }
    ck_assert(pieces.complete == c->complete);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {accepts_each_piece_once_in_order, sizeof cases / sizeof cases[0]}};

    return Suite_Run("pieces", tests, 1, 10);
}
