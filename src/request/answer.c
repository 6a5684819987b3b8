#include "request/answer.h"

static void
send_piece(BackendAttempt *run, Str bytes, bool last, Instant now)
{
    PieceMsg msg = {
        .id = run->id,
        .sequence = run->next_piece,
        .last = last,
        .bytes = bytes,
        .load = Adm_GetLoadReport(run->hub->admission, now),
    };
    Pack pack;

    if (run->detached) {
        return;
    }
    msg.bare = !Run_IncludesLoadReport(run->hub, &run->origin,
                                       run->cross_region, now);
    if (run->next_piece == 0) {
        msg.status = run->status;
        msg.fields = run->answer_fields;
    }
    run->next_piece++;
    run->deadline = now + Callmsg_STALL;
    run->uncredited_bytes += (uint32_t)bytes.len;
    Callmsg_PackPiece(&pack, &msg);
    Cnt_Add(run->hub->counters, Cnt_DATA_BYTES, Pack_View(&pack).len);
    Net_Answer(run->hub->net, &run->origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Ans_SendFullPieces(BackendAttempt *run, Instant now)
{
    size_t sent = 0;

    while (run->unsent_body.len - sent >= Callmsg_PIECE_BYTES &&
           run->uncredited_bytes < Callmsg_WINDOW_BYTES) {
        send_piece(run,
                   Str_Slice(StrBuf_View(&run->unsent_body), sent,
                             Callmsg_PIECE_BYTES),
                   false, now);
        sent += Callmsg_PIECE_BYTES;
    }
    if (sent) {
        StrBuf rest = {0};
        StrBuf_Set(&rest, Str_Slice(StrBuf_View(&run->unsent_body), sent,
                                    run->unsent_body.len));
        StrBuf_Finish(&run->unsent_body);
        run->unsent_body = rest;
    }
}

void
Ans_OnHead(void *context, uint16_t status, const FieldList *fields)
{
    BackendAttempt *run = context;

    run->status = status;
    Run_CopyFields(&run->answer_fields, &run->answer_field_text, fields);
}

/* Nobody takes the answer, and it is too large to be kept. */
static void
drop_large(BackendAttempt *run)
{
    if (run->unsent_body.len >= Callmsg_PIECE_BYTES) {
        StrBuf_Clear(&run->unsent_body);
        run->next_piece = 1;
    }
}

void
Ans_OnBytes(void *context, Str bytes)
{
    BackendAttempt *run = context;

    StrBuf_Append(&run->unsent_body, bytes);
    if (run->detached) {
        drop_large(run);
        return;
    }
    Ans_SendFullPieces(run, Loop_Now());
    if (run->unsent_body.len >= Callmsg_WINDOW_BYTES) {
        Bck_Pause(run->exchange);
    }
}

void
Ans_SendRest(BackendAttempt *run, Instant now)
{
    Str rest = StrBuf_View(&run->unsent_body);
    size_t sent = 0;

    do {
        Str piece = Str_Slice(rest, sent, Callmsg_PIECE_BYTES);
        sent += piece.len;
        send_piece(run, piece, sent == rest.len, now);
    } while (sent < rest.len);
}

void
Ans_StoreInLedger(BackendAttempt *run, Instant now)
{
    AnswerMsg answer = {
        .status = run->status,
        .fields = run->answer_fields,
        .bytes = StrBuf_View(&run->unsent_body),
    };
    Pack pack;

    Callmsg_PackAnswer(&pack, &answer);
    Led_OnDone(&run->hub->ledger, run->id,
               !run->idempotent && run->next_piece == 0, Pack_View(&pack),
               now);
    Pack_Finish(&pack);
}

void
Ans_Detach(BackendAttempt *run)
{
    run->detached = true;
    drop_large(run);
    if (run->exchange) {
        Bck_Resume(run->exchange);
    }
}
