#include "request/answer.h"

/* What all attempts together may send ahead of credits while the node
 * flushes. */
enum { FLUSH_BYTES = 32 * 1024 * 1024 };

/* Of the share of attempts, one part in 4 may wait to be sent. */
enum { QUEUE_SHARE_DIVISOR = 4 };

/* Whether so much waits to be sent to other nodes that answers wait at the
 * backend server. */
static bool
is_queue_full(AttemptRunner *runner)
{
    const MemoryBudget *budget = runner->budget;

    Bdg_Force(runner->budget, Bdg_ATTEMPTS, &runner->queue_held,
              Snq_GetBytes(&runner->net->send_queue));
    return budget->max && !runner->is_flushing &&
           runner->queue_held >
               budget->shares[Bdg_ATTEMPTS] / QUEUE_SHARE_DIVISOR;
}

/* The same, and remembers it for Ans_CheckQueue. */
static bool
has_to_wait(AttemptRunner *runner)
{
    bool is_full = is_queue_full(runner);

    runner->has_full_queue |= is_full;
    return is_full;
}

/* Bytes that may be sent and not credited yet. */
static size_t
get_window(const BackendAttempt *attempt)
{
    AttemptRunner *runner = attempt->runner;

    if (has_to_wait(runner)) {
        return 0;
    }
    return Callmsg_WINDOW_BYTES +
           (runner->is_flushing ? FLUSH_BYTES / runner->attempts.count : 0);
}

static void
send_piece(BackendAttempt *attempt, Str bytes, bool last, Instant now)
{
    PieceMessage msg = {
        .id = attempt->id,
        .sequence = attempt->next_piece,
        .is_last = last,
        .data = bytes,
        .load = Adm_GetLoadReport(attempt->runner->admission, now),
    };
    Pack pack;

    if (attempt->detached) {
        return;
    }
    msg.load_omitted = !Run_IncludesLoadReport(
        attempt->runner, &attempt->origin, attempt->cross_region, now);
    if (attempt->next_piece == 0) {
        msg.status = attempt->status;
        msg.fields = attempt->answer_fields;
    }
    attempt->next_piece++;
    attempt->runner->last_piece_at = now;
    attempt->deadline = now + Callmsg_STALL_TIMEOUT;
    attempt->uncredited_bytes += (uint32_t)bytes.len;
    Callmsg_PackPiece(&pack, &msg);
    Cnt_Add(attempt->runner->counters, Cnt_DATA_BYTES, Pack_View(&pack).len);
    attempt->origin_lost |= !Run_AnswerOrigin(
        attempt->runner, &attempt->origin, Pack_View(&pack), now);
    if (msg.sequence || !last) {
        const SentPiece piece = {Pack_View(&pack), bytes.len, last};
        Snt_Add(&attempt->runner->sent_pieces, attempt->id, msg.sequence,
                &piece, now);
    }
    Pack_Finish(&pack);
}

uint32_t
Ans_SendAgain(AttemptRunner *runner, const NetOrigin *origin,
              const FenceMessage *fence, uint32_t end, Instant now)
{
    SentPiece piece = {.is_last = false};
    size_t sent = 0;

    for (uint32_t i = fence->next_piece; i < end && !piece.is_last; i++) {
        if (!Snt_Find(&runner->sent_pieces, fence->id, i, &piece)) {
            break;
        }
        Run_AnswerOrigin(runner, origin, piece.message, now);
        sent += piece.data_bytes;
    }
    return (uint32_t)sent;
}

/* While attempts keep too much, what there is of an answer is sent at once. */
static size_t
choose_least_piece(const AttemptRunner *runner)
{
    return Bdg_IsOver(runner->budget, Bdg_ATTEMPTS) ? 1 : Callmsg_PIECE_BYTES;
}

void
Ans_SendFullPieces(BackendAttempt *attempt, Instant now)
{
    size_t sent = 0;
    size_t least = choose_least_piece(attempt->runner);

    if (attempt->detached) {
        return; /* what there is of the answer is kept for the ledger */
    }
    while (attempt->unsent_body.len - sent >= least &&
           attempt->uncredited_bytes < get_window(attempt)) {
        Str piece = Str_Slice(StrBuf_View(&attempt->unsent_body), sent,
                              Callmsg_PIECE_BYTES);
        send_piece(attempt, piece, false, now);
        sent += piece.len;
    }
    if (sent) {
        StrBuf rest = {0};
        StrBuf_Set(&rest, Str_Slice(StrBuf_View(&attempt->unsent_body), sent,
                                    attempt->unsent_body.len));
        StrBuf_Finish(&attempt->unsent_body);
        attempt->unsent_body = rest;
    }
}

void
Ans_OnHead(void *context, uint16_t status, const FieldList *fields)
{
    BackendAttempt *attempt = context;

    attempt->status = status;
    Run_CopyFields(&attempt->answer_fields, &attempt->answer_field_text,
                   fields);
}

/* Discards the answer of a detached attempt once it is too large for the
 * ledger.  A next_piece of 1 keeps Ans_StoreInLedger from storing what is
 * left. */
static void
discard_large(BackendAttempt *attempt)
{
    if (attempt->unsent_body.len >= Callmsg_PIECE_BYTES) {
        StrBuf_Clear(&attempt->unsent_body);
        attempt->next_piece = 1;
    }
}

void
Ans_OnBytes(void *context, Str bytes)
{
    BackendAttempt *attempt = context;

    StrBuf_Append(&attempt->unsent_body, bytes);
    if (attempt->detached) {
        discard_large(attempt);
        return;
    }
    Run_ForceHold(attempt);
    Ans_SendFullPieces(attempt, Loop_Now());
    Run_ForceHold(attempt);
    if (attempt->unsent_body.len >= Callmsg_WINDOW_BYTES ||
        has_to_wait(attempt->runner)) {
        Bck_Pause(attempt->exchange);
    }
}

void
Ans_SendRest(BackendAttempt *attempt, Instant now)
{
    Str rest = StrBuf_View(&attempt->unsent_body);
    size_t sent = 0;

    do {
        Str piece = Str_Slice(rest, sent, Callmsg_PIECE_BYTES);
        sent += piece.len;
        send_piece(attempt, piece, sent == rest.len, now);
    } while (sent < rest.len);
}

/* An answer that is not kept can't be given again.  That of an attempt that
 * may be repeated is kept while the other node may have given up the
 * connection over which it is sent. */
static bool
is_kept(const BackendAttempt *attempt, Instant now)
{
    return attempt->next_piece == 0 &&
           (!attempt->idempotent || attempt->origin_lost ||
            Run_HasJustResumed(attempt->runner, now));
}

void
Ans_StoreInLedger(BackendAttempt *attempt, Instant now)
{
    StoredAnswer answer = {
        .status = attempt->status,
        .fields = attempt->answer_fields,
        .body = StrBuf_View(&attempt->unsent_body),
    };
    bool kept = is_kept(attempt, now);
    Pack pack;

    Callmsg_PackAnswer(&pack, &answer);
    Led_OnEnded(&attempt->runner->ledger, attempt->id, kept, Pack_View(&pack),
                now);
    if (!kept && attempt->next_piece == 0) {
        Rcn_Add(&attempt->runner->recent, attempt->id, Pack_View(&pack), now);
    }
    Pack_Finish(&pack);
}

void
Ans_Detach(BackendAttempt *attempt)
{
    attempt->detached = true;
    discard_large(attempt);
    if (attempt->exchange) {
        Bck_Resume(attempt->exchange);
    }
}

void
Ans_SendMore(BackendAttempt *attempt, Instant now)
{
    Ans_SendFullPieces(attempt, now);
    if (attempt->exchange && !attempt->runner->has_full_queue &&
        attempt->unsent_body.len < Callmsg_WINDOW_BYTES) {
        Bck_Resume(attempt->exchange);
    }
}

void
Ans_CheckQueue(AttemptRunner *runner, Instant now)
{
    ListWalk walk;
    BackendAttempt *attempt;

    if (is_queue_full(runner) || !runner->has_full_queue) {
        return;
    }
    runner->has_full_queue = false;
    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        Ans_SendMore(attempt, now);
    }
}
