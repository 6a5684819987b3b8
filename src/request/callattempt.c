#include "request/callstate.h"
#include "request/depth.h"

/* Between two rounds of asking who takes a call now. */
#define PARK Span_MS(30)

/* The same for a call that is late for its objective. */
#define PARK_LATE Span_MS(60)
#define PARK_LATE_MAX Span_MS(250)

Attempt *
Call_Flying(Call *call)
{
    Attempt *first = &call->attempts[0];

    return first->id.counter ? first : Call_Other(first);
}

Attempt *
Call_Other(Attempt *attempt)
{
    Attempt *attempts = attempt->call->attempts;
    Attempt *other = attempt == attempts ? attempts + 1 : attempts;

    return other->id.counter ? other : NULL;
}

void
Call_EndAttempt(Attempt *attempt, AttemptResult end, Instant now)
{
    CallHub *hub = attempt->call->hub;

    if (attempt->id.counter) {
        Hdg_OnAnswer(&attempt->call->hedge);
        Net_Release(hub->net, attempt->node);
        Plc_OnAttemptEnd(&attempt->call->service->placement, attempt->node,
                         end, now - attempt->at, now);
        Hsh_Drop(&hub->by_attempt, &attempt->link);
        attempt->id.counter = 0;
        attempt->fencing = false;
    }
}

static void
send_cancel(const Attempt *attempt, Instant now)
{
    Pack pack;

    Callmsg_PackId(&pack, Wire_CANCEL, attempt->id);
    Net_Send(attempt->call->hub->net, attempt->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Call_CancelAttempt(Attempt *attempt, AttemptResult end, Instant now)
{
    send_cancel(attempt, now);
    Call_EndAttempt(attempt, end, now);
}

void
Call_CancelAttempts(Call *call, Instant now)
{
    for (Attempt *attempt; (attempt = Call_Flying(call));) {
        Call_CancelAttempt(attempt, Plc_CANCELLED, now);
    }
}

void
Call_CountCrossing(const Attempt *attempt, size_t bytes, Instant now)
{
    CallHub *hub = attempt->call->hub;

    if (attempt->crosses) {
        Cnt_Add(hub->counters, Cnt_LINK_BYTES, bytes);
        Lnk_Charge(&hub->link, (uint32_t)bytes, now);
    }
}

/* How long it may wait for a slot there: while the objective can be made; one
 * that is late does not wait there. */
static Span
wait_at_node(const Call *call, Instant now)
{
    if (!call->last_start) {
        return 0; /* no objective: until its deadline */
    }
    return call->slack_until > now ? call->slack_until - now : 1;
}

/* True when the request, or a part of it, may reach its node. */
static bool
send_attempt(const Attempt *attempt, Instant now)
{
    const Call *call = attempt->call;
    CallHub *hub = call->hub;
    CallMsg msg = {
        .id = attempt->id,
        .incarnation = attempt->incarnation,
        .interactive = call->route->interactive,
        .idempotent = call->route->idempotent,
        .nested = call->nested,
        .late = call->last_start && now >= call->slack_until,
        .priority = call->route->priority,
        .slack = wait_at_node(call, now),
        .keyed = call->keyed != NULL,
        .crosses = attempt->crosses,
        .left = call->deadline - now,
        .fingerprint = call->digest,
        .request_id = call->request.request_id,
        .method = call->request.method,
        .target = call->request.target,
        .fields = call->request.fields,
        .body = call->request.body,
    };
    StrBuf depth = {0};
    Pack pack;
    bool sent;

    Dep_Write(&msg.fields, Dep_Read(&msg.fields) + 1, &depth);
    Callmsg_PackCall(&pack, &msg);
    StrBuf_Finish(&depth);
    Cnt_Add(hub->counters, Cnt_DATA_BYTES, Pack_View(&pack).len);
    Call_CountCrossing(attempt, Pack_View(&pack).len, now);
    sent = Net_Send(hub->net, attempt->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
    return sent;
}

void
Call_StartAttempt(Call *call, const AttemptTarget *place, Instant now)
{
    CallHub *hub = call->hub;
    Attempt *attempt = &call->attempts[call->attempts[0].id.counter != 0];
    bool sent;

    *attempt = (Attempt){
        .call = call,
        .id = place->attempt,
        .node = place->node,
        .incarnation = place->incarnation,
        .at = now,
        .crosses = place->cross_region,
    };
    call->sent_at = now;
    call->asked++;
    call->went_away |= place->cross_region;
    Hsh_Add(&hub->by_attempt, &attempt->link, AttemptId_Hash(attempt->id));
    Rty_OnAttempt(&call->retry, attempt->node);
    Cnt_Add(hub->counters, Cnt_ATTEMPTS, 1);
    Plc_OnAttemptStart(&call->service->placement, attempt->node, now);
    sent = send_attempt(attempt, now);
    Net_Hold(hub->net, attempt->node);
    if (sent) {
        return;
    }
    if (call->keyed) {
        Call_Decide(attempt, Rty_NOT_RUN, now);
        return;
    }
    /* Another one can take it: nothing that a budget of retries is for. */
    Plc_OnQueueFull(&call->service->placement, attempt->node, now);
    Call_OnTurnedBack(attempt, now);
}

/* Ask ever less often, and leave the room to others. */
static Span
park_longer(Call *call, Span first)
{
    call->park = call->park ? call->park * 2 : first;
    if (call->park > PARK_LATE_MAX) {
        call->park = PARK_LATE_MAX;
    }
    return call->park;
}

static Span
park_time(Call *call, Instant now)
{
    return now < call->slack_until ? PARK : park_longer(call, PARK_LATE);
}

/* Everybody that could take it now was asked: wait a little, while that may
 * help. */
static void
park(Call *call, Instant now)
{
    if (call->seeks_turn) {
        call->park_until = now + park_longer(call, PARK);
        return;
    }
    if (now >= call->slack_until && call->sink.blocks &&
        call->sink.blocks(call->sink.context)) {
        Call_End(call, Call_NOT_RUN, Call_WHY_FULL, now);
        return;
    }
    if (now < call->last_start) {
        call->park_until = now + park_time(call, now);
        if (call->park_until > call->last_start) {
            call->park_until = call->last_start;
        }
        return;
    }
    Call_End(call, Call_NOT_RUN, call->why, now);
}

void
Call_MakeAttempt(Call *call, Instant now)
{
    AttemptTarget place;

    call->park_until = 0;
    if (Call_ChoosePlace(call, &place, now)) {
        Call_StartAttempt(call, &place, now);
    }
    else {
        park(call, now);
    }
}

void
Call_TickParked(Call *call, Instant now)
{
    if (now >= call->deadline) {
        Call_End(call, Call_NOT_RUN, Call_WHY_LATE, now);
    }
    else if (now >= call->park_until) {
        call->refused_count = 0;
        call->met_slow = false;
        call->seeks_turn = false;
        Call_MakeAttempt(call, now);
    }
}

void
Call_OnTurnedBack(Attempt *attempt, Instant now)
{
    Call *call = attempt->call;
    bool other = Call_Other(attempt) != NULL;

    if (call->refused_count < Rty_TRIED_MAX) {
        call->refused[call->refused_count++] = attempt->node;
    }
    Rty_OnTurnedBack(&call->retry, attempt->node);
    Call_EndAttempt(attempt, Plc_REFUSED, now);
    if (!other) {
        Call_MakeAttempt(call, now);
    }
}

void
Call_Hedge(Call *call, Instant now)
{
    const Attempt *first = Call_Flying(call);
    AttemptTarget place;

    if (first && call->retry.attempts < call->retry.attempts_max &&
        Call_ChoosePlace(call, &place, now) && place.node != first->node) {
        Cnt_Add(call->hub->counters, Cnt_HEDGES, 1);
        Call_StartAttempt(call, &place, now);
    }
}

void
Call_SendFence(Attempt *attempt, Instant now)
{
    const Call *call = attempt->call;
    FenceMsg msg = {
        .id = attempt->id,
        .incarnation = attempt->incarnation,
        .keyed = call->keyed != NULL,
        .stop = call->late,
    };
    Pack pack;

    Cnt_Add(call->hub->counters, Cnt_FENCES, 1);
    attempt->fencing = true;
    Callmsg_PackFence(&pack, &msg);
    Net_Send(call->hub->net, attempt->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
count_retry(const Call *call)
{
    Cnt_Add(call->hub->counters, Cnt_RETRIES, 1);
    Tml_Record(call->hub->timeline, Tml_RETRY, "request=%.*s attempts=%u",
               Str_ARG(call->request.request_id), call->retry.attempts);
}

static void
end_failed(Attempt *attempt, bool whole, Instant now)
{
    attempt->call->doubt = true; /* it ran: never "not run" from here on */
    if (whole) {
        Call_EndAttempt(attempt, Plc_FAILED, now);
    }
    else {
        Call_CancelAttempt(attempt, Plc_FAILED, now);
    }
}

bool
Call_FailOver(Attempt *attempt, bool whole, Instant now)
{
    Call *call = attempt->call;
    AttemptTarget place;

    if (!call->route->idempotent || call->keyed) {
        return false;
    }
    if (Call_Other(attempt)) {
        end_failed(attempt, whole, now);
        return true;
    }
    if (now >= call->deadline) {
        /* Most often an error because something below it was late. */
        end_failed(attempt, whole, now);
        Call_End(call, Call_UNKNOWN, Call_WHY_LATE, now);
        return true;
    }
    if (!Call_ChoosePlace(call, &place, now) || place.node == attempt->node ||
        Rty_Decide(&call->retry, &call->service->retries, Rty_FAILED, now) !=
            Rty_AGAIN) {
        return false;
    }
    count_retry(call);
    end_failed(attempt, whole, now);
    Call_StartAttempt(call, &place, now);
    return true;
}

/* The attempt did not run, and another may follow. */
static void
try_again(Call *call, Instant now)
{
    count_retry(call);
    if (call->keyed) {
        Key_OnAttemptRefused(call->keyed, true, now);
    }
    else {
        Call_MakeAttempt(call, now);
    }
}

void
Call_GiveUpNotRun(Call *call, CallWhy why, Instant now)
{
    call->why = why;
    if (call->keyed) {
        Key_OnAttemptRefused(call->keyed, false, now);
    }
    else {
        Call_End(call, Call_NOT_RUN, call->why, now);
    }
}

/* Nothing else is known of the attempt than that it may have run. */
void
Call_GiveUpUnknown(Call *call, Instant now)
{
    CallWhy why = now >= call->deadline ? Call_WHY_LATE : Call_WHY_NONE;
    bool cut = false;

    for (Attempt *attempt; (attempt = Call_Flying(call));) {
        cut |= attempt->pieces.next > 0;
        Call_EndAttempt(attempt, Plc_NO_ANSWER, now);
    }
    if (call->keyed) {
        Key_CancelClaim(call->keyed, now);
        call->keyed = NULL;
    }
    Call_End(call, cut ? Call_CUT : Call_UNKNOWN, why, now);
}

void
Call_GiveUpLate(Call *call, Instant now)
{
    Attempt *first = Call_Flying(call);
    Attempt *hedge = Call_Other(first);

    send_cancel(first, now);
    if (hedge) {
        send_cancel(hedge, now);
    }
    Call_GiveUpUnknown(call, now);
}

/* ATTEMPT ended without a good answer: what follows. */
void
Call_Decide(Attempt *attempt, RtyOutcome outcome, Instant now)
{
    Call *call = attempt->call;
    AttemptResult end = outcome == Rty_NOT_RUN ? Plc_REFUSED : Plc_NO_ANSWER;

    if (Call_Other(attempt)) {
        /* It may still answer. */
        call->doubt |= outcome == Rty_UNKNOWN;
        Call_EndAttempt(attempt, end, now);
        return;
    }
    switch (Rty_Decide(&call->retry, &call->service->retries, outcome, now)) {
    case Rty_AGAIN:
        call->doubt |= outcome == Rty_UNKNOWN;
        Call_EndAttempt(attempt, end, now);
        try_again(call, now);
        break;
    case Rty_FENCE:
        Call_SendFence(attempt, now);
        break;
    case Rty_GIVE_NOT_RUN:
        Call_EndAttempt(attempt, Plc_REFUSED, now);
        Call_GiveUpNotRun(
            call, now >= call->deadline ? Call_WHY_LATE : Call_WHY_FULL, now);
        break;
    case Rty_GIVE_FAILED:
    case Rty_GIVE_UNKNOWN:
        Call_GiveUpUnknown(call, now);
        break;
    }
}
