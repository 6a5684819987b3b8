#include "request/answer.h"

static void
send_piece(Run *run, Str bytes, bool last, Instant now)
{
    PieceMsg msg = {
        .id = run->id,
        .sequence = run->sequence,
        .last = last,
        .bytes = bytes,
        .load = Adm_GetLoadReport(run->hub->admission, now),
    };
    Pack pack;

    if (run->detached) {
        return;
    }
    msg.bare = !Run_Reports(run->hub, &run->origin, run->crosses, now);
    if (run->sequence == 0) {
        msg.status = run->status;
        msg.fields = run->head;
    }
    run->sequence++;
    run->deadline = now + Callmsg_STALL;
    run->uncredited += (uint32_t)bytes.len;
    Callmsg_PackPiece(&pack, &msg);
    Cnt_Add(run->hub->counters, Cnt_DATA_BYTES, Pack_View(&pack).len);
    Net_Answer(run->hub->net, &run->origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Ans_SendReady(Run *run, Instant now)
{
    size_t sent = 0;

    while (run->bytes.len - sent >= Callmsg_PIECE_BYTES &&
           run->uncredited < Callmsg_WINDOW_BYTES) {
        send_piece(
            run,
            Str_Slice(StrBuf_View(&run->bytes), sent, Callmsg_PIECE_BYTES),
            false, now);
        sent += Callmsg_PIECE_BYTES;
    }
    if (sent) {
        StrBuf rest = {0};
        StrBuf_Set(&rest,
                   Str_Slice(StrBuf_View(&run->bytes), sent, run->bytes.len));
        StrBuf_Finish(&run->bytes);
        run->bytes = rest;
    }
}

void
Ans_OnHead(void *context, uint16_t status, const FieldList *fields)
{
    Run *run = context;

    run->status = status;
    Run_CopyFields(&run->head, &run->head_text, fields);
}

/* Nobody takes the answer, and it is too large to be kept. */
static void
drop_large(Run *run)
{
    if (run->bytes.len >= Callmsg_PIECE_BYTES) {
        StrBuf_Clear(&run->bytes);
        run->sequence = 1;
    }
}

void
Ans_OnBytes(void *context, Str bytes)
{
    Run *run = context;

    StrBuf_Append(&run->bytes, bytes);
    if (run->detached) {
        drop_large(run);
        return;
    }
    Ans_SendReady(run, Loop_Now());
    if (run->bytes.len >= Callmsg_WINDOW_BYTES) {
        Bck_Pause(run->exchange);
    }
}

void
Ans_SendRest(Run *run, Instant now)
{
    Str rest = StrBuf_View(&run->bytes);
    size_t sent = 0;

    do {
        Str piece = Str_Slice(rest, sent, Callmsg_PIECE_BYTES);
        sent += piece.len;
        send_piece(run, piece, sent == rest.len, now);
    } while (sent < rest.len);
}

void
Ans_Keep(Run *run, Instant now)
{
    AnswerMsg answer = {
        .status = run->status,
        .fields = run->head,
        .bytes = StrBuf_View(&run->bytes),
    };
    Pack pack;

    Callmsg_PackAnswer(&pack, &answer);
    Led_OnDone(&run->hub->ledger, run->id,
               !run->idempotent && run->sequence == 0, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Ans_Detach(Run *run)
{
    run->detached = true;
    drop_large(run);
    if (run->exchange) {
        Bck_Resume(run->exchange);
    }
}
