#include "request/callstate.h"
#include "request/depth.h"
#include "request/offer.h"

/* Time between two dispatches of a call that waits for room. */
#define WAIT_INTERVAL Span_MS(30)

/* First and longest time between dispatches of a call that has missed its
 * objective; doubled each time. */
#define LATE_WAIT_INTERVAL Span_MS(60)
#define WAIT_INTERVAL_MAX Span_MS(250)

/* A node that knows no offers never grants one: after this time the attempt is
 * sent all the same. */
#define GRANT_TIMEOUT Span_S(2)

/* Shorter bodies are copied to be sent. */
enum { IN_PLACE_BYTES_MIN = 64 * 1024 };

Attempt *
Call_ActiveAttempt(Call *call)
{
    Attempt *first = &call->attempts[0];

    return first->id.counter ? first : Call_OtherAttempt(first);
}

Attempt *
Call_OtherAttempt(Attempt *attempt)
{
    Attempt *attempts = attempt->call->attempts;
    Attempt *other = attempt == attempts ? attempts + 1 : attempts;

    return other->id.counter ? other : NULL;
}

void
Call_EndAttempt(Attempt *attempt, AttemptResult result, Instant now)
{
    CallDispatcher *dispatcher = attempt->call->dispatcher;

    if (attempt->id.counter) {
        Hdg_Disarm(&attempt->call->hedge);
        Net_DropPendingAttempt(dispatcher->net, attempt->node);
        Plc_OnAttemptEnd(&attempt->call->service->placement, attempt->node,
                         result, now - attempt->sent_at, now);
        if (result == Plc_NO_ANSWER || result == Plc_CANCELLED) {
            Dur_RecordAtLeast(&dispatcher->durations,
                              attempt->call->duration_key,
                              now - attempt->sent_at);
        }
        Hsh_Drop(&dispatcher->attempts_by_id, &attempt->link);
        attempt->id.counter = 0;
        attempt->asked_at = 0;
    }
}

static void
send_cancel(const Attempt *attempt, Instant now)
{
    Pack pack;

    Callmsg_PackId(&pack, Wire_CANCEL, attempt->id);
    Net_Send(attempt->call->dispatcher->net, attempt->node, Pack_View(&pack),
             now);
    Pack_Finish(&pack);
}

void
Call_CancelAttempt(Attempt *attempt, AttemptResult result, Instant now)
{
    send_cancel(attempt, now);
    Call_EndAttempt(attempt, result, now);
}

void
Call_CancelAttempts(Call *call, Instant now)
{
    for (Attempt *attempt; (attempt = Call_ActiveAttempt(call));) {
        Call_CancelAttempt(attempt, Plc_CANCELLED, now);
    }
}

void
Call_CountCrossRegion(const Attempt *attempt, size_t bytes, Instant now)
{
    CallDispatcher *dispatcher = attempt->call->dispatcher;

    if (attempt->cross_region) {
        Cnt_Add(dispatcher->counters, Cnt_LINK_BYTES, bytes);
        Lnk_Charge(&dispatcher->link_budget, (uint32_t)bytes, now);
    }
}

/* Returns how long the attempt may wait for a slot at its node: as long as the
 * objective can still be met.  A call that has missed its objective waits 1
 * us, that is, not at all. */
static Span
get_queue_time_max(const Call *call, Instant now)
{
    if (!call->start_by_deadline) {
        return 0; /* no objective: until the deadline */
    }
    return call->start_by_objective > now ? call->start_by_objective - now : 1;
}

/* Sends MSG around its body, or a copy of both while an earlier attempt is
 * still being sent. */
static bool
pack_and_send(const Attempt *attempt, const CallMessage *msg, Instant now)
{
    CallDispatcher *dispatcher = attempt->call->dispatcher;
    BodyBuf *body = attempt->call->request.body_buf;
    Str whole;
    Pack pack;
    bool sent;

    if (msg->body.len < IN_PLACE_BYTES_MIN) {
        body = NULL;
    }
    Callmsg_PackCallHead(&pack, msg);
    if (!body || !Bod_Prepend(body, Pack_View(&pack), &whole)) {
        Pack_StrBytes(&pack, msg->body);
        whole = Pack_View(&pack);
        body = NULL;
    }
    Cnt_Add(dispatcher->counters, Cnt_DATA_BYTES, whole.len);
    Call_CountCrossRegion(attempt, whole.len, now);
    sent = body
               ? Net_SendBody(dispatcher->net, attempt->node, body, whole, now)
               : Net_Send(dispatcher->net, attempt->node, whole, now);
    Pack_Finish(&pack);
    return sent;
}

static AccountShare
get_account_share(const Call *call)
{
    const PresetAccount *account = call->account;

    return account ? (AccountShare){Str_Hash(StrBuf_View(&account->name)),
                                    account->per_s}
                   : (AccountShare){0, 0};
}

/* Returns false when nothing of the request can reach the node. */
static bool
send_attempt(const Attempt *attempt, Instant now)
{
    const Call *call = attempt->call;
    CallMessage msg = {
        .id = attempt->id,
        .target_incarnation = attempt->incarnation,
        .interactive = call->route->is_interactive,
        .idempotent = call->route->is_idempotent,
        .nested = call->nested,
        .misses_objective =
            call->start_by_deadline && now >= call->start_by_objective,
        .priority = call->account && call->account->has_priority
                        ? call->account->priority
                        : call->route->priority,
        .account = get_account_share(call),
        .queue_time_max = get_queue_time_max(call, now),
        .keep_long = call->claim_session != NULL,
        .cross_region = attempt->cross_region,
        .time_left = call->deadline - now,
        .fingerprint = call->fingerprint,
        .barred = call->barred,
        .request_id = call->request.request_id,
        .method = call->request.method,
        .target = call->request.target,
        .fields = call->request.fields,
        .body = call->request.body,
    };
    StrBuf depth = {0};
    bool sent;

    Dep_Write(&msg.fields, Dep_Read(&msg.fields) + 1, &depth);
    sent = pack_and_send(attempt, &msg, now);
    StrBuf_Finish(&depth);
    return sent;
}

/* Asks whether the body may come.  Returns false when nothing can reach the
 * node. */
static bool
send_offer(const Attempt *attempt, Instant now)
{
    CallDispatcher *dispatcher = attempt->call->dispatcher;
    OfferMessage msg = {attempt->id, attempt->call->request.body.len};
    Pack pack;
    bool sent;

    Callmsg_PackOffer(&pack, &msg);
    Cnt_Add(dispatcher->counters, Cnt_DATA_BYTES, Pack_View(&pack).len);
    sent = Net_Send(dispatcher->net, attempt->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
    return sent;
}

/* The attempt was never sent, so the retry budget is not charged.  The call is
 * sent to another node, but for one with a key. */
static void
redispatch_unsent(Attempt *attempt, Instant now)
{
    Call *call = attempt->call;

    if (call->claim_session) {
        Call_OnAttemptFailed(attempt, Rty_NOT_RUN, now);
        return;
    }
    Plc_OnQueueFull(&call->service->placement, attempt->node, now);
    Call_Redispatch(attempt, now);
}

void
Call_StartAttempt(Call *call, const AttemptTarget *target, Instant now)
{
    CallDispatcher *dispatcher = call->dispatcher;
    bool is_hedge = Call_ActiveAttempt(call) != NULL;
    Attempt *attempt = &call->attempts[call->attempts[0].id.counter != 0];
    bool sent;

    *attempt = (Attempt){
        .call = call,
        .id = target->attempt,
        .node = target->node,
        .incarnation = target->incarnation,
        .sent_at = now,
        .is_hedge = is_hedge,
        .cross_region = target->cross_region,
    };
    call->last_sent_at = now;
    call->sent_count++;
    Hdg_OnAttempt(&call->hedge, now);
    call->sent_cross_region |= target->cross_region;
    Hsh_Add(&dispatcher->attempts_by_id, &attempt->link,
            AttemptId_Hash(attempt->id));
    Rty_OnAttempt(&call->retry, attempt->node);
    Cnt_Add(dispatcher->counters, Cnt_ATTEMPTS, 1);
    Plc_OnAttemptStart(&call->service->placement, attempt->node, now);
    attempt->is_offered = call->request.body.len >= Ofr_BODY_BYTES_MIN;
    sent = attempt->is_offered ? send_offer(attempt, now)
                               : send_attempt(attempt, now);
    Net_AddPendingAttempt(dispatcher->net, attempt->node);
    if (!sent) {
        redispatch_unsent(attempt, now);
    }
}

void
Call_SendGranted(Attempt *attempt, Instant now)
{
    if (!attempt->is_offered || attempt->asked_at) {
        return; /* a fence overtakes it */
    }
    attempt->is_offered = false;
    if (!send_attempt(attempt, now)) {
        redispatch_unsent(attempt, now);
    }
}

bool
Call_SendUngranted(Call *call, Instant now)
{
    for (int i = 0; i < Call_ATTEMPTS_MAX; i++) {
        Attempt *attempt = &call->attempts[i];
        if (attempt->id.counter && attempt->is_offered && !attempt->asked_at &&
            now - attempt->sent_at >= GRANT_TIMEOUT) {
            Call_SendGranted(attempt, now);
            return true;
        }
    }
    return false;
}

/* Doubles the interval, up to WAIT_INTERVAL_MAX, so that other calls get the
 * room. */
static Span
double_wait_interval(Call *call, Span first)
{
    call->wait_interval =
        call->wait_interval ? call->wait_interval * 2 : first;
    if (call->wait_interval > WAIT_INTERVAL_MAX) {
        call->wait_interval = WAIT_INTERVAL_MAX;
    }
    return call->wait_interval;
}

static Span
next_wait_interval(Call *call, Instant now)
{
    return now < call->start_by_objective
               ? WAIT_INTERVAL
               : double_wait_interval(call, LATE_WAIT_INTERVAL);
}

/* No node can take the call now: dispatches it again later while it can still
 * finish in time, else ends it. */
static void
wait_or_end(Call *call, Instant now)
{
    if (call->not_run_reason == Call_REASON_NO_REGION) {
        Cnt_Add(call->dispatcher->counters, Cnt_CALLS_NO_REGION, 1);
        Call_End(call, Call_NOT_RUN, Call_REASON_NO_REGION, now);
        return;
    }
    if (call->wants_exclusive_node) {
        call->retry_at = now + double_wait_interval(call, WAIT_INTERVAL);
        return;
    }
    if (now >= call->start_by_objective && call->sink.is_blocking &&
        call->sink.is_blocking(call->sink.context)) {
        Call_End(call, Call_NOT_RUN, Call_REASON_OVERLOAD, now);
        return;
    }
    if (now < call->start_by_deadline) {
        call->retry_at = now + next_wait_interval(call, now);
        if (call->retry_at > call->start_by_deadline) {
            call->retry_at = call->start_by_deadline;
        }
        return;
    }
    Call_End(call, Call_NOT_RUN, call->not_run_reason, now);
}

bool
Call_IsTooLate(const Call *call)
{
    const CallDispatcher *dispatcher = call->dispatcher;

    return call->nested ? dispatcher->stops_nested
                        : dispatcher->stops_starting;
}

void
Call_Dispatch(Call *call, Instant now)
{
    AttemptTarget target;

    call->retry_at = 0;
    if (Call_IsTooLate(call)) {
        Call_End(call, Call_NOT_RUN, Call_REASON_STOPPING, now);
    }
    else if (Call_ChooseTarget(call, &target, now)) {
        Call_StartAttempt(call, &target, now);
    }
    else {
        wait_or_end(call, now);
    }
}

void
Call_TickWaiting(Call *call, Instant now)
{
    if (now >= call->deadline) {
        Call_End(call, Call_NOT_RUN, Call_REASON_DEADLINE, now);
    }
    else if (now >= call->retry_at) {
        call->rejected_by_count = 0;
        call->local_was_slow = false;
        call->wants_exclusive_node = false;
        Call_Dispatch(call, now);
    }
}

void
Call_Redispatch(Attempt *attempt, Instant now)
{
    Call *call = attempt->call;

    if (call->rejected_by_count < Rty_TRIED_MAX) {
        call->rejected_by[call->rejected_by_count++] = attempt->node;
    }
    Call_SendAgain(attempt, now);
}

void
Call_SendAgain(Attempt *attempt, Instant now)
{
    Call *call = attempt->call;
    bool other = Call_OtherAttempt(attempt) != NULL;
    bool is_hedge = attempt->is_hedge;

    Rty_UncountAttempt(&call->retry, attempt->node);
    Call_EndAttempt(attempt, Plc_REFUSED, now);
    if (!other) {
        Call_Dispatch(call, now);
    }
    else if (is_hedge) {
        Call_OnHedgeRejected(call, now);
    }
}

void
Call_SendFence(Attempt *attempt, Instant now)
{
    const Call *call = attempt->call;
    FenceMessage msg = {
        .id = attempt->id,
        .target_incarnation = attempt->incarnation,
        .keep_long = call->claim_session != NULL,
        .cancel_if_queued = call->settling || Call_IsTooLate(call),
        .next_piece = attempt->pieces.next_sequence,
        .uncredited_bytes = attempt->uncredited_bytes,
    };
    Pack pack;

    Cnt_Add(call->dispatcher->counters, Cnt_FENCES, 1);
    attempt->asked_at = now;
    Callmsg_PackFence(&pack, &msg);
    Net_Send(call->dispatcher->net, attempt->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Call_AskAgain(Call *call, Instant now)
{
    for (size_t i = 0; i < Call_ATTEMPTS_MAX; i++) {
        Attempt *attempt = &call->attempts[i];
        if (attempt->id.counter && attempt->asked_at &&
            !attempt->pieces.next_sequence &&
            now - attempt->asked_at >= FENCE_INTERVAL) {
            Call_SendFence(attempt, now);
        }
    }
}

static void
count_retry(const Call *call)
{
    Cnt_Add(call->dispatcher->counters, Cnt_RETRIES, 1);
    Tml_Record(call->dispatcher->timeline, Tml_RETRY,
               "request=%.*s attempts=%u", Str_ARG(call->request.request_id),
               call->retry.attempt_count);
}

static void
end_with_backend_error(Attempt *attempt, bool complete, Instant now)
{
    /* The attempt ran, so the outcome of the call can't be "not run". */
    attempt->call->may_have_run = true;
    if (complete) {
        Call_EndAttempt(attempt, Plc_FAILED, now);
    }
    else {
        Call_CancelAttempt(attempt, Plc_FAILED, now);
    }
}

bool
Call_FailOver(Attempt *attempt, bool complete, Instant now)
{
    Call *call = attempt->call;
    AttemptTarget target;

    if (!call->route->is_idempotent || call->claim_session) {
        return false;
    }
    if (Call_OtherAttempt(attempt)) {
        end_with_backend_error(attempt, complete, now);
        return true;
    }
    if (now >= call->deadline) {
        /* Most such errors are caused by a late call below this one. */
        end_with_backend_error(attempt, complete, now);
        Call_End(call, Call_UNKNOWN, Call_REASON_DEADLINE, now);
        return true;
    }
    if (!Call_ChooseTarget(call, &target, now) ||
        target.node == attempt->node || !Ccr_MayRunAgain(call, now) ||
        Rty_Decide(&call->retry, &call->service->retry_budget,
                   Rty_BACKEND_ERROR, now) != Rty_RETRY) {
        return false;
    }
    count_retry(call);
    end_with_backend_error(attempt, complete, now);
    Ccr_OnSpent(call);
    if (Ccr_Obtain(call, now)) {
        Call_StartAttempt(call, &target, now);
    }
    return true;
}

/* Makes another attempt, as the retry decider allowed. */
static void
retry_call(Call *call, Instant now)
{
    count_retry(call);
    if (call->claim_session) {
        Key_OnAttemptRefused(call->claim_session, true, now);
    }
    else if (Ccr_Obtain(call, now)) {
        Call_Dispatch(call, now);
    }
}

void
Call_EndNotRun(Call *call, CallReason reason, Instant now)
{
    call->not_run_reason = reason;
    if (call->claim_session) {
        Key_OnAttemptRefused(call->claim_session, false, now);
    }
    else {
        Call_End(call, Call_NOT_RUN, call->not_run_reason, now);
    }
}

/* Ends the call as unknown, or as truncated when a part of the answer was
 * passed on. */
void
Call_EndUnknown(Call *call, Instant now)
{
    CallReason reason =
        now >= call->deadline ? Call_REASON_DEADLINE : Call_REASON_NONE;
    bool cut = false;

    for (Attempt *attempt; (attempt = Call_ActiveAttempt(call));) {
        cut |= attempt->pieces.next_sequence > 0;
        Call_EndAttempt(attempt, Plc_NO_ANSWER, now);
    }
    if (call->claim_session) {
        Key_CancelClaim(call->claim_session, now);
        call->claim_session = NULL;
    }
    Call_End(call, cut ? Call_TRUNCATED : Call_UNKNOWN, reason, now);
}

void
Call_EndLate(Call *call, Instant now)
{
    Attempt *first = Call_ActiveAttempt(call);
    Attempt *hedge = Call_OtherAttempt(first);

    send_cancel(first, now);
    if (hedge) {
        send_cancel(hedge, now);
    }
    Call_EndUnknown(call, now);
}

/* Whether the node of ATTEMPT is still a member and no other one could take
 * the call now. */
static bool
is_only_choice(const Attempt *attempt, Instant now)
{
    Call *call = attempt->call;
    AttemptTarget target;

    return Plc_HasBackend(&call->service->placement, attempt->node) &&
           (!Call_ChooseTarget(call, &target, now) ||
            target.node == attempt->node);
}

void
Call_OnAttemptFailed(Attempt *attempt, AttemptFailure failure, Instant now)
{
    Call *call = attempt->call;
    AttemptResult result =
        failure == Rty_NOT_RUN ? Plc_REFUSED : Plc_NO_ANSWER;

    if (Call_OtherAttempt(attempt)) {
        /* The other attempt may still answer. */
        call->may_have_run |= failure != Rty_NOT_RUN;
        Call_EndAttempt(attempt, result, now);
        return;
    }
    if (failure == Rty_NOT_RUN && Call_IsTooLate(call)) {
        Call_EndAttempt(attempt, result, now);
        Call_EndNotRun(call, Call_REASON_STOPPING, now);
        return;
    }
    switch (
        Rty_Decide(&call->retry, &call->service->retry_budget, failure, now)) {
    case Rty_RETRY:
        call->may_have_run |= failure != Rty_NOT_RUN;
        if (failure != Rty_NOT_RUN) {
            Ccr_OnSpent(call);
        }
        Call_EndAttempt(attempt, result, now);
        retry_call(call, now);
        break;
    case Rty_FENCE:
        /* A repeatable call is not held for a node that stays silent, unless
         * its repeat could go nowhere else. */
        if (attempt->asked_at && call->route->is_idempotent &&
            !is_only_choice(attempt, now)) {
            Call_EndUnknown(call, now);
        }
        else {
            Call_SendFence(attempt, now);
        }
        break;
    case Rty_REPORT_NOT_RUN:
        Call_EndAttempt(attempt, Plc_REFUSED, now);
        Call_EndNotRun(call,
                       now >= call->deadline ? Call_REASON_DEADLINE
                                             : Call_REASON_OVERLOAD,
                       now);
        break;
    case Rty_REPORT_FAILED:
    case Rty_REPORT_UNKNOWN:
        Call_EndUnknown(call, now);
        break;
    }
}
