/* The order of an answer's pieces. */
#include "request/pieces.h"
#include "support/suite.h"

typedef struct {
    uint32_t sequence;
    bool last;
    PcsVerdict wanted;
} Piece;

typedef struct {
    Piece pieces[6];
    int count;
    bool whole;
} PieceCase;

static const PieceCase cases[] = {
    {{{0, true, Pcs_TAKE_LAST}}, 1, true},
    {{{0, false, Pcs_TAKE}, {1, true, Pcs_TAKE_LAST}}, 2, true},
    {{{0, false, Pcs_TAKE}, {0, false, Pcs_IGNORE}, {1, true, Pcs_TAKE_LAST}},
     3,
     true},
    {{{0, false, Pcs_TAKE}, {2, true, Pcs_GAP}}, 2, false},
    {{{1, true, Pcs_GAP}, {0, false, Pcs_TAKE}}, 2, false},
    {{{0, true, Pcs_TAKE_LAST}, {0, true, Pcs_IGNORE}, {1, true, Pcs_IGNORE}},
     3,
     true},
};

START_TEST(takes_each_piece_once_in_its_turn)
{
    const PieceCase *c = &cases[_i];
    Pcs pieces = {0};

    for (int i = 0; i < c->count; i++) {
        const Piece *piece = &c->pieces[i];
        ck_assert_int_eq(Pcs_OnPiece(&pieces, piece->sequence, piece->last),
                         piece->wanted);
    }
    ck_assert(pieces.whole == c->whole);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {takes_each_piece_once_in_its_turn, sizeof cases / sizeof cases[0]}};

    return Suite_Run("pieces", tests, 1, 10);
}
