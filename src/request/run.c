#include "request/run.h"

#include "value/mem.h"

#define LEDGER_BRIEF Span_S(10)
#define STALL_GRACE Span_S(10)

enum {
    LEDGER_ANSWERS = 8 * 1024 * 1024,
    LEDGER_ENTRIES = 131072,
    LEDGER_ORIGINS = 4096,
    TURNED_AWAY = 503, /* status of HTTP */
    USUAL_FACTOR = 8,  /* times the usual service time */
    REPEAT_PART = 4    /* part of the time until the deadline */
};

struct Run {
    HshLink link; /* first: found by attempt id */
    RunHub *hub;
    Run *next;
    Run *previous;
    NetOrigin origin;
    AttemptId id;
    AdmClass cls;
    bool idempotent;
    bool keyed;
    bool detached; /* nobody waits for its answer */
    Instant deadline;
    Instant started_at;
    BckExchange *exchange; /* NULL while it waits */
    StrBuf method;
    StrBuf target;
    StrBuf body;
    StrBuf text; /* names and values of fields */
    FieldList fields;
    uint32_t sequence;
    uint16_t status;
    StrBuf head_text; /* names and values of the answer's fields */
    FieldList head;
    StrBuf bytes;        /* of the answer, not sent yet */
    uint32_t uncredited; /* sent and not credited yet */
};

static void
link_run(RunHub *hub, Run *run)
{
    run->hub = hub;
    Hsh_Add(&hub->by_id, &run->link, AttemptId_Hash(run->id));
    run->previous = hub->last;
    if (hub->last) {
        hub->last->next = run;
    }
    else {
        hub->first = run;
    }
    hub->last = run;
    hub->count++;
}

static void
free_run(Run *run)
{
    RunHub *hub = run->hub;

    if (run->previous) {
        run->previous->next = run->next;
    }
    else {
        hub->first = run->next;
    }
    if (run->next) {
        run->next->previous = run->previous;
    }
    else {
        hub->last = run->previous;
    }
    hub->count--;
    Hsh_Drop(&hub->by_id, &run->link);
    StrBuf_Finish(&run->method);
    StrBuf_Finish(&run->target);
    StrBuf_Finish(&run->body);
    StrBuf_Finish(&run->text);
    StrBuf_Finish(&run->head_text);
    StrBuf_Finish(&run->bytes);
    Mem_Free(run);
}

/* Copy FROM so that it outlives its message; TEXT holds the bytes. */
static void
copy_fields(FieldList *to, StrBuf *text, const FieldList *from)
{
    size_t offset = 0;

    StrBuf_Clear(text);
    for (size_t i = 0; i < from->count; i++) {
        StrBuf_Append(text, from->items[i].name);
        StrBuf_Append(text, from->items[i].value);
    }
    to->count = from->count;
    for (size_t i = 0; i < from->count; i++) {
        const Field *field = &from->items[i];
        Str whole = StrBuf_View(text);
        to->items[i].name = Str_Slice(whole, offset, field->name.len);
        offset += field->name.len;
        to->items[i].value = Str_Slice(whole, offset, field->value.len);
        offset += field->value.len;
    }
}

static void
refuse(RunHub *hub, const NetOrigin *origin, AttemptId id, Refusal reason,
       Instant now)
{
    RefusedMsg msg = {
        .id = id,
        .reason = reason,
        .load = Adm_Report(hub->admission),
    };
    Pack pack;

    Cnt_Add(hub->counters, Cnt_REFUSED, 1);
    Callmsg_PackRefused(&pack, &msg);
    Net_Answer(hub->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

/* The attempt is known to the ledger and will never run. */
static void
refuse_run(Run *run, Refusal reason, Instant now)
{
    Led_OnRefused(&run->hub->ledger, run->id, now);
    if (!run->detached) {
        refuse(run->hub, &run->origin, run->id, reason, now);
    }
}

static void
send_piece(Run *run, Str bytes, bool last, Instant now)
{
    PieceMsg msg = {
        .id = run->id,
        .sequence = run->sequence,
        .last = last,
        .bytes = bytes,
        .load = Adm_Report(run->hub->admission),
    };
    Pack pack;

    if (run->detached) {
        return;
    }
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

/* Send whole pieces while the window allows, and keep the rest. */
static void
send_ready(Run *run, Instant now)
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

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    Run *run = context;

    run->status = status;
    copy_fields(&run->head, &run->head_text, fields);
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

static void
on_bytes(void *context, Str bytes)
{
    Run *run = context;

    StrBuf_Append(&run->bytes, bytes);
    if (run->detached) {
        drop_large(run);
        return;
    }
    send_ready(run, Loop_Now());
    if (run->bytes.len >= Callmsg_WINDOW_BYTES) {
        Bck_Pause(run->exchange);
    }
}

static void
send_rest(Run *run, Instant now)
{
    Str rest = StrBuf_View(&run->bytes);
    size_t sent = 0;

    do {
        Str piece = Str_Slice(rest, sent, Callmsg_PIECE_BYTES);
        sent += piece.len;
        send_piece(run, piece, sent == rest.len, now);
    } while (sent < rest.len);
}

/* An answer of which nothing was sent yet is at hand as a whole. */
static void
keep_answer(Run *run, Instant now)
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

static void
lose_run(Run *run, Instant now)
{
    Led_OnLost(&run->hub->ledger, run->id, now);
    if (!run->detached) {
        refuse(run->hub, &run->origin, run->id, Refusal_CUT, now);
    }
}

static void
on_end(void *context, BckEnd end)
{
    Run *run = context;
    RunHub *hub = run->hub;
    Instant now = Loop_Now();
    bool failed = end != Bck_WHOLE || run->status >= 500;

    Adm_OnEnd(hub->admission, now - run->started_at, failed, now);
    if (end == Bck_UNREACHED ||
        (end == Bck_WHOLE && run->status == TURNED_AWAY)) {
        Adm_OnTurnedAway(hub->admission, now);
    }
    else if (end == Bck_WHOLE) {
        Adm_OnTaken(hub->admission);
    }
    switch (end) {
    case Bck_WHOLE:
        keep_answer(run, now);
        send_rest(run, now);
        break;
    case Bck_CUT:
        lose_run(run, now);
        break;
    case Bck_UNREACHED:
        refuse_run(run, Refusal_ABSENT, now);
        break;
    }
    free_run(run);
    Run_HubTick(hub, now);
}

/* When a connection to the backend server that brings nothing is taken for
 * silent; 0 for a request that may not run again. */
static Span
repeat_after(const Run *run, Span left)
{
    Span usual = (Span)run->hub->admission->service_us * USUAL_FACTOR;

    if (!run->idempotent) {
        return 0;
    }
    return usual > left / REPEAT_PART ? usual : left / REPEAT_PART;
}

/* The attempt is counted as running already. */
static void
start_run(Run *run, Instant now)
{
    RunHub *hub = run->hub;
    BckRequest request = {
        .method = StrBuf_View(&run->method),
        .target = StrBuf_View(&run->target),
        .fields = run->fields,
        .body = StrBuf_View(&run->body),
        .left = run->deadline - now,
        .repeat_after = repeat_after(run, run->deadline - now),
    };
    BckSink sink = {run, on_head, on_bytes, on_end};

    run->started_at = now;
    run->exchange = Bck_Start(hub->pool, &request, &sink);
    if (run->exchange) {
        Cnt_Add(hub->counters, Cnt_RUNS, 1);
        return;
    }
    Adm_OnEnd(hub->admission, 0, true, now);
    refuse_run(run, Refusal_ABSENT, now);
    free_run(run);
}

static Run *
add_run(RunHub *hub, const NetOrigin *origin, const CallMsg *msg, Instant now)
{
    Run *run = Mem_Alloc(1, sizeof *run);

    run->id = msg->id;
    link_run(hub, run);
    run->origin = *origin;
    run->idempotent = msg->idempotent;
    run->keyed = msg->keyed;
    run->cls = msg->interactive ? Adm_INTERACTIVE : Adm_PATIENT;
    run->deadline = now + msg->left;
    StrBuf_Set(&run->method, msg->method);
    StrBuf_Set(&run->target, msg->target);
    StrBuf_Set(&run->body, msg->body);
    copy_fields(&run->fields, &run->text, &msg->fields);
    return run;
}

static Refusal
refusal_of(AdmVerdict verdict)
{
    switch (verdict) {
    case Adm_REFUSE_LATE:
        return Refusal_LATE;
    case Adm_REFUSE_DRAINING:
        return Refusal_DRAINING;
    case Adm_REFUSE_ABSENT:
        return Refusal_ABSENT;
    default:
        return Refusal_FULL;
    }
}

/* True when the ledger lets the attempt run. */
static bool
ask_ledger(RunHub *hub, const NetOrigin *origin, const CallMsg *msg,
           Instant now)
{
    switch (Led_OnAttempt(&hub->ledger, msg->id, msg->incarnation, msg->keyed,
                          now)) {
    case Led_FIRST:
        return true;
    case Led_SEEN:
        /* The first one's answer is on its way. */
        Cnt_Add(hub->counters, Cnt_DUPLICATES, 1);
        break;
    case Led_FENCED:
        refuse(hub, origin, msg->id, Refusal_FENCED, now);
        break;
    case Led_EXPIRED:
        refuse(hub, origin, msg->id, Refusal_EXPIRED, now);
        break;
    case Led_FULL:
        refuse(hub, origin, msg->id, Refusal_FULL, now);
        break;
    case Led_WRONG_INCARNATION:
        refuse(hub, origin, msg->id, Refusal_INCARNATION, now);
        break;
    }
    return false;
}

static void
on_call(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    RunHub *hub = context;
    CallMsg msg;
    Err err = {0};
    AdmVerdict verdict;

    hub->asked_at = now;
    if (!Callmsg_ReadCall(in, &msg, &err)) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), &err);
        return;
    }
    if (!ask_ledger(hub, origin, &msg, now)) {
        return;
    }
    verdict = Adm_Ask(hub->admission,
                      msg.interactive ? Adm_INTERACTIVE : Adm_PATIENT,
                      msg.left, now);
    if (verdict == Adm_RUN) {
        start_run(add_run(hub, origin, &msg, now), now);
    }
    else if (verdict == Adm_QUEUE) {
        add_run(hub, origin, &msg, now);
    }
    else {
        Led_OnRefused(&hub->ledger, msg.id, now);
        refuse(hub, origin, msg.id, refusal_of(verdict), now);
    }
}

static Run *
find_run(const RunHub *hub, AttemptId id)
{
    HshLink *link = Hsh_First(&hub->by_id, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((Run *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (Run *)link;
}

static void
leave_queue(Run *run)
{
    Adm_OnLeave(run->hub->admission, run->cls);
    free_run(run);
}

static void
detach(Run *run)
{
    run->detached = true;
    drop_large(run);
    if (run->exchange) {
        Bck_Resume(run->exchange);
    }
}

/* Its connection to the backend server is closed: it may have run. */
static void
cancel_run(Run *run, Instant now)
{
    Bck_Cancel(run->exchange);
    Adm_OnEnd(run->hub->admission, now - run->started_at, true, now);
    lose_run(run, now);
    free_run(run);
}

static void
on_cancel(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    RunHub *hub = context;
    AttemptId id;
    Run *run;

    (void)origin;
    if (!Callmsg_ReadId(in, &id, NULL)) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        return;
    }
    run = find_run(hub, id);
    if (!run) {
        return;
    }
    if (!run->exchange) {
        Led_OnRefused(&hub->ledger, id, now);
        leave_queue(run);
    }
    else if (run->keyed) {
        detach(run); /* a repeat will want its outcome */
    }
    else {
        run->detached = true;
        cancel_run(run, now);
        Run_HubTick(hub, now);
    }
}

static void
on_credit(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    RunHub *hub = context;
    CreditMsg msg;
    Run *run;

    (void)origin;
    if (!Callmsg_ReadCredit(in, &msg, NULL)) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        return;
    }
    run = find_run(hub, msg.id);
    if (run) {
        run->uncredited -=
            msg.bytes < run->uncredited ? msg.bytes : run->uncredited;
        send_ready(run, now);
        if (run->exchange && run->bytes.len < Callmsg_WINDOW_BYTES) {
            Bck_Resume(run->exchange);
        }
    }
}

static void
on_ping(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    RunHub *hub = context;
    LoadReport load = Adm_Report(hub->admission);
    Pack pack;

    (void)in;
    Callmsg_PackPong(&pack, &load);
    Net_Answer(hub->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Run_HubInit(RunHub *hub, Net *net, Counters *counters, Timeline *timeline,
            Adm *admission, BckPool *pool, uint64_t incarnation)
{
    LedSettings ledger = {
        .brief = LEDGER_BRIEF,
        .retention = LEDGER_BRIEF,
        .bytes_max = LEDGER_ANSWERS,
        .answer_max = Callmsg_PIECE_BYTES,
        .entries_max = LEDGER_ENTRIES,
        .origins_max = LEDGER_ORIGINS,
    };

    *hub = (RunHub){
        .net = net,
        .counters = counters,
        .logger = timeline->logger,
        .timeline = timeline,
        .admission = admission,
        .pool = pool,
        .incarnation = incarnation,
    };
    Led_Init(&hub->ledger, &ledger, incarnation);
    Net_On(net, Wire_CALL, on_call, hub);
    Net_On(net, Wire_CANCEL, on_cancel, hub);
    Net_On(net, Wire_CREDIT, on_credit, hub);
    Net_On(net, Wire_PING, on_ping, hub);
}

void
Run_HubFinish(RunHub *hub)
{
    while (hub->first) {
        if (hub->first->exchange) {
            Bck_Cancel(hub->first->exchange);
        }
        free_run(hub->first);
    }
    Hsh_Finish(&hub->by_id);
    Led_Finish(&hub->ledger);
}

FencedState
Run_TakeOver(RunHub *hub, const NetOrigin *origin, AttemptId id, bool stop,
             Instant now)
{
    Run *run = find_run(hub, id);

    if (!run || run->sequence > 0) {
        return Fenced_LOST;
    }
    if (!run->exchange && stop) {
        Led_OnRefused(&hub->ledger, id, now);
        leave_queue(run);
        return Fenced_NEVER;
    }
    run->origin = *origin;
    run->detached = false;
    return Fenced_RUNNING;
}

void
Run_SetLimits(RunHub *hub, const PstLimits *limits)
{
    Led_SetRetention(&hub->ledger, limits->key_retention);
}

static Run *
first_waiting(RunHub *hub, AdmClass cls)
{
    for (Run *run = hub->first; run; run = run->next) {
        if (!run->exchange && run->cls == cls) {
            return run;
        }
    }
    return NULL;
}

/* What runs past its deadline, and nobody takes its answer, holds a slot of
 * the backend server for nothing. */
static void
drop_late(RunHub *hub, Instant now)
{
    Run *next;

    for (Run *run = hub->first; run; run = next) {
        next = run->next;
        if (!run->exchange && now >= run->deadline) {
            refuse_run(run, Refusal_LATE, now);
            leave_queue(run);
        }
        else if (now >= run->deadline + STALL_GRACE) {
            cancel_run(run, now);
        }
    }
}

void
Run_HubTick(RunHub *hub, Instant now)
{
    AdmClass cls;

    Led_Expire(&hub->ledger, now);
    drop_late(hub, now);
    while (Adm_Next(hub->admission, now, &cls)) {
        start_run(first_waiting(hub, cls), now);
    }
}
