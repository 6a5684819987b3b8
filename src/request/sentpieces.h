/* Snt: pieces of answers of several pieces, for a moment after they were sent.
 *
 * When the connection over which they are on their way is given up, the
 * ingress node asks for the rest over a new one and says which piece is next.
 * What it lacks is sent again.  The oldest give way to newer ones.
 */
#ifndef SENTPIECES_H
#define SENTPIECES_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/list.h"
#include "value/str.h"

enum {
    Snt_BYTES_MAX = 8 * 1024 * 1024, /* of all messages that are kept */
    Snt_ENTRY_BYTES = 128            /* counted for each, beside its bytes */
};

/* Time for which a piece is kept. */
#define Snt_RETENTION Span_S(10)

/* All zero: none. */
typedef struct {
    List pieces; /* oldest first */
    size_t bytes;
} SentPieces;

typedef struct {
    Str message; /* valid until the next call */
    size_t data_bytes;
    bool is_last; /* of its answer */
} SentPiece;

void Snt_Finish(SentPieces *sent);

/* Keeps a copy of PIECE, number SEQUENCE of the attempt ID's answer. */
void Snt_Add(SentPieces *sent, AttemptId id, uint32_t sequence,
             const SentPiece *piece, Instant now);

/* Drops the pieces whose time is over. */
void Snt_Expire(SentPieces *sent, Instant now);

/* Finds a piece.  Returns false when it is not kept. */
bool Snt_Find(const SentPieces *sent, AttemptId id, uint32_t sequence,
              SentPiece *piece);

/* Whether all pieces from number FROM on are kept: up to number END, which is
 * not included, or, with END UINT32_MAX, to the last one. */
bool Snt_HasAll(const SentPieces *sent, AttemptId id, uint32_t from,
                uint32_t end);

#endif
