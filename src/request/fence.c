#include "request/fence.h"

#include "connection/claimmsg.h"

static bool
read_failed(AttemptRunner *hub, bool whole, const Err *err)
{
    if (!whole) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
    }
    return !whole;
}

static FencedState
settle(AttemptRunner *hub, const NetOrigin *origin, const FenceMsg *msg,
       Instant now, Str *answer)
{
    switch (Led_Fence(&hub->ledger, msg->id, msg->incarnation, msg->keyed, now,
                      answer)) {
    case Led_NEVER:
        return Fenced_NEVER;
    case Led_RUNNING:
        return Run_RedirectAnswer(hub, origin, msg->id, msg->stop, now);
    case Led_DONE:
        return Fenced_ENDED;
    default:
        return Fenced_LOST;
    }
}

/* A kept answer is no longer than a piece. */
static void
send_kept(AttemptRunner *hub, const NetOrigin *origin, AttemptId id, Str kept,
          Instant now)
{
    PieceMsg piece = {.id = id, .last = true};
    AnswerMsg answer;
    Unpack in;
    Pack pack;

    if (!Unpack_Init(&in, kept, NULL)) {
        return;
    }
    if (Callmsg_ReadAnswer(&in, &answer, NULL)) {
        piece.status = answer.status;
        piece.fields = answer.fields;
        piece.bytes = answer.bytes;
        piece.load = Adm_GetLoadReport(hub->admission, now);
        Callmsg_PackPiece(&pack, &piece);
        Net_Answer(hub->net, origin, Pack_View(&pack), now);
        Pack_Finish(&pack);
    }
    Unpack_Finish(&in);
}

static void
on_fence(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *hub = context;
    FenceMsg msg;
    FencedMsg fenced;
    Err err = {0};
    Str answer;
    Pack pack;

    if (read_failed(hub, Callmsg_ReadFence(in, &msg, &err), &err)) {
        return;
    }
    fenced.id = msg.id;
    fenced.state = settle(hub, origin, &msg, now, &answer);
    fenced.load = Adm_GetLoadReport(hub->admission, now);
    Tml_Record(hub->timeline, Tml_FENCE, "attempt=%016llx-%llu state=%d",
               (unsigned long long)msg.id.incarnation,
               (unsigned long long)msg.id.counter, fenced.state);
    Callmsg_PackFenced(&pack, &fenced);
    Net_Answer(hub->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
    if (fenced.state == Fenced_ENDED) {
        send_kept(hub, origin, msg.id, answer, now);
    }
}

static void
on_fate_ask(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    static const AttemptFate fates[] = {
        [Led_NEVER] = Clm_FATE_NEVER_RAN,
        [Led_RUNNING] = Clm_FATE_RUNNING,
        [Led_DONE] = Clm_FATE_ANSWERED,
        [Led_ENDED] = Clm_FATE_ANSWER_DROPPED,
        [Led_LOST] = Clm_FATE_UNKNOWN,
    };
    AttemptRunner *hub = context;
    FateAskMsg msg;
    FateMsg fate;
    Err err = {0};
    Pack pack;

    if (read_failed(hub, Claimmsg_ReadFateAsk(in, &msg, &err), &err)) {
        return;
    }
    fate.claim = msg.claim;
    fate.attempt = msg.attempt;
    fate.fate = fates[Led_Fence(&hub->ledger, msg.attempt, msg.incarnation,
                                true, now, &fate.answer)];
    Claimmsg_PackFate(&pack, &fate);
    Net_Answer(hub->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Fnc_RegisterHandlers(AttemptRunner *hub)
{
    Net_On(hub->net, Wire_FENCE, on_fence, hub);
    Net_On(hub->net, Wire_FATE_ASK, on_fate_ask, hub);
}
