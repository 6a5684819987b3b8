#include "request/fence.h"

#include "connection/claimmsg.h"
#include "request/answer.h"
#include "request/runstate.h"

static bool
reject_malformed(AttemptRunner *runner, bool well_formed, const Err *err)
{
    if (!well_formed) {
        Cnt_Add(runner->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(runner->logger, Lgr_WARNING, Str_LIT("message_refused"),
                   err);
    }
    return !well_formed;
}

/* The attempt of MSG has ended, and the ledger has no answer: it, or what of
 * it has not come, may be kept because it was sent a moment ago. */
static FenceResult
find_sent_answer(const AttemptRunner *runner, const FenceMessage *msg,
                 Str *answer, bool *gives_rest)
{
    if (Rcn_Find(&runner->recent, msg->id, answer)) {
        return Fence_ANSWERED;
    }
    *gives_rest =
        Snt_HasAll(&runner->sent_pieces, msg->id, msg->next_piece, UINT32_MAX);
    return *gives_rest ? Fence_RUNNING : Fence_UNKNOWN;
}

/* Sets ANSWER when the result is Fence_ANSWERED, and GIVES_REST when pieces
 * are to follow that were sent before. */
static FenceResult
fence_attempt(AttemptRunner *runner, const NetOrigin *origin,
              const FenceMessage *msg, Instant now, Str *answer,
              bool *gives_rest)
{
    *gives_rest = false;
    switch (Led_Fence(&runner->ledger, msg->id, msg->target_incarnation,
                      msg->keep_long, now, answer)) {
    case Led_NEVER_RAN:
        return Fence_NEVER_RAN;
    case Led_RUNNING:
        return Run_RedirectAnswer(runner, origin, msg, now);
    case Led_ANSWERED:
        return Fence_ANSWERED;
    case Led_ANSWER_DROPPED:
        return find_sent_answer(runner, msg, answer, gives_rest);
    default:
        return Fence_UNKNOWN;
    }
}

/* Sends an answer that the ledger keeps.  It fits into one piece. */
static void
send_kept_answer(AttemptRunner *runner, const NetOrigin *origin, AttemptId id,
                 Str kept, Instant now)
{
    PieceMessage piece = {.id = id, .is_last = true};
    StoredAnswer answer;
    Unpack in;
    Pack pack;

    if (!Unpack_Init(&in, kept, NULL)) {
        return;
    }
    if (Callmsg_ReadAnswer(&in, &answer, NULL)) {
        piece.status = answer.status;
        piece.fields = answer.fields;
        piece.data = answer.body;
        piece.load = Adm_GetLoadReport(runner->admission, now);
        Callmsg_PackPiece(&pack, &piece);
        Run_AnswerOrigin(runner, origin, Pack_View(&pack), now);
        Pack_Finish(&pack);
    }
    Unpack_Finish(&in);
}

static void
on_fence(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *runner = context;
    FenceMessage msg;
    FenceReplyMessage fenced;
    Err err = {0};
    Str answer;
    bool gives_rest;
    Pack pack;

    if (reject_malformed(runner, Callmsg_ReadFence(in, &msg, &err), &err)) {
        return;
    }
    fenced.id = msg.id;
    fenced.result =
        fence_attempt(runner, origin, &msg, now, &answer, &gives_rest);
    fenced.load = Adm_GetLoadReport(runner->admission, now);
    Tml_Record(runner->timeline, Tml_FENCE, "attempt=%016llx-%llu state=%d",
               (unsigned long long)msg.id.incarnation,
               (unsigned long long)msg.id.counter, fenced.result);
    Callmsg_PackFenceReply(&pack, &fenced);
    Run_AnswerOrigin(runner, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
    if (fenced.result == Fence_ANSWERED) {
        send_kept_answer(runner, origin, msg.id, answer, now);
    }
    if (gives_rest) {
        Ans_SendAgain(runner, origin, &msg, UINT32_MAX, now);
    }
}

static void
on_fate_request(void *context, const NetOrigin *origin, Unpack *in,
                Instant now)
{
    static const AttemptFate fates[] = {
        [Led_NEVER_RAN] = Clm_FATE_NEVER_RAN,
        [Led_RUNNING] = Clm_FATE_RUNNING,
        [Led_ANSWERED] = Clm_FATE_ANSWERED,
        [Led_ANSWER_DROPPED] = Clm_FATE_ANSWER_DROPPED,
        [Led_UNKNOWN] = Clm_FATE_UNKNOWN,
    };
    AttemptRunner *runner = context;
    FateRequestMessage msg;
    FateReplyMessage fate;
    Err err = {0};
    Pack pack;

    if (reject_malformed(runner, Claimmsg_ReadFateRequest(in, &msg, &err),
                         &err)) {
        return;
    }
    fate.claim_id = msg.claim_id;
    fate.attempt = msg.attempt;
    fate.fate =
        fates[Led_Fence(&runner->ledger, msg.attempt, msg.target_incarnation,
                        true, now, &fate.answer)];
    Claimmsg_PackFateReply(&pack, &fate);
    Run_AnswerOrigin(runner, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Fnc_RegisterHandlers(AttemptRunner *runner)
{
    Net_SetHandler(runner->net, Wire_FENCE, on_fence, runner);
    Net_SetHandler(runner->net, Wire_FATE_REQUEST, on_fate_request, runner);
}
