#include "request/callstate.h"

static Attempt *
find_attempt(const CallDispatcher *hub, AttemptId id)
{
    HshLink *link = Hsh_First(&hub->attempts_by_id, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((Attempt *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (Attempt *)link;
}

static bool
read_failed(CallDispatcher *hub, bool whole, const Err *err)
{
    if (!whole) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
    }
    return !whole;
}

/* An answer of one piece is small enough to be kept at the holders. */
static void
end_keyed(Call *call, const PieceMsg *msg, Instant now)
{
    AnswerMsg answer = {msg->status, msg->fields, msg->bytes};

    Key_OnAttemptEnded(call->keyed, msg->sequence == 0 ? &answer : NULL, now);
    call->keyed = NULL;
}

static void
pass_on(Call *call, const PieceMsg *msg)
{
    if (msg->sequence == 0) {
        call->backend_error = msg->status >= Callmsg_FAILED;
        call->sink.on_head(call->sink.context, msg->status, &msg->fields);
    }
    if (msg->bytes.len) {
        call->sink.on_body(call->sink.context, msg->bytes);
    }
}

/* Its answer will not come, or not whole. */
static void
lose_attempt(Attempt *attempt, Instant now)
{
    if (attempt->pieces.next_sequence) {
        Call_EndUnknown(attempt->call, now);
    }
    else {
        Call_OnAttemptFailed(attempt, Rty_UNKNOWN, now);
    }
}

/* The first head wins; the pieces of two attempts never mix. */
static void
on_first_piece(Attempt *attempt, Instant now)
{
    Attempt *loser = Call_OtherAttempt(attempt);

    Hdg_Disarm(&attempt->call->hedge);
    if (loser) {
        /* To be overtaken by a hedge is a bad mark for its node: it would
         * stay the first choice. */
        Call_CancelAttempt(loser,
                           loser->sent_at < attempt->sent_at ? Plc_NO_ANSWER
                                                             : Plc_CANCELLED,
                           now);
    }
}

/* An answer under way goes on past the deadline, as long as it does go on,
 * and not for ever.  Of a route of the operators' routing the deadline is the
 * last word. */
static Instant
stalled_at(Call *call, Instant now)
{
    Instant stalled = now + Callmsg_STALL;

    if (!call->answer_deadline) {
        call->answer_deadline =
            call->route->host.len
                ? call->deadline
                : now + call->in_force->preset.limits.answer_max;
    }
    return stalled < call->answer_deadline ? stalled : call->answer_deadline;
}

static void
take_piece(Attempt *attempt, const PieceMsg *msg, Instant now)
{
    Call *call = attempt->call;
    PieceVerdict verdict =
        Pcs_OnPiece(&attempt->pieces, msg->sequence, msg->last);

    if (msg->sequence == 0 && verdict != Pcs_DUPLICATE) {
        if (msg->status >= Callmsg_FAILED &&
            Call_FailOver(attempt, msg->last, now)) {
            return;
        }
        on_first_piece(attempt, now);
    }
    switch (verdict) {
    case Pcs_DUPLICATE:
        break;
    case Pcs_GAP:
        lose_attempt(attempt, now);
        break;
    case Pcs_NEXT:
        call->deadline = stalled_at(call, now);
        pass_on(call, msg);
        break;
    case Pcs_LAST:
        if (call->keyed) {
            end_keyed(call, msg, now);
        }
        pass_on(call, msg);
        if (!call->backend_error) {
            Dur_Record(&call->dispatcher->durations,
                       StrBuf_View(&call->route->route),
                       now - attempt->sent_at);
        }
        Call_EndAttempt(attempt,
                        call->backend_error ? Plc_FAILED : Plc_ANSWERED, now);
        Call_End(call, Call_ANSWERED, Call_REASON_NONE, now);
        break;
    }
}

static void
on_piece(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *hub = context;
    PieceMsg msg;
    Err err = {0};
    Attempt *attempt;

    if (read_failed(hub, Callmsg_ReadPiece(in, &msg, &err), &err)) {
        return;
    }
    attempt = find_attempt(hub, msg.id);
    if (attempt) {
        if (!msg.bare) {
            Plc_OnLoadReport(&attempt->call->service->placement, origin->peer,
                             &msg.load, now);
        }
        Call_CountCrossRegion(attempt, msg.bytes.len, now);
        take_piece(attempt, &msg, now);
    }
}

static bool
proves_not_run(Refusal reason)
{
    return reason != Refusal_CUT && reason != Refusal_EXPIRED;
}

/* Nothing reached the backend server, and another one may take it, or this
 * one later. */
static bool
may_pass(Refusal reason)
{
    return reason == Refusal_FULL || reason == Refusal_SLOW ||
           reason == Refusal_DRAINING || reason == Refusal_ABSENT ||
           reason == Refusal_INCARNATION || reason == Refusal_LATE;
}

/* It runs at one node only, and there it is taken to be another one than
 * here. */
static void
look_elsewhere(Attempt *attempt, Instant now)
{
    attempt->call->wants_isolation_node = true;
    if (attempt->call->rejected_by_count < Rty_TRIED_MAX) {
        Call_Redispatch(attempt, now);
    }
    else {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
}

static void
on_refused(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *hub = context;
    RefusedMsg msg;
    Err err = {0};
    Attempt *attempt;
    Call *call;

    if (read_failed(hub, Callmsg_ReadRefused(in, &msg, &err), &err)) {
        return;
    }
    attempt = find_attempt(hub, msg.id);
    if (!attempt) {
        return;
    }
    call = attempt->call;
    if (!msg.bare) {
        Plc_OnLoadReport(&call->service->placement, origin->peer, &msg.load,
                         now);
    }
    if (!proves_not_run(msg.reason) || attempt->pieces.next_sequence > 0) {
        if (call->route->idempotent && attempt->pieces.next_sequence == 0) {
            Call_OnAttemptFailed(attempt, Rty_UNKNOWN, now);
        }
        else {
            Call_EndUnknown(call, now);
        }
    }
    else if (msg.reason == Refusal_SUSPECT && !Call_OtherAttempt(attempt)) {
        /* Every other node refuses it, too. */
        Call_EndAttempt(attempt, Plc_REFUSED, now);
        Call_EndNotRun(call, Call_REASON_SUSPECT, now);
    }
    else if (msg.reason == Refusal_ELSEWHERE && !call->keyed) {
        look_elsewhere(attempt, now);
    }
    else if (may_pass(msg.reason) && !call->keyed &&
             (call->route->objective || Call_FindIsolationNode(call, now))) {
        if (msg.reason == Refusal_FULL || msg.reason == Refusal_LATE) {
            Plc_OnQueueFull(&call->service->placement, origin->peer, now);
        }
        call->local_was_slow |=
            msg.reason == Refusal_SLOW && !attempt->cross_region;
        Call_Redispatch(attempt, now);
    }
    else {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
}

static void
on_fenced(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *hub = context;
    FencedMsg msg;
    Err err = {0};
    Attempt *attempt;

    if (read_failed(hub, Callmsg_ReadFenced(in, &msg, &err), &err)) {
        return;
    }
    attempt = find_attempt(hub, msg.id);
    if (!attempt || !attempt->fence_sent) {
        return;
    }
    Plc_OnLoadReport(&attempt->call->service->placement, origin->peer,
                     &msg.load, now);
    if (msg.state == Fenced_NEVER) {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
    else if (msg.state == Fenced_LOST) {
        Call_EndUnknown(attempt->call, now);
    }
    /* Otherwise its answer follows as pieces. */
}

static void
on_pong(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *hub = context;
    LoadReport load;
    Err err = {0};

    if (read_failed(hub, Callmsg_ReadPong(in, &load, &err), &err)) {
        return;
    }
    for (size_t i = 0; i < hub->services->count; i++) {
        Plc_OnLoadReport(&hub->services->items[i]->placement, origin->peer,
                         &load, now);
    }
}

/* Two attempts of a call are never at one node. */
static Attempt *
attempt_at(Call *call, Addr peer)
{
    for (size_t i = 0; i < Call_ATTEMPTS_MAX; i++) {
        if (call->attempts[i].id.counter && call->attempts[i].node == peer) {
            return &call->attempts[i];
        }
    }
    return NULL;
}

/* PEER's connection was given up: settle what was in flight over it. */
static void
on_silence(void *context, Addr peer, Instant now)
{
    CallDispatcher *hub = context;
    Call *next;

    for (Call *call = hub->first; call; call = next) {
        Attempt *attempt = attempt_at(call, peer);
        next = call->next;
        if (attempt) {
            lose_attempt(attempt, now);
        }
    }
}

void
Call_RegisterHandlers(CallDispatcher *hub)
{
    Net_On(hub->net, Wire_PIECE, on_piece, hub);
    Net_On(hub->net, Wire_REFUSED, on_refused, hub);
    Net_On(hub->net, Wire_FENCED, on_fenced, hub);
    Net_On(hub->net, Wire_PONG, on_pong, hub);
    Net_OnSilence(hub->net, on_silence, hub);
}
