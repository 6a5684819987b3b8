#include "request/call.h"

#include "request/callstate.h"
#include "request/depth.h"
#include "value/mem.h"

enum { KEY_BYTES_MAX = 1024 };

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
    if (call->attempt.counter) {
        Hsh_Drop(&hub->by_attempt, &call->link);
    }
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
        Hsh_Drop(&call->hub->by_attempt, &call->link);
        call->attempt.counter = 0;
        call->fencing = false;
    }
}

void
Call_End(Call *call, CallOutcome outcome, CallWhy why)
{
    static const CntId ids[] = {
        [Call_ANSWERED] = Cnt_ANSWERED, [Call_NOT_RUN] = Cnt_NOT_RUN,
        [Call_UNKNOWN] = Cnt_UNKNOWN,   [Call_CUT] = Cnt_CUT,
        [Call_RAN] = Cnt_RAN,
    };
    CallSink sink = call->sink;

    if (outcome == Call_NOT_RUN && call->doubt) {
        outcome = Call_UNKNOWN; /* an earlier attempt may have run */
    }
    Cnt_Add(call->hub->counters, ids[outcome], 1);
    free_call(call);
    sink.end(sink.context, outcome, why);
}

static void decide(Call *call, RtyOutcome outcome, Instant now);

static void
count_crossing(Call *call, size_t bytes, Instant now)
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
    count_crossing(call, Pack_View(&pack).len, now);
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
        decide(call, Rty_NOT_RUN, now);
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

static void
make_attempt(Call *call, Instant now)
{
    KeyPlace place;

    if (Call_ChoosePlace(call, &place, now)) {
        Call_StartAttempt(call, &place, now);
    }
    else {
        Call_End(call, Call_NOT_RUN, call->why);
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

static void
send_fence(Call *call, Instant now)
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
    if (call->keyed) {
        Key_OnRefused(call->keyed, true, now);
    }
    else {
        make_attempt(call, now);
    }
}

static void
give_up_not_run(Call *call, CallWhy why, Instant now)
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
static void
give_up_unknown(Call *call, Instant now)
{
    CallWhy why = now >= call->deadline ? Call_WHY_LATE : Call_WHY_NONE;
    bool cut = call->pieces.next > 0;

    end_attempt(call, Plc_SILENT, now);
    if (call->keyed) {
        Key_Cancel(call->keyed, now);
        call->keyed = NULL;
    }
    Call_End(call, cut ? Call_CUT : Call_UNKNOWN, why);
}

/* An attempt ended without a good answer: what follows. */
static void
decide(Call *call, RtyOutcome outcome, Instant now)
{
    switch (Rty_Decide(&call->retry, &call->service->retries, outcome, now)) {
    case Rty_AGAIN:
        call->doubt |= outcome == Rty_UNKNOWN;
        end_attempt(call, outcome == Rty_NOT_RUN ? Plc_REFUSED : Plc_SILENT,
                    now);
        try_again(call, now);
        break;
    case Rty_FENCE:
        send_fence(call, now);
        break;
    case Rty_GIVE_NOT_RUN:
        end_attempt(call, Plc_REFUSED, now);
        give_up_not_run(
            call, now >= call->deadline ? Call_WHY_LATE : Call_WHY_FULL, now);
        break;
    case Rty_GIVE_FAILED:
    case Rty_GIVE_UNKNOWN:
        give_up_unknown(call, now);
        break;
    }
}

static Call *
find_call(const CallHub *hub, AttemptId id)
{
    HshLink *link = Hsh_First(&hub->by_attempt, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((Call *)link)->attempt, id)) {
        link = Hsh_Next(link);
    }
    return (Call *)link;
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

/* An answer of one piece is small enough to be kept at the holders. */
static void
end_keyed(Call *call, const PieceMsg *msg, Instant now)
{
    AnswerMsg answer = {msg->status, msg->fields, msg->bytes};

    Key_OnEnded(call->keyed, msg->sequence == 0 ? &answer : NULL, now);
    call->keyed = NULL;
}

static void
pass_on(Call *call, const PieceMsg *msg)
{
    if (msg->sequence == 0) {
        call->failed = msg->status >= 500;
        call->sink.head(call->sink.context, msg->status, &msg->fields);
    }
    if (msg->bytes.len) {
        call->sink.bytes(call->sink.context, msg->bytes);
    }
}

static void
take_piece(Call *call, const PieceMsg *msg, Instant now)
{
    switch (Pcs_OnPiece(&call->pieces, msg->sequence, msg->last)) {
    case Pcs_IGNORE:
        break;
    case Pcs_GAP:
        if (call->pieces.next) {
            give_up_unknown(call, now);
        }
        else {
            decide(call, Rty_UNKNOWN, now);
        }
        break;
    case Pcs_TAKE:
        call->deadline = now + Callmsg_STALL;
        pass_on(call, msg);
        break;
    case Pcs_TAKE_LAST:
        if (call->keyed) {
            end_keyed(call, msg, now);
        }
        pass_on(call, msg);
        end_attempt(call, call->failed ? Plc_FAILED : Plc_ANSWERED, now);
        Call_End(call, Call_ANSWERED, Call_WHY_NONE);
        break;
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
        count_crossing(call, msg.bytes.len, now);
        take_piece(call, &msg, now);
    }
}

static bool
proves_not_run(Refusal reason)
{
    return reason != Refusal_CUT && reason != Refusal_EXPIRED;
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
    if (!proves_not_run(msg.reason) || call->pieces.next > 0) {
        if (call->route->idempotent && call->pieces.next == 0) {
            decide(call, Rty_UNKNOWN, now);
        }
        else {
            give_up_unknown(call, now);
        }
    }
    else if (msg.reason == Refusal_SUSPECT) {
        /* Every other node refuses it, too. */
        end_attempt(call, Plc_REFUSED, now);
        give_up_not_run(call, Call_WHY_SUSPECT, now);
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
        give_up_unknown(call, now);
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
            if (call->pieces.next) {
                give_up_unknown(call, now);
            }
            else {
                decide(call, Rty_UNKNOWN, now);
            }
        }
    }
}

void
Call_HubInit(CallHub *hub, Net *net, Counters *counters, Timeline *timeline,
             Services *services, const Settings *settings,
             uint64_t incarnation)
{
    *hub = (CallHub){
        .net = net,
        .counters = counters,
        .logger = timeline->logger,
        .timeline = timeline,
        .services = services,
        .incarnation = incarnation,
    };
    Key_HubInit(&hub->keys, net, counters, timeline, settings->replicas,
                settings->replica_count);
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
    Key_HubFinish(&hub->keys);
    Hsh_Finish(&hub->by_attempt);
}

static Str
path_of(Str target)
{
    return Str_Slice(target, 0, Str_Find(target, '?'));
}

/* The same key must come with the same request; a request that crashes a
 * backend server is known by it. */
static uint64_t
digest_of(const CallRequest *request, Str service)
{
    uint64_t parts[] = {Str_Hash(service), Str_Hash(request->method),
                        Str_Hash(request->target), Str_Hash(request->body)};

    return Str_Hash(Str_From((const char *)parts, sizeof parts));
}

static void
start_call(Call *call, Instant now)
{
    Str header = StrBuf_View(&call->route->key_header);
    Str key = {0};

    if (header.len) {
        key = Field_Get(&call->request.fields, header);
    }
    if (key.len > KEY_BYTES_MAX) {
        Call_End(call, Call_NOT_RUN, Call_WHY_KEY);
    }
    else if (key.len) {
        Ccl_Start(call, key, now);
    }
    else {
        make_attempt(call, now);
    }
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
    if (!hub->confirmed) {
        Cnt_Add(hub->counters, Cnt_NOT_RUN, 1);
        sink->end(sink->context, Call_NOT_RUN, Call_WHY_VERSION);
        return NULL;
    }
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
    /* Retries are made at one level of a call tree. */
    Rty_Init(&call->retry, route->idempotent,
             Dep_Read(&request->fields)
                 ? 1
                 : hub->in_force->preset.limits.attempts_max,
             call->deadline);
    call->digest = digest_of(request, StrBuf_View(&call->service->name));
    start_call(call, now);
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
    if (call->keyed) {
        Key_Cancel(call->keyed, now);
    }
    free_call(call);
}

static void
end_late(Call *call, Instant now)
{
    send_id(call, Wire_CANCEL, now);
    give_up_unknown(call, now);
}

/* The deadline passed.  A fence may still prove that the attempt did not run;
 * a claim without an attempt settles itself. */
static void
on_late(Call *call, Instant now)
{
    if (!call->attempt.counter) {
        return;
    }
    if (call->route->idempotent || call->pieces.next ||
        now >= call->deadline + SETTLE_GRACE) {
        end_late(call, now);
    }
    else if (!call->late) {
        call->late = true;
        send_fence(call, now);
    }
}

void
Call_HubTick(CallHub *hub, Instant now)
{
    Call *next;

    Key_HubTick(&hub->keys, now);
    for (Call *call = hub->first; call; call = next) {
        next = call->next;
        if (now >= call->deadline) {
            on_late(call, now);
        }
    }
}
