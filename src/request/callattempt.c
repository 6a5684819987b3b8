#include "request/callstate.h"
#include "request/depth.h"

void
Call_EndAttempt(Call *call, PlcEnd end, Instant now)
{
    if (call->attempt.counter) {
        Net_Release(call->hub->net, call->node);
        Plc_OnEnd(&call->service->placement, call->node, end,
                  now - call->attempt_at, now);
        Hsh_Drop(&call->hub->by_attempt, &call->link);
        call->attempt.counter = 0;
        call->fencing = false;
    }
}
void
Call_CountCrossing(Call *call, size_t bytes, Instant now)
{
    if (call->crosses) {
        Cnt_Add(call->hub->counters, Cnt_LINK_BYTES, bytes);
        Lnk_OnBytes(&call->hub->link, (uint32_t)bytes, now);
    }
}

/* True when the request, or a part of it, may reach NODE. */
static bool
send_attempt(Call *call, const KeyPlace *place, Instant now)
{
    CallHub *hub = call->hub;
    CallMsg msg = {
        .id = place->attempt,
        .incarnation = place->incarnation,
        .interactive = call->route->interactive,
        .idempotent = call->route->idempotent,
        .keyed = call->keyed != NULL,
        .crosses = call->crosses,
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
    Call_CountCrossing(call, Pack_View(&pack).len, now);
    sent = Net_Send(hub->net, place->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
    return sent;
}

void
Call_StartAttempt(Call *call, const KeyPlace *place, Instant now)
{
    CallHub *hub = call->hub;
    bool sent;

    call->attempt = place->attempt;
    call->node = place->node;
    call->incarnation = place->incarnation;
    call->attempt_at = now;
    call->pieces = (Pcs){0};
    Hsh_Add(&hub->by_attempt, &call->link, AttemptId_Hash(call->attempt));
    Rty_OnAttempt(&call->retry, call->node);
    Cnt_Add(hub->counters, Cnt_ATTEMPTS, 1);
    Plc_OnStart(&call->service->placement, call->node, now);
    sent = send_attempt(call, place, now);
    Net_Hold(hub->net, call->node);
    if (!sent) {
        Call_Decide(call, Rty_NOT_RUN, now);
    }
}

bool
Call_ChoosePlace(Call *call, KeyPlace *place, Instant now)
{
    PlcAsk ask = {
        .interactive = call->route->interactive,
        .home_only = !Lnk_Ask(&call->hub->link, call->route->interactive,
                              (uint32_t)call->request.body.len, now),
        .left = call->deadline - now,
        .tried = call->retry.tried,
        .tried_count = call->retry.attempts,
    };
    const PlcRow *row;

    PlcVerdict verdict =
        Plc_Choose(&call->service->placement, &ask, now, &row);

    if (verdict == Plc_NOBODY && call->doubt) {
        /* A node that was silent is asked again over a fresh connection. */
        ask.tried_count = 0;
        verdict = Plc_Choose(&call->service->placement, &ask, now, &row);
    }
    switch (verdict) {
    case Plc_CHOSEN:
        call->crosses =
            row->place.region != call->hub->services->placement.region;
        *place = (KeyPlace){
            .attempt = {call->hub->incarnation, ++call->hub->counter},
            .node = row->place.node,
            .incarnation = row->place.incarnation,
        };
        return true;
    case Plc_SHED:
        call->why = Call_WHY_FULL;
        break;
    case Plc_NOBODY:
        call->why = call->retry.attempts ? Call_WHY_FULL : Call_WHY_NOBODY;
        break;
    }
    return false;
}

void
Call_MakeAttempt(Call *call, Instant now)
{
    KeyPlace place;

    if (Call_ChoosePlace(call, &place, now)) {
        Call_StartAttempt(call, &place, now);
    }
    else {
        Call_End(call, Call_NOT_RUN, call->why);
    }
}

void
Call_SendId(Call *call, WireKind kind, Instant now)
{
    Pack pack;

    Callmsg_PackId(&pack, kind, call->attempt);
    Net_Send(call->hub->net, call->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Call_SendFence(Call *call, Instant now)
{
    FenceMsg msg = {
        .id = call->attempt,
        .incarnation = call->incarnation,
        .keyed = call->keyed != NULL,
        .stop = call->late,
    };
    Pack pack;

    Cnt_Add(call->hub->counters, Cnt_FENCES, 1);
    call->fencing = true;
    Callmsg_PackFence(&pack, &msg);
    Net_Send(call->hub->net, call->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

/* The attempt did not run, and another may follow. */
static void
try_again(Call *call, Instant now)
{
    Cnt_Add(call->hub->counters, Cnt_RETRIES, 1);
    Tml_Record(call->hub->timeline, Tml_RETRY, "request=%.*s attempts=%u",
               Str_ARG(call->request.request_id), call->retry.attempts);
    if (call->keyed) {
        Key_OnRefused(call->keyed, true, now);
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
        Key_OnRefused(call->keyed, false, now);
    }
    else {
        Call_End(call, Call_NOT_RUN, call->why);
    }
}

/* Nothing else is known of the attempt than that it may have run. */
void
Call_GiveUpUnknown(Call *call, Instant now)
{
    CallWhy why = now >= call->deadline ? Call_WHY_LATE : Call_WHY_NONE;
    bool cut = call->pieces.next > 0;

    Call_EndAttempt(call, Plc_SILENT, now);
    if (call->keyed) {
        Key_Cancel(call->keyed, now);
        call->keyed = NULL;
    }
    Call_End(call, cut ? Call_CUT : Call_UNKNOWN, why);
}

/* An attempt ended without a good answer: what follows. */
void
Call_Decide(Call *call, RtyOutcome outcome, Instant now)
{
    switch (Rty_Decide(&call->retry, &call->service->retries, outcome, now)) {
    case Rty_AGAIN:
        call->doubt |= outcome == Rty_UNKNOWN;
        Call_EndAttempt(
            call, outcome == Rty_NOT_RUN ? Plc_REFUSED : Plc_SILENT, now);
        try_again(call, now);
        break;
    case Rty_FENCE:
        Call_SendFence(call, now);
        break;
    case Rty_GIVE_NOT_RUN:
        Call_EndAttempt(call, Plc_REFUSED, now);
        Call_GiveUpNotRun(
            call, now >= call->deadline ? Call_WHY_LATE : Call_WHY_FULL, now);
        break;
    case Rty_GIVE_FAILED:
    case Rty_GIVE_UNKNOWN:
        Call_GiveUpUnknown(call, now);
        break;
    }
}
