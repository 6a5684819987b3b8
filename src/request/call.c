#include "request/call.h"

#include "value/mem.h"

struct Call {
    CallHub *hub;
    Call *next;
    Call *previous;
    CallRequest request;
    CallSink sink;
    InForce *in_force; /* when it began */
    const PstRoute *route;
    Service *service;
    Rty retry;
    Instant deadline;
    AttemptId attempt; /* the one in flight; counter 0: none */
    Addr node;
    uint64_t incarnation; /* of node */
    Instant attempt_at;
    uint32_t next_sequence;
    bool fencing;
};

static void
link_call(CallHub *hub, Call *call)
{
    call->hub = hub;
    call->next = hub->first;
    if (hub->first) {
        hub->first->previous = call;
    }
    hub->first = call;
    hub->count++;
}

static void
free_call(Call *call)
{
    CallHub *hub = call->hub;

    if (call->previous) {
        call->previous->next = call->next;
    }
    else {
        hub->first = call->next;
    }
    if (call->next) {
        call->next->previous = call->previous;
    }
    hub->count--;
    Inf_Release(call->in_force);
    Mem_Free(call);
}

static void
end_attempt(Call *call, PlcEnd end, Instant now)
{
    if (call->attempt.counter) {
        Net_Release(call->hub->net, call->node);
        Plc_OnEnd(&call->service->placement, call->node, end,
                  now - call->attempt_at, now);
        call->attempt.counter = 0;
        call->fencing = false;
    }
}

static void
end_call(Call *call, CallOutcome outcome, CallWhy why)
{
    static const CntId ids[] = {
        [Call_ANSWERED] = Cnt_ANSWERED,
        [Call_NOT_RUN] = Cnt_NOT_RUN,
        [Call_UNKNOWN] = Cnt_UNKNOWN,
        [Call_CUT] = Cnt_CUT,
    };
    CallSink sink = call->sink;

    Cnt_Add(call->hub->counters, ids[outcome], 1);
    free_call(call);
    sink.end(sink.context, outcome, why);
}

static void
send_attempt(Call *call, const PlcRow *row, Instant now)
{
    CallHub *hub = call->hub;
    CallMsg msg = {
        .id = {hub->incarnation, ++hub->counter},
        .incarnation = row->place.incarnation,
        .interactive = call->route->interactive,
        .left = call->deadline - now,
        .request_id = call->request.request_id,
        .method = call->request.method,
        .target = call->request.target,
        .fields = call->request.fields,
        .body = call->request.body,
    };
    Pack pack;

    call->attempt = msg.id;
    call->node = row->place.node;
    call->incarnation = row->place.incarnation;
    call->attempt_at = now;
    call->next_sequence = 0;
    Rty_OnAttempt(&call->retry, call->node);
    Cnt_Add(hub->counters, Cnt_ATTEMPTS, 1);
    Callmsg_PackCall(&pack, &msg);
    Cnt_Add(hub->counters, Cnt_DATA_BYTES, Pack_View(&pack).len);
    Net_Send(hub->net, call->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
    Net_Hold(hub->net, call->node);
    Plc_OnStart(&call->service->placement, call->node, now);
}

static void
make_attempt(Call *call, Instant now)
{
    PlcAsk ask = {
        .interactive = call->route->interactive,
        .left = call->deadline - now,
        .tried = call->retry.tried,
        .tried_count = call->retry.attempts,
    };
    const PlcRow *row;

    switch (Plc_Choose(&call->service->placement, &ask, now, &row)) {
    case Plc_CHOSEN:
        send_attempt(call, row, now);
        break;
    case Plc_SHED:
        end_call(call, Call_NOT_RUN, Call_WHY_FULL);
        break;
    case Plc_NOBODY:
        end_call(call, Call_NOT_RUN,
                 call->retry.attempts ? Call_WHY_FULL : Call_WHY_NOBODY);
        break;
    }
}

static void
send_id(Call *call, WireKind kind, Instant now)
{
    Pack pack;

    Callmsg_PackId(&pack, kind, call->attempt);
    Net_Send(call->hub->net, call->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

/* An attempt ended without a good answer: what follows. */
static void
decide(Call *call, RtyOutcome outcome, Instant now)
{
    CallWhy why = now >= call->deadline ? Call_WHY_LATE : Call_WHY_FULL;

    switch (Rty_Decide(&call->retry, &call->service->retries, outcome, now)) {
    case Rty_AGAIN:
        end_attempt(call, Plc_SILENT, now);
        Cnt_Add(call->hub->counters, Cnt_RETRIES, 1);
        make_attempt(call, now);
        break;
    case Rty_FENCE:
        Cnt_Add(call->hub->counters, Cnt_FENCES, 1);
        call->fencing = true;
        send_id(call, Wire_FENCE, now);
        break;
    case Rty_GIVE_NOT_RUN:
        end_attempt(call, Plc_REFUSED, now);
        end_call(call, Call_NOT_RUN, why);
        break;
    case Rty_GIVE_FAILED:
    case Rty_GIVE_UNKNOWN:
        end_attempt(call, Plc_SILENT, now);
        end_call(call, Call_UNKNOWN, why);
        break;
    }
}

static Call *
find_call(CallHub *hub, AttemptId id)
{
    for (Call *call = hub->first; call; call = call->next) {
        if (AttemptId_Equal(call->attempt, id)) {
            return call;
        }
    }
    return NULL;
}

static bool
read_failed(CallHub *hub, bool whole, const Err *err)
{
    if (!whole) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
    }
    return !whole;
}

static void
take_piece(Call *call, const PieceMsg *msg, Instant now)
{
    if (msg->sequence != call->next_sequence) {
        return; /* a duplicate, or a gap that silence will settle */
    }
    call->next_sequence++;
    call->deadline = now + Callmsg_STALL;
    if (msg->sequence == 0) {
        call->sink.head(call->sink.context, msg->status, &msg->fields);
    }
    if (msg->bytes.len) {
        call->sink.bytes(call->sink.context, msg->bytes);
    }
    if (msg->last) {
        end_attempt(call, Plc_ANSWERED, now);
        end_call(call, Call_ANSWERED, Call_WHY_NONE);
    }
}

static void
on_piece(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallHub *hub = context;
    PieceMsg msg;
    Err err = {0};
    Call *call;

    if (read_failed(hub, Callmsg_ReadPiece(in, &msg, &err), &err)) {
        return;
    }
    call = find_call(hub, msg.id);
    if (call) {
        Plc_OnReport(&call->service->placement, origin->peer, &msg.load, now);
        take_piece(call, &msg, now);
    }
}

static void
on_refused(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallHub *hub = context;
    RefusedMsg msg;
    Err err = {0};
    Call *call;

    if (read_failed(hub, Callmsg_ReadRefused(in, &msg, &err), &err)) {
        return;
    }
    call = find_call(hub, msg.id);
    if (!call) {
        return;
    }
    Plc_OnReport(&call->service->placement, origin->peer, &msg.load, now);
    if (call->next_sequence > 0) {
        end_attempt(call, Plc_SILENT, now);
        end_call(call, Call_CUT, Call_WHY_NONE);
    }
    else if (msg.reason == Refusal_CUT) {
        decide(call, Rty_UNKNOWN, now);
    }
    else {
        decide(call, Rty_NOT_RUN, now);
    }
}

static void
on_fenced(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallHub *hub = context;
    FencedMsg msg;
    Err err = {0};
    Call *call;

    if (read_failed(hub, Callmsg_ReadFenced(in, &msg, &err), &err)) {
        return;
    }
    call = find_call(hub, msg.id);
    if (!call || !call->fencing) {
        return;
    }
    Plc_OnReport(&call->service->placement, origin->peer, &msg.load, now);
    if (msg.state == Fenced_NEVER) {
        decide(call, Rty_NOT_RUN, now);
    }
    else if (msg.state == Fenced_LOST) {
        end_attempt(call, Plc_SILENT, now);
        end_call(call, Call_UNKNOWN, Call_WHY_NONE);
    }
    /* Otherwise its answer follows as pieces. */
}

static void
on_pong(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    CallHub *hub = context;
    LoadReport load;
    Err err = {0};

    if (read_failed(hub, Callmsg_ReadPong(in, &load, &err), &err)) {
        return;
    }
    for (size_t i = 0; i < hub->services->count; i++) {
        Plc_OnReport(&hub->services->items[i]->placement, origin->peer, &load,
                     now);
    }
}

/* PEER's connection was given up: settle what was in flight over it. */
static void
on_silence(void *context, Addr peer, Instant now)
{
    CallHub *hub = context;
    Call *next;

    for (Call *call = hub->first; call; call = next) {
        next = call->next;
        if (call->attempt.counter && call->node == peer) {
            decide(call, Rty_UNKNOWN, now);
        }
    }
}

void
Call_HubInit(CallHub *hub, Net *net, Counters *counters, Timeline *timeline,
             Services *services, uint64_t incarnation)
{
    *hub = (CallHub){
        .net = net,
        .counters = counters,
        .logger = timeline->logger,
        .timeline = timeline,
        .services = services,
        .incarnation = incarnation,
    };
    Net_On(net, Wire_PIECE, on_piece, hub);
    Net_On(net, Wire_REFUSED, on_refused, hub);
    Net_On(net, Wire_FENCED, on_fenced, hub);
    Net_On(net, Wire_PONG, on_pong, hub);
    Net_OnSilence(net, on_silence, hub);
}

void
Call_HubFinish(CallHub *hub)
{
    while (hub->first) {
        free_call(hub->first);
    }
}

static Str
path_of(Str target)
{
    return Str_Slice(target, 0, Str_Find(target, '?'));
}

Call *
Call_Start(CallHub *hub, const CallRequest *request, const CallSink *sink,
           Instant now)
{
    const PstRoute *route = Pst_FindRoute(
        &hub->in_force->preset, request->method, path_of(request->target));
    Call *call;
    size_t before;

    Cnt_Add(hub->counters, Cnt_CALLS, 1);
    if (!route) {
        Cnt_Add(hub->counters, Cnt_NO_ROUTE, 1);
        sink->end(sink->context, Call_NOT_RUN, Call_WHY_NO_ROUTE);
        return NULL;
    }
    before = hub->count;
    call = Mem_Alloc(1, sizeof *call);
    link_call(hub, call);
    call->request = *request;
    call->sink = *sink;
    call->in_force = Inf_Hold(hub->in_force);
    call->route = route;
    call->service = Svc_Get(hub->services, StrBuf_View(&route->service));
    call->deadline =
        now + (request->deadline ? request->deadline : route->deadline);
    Rty_OnCall(&call->service->retries);
    Rty_Init(&call->retry, route->idempotent,
             hub->in_force->preset.limits.attempts_max, call->deadline);
    make_attempt(call, now);
    return hub->count > before ? call : NULL;
}

void
Call_OnTaken(Call *call, uint32_t bytes, Instant now)
{
    CreditMsg msg = {.id = call->attempt, .bytes = bytes};
    Pack pack;

    if (call->attempt.counter) {
        Callmsg_PackCredit(&pack, &msg);
        Net_Send(call->hub->net, call->node, Pack_View(&pack), now);
        Pack_Finish(&pack);
    }
}

void
Call_Cancel(Call *call, Instant now)
{
    Cnt_Add(call->hub->counters, Cnt_HUNG_UP, 1);
    if (call->attempt.counter) {
        send_id(call, Wire_CANCEL, now);
        end_attempt(call, Plc_CANCELLED, now);
    }
    free_call(call);
}

static void
end_late(Call *call, Instant now)
{
    if (call->attempt.counter) {
        send_id(call, Wire_CANCEL, now);
    }
    end_attempt(call, Plc_SILENT, now);
    end_call(call, call->next_sequence ? Call_CUT : Call_UNKNOWN,
             Call_WHY_LATE);
}

void
Call_HubTick(CallHub *hub, Instant now)
{
    Call *next;

    for (Call *call = hub->first; call; call = next) {
        next = call->next;
        if (now >= call->deadline) {
            end_late(call, now);
        }
    }
}
