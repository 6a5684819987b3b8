#include "request/callstate.h"

static Attempt *
find_attempt(const CallDispatcher *dispatcher, AttemptId id)
{
    HashLink *link =
        Hsh_First(&dispatcher->attempts_by_id, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((Attempt *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (Attempt *)link;
}

static bool
reject_malformed(CallDispatcher *dispatcher, bool well_formed, const Err *err)
{
    if (!well_formed) {
        Cnt_Add(dispatcher->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(dispatcher->logger, Lgr_WARNING, Str_LIT("message_refused"),
                   err);
    }
    return !well_formed;
}

/* Reports the end to the claim.  An answer of one piece is small enough to be
 * kept by the acceptors. */
static void
finish_claim(Call *call, const PieceMessage *msg, Instant now)
{
    StoredAnswer answer = {msg->status, msg->fields, msg->data};

    Key_OnAttemptEnded(call->claim_session,
                       msg->sequence == 0 ? &answer : NULL, now);
    call->claim_session = NULL;
}

static void
forward_piece(Call *call, const PieceMessage *msg)
{
    if (msg->sequence == 0) {
        call->backend_error = msg->status >= Callmsg_SERVER_ERROR_MIN;
        call->sink.on_head(call->sink.context, msg->status, &msg->fields);
    }
    if (msg->data.len) {
        call->sink.on_body(call->sink.context, msg->data);
    }
}

/* The answer of ATTEMPT will not arrive over the connection that it was sent
 * over, or not completely. */
static void
on_answer_lost(Attempt *attempt, Instant now)
{
    if (attempt->is_offered && attempt->call->claim_session) {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
    else if (attempt->is_offered) {
        Call_SendAgain(attempt, now); /* its body was never sent */
    }
    else if (attempt->pieces.next_sequence) {
        Call_EndUnknown(attempt->call, now);
    }
    else {
        Call_OnAttemptFailed(attempt, Rty_SILENT, now);
    }
}

static void
count_hedge_end(const Attempt *winner, const Attempt *loser, Instant now)
{
    const Call *call = winner->call;
    bool won = loser->sent_at < winner->sent_at;

    Cnt_Add(call->dispatcher->counters, won ? Cnt_HEDGES_WON : Cnt_HEDGES_LOST,
            1);
    Lgr_Log(call->dispatcher->logger, Lgr_DEBUG, Str_LIT("hedge_ended"),
            "request=%.*s won=%d took_us=%lld",
            Str_ARG(call->request.request_id), won,
            (long long)(now - call->arrived_at));
}

/* The attempt that answers first wins and the other is cancelled, so that
 * pieces of two attempts are never mixed. */
static void
on_first_piece(Attempt *attempt, Instant now)
{
    Attempt *loser = Call_OtherAttempt(attempt);

    Hdg_Disarm(&attempt->call->hedge);
    if (loser) {
        count_hedge_end(attempt, loser, now);
        /* An attempt that a hedge overtakes counts against its node, which
         * would otherwise stay the first choice. */
        Call_CancelAttempt(loser,
                           loser->sent_at < attempt->sent_at ? Plc_NO_ANSWER
                                                             : Plc_CANCELLED,
                           now);
    }
}

/* An answer that has begun may continue past the deadline while pieces keep
 * arriving, up to answer_time_max.  For a route with a host (from the
 * operators' routing), the deadline is final. */
static Instant
next_answer_deadline(Call *call, Instant now)
{
    Instant stall_deadline = now + Callmsg_STALL_TIMEOUT;

    if (!call->answer_deadline) {
        call->answer_deadline =
            call->route->host.len
                ? call->deadline
                : now + call->in_force->preset.limits.answer_time_max;
    }
    return stall_deadline < call->answer_deadline ? stall_deadline
                                                  : call->answer_deadline;
}

static void
take_piece(Attempt *attempt, const PieceMessage *msg, Instant now)
{
    Call *call = attempt->call;
    PieceVerdict verdict =
        Pcs_OnPiece(&attempt->pieces, msg->sequence, msg->is_last);

    if (msg->sequence == 0 && verdict != Pcs_DUPLICATE) {
        if (msg->status >= Callmsg_SERVER_ERROR_MIN &&
            Call_FailOver(attempt, msg->is_last, now)) {
            return;
        }
        on_first_piece(attempt, now);
    }
    if (verdict == Pcs_NEXT) {
        attempt->asked_at = 0; /* the answer goes on */
        attempt->uncredited_bytes += (uint32_t)msg->data.len;
    }
    switch (verdict) {
    case Pcs_DUPLICATE:
        break;
    case Pcs_GAP:
        on_answer_lost(attempt, now);
        break;
    case Pcs_NEXT:
        call->deadline = next_answer_deadline(call, now);
        forward_piece(call, msg);
        break;
    case Pcs_LAST:
        if (call->claim_session) {
            finish_claim(call, msg, now);
        }
        forward_piece(call, msg);
        if (!call->backend_error) {
            Dur_Record(&call->dispatcher->durations, call->duration_key,
                       now - attempt->sent_at, call->is_trial, now);
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
    CallDispatcher *dispatcher = context;
    PieceMessage msg;
    Err err = {0};
    Attempt *attempt;

    if (reject_malformed(dispatcher, Callmsg_ReadPiece(in, &msg, &err),
                         &err)) {
        return;
    }
    attempt = find_attempt(dispatcher, msg.id);
    if (attempt) {
        if (!msg.load_omitted) {
            Plc_OnLoadReport(&attempt->call->service->placement, origin->peer,
                             &msg.load, now);
        }
        Call_CountCrossRegion(attempt, msg.data.len, now);
        take_piece(attempt, &msg, now);
    }
}

static bool
proves_not_run(RejectReason reason)
{
    return reason != Reject_TRUNCATED && reason != Reject_EXPIRED;
}

/* The request did not reach the backend server; another server may accept it
 * now, or this one later. */
static bool
is_transient(RejectReason reason)
{
    return reason == Reject_FULL || reason == Reject_SLOW ||
           reason == Reject_DRAINING || reason == Reject_NO_BACKEND ||
           reason == Reject_WRONG_INCARNATION || reason == Reject_DEADLINE;
}

/* The backend server has left the node.  Each node says so once, so that a
 * call may move on without the retry budget: no backend server saw it. */
static bool
has_left(const Call *call, RejectReason reason)
{
    return (reason == Reject_DRAINING || reason == Reject_NO_BACKEND ||
            reason == Reject_WRONG_INCARNATION) &&
           call->rejected_by_count < Rty_TRIED_MAX;
}

/* The request is a suspect, but the node that was chosen to run it exclusively
 * considers another node to be the exclusive one. */
static void
find_other_exclusive_node(Attempt *attempt, Instant now)
{
    attempt->call->wants_exclusive_node = true;
    if (attempt->call->rejected_by_count < Rty_TRIED_MAX) {
        Call_Redispatch(attempt, now);
    }
    else {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
}

static void
on_grant(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *dispatcher = context;
    AttemptId id;
    Err err = {0};
    Attempt *attempt;

    (void)origin;
    if (reject_malformed(dispatcher, Callmsg_ReadId(in, &id, &err), &err)) {
        return;
    }
    attempt = find_attempt(dispatcher, id);
    if (attempt) {
        Call_SendGranted(attempt, now);
    }
}

static void
on_call_rejected(void *context, const NetOrigin *origin, Unpack *in,
                 Instant now)
{
    CallDispatcher *dispatcher = context;
    CallRejectedMessage msg;
    Err err = {0};
    Attempt *attempt;
    Call *call;

    if (reject_malformed(dispatcher, Callmsg_ReadRejected(in, &msg, &err),
                         &err)) {
        return;
    }
    attempt = find_attempt(dispatcher, msg.id);
    if (!attempt) {
        return;
    }
    call = attempt->call;
    if (!msg.load_omitted) {
        Plc_OnLoadReport(&call->service->placement, origin->peer, &msg.load,
                         now);
    }
    if (!proves_not_run(msg.reason) || attempt->pieces.next_sequence > 0) {
        if (call->route->is_idempotent && attempt->pieces.next_sequence == 0) {
            Call_OnAttemptFailed(attempt, Rty_UNKNOWN, now);
        }
        else {
            Call_EndUnknown(call, now);
        }
    }
    else if (msg.reason == Reject_SUSPECT && !Call_OtherAttempt(attempt)) {
        /* Every other node would refuse it as well. */
        Call_EndAttempt(attempt, Plc_REFUSED, now);
        Call_EndNotRun(call, Call_REASON_SUSPECT, now);
    }
    else if (msg.reason == Reject_RUNS_ELSEWHERE && !call->claim_session) {
        find_other_exclusive_node(attempt, now);
    }
    else if (is_transient(msg.reason) && !call->claim_session &&
             (call->route->latency_objective || has_left(call, msg.reason) ||
              Call_FindExclusiveNode(call, now))) {
        if (msg.reason == Reject_FULL || msg.reason == Reject_DEADLINE) {
            Plc_OnQueueFull(&call->service->placement, origin->peer, now);
        }
        call->local_was_slow |=
            msg.reason == Reject_SLOW && !attempt->cross_region;
        Call_Redispatch(attempt, now);
    }
    else {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
}

/* The request was lost with the connection over which it was sent, so that
 * sending it again makes no more work than was asked for. */
static void
on_never_ran(Attempt *attempt, Instant now)
{
    const Call *call = attempt->call;

    if (call->claim_session || now >= call->deadline || Call_IsTooLate(call)) {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
    }
    else {
        Call_SendAgain(attempt, now);
    }
}

static void
on_fence_reply(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *dispatcher = context;
    FenceReplyMessage msg;
    Err err = {0};
    Attempt *attempt;

    if (reject_malformed(dispatcher, Callmsg_ReadFenceReply(in, &msg, &err),
                         &err)) {
        return;
    }
    attempt = find_attempt(dispatcher, msg.id);
    /* Without a fence: the answer goes on in any case. */
    if (!attempt || !attempt->asked_at) {
        return;
    }
    Plc_OnLoadReport(&attempt->call->service->placement, origin->peer,
                     &msg.load, now);
    if (attempt->pieces.next_sequence) {
        attempt->asked_at = 0;
        if (msg.result != Fence_RUNNING) {
            Call_EndUnknown(attempt->call, now);
        }
    }
    else if (msg.result == Fence_NEVER_RAN) {
        on_never_ran(attempt, now);
    }
    else if (msg.result == Fence_UNKNOWN && Call_OtherAttempt(attempt)) {
        Call_OnAttemptFailed(attempt, Rty_UNKNOWN, now);
    }
    else if (msg.result == Fence_UNKNOWN) {
        Call_EndUnknown(attempt->call, now);
    }
    /* Otherwise the answer follows as pieces. */
}

static void
on_pong(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallDispatcher *dispatcher = context;
    LoadReport load;
    Err err = {0};

    if (reject_malformed(dispatcher, Callmsg_ReadPong(in, &load, &err),
                         &err)) {
        return;
    }
    for (size_t i = 0; i < dispatcher->services->count; i++) {
        Plc_OnLoadReport(&dispatcher->services->items[i]->placement,
                         origin->peer, &load, now);
    }
}

/* The attempt of CALL at PEER, or NULL.  The two attempts of a call are never
 * at the same node. */
static Attempt *
find_attempt_at(Call *call, Addr peer)
{
    for (size_t i = 0; i < Call_ATTEMPTS_MAX; i++) {
        if (call->attempts[i].id.counter && call->attempts[i].node == peer) {
            return &call->attempts[i];
        }
    }
    return NULL;
}

/* The connection over which ATTEMPT was sent is closed.  An answer that has
 * begun goes on over a new one if no piece was on the way, as while its caller
 * reads nothing.  A node that stays silent then is given up. */
static void
on_connection_lost(Attempt *attempt, Instant now)
{
    if (attempt->pieces.next_sequence && !attempt->asked_at) {
        Call_SendFence(attempt, now);
    }
    else {
        on_answer_lost(attempt, now);
    }
}

/* The connection to PEER was closed as unresponsive: its attempts get no
 * answer over it. */
static void
on_peer_lost(void *context, Addr peer, Instant now)
{
    CallDispatcher *dispatcher = context;
    ListWalk walk;
    Call *call;

    Lst_Begin(&walk, &dispatcher->calls);
    while ((call = Lst_Next(&walk))) {
        Attempt *attempt = find_attempt_at(call, peer);
        if (attempt) {
            on_connection_lost(attempt, now);
        }
    }
}

void
Call_RegisterHandlers(CallDispatcher *dispatcher)
{
    Net_SetHandler(dispatcher->net, Wire_GRANT, on_grant, dispatcher);
    Net_SetHandler(dispatcher->net, Wire_PIECE, on_piece, dispatcher);
    Net_SetHandler(dispatcher->net, Wire_CALL_REJECTED, on_call_rejected,
                   dispatcher);
    Net_SetHandler(dispatcher->net, Wire_FENCE_REPLY, on_fence_reply,
                   dispatcher);
    Net_SetHandler(dispatcher->net, Wire_PONG, on_pong, dispatcher);
    Net_SetUnresponsiveCallback(dispatcher->net, on_peer_lost, dispatcher);
}
